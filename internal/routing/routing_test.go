package routing_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/routing"
)

// snapshot returns services with six hosts each.
func snapshot(services int) *model.Snapshot {
	s := model.NewSnapshot()
	s.Revision = 1
	for i := range services {
		svc := &model.Service{
			ID: model.ServiceID(i + 1), Seed: uint64(i) * 0x9e3779b97f4a7c15, Generation: 1,
			Frontend: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 80),
		}
		for j := range 6 {
			host := model.HostID(fmt.Sprintf("u%d", i*5+j))
			svc.Members = append(svc.Members, model.Member{Host: host, State: model.UpstreamActive})
			s.Upstreams[host] = &model.Upstream{Ref: model.HostRef{Host: host, Incarnation: 1}, Slots: 3}
		}
		s.Services[svc.ID] = svc
	}
	return s
}

// edit returns a copy in which a member of service 1 has the given state and number of slots.
func edit(s *model.Snapshot, host int, state model.UpstreamState, slots int) *model.Snapshot {
	c := s.Clone()
	c.Revision++
	svc := *c.Services[1]
	svc.Members = append([]model.Member(nil), svc.Members...)
	svc.Members[host].State = state
	svc.Generation = c.Revision
	c.Services[1] = &svc
	up := *c.Upstreams[svc.Members[host].Host]
	up.Slots = slots
	c.Upstreams[up.Ref.Host] = &up
	return c
}

// Guards against a reused table that differs from one built anew: processes that built it from
// different predecessors would then disagree about homes.
func TestBuildFromEqualsBuild(t *testing.T) {
	g := NewWithT(t)
	before := snapshot(20)
	for _, after := range []*model.Snapshot{
		edit(before, 2, model.UpstreamDraining, 3),
		edit(before, 2, model.UpstreamLost, 3),
		edit(before, 2, model.UpstreamActive, 6),
	} {
		fresh, reused := routing.Build(after), routing.BuildFrom(routing.Build(before), after)
		g.Expect(reused.Revision()).To(Equal(after.Revision))
		for id := range after.Services {
			for b := range uint32(routing.Buckets) {
				want, hasHome := fresh.Home(id, b)
				got, ok := reused.Home(id, b)
				g.Expect(ok).To(Equal(hasHome))
				g.Expect(got).To(Equal(want))
			}
		}
	}
}

// Guards against buckets that move although their home stays eligible, which would break flows needlessly, and against
// a new home that is not the second-ranked upstream: the home must not depend on why its predecessor is not eligible.
func TestOnlyBucketsOfTheChangedHostMove(t *testing.T) {
	g := NewWithT(t)
	before := snapshot(1)
	changed := before.Services[1].Members[2].Host
	removed := before.Clone()
	svc := *removed.Services[1]
	svc.Members = slices.Delete(slices.Clone(svc.Members), 2, 3)
	removed.Services[1] = &svc
	old, second := routing.Build(before), routing.Build(removed)
	drained := routing.Build(edit(before, 2, model.UpstreamDraining, 3))
	lost := routing.Build(edit(before, 2, model.UpstreamLost, 3))
	moved := 0
	for b := range uint32(routing.Buckets) {
		oldHome, _ := old.Home(1, b)
		nextHome, _ := second.Home(1, b)
		if oldHome != changed {
			g.Expect(nextHome).To(Equal(oldHome))
		} else {
			moved++
		}
		for _, table := range []*routing.Table{drained, lost} {
			newHome, ok := table.Home(1, b)
			g.Expect(ok).To(BeTrue())
			g.Expect(newHome).To(Equal(nextHome))
		}
	}
	g.Expect(moved).To(BeNumerically(">", 0))
}

