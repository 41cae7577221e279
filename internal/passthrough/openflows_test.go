package passthrough

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// beside returns an agent that accepts flows of service "s".
func beside() *Agent {
	a := NewAgent(tunnel(1), "d")
	a.SetTable(&Table{Version: 1, Routes: map[Endpoint]*Route{front: NewRoute("r", []Target{{"s", 1}})}, IdleTimeout: 15000})
	a.SetUpstream(0, Upstream{Present: true, Service: "s", Active: true, Slots: 3}, false)
	return a
}

// opens opens a flow at the agent's upstream: the caller acknowledges and the upstream answers a request.
func opens(a *Agent, now int64, f Flow, acknowledged uint32) {
	header := Forward{Entry: tunnel(200), Version: 1, Service: ServiceTag("s")}
	a.FromPeer(now, Segment{Flow: f, Syn: true}, header)
	a.FromHost(now, Segment{Flow: f, Syn: true, Ack: true})
	a.FromPeer(now, Segment{Flow: f, Ack: true, AckNo: acknowledged, Data: 10}, header)
	a.FromHost(now, Segment{Flow: f, Ack: true, Data: 10})
}

// A flow may be reset as an orphan only if it certainly ended with an earlier start of the upstream. Reset wrongly, an open
// flow breaks.
func TestOrphansAreFlowsOfAnEarlierStart(t *testing.T) {
	header := Forward{Entry: tunnel(200), Version: 1, Service: ServiceTag("s")}
	for _, c := range []struct {
		name   string
		play   func(a *Agent, f Flow)
		orphan bool
	}{
		{"open before an announcement of the earlier start", func(a *Agent, f Flow) {
			opens(a, 1000, f, 7)
			a.Confirm(1500)
		}, true},
		{"opened after the last announcement of the earlier start, maybe at the new one", func(a *Agent, f Flow) {
			a.Confirm(900)
			opens(a, 1000, f, 7)
		}, false},
		{"opened shortly before an announcement that may have been read late", func(a *Agent, f Flow) {
			opens(a, 1000, f, 7)
			a.Confirm(1499)
		}, false},
		{"the caller acknowledged another upstream", func(a *Agent, f Flow) {
			a.FromPeer(1000, Segment{Flow: f, Syn: true}, header)
			a.FromHost(1000, Segment{Flow: f, Syn: true, Ack: true})
			a.Confirm(2000)
		}, false},
		{"searched here while it lives elsewhere", func(a *Agent, f Flow) {
			a.FromPeer(1000, Segment{Flow: f, Ack: true, AckNo: 7, Data: 10}, header)
			a.Confirm(2000)
		}, false},
		{"closed by the upstream", func(a *Agent, f Flow) {
			opens(a, 1000, f, 7)
			a.FromHost(1100, Segment{Flow: f, Ack: true, Fin: true})
			a.Confirm(2000)
		}, false},
		{"returned by the upstream", func(a *Agent, f Flow) {
			opens(a, 1000, f, 7)
			a.FromHost(1100, Segment{Flow: f, Ack: true, Bounced: true})
			a.Confirm(2000)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, f := beside(), caller(1)
			c.play(a, f)
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
			opens(a, 2000, f, 9)
			_, d = a.ResetOrphan(orphans[0])
			g.Expect(d.Verdict).To(gomega.Equal(Drop), "the upstream holds the flow again")
		})
	}
}

// A flow that is reported too late or never as ended would be reset for nothing; one whose acknowledgement is too old would
// not be reset.
func TestFlowChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	a, first, second := beside(), caller(1), caller(2)
	opens(a, 1000, first, 7)
	opens(a, 1000, second, 8)
	opened, ended := a.FlowChanges(false)
	g.Expect(opened).To(gomega.BeEmpty(), "not confirmed by an announcement")
	g.Expect(ended).To(gomega.BeEmpty())

	a.Confirm(2000)
	opened, _ = a.FlowChanges(false)
	g.Expect(opened).To(gomega.ConsistOf(OpenFlow{first, 7}, OpenFlow{second, 8}))
	opened, ended = a.FlowChanges(false)
	g.Expect(slices.Concat(opened)).To(gomega.BeEmpty())
	g.Expect(ended).To(gomega.BeEmpty())

	header := Forward{Entry: tunnel(200), Version: 1, Service: ServiceTag("s")}
	a.FromPeer(2100, Segment{Flow: first, Ack: true, AckNo: 7 + acknowledgedDrift}, header)
	a.FromHost(2200, Segment{Flow: second, Rst: true})
	opened, ended = a.FlowChanges(false)
	g.Expect(opened).To(gomega.ConsistOf(OpenFlow{first, 7 + acknowledgedDrift}))
	g.Expect(ended).To(gomega.ConsistOf(second))

	opened, ended = a.FlowChanges(true)
	g.Expect(opened).To(gomega.ConsistOf(OpenFlow{first, 7 + acknowledgedDrift}))
	g.Expect(ended).To(gomega.BeEmpty())
	a.Expire(2200 + 15000 + forgetSlackMs + 1)
	_, ended = a.FlowChanges(false)
	g.Expect(ended).To(gomega.ConsistOf(first))
}
