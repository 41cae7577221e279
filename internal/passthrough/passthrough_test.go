package passthrough

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// An established flow must survive every planned change: its packets reach the same host whatever entry takes them.
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
		{"every process restarts and control is new", func(n *network, _ Endpoint) {
			n.settled = false
			n.entries[0], n.entries[1] = NewEntry(tunnel(200), "d"), NewEntry(tunnel(201), "d")
			for _, at := range n.order {
				n.startAgent(at)
			}
			n.publish()
		}},
		{"the holder drains", func(n *network, at Endpoint) {
			n.hosts[at].draining = true
			n.agents[at].SetUpstream(Upstream{Present: true, Service: "s", Slots: 3}, false)
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
				holders[i] = n.mustHold(t, 0, i)
			}
			c.change(n, holders[0])
			for i := range 60 {
				if n.agents[holders[i]] == nil {
					continue // its host left
				}
				n.reaches(t, 1, i, holders[i])
				n.reaches(t, 0, i, holders[i])
			}
			g.Expect(n.resets).To(gomega.BeEmpty())
		})
	}
}

// A search must become a direct path as soon as the host answers, or every packet after a change of the fabric's hash
// would visit several hosts.
func TestSearchBecomesDirect(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(2, 7)
	at := n.mustHold(t, 0, 1)
	n.entries[1] = NewEntry(tunnel(201), "d")
	n.publish()
	n.reaches(t, 1, 1, at)
	n.reaches(t, 1, 1, at)
	g.Expect(n.visits).To(gomega.Equal(1))
}

// One agent that does not answer must not hide the holder of a flow behind it: a new entry finds the holder with the
// caller's first repeat. (Found by a hunt: for 2.7 s the packets of an open flow reached other hosts and none its own.)
func TestSearchPassesASilentAgent(t *testing.T) {
	for silent := range 7 {
		n := newNetwork(2, 7)
		holders := map[int]Endpoint{}
		for i := range 40 {
			holders[i] = n.mustHold(t, 0, i)
		}
		n.down[tunnel(silent+1)] = true
		for i, at := range holders {
			if n.down[at] {
				continue
			}
			if got, ok := n.send(1, data(i)); ok && got == at {
				continue
			}
			n.now += 200
			n.reaches(t, 1, i, at)
			n.reaches(t, 1, i, at)
		}
	}
}

// An entry that remembers the wrong agent must find the right one although an agent between them does not answer. Two
// upstreams can answer the copies of one opening packet; the caller then uses either.
func TestWrongMemoryIsCorrected(t *testing.T) {
	for i := range 40 {
		for silent := range 7 {
			n := newNetwork(1, 7)
			for j := range i {
				n.mustHold(t, 0, 1000+j) // moves flow i away from its highest-ranked host
			}
			n.publish()
			at := n.mustHold(t, 0, i)
			wrong := tunnel(1 + (i+silent)%7)
			if wrong == at || tunnel(silent+1) == at || tunnel(silent+1) == wrong {
				continue
			}
			n.entries[0].Holds(n.now, wrong, Holds{Flow: caller(i)})
			n.down[tunnel(silent+1)] = true
			n.send(0, data(i))
			n.now += 200
			n.reaches(t, 0, i, at)
			n.reaches(t, 0, i, at)
			if n.visits != 1 {
				t.Fatalf("the last packet of flow %d visited %d hosts", i, n.visits)
			}
		}
	}
}

// New flows must not go to an upstream that leaves, is unknown, is full or belongs to another service.
func TestNewFlowsAvoid(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(n *network, at Endpoint)
	}{
		{"a draining upstream that only its agent knows of", func(n *network, at Endpoint) {
			n.agents[at].SetUpstream(Upstream{Present: true, Service: "s", Slots: 3}, false)
		}},
		{"an upstream that its agent has not heard since its start", func(n *network, at Endpoint) {
			n.agents[at] = NewAgent(at, "d")
			n.agents[at].SetTable(n.table)
			n.agents[at].SetRoster(n.entries[0].roster)
		}},
		{"a full upstream", func(n *network, at Endpoint) { n.hosts[at].full = true }},
		{"an address that another service uses again", func(n *network, at Endpoint) {
			n.hosts[at].service = "other"
			n.agents[at].SetUpstream(Upstream{Present: true, Service: "other", Active: true, Slots: 3}, true)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(1, 5)
			bad := tunnel(2)
			c.spoil(n, bad)
			for i := range 100 {
				if at := n.mustHold(t, 0, i); at == bad {
					t.Fatalf("flow %d was placed on %v", i, at)
				}
			}
		})
	}
}

