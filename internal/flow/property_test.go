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
	callers [6]*flownet.Caller // few flows, so that several packets of one flow are in transit
	delayed []flownet.Envelope // messages and packets that releaseDelayed delivers later
}

// Guards against two owners of a flow, resets of live flows, and packets that reach a wrong connection, under random
// schedules of packets, lost, duplicated and reordered messages, differing configurations, crashes and restarts.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := []model.HostID{"h1", "h2", "h3", "h4", "h5"}[:rapid.IntRange(3, 5).Draw(rt, "hosts")]
		s := &schedule{Network: flownet.New(rt, 2, members...), rt: rt}
		steps := []func(){
			s.newFlow, s.newFlow, s.sendPacket, s.sendPacket, s.sendPacket, s.delayPacket, s.delayPacket, s.delayPacket,
			s.releaseDelayed, s.releaseDelayed, s.flushLossy, s.flushLossy, s.Flush, s.Flush, s.tickRepeatedly, s.tickRepeatedly,
			s.changeState, s.applyToAgent, s.applyToAgent, s.applyToEntry, s.toggleAccept, s.crashHost, s.closeFlow, s.removeOrAdd,
			s.loseLease, s.loseLease,
		}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			steps[s.pick(len(steps), "step")]()
		}
		s.recoverAndCheck()
	})
}

func (s *schedule) pick(n int, label string) int { return rapid.IntRange(0, n-1).Draw(s.rt, label) }

func (s *schedule) randomHost() model.HostID { return s.Order[s.pick(len(s.Order), "host")] }

// newFlow opens a flow for a random caller whose previous flow, if any, has ended.
func (s *schedule) newFlow() {
	i := s.pick(len(s.callers), "flow")
	if c := s.callers[i]; c == nil || c.Ended {
		s.callers[i] = &flownet.Caller{Key: flownet.CallerKey(i)}
		s.Talk(s.callers[i], s.pick(len(s.Entries), "entry"))
	}
}

func (s *schedule) sendPacket() {
	c := s.callers[s.pick(len(s.callers), "caller")]
	if c == nil || c.Ended {
		return
	}
	if s.pick(2, "answered") == 0 {
		s.Update(c)
	}
	s.Talk(c, s.pick(len(s.Entries), "entry"))
}

// packetPositions returns the queue positions of the callers' packets.
func (s *schedule) packetPositions() (at []int) {
	for i, d := range s.Queue {
		if d.Packet != nil {
			at = append(at, i)
		}
	}
	return at
}

// delayPacket delays a random packet or a copy of it.
func (s *schedule) delayPacket() {
	if at := s.packetPositions(); len(at) > 0 {
		i := at[s.pick(len(at), "packet")]
		s.delayed = append(s.delayed, s.Queue[i])
		if s.pick(3, "copy") > 0 {
			s.Queue = slices.Delete(s.Queue, i, i+1)
		}
	}
}

// releaseDelayed delivers a random delayed envelope.
func (s *schedule) releaseDelayed() {
	if len(s.delayed) > 0 {
		i := s.pick(len(s.delayed), "delayed")
		s.Queue = append([]flownet.Envelope{s.delayed[i]}, s.Queue...)
		s.delayed = slices.Delete(s.delayed, i, i+1)
		s.Deliver(0, false)
	}
}

// flushLossy delivers part of the queue in random order, and drops, duplicates or delays some envelopes.
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

// toggleAccept makes a host refuse new flows, as it does without a lease, or accept them again.
func (s *schedule) toggleAccept() {
	h := s.randomHost()
	if s.Lost(h) {
		return
	}
	l := s.Agents[h].Local
	l.AcceptNew = !l.AcceptNew
	s.SetLocal(h, l)
}

// loseLease expires the lease of a live host and declares the host lost, or returns a lost host to service. A host
// applies the configuration with its return before it accepts flows.
func (s *schedule) loseLease() {
	h := s.randomHost()
	member, _ := s.Configs[s.Newest()].Services[flownet.ServiceID].Member(h)
	switch {
	case !s.Agents[h].Alive:
	case member.State == model.UpstreamLost:
		s.State(h, model.UpstreamActive)
		s.Apply(h, s.Newest())
		s.SetLocal(h, flow.Local{AcceptNew: true})
	case member.State == model.UpstreamActive && s.otherActiveHosts(h) > 0:
		s.SetLocal(h, flow.Local{AcceptNew: false})
		s.State(h, model.UpstreamLost)
		s.Suspects[h] = true
	}
}

// removeOrAdd removes a draining host without connections once every live agent has the newest revision, or adds a
// removed host again.
func (s *schedule) removeOrAdd() {
	h := s.randomHost()
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

func (s *schedule) tickRepeatedly() {
	for range 1 + s.pick(10, "ticks") {
		s.Tick()
	}
}

// changeState drains a host or returns it to service, but keeps one host active.
func (s *schedule) changeState() {
	h := s.randomHost()
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

func (s *schedule) applyToAgent() {
	h := s.randomHost()
	if a := s.Agents[h]; a.Alive {
		s.Apply(h, min(s.Newest(), a.Revision+1+s.pick(3, "skip")))
	}
}

func (s *schedule) applyToEntry() {
	e := s.pick(len(s.Entries), "entry")
	s.Entries[e] = min(s.Newest(), s.Entries[e]+1)
}

func (s *schedule) closeFlow() {
	c := s.callers[s.pick(len(s.callers), "caller")]
	if c == nil || c.Ended {
		return
	}
	if s.Update(c); c.Established {
		s.Close(c)
	}
}

// crashHost restarts a live host, or crashes it and declares it lost. It restarts a crashed host.
func (s *schedule) crashHost() {
	h := s.randomHost()
	_, member := s.Configs[s.Newest()].Services[flownet.ServiceID].Member(h)
	switch {
	case !member, s.Agents[h].Alive && s.Lost(h):
	case !s.Agents[h].Alive:
		s.Restart(h)
		s.State(h, model.UpstreamActive)
	case s.pick(2, "restart") == 0:
		s.Restart(h)
	case s.otherActiveHosts(h) > 0:
		s.Crash(h)
		s.State(h, model.UpstreamLost)
	}
}

func (s *schedule) otherActiveHosts(h model.HostID) int {
	n := 0
	for _, m := range s.Configs[s.Newest()].Services[flownet.ServiceID].Members {
		if m.Host != h && m.State == model.UpstreamActive {
			n++
		}
	}
	return n
}

// recoverAndCheck ends the faults and checks that every open flow whose owner has not restarted is reachable through
// every entry, including flows of hosts that were lost and returned, and that new flows are accepted.
func (s *schedule) recoverAndCheck() {
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
		if c := s.connectWithRetry(i); !c.Established {
			s.T.Fatalf("new flow %s is not accepted", c.Key)
		}
	}
}

// connectWithRetry opens a new flow and tries a second time if it is not accepted.
func (s *schedule) connectWithRetry(i int) *flownet.Caller {
	c := s.Connect(1000+i, 0)
	if !c.Established {
		s.Run(time.Second)
		c = s.Connect(1000+i, 0)
	}
	return c
}
