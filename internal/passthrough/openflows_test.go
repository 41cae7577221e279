package passthrough

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// newAgentWithUpstream returns an agent whose upstream accepts flows of service "s".
func newAgentWithUpstream() *Agent {
	a := NewAgent(tunnel(1), "d")
	a.SetTable(&Table{Version: 1, Routes: map[Endpoint]*Route{front: NewRoute("r", []Target{{"s", 1}})}, IdleTimeout: 15000})
	a.SetUpstream(0, Upstream{Present: true, Service: "s", Active: true, Slots: 3}, false)
	return a
}

// openEstablishedFlow opens a flow at the agent's upstream: the caller acknowledges, and the upstream answers a
// request.
func openEstablishedFlow(a *Agent, now int64, f Flow, acknowledged uint32) {
	header := Forward{Entry: tunnel(200), Version: 1, Service: ServiceTag("s")}
	a.FromPeer(now, Segment{Flow: f, Syn: true}, header)
	a.FromHost(now, Segment{Flow: f, Syn: true, Ack: true})
	a.FromPeer(now, Segment{Flow: f, Ack: true, AckNo: acknowledged, Data: 10}, header)
	a.FromHost(now, Segment{Flow: f, Ack: true, Data: 10})
}

// Only a flow that certainly ended with an earlier incarnation of the upstream may be reset as an orphan. Any other
// reset breaks an open flow.
func TestOrphansAreFlowsOfAnEarlierStart(t *testing.T) {
	header := Forward{Entry: tunnel(200), Version: 1, Service: ServiceTag("s")}
	for _, c := range []struct {
		name   string
		run    func(a *Agent, f Flow)
		orphan bool
	}{
		{"open before an announcement of the earlier incarnation", func(a *Agent, f Flow) {
			openEstablishedFlow(a, 1000, f, 7)
			a.NoteAnnouncement(1500)
		}, true},
		{"opened after the last announcement of the earlier incarnation, possibly at the new one", func(a *Agent, f Flow) {
			a.NoteAnnouncement(900)
			openEstablishedFlow(a, 1000, f, 7)
		}, false},
		{"opened shortly before an announcement that may have been read late", func(a *Agent, f Flow) {
			openEstablishedFlow(a, 1000, f, 7)
			a.NoteAnnouncement(1499)
		}, false},
		{"the caller acknowledged another upstream", func(a *Agent, f Flow) {
			a.FromPeer(1000, Segment{Flow: f, Syn: true}, header)
			a.FromHost(1000, Segment{Flow: f, Syn: true, Ack: true})
			a.NoteAnnouncement(2000)
		}, false},
		{"searched here while another upstream holds it", func(a *Agent, f Flow) {
			a.FromPeer(1000, Segment{Flow: f, Ack: true, AckNo: 7, Data: 10}, header)
			a.NoteAnnouncement(2000)
		}, false},
		{"closed by the upstream", func(a *Agent, f Flow) {
			openEstablishedFlow(a, 1000, f, 7)
			a.FromHost(1100, Segment{Flow: f, Ack: true, Fin: true})
			a.NoteAnnouncement(2000)
		}, false},
		{"returned by the upstream", func(a *Agent, f Flow) {
			openEstablishedFlow(a, 1000, f, 7)
			a.FromHost(1100, Segment{Flow: f, Ack: true, Bounced: true})
			a.NoteAnnouncement(2000)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, f := newAgentWithUpstream(), caller(1)
			c.run(a, f)
			a.SetUpstream(0, Upstream{Present: true, Service: "s", Active: true, Slots: 3}, true)
			orphans := a.TakeOrphans()
			if !c.orphan {
				g.Expect(orphans).To(gomega.BeEmpty())
				return
			}
			g.Expect(orphans).To(gomega.Equal([]OpenFlow{{Flow: f, Acknowledged: 7}}))
			g.Expect(a.TakeOrphans()).To(gomega.BeEmpty())
			s, d := a.ResetOrphan(orphans[0])
			g.Expect(d.Verdict).To(gomega.Equal(SendReset))
			g.Expect(s.AckNo).To(gomega.Equal(uint32(7)))
			openEstablishedFlow(a, 2000, f, 9)
			_, d = a.ResetOrphan(orphans[0])
			g.Expect(d.Verdict).To(gomega.Equal(Drop), "the upstream holds the flow again")
		})
	}
}

