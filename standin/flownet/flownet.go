// Package flownet connects flow machines with callers over a network that loses, repeats and reorders messages, and
// checks after every step that each flow has one owner.
package flownet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/flow/wire"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
)

// ServiceID is the service that every flow of a Network belongs to.
const ServiceID model.ServiceID = 7

// Start is the time at which a Network begins.
var Start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Failer is implemented by *testing.T and *rapid.T.
type Failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Network connects the machines of a few agents with callers. Its checks hold after every step: a flow has one owner, no
// flow with a live owner is reset or closed, no packet reaches a connection that was not opened, and hops are bounded.
type Network struct {
	T       Failer
	Now     time.Time
	Configs []*model.Snapshot // by revision
	Tables  []*routing.Table
	Agents  map[model.HostID]*Agent
	Order   []model.HostID
	Entries []int // revision in force at each entry VM
	Queue   []Envelope
	Drops   map[result.Code]int
	Resets  map[result.Code]int
	got     map[model.FlowKey]int // packets other than SYNs that reached a connection
	// Suspects lived while they were declared lost. Their flows may have been accepted elsewhere; the checks leave them out
	// until they have registered again.
	Suspects map[model.HostID]bool
}

// Agent is a machine with the connections of its host.
type Agent struct {
	flow.Machine
	Ref      model.HostRef
	Alive    bool
	Revision int
	Local    flow.Local
	Conns    map[model.FlowKey]bool // true when established
}

// Envelope is a packet or a peer message on its way.
type Envelope struct {
	To     model.HostID
	From   model.HostRef
	Packet *flow.Packet
	data   []byte
}

// Caller is one TCP connection of a caller.
type Caller struct {
	Key         model.FlowKey
	Established bool
	Ended       bool
	Owner       model.HostRef
}

// New returns a network with one configuration in force, in which every host is an active member.
func New(t Failer, entries int, hosts ...model.HostID) *Network {
	n := &Network{
		T: t, Now: Start, Agents: map[model.HostID]*Agent{}, Entries: make([]int, entries),
		Drops: map[result.Code]int{}, Resets: map[result.Code]int{},
		got: map[model.FlowKey]int{}, Suspects: map[model.HostID]bool{},
	}
	empty := model.NewSnapshot()
	n.Configs, n.Tables = []*model.Snapshot{empty}, []*routing.Table{routing.Build(empty)}
	first := n.Change(func(s *model.Snapshot, svc *model.Service) {
		for _, h := range hosts {
			svc.Members = append(svc.Members, model.Member{Host: h, State: model.UpstreamActive})
			s.Upstreams[h] = &model.Upstream{Ref: model.HostRef{Host: h, Incarnation: 1}, Slots: 3, MaxConnections: 2000}
		}
	})
	for _, h := range hosts {
		n.Boot(h, 1, first)
	}
	for e := range n.Entries {
		n.Entries[e] = first
	}
	n.Run(400 * time.Millisecond)
	return n
}

// Boot starts a run of an agent with the given revision.
func (n *Network) Boot(h model.HostID, incarnation model.Incarnation, revision int) *Agent {
	a := n.Agents[h]
	if a == nil {
		a = &Agent{}
		n.Agents[h] = a
		n.Order = append(n.Order, h)
	}
	ref := model.HostRef{Host: h, Incarnation: incarnation}
	*a = Agent{Machine: flow.New(flow.Config{Self: ref, Seed: 11}), Ref: ref, Alive: true, Conns: map[model.FlowKey]bool{}}
	n.SetLocal(h, flow.Local{AcceptNew: true})
	n.Apply(h, revision)
	return a
}

// SetLocal gives an agent its local state and records it.
func (n *Network) SetLocal(h model.HostID, l flow.Local) {
	n.Agents[h].Local = l
	n.Agents[h].SetLocal(l)
}

// Change publishes a new revision and returns its number. A change of members gives the service a new generation.
func (n *Network) Change(edit func(*model.Snapshot, *model.Service)) int {
	last := n.Configs[len(n.Configs)-1]
	s := last.Clone()
	s.Revision = model.Revision(len(n.Configs))
	svc := &model.Service{ID: ServiceID, Name: "sample-book", Frontend: netip.MustParseAddrPort("127.9.0.1:80"), Seed: 99}
	if old := last.Services[ServiceID]; old != nil {
		*svc = *old
	}
	before := svc.Members
	svc.Members = append([]model.Member(nil), before...)
	edit(s, svc)
	if fmt.Sprint(before) != fmt.Sprint(svc.Members) {
		svc.Generation = s.Revision
	}
	s.Services[ServiceID] = svc
	n.Configs, n.Tables = append(n.Configs, s), append(n.Tables, routing.Build(s))
	return len(n.Configs) - 1
}

