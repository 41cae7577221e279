package passthrough

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// Packets of an established flow must reach the same host through any entry after every planned change.
func TestEstablishedFlowsReachTheirHost(t *testing.T) {
	cases := []struct {
		name   string
		change func(n *network, holder Endpoint)
	}{
		{"nothing changes", func(*network, Endpoint) {}},
		{"entries restart", func(n *network, _ Endpoint) {
			n.entries[0], n.entries[1] = NewEntry(tunnel(200), "d"), NewEntry(tunnel(201), "d")
			n.publish()
		}},
		{"the holder's agent restarts", func(n *network, at Endpoint) { n.startAgent(at); n.publish() }},
		{"every agent restarts", func(n *network, _ Endpoint) {
			for _, at := range n.order {
				n.startAgent(at)
			}
			n.publish()
		}},
		{"every process restarts and the control VMs have no state", func(n *network, _ Endpoint) {
			n.settled = false
			n.entries[0], n.entries[1] = NewEntry(tunnel(200), "d"), NewEntry(tunnel(201), "d")
			for _, at := range n.order {
				n.startAgent(at)
			}
			n.publish()
		}},
		{"the holder drains", func(n *network, at Endpoint) {
			n.hosts[at].draining = true
			n.agents[at].SetUpstream(n.now, Upstream{Present: true, Service: "s", Slots: 3}, false)
			n.publish()
		}},
		{"agents are added", func(n *network, _ Endpoint) {
			for i := 50; i < 60; i++ {
				n.addAgent(tunnel(i), "s")
			}
			n.publish()
		}},
		{"all other agents leave", func(n *network, at Endpoint) {
			for _, o := range slices.Clone(n.order) {
				if o != at {
					n.remove(o)
				}
			}
			n.publish()
		}},
		{"the route moves to another service", func(n *network, _ Endpoint) {
			n.addAgent(tunnel(70), "other")
			n.table = &Table{Version: 2, Routes: map[Endpoint]*Route{front: NewRoute("r", []Target{{"other", 1}})}}
			n.publish()
		}},
		{"only one of the entries has the new table", func(n *network, _ Endpoint) {
			n.entries[1].SetTable(&Table{Version: 2, Routes: map[Endpoint]*Route{front: NewRoute("r", []Target{{"other", 1}})}})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newNetwork(2, 7)
			holders := map[int]Endpoint{}
			for i := range 60 {
				holders[i] = n.mustOpen(t, 0, i)
			}
			c.change(n, holders[0])
			for i := range 60 {
				if n.agents[holders[i]] == nil {
					continue // its host was removed
				}
				n.expectReaches(t, 1, i, holders[i])
				n.expectReaches(t, 0, i, holders[i])
			}
			g.Expect(n.resets).To(gomega.BeEmpty())
		})
	}
}

// New flows must not go to an upstream that is draining, unknown, full or of another service.
func TestNewFlowsAvoidUnusableUpstreams(t *testing.T) {
	cases := []struct {
		name       string
		breakAgent func(n *network, at Endpoint)
	}{
		{"a draining upstream that only its agent knows", func(n *network, at Endpoint) {
			n.agents[at].SetUpstream(n.now, Upstream{Present: true, Service: "s", Slots: 3}, false)
		}},
		{"an upstream that has not announced itself since the start of its agent", func(n *network, at Endpoint) {
			n.agents[at] = NewAgent(at, "d")
			n.agents[at].SetTable(n.table)
			n.agents[at].SetRoster(n.now, n.entries[0].roster)
		}},
		{"a full upstream", func(n *network, at Endpoint) { n.hosts[at].full = true }},
		{"an address that another service reuses", func(n *network, at Endpoint) {
			n.hosts[at].service = "other"
			n.agents[at].SetUpstream(n.now, Upstream{Present: true, Service: "other", Active: true, Slots: 3}, true)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(1, 5)
			bad := tunnel(2)
			c.breakAgent(n, bad)
			for i := range 100 {
				if at := n.mustOpen(t, 0, i); at == bad {
					t.Fatalf("flow %d was placed on %v", i, at)
				}
			}
		})
	}
}

