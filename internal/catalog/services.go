package catalog

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// DefaultQueueLimit is the maximum number of requests queued at one upstream if the operator sets no limit.
const DefaultQueueLimit = 64

// deriveMembersOfHost recomputes the members of every service that the host may carry and returns the service ids.
func (c *Catalog) deriveMembersOfHost(host string) []uint32 {
	ids := c.servicesByHost[host]
	for _, id := range ids {
		c.deriveMembers(c.services[id])
	}
	return slices.Clone(ids)
}

// deriveMembers recomputes the members of a service from its rights and the hosts. The generation changes whenever the
// members, their states or their slots change: these determine the home of every bucket, and a bucket must have exactly
// one home within a generation.
func (c *Catalog) deriveMembers(svc *catalogpb.Service) {
	var members []*catalogpb.Member
	for _, host := range svc.Rights {
		if state, in := c.memberState(svc, c.hosts[host]); in {
			h := c.hosts[host]
			slots := effectiveLimit(h.Slots, h.SlotLimit)
			members = append(members, &catalogpb.Member{Host: host, State: uint32(state), Slots: uint32(slots)})
		}
	}
	same := slices.EqualFunc(members, svc.Members, func(a, b *catalogpb.Member) bool {
		return a.Host == b.Host && a.State == b.State && a.Slots == b.Slots
	})
	if same {
		return
	}
	c.bumpRevision()
	svc.Members = members
	svc.Generation = c.revision
	svc.Version = c.index
	c.dirtyServices[svc.Id] = true
}

func (c *Catalog) memberState(svc *catalogpb.Service, h *catalogpb.Host) (model.UpstreamState, bool) {
	if h == nil || h.Entry || h.Retired || !contains(h.Carries, svc.Name) || contains(svc.Parked, h.Host) {
		return 0, false
	}
	if h.Lost {
		return model.UpstreamLost, true
	}
	if h.Draining || h.Leaving || contains(svc.Draining, h.Host) {
		return model.UpstreamDraining, true
	}
	return model.UpstreamActive, true
}

func (c *Catalog) createService(in *intentpb.Intent, want *intentpb.CreateService) error {
	if id := c.serviceByName[want.Name]; id != 0 {
		return result.Errorf(result.PlanAddressInUse, "service %s exists", want.Name)
	}
	if id := c.serviceByFrontend[want.Frontend]; id != 0 {
		return result.Errorf(result.PlanAddressInUse, "%s belongs to %s", want.Frontend, c.services[id].Name)
	}
	if _, err := netip.ParseAddrPort(want.Frontend); err != nil {
		return result.Errorf(result.IntentMalformed, "frontend %q: %w", want.Frontend, err)
	}
	kind, err := model.ParseKind(want.Kind)
	if err != nil {
		return result.Errorf(result.IntentMalformed, "%w", err)
	}
	if len(c.serviceByName) >= MaxServices {
		return result.Errorf(result.IntentConflict, "%d services exist; close some", MaxServices)
	}
	c.bumpRevision()
	c.lastServiceID++
	svc := &catalogpb.Service{
		Id:            c.lastServiceID,
		Name:          want.Name,
		Frontend:      want.Frontend,
		Kind:          uint32(kind),
		Seed:          seedOf(c.lastServiceID, want.Name),
		QueueLimit:    want.QueueLimit,
		Rights:        sortedSet(want.Hosts),
		Version:       c.index,
		Generation:    c.revision,
		CreatedUnixMs: c.lastUnixMs,
	}
	if svc.QueueLimit == 0 {
		svc.QueueLimit = DefaultQueueLimit
	}
	c.services[svc.Id] = svc
	c.indexService(svc)
	c.dirtyServices[svc.Id] = true
	c.deriveMembers(svc)
	c.recordChange(in, "", "service "+svc.Name+" created at "+svc.Frontend, svc.Id)
	return nil
}

// seedOf derives the seed of the flow hash. It is deterministic, so that all replicas compute the same seed.
func seedOf(id uint32, name string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint32([]byte(name), id))
}

// setRights replaces the hosts that may carry a service and recomputes its members.
func (c *Catalog) setRights(svc *catalogpb.Service, hosts []string) {
	hosts = sortedSet(hosts)
	if slices.Equal(hosts, svc.Rights) {
		return
	}
	c.unindexRights(svc)
	svc.Rights = hosts
	svc.Draining = intersect(svc.Draining, hosts)
	svc.Parked = intersect(svc.Parked, hosts)
	svc.Version = c.index
	c.indexRights(svc)
	c.deriveMembers(svc)
}

func (c *Catalog) indexService(svc *catalogpb.Service) {
	if svc.Closed {
		return
	}
	c.serviceByName[svc.Name] = svc.Id
	c.serviceByFrontend[svc.Frontend] = svc.Id
	c.indexRights(svc)
}

func (c *Catalog) indexRights(svc *catalogpb.Service) {
	for _, host := range svc.Rights {
		c.servicesByHost[host] = sortedSet(append(c.servicesByHost[host], svc.Id))
	}
}

func (c *Catalog) unindexRights(svc *catalogpb.Service) {
	for _, host := range svc.Rights {
		rest := slices.DeleteFunc(c.servicesByHost[host], func(id uint32) bool { return id == svc.Id })
		c.servicesByHost[host] = rest
		if len(rest) == 0 {
			delete(c.servicesByHost, host)
		}
	}
}

// closeService removes a service from the configuration and keeps its record for the report.
func (c *Catalog) closeService(in *intentpb.Intent, svc *catalogpb.Service) {
	c.bumpRevision()
	c.unindexRights(svc)
	delete(c.serviceByName, svc.Name)
	delete(c.serviceByFrontend, svc.Frontend)
	svc.Closed = true
	svc.Members = nil
	svc.ClosedUnixMs = c.lastUnixMs
	svc.Version = c.index
	c.dirtyServices[svc.Id] = true
	c.recordChange(in, "", "service "+svc.Name+" closed", svc.Id)
	c.trimClosedServices()
}

// sortedSet returns the values in ascending order without duplicates.
func sortedSet[T cmp.Ordered](values []T) []T {
	s := slices.Clone(values)
	slices.Sort(s)
	return slices.Compact(s)
}

// contains reports whether a sorted list contains a value.
func contains(sorted []string, value string) bool {
	_, found := slices.BinarySearch(sorted, value)
	return found
}

// intersect returns the values of a that are also in b. Both must be sorted.
func intersect(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(v string) bool { return !contains(b, v) })
}

// subtract returns the values of a that are not in b.
func subtract(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(v string) bool { return slices.Contains(b, v) })
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