// State publishes a new state of one member.
func (n *Network) State(h model.HostID, state model.UpstreamState) int {
	return n.Change(func(_ *model.Snapshot, svc *model.Service) {
		for i := range svc.Members {
			if svc.Members[i].Host == h {
				svc.Members[i].State = state
			}
		}
	})
}

// InForce publishes a new state of one member and applies it everywhere.
func (n *Network) InForce(h model.HostID, state model.UpstreamState) {
	n.State(h, state)
	n.ApplyAll()
}

// Newest returns the number of the last revision published.
func (n *Network) Newest() int { return len(n.Configs) - 1 }

// Apply installs a revision at an agent.
func (n *Network) Apply(h model.HostID, revision int) {
	a := n.Agents[h]
	if !a.Alive || revision <= a.Revision {
		return
	}
	a.Revision = revision
	n.Act(a, a.Apply(n.Now, n.Configs[revision], n.Tables[revision], nil))
}

// ApplyAll installs the newest revision at every agent and entry VM.
func (n *Network) ApplyAll() {
	for _, h := range n.Order {
		n.Apply(h, n.Newest())
	}
	for e := range n.Entries {
		n.Entries[e] = n.Newest()
	}
}

// Crash ends an agent and its connections.
func (n *Network) Crash(h model.HostID) {
	n.Agents[h].Alive = false
	n.Agents[h].Conns = map[model.FlowKey]bool{}
}

// Restart starts the next run of an agent with the newest configuration, as the contract of flow.New requires.
func (n *Network) Restart(h model.HostID) {
	n.Crash(h)
	next := n.Agents[h].Ref.Incarnation + 1
	revision := n.Change(func(s *model.Snapshot, _ *model.Service) {
		up := *s.Upstreams[h]
		up.Ref.Incarnation = next
		s.Upstreams[h] = &up
	})
	n.Boot(h, next, revision)
}

// Send passes a caller's packet through an entry VM.
func (n *Network) Send(c *Caller, entry int, flags flow.Flags) {
	revision := n.Entries[entry]
	svc := n.Configs[revision].Services[c.Key.Service]
	home, ok := n.Tables[revision].Home(svc.ID, routing.Bucket(svc.Seed, c.Key.Caller))
	if !ok {
		return
	}
	p := flow.Packet{Key: c.Key, Flags: flags, Generation: svc.Generation, Raw: []byte("packet")}
	n.Queue = append(n.Queue, Envelope{To: home, Packet: &p})
}

// Talk sends what the caller would send in its state.
func (n *Network) Talk(c *Caller, entry int) {
	if !c.Established {
		n.Send(c, entry, flow.FlagSYN)
		return
	}
	n.Send(c, entry, 0)
}

// Deliver hands over the i-th envelope in the queue.
func (n *Network) Deliver(i int, keep bool) {
	d := n.Queue[i]
	if !keep {
		n.Queue = append(n.Queue[:i:i], n.Queue[i+1:]...)
	}
	a := n.Agents[d.To]
	if a == nil || !a.Alive {
		return
	}
	if d.Packet != nil {
		if d.Packet.Hops > flow.MaxHops {
			n.T.Fatalf("packet with %d hops", d.Packet.Hops)
		}
		n.Act(a, a.Packet(n.Now, *d.Packet, nil))
		return
	}
	msg, err := wire.Decode(d.data)
	if err != nil {
		n.T.Fatalf("decode: %v", err)
	}
	n.Act(a, a.Message(n.Now, d.From, msg, nil))
}

// Run delivers everything in order while the time passes.
func (n *Network) Run(d time.Duration) {
	for end := n.Now.Add(d); n.Now.Before(end); {
		n.Flush()
		n.Tick()
	}
	n.Flush()
}

// RunLosing delivers everything but the envelopes that match, for a number of ticks.
func (n *Network) RunLosing(ticks int, lose func(Envelope) bool) {
	for range ticks {
		n.Tick()
		n.Queue = slices.DeleteFunc(n.Queue, lose)
		n.Flush()
	}
}

