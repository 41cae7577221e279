package roster

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Times of the model of control VMs that are replaced and cut off.
const (
	modelTick     = 200 * time.Millisecond
	modelElection = 3 * modelTick
	// modelSpread is how long an agent must have reported to be known to all: its report, two exchanges, and the grace of a
	// roster that was complete.
	modelSpread = incompleteGrace + 4*Interval
	// modelHeal is how long after the end of all trouble every control VM must be settled: a call to a remembered control VM,
	// an election, a request to join and a few exchanges.
	modelHeal = rememberedInterval + modelElection + 8*Interval
)

// modelControl is a control VM of the model.
type modelControl struct {
	index    int
	at       netip.AddrPort
	store    *Store
	server   *Server
	contacts *Contacts
	seeds    []netip.AddrPort
	members  []int // as last learnt from a leader
	current  bool  // hears a leader
	gone     bool
	side     int // of the partition
	answered map[int]time.Time
}

// Latest implements Declarations.
func (c *modelControl) Latest() (uint64, []byte) { return 0, nil }

// Current implements Declarations.
func (c *modelControl) Current() bool { return c.current }

// modelAgent is an agent that reports to one control VM.
type modelAgent struct {
	record Record
	home   int // -1 if it uses none
	since  time.Time
	gone   bool
}

// modelSystem is a group of control VMs with the agents that report to them.
type modelSystem struct {
	t        *rapid.T
	now      time.Time
	controls []*modelControl
	agents   []*modelAgent
	members  []int
	leader   int // -1 if there is none
	electAt  time.Time
	lostAt   map[int]time.Time // when the leader last reached each member
	deaf     int               // control VM whose exchanges get lost until deafTo, although it hears its group
	deafTo   time.Time
	trace    []string
}

const modelGroupSize = 5

func newModelSystem(t *rapid.T) *modelSystem {
	s := &modelSystem{t: t, now: time.Unix(1_000_000, 0), leader: -1, lostAt: map[int]time.Time{}}
	for i := range modelGroupSize {
		s.addControl()
		s.members = append(s.members, i)
	}
	for _, c := range s.controls {
		c.seeds = s.addresses([]int{0, 1, 2})
		c.members = s.members
	}
	for range 4 {
		s.addAgent()
	}
	return s
}

