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

// DefaultQueueLimit is the number of requests that may wait at one upstream when the operator names none.
const DefaultQueueLimit = 64

// rederive recomputes the members of every service that the host may carry and returns those services.
func (c *Catalog) rederive(host string) []uint32 {
	ids := c.rightsOf[host]
	for _, id := range ids {
		c.deriveMembers(c.services[id])
	}
	return slices.Clone(ids)
}

// deriveMembers recomputes the members from rights and hosts. The generation changes when the members, their states or
// their slots do: these determine the homes of all buckets, and one generation must have one home per bucket.
func (c *Catalog) deriveMembers(svc *catalogpb.Service) {
	var members []*catalogpb.Member
	for _, host := range svc.Rights {
		if state, in := c.memberState(svc, c.hosts[host]); in {
			h := c.hosts[host]
			slots := limited(h.Slots, h.SlotLimit)
			members = append(members, &catalogpb.Member{Host: host, State: uint32(state), Slots: uint32(slots)})
		}
	}
	same := slices.EqualFunc(members, svc.Members, func(a, b *catalogpb.Member) bool {
		return a.Host == b.Host && a.State == b.State && a.Slots == b.Slots
	})
	if same {
		return
	}
	c.bump()
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
	if id := c.byName[want.Name]; id != 0 {
		return result.Errorf(result.PlanAddressInUse, "service %s exists", want.Name)
	}
	if id := c.byFrontend[want.Frontend]; id != 0 {
		return result.Errorf(result.PlanAddressInUse, "%s belongs to %s", want.Frontend, c.services[id].Name)
	}
	if _, err := netip.ParseAddrPort(want.Frontend); err != nil {
		return result.Errorf(result.IntentMalformed, "frontend %q: %w", want.Frontend, err)
	}
	kind, err := model.ParseKind(want.Kind)
	if err != nil {
		return result.Errorf(result.IntentMalformed, "%w", err)
	}
	if len(c.byName) >= MaxServices {
		return result.Errorf(result.IntentConflict, "%d services exist; close some", MaxServices)
	}
	c.bump()
	c.lastService++
	svc := &catalogpb.Service{
		Id:            c.lastService,
		Name:          want.Name,
		Frontend:      want.Frontend,
		Kind:          uint32(kind),
		Seed:          seedOf(c.lastService, want.Name),
		QueueLimit:    want.QueueLimit,
		Rights:        sortedSet(want.Hosts),
		Version:       c.index,
		Generation:    c.revision,
		CreatedUnixMs: c.at,
	}
	if svc.QueueLimit == 0 {
		svc.QueueLimit = DefaultQueueLimit
	}
	c.services[svc.Id] = svc
	c.indexService(svc)
	c.dirtyServices[svc.Id] = true
	c.deriveMembers(svc)
	c.record(in, "", "service "+svc.Name+" created at "+svc.Frontend, svc.Id)
	return nil
}

// seedOf derives the flow hash's seed, so that replicas agree without random numbers.
func seedOf(id uint32, name string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint32([]byte(name), id))
}

// setRights replaces the rights of a service and recomputes its members.
func (c *Catalog) setRights(svc *catalogpb.Service, hosts []string) {
	hosts = sortedSet(hosts)
	if slices.Equal(hosts, svc.Rights) {
		return
	}
	c.unindexRights(svc)
	svc.Rights = hosts
	svc.Draining = keep(svc.Draining, hosts)
	svc.Parked = keep(svc.Parked, hosts)
	svc.Version = c.index
	c.indexRights(svc)
	c.deriveMembers(svc)
}

func (c *Catalog) indexService(svc *catalogpb.Service) {
	if svc.Closed {
		return
	}
	c.byName[svc.Name] = svc.Id
	c.byFrontend[svc.Frontend] = svc.Id
	c.indexRights(svc)
}

func (c *Catalog) indexRights(svc *catalogpb.Service) {
	for _, host := range svc.Rights {
		c.rightsOf[host] = sortedSet(append(c.rightsOf[host], svc.Id))
	}
}

func (c *Catalog) unindexRights(svc *catalogpb.Service) {
	for _, host := range svc.Rights {
		rest := slices.DeleteFunc(c.rightsOf[host], func(id uint32) bool { return id == svc.Id })
		c.rightsOf[host] = rest
		if len(rest) == 0 {
			delete(c.rightsOf, host)
		}
	}
}

// closeService takes a service out of the configuration. Its record stays for the report.
func (c *Catalog) closeService(in *intentpb.Intent, svc *catalogpb.Service) {
	c.bump()
	c.unindexRights(svc)
	delete(c.byName, svc.Name)
	delete(c.byFrontend, svc.Frontend)
	svc.Closed = true
	svc.Members = nil
	svc.ClosedUnixMs = c.at
	svc.Version = c.index
	c.dirtyServices[svc.Id] = true
	c.record(in, "", "service "+svc.Name+" closed", svc.Id)
	c.trimClosed()
}

// sortedSet returns the values in order and without duplicates.
func sortedSet[T cmp.Ordered](values []T) []T {
	s := slices.Clone(values)
	slices.Sort(s)
	return slices.Compact(s)
}

// contains searches a sorted list.
func contains(sorted []string, value string) bool {
	_, found := slices.BinarySearch(sorted, value)
	return found
}

// keep returns the values of a that b has too; both are sorted.
func keep(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(v string) bool { return !contains(b, v) })
}

// without returns the values of a that b lacks.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(v string) bool { return slices.Contains(b, v) })
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
