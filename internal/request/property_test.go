package request_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/standin/gatenet"
)

// The seed is fixed so that every run takes the same schedules; -rapid.checks and -rapid.seed override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "5000")
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against a keyed request that runs twice, a "not run" code for a request that ran, a wrong answer, and a request
// that is never answered, under any order of sends, losses, delays, repeats, crashes, wrong loss reports and restarts.
func TestRandomSchedules(t *testing.T) {
	schedules, answers := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		w := gatenet.New(3, draw, rt)
		s := &schedule{World: w, draw: draw, log: rt.Logf}
		for range 10 + draw(110) {
			s.step()
		}
		s.settle()
		schedules++
		answers += w.Ended
	})
	t.Logf("%d schedules, %d answers", schedules, answers)
}

// pendingSend is a request that a caller sent to an agent.
type pendingSend struct {
	agent *gatenet.Agent
	id    request.ID
	send  *gatenet.Send
}

// schedule applies randomly drawn steps to a simulated network of agents.
type schedule struct {
	*gatenet.World
	draw    func(int) int
	log     func(string, ...any)
	callers []pendingSend
	n       int
}

func (s *schedule) step() {
	switch op := s.draw(20); {
	case op < 4:
		s.newSend()
	case op < 12:
		if len(s.Bag) > 0 {
			s.deliver(s.Bag[s.draw(len(s.Bag))])
		}
	case op < 14:
		if len(s.Bag) > 0 {
			s.lose(s.Bag[s.draw(len(s.Bag))])
		}
	case op == 14:
		i := s.draw(len(s.Agents))
		s.log("crash %s", s.Agents[i].Ref)
		s.Crash(i)
	case op == 15:
		a := s.Agents[s.draw(len(s.Agents))]
		s.log("declare %s lost", a.Ref)
		s.Table.Apply(0, s.Now, binding.LostCommand(a.Ref.Host, a.Ref.Incarnation))
	case op == 16:
		if len(s.callers) > 0 {
			c := s.callers[s.draw(len(s.callers))]
			s.log("cancel %s at %s", c.send.Tag, c.agent.Ref)
			c.send.Left = true
			s.Handle(c.agent, request.Cancelled{ID: c.id})
		}
	case op == 17:
		steps := []time.Duration{10 * time.Millisecond, time.Second, 20 * time.Second, 70 * time.Second}
		s.advance(steps[s.draw(len(steps))])
	case op == 18:
		i := s.draw(len(s.Agents))
		l := request.LocalState{Draining: s.draw(2) == 0}
		s.log("%s draining %t", s.Agents[i].Ref, l.Draining)
		s.Handle(s.Agents[i], l)
		s.Peers(i, s.draw(3) > 0)
	default:
		snapshot, err := s.Table.Snapshot()
		if err != nil {
			s.T.Fatalf("snapshot: %v", err)
		}
		s.Table = binding.NewTable(0)
		if err := s.Table.Restore(snapshot); err != nil {
			s.T.Fatalf("restore: %v", err)
		}
	}
}

func (s *schedule) newSend() {
	s.n++
	x := &gatenet.Send{Tag: fmt.Sprint("get-", s.n), Idempotent: true}
	if k := s.draw(8); k < 6 {
		x = &gatenet.Send{Key: fmt.Sprint("key-", k%3), Body: fmt.Sprint("body-", s.draw(5)/4)}
		x.Tag = x.Key + x.Body
		x.Idempotent = s.draw(4) == 0
		if k%3 > 0 {
			// Sends of one key carry the same deadline.
			x.Deadline = time.Unix(1_800_000_000, 0).Add(time.Duration(k%3) * 15 * time.Second)
		}
	}
	i := s.draw(len(s.Agents))
	s.log("send %s to %s", x.Tag, s.Agents[i].Ref)
	a, id := s.Caller(i, x)
	s.callers = append(s.callers, pendingSend{a, id, x})
}

func (s *schedule) deliver(m *gatenet.Message) {
	s.log("deliver %s of %s", m.What, m.From.Ref)
	again := m.Repeats && s.draw(4) == 0
	if !again {
		s.Remove(m)
	}
	m.Deliver()
}

// lose makes the sender time out while the message is still in transit; a second call drops the message.
func (s *schedule) lose(m *gatenet.Message) {
	s.log("lose %s of %s", m.What, m.From.Ref)
	switch {
	case m.Lose != nil && !m.Lost:
		m.Lost = true
		m.Lose()
	case m.Lose != nil || m.From.Dead:
		s.Remove(m)
	}
}

func (s *schedule) advance(d time.Duration) {
	s.log("advance %s", d)
	s.Now = s.Now.Add(d)
	for _, a := range s.Agents {
		s.Handle(a, request.Tick{})
	}
}

// settle delivers all messages and lets all deadlines pass; then every request must have been answered.
func (s *schedule) settle() {
	for range 40 {
		for n := 0; len(s.Bag) > 0 && n < 400; n++ {
			m := s.Bag[0]
			s.Remove(m)
			m.Deliver()
		}
		s.advance(30 * time.Second)
	}
	for _, a := range s.Agents {
		for id, x := range a.Waits {
			s.T.Fatalf("%s: %s (%d) was not answered", a.Ref, x.Tag, id)
		}
	}
}