func (s *modelSystem) note(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%6.1f ", s.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

func (s *modelSystem) addresses(indices []int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range indices {
		out = append(out, s.controls[i].at)
	}
	return out
}

func (s *modelSystem) addControl() *modelControl {
	i := len(s.controls)
	c := &modelControl{index: i, at: netip.AddrPortFrom(address(i), 7000), answered: map[int]time.Time{}}
	c.store = NewStore(s.now, func() int { return 0 })
	c.store.FollowGroup(func() GroupState { return s.state(c) })
	c.server = NewServer(c.store, c, func() time.Time { return s.now })
	c.contacts = NewContacts(c.at)
	s.controls = append(s.controls, c)
	return c
}

func (s *modelSystem) addAgent() {
	a := &modelAgent{record: feedAgent(100+len(s.agents), 0), home: -1, since: s.now}
	a.record.Process = uint64(len(s.agents) + 1)
	s.agents = append(s.agents, a)
}

func (s *modelSystem) reach(i, j int) bool {
	a, b := s.controls[i], s.controls[j]
	return !a.gone && !b.gone && a.side == b.side
}

// state is what a control VM knows of its group.
func (s *modelSystem) state(c *modelControl) GroupState {
	if !c.current {
		return GroupState{}
	}
	state := GroupState{Leading: c.index == s.leader, Leader: address(s.leader)}
	for _, i := range s.members {
		if i != c.index && state.Leading && s.reach(i, c.index) {
			state.Responding = append(state.Responding, address(i))
		}
	}
	return state
}

// live returns the control VMs that run.
func (s *modelSystem) live() []*modelControl {
	return slices.DeleteFunc(slices.Clone(s.controls), func(c *modelControl) bool { return c.gone })
}

func (s *modelSystem) reachesQuorum(i int) bool {
	n := 0
	for _, m := range s.members {
		if s.reach(i, m) {
			n++
		}
	}
	return n > len(s.members)/2
}

// lists returns the lists of control VMs that c knows.
func (s *modelSystem) lists(c *modelControl) [][]netip.AddrPort {
	var controls []netip.AddrPort
	for _, r := range c.store.List(s.now) {
		if r.Kind == KindControl && r.Address != c.at.Addr() {
			controls = append(controls, netip.AddrPortFrom(r.Address, c.at.Port()))
		}
	}
	return [][]netip.AddrPort{controls, s.addresses(c.members), c.seeds}
}

// group elects a leader and changes the members.
func (s *modelSystem) group() {
	if s.leader < 0 || !slices.Contains(s.members, s.leader) || !s.reachesQuorum(s.leader) {
		if s.leader >= 0 {
			s.leader, s.electAt = -1, s.now.Add(modelElection)
		}
		for _, m := range s.members {
			if s.leader < 0 && !s.now.Before(s.electAt) && s.reachesQuorum(m) {
				s.leader = m
				clear(s.lostAt)
				s.note("%d leads", m)
			}
		}
	}
	for _, c := range s.controls {
		c.current = s.leader >= 0 && slices.Contains(s.members, c.index) && s.reach(c.index, s.leader)
	}
	if s.leader < 0 {
		return
	}
	for _, m := range s.members {
		if _, ok := s.lostAt[m]; !ok || s.reach(m, s.leader) {
			s.lostAt[m] = s.now
		}
	}
	for _, c := range s.live() {
		if !slices.Contains(s.members, c.index) && s.mayJoin(c) {
			s.join(c.index)
		}
	}
	for _, c := range s.controls {
		if c.current {
			c.members = slices.Clone(s.members)
		}
	}
}

// mayJoin reports whether a control VM knows one that hears the leader.
func (s *modelSystem) mayJoin(c *modelControl) bool {
	for _, at := range c.contacts.All(s.lists(c)...) {
		for _, other := range s.controls {
			if other.at == at && other.current && s.reach(c.index, other.index) {
				return true
			}
		}
	}
	return false
}

// join makes a control VM a member, in place of one that the leader has not reached for a second.
func (s *modelSystem) join(i int) {
	for at, m := range s.members {
		if s.now.Sub(s.lostAt[m]) >= time.Second {
			s.members = slices.Delete(slices.Clone(s.members), at, at+1)
			s.note("%d leaves the group", m)
			break
		}
	}
	s.members = append(slices.Clone(s.members), i)
	s.note("%d joins the group", i)
}

// exchange makes the calls of one round.
func (s *modelSystem) exchange(c *modelControl) {
	self := Record{Kind: KindControl, Address: c.at.Addr(), Sequence: uint64(s.now.UnixNano())}
	c.store.Put(s.now, self)
	for _, at := range c.contacts.Due(s.now, s.lists(c)...) {
		j := slices.IndexFunc(s.controls, func(other *modelControl) bool { return other.at == at })
		if !s.reach(c.index, j) || s.now.Before(s.deafTo) && (s.deaf == j || s.deaf == c.index) {
			continue
		}
		position := c.store.peerPosition(at.Addr())
		request := &pb.ExchangeRequest{
			Self: ToWire(self), Feed: position.Feed, Position: position.Change, Unsettled: !c.store.Settled(s.now),
		}
		if c.store.Collecting(s.now) {
			request.Known = wireRecords(c.store.List(s.now))
		}
		for _, m := range c.members {
			if m != c.index && s.now.Sub(c.answered[m]) >= unreachedAfter {
				request.Unreached = append(request.Unreached, addressBits(address(m)))
			}
		}
		response, err := s.controls[j].server.Exchange(context.Background(), request)
		if err != nil {
			s.t.Fatal(err)
		}
		c.answered[j] = s.now
		c.store.ApplyExchange(s.now, at.Addr(), response)
	}
}

// report sends the report of an agent: to the control VM that it uses, or to all while it uses none.
func (s *modelSystem) report(a *modelAgent) {
	a.record.Sequence++
	if a.home >= 0 && !s.controls[a.home].current {
		a.home = -1
	}
	for _, c := range s.live() {
		if a.home < 0 || a.home == c.index {
			c.store.Put(s.now, a.record)
			if a.home < 0 && c.current {
				a.home = c.index
			}
		}
	}
}

// step advances the model by a tick.
func (s *modelSystem) step() {
	s.now = s.now.Add(modelTick)
	s.group()
	if s.now.UnixMilli()%Interval.Milliseconds() != 0 {
		return
	}
	for _, a := range s.agents {
		if !a.gone {
			s.report(a)
		}
	}
	for _, c := range s.live() {
		s.exchange(c)
	}
	for _, c := range s.live() {
		if c.current {
			s.checkSettled(c)
		}
	}
}

// checkSettled checks that a settled roster lacks no agent that has reported for modelSpread.
func (s *modelSystem) checkSettled(c *modelControl) {
	if !c.store.Settled(s.now) {
		return
	}
	known := map[netip.Addr]bool{}
	for _, r := range c.store.List(s.now) {
		known[r.Address] = true
	}
	for _, a := range s.agents {
		if !a.gone && s.now.Sub(a.since) >= modelSpread && !known[a.record.Address] {
			s.fail("control VM %d hears the leader and calls a roster settled that lacks agent %s, which reports to %d", c.index, a.record.Address, a.home)
		}
	}
}

func (s *modelSystem) fail(format string, args ...any) {
	for _, line := range s.trace {
		s.t.Log(line)
	}
	s.note(format, args...)
	s.t.Fatal(s.trace[len(s.trace)-1])
}

// event makes one random event.
func (s *modelSystem) event() {
	live := s.live()
	c := rapid.SampledFrom(live).Draw(s.t, "control")
	switch kind := rapid.SampledFrom([]string{"replace", "replace", "cut", "cut", "heal", "deaf", "seeds", "agent", "agent stops", "move"}).Draw(s.t, "event"); kind {
	case "replace":
		if s.leader < 0 || !s.reach(c.index, s.leader) {
			return // the successor could not join: more machines would be lost at once than tolerated
		}
		next := s.addControl()
		next.side, next.seeds = c.side, s.addresses([]int{c.index, s.leader})
		for _, other := range live {
			if other != c && other.current {
				next.seeds = append(next.seeds, other.at)
				break
			}
		}
		s.note("%d is replaced by %d", c.index, next.index)
		for range 10 {
			s.step()
		}
		c.gone = true
	case "cut":
		s.note("%d is cut off", c.index)
		c.side = 1
	case "heal":
		s.note("the partition ends")
		for _, c := range s.controls {
			c.side = 0
		}
	case "deaf":
		s.deaf, s.deafTo = c.index, s.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(s.t, "seconds"))*time.Second)
		s.note("exchanges of %d get lost until %.1f", c.index, s.deafTo.Sub(time.Unix(1_000_000, 0)).Seconds())
	case "seeds":
		var indices []int
		for range 3 {
			indices = append(indices, rapid.SampledFrom(live).Draw(s.t, "seed").index)
		}
		s.note("seeds: %v", indices)
		for _, c := range s.controls {
			if rapid.IntRange(0, 3).Draw(s.t, "told") > 0 {
				c.seeds = s.addresses(indices)
			}
		}
	case "agent":
		s.addAgent()
	case "agent stops":
		a := rapid.SampledFrom(s.agents).Draw(s.t, "agent")
		a.gone = true
	case "move":
		if a := rapid.SampledFrom(s.agents).Draw(s.t, "agent"); c.current && a.home >= 0 {
			a.home = c.index
		}
	}
}