// A flow that is reported too late, or never as ended, would be reset although it is open or closed. A flow whose
// reported acknowledgement is too old could not be reset.
func TestFlowChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	a, first, second := newAgentWithUpstream(), caller(1), caller(2)
	openEstablishedFlow(a, 1000, first, 7)
	openEstablishedFlow(a, 1000, second, 8)
	opened, ended := a.FlowChanges(false)
	g.Expect(opened).To(gomega.BeEmpty(), "not confirmed by an announcement")
	g.Expect(ended).To(gomega.BeEmpty())

	a.NoteAnnouncement(2000)
	opened, _ = a.FlowChanges(false)
	g.Expect(opened).To(gomega.ConsistOf(OpenFlow{first, 7}, OpenFlow{second, 8}))
	opened, ended = a.FlowChanges(false)
	g.Expect(slices.Concat(opened)).To(gomega.BeEmpty())
	g.Expect(ended).To(gomega.BeEmpty())

	header := Forward{Entry: tunnel(200), Version: 1, Service: ServiceTag("s")}
	a.FromPeer(2100, Segment{Flow: first, Ack: true, AckNo: 7 + minAckAdvance}, header)
	a.FromHost(2200, Segment{Flow: second, Rst: true})
	opened, ended = a.FlowChanges(false)
	g.Expect(opened).To(gomega.ConsistOf(OpenFlow{first, 7 + minAckAdvance}))
	g.Expect(ended).To(gomega.ConsistOf(second))

	opened, ended = a.FlowChanges(true)
	g.Expect(opened).To(gomega.ConsistOf(OpenFlow{first, 7 + minAckAdvance}))
	g.Expect(ended).To(gomega.BeEmpty())
	a.Expire(2200 + 15000 + expirySlackMs + 1)
	_, ended = a.FlowChanges(false)
	g.Expect(ended).To(gomega.ConsistOf(first))
}

// An agent that has started beside an upstream that lives must not reset flows that a control VM names as those of an earlier
// incarnation: the upstream answered on a flow that it did not open through this agent, so it has not restarted since.
func TestLiveUpstreamHasNoOrphans(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(a *Agent)
		reset  bool
	}{
		{"nothing was heard of the upstream", func(*Agent) {}, true},
		{"it answered on a flow of before", func(a *Agent) {
			a.FromHost(100, Segment{Flow: caller(8), Ack: true, Data: 10})
		}, false},
		{"it opened a flow", func(a *Agent) { openEstablishedFlow(a, 100, caller(8), 7) }, true},
		{"it returned a packet", func(a *Agent) {
			a.FromHost(100, Segment{Flow: caller(8), Ack: true, Bounced: true})
		}, true},
		{"it answered on a flow of before, and has restarted since", func(a *Agent) {
			a.FromHost(100, Segment{Flow: caller(8), Ack: true, Data: 10})
			a.SetUpstream(200, Upstream{Present: true, Service: "s", Active: true}, true)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAgentWithUpstream()
			c.before(a)
			_, d := a.ResetOrphan(OpenFlow{Flow: caller(7), Acknowledged: 5})
			gomega.NewWithT(t).Expect(d.Verdict == SendReset).To(gomega.Equal(c.reset))
		})
	}
}

// An upstream whose announcements are late or refused is not gone: while it sends packets, its agent must be searched for flows,
// or they count as held nowhere.
func TestUpstreamThatSendsIsNotVacant(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewAgent(tunnel(1), "d")
	g.Expect(a.Vacant(startupGraceMs)).To(gomega.BeTrue())
	a.FromHost(100, Segment{Flow: caller(7), Ack: true, Bounced: true})
	g.Expect(a.Vacant(startupGraceMs)).To(gomega.BeFalse())
	g.Expect(a.Vacant(100+startupGraceMs)).To(gomega.BeTrue(), "it has ended without a notice")
	a.SetUpstream(3000, Upstream{Present: true, Service: "s"}, false)
	a.SetUpstream(4000, Upstream{}, false)
	g.Expect(a.Vacant(4000)).To(gomega.BeTrue(), "it said that it ends")
}
