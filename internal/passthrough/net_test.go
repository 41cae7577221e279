package passthrough

import (
	"fmt"
	"testing"
)

// network simulates entries, agents and upstream processes in memory. Upstreams follow the contract of the platform:
// they answer a packet that opens a flow, return packets of flows that they do not hold, and accept a packet that opens
// a flow even while draining.
type network struct {
	now     int64
	entries []*Entry
	agents  map[Endpoint]*Agent // age of each agent's last report in ms
	hosts   map[Endpoint]*host
	age     map[Endpoint]int64 // of the agents' reports, ms
	down    map[Endpoint]bool  // agents that are not running
	leaving map[Endpoint]bool  // agents that have announced their stop
	table   *Table
	order   []Endpoint
	settled bool
	growing bool // agents were added to the roster recently
	resets  []Flow
	visits  int // deliveries to hosts for the last packet, on the path that reached its holder

	deliveries int // deliveries to hosts for all packets on all paths
	hops       int // packets from node to node for all packets on all paths
}

type host struct {
	service  string
	full     bool
	absent   bool // the VM has no upstream process, so nothing returns packets
	draining bool
	flows    map[Flow]bool
	opened   int
}

var front = Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

func caller(i int) Flow {
	return Flow{Caller: Endpoint{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: uint16(40000 + i%1000)}, Front: front}
}

func tunnel(i int) Endpoint { return Endpoint{IP: [4]byte{10, 1, byte(i >> 8), byte(i)}, Port: 8172} }

// newNetwork returns a network of entries, and of agents with active upstreams of service "s".
func newNetwork(entries, agents int) *network {
	n := &network{agents: map[Endpoint]*Agent{}, hosts: map[Endpoint]*host{}, down: map[Endpoint]bool{}, leaving: map[Endpoint]bool{}, settled: true, age: map[Endpoint]int64{}}
	n.table = &Table{Version: 1, Routes: map[Endpoint]*Route{front: NewRoute("r", []Target{{"s", 1}})}, IdleTimeout: 15000}
	for i := range entries {
		n.entries = append(n.entries, NewEntry(tunnel(200+i), "d"))
	}
	for i := range agents {
		n.addAgent(tunnel(i+1), "s")
	}
	n.publish()
	return n
}

func (n *network) addAgent(at Endpoint, service string) {
	n.hosts[at] = &host{service: service, flows: map[Flow]bool{}}
	n.order = append(n.order, at)
	n.startAgent(at)
}

// startAgent replaces the agent of a host by a new process that has received one announcement of its upstream.
func (n *network) startAgent(at Endpoint) {
	h := n.hosts[at]
	n.agents[at] = NewAgent(at, "d")
	n.agents[at].SetTable(n.table)
	n.agents[at].SetUpstream(n.now, Upstream{Present: true, Service: h.service, Active: !h.draining, Slots: 3}, false)
	delete(n.down, at)
}

// publish gives every node the current roster and table.
func (n *network) publish() {
	var peers []Peer
	for _, at := range n.order {
		h := n.hosts[at]
		flows, busy := n.agents[at].Load(n.now)
		peers = append(peers, Peer{Tunnel: at, Domain: "d", Service: h.service, Active: !h.draining, Slots: 3,
			Flows: uint32(flows), Busy: uint32(busy), AgeMs: n.age[at], Leaving: n.leaving[at],
			Failing: n.agents[at].Health(n.now) == Failing})
	}
	r := NewRoster(peers, n.settled)
	r.Quiet = !n.growing
	for _, e := range n.entries {
		e.SetTable(n.table)
		e.SetRoster(n.now, r)
	}
	for _, a := range n.agents {
		a.SetTable(n.table)
		a.SetRoster(n.now, r)
	}
}

// remove removes an agent and its host.
func (n *network) remove(at Endpoint) {
	for i, o := range n.order {
		if o == at {
			n.order = append(n.order[:i:i], n.order[i+1:]...)
		}
	}
	delete(n.agents, at)
	delete(n.hosts, at)
}

// send passes a caller's packet to an entry and returns the host that accepted it, if any.
func (n *network) send(entry int, s Segment) (Endpoint, bool) {
	n.visits = 0
	return n.follow(n.entries[entry].Packet(n.now, s), s, n.entries[entry].Self)
}

// register passes the registrations of all agents to the directory nodes that run.
func (n *network) register() {
	for _, at := range n.order {
		if n.down[at] {
			continue
		}
		for _, r := range n.agents[at].Registrations(n.now) {
			if node := n.agents[r.Node]; node != nil && !n.down[r.Node] {
				node.HandleRegistration(n.now, at, r.Flows)
			}
		}
	}
}