// A retransmitted opening packet must go to another upstream if the first one does not answer.
func TestOpeningIsTriedElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 5)
	for i := range 40 {
		first := n.entries[0].Packet(n.now, open(i))
		n.down[first.Peer] = true
		at, ok := n.send(0, open(i))
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(at).NotTo(gomega.Equal(first.Peer))
		n.down = map[Endpoint]bool{}
	}
}

// A copy of an opening packet must not open a second flow while the first upstream answers.
func TestCopyOfOpeningGoesToTheSameUpstream(t *testing.T) {
	n := newNetwork(1, 5)
	for i := range 40 {
		at := n.mustOpen(t, 0, i)
		if again := n.mustOpen(t, 0, i); again != at {
			t.Fatalf("flow %d opened at %v and %v", i, at, again)
		}
	}
}

// An opening packet that no upstream accepts must be reset at once, so that the caller tries again.
func TestOpeningIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	for _, h := range n.hosts {
		h.full = true
	}
	_, ok := n.send(0, open(1))
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(n.resets).To(gomega.HaveLen(1))
}

// While agents are still reporting after a common start, new flows must wait: otherwise the first agents would receive
// all of them.
func TestOpeningWaitsForAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	n.settled, n.growing = false, true
	n.publish()
	g.Expect(n.entries[0].Packet(0, open(1)).Verdict).To(gomega.Equal(Drop))
	n.growing = false
	n.publish()
	g.Expect(n.entries[0].Packet(200, open(1)).Verdict).To(gomega.Equal(ToPeer))
}

// An entry must reset new flows to an address without a route. It must drop other packets to the address: their flows
// may belong to a declaration that the entry has not received.
func TestNoRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	s := open(1)
	s.Flow.Front.Port = 9
	g.Expect(n.entries[0].Packet(0, s).Verdict).To(gomega.Equal(SendReset))
	s.Syn, s.Ack = false, true
	g.Expect(n.entries[0].Packet(0, s).Verdict).To(gomega.Equal(Drop))
}

// An agent must decide by the newer one of its own and the entry's declaration. Otherwise a new route would be refused,
// or an old one still used, after the new declaration is in force.
func TestNewerDeclarationDecides(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 1)
	a := n.agents[tunnel(1)]
	fresh := Segment{Flow: Flow{Caller: caller(1).Caller, Front: Endpoint{IP: front.IP, Port: 8443}}, Syn: true}
	newer := Forward{Version: 2, Service: ServiceTag("s")}
	g.Expect(a.FromPeer(0, fresh, newer).Verdict).To(gomega.Equal(ToHost))
	a.SetTable(&Table{Version: 3, Routes: map[Endpoint]*Route{front: NewRoute("r", []Target{{"other", 1}})}})
	older := Forward{Version: 1, Service: ServiceTag("s")}
	g.Expect(a.FromPeer(0, open(2), older).Verdict).NotTo(gomega.Equal(ToHost))
}

// The log of an entry must show that a caller retransmits a request without an answer, and how long its agent has been
// silent. A caller that sends new packets must not be logged.
func TestUnansweredPacketsAreNoted(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	n.mustOpen(t, 0, 1)
	var ages []int64
	for i, at := range []int64{0, 200, 600, 1400, 3000, 3100} {
		s := data(1)
		s.Seq = 7
		if i == 5 {
			s.Seq = 8
		}
		d := n.entries[0].Packet(at, s)
		g.Expect(d.Verdict).To(gomega.Equal(ToPeer))
		if d.Unanswered {
			ages = append(ages, d.AgeMs)
		}
	}
	g.Expect(ages).To(gomega.Equal([]int64{600, 1400}))
}