// connected reports whether the control VMs that run know of each other, directly or through others.
func (s *modelSystem) connected() bool {
	live := s.live()
	knows := func(a, b *modelControl) bool {
		return slices.Contains(a.contacts.All(s.lists(a)...), b.at) || slices.Contains(b.contacts.All(s.lists(b)...), a.at)
	}
	reached := []*modelControl{live[0]}
	for i := 0; i < len(reached); i++ {
		for _, c := range live {
			if !slices.Contains(reached, c) && knows(reached[i], c) {
				reached = append(reached, c)
			}
		}
	}
	return len(reached) == len(live)
}

// Control VMs are replaced, cut off for any time and reconnected, seeds change, and agents start, stop and move, in random order.
// A control VM that hears the leader must never call a roster settled that lacks a live agent; a process that trusts it resets the
// flows of that agent. Once the partition has ended, all control VMs must find each other and settle. Guards against a control
// VM that was cut off for longer than records live, after the seeds of its start were replaced: nobody called it any more.
func TestControlVMsFindEachOtherAfterAnySilence(t *testing.T) {
	healed := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newModelSystem(t)
		for range 10 {
			s.step()
		}
		for range rapid.IntRange(1, 7).Draw(t, "events") {
			s.event()
			for range rapid.IntRange(0, 70).Draw(t, "ticks") {
				s.step()
			}
		}
		s.note("the partition ends")
		s.deafTo = s.now
		for _, c := range s.controls {
			c.side = 0
		}
		if !s.connected() {
			return
		}
		healed++
		for end := s.now.Add(modelHeal); s.now.Before(end); {
			s.step()
		}
		for _, c := range s.live() {
			if !c.current || !c.store.Settled(s.now) {
				s.fail("control VM %d: hears a leader %t, settled %t", c.index, c.current, c.store.Settled(s.now))
			}
		}
	})
	if healed == 0 {
		t.Fatal("no run had control VMs that know of each other")
	}
}

