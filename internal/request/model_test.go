package request_test

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

const service model.ServiceID = 7

// send is one request as a caller sent it.
type send struct {
	tag        string // names the work: equal for sends that must run at most once together
	key        string
	body       string
	deadline   time.Time
	idempotent bool
	left       bool // the caller cancelled
	settle     func(request.Action)
}

func (s *send) received(id request.ID, handed bool) request.Received {
	digest := binding.Digest(binding.HashKey(0, s.body+s.deadline.String()))
	return request.Received{
		ID: id, Service: service, Caller: netip.MustParseAddrPort("10.0.0.1:1"),
		Key: s.key, Digest: digest, Deadline: s.deadline, Idempotent: s.idempotent, HandedOver: handed,
	}
}

// agent is one incarnation of a gate's machine.
type agent struct {
	ref     model.HostRef
	machine *request.Machine
	skew    time.Duration
	dead    bool
	lastID  request.ID
	sends   map[request.ID]*send
	waits   map[request.ID]*send // settle receives the answer
}

// message is something under way. Delivering it is one step of a schedule; a step may also lose or repeat it.
type message struct {
	what    string
	from    *agent
	deliver func() // arrives; the sender learns the outcome unless it was given up before
	lose    func() // the sender gives up; the message may still arrive; nil if that is not possible
	lost    bool
	repeats bool // the sender resends it; an RPC between agents arrives at most once, as its connection ensures
}

// world is a few agents, one binding table, and what is under way. It checks the invariants at each step.
type world struct {
	now     time.Time
	table   *binding.Table
	agents  []*agent
	bag     []*message
	runs    map[string]int // by tag
	byKey   map[string]int
	live    map[*message]*send // dispatches that may still run
	outcome func(n int) int    // chooses among n outcomes of a dispatch
	fail    func(format string, args ...any)
	ended   int // answers seen by callers
}

func newWorld(agents int, outcome func(int) int, fail func(string, ...any)) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), table: binding.NewTable(0), runs: map[string]int{}, byKey: map[string]int{},
		live: map[*message]*send{}, outcome: outcome, fail: fail,
	}
	for i := range agents {
		w.agents = append(w.agents, w.newAgent(model.HostRef{Host: model.HostID(fmt.Sprint("h", i)), Incarnation: 1}))
		w.agents[i].skew = time.Duration(i-1) * 3 * time.Second
	}
	for i := range agents {
		w.peers(i, true)
	}
	return w
}

func (w *world) newAgent(ref model.HostRef) *agent {
	cfg := request.DefaultConfig(ref)
	cfg.QueueLimit, cfg.RetainCount, cfg.Slots = 2, 2, 2
	return &agent{
		ref: ref, machine: request.New(cfg), sends: map[request.ID]*send{}, waits: map[request.ID]*send{},
	}
}

// peers tells agent i whether the others take work.
func (w *world) peers(i int, takes bool) {
	var list []request.Peer
	for j, a := range w.agents {
		if j != i {
			list = append(list, request.Peer{Host: a.ref.Host, TakesWork: takes})
		}
	}
	w.handle(w.agents[i], request.Peers{Service: service, Peers: list})
}

func (w *world) handle(a *agent, e request.Event) {
	if a.dead {
		return
	}
	for _, act := range a.machine.Handle(w.now.Add(a.skew), e, nil) {
		w.execute(a, act)
	}
}

func (w *world) add(m *message) { w.bag = append(w.bag, m) }

func (w *world) remove(m *message) {
	for i, x := range w.bag {
		if x == m {
			w.bag = append(w.bag[:i], w.bag[i+1:]...)
			break
		}
	}
	delete(w.live, m)
}

// caller sends a request to agent i.
func (w *world) caller(i int, s *send) (*agent, request.ID) {
	return w.callerThen(i, s, func(request.Action) {})
}

func (w *world) callerThen(i int, s *send, then func(request.Action)) (*agent, request.ID) {
	a := w.agents[i]
	s.settle = func(act request.Action) {
		w.answered(s, act)
		then(act)
	}
	return a, w.receive(a, s, false)
}

func (w *world) receive(a *agent, s *send, handed bool) request.ID {
	a.lastID++
	id := a.lastID
	a.sends[id], a.waits[id] = s, s
	w.handle(a, s.received(id, handed))
	return id
}

// answered checks what a caller is told.
func (w *world) answered(s *send, act request.Action) {
	w.ended++
	code := act.Code
	if code == result.OK {
		if act.Answer == nil || string(act.Answer.Body) != s.tag {
			w.fail("caller of %s got the answer %v", s.tag, act.Answer)
		}
		return
	}
	if s.left || code < 3000 || code >= 3100 {
		// 3101 and 3102 speak of this send only; ran counts the runs of all sends of a key.
		return
	}
	if w.runs[s.tag] > 0 {
		w.fail("caller of %s was told %s, but it ran", s.tag, code)
	}
	for _, other := range w.live {
		if other.tag == s.tag {
			w.fail("caller of %s was told %s while it was dispatched", s.tag, code)
		}
	}
}