// Flush delivers the queue in order, with what its deliveries add.
func (n *Network) Flush() {
	for steps := 0; len(n.Queue) > 0; steps++ {
		if steps > 100000 {
			n.T.Fatalf("packets loop: %d in the queue", len(n.Queue))
		}
		n.Deliver(0, false)
	}
}

// Tick advances the time by one tick interval at every live agent.
func (n *Network) Tick() {
	n.Now = n.Now.Add(flow.TickInterval)
	for _, h := range n.Order {
		if a := n.Agents[h]; a.Alive {
			n.Act(a, a.Tick(n.Now, nil))
		}
	}
}

// Act executes the actions of an agent.
func (n *Network) Act(a *Agent, actions []flow.Action) {
	for _, x := range actions {
		switch x.Kind {
		case flow.ActionForward:
			p := x.Packet
			n.Queue = append(n.Queue, Envelope{To: x.To, Packet: &p})
		case flow.ActionSend:
			data, err := wire.Encode(x.Message)
			if err != nil {
				n.T.Fatalf("encode: %v", err)
			}
			n.Queue = append(n.Queue, Envelope{To: x.To, From: a.Ref, data: data})
		case flow.ActionDeliver:
			n.open(a, x.Packet)
		case flow.ActionDrop:
			n.Drops[x.Code]++
		case flow.ActionReset:
			n.Resets[x.Code]++
			n.checkReset(a, x)
		case flow.ActionCloseLocal:
			n.checkClose(a, x)
		case flow.ActionFetch:
		}
	}
}

// open models the TCP stack: a SYN opens a connection, another packet completes the handshake.
func (n *Network) open(a *Agent, p flow.Packet) {
	if p.Key.Service != ServiceID {
		n.T.Fatalf("%s delivers a packet of service %d", a.Ref, p.Key.Service)
	}
	_, exists := a.Conns[p.Key]
	if p.Flags&flow.FlagSYN != 0 {
		if !exists {
			a.Conns[p.Key] = false
		}
		n.CheckOwners(p.Key)
		return
	}
	if !exists {
		n.T.Fatalf("%s delivers a packet of %s without a connection", a.Ref, p.Key)
	}
	n.got[p.Key]++
	if !a.Conns[p.Key] {
		a.Conns[p.Key] = true
		a.Established(p.Key)
	}
}

// Owners returns the live hosts that hold a connection. Hosts declared lost in the newest configuration do not count:
// their flows have ended for the service.
func (n *Network) Owners(key model.FlowKey) (owners []model.HostID) {
	for _, h := range n.Order {
		if _, ok := n.Agents[h].Conns[key]; ok && !n.Lost(h) && !n.Suspects[h] {
			owners = append(owners, h)
		}
	}
	return owners
}

// Lost reports whether the newest revision declares a host lost.
func (n *Network) Lost(h model.HostID) bool {
	m, ok := n.Configs[n.Newest()].Services[ServiceID].Member(h)
	return ok && m.State == model.UpstreamLost
}

// CheckOwners fails the test when a flow has more than one owner.
func (n *Network) CheckOwners(key model.FlowKey) {
	if owners := n.Owners(key); len(owners) > 1 {
		n.T.Fatalf("flow %s has owners %v", key, owners)
	}
}

func (n *Network) checkReset(a *Agent, x flow.Action) {
	if owners := n.Owners(x.Packet.Key); len(owners) > 0 {
		n.T.Fatalf("%s resets %s, which %v owns (code %s)", a.Ref, x.Packet.Key, owners, x.Code)
	}
}

func (n *Network) checkClose(a *Agent, x flow.Action) {
	if a.Conns[x.Packet.Key] && len(n.Owners(x.Packet.Key)) == 1 && !n.Lost(a.Ref.Host) && !n.Suspects[a.Ref.Host] {
		n.T.Fatalf("%s closes the established flow %s (code %s)", a.Ref, x.Packet.Key, x.Code)
	}
	delete(a.Conns, x.Packet.Key)
}

// Update learns from the hosts' connections whether the caller's handshake was answered.
func (n *Network) Update(c *Caller) {
	if owners := n.Owners(c.Key); !c.Established && len(owners) == 1 {
		c.Established, c.Owner = true, n.Agents[owners[0]].Ref
	}
}

