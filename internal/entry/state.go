package entry

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// state is what the traffic goroutines read. It is immutable after publication.
type state struct {
	revision model.Revision
	services map[netip.AddrPort]*serviceRoutes
}

// serviceRoutes holds the prepared routing headers of a service. Buckets with the same candidates share one route.
type serviceRoutes struct {
	service   *model.Service
	upstreams []*model.Upstream // of the members, to detect changed addresses
	buckets   [routing.Buckets]*route
}

// route is where the packets of a bucket go; a bucket without a reachable home has a nil route.
type route struct {
	header tunnel.Header
	to     netip.AddrPort
}

// buildState prepares the routes of a snapshot. Services that did not change since before are taken from it, so that a
// change costs the affected services only.
func buildState(s *model.Snapshot, t *routing.Table, before *state) *state {
	next := &state{revision: s.Revision, services: make(map[netip.AddrPort]*serviceRoutes, len(s.Services))}
	for _, svc := range s.Services {
		upstreams := membersOf(s, svc)
		if old := before.services[svc.Frontend]; old != nil && old.isCurrent(svc, upstreams) {
			next.services[svc.Frontend] = old
			continue
		}
		next.services[svc.Frontend] = buildRoutes(s, t, svc, upstreams)
	}
	return next
}

// membersOf returns the announced upstreams of a service; nil stands for one that is not known.
func membersOf(s *model.Snapshot, svc *model.Service) []*model.Upstream {
	upstreams := make([]*model.Upstream, len(svc.Members))
	for i, m := range svc.Members {
		upstreams[i] = s.Upstreams[m.Host]
	}
	return upstreams
}

// isCurrent says whether prepared routes still hold for a service.
func (r *serviceRoutes) isCurrent(svc *model.Service, upstreams []*model.Upstream) bool {
	old := r.service
	if old.ID != svc.ID || old.Generation != svc.Generation || old.Seed != svc.Seed || len(upstreams) != len(r.upstreams) {
		return false
	}
	for i, up := range upstreams {
		if !sameTunnel(up, r.upstreams[i]) || old.Members[i] != svc.Members[i] {
			return false
		}
	}
	return true
}

// sameTunnel compares the addresses of two upstreams, which may be nil.
func sameTunnel(a, b *model.Upstream) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Tunnel == b.Tunnel
}

// buildRoutes prepares the routes of one service.
func buildRoutes(s *model.Snapshot, t *routing.Table, svc *model.Service, upstreams []*model.Upstream) *serviceRoutes {
	r := &serviceRoutes{service: svc, upstreams: upstreams}
	shared := map[[routing.MaxCandidates]tunnel.HostTag]*route{}
	for bucket := range r.buckets {
		hosts := t.Candidates(svc.ID, uint32(bucket))
		if len(hosts) == 0 {
			continue
		}
		home := s.Upstreams[hosts[0]]
		if home == nil {
			continue
		}
		header := tunnel.Header{Service: svc.ID, Generation: svc.Generation}
		for _, h := range hosts[:min(len(hosts), routing.MaxCandidates)] {
			header.Candidates[header.Count] = tunnel.TagOf(h)
			header.Count++
		}
		known := shared[header.Candidates]
		if known == nil {
			known = &route{header: header, to: home.Tunnel}
			shared[header.Candidates] = known
		}
		r.buckets[bucket] = known
	}
	return r
}