// The caller's copy of an opening packet must try another upstream when the first one is silent.
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
		at := n.mustHold(t, 0, i)
		if again := n.mustHold(t, 0, i); again != at {
			t.Fatalf("flow %d opened at %v and %v", i, at, again)
		}
	}
}

// A reset tells the caller that the flow is gone. It must be sent when every live upstream has returned the packet, and
// never on the word of a roster that may lack an agent.
func TestResetOnlyWhenHeldNowhere(t *testing.T) {
	for _, c := range []struct {
		name    string
		settled bool
		down    bool
		age     int64 // of the report of the agent that does not answer
		resets  int
	}{
		{"every upstream returned it", true, false, 0, 1},
		{"the roster may lack agents", false, false, 0, 0},
		{"an agent does not answer", true, true, 0, 0},
		{"an agent has been silent for a while", true, true, lostMs - 1, 0},
		{"an agent has been silent for long", true, true, lostMs, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newNetwork(1, 5)
			n.settled = c.settled
			n.publish()
			if c.down {
				n.down[tunnel(3)], n.age[tunnel(3)] = true, c.age
				n.publish()
			}
			_, ok := n.send(0, data(9))
			g.Expect(ok).To(gomega.BeFalse())
			g.Expect(n.resets).To(gomega.HaveLen(c.resets))
		})
	}
}

// An opening packet that no upstream takes must be refused at once, so that the caller asks again.
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

// While agents are still reporting after a common start, a new flow must wait: the first ones would get all of them.
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

// An address without a route answers new flows with a reset and does not touch others: they may belong to a declaration
// that this entry has not heard of.
func TestNoRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	s := open(1)
	s.Flow.Front.Port = 9
	g.Expect(n.entries[0].Packet(0, s).Verdict).To(gomega.Equal(SendReset))
	s.Syn, s.Ack = false, true
	g.Expect(n.entries[0].Packet(0, s).Verdict).To(gomega.Equal(Drop))
}

// An agent that has not heard of the newest declaration must accept by the entry's word, and one that has a newer one by
// its own; otherwise a new route is refused, or an old one obeyed, after it is in force.
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

// An agent without an upstream swallows packets, since nobody is there to return them. It must not hide the holder of a
// flow, nor keep callers of lost flows from being told, whether it is new or not. (Found on the grown sites: 9 such agents
// after a loss of power, RECOVER broken on three days.)
func TestAgentWithoutUpstream(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    int64
		resets int
	}{{"just started", 100, 0}, {"old", presumeMs, 1}} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newNetwork(2, 7)
			holders := map[int]Endpoint{}
			for i := range 40 {
				holders[i] = n.mustHold(t, 0, i)
			}
			empty := tunnel(4)
			n.hosts[empty].absent = true
			n.agents[empty] = NewAgent(empty, "d")
			n.now = c.age
			n.publish()
			for i, at := range holders {
				if at != empty {
					n.reaches(t, 1, i, at)
				}
			}
			g.Expect(n.resets).To(gomega.BeEmpty())
			n.send(1, data(500))
			g.Expect(n.resets).To(gomega.HaveLen(c.resets))
		})
	}
}

// An agent that has been silent for a while must not stand between a packet and the holder of its flow: the first packet
// gets there without a question to many. (Found on the grown sites: one agent that had died blocked every search for 12 s.)
func TestSilentAgentsAreSearchedLast(t *testing.T) {
	n := newNetwork(2, 9)
	holders := map[int]Endpoint{}
	for i := range 60 {
		holders[i] = n.mustHold(t, 0, i)
	}
	silent := tunnel(5)
	n.down[silent], n.age[silent] = true, freshMs
	n.publish()
	for i, at := range holders {
		if at != silent {
			n.reaches(t, 1, i, at)
		}
	}
}