// The time until the holder of a flow is known must be measured once, for new flows and for searches.
func TestAnswersAreTimed(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(2, 3)
	at := n.entries[0].Packet(100, open(1)).Peer
	n.entries[0].Packet(300, open(1))
	g.Expect(n.entries[0].HandleFlowHeld(350, at, FlowHeld{Flow: caller(1)})).To(gomega.Equal(Resolution{Opened: true, ElapsedMs: 250}))
	g.Expect(n.entries[0].HandleFlowHeld(360, at, FlowHeld{Flow: caller(1)})).To(gomega.Equal(Resolution{}))
	n.entries[1].Packet(500, data(1))
	g.Expect(n.entries[1].HandleFlowHeld(520, at, FlowHeld{Flow: caller(1)})).To(gomega.Equal(Resolution{Found: true, ElapsedMs: 20}))
	g.Expect(n.entries[1].HandleFlowHeld(530, at, FlowHeld{Flow: caller(1)})).To(gomega.Equal(Resolution{}))
}

// A roster that was growing when it arrived must not delay new flows for ever if no newer one arrives.
func TestOldRosterIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	n.settled, n.growing = false, true
	n.publish()
	g.Expect(n.entries[0].Packet(maxGrowthWaitMs-1, open(1)).Verdict).To(gomega.Equal(Drop))
	g.Expect(n.entries[0].Packet(maxGrowthWaitMs, open(1)).Verdict).To(gomega.Equal(ToPeer))
}

// The load must be balanced at steady state: the target of docs/design.md is a peak of 1.10 times the mean.
func TestBalance(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(5, 7)
	const flows = 420
	for i := range flows {
		n.mustOpen(t, i%5, i)
		if i%10 == 0 {
			n.publish()
		}
	}
	most := 0
	for _, h := range n.hosts {
		most = max(most, h.opened)
	}
	g.Expect(float64(most) / (flows / 7.0)).To(gomega.BeNumerically("<=", 1.10))
}

// Weights must determine the share of new flows, and every entry must pick the same service for a flow.
func TestSplitByWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRoute("r", []Target{{"a", 90}, {"b", 10}, {"c", 0}})
	count := map[string]int{}
	for i := range 5000 {
		count[r.pick(caller(i))]++
	}
	g.Expect(count["a"]).To(gomega.BeNumerically("~", 4500, 150))
	g.Expect(count["c"]).To(gomega.BeZero())
	g.Expect(r.Allows("c")).To(gomega.BeFalse())
	g.Expect(NewRoute("r", []Target{{"a", 0}, {"b", 0}}).pick(caller(1))).To(gomega.BeEmpty())
}

// An agent's load must return to zero when its flows end. Otherwise an idle upstream would appear loaded for ever.
func TestLoadReturnsToZero(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 1)
	a := n.agents[tunnel(1)]
	n.mustOpen(t, 0, 1)
	a.FromPeer(0, data(1), Forward{Entry: tunnel(200)})
	flows, busy := a.Load(0)
	g.Expect([]int{flows, busy}).To(gomega.Equal([]int{1, 1}))
	a.FromHost(0, Segment{Flow: caller(1), Ack: true, Data: 10})
	a.FromHost(0, Segment{Flow: caller(1), Fin: true})
	n.mustOpen(t, 0, 2)
	a.FromPeer(0, data(2), Forward{Entry: tunnel(200)})
	a.Expire(closingTTLMs + 1)
	a.Expire(DefaultIdleMs + expirySlackMs + 1)
	flows, busy = a.Load(DefaultIdleMs + expirySlackMs + 1)
	g.Expect([]int{flows, busy}).To(gomega.Equal([]int{0, 0}))
	g.Expect(a.flows).To(gomega.BeEmpty())
}

