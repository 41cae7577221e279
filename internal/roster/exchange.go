package roster

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/openflows"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Exchanger exchanges records with the other control VMs, one after the other.
type Exchanger struct {
	Store *Store
	Self  func() Record
	Peers func() []netip.AddrPort // RPC addresses of the other control VMs
	Flows *openflows.Book         // nil if open flows are not remembered
	// Copies is how many other control VMs get what agents report of their flows: as many as may lose their disks at once.
	Copies int
	// Current reports whether this control VM hears the leader of its group. Without it others do not rely on its roster.
	Current func() bool

	clients map[netip.AddrPort]pb.Roster
}

// exchangePeriod is the time in which each other control VM is asked once.
const exchangePeriod = 400 * time.Millisecond

// Run exchanges until ctx is done.
func (e *Exchanger) Run(ctx context.Context) {
	e.clients = map[netip.AddrPort]pb.Roster{}
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
		for _, peer := range peers {
			go e.exchange(ctx, peer, e.client(peer), slices.Contains(copyTo, peer))
		}
		if e.Store.Settled(now) {
			timer.Reset(exchangePeriod)
		} else {
			timer.Reset(unsettledInterval(len(e.Store.List(now))))
		}
	}
}

func (e *Exchanger) client(peer netip.AddrPort) pb.Roster {
	c, ok := e.clients[peer]
	if !ok {
		transport := &http.Transport{
			DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext, MaxConnsPerHost: 1, IdleConnTimeout: idleConnection,
		}
		c = pb.NewRosterProtobufClient("http://"+peer.String(), &http.Client{Transport: transport})
		e.clients[peer] = c
	}
	return c
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
func (e *Exchanger) exchange(ctx context.Context, peer netip.AddrPort, client pb.Roster, copies bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	request := &pb.ExchangeRequest{
		Records: wireRecords(e.Store.List(now)), Remembered: e.Store.ownList(now),
		Settled: e.Current() && e.Store.Settled(now),
	}
	if e.Flows != nil {
		request.Flows = e.Flows.Given(peer)
		if copies {
			request.Copies = e.Flows.Outgoing(now, peer)
		}
	}
	response, err := client.Exchange(ctx, request)
	if err != nil {
		return
	}
	if e.Flows != nil {
		e.Flows.Copied(now, peer, response.GetCopies())
	}
	if request.Flows != nil {
		e.Flows.Taken(peer)
	}
	e.Store.learn(time.Now(), response)
}
