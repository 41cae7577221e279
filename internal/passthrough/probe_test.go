package passthrough

import (
	"testing"

	"github.com/onsi/gomega"
)

// repeating lets the caller of flow 1 send a request at 0 and repeat it like the platform's callers, answers the entry's probes
// if answers allows, and returns when the caller was told that its flow is gone, or -1.
func repeating(n *network, sent int64, answers func(now int64) bool, before func(now int64)) int64 {
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
			e.Alive(at)
		}
	}
	return -1
}

// The caller of a flow whose agent is gone must be told while its request has time left. A flow whose agent is restarted as
// planned, is not heard by control VMs only, or lies behind a link that loses packets must be left alone.
func TestCallersOfUnreachableAgents(t *testing.T) {
	never := func(int64) bool { return false }
	always := func(int64) bool { return true }
	for name, c := range map[string]struct {
		rosterMs, ageMs int64 // the entry's roster, and the age of the agent's report there
		leaving         bool
		stops           bool // the agent has told the entry
		answers         func(now int64) bool
		want            int64
	}{
		"the agent is gone":                          {0, 900, false, false, never, 1400},
		"its reports come":                           {0, 100, false, false, never, -1},
		"control VMs do not hear it, but it answers": {0, 5000, false, false, always, -1},
		"it answers late":                            {0, 5000, false, false, func(now int64) bool { return now >= 600 }, -1},
		"it has told control VMs that it stops":      {0, 5000, true, false, never, -1},
		"it has told the entry that it stops":        {0, 5000, false, true, never, -1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newNetwork(1, 3)
			at := n.mustHold(t, 0, 1)
			roster := func(now int64) {
				peers := append([]Peer(nil), n.entries[0].roster.Peers...)
				for i := range peers {
					if peers[i].Tunnel == at {
						peers[i].AgeMs, peers[i].Leaving = c.ageMs, c.leaving
						if c.ageMs >= 900 {
							peers[i].AgeMs += now // it has not reported since
						}
					}
				}
				n.entries[0].SetRoster(now, NewRoster(peers, true))
			}
			if c.stops {
				n.entries[0].Stops(0, at)
			}
			g.Expect(repeating(n, 0, c.answers, roster)).To(gomega.Equal(c.want))
		})
	}
}

// An entry that has lost the control VMs knows nothing of agents' reports, and one lost packet is no sign of anything.
func TestOldRostersProveNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	n.mustHold(t, 0, 1)
	g.Expect(repeating(n, 5000, func(int64) bool { return false }, nil)).To(gomega.Equal(int64(-1)))
}

// Other flows of a lost agent that are used later must not wait as long as the first one.
func TestLaterRequestsAreToldAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 1)
	at := n.mustHold(t, 0, 1)
	n.mustHold(t, 0, 2)
	n.age[at] = 900
	n.publish()
	repeating(n, 0, func(int64) bool { return false }, nil)
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

// What an entry remembers of probes and stops must not outlive its use.
func TestProbesAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 1)
	e := n.entries[0]
	e.Stops(0, tunnel(1))
	e.Expire(stoppingMs - 1)
	g.Expect(e.probes).To(gomega.HaveLen(1))
	e.Expire(stoppingMs)
	g.Expect(e.probes).To(gomega.BeEmpty())
}
