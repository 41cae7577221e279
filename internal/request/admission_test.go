package request_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/standin/gatenet"
)

// harness drives one machine: it feeds events, answers binds and finishes at once, and records the other actions.
type harness struct {
	m          *request.Machine
	now        time.Time
	last       request.ID
	running    []request.ID
	codes      map[request.ID]result.Code
	handedOver map[request.ID]model.HostID
	overdue    []netip.AddrPort
	service    map[request.ID]model.ServiceID
}

func newHarness(change func(*request.Config)) *harness {
	cfg := request.DefaultConfig(model.HostRef{Host: "h0", Incarnation: 1})
	if change != nil {
		change(&cfg)
	}
	return &harness{
		m: request.New(cfg), now: time.Unix(1_800_000_000, 0), codes: map[request.ID]result.Code{},
		handedOver: map[request.ID]model.HostID{}, service: map[request.ID]model.ServiceID{},
	}
}

func (b *harness) handle(e request.Event) {
	for _, a := range b.m.Handle(b.now, e, nil) {
		switch a.Kind {
		case request.ActionDispatch:
			b.running = append(b.running, a.Run)
		case request.ActionAnswer:
			b.codes[a.ID] = a.Code
		case request.ActionHandOver:
			b.handedOver[a.Run] = a.To
		case request.ActionDrainOverdue:
			b.overdue = a.Callers
		case request.ActionBind:
			b.handle(request.BindResult{Run: a.Run, Attempt: a.Ref.Attempt, Answer: binding.Answer{Outcome: binding.Bound}})
		case request.ActionFinish:
			b.handle(request.FinishDone{Run: a.Run})
		}
	}
}

func (b *harness) send(id model.ServiceID, deadline time.Duration) request.ID {
	e := request.Received{Service: id, Idempotent: true}
	if deadline > 0 {
		e.Deadline = b.now.Add(deadline)
	}
	return b.sendEvent(e)
}

func (b *harness) sendEvent(e request.Received) request.ID {
	b.last++
	e.ID = b.last
	e.Caller = netip.MustParseAddrPort(fmt.Sprintf("10.0.0.1:%d", b.last))
	b.service[e.ID] = e.Service
	b.handle(e)
	return e.ID
}

// endRun ends the oldest run with result r after d.
func (b *harness) endRun(d time.Duration, r request.RunResult) request.ID {
	id := b.running[0]
	b.running = b.running[1:]
	b.now = b.now.Add(d)
	b.handle(request.RunEnded{Run: id, Result: r, Answer: &request.Answer{Status: 200, Body: make([]byte, 100)}})
	return id
}

// warmUp lets a service measure its upstream at d per run and leave its slow start.
func (b *harness) warmUp(id model.ServiceID, d time.Duration) {
	for range 20 {
		b.send(id, 0)
		b.endRun(d, request.RunAnswered)
	}
}

func (b *harness) peers(list ...request.Peer) {
	b.handle(request.Peers{Service: gatenet.Service, Peers: list})
}

// Guards against a service with many or long requests that starves another service on the same host.
func TestFairness(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(func(c *request.Config) { c.Slots = 1 })
	b.warmUp(1, 40*time.Millisecond)
	b.warmUp(2, 10*time.Millisecond)
	for range 60 {
		b.send(1, 0)
	}
	for range 60 {
		b.send(2, 0)
	}
	work := map[model.ServiceID]time.Duration{}
	for range 60 {
		id := b.service[b.running[0]]
		d := map[model.ServiceID]time.Duration{1: 40, 2: 10}[id] * time.Millisecond
		work[id] += d
		b.endRun(d, request.RunAnswered)
	}
	share := float64(work[1]) / float64(work[1]+work[2])
	g.Expect(share).To(BeNumerically("~", 0.5, 0.1))
}

