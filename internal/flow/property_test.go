package flow_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/standin/flownet"
)

var hosts = []model.HostID{"h1", "h2", "h3", "h4"}

// schedule drives a network with random steps.
type schedule struct {
	*flownet.Network
	rt      *rapid.T
	callers [6]*flownet.Caller // few flows, so that many packets of one flow are under way
	delayed []flownet.Envelope
}

// Guards against schedules of packets, lost, repeated and reordered messages, uneven configurations, crashes and
// restarts under which a flow gets two owners, a live flow is reset, or a packet reaches a wrong connection.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := []model.HostID{"h1", "h2", "h3", "h4", "h5"}[:rapid.IntRange(3, 5).Draw(rt, "hosts")]
		s := &schedule{Network: flownet.New(rt, 2, members...), rt: rt}
		steps := []func(){
			s.newFlow, s.newFlow, s.talkSome, s.talkSome, s.talkSome, s.delayPacket, s.delayPacket, s.delayPacket,
			s.releaseDelayed, s.releaseDelayed, s.flushLossy, s.flushLossy, s.Flush, s.Flush, s.tickSome, s.tickSome,
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

func (s *schedule) host() model.HostID { return s.Order[s.pick(len(s.Order), "host")] }

// newFlow opens a flow. The port of an ended flow is used again.
func (s *schedule) newFlow() {
	i := s.pick(len(s.callers), "flow")
	if c := s.callers[i]; c == nil || c.Ended {
		s.callers[i] = &flownet.Caller{Key: flownet.CallerKey(i)}
		s.Talk(s.callers[i], s.pick(len(s.Entries), "entry"))
	}
}

func (s *schedule) talkSome() {
	c := s.callers[s.pick(len(s.callers), "caller")]
	if c == nil || c.Ended {
		return
	}
	if s.pick(2, "answered") == 0 {
		s.Update(c)
	}
	s.Talk(c, s.pick(len(s.Entries), "entry"))
}

// packets returns the positions of callers' packets in the queue.
func (s *schedule) packets() (at []int) {
	for i, d := range s.Queue {
		if d.Packet != nil {
			at = append(at, i)
		}
	}
	return at
}

// delayPacket keeps one packet, or a copy of it, back.
func (s *schedule) delayPacket() {
	if at := s.packets(); len(at) > 0 {
		i := at[s.pick(len(at), "packet")]
		s.delayed = append(s.delayed, s.Queue[i])
		if s.pick(3, "copy") > 0 {
			s.Queue = slices.Delete(s.Queue, i, i+1)
		}
	}
}

// releaseDelayed delivers one of the packets that were kept back.
func (s *schedule) releaseDelayed() {
	if len(s.delayed) > 0 {
		i := s.pick(len(s.delayed), "delayed")
		s.Queue = append([]flownet.Envelope{s.delayed[i]}, s.Queue...)
		s.delayed = slices.Delete(s.delayed, i, i+1)
		s.Deliver(0, false)
	}
}

// flushLossy delivers part of the queue in random order and loses, repeats or delays some of it.
func (s *schedule) flushLossy() {
	for range s.pick(30, "count") {
		if len(s.Queue) == 0 {
			return
		}
		i := s.pick(min(len(s.Queue), 8), "envelope")
		switch s.pick(8, "fate") {
		case 0:
			s.Queue = slices.Delete(s.Queue, i, i+1)
		case 1:
			s.Deliver(i, true)
		case 2:
			s.delayed = append(s.delayed, s.Queue[i])
			s.Queue = slices.Delete(s.Queue, i, i+1)
		default:
			s.Deliver(i, false)
		}
	}
}

// toggleAccept makes a host refuse new flows, as without a lease, so that homes assign to others.
func (s *schedule) toggleAccept() {
	h := s.host()
	if s.Lost(h) {
		return
	}
	l := s.Agents[h].Local
	l.AcceptNew = !l.AcceptNew
	s.SetLocal(h, l)
}

// loseLease has a live host declared lost after its lease expired, or returns one. A host that returns first applies the
// configuration that says so.
func (s *schedule) loseLease() {
	h := s.host()
	member, _ := s.Configs[s.Newest()].Services[flownet.ServiceID].Member(h)
	switch {
	case !s.Agents[h].Alive:
	case member.State == model.UpstreamLost:
		s.State(h, model.UpstreamActive)
		s.Apply(h, s.Newest())
		s.SetLocal(h, flow.Local{AcceptNew: true})
	case member.State == model.UpstreamActive && s.activeOthers(h) > 0:
		s.SetLocal(h, flow.Local{AcceptNew: false})
		s.State(h, model.UpstreamLost)
		s.Suspects[h] = true
	}
}

// removeOrAdd removes a host without flows whose draining state is in force everywhere, or adds a removed one again.
func (s *schedule) removeOrAdd() {
	h := s.host()
	member, ok := s.Configs[s.Newest()].Services[flownet.ServiceID].Member(h)
	if !ok {
		s.Change(func(_ *model.Snapshot, svc *model.Service) {
			svc.Members = append(svc.Members, model.Member{Host: h, State: model.UpstreamActive})
		})
		return
	}
	if member.State != model.UpstreamDraining || len(s.Agents[h].Conns) > 0 {
		return
	}
	for _, a := range s.Agents {
		if a.Alive && a.Revision < s.Newest() {
			return
		}
	}
	s.Change(func(_ *model.Snapshot, svc *model.Service) {
		svc.Members = slices.DeleteFunc(svc.Members, func(m model.Member) bool { return m.Host == h })
	})
}

func (s *schedule) tickSome() {
	for range 1 + s.pick(10, "ticks") {
		s.Tick()
	}
}

// changeState drains a host or returns it to service, but keeps one host active.
func (s *schedule) changeState() {
	h := s.host()
	svc := s.Configs[s.Newest()].Services[flownet.ServiceID]
	member, _ := svc.Member(h)
	active := 0
	for _, m := range svc.Members {
		if m.State == model.UpstreamActive {
			active++
		}
	}
	switch {
	case member.State == model.UpstreamDraining:
		s.State(h, model.UpstreamActive)
	case member.State == model.UpstreamActive && active > 1:
		s.State(h, model.UpstreamDraining)
	}
}

func (s *schedule) applySome() {
	h := s.host()
	if a := s.Agents[h]; a.Alive {
		s.Apply(h, min(s.Newest(), a.Revision+1+s.pick(3, "skip")))
	}
}

func (s *schedule) applyEntry() {
	e := s.pick(len(s.Entries), "entry")
	s.Entries[e] = min(s.Newest(), s.Entries[e]+1)
}

func (s *schedule) closeSome() {
	c := s.callers[s.pick(len(s.callers), "caller")]
	if c == nil || c.Ended {
		return
	}
	if s.Update(c); c.Established {
		s.Close(c)
	}
}

// crashOne stops a host and either restarts it or has it declared lost; a lost host restarts on the next call.
func (s *schedule) crashOne() {
	h := s.host()
	_, member := s.Configs[s.Newest()].Services[flownet.ServiceID].Member(h)
	switch {
	case !member, s.Agents[h].Alive && s.Lost(h):
	case !s.Agents[h].Alive:
		s.Restart(h)
		s.State(h, model.UpstreamActive)
	case s.pick(2, "restart") == 0:
		s.Restart(h)
	case s.activeOthers(h) > 0:
		s.Crash(h)
		s.State(h, model.UpstreamLost)
	}
}

func (s *schedule) activeOthers(h model.HostID) int {
	n := 0
	for _, m := range s.Configs[s.Newest()].Services[flownet.ServiceID].Members {
		if m.Host != h && m.State == model.UpstreamActive {
			n++
		}
	}
	return n
}

// heal ends the faults and checks that every flow whose owner lives is still reachable.
// It does so also for the flows of hosts that were lost and returned.
func (s *schedule) heal() {
	s.Flush()
	for _, h := range s.Order {
		if s.Lost(h) && s.Agents[h].Alive {
			s.State(h, model.UpstreamActive)
		}
		s.Apply(h, s.Newest())
		s.SetLocal(h, flow.Local{AcceptNew: true})
	}
	s.ApplyAll()
	s.Run(4 * time.Second)
	clear(s.Suspects)
	for _, c := range s.callers {
		if c == nil {
			continue
		}
		s.CheckOwners(c.Key)
		s.Update(c)
		owner := s.Agents[c.Owner.Host]
		if c.Ended || !c.Established || owner.Ref != c.Owner {
			continue
		}
		if _, open := owner.Conns[c.Key]; open {
			for e := range s.Entries {
				s.MustReach(c, e)
			}
		}
	}
	for i := range 3 {
		if c := s.connectHealed(i); !c.Established {
			s.T.Fatalf("new flow %s is not accepted", c.Key)
		}
	}
}

// connectHealed opens a new flow with one retransmission of the SYN.
func (s *schedule) connectHealed(i int) *flownet.Caller {
	c := s.Connect(1000+i, 0)
	if !c.Established {
		s.Run(time.Second)
		c = s.Connect(1000+i, 0)
	}
	return c
}
