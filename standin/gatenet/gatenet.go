// Package gatenet connects the request machines of a few gates with upstreams and a binding table. Its steps can be
// reordered, lost and repeated, and it checks that no keyed request runs twice or gets a wrong answer.
package gatenet

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
)

// Service is the service of every request.
const Service model.ServiceID = 7

// Send is one request as a caller sent it.
type Send struct {
	Tag        string // names the work: equal for sends that must run at most once together
	Key        string
	Body       string
	Deadline   time.Time
	Idempotent bool
	Left       bool // the caller cancelled
	settle     func(request.Action)
}

func (s *Send) received(id request.ID, handed bool) request.Received {
	digest := binding.Digest(binding.HashKey(0, s.Body+s.Deadline.String()))
	return request.Received{
		ID: id, Service: Service, Caller: netip.MustParseAddrPort("10.0.0.1:1"),
		Key: s.Key, Digest: digest, Deadline: s.Deadline, Idempotent: s.Idempotent, HandedOver: handed,
	}
}

// Agent is one incarnation of a gate's machine.
type Agent struct {
	Ref     model.HostRef
	machine *request.Machine
	skew    time.Duration
	Dead    bool
	lastID  request.ID
	sends   map[request.ID]*Send
	Waits   map[request.ID]*Send // settle receives the answer
}

// Message is something under way. Delivering it is one step of a schedule; a step may also lose or repeat it.
type Message struct {
	What    string
	From    *Agent
	Deliver func() // arrives; the sender learns the outcome unless it was given up before
	Lose    func() // the sender gives up; the message may still arrive; nil if that is not possible
	Lost    bool
	Repeats bool // the sender resends it; an RPC between agents arrives at most once, as its connection ensures
}

// Failer is implemented by *testing.T and *rapid.T.
type Failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// World is a few agents, one binding table, and what is under way. It checks the invariants at each step.
type World struct {
	Now     time.Time
	Table   *binding.Table
	Agents  []*Agent
	Bag     []*Message
	Runs    map[string]int // by tag
	byKey   map[string]int
	live    map[*Message]*Send // dispatches that may still run
	outcome func(n int) int    // chooses among n outcomes of a dispatch
	T       Failer
	Ended   int // answers seen by callers
}

// New returns a world of agents that know each other, with clocks 3 s apart. outcome chooses among n outcomes of a
// dispatch: of 6, 0 is shed, 1 not sent, 2 a broken connection whose request may run later, and the others run; of 3
// for a run, 0 truncates its answer.
func New(agents int, outcome func(int) int, t Failer) *World {
	w := &World{
		Now: time.Unix(1_800_000_000, 0), Table: binding.NewTable(0), Runs: map[string]int{}, byKey: map[string]int{},
		live: map[*Message]*Send{}, outcome: outcome, T: t,
	}
	for i := range agents {
		w.Agents = append(w.Agents, w.newAgent(model.HostRef{Host: model.HostID(fmt.Sprint("h", i)), Incarnation: 1}))
		w.Agents[i].skew = time.Duration(i-1) * 3 * time.Second
	}
	for i := range agents {
		w.Peers(i, true)
	}
	return w
}

func (w *World) newAgent(ref model.HostRef) *Agent {
	cfg := request.DefaultConfig(ref)
	cfg.QueueLimit, cfg.RetainCount, cfg.Slots = 2, 2, 2
	return &Agent{
		Ref: ref, machine: request.New(cfg), sends: map[request.ID]*Send{}, Waits: map[request.ID]*Send{},
	}
}

// Peers tells agent i whether the others take work.
func (w *World) Peers(i int, takes bool) {
	var list []request.Peer
	for j, a := range w.Agents {
		if j != i {
			list = append(list, request.Peer{Host: a.Ref.Host, TakesWork: takes})
		}
	}
	w.Handle(w.Agents[i], request.Peers{Service: Service, Peers: list})
}

// Handle gives an event to an agent at the agent's own time and executes the resulting actions.
func (w *World) Handle(a *Agent, e request.Event) {
	if a.Dead {
		return
	}
	for _, act := range a.machine.Handle(w.Now.Add(a.skew), e, nil) {
		w.execute(a, act)
	}
}

func (w *World) add(m *Message) { w.Bag = append(w.Bag, m) }

// Remove takes a message out of the bag and ends its dispatch.
func (w *World) Remove(m *Message) {
	for i, x := range w.Bag {
		if x == m {
			w.Bag = append(w.Bag[:i], w.Bag[i+1:]...)
			break
		}
	}
	delete(w.live, m)
}