// The memory of an entry must stay bounded: idle flows expire, and new flows above the limit evict others.
func TestEntryFlowsExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	for i := range 100 {
		n.mustOpen(t, 0, i)
	}
	e := n.entries[0]
	e.Expire(DefaultIdleMs + expirySlackMs + 1)
	g.Expect(e.Flows()).To(gomega.BeZero())
	for i := range maxEntryFlows + 10 {
		f := Flow{Caller: Endpoint{IP: [4]byte{1, byte(i >> 16), byte(i >> 8), byte(i)}}, Front: front}
		e.HandleFlowHeld(0, tunnel(1), FlowHeld{Flow: f})
	}
	g.Expect(e.Flows()).To(gomega.Equal(maxEntryFlows))
}

// Placement uses the number of unanswered requests as load, so requests that cause no work must not count: late copies
// of answered requests, requests on flows that the upstream does not hold, and requests that the caller has given up.
// (khuree-swatch inc-aa0d: for 3 s after the start up to 69 unanswered requests were counted at upstreams with 3 slots,
// and placement avoided those with the most.)
func TestBusyCountsOnlyNewRequests(t *testing.T) {
	header := Forward{Entry: tunnel(200), Version: 1, Service: ServiceTag("s")}
	const first uint32 = 0xffffff00 // sequence numbers wrap around
	second := first
	second += 300
	third := second + 300
	type flowActions struct {
		request func(seq uint32)
		answer  func(upTo uint32)
		open    func()
		caller  func(s Segment)
		host    func(s Segment)
	}
	for _, c := range []struct {
		name    string
		actions func(p flowActions)
		busy    int
	}{
		{"a request", func(p flowActions) { p.open(); p.request(first) }, 1},
		{"sent twice", func(p flowActions) { p.open(); p.request(first); p.request(first) }, 1},
		{"answered", func(p flowActions) { p.open(); p.request(first); p.answer(second) }, 0},
		{"a late copy", func(p flowActions) { p.open(); p.request(first); p.answer(second); p.request(first) }, 0},
		{"the next one", func(p flowActions) { p.open(); p.request(first); p.answer(second); p.request(second) }, 1},
		{"the next one, answered", func(p flowActions) {
			p.open()
			p.request(first)
			p.answer(second)
			p.request(second)
			p.answer(third)
		}, 0},
		{"on a flow that the upstream has not answered", func(p flowActions) { p.request(first) }, 0},
		{"refused by the upstream with a reset", func(p flowActions) { p.open(); p.request(first); p.host(Segment{Rst: true}) }, 0},
		{"on a flow that the upstream has ended", func(p flowActions) {
			p.open()
			p.host(Segment{Ack: true, Fin: true})
			p.request(first)
		}, 0},
		{"given up with a reset", func(p flowActions) { p.open(); p.request(first); p.caller(Segment{Rst: true}) }, 0},
		{"given up with a FIN", func(p flowActions) { p.open(); p.request(first); p.caller(Segment{Ack: true, Fin: true}) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, f := newAgentWithUpstream(), caller(1)
			c.actions(flowActions{
				open: func() {
					a.FromPeer(0, Segment{Flow: f, Syn: true}, header)
					a.FromHost(0, Segment{Flow: f, Syn: true, Ack: true})
				},
				request: func(seq uint32) { a.FromPeer(0, Segment{Flow: f, Ack: true, Seq: seq, Data: 300}, header) },
				answer:  func(upTo uint32) { a.FromHost(0, Segment{Flow: f, Ack: true, AckNo: upTo, Data: 100}) },
				caller:  func(s Segment) { s.Flow = f; a.FromPeer(0, s, header) },
				host:    func(s Segment) { s.Flow = f; a.FromHost(0, s) },
			})
			_, busy := a.Load(0)
			gomega.NewWithT(t).Expect(busy).To(gomega.Equal(c.busy))
			a.Expire(100_000)
			if flows, busy := a.Load(100_000); flows != 0 || busy != 0 {
				t.Fatalf("%d flows, %d busy after all have expired", flows, busy)
			}
		})
	}
}