// Guards against queueing a request that cannot meet its deadline, and against refusing feasible requests after one stall.
func TestEarlyRefusal(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(nil)
	b.warmUp(gatenet.Service, 100*time.Millisecond)
	g.Expect(b.codes[b.send(gatenet.Service, 50*time.Millisecond)]).To(Equal(result.RequestDeadlineTooShort))
	for range 3 {
		b.send(gatenet.Service, time.Second)
	}
	for range 15 {
		b.send(gatenet.Service, time.Minute)
	}
	g.Expect(b.codes[b.send(gatenet.Service, 400*time.Millisecond)]).To(Equal(result.RequestDeadlineTooShort))
	g.Expect(b.codes).NotTo(HaveKey(b.send(gatenet.Service, 3*time.Second)))
	b.endRun(0, request.RunAnswered)
	b = newHarness(nil)
	b.warmUp(gatenet.Service, 10*time.Millisecond)
	b.send(gatenet.Service, 0)
	b.endRun(5*time.Second, request.RunAnswered)
	g.Expect(b.codes).NotTo(HaveKey(b.send(gatenet.Service, 100*time.Millisecond)))
}

// Guards against a cold host that takes full load at once, and against a cold host that takes no load.
func TestColdUpstreams(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(nil)
	b.handle(request.LocalState{Cold: true})
	for range 5 {
		b.send(gatenet.Service, 0)
	}
	g.Expect(b.running).To(HaveLen(1))
	b.handle(request.LocalState{})
	g.Expect(b.running).To(HaveLen(1))
	for range 10 {
		b.endRun(time.Millisecond, request.RunAnswered)
		b.send(gatenet.Service, 0)
	}
	b.send(gatenet.Service, 0)
	g.Expect(b.running).To(HaveLen(3))
}

// eject fails runs until the upstream is ejected.
func (b *harness) eject() {
	for range 5 {
		b.sendEvent(request.Received{Service: gatenet.Service, Key: fmt.Sprint("e", b.last)})
		b.endRun(time.Millisecond, request.RunBroken)
	}
}

// Guards against a failing upstream that keeps getting requests, an ejection above the cap, and one that never ends.
func TestEjection(t *testing.T) {
	g := NewWithT(t)
	healthy := request.Peer{Host: "h1", TakesWork: true}
	b := newHarness(nil)
	b.peers(healthy, request.Peer{Host: "h2", TakesWork: true, Queued: 9})
	b.eject()
	_, ejected := b.m.Ejected(gatenet.Service)
	g.Expect(ejected).To(BeTrue())
	g.Expect(b.handedOver).To(HaveKeyWithValue(b.send(gatenet.Service, 0), model.HostID("h1")))
	b.now = b.now.Add(3 * time.Second)
	b.send(gatenet.Service, 0)
	g.Expect(b.running).To(HaveLen(1), "probe")
	g.Expect(b.handedOver).To(HaveKey(b.send(gatenet.Service, 0)), "one probe at a time")
	b.endRun(0, request.RunBroken)
	g.Expect(b.handedOver).To(HaveKey(b.send(gatenet.Service, 0)), "failed probe")
	b.now = b.now.Add(5 * time.Second)
	b.send(gatenet.Service, 0)
	b.endRun(0, request.RunAnswered)
	_, ejected = b.m.Ejected(gatenet.Service)
	g.Expect(ejected).To(BeFalse())
}

// Guards against a slow upstream that keeps its load because requests carry no deadline, and against an upstream that is
// ejected although its service is slow on every host.
func TestLateAnswersEject(t *testing.T) {
	for mean, want := range map[time.Duration]bool{50 * time.Millisecond: true, 500 * time.Millisecond: false, 0: false} {
		g := NewWithT(t)
		b := newHarness(nil)
		b.peers(request.Peer{Host: "h1", TakesWork: true, Mean: mean})
		for range 5 {
			b.send(gatenet.Service, 0)
			b.endRun(400*time.Millisecond, request.RunAnswered)
		}
		_, ejected := b.m.Ejected(gatenet.Service)
		g.Expect(ejected).To(Equal(want), mean.String())
	}
}

// Guards against agents that eject more than half of a service's hosts, and against requests that fail because all but
// one host are failing.
func TestEjectionCap(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(nil)
	earlier := b.now.Add(-time.Minute)
	b.peers(
		request.Peer{Host: "h1", Ejected: true, EjectedSince: earlier},
		request.Peer{Host: "h2", Ejected: true, EjectedSince: earlier},
		request.Peer{Host: "h3", TakesWork: true},
	)
	b.eject()
	_, ejected := b.m.Ejected(gatenet.Service)
	g.Expect(ejected).To(BeFalse(), "two of four hosts are ejected already")
	id := b.send(gatenet.Service, 0)
	g.Expect(b.handedOver).NotTo(HaveKey(id))
	g.Expect(b.running).To(ConsistOf(id))
	b = newHarness(nil)
	b.peers(request.Peer{Host: "h1"})
	b.eject()
	id = b.send(gatenet.Service, 0)
	g.Expect(b.running).To(ConsistOf(id), "no other host takes work")
}

