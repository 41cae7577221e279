package passthrough

import (
	"testing"

	"github.com/onsi/gomega"
)

// repeatRequest sends a request of flow 1 and retransmits it with the intervals of the platform's callers. Probes are
// answered if answers returns true. It returns the time of a reset, or -1.
func repeatRequest(n *network, sent int64, answers func(now int64) bool, before func(now int64)) int64 {
	e := n.entries[0]
	at := e.flows[caller(1)].peer
	s := data(1)
	s.Seq = 7
	for _, after := range []int64{0, 200, 600, 1400, 3000} {
		now := sent + after
		if before != nil {
			before(now)
		}
		d := e.Packet(now, s)
		if d.Verdict == SendReset {
			return now
		}
		if d.Probe && answers(now) {
			e.HandleSignOfLife(at)
		}
	}
	return -1
}

// The caller of a flow whose agent is gone must receive a reset before its request times out. A flow must not be reset
// if its agent restarts as planned, does not reach control VMs, or loses some packets on its link.
func TestCallersOfUnreachableAgents(t *testing.T) {
	never := func(int64) bool { return false }
	always := func(int64) bool { return true }
	for name, c := range map[string]struct {
		rosterMs, ageMs int64 // time of the entry's roster, and age of the agent's report in it
		leaving         bool
		stops           bool // the entry received the agent's notice that it stops
		answers         func(now int64) bool
		want            int64
	}{
		"the agent is gone":                         {0, 900, false, false, never, 1400},
		"its reports arrive":                        {0, 100, false, false, never, -1},
		"its reports do not arrive, but it replies": {0, 5000, false, false, always, -1},
		"it replies late":                           {0, 5000, false, false, func(now int64) bool { return now >= 600 }, -1},
		"it has notified control VMs that it stops": {0, 5000, true, false, never, -1},
		"it has notified the entry that it stops":   {0, 5000, false, true, never, -1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newNetwork(1, 3)
			at := n.mustOpen(t, 0, 1)
			roster := func(now int64) {
				peers := append([]Peer(nil), n.entries[0].roster.Peers...)
				for i := range peers {
					if peers[i].Tunnel == at {
						peers[i].AgeMs, peers[i].Leaving = c.ageMs, c.leaving
						if c.ageMs >= 900 {
							peers[i].AgeMs += now // no further reports
						}
					}
				}
				n.entries[0].SetRoster(now, NewRoster(peers, true))
			}
			if c.stops {
				n.entries[0].HandleStopping(0, at)
			}
			g.Expect(repeatRequest(n, 0, c.answers, roster)).To(gomega.Equal(c.want))
		})
	}
}

// An entry without control VMs has outdated ages of agents' reports, and a single lost packet proves nothing. Neither
// may cause a reset.
func TestStaleRostersCauseNoReset(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	n.mustOpen(t, 0, 1)
	g.Expect(repeatRequest(n, 5000, func(int64) bool { return false }, nil)).To(gomega.Equal(int64(-1)))
}

// After one flow of a lost agent was reset, requests on its other flows must be reset without the same wait.
func TestLaterFlowsAreResetAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 1)
	at := n.mustOpen(t, 0, 1)
	n.mustOpen(t, 0, 2)
	n.age[at] = 900
	n.publish()
	repeatRequest(n, 0, func(int64) bool { return false }, nil)
	n.age[at], n.now = 2900, 2000
	n.publish()
	s := data(2)
	s.Seq = 9
	g.Expect(n.entries[0].Packet(2000, s).Verdict).To(gomega.Equal(ToPeer))
	d := n.entries[0].Packet(2200, s)
	g.Expect(d.Verdict).To(gomega.Equal(SendReset))
	g.Expect(d.Reason).To(gomega.Equal(ReasonUnreachable))
	g.Expect(d.AgeMs).To(gomega.Equal(int64(3100)))
}

// The state of probes and stop notices must expire.
func TestProbesAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 1)
	e := n.entries[0]
	e.HandleStopping(0, tunnel(1))
	e.Expire(stoppingGraceMs - 1)
	g.Expect(e.probes).To(gomega.HaveLen(1))
	e.Expire(stoppingGraceMs)
	g.Expect(e.probes).To(gomega.BeEmpty())
}
