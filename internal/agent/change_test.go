package agent_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/standin/caller"
	"github.com/plantainseam/plantainseam/standin/fabric"
	"github.com/plantainseam/plantainseam/standin/site"
)

// newSiteWithFlows starts a site with upstreams u1 to u3 and a caller that has at least count open flows, and at least
// one flow per upstream.
func newSiteWithFlows(
	t *testing.T, options site.Options, faults fabric.Faults, count int,
) (*site.Site, []*caller.Terminal) {
	t.Helper()
	g := NewWithT(t)
	if options.Delivery.SilenceTimeout == 0 {
		options.Delivery.SilenceTimeout = time.Hour // a busy machine may stall for longer than the default of 52 s
	}
	s := newSite(t, options)
	for _, host := range []model.HostID{"u1", "u2", "u3"} {
		addUpstream(t, s, host)
	}
	host, err := s.Caller("10.1.0.1")
	g.Expect(err).NotTo(HaveOccurred())
	s.Fabric.SetFaults(faults)
	flows := openLines(t, host, count, testTimeout)
	for extra := 0; len(countByServer(flows)) < 3 && extra < 100; extra++ {
		flows = append(flows, openLines(t, host, 1, testTimeout)...)
	}
	g.Expect(countByServer(flows)).To(HaveLen(3), "flows on every upstream")
	return s, flows
}

// Guards against entry VMs that keep flow state: open flows must continue when an entry VM is killed, also before the
// fabric detects the failure, and when an entry VM joins.
func TestEntryKilledAndJoined(t *testing.T) {
	g := NewWithT(t)
	s, flows := newSiteWithFlows(t, site.Options{Seed: 2}, fabric.Faults{}, 30)
	noticed, err := s.KillEntry("e2")
	g.Expect(err).NotTo(HaveOccurred())
	checkAll(t, flows)
	noticed()
	checkAll(t, flows)
	joined, err := s.AddEntry("e4")
	g.Expect(err).NotTo(HaveOccurred())
	checkAll(t, flows)
	g.Expect(joined.Counters().Forwarded).To(BeNumerically(">", 0))
}

// Guards against flows that break or move to another upstream when the homes of their buckets change and some entry VMs
// and agents still use an older configuration.
func TestUpstreamAddedDrainedRemoved(t *testing.T) {
	g := NewWithT(t)
	s, flows := newSiteWithFlows(t, site.Options{Seed: 3}, fabric.Faults{}, 45)
	s.SetStale("e1", true)
	s.SetStale("u3", true)
	addUpstream(t, s, "u4")
	checkAll(t, flows)
	s.SetStale("u3", false)
	checkAll(t, flows)
	s.SetStale("e1", false)
	checkAll(t, flows)

	s.SetMember(linesID, "u1", model.UpstreamDraining)
	s.SetMember(pagesID, "u1", model.UpstreamDraining)
	checkAll(t, flows)
	host, err := s.Caller("10.1.0.2")
	g.Expect(err).NotTo(HaveOccurred())
	later := openLines(t, host, 30, testTimeout)
	g.Expect(countByServer(later)).NotTo(HaveKey("u1"), "a draining upstream gets no new flow")
	g.Expect(countByServer(later)).To(HaveKey("u4"))

	for _, f := range flows {
		if f.Server == "u1" {
			g.Expect(f.Finish()).To(Succeed())
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	g.Expect(s.Agent("u1").Drain(ctx)).To(BeEmpty())
	s.RemoveMember(linesID, "u1")
	s.RemoveMember(pagesID, "u1")
	g.Expect(s.StopAgent("u1")).To(Succeed())
	for _, f := range append(flows, later...) {
		if f.Server != "u1" {
			g.Expect(f.Check()).To(Succeed())
		}
	}
}

// Guards against refused packets while a tunnel key is replaced on one process after the other.
func TestKeyRotationUnderFlows(t *testing.T) {
	g := NewWithT(t)
	s, flows := newSiteWithFlows(t, site.Options{Seed: 15}, fabric.Faults{}, 20)
	first, second := site.TestKey(1), site.TestKey(2)
	hosts := []model.HostID{"u1", "e1", "u2", "e2", "u3", "e3"}
	for _, step := range [][]tunnel.Key{{first, second}, {second, first}, {second}} {
		keys, err := tunnel.NewKeyRing(step[0], step[1:]...)
		g.Expect(err).NotTo(HaveOccurred())
		for _, host := range hosts {
			s.SetKeys(keys, host)
			checkAll(t, flows)
		}
	}
	for _, host := range []model.HostID{"u1", "u2", "u3"} {
		g.Expect(s.Agent(host).Counters().Dropped).NotTo(HaveKey(result.TunnelForged))
	}
}

// Guards against a flow that breaks, and a line that is lost or answered twice, on a path that loses, reorders and
// duplicates packets.
func TestLossAndReorder(t *testing.T) {
	faults := fabric.Faults{Loss: 0.01, Duplicate: 0.01, Reorder: 0.02, ReorderBy: 5 * time.Millisecond,
		Delay: time.Millisecond, Jitter: time.Millisecond}
	s, flows := newSiteWithFlows(t, site.Options{Seed: 4}, faults, 30)
	for range 10 {
		checkAll(t, flows)
	}
	g := NewWithT(t)
	g.Expect(s.Fabric.Counters().Lost).To(BeNumerically(">", 0))
	g.Expect(s.Fabric.Counters().Reordered).To(BeNumerically(">", 0))
}

// Guards against a drain that interrupts flows, accepts new flows, or does not return the flows that remain.
func TestDrainOfAgent(t *testing.T) {
	g := NewWithT(t)
	s, flows := newSiteWithFlows(t, site.Options{Seed: 5}, fabric.Faults{}, 30)
	var undrained []*caller.Terminal
	for _, f := range flows {
		if f.Server == "u2" {
			undrained = append(undrained, f)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	remaining := s.Agent("u2").Drain(ctx)
	callers := map[string]bool{}
	for _, key := range remaining {
		callers[key.Caller.String()] = true
	}
	g.Expect(callers).To(HaveLen(len(undrained)))
	for _, f := range undrained {
		g.Expect(callers).To(HaveKey(f.Caller().String()))
	}
	checkAll(t, flows)
	host, err := s.Caller("10.1.0.2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(countByServer(openLines(t, host, 30, testTimeout))).NotTo(HaveKey("u2"))
}
