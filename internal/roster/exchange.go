package roster

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/plantainseam/plantainseam/internal/openflows"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Exchanger asks the other control VMs for what has changed among the processes that report to them.
type Exchanger struct {
	Store *Store
	Self  func() Record
	Peers func() []netip.AddrPort // RPC addresses of the other control VMs
	Flows *openflows.Registry     // nil if open flows are not remembered
	// Copies is how many other control VMs get what agents report of their flows: as many as may lose their disks at once.
	Copies int

	partners map[netip.AddrPort]*partner // used by Run only
}

// partner is another control VM.
type partner struct {
	at       netip.AddrPort
	client   pb.Roster
	idle     chan struct{} // holds a value while no call is under way
	answered atomic.Int64  // Unix nanoseconds of the last answer, or of the first call
}

const (
	// exchangePeriod is the time in which each other control VM is asked once: as often as a process reports.
	exchangePeriod = Interval
	// unreachedAfter is the time without an answer after which others are asked for what a control VM knows: two exchanges
	// that fail.
	unreachedAfter = 2 * exchangePeriod
)

// Run exchanges until ctx is done.
func (e *Exchanger) Run(ctx context.Context) {
	e.partners = map[netip.AddrPort]*partner{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		e.Store.Put(now, e.Self())
		peers := e.Peers()
		copyTo := e.copyTo(peers)
		unreached := e.unreached(now, peers)
		for _, peer := range peers {
			p := e.partner(peer)
			select {
			case <-p.idle:
				go func() {
					e.exchange(ctx, p, slices.Contains(copyTo, peer), unreached)
					p.idle <- struct{}{}
				}()
			default: // the answers of two calls could cross
			}
		}
		if e.Store.Settled(now) {
			timer.Reset(exchangePeriod)
		} else {
			timer.Reset(unsettledInterval(len(e.Store.List(now))))
		}
	}
}

func (e *Exchanger) partner(at netip.AddrPort) *partner {
	p, ok := e.partners[at]
	if !ok {
		transport := &http.Transport{
			DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, MaxConnsPerHost: 1, IdleConnTimeout: idleConnection,
		}
		p = &partner{at: at, idle: make(chan struct{}, 1)}
		p.client = pb.NewRosterProtobufClient("http://"+at.String(), &http.Client{Transport: transport})
		p.idle <- struct{}{}
		p.answered.Store(time.Now().UnixNano())
		e.partners[at] = p
	}
	return p
}

// unreached returns the addresses of the control VMs that do not answer. Another one may reach them.
func (e *Exchanger) unreached(now time.Time, peers []netip.AddrPort) []uint32 {
	var out []uint32
	for _, peer := range peers {
		if now.Sub(time.Unix(0, e.partner(peer).answered.Load())) >= unreachedAfter {
			out = append(out, addressBits(peer.Addr()))
		}
	}
	return out
}

// copyTo returns the control VMs that get copies: those that follow this one in the order of their addresses, the first one
// after the last.
func (e *Exchanger) copyTo(peers []netip.AddrPort) []netip.AddrPort {
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
func (e *Exchanger) exchange(ctx context.Context, p *partner, copies bool, unreached []uint32) {
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
	p.answered.Store(time.Now().UnixNano())
	e.Store.Follow(time.Now(), p.at.Addr(), response)
	e.Store.learn(response.GetRemembered())
}

func (e *Exchanger) request(now time.Time, p *partner, copies bool) *pb.ExchangeRequest {
	position := e.Store.position(p.at.Addr())
	request := &pb.ExchangeRequest{
		Self: ToWire(e.Self()), Remembered: e.Store.ownList(now), Feed: position.Feed, Position: position.Change,
	}
	if !e.Store.Settled(now) {
		request.Known = wireRecords(e.Store.List(now)) // it may be 400 ms until the other one asks
		request.Unsettled = true
	}
	if e.Flows != nil {
		request.Flows = e.Flows.Loaded(p.at)
		if copies {
			request.Copies = e.Flows.OutgoingCopies(now, p.at)
		}
	}
	return request
}
