package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/gatepb"
)

// gatePeers caches the RPC clients through which the gate calls other agents.
type gatePeers struct {
	process  *process
	snapshot atomic.Pointer[model.Snapshot]

	mu      sync.Mutex
	clients map[netip.AddrPort]gatepb.Gate
}

func newGatePeers(p *process) *gatePeers {
	g := &gatePeers{process: p, clients: map[netip.AddrPort]gatepb.Gate{}}
	g.snapshot.Store(model.NewSnapshot())
	return g
}

// apply installs a configuration and drops the clients of addresses that are not in it.
func (g *gatePeers) apply(s *model.Snapshot) {
	g.snapshot.Store(s)
	used := map[netip.AddrPort]bool{}
	for _, up := range s.Upstreams {
		used[up.RPC] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for address := range g.clients {
		if !used[address] {
			delete(g.clients, address)
		}
	}
}

// client returns a client for a host, or false if its address is not known.
func (g *gatePeers) client(host model.HostID) (gatepb.Gate, bool) {
	up := g.snapshot.Load().Upstreams[host]
	if up == nil {
		return nil, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.clients[up.RPC]
	if !ok {
		c = gatepb.NewGateProtobufClient(g.process.scheme()+"://"+up.RPC.String(), g.process.http)
		g.clients[up.RPC] = c
	}
	return c, true
}

// Period and timeout of the health check of the upstream process.
const (
	healthInterval = time.Second
	healthTimeout  = time.Second
)

// backendHealth checks whether the upstream process accepts TCP connections. It does not query a health endpoint of the
// process, because such an endpoint may be outdated or wrong; ejection is decided from the outcomes of requests.
type backendHealth struct {
	address netip.AddrPort
	isCold  atomic.Bool
}

func newBackendHealth(address netip.AddrPort) *backendHealth {
	h := &backendHealth{address: address}
	h.isCold.Store(true)
	return h
}

// cold reports whether the latest connection attempt failed or none was made yet.
func (h *backendHealth) cold() bool { return h.isCold.Load() }

func (h *backendHealth) run(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		h.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *backendHealth) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", h.address.String())
	h.isCold.Store(err != nil)
	if err == nil {
		_ = conn.Close()
	}
}
