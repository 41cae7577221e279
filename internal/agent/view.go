package agent

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// view is a configuration with the index of host tags that the packet goroutine needs. It is immutable.
type view struct {
	snapshot  *model.Snapshot
	hostByTag map[tunnel.HostTag]model.HostID
}

// newView indexes the hosts of a configuration by tag.
func newView(s *model.Snapshot) *view {
	v := &view{snapshot: s, hostByTag: map[tunnel.HostTag]model.HostID{}}
	for host := range s.Upstreams {
		v.hostByTag[tunnel.TagOf(host)] = host
	}
	for _, svc := range s.Services {
		for _, m := range svc.Members {
			v.hostByTag[tunnel.TagOf(m.Host)] = m.Host
		}
	}
	return v
}

// tunnelAddr returns the tunnel address of a host, and false if the configuration does not have the host.
func (v *view) tunnelAddr(host model.HostID) (netip.AddrPort, bool) {
	up := v.snapshot.Upstreams[host]
	if up == nil {
		return netip.AddrPort{}, false
	}
	return up.Tunnel, true
}
