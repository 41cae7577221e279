package catalog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
)

// LossDecay is the time after which earlier losses of a host no longer extend the stable period required for its return.
const LossDecay = time.Hour

// CheckAnnounce returns nil if the catalog would accept an announcement, and otherwise an error with code
// result.AnnounceStale, AnnounceAddressTaken or AnnounceNotPermitted. A missing right for a service is not an error here;
// see MissingRights.
func (c *Catalog) CheckAnnounce(h *catalogpb.Host) error {
	if h.GetHost() == "" {
		return result.Errorf(result.AnnounceNotPermitted, "announcement without a host")
	}
	old := c.hosts[h.Host]
	if old != nil {
		if h.Incarnation < old.Incarnation {
			return result.Errorf(result.AnnounceStale, "incarnation %d of %s follows %d", h.Incarnation, h.Host, old.Incarnation)
		}
		if old.Entry != h.Entry {
			return result.Errorf(result.AnnounceNotPermitted, "%s is registered in another role", h.Host)
		}
		if old.Retired {
			return result.Errorf(result.AnnounceNotPermitted, "%s was retired by intent %d", h.Host, old.RetiredBy)
		}
	}
	if old == nil && len(c.hosts) >= MaxHosts {
		return result.Errorf(result.AnnounceNotPermitted, "%d hosts are known already", MaxHosts)
	}
	if other, taken := c.otherLiveHost(c.hostByTunnel, h.Tunnel, h.Host); taken {
		return result.Errorf(result.AnnounceAddressTaken, "tunnel address %s belongs to %s", h.Tunnel, other)
	}
	if other, taken := c.otherLiveHost(c.hostByRPC, h.Rpc, h.Host); taken {
		return result.Errorf(result.AnnounceAddressTaken, "RPC address %s belongs to %s", h.Rpc, other)
	}
	return nil
}

// otherLiveHost returns the host other than self that has an address, and whether that host is live. Addresses of lost
// and retired hosts are free for reuse.
func (c *Catalog) otherLiveHost(index map[string]string, address, self string) (string, bool) {
	other, found := index[address]
	if !found || address == "" || other == self {
		return "", false
	}
	h := c.hosts[other]
	return other, h != nil && !h.Lost && !h.Retired
}

// MissingRights returns the announced services that the host has no right to carry.
func (c *Catalog) MissingRights(h *catalogpb.Host) []string {
	var missing []string
	for _, name := range h.Carries {
		svc := c.services[c.serviceByName[name]]
		if svc == nil || !contains(svc.Rights, h.Host) {
			missing = append(missing, name)
		}
	}
	return missing
}

// announceHosts registers the announced hosts that pass CheckAnnounce. It returns an error that lists the refused hosts.
func (c *Catalog) announceHosts(cmd *catalogpb.Announce) error {
	var refused []string
	var code result.Code
	for _, h := range cmd.Hosts {
		if err := c.CheckAnnounce(h); err != nil {
			refused = append(refused, errorDetail(err))
			code = result.CodeOf(err)
			continue
		}
		c.register(h)
	}
	if len(refused) > 0 {
		return result.Errorf(code, "%s", strings.Join(refused, "; "))
	}
	return nil
}

func (c *Catalog) register(h *catalogpb.Host) {
	next := proto.Clone(h).(*catalogpb.Host)
	slices.Sort(next.Carries)
	next.Carries = slices.Compact(next.Carries)
	old := c.hosts[h.Host]
	keepOperatorState(next, old)
	if next.Leaving && (old == nil || !old.Leaving) && c.LastActive(next.Host) {
		next.Leaving = false
	}
	if old != nil {
		next.Version = old.Version
		if proto.Equal(next, old) {
			return
		}
	}
	c.bumpRevision()
	next.Version = c.index
	c.unindexHost(old)
	c.hosts[next.Host] = next
	c.indexHost(next)
	c.dirtyHosts[next.Host] = true
	services := c.deriveMembersOfHost(next.Host)
	text := announceText(next, old)
	switch {
	case old != nil && old.Incarnation != next.Incarnation:
		c.mergeEndedIncarnation(old, services)
		c.recordUncertainChange(next.Host, text, services...)
	case text != "":
		c.recordChange(nil, next.Host, text, services...)
	}
}

// keepOperatorState copies from old the fields that an announcement cannot change.
func keepOperatorState(next, old *catalogpb.Host) {
	next.Lost, next.Draining, next.Retired, next.RetiredBy = false, false, false, 0
	next.Losses, next.LostUnixMs, next.SlotLimit, next.ConnectionLimit = 0, 0, 0, 0
	if old == nil {
		return
	}
	next.Lost, next.Draining, next.Retired, next.RetiredBy = old.Lost, old.Draining, old.Retired, old.RetiredBy
	next.Losses, next.LostUnixMs = old.Losses, old.LostUnixMs
	next.SlotLimit, next.ConnectionLimit = old.SlotLimit, old.ConnectionLimit
}

func announceText(next, old *catalogpb.Host) string {
	switch {
	case old == nil:
		return fmt.Sprintf("host %s announced itself from %s", next.Host, next.FailureDomain)
	case old.Incarnation != next.Incarnation:
		return fmt.Sprintf("host %s restarted with incarnation %d", next.Host, next.Incarnation)
	case !old.Leaving && next.Leaving:
		return fmt.Sprintf("host %s asked to leave", next.Host)
	}
	return ""
}

