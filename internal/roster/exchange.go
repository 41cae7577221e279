package roster

import (
	"context"
	"net"
	"net/http"
	"net/netip"
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
		for _, peer := range e.Peers() {
			go e.exchange(ctx, peer, e.client(peer))
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

// exchange makes one call. A failure needs no retry: the next round repeats it.
func (e *Exchanger) exchange(ctx context.Context, peer netip.AddrPort, client pb.Roster) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	request := &pb.ExchangeRequest{Records: wireRecords(e.Store.List(now)), Remembered: e.Store.ownList(now)}
	if e.Flows != nil {
		request.Flows = e.Flows.Given(peer)
	}
	response, err := client.Exchange(ctx, request)
	if err != nil {
		return
	}
	if request.Flows != nil {
		e.Flows.Taken(peer)
	}
	e.Store.learn(time.Now(), response)
}