func (w *world) execute(a *agent, act request.Action) {
	switch act.Kind {
	case request.ActionBind:
		w.bind(a, act)
	case request.ActionRelease:
		cmd := &bindpb.Command{Kind: &bindpb.Command_Release{Release: &bindpb.ReleaseRequest{
			Service: uint32(service), Key: act.Ref.Key, Host: string(a.ref.Host),
			Incarnation: uint64(a.ref.Incarnation), Attempt: act.Ref.Attempt,
		}}}
		w.command("release", a, cmd,
			func([]byte) request.Event { return request.ReleaseDone{Run: act.Run, Applied: true} },
			request.ReleaseDone{Run: act.Run})
	case request.ActionFinish:
		cmd := &bindpb.Command{Kind: &bindpb.Command_Finish{Finish: &bindpb.FinishRequest{
			Service: uint32(service), Key: act.Ref.Key, Host: string(a.ref.Host),
			Incarnation: uint64(a.ref.Incarnation), Attempt: act.Ref.Attempt, Code: uint32(act.Code),
		}}}
		w.command("finish", a, cmd, func([]byte) request.Event { return request.FinishDone{Run: act.Run} }, nil)
	case request.ActionDispatch:
		w.dispatch(a, act.Run)
	case request.ActionJoin:
		w.join(a, act)
	case request.ActionHandOver:
		w.handOver(a, act)
	case request.ActionAnswer:
		s := a.waits[act.ID]
		if s == nil {
			w.fail("agent %s answered %d twice", a.ref, act.ID)
			return
		}
		delete(a.waits, act.ID)
		s.settle(act)
	}
}

// command sends a command to the log. Copies may be applied at any time; the sender gets one outcome.
func (w *world) command(what string, a *agent, cmd *bindpb.Command, done func([]byte) request.Event, gaveUp request.Event) {
	data, _ := proto.Marshal(cmd)
	settled := false
	m := &message{what: what, from: a, repeats: true}
	m.deliver = func() {
		out := w.table.Apply(0, w.now, data)
		if settled {
			return
		}
		settled = true
		w.add(&message{what: what + "-answer", from: a, deliver: func() { w.handle(a, done(out)) }})
	}
	if gaveUp != nil {
		m.lose = func() {
			settled = true
			w.handle(a, gaveUp)
		}
	}
	w.add(m)
}

func (w *world) bind(a *agent, act request.Action) {
	req := &bindpb.BindRequest{
		Service: uint32(service), Key: act.Ref.Key, Digest: act.Digest[:], Host: string(a.ref.Host),
		Incarnation: uint64(a.ref.Incarnation), Attempt: act.Ref.Attempt,
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
func (w *world) dispatch(a *agent, run request.ID) {
	s := a.sends[run]
	m := &message{what: "dispatch", from: a}
	end := func(r request.RunResult, ans *request.Answer) {
		w.handle(a, request.RunEnded{Run: run, Result: r, Answer: ans})
	}
	m.deliver = func() {
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
			if !m.lost {
				m.lost = true
				w.add(m)
				w.live[m] = s
			}
			end(request.RunBroken, nil)
			return
		}
		w.ran(s)
		switch {
		case m.lost:
			return
		case w.outcome(3) == 0:
			end(request.RunTruncated, nil)
		default:
			end(request.RunAnswered, &request.Answer{Status: 200, Body: []byte(s.tag)})
		}
	}
	w.live[m] = s
	w.add(m)
}

func (w *world) ran(s *send) {
	w.runs[s.tag]++
	if s.key == "" {
		return
	}
	w.byKey[s.key]++
	if w.byKey[s.key] > 1 {
		w.fail("key %s ran %d times", s.key, w.byKey[s.key])
	}
}

// call sends an RPC to another agent. arrive posts the event there; the answer comes back as a message.
func (w *world) call(what string, a *agent, to model.HostID, s *send, arrive func(*agent, *send), reply func(*request.Action) request.Event) {
	settled := false
	settle := func(e request.Event) {
		if !settled {
			settled = true
			w.handle(a, e)
		}
	}
	m := &message{what: what, from: a, lose: func() { settle(reply(nil)) }}
	m.deliver = func() {
		copied := *s
		copied.settle = func(act request.Action) {
			w.add(&message{what: what + "-answer", from: a, deliver: func() { settle(reply(&act)) }})
		}
		for _, target := range w.agents {
			if target.ref.Host == to {
				arrive(target, &copied)
			}
		}
	}
	w.add(m)
}

func (w *world) join(a *agent, act request.Action) {
	arrive := func(target *agent, s *send) {
		if target.ref.Incarnation != act.Owner.Incarnation {
			s.settle(request.Action{Held: true, Code: result.RequestOutcomeUnknown})
			return
		}
		target.lastID++
		id := target.lastID
		target.waits[id] = s
		poll := &message{what: "join-poll", from: target}
		poll.deliver = func() {
			if target.waits[id] != nil {
				answer := s.settle
				s.settle = func(request.Action) {}
				answer(request.Action{Kind: request.ActionJoin})
				w.handle(target, request.Cancelled{ID: id})
			}
		}
		w.add(poll)
		w.handle(target, request.JoinAsked{ID: id, Service: service, Key: act.Ref.Key, Digest: act.Digest})
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

func (w *world) handOver(a *agent, act request.Action) {
	arrive := func(target *agent, s *send) { w.receive(target, s, true) }
	w.call("hand-over", a, act.To, a.sends[act.Run], arrive, func(r *request.Action) request.Event {
		if r == nil {
			return request.HandOverEnded{Run: act.Run, Sent: true}
		}
		return request.HandOverEnded{Run: act.Run, Sent: true, Reached: true, Code: r.Code, Answer: r.Answer}
	})
}

// crash replaces agent i by its next incarnation. Calls to it fail; its own messages may still arrive.
func (w *world) crash(i int) {
	old := w.agents[i]
	old.dead = true
	ref := old.ref
	ref.Incarnation++
	w.agents[i] = w.newAgent(ref)
	w.agents[i].skew = old.skew
	w.peers(i, true)
}
