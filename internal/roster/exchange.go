package roster

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/openflows"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Exchanger periodically fetches from every other control VM the changes among the processes that report there.
type Exchanger struct {
	Store *Store
	Self  func() Record
	Peers func() []netip.AddrPort // RPC addresses of the other control VMs
	Flows *openflows.Registry     // nil if open flows are not remembered
	// Copies is the number of other control VMs that store copies of the agents' flow reports. It equals the number of
	// control VMs that may lose their disks at once.
	Copies int
	Logger log.Logger

	clients map[netip.AddrPort]*peerClient // used by Run only
}

// peerClient is the client of another control VM.
type peerClient struct {
	at         netip.AddrPort
	client     pb.Roster
	idle       chan struct{} // holds one value while no call is in progress
	answeredAt atomic.Int64  // Unix time in nanoseconds of the last response, or of the first call
}

const (
	// exchangePeriod is the time between two calls to the same control VM. It equals the report interval of processes.
	exchangePeriod = Interval
	// unreachedAfter is the time without a response after which the records of a control VM are requested from the others:
	// two failed exchanges.
	unreachedAfter = 2 * exchangePeriod
)

// Run exchanges until ctx is done.
func (e *Exchanger) Run(ctx context.Context) {
	e.clients = map[netip.AddrPort]*peerClient{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	settledBefore := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		e.Store.Put(now, e.Self())
		peers := e.Peers()
		targets := e.copyTargets(e.answering(now, peers))
		unreached := e.unreached(now, peers)
		for _, peer := range peers {
			p := e.client(peer)
			select {
			case <-p.idle:
				go func() {
					e.exchange(ctx, p, slices.Contains(targets, peer), unreached)
					p.idle <- struct{}{}
				}()
			default: // responses of concurrent calls could be reordered
			}
		}
		settled := e.Store.Settled(now)
		if settled != settledBefore {
			settledBefore = settled
			_ = e.Logger.Log("event", "roster_settled", "settled", settled, "peers", len(peers), "unreached", len(unreached),
				"collecting", e.Store.Collecting(now))
		}
		if settled {
			timer.Reset(exchangePeriod)
		} else {
			timer.Reset(unsettledInterval(len(e.Store.List(now))))
		}
	}
}

func (e *Exchanger) client(at netip.AddrPort) *peerClient {
	p, ok := e.clients[at]
	if !ok {
		transport := &http.Transport{
			DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, MaxConnsPerHost: 1, IdleConnTimeout: idleConnTimeout,
		}
		p = &peerClient{at: at, idle: make(chan struct{}, 1)}
		p.client = pb.NewRosterProtobufClient("http://"+at.String(), &http.Client{Transport: transport})
		p.idle <- struct{}{}
		p.answeredAt.Store(time.Now().UnixNano())
		e.clients[at] = p
	}
	return p
}

// unreached returns the addresses of the control VMs that do not respond. Other control VMs may still reach them.
func (e *Exchanger) unreached(now time.Time, peers []netip.AddrPort) []uint32 {
	var out []uint32
	for _, peer := range peers {
		if now.Sub(time.Unix(0, e.client(peer).answeredAt.Load())) >= unreachedAfter {
			out = append(out, addressBits(peer.Addr()))
		}
	}
	return out
}

// answering returns the control VMs that have answered, or were called for the first time, less than expiry ago.
func (e *Exchanger) answering(now time.Time, peers []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(peers), func(at netip.AddrPort) bool {
		return now.Sub(time.Unix(0, e.client(at).answeredAt.Load())) >= expiry
	})
}

// copyTargets returns the control VMs that get copies: the next ones by address after this one, wrapping around at the
// highest address.
func (e *Exchanger) copyTargets(peers []netip.AddrPort) []netip.AddrPort {
	self := e.Self().Address
	sorted := slices.SortedFunc(slices.Values(peers), func(a, b netip.AddrPort) int {
		if follows := self.Less(a.Addr()); follows != self.Less(b.Addr()) {
			if follows {
				return -1
			}
			return 1
		}
		return a.Compare(b)
	})
	return sorted[:min(e.Copies, len(sorted))]
}

// exchange makes one call. A failure needs no retry: the next round repeats it.
func (e *Exchanger) exchange(ctx context.Context, p *peerClient, copies bool, unreached []uint32) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	request := e.request(now, p, copies)
	request.Unreached = unreached
	response, err := p.client.Exchange(ctx, request)
	if err != nil {
		return
	}
	if e.Flows != nil {
		e.Flows.ConfirmCopies(now, p.at, response.GetCopies())
	}
	if request.Flows != nil {
		e.Flows.ConfirmLoaded(p.at)
	}
	p.answeredAt.Store(time.Now().UnixNano())
	e.Store.ApplyExchange(time.Now(), p.at.Addr(), response)
	e.Store.mergeRemembered(response.GetRemembered())
}

func (e *Exchanger) request(now time.Time, p *peerClient, copies bool) *pb.ExchangeRequest {
	position := e.Store.peerPosition(p.at.Addr())
	request := &pb.ExchangeRequest{
		Self: ToWire(e.Self()), Remembered: e.Store.unsettledList(now), Feed: position.Feed, Position: position.Change,
	}
	request.Unsettled = !e.Store.Settled(now)
	if e.Store.Collecting(now) {
		request.Known = wireRecords(e.Store.List(now)) // the other control VM may not call for another 400 ms
	}
	if e.Flows != nil {
		request.Flows = e.Flows.Loaded(p.at)
		if copies {
			request.Copies = e.Flows.OutgoingCopies(now, p.at)
		}
	}
	return request
}
