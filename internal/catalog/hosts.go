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

// LossDecay is the time after which earlier losses of a host no longer lengthen its stable period.
const LossDecay = time.Hour

// CheckAnnounce says whether the catalog would take an announcement: result.AnnounceStale, AnnounceAddressTaken or
// AnnounceNotPermitted otherwise. A missing right for one service is not an error here; see MissingRights.
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
	if other, taken := c.holder(c.byTunnel, h.Tunnel, h.Host); taken {
		return result.Errorf(result.AnnounceAddressTaken, "tunnel address %s belongs to %s", h.Tunnel, other)
	}
	if other, taken := c.holder(c.byRPC, h.Rpc, h.Host); taken {
		return result.Errorf(result.AnnounceAddressTaken, "RPC address %s belongs to %s", h.Rpc, other)
	}
	return nil
}

// holder returns the live host other than self that has an address. A lost or retired host gives up its addresses.
func (c *Catalog) holder(index map[string]string, address, self string) (string, bool) {
	other, found := index[address]
	if !found || address == "" || other == self {
		return "", false
	}
	h := c.hosts[other]
	return other, h != nil && !h.Lost && !h.Retired
}

// MissingRights returns the announced services that the host may not carry.
func (c *Catalog) MissingRights(h *catalogpb.Host) []string {
	var missing []string
	for _, name := range h.Carries {
		svc := c.services[c.byName[name]]
		if svc == nil || !contains(svc.Rights, h.Host) {
			missing = append(missing, name)
		}
	}
	return missing
}

// announce registers hosts. A host that fails its check is skipped; the others are registered.
func (c *Catalog) announce(cmd *catalogpb.Announce) error {
	var refused []string
	var code result.Code
	for _, h := range cmd.Hosts {
		if err := c.CheckAnnounce(h); err != nil {
			refused = append(refused, detail(err))
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
	c.bump()
	next.Version = c.index
	c.unindexHost(old)
	c.hosts[next.Host] = next
	c.indexHost(next)
	c.dirtyHosts[next.Host] = true
	services := c.rederive(next.Host)
	text := announceText(next, old)
	switch {
	case old != nil && old.Incarnation != next.Incarnation:
		c.foldTotals(old, services)
		c.recordUncertain(next.Host, text, services...)
	case text != "":
		c.record(nil, next.Host, text, services...)
	}
}

// keepOperatorState copies what announcements cannot change.
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

// LastActive says whether some service has the host as its only active upstream.
func (c *Catalog) LastActive(host string) bool {
	for _, id := range c.rightsOf[host] {
		if err := c.checkRemains(c.services[id], host); err != nil {
			return true
		}
	}
	return false
}

// checkRemains refuses to take hosts from the active members of a service when none would remain.
func (c *Catalog) checkRemains(svc *catalogpb.Service, hosts ...string) error {
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

// declareLost marks hosts as lost. Suspicion never makes more than half of a service's upstreams lost: hosts beyond
// that, and hosts that have restarted meanwhile, are skipped.
func (c *Catalog) declareLost(cmd *catalogpb.DeclareLost) error {
	for _, l := range cmd.Hosts {
		h := c.hosts[l.Host]
		if h == nil || h.Lost || h.Incarnation != l.Incarnation || !c.MayLose(l.Host) {
			continue
		}
		c.bump()
		if c.at-h.LostUnixMs > LossDecay.Milliseconds() {
			h.Losses = 0
		}
		h.Lost = true
		h.Losses++
		h.LostUnixMs = c.at
		h.Version = c.index
		c.dirtyHosts[h.Host] = true
		services := c.rederive(h.Host)
		c.recordUncertain(h.Host, fmt.Sprintf("host %s declared lost, reported by %s", h.Host, strings.Join(l.Observers, ", ")), services...)
	}
	return nil
}

// MayLose says whether every service of the host would keep at least half of its upstreams.
func (c *Catalog) MayLose(host string) bool {
	for _, id := range c.rightsOf[host] {
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

// takeBack makes lost hosts members again.
func (c *Catalog) takeBack(cmd *catalogpb.Return) error {
	for _, l := range cmd.Hosts {
		h := c.hosts[l.Host]
		if h == nil || !h.Lost || h.Incarnation != l.Incarnation || c.addressGone(h) {
			continue
		}
		c.bump()
		c.indexHost(h)
		h.Lost = false
		h.Version = c.index
		c.dirtyHosts[h.Host] = true
		services := c.rederive(h.Host)
		c.record(nil, h.Host, fmt.Sprintf("host %s returned after a stable period", h.Host), services...)
	}
	return nil
}

// addressGone says whether a live host has taken an address of a lost one.
func (c *Catalog) addressGone(h *catalogpb.Host) bool {
	_, tunnel := c.holder(c.byTunnel, h.Tunnel, h.Host)
	_, rpc := c.holder(c.byRPC, h.Rpc, h.Host)
	return tunnel || rpc
}

// forget removes hosts that are lost and that no running plan claims. Operators' limits on the host go with it.
func (c *Catalog) forget(cmd *catalogpb.Forget) error {
	for _, l := range cmd.Hosts {
		h := c.hosts[l.Host]
		if h == nil || !h.Lost || h.Retired || h.Incarnation != l.Incarnation || c.claims[HostObject(l.Host)] != 0 {
			continue
		}
		c.bump()
		c.unindexHost(h)
		delete(c.hosts, l.Host)
		c.dirtyHosts[l.Host] = true
		services := c.rederive(l.Host)
		c.record(nil, l.Host, fmt.Sprintf("host %s forgotten", l.Host), services...)
	}
	return nil
}

func (c *Catalog) indexHost(h *catalogpb.Host) {
	if h.Tunnel != "" {
		c.byTunnel[h.Tunnel] = h.Host
	}
	if h.Rpc != "" {
		c.byRPC[h.Rpc] = h.Host
	}
}

func (c *Catalog) unindexHost(h *catalogpb.Host) {
	if h == nil {
		return
	}
	if c.byTunnel[h.Tunnel] == h.Host {
		delete(c.byTunnel, h.Tunnel)
	}
	if c.byRPC[h.Rpc] == h.Host {
		delete(c.byRPC, h.Rpc)
	}
}
