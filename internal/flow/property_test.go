package flow_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
)

var hosts = []model.HostID{"h1", "h2", "h3", "h4"}

// schedule drives a network with random steps.
type schedule struct {
	*network
	rt      *rapid.T
	callers [6]*caller // few flows, so that many packets of one flow are under way
	delayed []parcel
}

// Guards against schedules of packets, lost, repeated and reordered messages, uneven configurations, crashes and
// restarts under which a flow gets two owners, a live flow is reset, or a packet reaches a wrong connection.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := []model.HostID{"h1", "h2", "h3", "h4", "h5"}[:rapid.IntRange(3, 5).Draw(rt, "hosts")]
		s := &schedule{network: newNetwork(rt, 2, members...), rt: rt}
		steps := []func(){
			s.newFlow, s.newFlow, s.talkSome, s.talkSome, s.talkSome, s.delayPacket, s.delayPacket, s.delayPacket,
			s.releaseDelayed, s.releaseDelayed, s.flushLossy, s.flushLossy, s.flush, s.flush, s.tickSome, s.tickSome,
			s.changeState, s.applySome, s.applySome, s.applyEntry, s.toggleAccept, s.crashOne, s.closeSome, s.removeOrAdd,
			s.loseLease, s.loseLease,
		}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			steps[s.pick(len(steps), "step")]()
		}
		s.heal()
	})
}

func (s *schedule) pick(n int, label string) int { return rapid.IntRange(0, n-1).Draw(s.rt, label) }

func (s *schedule) host() model.HostID { return s.order[s.pick(len(s.order), "host")] }

// newFlow opens a flow. The port of an ended flow is used again.
func (s *schedule) newFlow() {
	i := s.pick(len(s.callers), "flow")
	if c := s.callers[i]; c == nil || c.ended {
		s.callers[i] = &caller{key: callerKey(i)}
		s.talk(s.callers[i], s.pick(len(s.entries), "entry"))
	}
}

func (s *schedule) talkSome() {
	c := s.callers[s.pick(len(s.callers), "caller")]
	if c == nil || c.ended {
		return
	}
	if s.pick(2, "answered") == 0 {
		s.update(c)
	}
	s.talk(c, s.pick(len(s.entries), "entry"))
}

// packets returns the positions of callers' packets in the queue.
func (s *schedule) packets() (at []int) {
	for i, d := range s.queue {
		if d.packet != nil {
			at = append(at, i)
		}
	}
	return at
}

// delayPacket keeps one packet, or a copy of it, back.
func (s *schedule) delayPacket() {
	if at := s.packets(); len(at) > 0 {
		i := at[s.pick(len(at), "packet")]
		s.delayed = append(s.delayed, s.queue[i])
		if s.pick(3, "copy") > 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	}
}

// releaseDelayed delivers one of the packets that were kept back.
func (s *schedule) releaseDelayed() {
	if len(s.delayed) > 0 {
		i := s.pick(len(s.delayed), "delayed")
		s.queue = append([]parcel{s.delayed[i]}, s.queue...)
		s.delayed = slices.Delete(s.delayed, i, i+1)
		s.deliver(0, false)
	}
}

// flushLossy delivers part of the queue in random order and loses, repeats or delays some of it.
func (s *schedule) flushLossy() {
	for range s.pick(30, "count") {
		if len(s.queue) == 0 {
			return
		}
		i := s.pick(min(len(s.queue), 8), "parcel")
		switch s.pick(8, "fate") {
		case 0:
			s.queue = slices.Delete(s.queue, i, i+1)
		case 1:
			s.deliver(i, true)
		case 2:
			s.delayed = append(s.delayed, s.queue[i])
			s.queue = slices.Delete(s.queue, i, i+1)
		default:
			s.deliver(i, false)
		}
	}
}

// toggleAccept makes a host refuse new flows, as without a lease, so that homes assign to others.
func (s *schedule) toggleAccept() {
	h := s.host()
	if s.lost(h) {
		return
	}
	l := s.agents[h].local
	l.AcceptNew = !l.AcceptNew
	s.setLocal(h, l)
}

// loseLease has a live host declared lost after its lease expired, or returns one. A host that returns first applies the
// configuration that says so.
func (s *schedule) loseLease() {
	h := s.host()
	member, _ := s.configs[s.newest()].Services[serviceID].Member(h)
	switch {
	case !s.agents[h].alive:
	case member.State == model.UpstreamLost:
		s.state(h, model.UpstreamActive)
		s.apply(h, s.newest())
		s.setLocal(h, flow.Local{AcceptNew: true})
	case member.State == model.UpstreamActive && s.activeOthers(h) > 0:
		s.setLocal(h, flow.Local{AcceptNew: false})
		s.state(h, model.UpstreamLost)
		s.suspects[h] = true
	}
}