// Guards against a full host that refuses what an idle one could run, and against moves between hosts that are all full.
func TestFullHostMovesWork(t *testing.T) {
	for queued, want := range map[int]int{0: 2, 3: 0} {
		g := NewWithT(t)
		b := newHarness(func(c *request.Config) { c.RetryBurst, c.RetryRatio, c.QueueLimit = 2, 0, 5 })
		b.peers(request.Peer{Host: "h1", TakesWork: true, Queued: queued})
		for range 6 + 4 {
			b.send(gatenet.Service, 0)
		}
		g.Expect(b.handedOver).To(HaveLen(want))
		g.Expect(b.codes).To(HaveLen(4 - want))
	}
}

// Guards against re-sends that multiply the load of a failing service.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(func(c *request.Config) { c.RetryBurst, c.RetryRatio, c.EjectAfter = 2, 0, 1000 })
	b.peers(request.Peer{Host: "h1", TakesWork: true})
	for range 4 {
		b.send(gatenet.Service, 0)
		b.endRun(time.Millisecond, request.RunShed)
	}
	g.Expect(b.handedOver).To(HaveLen(2))
	g.Expect(b.codes).To(Equal(map[request.ID]result.Code{3: result.RequestRetryBudgetSpent, 4: result.RequestRetryBudgetSpent}))
}

// Guards against a drain that disconnects a caller, leaves a caller out of the overdue report, or keeps queued requests.
func TestDrain(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(nil)
	for range 3 {
		b.send(gatenet.Service, 0)
	}
	b.peers(request.Peer{Host: "h1", TakesWork: true})
	b.handle(request.LocalState{Draining: true, DrainDeadline: b.now.Add(time.Minute)})
	g.Expect(b.handedOver).To(HaveLen(2))
	b.now = b.now.Add(time.Minute)
	b.handle(request.Tick{})
	g.Expect(b.overdue).To(HaveLen(3))
	g.Expect(b.codes).To(BeEmpty())
	b.endRun(0, request.RunAnswered)
	b.handle(request.HandOverEnded{Run: 2, Sent: true, Reached: true, Answer: &request.Answer{Status: 200}})
	g.Expect(b.codes).To(Equal(map[request.ID]result.Code{1: result.OK, 2: result.OK}))
	g.Expect(b.m.Remaining()).To(HaveLen(1))
}

// Guards against unbounded memory for retained answers, and against one long answer that displaces all others. Each
// answer has 164 bytes.
func TestRetainedAnswersAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		count, bytes  int
		held, answers int // of 12
	}{
		"count": {count: 3, bytes: 1 << 20, held: 3, answers: 3},
		"bytes": {count: 100, bytes: 8*164 + 100, held: 8, answers: 8},
		"long":  {count: 100, bytes: 8*164 - 8, held: 12, answers: 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newHarness(func(cfg *request.Config) { cfg.RetainCount, cfg.RetainBytes = c.count, c.bytes })
			held, answers := 0, 0
			for i := range 12 {
				b.sendEvent(request.Received{Service: gatenet.Service, Key: fmt.Sprint("k", i)})
				b.endRun(time.Millisecond, request.RunAnswered)
			}
			for i := range 12 {
				asked := request.JoinRequested{ID: request.ID(100 + i), Service: gatenet.Service, Key: fmt.Sprint("k", i)}
				a := b.m.Handle(b.now, asked, nil)[0]
				switch {
				case a.Held && a.Answer != nil:
					held, answers = held+1, answers+1
				case a.Held:
					held++
					g.Expect(a.Code).To(Equal(result.RequestAnswerNotRetained))
				}
			}
			g.Expect([]int{held, answers}).To(Equal([]int{c.held, c.answers}))
		})
	}
}