// LastActive reports whether the host is the only active upstream of any service.
func (c *Catalog) LastActive(host string) bool {
	for _, id := range c.servicesByHost[host] {
		if err := c.checkActiveRemains(c.services[id], host); err != nil {
			return true
		}
	}
	return false
}

// checkActiveRemains returns result.PlanLastUpstream if a service would have no active member without the given hosts.
func (c *Catalog) checkActiveRemains(svc *catalogpb.Service, hosts ...string) error {
	if svc == nil || svc.Closing || svc.Closed {
		return nil
	}
	before, after := 0, 0
	for _, m := range svc.Members {
		if m.State != uint32(model.UpstreamActive) {
			continue
		}
		before++
		if !slices.Contains(hosts, m.Host) {
			after++
		}
	}
	if before > 0 && after == 0 {
		return result.Errorf(result.PlanLastUpstream, "%s would have no active upstream without %s", svc.Name, strings.Join(hosts, ", "))
	}
	return nil
}

// declareLost marks hosts as lost. It skips hosts that have restarted since, and hosts whose loss would leave more than
// half of a service's upstreams lost.
func (c *Catalog) declareLost(cmd *catalogpb.DeclareLost) error {
	for _, l := range cmd.Hosts {
		h := c.hosts[l.Host]
		if h == nil || h.Lost || h.Incarnation != l.Incarnation || !c.MayLose(l.Host) {
			continue
		}
		c.bumpRevision()
		if c.lastUnixMs-h.LostUnixMs > LossDecay.Milliseconds() {
			h.Losses = 0
		}
		h.Lost = true
		h.Losses++
		h.LostUnixMs = c.lastUnixMs
		h.Version = c.index
		c.dirtyHosts[h.Host] = true
		services := c.deriveMembersOfHost(h.Host)
		c.recordUncertainChange(h.Host, fmt.Sprintf("host %s declared lost, reported by %s", h.Host, strings.Join(l.Observers, ", ")), services...)
	}
	return nil
}

// MayLose reports whether every service of the host would keep at least half of its upstreams if the host were declared
// lost.
func (c *Catalog) MayLose(host string) bool {
	for _, id := range c.servicesByHost[host] {
		svc := c.services[id]
		lost, in := 0, false
		for _, m := range svc.Members {
			if m.Host == host {
				in = true
			}
			if m.State == uint32(model.UpstreamLost) {
				lost++
			}
		}
		if in && lost+1 > len(svc.Members)/2 {
			return false
		}
	}
	return true
}

// returnHosts makes lost hosts members of their services again.
func (c *Catalog) returnHosts(cmd *catalogpb.Return) error {
	for _, l := range cmd.Hosts {
		h := c.hosts[l.Host]
		if h == nil || !h.Lost || h.Incarnation != l.Incarnation || c.addressTaken(h) {
			continue
		}
		c.bumpRevision()
		c.indexHost(h)
		h.Lost = false
		h.Version = c.index
		c.dirtyHosts[h.Host] = true
		services := c.deriveMembersOfHost(h.Host)
		c.recordChange(nil, h.Host, fmt.Sprintf("host %s returned after a stable period", h.Host), services...)
	}
	return nil
}

// addressTaken reports whether another live host uses the tunnel or RPC address of a lost host.
func (c *Catalog) addressTaken(h *catalogpb.Host) bool {
	_, tunnel := c.otherLiveHost(c.hostByTunnel, h.Tunnel, h.Host)
	_, rpc := c.otherLiveHost(c.hostByRPC, h.Rpc, h.Host)
	return tunnel || rpc
}

// forgetHosts removes lost hosts that no running plan claims, together with the limits that operators set on them.
func (c *Catalog) forgetHosts(cmd *catalogpb.Forget) error {
	for _, l := range cmd.Hosts {
		h := c.hosts[l.Host]
		if h == nil || !h.Lost || h.Retired || h.Incarnation != l.Incarnation || c.intentByClaim[HostObject(l.Host)] != 0 {
			continue
		}
		c.bumpRevision()
		c.unindexHost(h)
		delete(c.hosts, l.Host)
		c.dirtyHosts[l.Host] = true
		services := c.deriveMembersOfHost(l.Host)
		c.recordChange(nil, l.Host, fmt.Sprintf("host %s forgotten", l.Host), services...)
	}
	return nil
}

func (c *Catalog) indexHost(h *catalogpb.Host) {
	if h.Tunnel != "" {
		c.hostByTunnel[h.Tunnel] = h.Host
	}
	if h.Rpc != "" {
		c.hostByRPC[h.Rpc] = h.Host
	}
}

func (c *Catalog) unindexHost(h *catalogpb.Host) {
	if h == nil {
		return
	}
	if c.hostByTunnel[h.Tunnel] == h.Host {
		delete(c.hostByTunnel, h.Tunnel)
	}
	if c.hostByRPC[h.Rpc] == h.Host {
		delete(c.hostByRPC, h.Rpc)
	}
}
