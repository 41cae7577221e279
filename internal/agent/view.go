package agent

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// view is a configuration as the packet goroutine uses it. It is immutable.
type view struct {
	snapshot *model.Snapshot
	hosts    map[tunnel.HostTag]model.HostID
}

// newView prepares a configuration.
func newView(s *model.Snapshot) *view {
	v := &view{snapshot: s, hosts: map[tunnel.HostTag]model.HostID{}}
	for host := range s.Upstreams {
		v.hosts[tunnel.TagOf(host)] = host
	}
	for _, svc := range s.Services {
		for _, m := range svc.Members {
			v.hosts[tunnel.TagOf(m.Host)] = m.Host
		}
	}
	return v
}

// addr returns the tunnel address of a host.
func (v *view) addr(host model.HostID) (netip.AddrPort, bool) {
	up := v.snapshot.Upstreams[host]
	if up == nil {
		return netip.AddrPort{}, false
	}
	return up.Tunnel, true
}