// After a common start no agent has heard its upstream, and each delivers a packet and passes it on. The packet must visit
// each host once. (Found on the grown sites: each host's return was passed on as well, so that searches doubled at every
// agent and took 1.7 GB between failure domains in a minute.)
func TestSearchAfterCommonStartVisitsEachHostOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 12)
	for _, at := range n.order {
		n.agents[at] = NewAgent(at, "d")
	}
	n.settled = false
	n.publish()
	n.send(0, data(1))
	g.Expect(n.deliveries).To(gomega.Equal(12))
}

// A search must reach every agent of a large deployment before a caller is told that its flow is gone, also one whose
// service the route has lost and which therefore comes last. (Found on seomra-iarratas-grown trouble-1: with 71 agents the
// search ended after 64 and three open flows were reset. With 200 agents a search over all others took too long: a lost
// packet ended it, and the holder was in the last group that the entry asked, after 4 s.)
func TestSearchOfManyAgents(t *testing.T) {
	leads := func(version uint64, service string) *Table {
		return &Table{Version: version, Routes: map[Endpoint]*Route{front: NewRoute("r", []Target{{service, 1}})}}
	}
	for _, agents := range []int{60, 64, 65, 80, 300} {
		n := newNetwork(2, agents)
		for i := range 3 {
			n.addAgent(tunnel(1000+i), "old")
		}
		n.table = leads(2, "old")
		n.publish()
		holders := map[int]Endpoint{}
		for i := range 20 {
			holders[i] = n.mustHold(t, 0, i)
		}
		n.table = leads(3, "s")
		n.entries[1] = NewEntry(tunnel(2001), "d")
		n.publish()
		for i, at := range holders {
			n.reaches(t, 1, i, at)
			if n.visits > 2*rankedFirst+1 {
				t.Fatalf("%d agents: the packet of flow %d visited %d hosts", agents, i, n.visits)
			}
		}
		n.send(1, data(99))
		if len(n.resets) != 1 || n.resets[0] != caller(99) {
			t.Fatalf("%d agents: resets %v", agents, n.resets)
		}
	}
}

// A packet of a lost flow visits every agent before its caller is told. It must not cross between failure domains at each
// hop. (Measured on seomra-iarratas-grown: 50 hops of 5 ms before a reset.)
func TestSearchOfALostFlowRarelyCrossesDomains(t *testing.T) {
	const agents, domains = 50, 5
	var peers []Peer
	for i := range agents {
		peers = append(peers, Peer{Tunnel: tunnel(i + 1), Domain: string(rune('a' + i%domains)), Service: "s", Active: true})
	}
	r := NewRoster(peers, true)
	route := NewRoute("r", []Target{{"s", 1}})
	for flow := range 40 {
		at, crossings := "a", 0
		var visited []Endpoint
		for {
			c := chooser{domain: at}
			p := c.next(r, caller(flow), route, visited)
			if p == nil {
				break
			}
			if p.Domain != at {
				crossings++
			}
			at = p.Domain
			visited = append(visited, p.Tunnel)
		}
		if len(visited) != agents || crossings > rankedFirst+domains {
			t.Fatalf("flow %d: %d agents visited, %d crossings", flow, len(visited), crossings)
		}
	}
}

// An engineer must see from the entry's log that a caller repeats a request in vain, and how long its agent has been silent;
// a caller that sends new packets must cause no line.
func TestUnansweredPacketsAreNoted(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	n.mustHold(t, 0, 1)
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
	g.Expect(n.entries[0].Holds(350, at, Holds{Flow: caller(1)})).To(gomega.Equal(Answer{Opened: true, AfterMs: 250}))
	g.Expect(n.entries[0].Holds(360, at, Holds{Flow: caller(1)})).To(gomega.Equal(Answer{}))
	n.entries[1].Packet(500, data(1))
	g.Expect(n.entries[1].Holds(520, at, Holds{Flow: caller(1)})).To(gomega.Equal(Answer{Found: true, AfterMs: 20}))
	g.Expect(n.entries[1].Holds(530, at, Holds{Flow: caller(1)})).To(gomega.Equal(Answer{}))
}