// Close ends a caller's connection at its owner.
func (n *Network) Close(c *Caller) {
	c.Ended = true
	if a := n.Agents[c.Owner.Host]; a != nil && a.Alive && a.Ref == c.Owner {
		delete(a.Conns, c.Key)
		a.Closed(n.Now, c.Key)
	}
}

// Connect opens a flow through an entry VM and completes its handshake.
func (n *Network) Connect(i, entry int) *Caller {
	c := &Caller{Key: CallerKey(i)}
	n.Send(c, entry, flow.FlagSYN)
	n.Flush()
	n.Update(c)
	if c.Established {
		n.Send(c, entry, 0)
		n.Run(100 * time.Millisecond)
	}
	return c
}

// Reaches reports whether a packet through the entry VM reaches the flow's owner within a caller's retransmissions.
func (n *Network) Reaches(c *Caller, entry int) bool {
	before := n.got[c.Key]
	for range 3 {
		n.Send(c, entry, 0)
		n.Run(300 * time.Millisecond)
		if n.got[c.Key] > before {
			return true
		}
	}
	return false
}

// MustReach fails the test when no packet through the entry VM reaches the flow's owner.
func (n *Network) MustReach(c *Caller, entry int) {
	n.T.Helper()
	if !n.Reaches(c, entry) {
		n.T.Fatalf("%s does not reach its owner %s by entry %d: drops %v, resets %v", c.Key, c.Owner, entry, n.Drops, n.Resets)
	}
}

// Reconnect opens an ended flow of the same caller port, which must get another owner.
func (n *Network) Reconnect(first *Caller) *Caller {
	n.T.Helper()
	c := &Caller{Key: first.Key}
	n.Send(c, 0, flow.FlagSYN)
	n.Flush()
	if n.Update(c); !c.Established || c.Owner == first.Owner {
		n.T.Fatalf("the caller cannot connect again: %+v", c)
	}
	return c
}

// CallerKey returns the key of the i-th caller.
func CallerKey(i int) model.FlowKey {
	addr := netip.AddrFrom4([4]byte{127, 4, byte(i >> 8), byte(i)})
	return model.FlowKey{Service: ServiceID, Caller: netip.AddrPortFrom(addr, uint16(20000+i%1000))}
}

// Inject delivers a message as if it had been under way.
func (n *Network) Inject(from model.HostRef, to model.HostID, m flow.Message) {
	data, err := wire.Encode(m)
	if err != nil {
		n.T.Fatalf("encode: %v", err)
	}
	n.Queue = append(n.Queue, Envelope{To: to, From: from, data: data})
	n.Run(time.Second)
}

// Home returns the home of a caller's bucket at a revision.
func (n *Network) Home(c *Caller, revision int) model.HostID {
	h, _ := n.Tables[revision].Home(ServiceID, routing.Bucket(99, c.Key.Caller))
	return h
}

// HomedAt returns the number of an unused caller whose home is the given host in the newest revision.
func (n *Network) HomedAt(h model.HostID) int {
	for i := 5000; ; i++ {
		if c := (&Caller{Key: CallerKey(i)}); n.Home(c, n.Newest()) == h && len(n.Owners(c.Key)) == 0 {
			return i
		}
	}
}

// Assigned opens a flow that its home assigns to another host.
func (n *Network) Assigned() *Caller {
	n.SetLocal("h1", flow.Local{AcceptNew: false})
	c := n.Connect(n.HomedAt("h1"), 0)
	n.SetLocal("h1", flow.Local{AcceptNew: true})
	if !c.Established || c.Owner.Host == "h1" {
		n.T.Fatalf("flow was not assigned: %+v", c)
	}
	return c
}

// MoveHome takes the home of a flow out of service and applies that everywhere.
func (n *Network) MoveHome(c *Caller) {
	n.State(n.Home(c, n.Newest()), model.UpstreamDraining)
	n.ApplyAll()
}

// DeclareLost crashes a host and has it declared lost.
func (n *Network) DeclareLost(h model.HostID) {
	n.Crash(h)
	n.InForce(h, model.UpstreamLost)
}

// Holds reports whether a envelope holds a message of type M.
func Holds[M flow.Message](p Envelope) bool {
	m, _ := wire.Decode(p.data)
	_, ok := m.(M)
	return p.Packet == nil && ok
}