// Caller sends a request to agent i.
func (w *World) Caller(i int, s *Send) (*Agent, request.ID) {
	return w.CallerThen(i, s, func(request.Action) {})
}

// CallerThen sends a request to agent i and calls then with its answer.
func (w *World) CallerThen(i int, s *Send, then func(request.Action)) (*Agent, request.ID) {
	a := w.Agents[i]
	s.settle = func(act request.Action) {
		w.answered(s, act)
		then(act)
	}
	return a, w.receive(a, s, false)
}

func (w *World) receive(a *Agent, s *Send, handed bool) request.ID {
	a.lastID++
	id := a.lastID
	a.sends[id], a.Waits[id] = s, s
	w.Handle(a, s.received(id, handed))
	return id
}

// answered checks what a caller is told.
func (w *World) answered(s *Send, act request.Action) {
	w.Ended++
	code := act.Code
	if code == result.OK {
		if act.Answer == nil || string(act.Answer.Body) != s.Tag {
			w.T.Fatalf("caller of %s got the answer %v", s.Tag, act.Answer)
		}
		return
	}
	if s.Left || code < 3000 || code >= 3100 {
		// 3101 and 3102 speak of this send only; ran counts the runs of all sends of a key.
		return
	}
	if w.Runs[s.Tag] > 0 {
		w.T.Fatalf("caller of %s was told %s, but it ran", s.Tag, code)
	}
	for _, other := range w.live {
		if other.Tag == s.Tag {
			w.T.Fatalf("caller of %s was told %s while it was dispatched", s.Tag, code)
		}
	}
}

func (w *World) execute(a *Agent, act request.Action) {
	switch act.Kind {
	case request.ActionBind:
		w.bind(a, act)
	case request.ActionRelease:
		cmd := &bindpb.Command{Kind: &bindpb.Command_Release{Release: &bindpb.ReleaseRequest{
			Service: uint32(Service), Key: act.Ref.Key, Host: string(a.Ref.Host),
			Incarnation: uint64(a.Ref.Incarnation), Attempt: act.Ref.Attempt,
		}}}
		w.command("release", a, cmd,
			func([]byte) request.Event { return request.ReleaseDone{Run: act.Run, Applied: true} },
			request.ReleaseDone{Run: act.Run})
	case request.ActionFinish:
		cmd := &bindpb.Command{Kind: &bindpb.Command_Finish{Finish: &bindpb.FinishRequest{
			Service: uint32(Service), Key: act.Ref.Key, Host: string(a.Ref.Host),
			Incarnation: uint64(a.Ref.Incarnation), Attempt: act.Ref.Attempt, Code: uint32(act.Code),
		}}}
		w.command("finish", a, cmd, func([]byte) request.Event { return request.FinishDone{Run: act.Run} }, nil)
	case request.ActionDispatch:
		w.dispatch(a, act.Run)
	case request.ActionJoin:
		w.join(a, act)
	case request.ActionHandOver:
		w.handOver(a, act)
	case request.ActionAnswer:
		s := a.Waits[act.ID]
		if s == nil {
			w.T.Fatalf("agent %s answered %d twice", a.Ref, act.ID)
			return
		}
		delete(a.Waits, act.ID)
		s.settle(act)
	}
}

// command sends a command to the log. Copies may be applied at any time; the sender gets one outcome.
func (w *World) command(what string, a *Agent, cmd *bindpb.Command, done func([]byte) request.Event, gaveUp request.Event) {
	data, _ := proto.Marshal(cmd)
	settled := false
	m := &Message{What: what, From: a, Repeats: true}
	m.Deliver = func() {
		out := w.Table.Apply(0, w.Now, data)
		if settled {
			return
		}
		settled = true
		w.add(&Message{What: what + "-answer", From: a, Deliver: func() { w.Handle(a, done(out)) }})
	}
	if gaveUp != nil {
		m.Lose = func() {
			settled = true
			w.Handle(a, gaveUp)
		}
	}
	w.add(m)
}

func (w *World) bind(a *Agent, act request.Action) {
	req := &bindpb.BindRequest{
		Service: uint32(Service), Key: act.Ref.Key, Digest: act.Digest[:], Host: string(a.Ref.Host),
		Incarnation: uint64(a.Ref.Incarnation), Attempt: act.Ref.Attempt,
	}
	if !act.Deadline.IsZero() {
		req.DeadlineUnixMs = act.Deadline.UnixMilli()
	}
	event := func(answer binding.Answer) request.Event {
		return request.BindResult{Run: act.Run, Attempt: act.Ref.Attempt, Answer: answer}
	}
	w.command("bind", a, &bindpb.Command{Kind: &bindpb.Command_Bind{Bind: req}}, func(out []byte) request.Event {
		resp := &bindpb.BindResponse{}
		_ = proto.Unmarshal(out, resp)
		return event(binding.DecodeAnswer(resp))
	}, event(binding.Answer{Outcome: binding.Unreached}))
}

