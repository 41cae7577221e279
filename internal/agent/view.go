package agent

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// view is a configuration as the packet goroutine uses it. The snapshot is immutable; the other fields belong to the
// packet goroutine.
type view struct {
	snapshot *model.Snapshot
	hosts    map[tunnel.HostTag]model.HostID

	// lists holds the host names of candidate tags. The flow machine may keep a list, so lists are shared and never
	// changed. Only authenticated headers add one, and their number is bounded by the candidates of all buckets.
	lists map[candidateTags][]model.HostID
}

type candidateTags [routing.MaxCandidates]tunnel.HostTag

// maxLists bounds the cached lists, for the case that headers of many older revisions arrive.
const maxLists = 1 << 14

// newView prepares a configuration.
func newView(s *model.Snapshot) *view {
	v := &view{snapshot: s, hosts: map[tunnel.HostTag]model.HostID{}, lists: map[candidateTags][]model.HostID{}}
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

// candidates returns the host names of a header. Hosts that this configuration does not know are left out; the header's
// generation then tells the flow machine that the configuration is behind.
func (v *view) candidates(h *tunnel.Header) []model.HostID {
	if list, ok := v.lists[h.Candidates]; ok {
		return list
	}
	var list []model.HostID
	for _, tag := range h.Candidates[:h.Count] {
		if host, ok := v.hosts[tag]; ok {
			list = append(list, host)
		}
	}
	if len(v.lists) < maxLists {
		v.lists[h.Candidates] = list
	}
	return list
}

// addr returns the tunnel address of a host.
func (v *view) addr(host model.HostID) (netip.AddrPort, bool) {
	up := v.snapshot.Upstreams[host]
	if up == nil {
		return netip.AddrPort{}, false
	}
	return up.Tunnel, true
}
