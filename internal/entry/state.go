package entry

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// forwardingTable holds the routes of all services by frontend. It is immutable once the traffic goroutines use it.
type forwardingTable struct {
	revision model.Revision
	services map[netip.AddrPort]*serviceRoutes
}

// serviceRoutes holds the routes of a service by bucket. Buckets with the same home agent share one route.
type serviceRoutes struct {
	seed    uint64
	buckets [routing.Buckets]*route
}

// route is the destination of the packets of a bucket and the routing header that they get. A bucket without a home
// agent in the configuration has a nil route.
type route struct {
	header tunnel.Header
	to     netip.AddrPort
}

// buildTable builds the routes of all services in a snapshot. It does not detect which services have changed: a service
// takes about 20 microseconds, and there are 1,100 services and 570 changes a day.
func buildTable(s *model.Snapshot, t *routing.Table) *forwardingTable {
	next := &forwardingTable{revision: s.Revision, services: make(map[netip.AddrPort]*serviceRoutes, len(s.Services))}
	for _, svc := range s.Services {
		frontend := netip.AddrPortFrom(svc.Frontend.Addr().Unmap(), svc.Frontend.Port())
		next.services[frontend] = buildRoutes(s, t, svc)
	}
	return next
}

// buildRoutes builds the routes of one service.
func buildRoutes(s *model.Snapshot, t *routing.Table, svc *model.Service) *serviceRoutes {
	r := &serviceRoutes{seed: svc.Seed}
	header := tunnel.Header{Service: svc.ID, Generation: svc.Generation}
	shared := map[model.HostID]*route{}
	for bucket := range r.buckets {
		home, ok := t.Home(svc.ID, uint32(bucket))
		if !ok {
			continue
		}
		homeRoute := shared[home]
		if homeRoute == nil {
			up := s.Upstreams[home]
			if up == nil {
				continue
			}
			homeRoute = &route{header: header, to: up.Tunnel}
			shared[home] = homeRoute
		}
		r.buckets[bucket] = homeRoute
	}
	return r
}