// A control VM must call its current seeds and the members of its group, and from time to time those of earlier lists, but not
// more of them than the limit.
func TestContactsDue(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(i int) netip.AddrPort { return netip.AddrPortFrom(address(i), 7000) }
	now := time.Unix(1_000_000, 0)
	c := NewContacts(at(0))
	g.Expect(c.Due(now, []netip.AddrPort{at(0), at(1)}, []netip.AddrPort{at(1), at(2)})).To(gomega.Equal([]netip.AddrPort{at(1), at(2)}))
	now = now.Add(Interval)
	g.Expect(c.Due(now, []netip.AddrPort{at(3)})).To(gomega.Equal([]netip.AddrPort{at(3)}))
	now = now.Add(rememberedInterval)
	g.Expect(c.Due(now, []netip.AddrPort{at(3)})).To(gomega.ConsistOf(at(1), at(2), at(3)))
	g.Expect(c.All([]netip.AddrPort{at(4)})).To(gomega.ConsistOf(at(1), at(2), at(3), at(4)))
	for i := range 100 {
		c.Due(now.Add(time.Duration(i)*Interval), []netip.AddrPort{at(10 + i)})
	}
	g.Expect(c.remembered).To(gomega.HaveLen(maxRemembered + 1))
}

// A roster must not count as complete while a part of the group may have processes that this control VM does not know.
func TestCompleteness(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	leader, member := address(1), address(2)
	for _, c := range []struct {
		name     string
		group    GroupState
		answered map[netip.Addr]bool // settled, by control VM
		age      time.Duration       // of the answers
		complete bool
	}{
		{"no leader is heard", GroupState{}, map[netip.Addr]bool{leader: true, member: true}, 0, false},
		{"the leader has answered", GroupState{Leader: leader}, map[netip.Addr]bool{leader: true}, 0, true},
		{"only another member has answered", GroupState{Leader: leader}, map[netip.Addr]bool{member: true}, 0, false},
		{"the leader's roster is not settled", GroupState{Leader: leader}, map[netip.Addr]bool{leader: false}, 0, false},
		{"the leader's answer is old", GroupState{Leader: leader}, map[netip.Addr]bool{leader: true}, contactAge, false},
		{"leading, all that respond have answered", GroupState{Leading: true, Responding: []netip.Addr{member}}, map[netip.Addr]bool{member: false}, 0, true},
		{"leading, one that responds has not", GroupState{Leading: true, Responding: []netip.Addr{leader, member}}, map[netip.Addr]bool{member: true}, 0, false},
		{"leading, an answer is old", GroupState{Leading: true, Responding: []netip.Addr{member}}, map[netip.Addr]bool{member: true}, contactAge, false},
		{"leading, nobody else responds", GroupState{Leading: true}, nil, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			x := newCompleteness()
			now := start.Add(incompleteGrace)
			for at, settled := range c.answered {
				x.noteAnswer(now.Add(-c.age), at, settled)
			}
			g.Expect(x.complete(now, c.group)).To(gomega.Equal(c.complete))
			if c.complete {
				g.Expect(x.complete(now.Add(incompleteGrace-1), GroupState{})).To(gomega.BeTrue(), "during an election")
				g.Expect(x.complete(now.Add(incompleteGrace), GroupState{})).To(gomega.BeFalse())
			}
		})
	}
}
