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
)

// The seed is fixed so that every run takes the same schedules; -rapid.checks and -rapid.seed override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "5000")
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against a keyed request that runs twice, a "not run" about a request that ran, a wrong answer, and a request
// without an end, under any order of sends, losses, delays, repeats, crashes, wrong loss reports and restarts.
func TestRandomSchedules(t *testing.T) {
	schedules, answers := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		w := newWorld(3, draw, func(f string, a ...any) { rt.Fatalf(f, a...) })
		s := &schedule{world: w, draw: draw, log: rt.Logf}
		for range 10 + draw(110) {
			s.step()
		}
		s.settle()
		schedules++
		answers += w.ended
	})
	t.Logf("%d schedules, %d answers", schedules, answers)
}

type waiting struct {
	agent *agent
	id    request.ID
	send  *send
}

type schedule struct {
	*world
	draw    func(int) int
	log     func(string, ...any)
	callers []waiting
	n       int
}

func (s *schedule) step() {
	switch op := s.draw(20); {
	case op < 4:
		s.newSend()
	case op < 12:
		if len(s.bag) > 0 {
			s.deliver(s.bag[s.draw(len(s.bag))])
		}
	case op < 14:
		if len(s.bag) > 0 {
			s.lose(s.bag[s.draw(len(s.bag))])
		}
	case op == 14:
		i := s.draw(len(s.agents))
		s.log("crash %s", s.agents[i].ref)
		s.crash(i)
	case op == 15:
		a := s.agents[s.draw(len(s.agents))]
		s.log("declare %s lost", a.ref)
		s.table.Apply(0, s.now, binding.LostCommand(a.ref.Host, a.ref.Incarnation))
	case op == 16:
		if len(s.callers) > 0 {
			c := s.callers[s.draw(len(s.callers))]
			s.log("cancel %s at %s", c.send.tag, c.agent.ref)
			c.send.left = true
			s.handle(c.agent, request.Cancelled{ID: c.id})
		}
	case op == 17:
		steps := []time.Duration{10 * time.Millisecond, time.Second, 20 * time.Second, 70 * time.Second}
		s.advance(steps[s.draw(len(steps))])
	case op == 18:
		i := s.draw(len(s.agents))
		l := request.Local{Draining: s.draw(2) == 0}
		s.log("%s draining %t", s.agents[i].ref, l.Draining)
		s.handle(s.agents[i], l)
		s.peers(i, s.draw(3) > 0)
	default:
		snapshot, err := s.table.Snapshot()
		if err != nil {
			s.fail("snapshot: %v", err)
		}
		s.table = binding.NewTable(0)
		if err := s.table.Restore(snapshot); err != nil {
			s.fail("restore: %v", err)
		}
	}
}

func (s *schedule) newSend() {
	s.n++
	x := &send{tag: fmt.Sprint("get-", s.n), idempotent: true}
	if k := s.draw(8); k < 6 {
		x = &send{key: fmt.Sprint("key-", k%3), body: fmt.Sprint("body-", s.draw(5)/4)}
		x.tag = x.key + x.body
		x.idempotent = s.draw(4) == 0
		if k%3 > 0 {
			// Sends of one key carry the same deadline.
			x.deadline = time.Unix(1_800_000_000, 0).Add(time.Duration(k%3) * 15 * time.Second)
		}
	}
	i := s.draw(len(s.agents))
	s.log("send %s to %s", x.tag, s.agents[i].ref)
	a, id := s.caller(i, x)
	s.callers = append(s.callers, waiting{a, id, x})
}

func (s *schedule) deliver(m *message) {
	s.log("deliver %s of %s", m.what, m.from.ref)
	again := m.repeats && s.draw(4) == 0
	if !again {
		s.remove(m)
	}
	m.deliver()
}

// lose lets the sender give up while the message is still under way, or drops it after that.
func (s *schedule) lose(m *message) {
	s.log("lose %s of %s", m.what, m.from.ref)
	switch {
	case m.lose != nil && !m.lost:
		m.lost = true
		m.lose()
	case m.lose != nil || m.from.dead:
		s.remove(m)
	}
}

func (s *schedule) advance(d time.Duration) {
	s.log("advance %s", d)
	s.now = s.now.Add(d)
	for _, a := range s.agents {
		s.handle(a, request.Tick{})
	}
}

// settle delivers everything and lets all deadlines pass; then no request may be left without an end.
func (s *schedule) settle() {
	for range 40 {
		for n := 0; len(s.bag) > 0 && n < 400; n++ {
			m := s.bag[0]
			s.remove(m)
			m.deliver()
		}
		s.advance(30 * time.Second)
	}
	for _, a := range s.agents {
		for id, x := range a.waits {
			s.fail("%s: %s (%d) has no end", a.ref, x.tag, id)
		}
	}
}