// dispatch puts a request on the way to the upstream of a, which outlives a.
func (w *World) dispatch(a *Agent, run request.ID) {
	s := a.sends[run]
	m := &Message{What: "dispatch", From: a}
	end := func(r request.RunResult, ans *request.Answer) {
		w.Handle(a, request.RunEnded{Run: run, Result: r, Answer: ans})
	}
	m.Deliver = func() {
		switch w.outcome(6) {
		case 0:
			delete(w.live, m)
			end(request.RunShed, nil)
			return
		case 1:
			delete(w.live, m)
			end(request.RunNotSent, nil)
			return
		case 2:
			// The connection breaks first; the upstream may run the request later.
			if !m.Lost {
				m.Lost = true
				w.add(m)
				w.live[m] = s
			}
			end(request.RunBroken, nil)
			return
		}
		w.ran(s)
		switch {
		case m.Lost:
			return
		case w.outcome(3) == 0:
			end(request.RunTruncated, nil)
		default:
			end(request.RunAnswered, &request.Answer{Status: 200, Body: []byte(s.Tag)})
		}
	}
	w.live[m] = s
	w.add(m)
}

func (w *World) ran(s *Send) {
	w.Runs[s.Tag]++
	if s.Key == "" {
		return
	}
	w.byKey[s.Key]++
	if w.byKey[s.Key] > 1 {
		w.T.Fatalf("key %s ran %d times", s.Key, w.byKey[s.Key])
	}
}

// call sends an RPC to another agent. arrive posts the event there; the answer comes back as a message.
func (w *World) call(what string, a *Agent, to model.HostID, s *Send, arrive func(*Agent, *Send), reply func(*request.Action) request.Event) {
	settled := false
	settle := func(e request.Event) {
		if !settled {
			settled = true
			w.Handle(a, e)
		}
	}
	m := &Message{What: what, From: a, Lose: func() { settle(reply(nil)) }}
	m.Deliver = func() {
		copied := *s
		copied.settle = func(act request.Action) {
			w.add(&Message{What: what + "-answer", From: a, Deliver: func() { settle(reply(&act)) }})
		}
		for _, target := range w.Agents {
			if target.Ref.Host == to {
				arrive(target, &copied)
			}
		}
	}
	w.add(m)
}

func (w *World) join(a *Agent, act request.Action) {
	arrive := func(target *Agent, s *Send) {
		if target.Ref.Incarnation != act.Owner.Incarnation {
			s.settle(request.Action{Held: true, Code: result.RequestOutcomeUnknown})
			return
		}
		target.lastID++
		id := target.lastID
		target.Waits[id] = s
		poll := &Message{What: "join-poll", From: target}
		poll.Deliver = func() {
			if target.Waits[id] != nil {
				answer := s.settle
				s.settle = func(request.Action) {}
				answer(request.Action{Kind: request.ActionJoin})
				w.Handle(target, request.Cancelled{ID: id})
			}
		}
		w.add(poll)
		w.Handle(target, request.JoinRequested{ID: id, Service: Service, Key: act.Ref.Key, Digest: act.Digest})
	}
	w.call("join", a, act.Owner.Host, a.sends[act.Run], arrive, func(r *request.Action) request.Event {
		if r == nil {
			return request.JoinEnded{Run: act.Run}
		}
		if r.Kind == request.ActionJoin {
			return request.JoinEnded{Run: act.Run, Reached: true, Pending: true}
		}
		return request.JoinEnded{Run: act.Run, Reached: true, Held: r.Held, Code: r.Code, Answer: r.Answer}
	})
}

func (w *World) handOver(a *Agent, act request.Action) {
	arrive := func(target *Agent, s *Send) { w.receive(target, s, true) }
	w.call("hand-over", a, act.To, a.sends[act.Run], arrive, func(r *request.Action) request.Event {
		if r == nil {
			return request.HandOverEnded{Run: act.Run, Sent: true}
		}
		return request.HandOverEnded{Run: act.Run, Sent: true, Reached: true, Code: r.Code, Answer: r.Answer}
	})
}

// Crash replaces agent i by its next incarnation. Calls to it fail; its own messages may still arrive.
func (w *World) Crash(i int) {
	old := w.Agents[i]
	old.Dead = true
	ref := old.Ref
	ref.Incarnation++
	w.Agents[i] = w.newAgent(ref)
	w.Agents[i].skew = old.skew
	w.Peers(i, true)
}