// removeOrAdd removes a host without flows whose draining state is in force everywhere, or adds a removed one again.
func (s *schedule) removeOrAdd() {
	h := s.host()
	member, ok := s.configs[s.newest()].Services[serviceID].Member(h)
	if !ok {
		s.change(func(_ *model.Snapshot, svc *model.Service) {
			svc.Members = append(svc.Members, model.Member{Host: h, State: model.UpstreamActive})
		})
		return
	}
	if member.State != model.UpstreamDraining || len(s.agents[h].conns) > 0 {
		return
	}
	for _, a := range s.agents {
		if a.alive && a.revision < s.newest() {
			return
		}
	}
	s.change(func(_ *model.Snapshot, svc *model.Service) {
		svc.Members = slices.DeleteFunc(svc.Members, func(m model.Member) bool { return m.Host == h })
	})
}

func (s *schedule) tickSome() {
	for range 1 + s.pick(10, "ticks") {
		s.tick()
	}
}

// changeState drains a host or returns it to service, but keeps one host active.
func (s *schedule) changeState() {
	h := s.host()
	svc := s.configs[s.newest()].Services[serviceID]
	member, _ := svc.Member(h)
	active := 0
	for _, m := range svc.Members {
		if m.State == model.UpstreamActive {
			active++
		}
	}
	switch {
	case member.State == model.UpstreamDraining:
		s.state(h, model.UpstreamActive)
	case member.State == model.UpstreamActive && active > 1:
		s.state(h, model.UpstreamDraining)
	}
}

func (s *schedule) applySome() {
	h := s.host()
	if a := s.agents[h]; a.alive {
		s.apply(h, min(s.newest(), a.revision+1+s.pick(3, "skip")))
	}
}

func (s *schedule) applyEntry() {
	e := s.pick(len(s.entries), "entry")
	s.entries[e] = min(s.newest(), s.entries[e]+1)
}

func (s *schedule) closeSome() {
	c := s.callers[s.pick(len(s.callers), "caller")]
	if c == nil || c.ended {
		return
	}
	if s.update(c); c.established {
		s.close(c)
	}
}

// crashOne stops a host and either restarts it or has it declared lost; a lost host restarts on the next call.
func (s *schedule) crashOne() {
	h := s.host()
	_, member := s.configs[s.newest()].Services[serviceID].Member(h)
	switch {
	case !member, s.agents[h].alive && s.lost(h):
	case !s.agents[h].alive:
		s.restart(h)
		s.state(h, model.UpstreamActive)
	case s.pick(2, "restart") == 0:
		s.restart(h)
	case s.activeOthers(h) > 0:
		s.crash(h)
		s.state(h, model.UpstreamLost)
	}
}

func (s *schedule) activeOthers(h model.HostID) int {
	n := 0
	for _, m := range s.configs[s.newest()].Services[serviceID].Members {
		if m.Host != h && m.State == model.UpstreamActive {
			n++
		}
	}
	return n
}

// heal ends the faults and checks that every flow whose owner lives is still reachable.
// It does so also for the flows of hosts that were lost and returned.
func (s *schedule) heal() {
	s.flush()
	for _, h := range s.order {
		if s.lost(h) && s.agents[h].alive {
			s.state(h, model.UpstreamActive)
		}
		s.apply(h, s.newest())
		s.setLocal(h, flow.Local{AcceptNew: true})
	}
	s.applyAll()
	s.run(4 * time.Second)
	clear(s.suspects)
	for _, c := range s.callers {
		if c == nil {
			continue
		}
		s.checkOwners(c.key)
		s.update(c)
		owner := s.agents[c.owner.Host]
		if c.ended || !c.established || owner.ref != c.owner {
			continue
		}
		if _, open := owner.conns[c.key]; open {
			for e := range s.entries {
				s.mustReach(c, e)
			}
		}
	}
	for i := range 3 {
		if c := s.connectHealed(i); !c.established {
			s.t.Fatalf("new flow %s is not accepted", c.key)
		}
	}
}

// connectHealed opens a new flow with one retransmission of the SYN.
func (s *schedule) connectHealed(i int) *caller {
	c := s.connect(1000+i, 0)
	if !c.established {
		s.run(time.Second)
		c = s.connect(1000+i, 0)
	}
	return c
}