// A host that is closing a flow still holds it: an entry that finds it there must remember it. (Found on the grown sites:
// the host had sent its FIN, entries were not told, and for 3.2 s the caller's packets reached other hosts only.)
func TestClosingFlowIsFoundOnce(t *testing.T) {
	n := newNetwork(2, 60)
	holders := map[int]Endpoint{}
	for i := range 40 {
		holders[i] = n.mustHold(t, 0, i)
		n.agents[holders[i]].FromHost(n.now, Segment{Flow: caller(i), Ack: true, Fin: true})
	}
	n.entries[1] = NewEntry(tunnel(201), "d")
	n.publish()
	for i, at := range holders {
		n.reaches(t, 1, i, at)
		n.reaches(t, 1, i, at)
		if n.visits != 1 {
			t.Fatalf("the second packet of flow %d visited %d hosts", i, n.visits)
		}
	}
}

// Many searches at once must not use up an entry: it keeps to its budget and goes on with the cheap search. (Found on the
// grown sites: 1,000 questions a second to 54 agents each left entries of 0.2 of a core without time for anything else.)
func TestAskingKeepsToItsBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 52)
	e := n.entries[0]
	sent := 0
	for ms := int64(0); ms < 2000; ms += 10 {
		for i := range 300 {
			if d := e.Packet(ms, data(i)); d.Verdict == ToSeveral {
				sent += len(d.Peers)
			}
		}
	}
	g.Expect(sent).To(gomega.BeNumerically(">", askRate))
	g.Expect(sent).To(gomega.BeNumerically("<=", 3*askRate))
}

// A roster that was growing when it arrived must not hold up new flows for ever when no newer one comes.
func TestOldRosterIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	n.settled, n.growing = false, true
	n.publish()
	g.Expect(n.entries[0].Packet(growingMs-1, open(1)).Verdict).To(gomega.Equal(Drop))
	g.Expect(n.entries[0].Packet(growingMs, open(1)).Verdict).To(gomega.Equal(ToPeer))
}

// Load must be spread evenly at steady state: the target of docs/design.md is a peak of 1.10 of the mean.
func TestBalance(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(5, 7)
	const flows = 420
	for i := range flows {
		n.mustHold(t, i%5, i)
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

// Weights must decide the share of new flows, and every entry must pick the same service for a flow.
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

// What an agent counts as load must return to zero when flows end, or an idle upstream would look loaded for ever.
func TestLoadReturnsToZero(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 1)
	a := n.agents[tunnel(1)]
	n.mustHold(t, 0, 1)
	a.FromPeer(0, data(1), Forward{Entry: tunnel(200)})
	flows, busy := a.Load()
	g.Expect([]int{flows, busy}).To(gomega.Equal([]int{1, 1}))
	a.FromHost(0, Segment{Flow: caller(1), Ack: true, Data: 10})
	a.FromHost(0, Segment{Flow: caller(1), Fin: true})
	n.mustHold(t, 0, 2)
	a.FromPeer(0, data(2), Forward{Entry: tunnel(200)})
	a.Expire(closedMs + 1)
	a.Expire(DefaultIdleMs + forgetSlackMs + 1)
	flows, busy = a.Load()
	g.Expect([]int{flows, busy}).To(gomega.Equal([]int{0, 0}))
	g.Expect(a.flows).To(gomega.BeEmpty())
}

// Memory must stay bounded: idle flows are forgotten, and a flood of new ones evicts others.
func TestEntryForgets(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 3)
	for i := range 100 {
		n.mustHold(t, 0, i)
	}
	e := n.entries[0]
	e.Expire(DefaultIdleMs + forgetSlackMs + 1)
	g.Expect(e.Flows()).To(gomega.BeZero())
	for i := range maxEntryFlows + 10 {
		f := Flow{Caller: Endpoint{IP: [4]byte{1, byte(i >> 16), byte(i >> 8), byte(i)}}, Front: front}
		e.Holds(0, tunnel(1), Holds{Flow: f})
	}
	g.Expect(e.Flows()).To(gomega.Equal(maxEntryFlows))
}
