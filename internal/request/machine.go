package request

import (
	"net/netip"
	"time"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Machine is the request state machine of one agent. It is not safe for concurrent use.
//
// Invariants: a keyed work is dispatched at most once per attempt, and only while the log has bound the key to that
// attempt. A work ends with a refusal code only if no upstream can have seen it. An attempt is released only when it
// will never be dispatched.
type Machine struct {
	cfg     Config
	now     time.Time
	attempt uint64 // last attempt number used
	local   Local
	overdue bool // the drain deadline was reported
	armed   time.Time

	works   map[ID]*work // those that have not ended, by the ID of the send that began them
	ended   map[ID]*work // finishing and retained
	keys    map[workKey]*work
	waiting map[ID]*work // by waiter
	binding int          // works in stateBinding
	running int

	services map[model.ServiceID]*service
	ring     []*service // round robin order
	ringPos  int
	budget   budget
	retained retained
	counts   Counts
	out      []Action
}

// New returns a machine without work.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:      cfg,
		works:    map[ID]*work{},
		ended:    map[ID]*work{},
		keys:     map[workKey]*work{},
		waiting:  map[ID]*work{},
		services: map[model.ServiceID]*service{},
		budget:   newBudget(cfg),
	}
}

// Handle applies an event. Actions are appended to out and must be executed in order.
func (m *Machine) Handle(now time.Time, e Event, out []Action) []Action {
	if now.After(m.now) {
		m.now = now
	}
	m.out = out
	switch e := e.(type) {
	case Received:
		m.received(e)
	case Cancelled:
		m.cancelled(e.ID)
	case BindResult:
		m.bindResult(e)
	case FinishDone:
		m.finishDone(e.Run)
	case ReleaseDone:
		m.releaseDone(e)
	case RunEnded:
		m.runEnded(e)
	case JoinAsked:
		m.joinAsked(e)
	case JoinEnded:
		m.joinEnded(e)
	case HandOverEnded:
		m.handOverEnded(e)
	case Tick:
		m.tick()
	case Peers:
		m.service(e.Service).peers = e.Peers
	case Local:
		m.setLocal(e)
	case ServiceDrain:
		m.setServiceDrain(e)
	}
	m.schedule()
	out = m.out
	m.out = nil
	return out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

// arm asks for a Tick at t unless an earlier one is due.
func (m *Machine) arm(t time.Time) {
	if t.IsZero() || (!m.armed.IsZero() && !t.Before(m.armed) && m.armed.After(m.now)) {
		return
	}
	m.armed = t
	m.emit(Action{Kind: ActionArm, At: t})
}

func (m *Machine) received(e Received) {
	m.budget.earn()
	if e.Key == "" && !e.Idempotent {
		m.emit(Action{Kind: ActionAnswer, ID: e.ID, Code: result.RequestKeyMissing})
		m.emit(Action{Kind: ActionDone, Run: e.ID})
		return
	}
	if e.Key != "" {
		if w := m.keys[workKey{e.Service, e.Key}]; w != nil && m.attach(w, e) {
			m.emit(Action{Kind: ActionDone, Run: e.ID})
			return
		}
	}
	w := &work{Received: e, limitAt: e.Deadline}
	if w.limitAt.IsZero() {
		w.limitAt = m.now.Add(m.cfg.MaxRun)
	}
	m.works[e.ID] = w
	m.wait(w, waiter{id: e.ID, caller: e.Caller})
	if e.Key != "" {
		w.key = workKey{e.Service, e.Key}
		m.keys[w.key] = w
	}
	m.arm(w.limitAt)
	if m.takesWork(e.Service, w) {
		m.begin(w)
		return
	}
	if e.HandedOver {
		// The agent that holds the caller tries elsewhere; nothing was bound, so there is nothing to release.
		m.refuse(w, m.declineCode(e.Service))
		return
	}
	if !m.handOver(w) {
		m.begin(w)
	}
}

func (m *Machine) declineCode(id model.ServiceID) result.Code {
	if m.draining(id) {
		return result.RequestDraining
	}
	return result.RequestNoUpstream
}

// attach adds a send to the work of the same key. It returns false if a new work has to begin.
func (m *Machine) attach(w *work, e Received) bool {
	if w.state == stateReleasing && !w.handNext {
		// The earlier send was refused. A new attempt supersedes the release.
		return false
	}
	if w.Digest != e.Digest {
		m.emit(Action{Kind: ActionAnswer, ID: e.ID, Code: result.RequestKeyMismatch})
		return true
	}
	if w.state == stateFinishing || w.state == stateRetained {
		m.emit(Action{Kind: ActionAnswer, ID: e.ID, Code: w.endCode(), Answer: w.answer})
		return true
	}
	w.cancelAt = time.Time{}
	m.counts.Joined++
	m.wait(w, waiter{id: e.ID, caller: e.Caller})
	return true
}

// endCode is what a retry learns about a work that ended.
func (w *work) endCode() result.Code {
	if w.code == result.OK && w.answer == nil {
		return result.RequestAnswerNotRetained
	}
	return w.code
}

func (m *Machine) wait(w *work, x waiter) {
	w.waiters = append(w.waiters, x)
	m.waiting[x.id] = w
}

// begin binds a keyed work and admits others.
func (m *Machine) begin(w *work) {
	if !w.keyed() {
		m.admit(w)
		return
	}
	if m.binding >= m.cfg.MaxBinding {
		m.refuse(w, result.RequestKeyUnchecked)
		return
	}
	m.bind(w)
}

func (m *Machine) bind(w *work) {
	m.attempt++
	w.attempt = m.attempt
	w.bound = false
	m.setState(w, stateBinding)
	m.emit(Action{
		Kind:     ActionBind,
		Run:      w.ID,
		Ref:      w.ref(m.cfg.Self),
		Digest:   w.Digest,
		Deadline: w.Deadline,
		At:       m.now.Add(m.cfg.BindPatience),
	})
}

func (m *Machine) setState(w *work, s state) {
	if w.state == stateBinding {
		m.binding--
	}
	if s == stateBinding {
		m.binding++
	}
	w.state = s
}

func (m *Machine) bindResult(e BindResult) {
	w := m.works[e.Run]
	if w == nil || w.state != stateBinding || w.attempt != e.Attempt {
		return
	}
	a := e.Answer
	switch a.Outcome {
	case binding.Bound:
		w.bound = true
		if len(w.waiters) == 0 {
			m.refuse(w, result.RequestCancelled)
			return
		}
		m.admit(w)
	case binding.Unreached:
		// The bind may have been applied or may still be on its way. The release frees it; a bind that arrives
		// after the release is freed when a retry asks for it (see joinAsked).
		w.bound = true
		m.refuse(w, result.RequestKeyUnchecked)
	case binding.Owned, binding.Finished:
		m.ownedElsewhere(w, a)
	default:
		code := a.Code
		if code == result.OK {
			code = result.RequestOutcomeUnknown
		}
		m.refuse(w, code)
	}
}

// answerAll ends every wait. A refusal becomes "unknown" if an upstream may have seen an earlier send of the work.
func (m *Machine) answerAll(w *work, code result.Code, a *Answer, streamedTo ID) {
	if w.maybeRan && code > 3000 && code < 3200 {
		code = result.RequestOutcomeUnknown
	}
	for _, x := range w.waiters {
		delete(m.waiting, x.id)
		c := code
		if c == result.OK && a == nil && x.id != streamedTo {
			c = result.RequestAnswerNotRetained
		}
		m.emit(Action{Kind: ActionAnswer, ID: x.id, Code: c, Answer: a, Held: true})
	}
	w.waiters = nil
}

// refuse ends a work that is not running with a code and frees its key.
func (m *Machine) refuse(w *work, code result.Code) {
	m.answerAll(w, code, nil, 0)
	w.handNext = false
	if !w.bound {
		m.drop(w)
		return
	}
	m.release(w)
}

func (m *Machine) release(w *work) {
	m.setState(w, stateReleasing)
	m.emit(Action{Kind: ActionRelease, Run: w.ID, Ref: w.ref(m.cfg.Self)})
}

func (m *Machine) releaseDone(e ReleaseDone) {
	w := m.works[e.Run]
	if w == nil || w.state != stateReleasing {
		return
	}
	if !w.handNext {
		m.drop(w)
		return
	}
	w.handNext = false
	if len(w.waiters) == 0 {
		m.drop(w)
		return
	}
	if e.Applied && !w.expired(m.now) {
		w.bound = false
		if m.handOver(w) {
			return
		}
	}
	// The key may have been bound and run elsewhere since the release, so a refusal needs a new bind.
	m.begin(w)
}

// drop forgets a work.
func (m *Machine) drop(w *work) {
	m.endProbe(w)
	m.setState(w, 0)
	delete(m.works, w.ID)
	delete(m.ended, w.ID)
	if w.keyed() && m.keys[w.key] == w {
		delete(m.keys, w.key)
	}
	m.emit(Action{Kind: ActionDone, Run: w.ID})
}

// cancelled handles a waiter that is gone.
func (m *Machine) cancelled(id ID) {
	w := m.waiting[id]
	if w == nil {
		return
	}
	delete(m.waiting, id)
	w.removeWaiter(id)
	code := result.RequestOutcomeUnknown
	if (w.state == stateQueued || w.state == stateBinding || w.state == stateReleasing) && !w.maybeRan {
		code = result.RequestCancelled
	}
	m.emit(Action{Kind: ActionAnswer, ID: id, Code: code})
	if len(w.waiters) == 0 {
		m.abandoned(w)
	}
}

// abandoned handles a work whose last waiter left.
func (m *Machine) abandoned(w *work) {
	switch w.state {
	case stateQueued:
		m.unqueue(w)
		m.refuse(w, result.RequestCancelled)
	case statePausing:
		m.drop(w)
	case stateJoining, stateHanding:
		m.emit(Action{Kind: ActionCancel, Run: w.ID})
		m.drop(w)
	case stateRunning:
		if !w.keyed() {
			m.stop(w)
			return
		}
		// A caller that lost its connection retries with the key and finds the run.
		w.cancelAt = m.now.Add(m.cfg.CancelGrace)
		m.arm(w.cancelAt)
	}
}

// stop cancels a run. Its slot stays taken until the dispatch has ended.
func (m *Machine) stop(w *work) {
	if w.stopped {
		return
	}
	w.stopped = true
	m.emit(Action{Kind: ActionCancel, Run: w.ID})
}

// tick applies deadlines and pauses and arms the next tick.
func (m *Machine) tick() {
	var next time.Time
	for _, w := range m.sortedWorks() {
		m.tickWork(w)
		if t := m.nextTime(w); !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	m.tickDrain()
	if m.local.Draining && !m.overdue && !m.local.DrainDeadline.IsZero() {
		if next.IsZero() || m.local.DrainDeadline.Before(next) {
			next = m.local.DrainDeadline
		}
	}
	m.armed = time.Time{}
	m.arm(next)
}

// nextTime returns when a work next needs a tick.
func (m *Machine) nextTime(w *work) time.Time {
	switch w.state {
	case stateBinding, stateReleasing, 0:
		// Both end by their own results. A bind that is still open at the deadline is answered by its outcome, which
		// tells whether the key was run.
		return time.Time{}
	case statePausing:
		if w.retryAt.Before(w.limitAt) {
			return w.retryAt
		}
	case stateRunning:
		if w.stopped {
			return time.Time{}
		}
		if !w.cancelAt.IsZero() && w.cancelAt.Before(w.limitAt) {
			return w.cancelAt
		}
	}
	return w.limitAt
}

func (m *Machine) tickWork(w *work) {
	expired := w.expired(m.now)
	switch w.state {
	case statePausing:
		if expired {
			m.refuse(w, result.RequestOutcomeUnknown)
		} else if !m.now.Before(w.retryAt) {
			m.bind(w)
		}
	case stateQueued:
		if expired {
			m.unqueue(w)
			m.refuse(w, result.RequestDeadlinePassed)
		}
	case stateRunning:
		if expired && !w.stopped {
			w.late = true
			m.answerAll(w, result.RequestOutcomeUnknown, nil, 0)
			m.stop(w)
		} else if !w.cancelAt.IsZero() && !m.now.Before(w.cancelAt) {
			m.stop(w)
		}
	case stateJoining, stateHanding:
		if expired {
			m.answerAll(w, result.RequestOutcomeUnknown, nil, 0)
			m.emit(Action{Kind: ActionCancel, Run: w.ID})
			m.drop(w)
		}
	}
}

// Remaining lists the callers whose requests have not ended, in ascending order.
func (m *Machine) Remaining() []netip.AddrPort {
	var out []netip.AddrPort
	for _, w := range m.works {
		for _, x := range w.waiters {
			if !x.remote {
				out = append(out, x.caller)
			}
		}
	}
	sortCallers(out)
	return out
}
