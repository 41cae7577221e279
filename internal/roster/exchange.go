package roster

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Exchanger exchanges records with the other control VMs, one after the other.
type Exchanger struct {
	Store *Store
	Self  func() Record
	Peers func() []netip.AddrPort // RPC addresses of the other control VMs

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
	response, err := client.Exchange(ctx, &pb.ExchangeRequest{
		Records: wireRecords(e.Store.List(now)), Remembered: e.Store.ownList(now),
	})
	if err != nil {
		return
	}
	e.Store.learn(time.Now(), response)
}