// entryAt returns the entry with an address, or nil.
func (n *network) entryAt(at Endpoint) *Entry {
	for _, e := range n.entries {
		if e.Self == at {
			return e
		}
	}
	return nil
}

// follow executes a decision of the node at from and those that result from it. It returns the host that accepted the
// packet, if any.
func (n *network) follow(d Decision, s Segment, from Endpoint) (Endpoint, bool) {
	if e := n.entryAt(d.NotifyEntry); e != nil {
		if d.FlowNotHeld {
			e.HandleFlowNotHeld(n.now, from, s.Flow)
		}
		if d.FlowLocated != nil {
			e.HandleFlowLocated(n.now, *d.FlowLocated)
		}
	}
	for _, node := range d.NotifyNodes {
		if a := n.agents[node]; a != nil && !n.down[node] {
			a.HandleFlowNotHeld(from, s.Flow)
		}
	}
	if m := d.SectionSearched; m != nil {
		start := n.agents[d.Peer]
		if start == nil || n.down[d.Peer] {
			return Endpoint{}, false
		}
		packet, next := start.HandleSectionSearched(n.now, *m)
		return n.follow(next, packet, d.Peer)
	}
	switch d.Verdict {
	case SendReset:
		n.resets = append(n.resets, s.Flow)
	case ToSeveral:
		return n.followSeveral(d, s)
	case ToPeer:
		return n.passTo(d.Peer, d.Forward, s)
	}
	return Endpoint{}, false
}

// followSeveral executes a decision to send a packet to several agents.
func (n *network) followSeveral(d Decision, s Segment) (Endpoint, bool) {
	taken, ok := Endpoint{}, false
	for i, p := range d.Peers {
		h := d.Forward
		if i < len(d.Sections) {
			h.Section = d.Sections[i]
		}
		if at, held := n.passTo(p, h, s); held {
			taken, ok = at, true
		}
	}
	if d.Peer != (Endpoint{}) {
		if at, held := n.passTo(d.Peer, d.PeerForward, s); held {
			taken, ok = at, true
		}
	}
	return taken, ok
}

// passTo delivers a packet to an agent and executes its decision.
func (n *network) passTo(at Endpoint, h Forward, s Segment) (Endpoint, bool) {
	a := n.agents[at]
	if a == nil || n.down[at] {
		return Endpoint{}, false
	}
	n.hops++
	d := a.FromPeer(n.now, s, h)
	if d.Verdict != ToHost {
		return n.follow(d, s, at)
	}
	n.visits++
	n.deliveries++
	var taken Endpoint
	var ok bool
	if d.Also != nil {
		taken, ok = n.follow(*d.Also, s, at)
	}
	if n.hosts[at].absent {
		return taken, ok
	}
	if n.deliver(a, n.hosts[at], s) {
		return at, true
	}
	returned := s
	returned.Bounced = true
	if other, held := n.follow(a.FromHost(n.now, returned), s, at); held {
		return other, true
	}
	return taken, ok
}

// deliver passes a packet to a host and reports whether the host holds the flow now. The host answers at once.
func (n *network) deliver(a *Agent, h *host, s Segment) bool {
	if s.Opens() && !h.flows[s.Flow] {
		if h.full {
			return false
		}
		h.flows[s.Flow] = true
		h.opened++
	}
	if !h.flows[s.Flow] {
		return false
	}
	d := a.FromHost(n.now, Segment{Flow: s.Flow, Ack: true, Syn: s.Syn, Data: s.Data})
	if d.FlowHeld != nil {
		for _, e := range n.entries {
			if e.Self == d.NotifyEntry {
				e.HandleFlowHeld(n.now, a.Self, *d.FlowHeld)
			}
		}
	}
	return true
}

func open(i int) Segment { return Segment{Flow: caller(i), Syn: true} }

func data(i int) Segment { return Segment{Flow: caller(i), Ack: true, Data: 100, AckNo: 77} }

// mustOpen opens flow i through an entry and returns its host.
func (n *network) mustOpen(t testing.TB, entry, i int) Endpoint {
	t.Helper()
	at, ok := n.send(entry, open(i))
	if !ok {
		t.Fatalf("flow %d did not open", i)
	}
	return at
}

// expectReaches fails the test unless a packet of flow i through an entry reaches the host.
func (n *network) expectReaches(t testing.TB, entry, i int, want Endpoint) {
	t.Helper()
	at, ok := n.send(entry, data(i))
	if !ok || at != want {
		t.Fatalf("packet of flow %d reached %v (%t), want %v", i, at, ok, want)
	}
}

func (n *network) String() string { return fmt.Sprintf("%d agents, resets %v", len(n.order), n.resets) }