// Guards against hosts that get more or fewer buckets than their slots justify.
func TestWeights(t *testing.T) {
	g := NewWithT(t)
	s := edit(snapshot(1), 2, model.UpstreamActive, 9)
	counts := map[model.HostID]int{}
	const seeds = 40
	for seed := range uint64(seeds) {
		svc := *s.Services[1]
		svc.Seed = seed
		s.Services[1] = &svc
		table := routing.Build(s)
		for b := range uint32(routing.Buckets) {
			home, _ := table.Home(1, b)
			counts[home]++
		}
	}
	total := seeds * routing.Buckets
	for i, m := range s.Services[1].Members {
		want := total * 3 / 24
		if i == 2 {
			want = total * 9 / 24
		}
		g.Expect(counts[m.Host]).To(BeNumerically("~", want, total/50))
	}
}

// Guards against a lost upstream as home, and against a draining one while another is active: a draining upstream
// accepts no new flows.
func TestHomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		states []model.UpstreamState
		home   model.UpstreamState // state of every home; zero means none
	}{
		{"one active", []model.UpstreamState{3, 3, 3, 2, 2, 1}, model.UpstreamActive},
		{"none active", []model.UpstreamState{3, 3, 2, 2, 2, 2}, model.UpstreamDraining},
		{"all lost", []model.UpstreamState{3, 3, 3, 3, 3, 3}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := snapshot(1)
			active := s.Clone() // its only members are the upstreams that may be homes, all active
			svc := *s.Services[1]
			svc.Members = nil
			for i, state := range c.states {
				m := &s.Services[1].Members[i]
				m.State = state
				if state == c.home {
					svc.Members = append(svc.Members, model.Member{Host: m.Host, State: model.UpstreamActive})
				}
			}
			active.Services[1] = &svc
			table, ranked := routing.Build(s), routing.Build(active)
			for b := range uint32(routing.Buckets) {
				home, ok := table.Home(1, b)
				g.Expect(ok).To(Equal(c.home != 0))
				highest, _ := ranked.Home(1, b)
				g.Expect(home).To(Equal(highest))
				if ok {
					m, _ := s.Services[1].Member(home)
					g.Expect(m.State).To(Equal(c.home))
				}
			}
		})
	}
}

// Guards against a frontend that is found under one form of its address only, and against buckets
// that depend on the form of the caller's address.
func TestMappedAddresses(t *testing.T) {
	g := NewWithT(t)
	s := snapshot(3)
	table := routing.Build(s)
	mapped := netip.AddrPortFrom(netip.AddrFrom16(s.Services[2].Frontend.Addr().As16()), 80)
	svc, ok := table.Lookup(mapped)
	g.Expect(ok).To(BeTrue())
	g.Expect(svc).To(BeIdenticalTo(s.Services[2]))
	_, ok = table.Lookup(netip.AddrPortFrom(mapped.Addr(), 81))
	g.Expect(ok).To(BeFalse())
	g.Expect(routing.Bucket(5, mapped)).To(Equal(routing.Bucket(5, s.Services[2].Frontend)))
	_, ok = table.Home(99, 0)
	g.Expect(ok).To(BeFalse(), "an unknown service has no home")
}

// BenchmarkBuild builds the tables of 1,100 services with six hosts each, and rebuilds them after a change of one.
func BenchmarkBuild(b *testing.B) {
	before := snapshot(1100)
	after := edit(before, 2, model.UpstreamDraining, 3)
	b.Run("all", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			routing.Build(before)
		}
	})
	b.Run("one-changed", func(b *testing.B) {
		table := routing.Build(before)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			routing.BuildFrom(table, after)
		}
	})
	b.Run("lookup", func(b *testing.B) {
		table := routing.Build(before)
		dst, caller := before.Services[500].Frontend, netip.MustParseAddrPort("127.4.3.2:4000")
		const batch = 1 << 16 // lookups per iteration; one alone is too short to measure
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			for range batch {
				svc, _ := table.Lookup(dst)
				table.Home(svc.ID, routing.Bucket(svc.Seed, caller))
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/lookup")
	})
}
