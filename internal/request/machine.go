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
// Invariants: a keyed work item is dispatched at most once per attempt, and only while the log has bound the key to that
// attempt. A work item ends with a refusal code only if no upstream can have seen it. An attempt is released only when it
// will never be dispatched.
type Machine struct {
	cfg                  Config
	now                  time.Time
	attempt              uint64 // last attempt number used
	local                LocalState
	drainOverdueReported bool // for the current drain deadline
	nextTickAt           time.Time

	works   map[ID]*workItem // work items that have not ended, by the ID of their first send
	ended   map[ID]*workItem // work items in stateFinishing or stateRetained, by the ID of their first send
	keys    map[workKey]*workItem
	waiting map[ID]*workItem // by ID of the waiter
	binding int              // number of work items in stateBinding
	running int

	services    map[model.ServiceID]*service
	ring        []*service // round robin order
	ringPos     int
	retryBudget retryBudget
	retained    retained
	counts      Counts
	out         []Action
}

// New returns a machine without requests.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:         cfg,
		works:       map[ID]*workItem{},
		ended:       map[ID]*workItem{},
		keys:        map[workKey]*workItem{},
		waiting:     map[ID]*workItem{},
		services:    map[model.ServiceID]*service{},
		retryBudget: newRetryBudget(cfg),
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
		m.cancelWaiter(e.ID)
	case BindResult:
		m.bindResult(e)
	case FinishDone:
		m.finishDone(e.Run)
	case ReleaseDone:
		m.releaseDone(e)
	case RunEnded:
		m.runEnded(e)
	case JoinRequested:
		m.joinRequested(e)
	case JoinEnded:
		m.joinEnded(e)
	case HandOverEnded:
		m.handOverEnded(e)
	case Tick:
		m.tick()
	case Peers:
		m.service(e.Service).peers = e.Peers
	case LocalState:
		m.setLocalState(e)
	case ServiceDrain:
		m.setServiceDrain(e)
	}
	m.schedule()
	out = m.out
	m.out = nil
	return out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

// scheduleTick asks for a Tick at t unless an earlier one is scheduled.
func (m *Machine) scheduleTick(t time.Time) {
	if t.IsZero() || (!m.nextTickAt.IsZero() && !t.Before(m.nextTickAt) && m.nextTickAt.After(m.now)) {
		return
	}
	m.nextTickAt = t
	m.emit(Action{Kind: ActionSetTimer, At: t})
}

func (m *Machine) received(e Received) {
	m.retryBudget.earn()
	if e.Key == "" && !e.Idempotent {
		m.emit(Action{Kind: ActionAnswer, ID: e.ID, Code: result.RequestKeyMissing})
		m.emit(Action{Kind: ActionDone, Run: e.ID})
		return
	}
	if e.Key != "" {
		if w := m.keys[workKey{e.Service, e.Key}]; w != nil && m.joinExisting(w, e) {
			m.emit(Action{Kind: ActionDone, Run: e.ID})
			return
		}
	}
	w := &workItem{Received: e, runDeadline: e.Deadline}
	if w.runDeadline.IsZero() {
		w.runDeadline = m.now.Add(m.cfg.MaxRun)
	}
	m.works[e.ID] = w
	m.addWaiter(w, waiter{id: e.ID, caller: e.Caller})
	if e.Key != "" {
		w.key = workKey{e.Service, e.Key}
		m.keys[w.key] = w
	}
	m.scheduleTick(w.runDeadline)
	if m.takesWork(e.Service, w) {
		m.bindOrAdmit(w)
		return
	}
	if e.HandedOver {
		// The agent with the caller's connection tries another agent; nothing was bound, so there is nothing to release.
		m.refuse(w, m.declineCode(e.Service))
		return
	}
	if !m.handOver(w) {
		m.bindOrAdmit(w)
	}
}

func (m *Machine) declineCode(id model.ServiceID) result.Code {
	if m.draining(id) {
		return result.RequestDraining
	}
	return result.RequestNoUpstream
}

// joinExisting adds a send to the work item of the same key. It returns false if the send needs a new work item.
func (m *Machine) joinExisting(w *workItem, e Received) bool {
	if w.state == stateReleasing && !w.handOverAfterRelease {
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
	m.addWaiter(w, waiter{id: e.ID, caller: e.Caller})
	return true
}

// endCode returns the code that a retry receives for a work item that ended.
func (w *workItem) endCode() result.Code {
	if w.code == result.OK && w.answer == nil {
		return result.RequestAnswerNotRetained
	}
	return w.code
}

func (m *Machine) addWaiter(w *workItem, x waiter) {
	w.waiters = append(w.waiters, x)
	m.waiting[x.id] = w
}

// bindOrAdmit binds the key of a keyed work item and admits an unkeyed one.
func (m *Machine) bindOrAdmit(w *workItem) {
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

func (m *Machine) bind(w *workItem) {
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
		At:       m.now.Add(m.cfg.BindTimeout),
	})
}

func (m *Machine) setState(w *workItem, s state) {
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
		// The bind may have been applied or may still be in transit. The release frees the key; a bind that arrives
		// after the release is freed when a retry asks for the key (see joinRequested).
		w.bound = true
		m.refuse(w, result.RequestKeyUnchecked)
	case binding.Owned, binding.Finished:
		m.joinOwner(w, a)
	default:
		code := a.Code
		if code == result.OK {
			code = result.RequestOutcomeUnknown
		}
		m.refuse(w, code)
	}
}

// answerAll answers every waiter. A refusal becomes "outcome unknown" if an upstream may have seen an earlier send of the
// work item.
func (m *Machine) answerAll(w *workItem, code result.Code, a *Answer, streamedTo ID) {
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

// refuse ends a work item that is not running with a code and frees its key.
func (m *Machine) refuse(w *workItem, code result.Code) {
	m.answerAll(w, code, nil, 0)
	w.handOverAfterRelease = false
	if !w.bound {
		m.drop(w)
		return
	}
	m.release(w)
}

func (m *Machine) release(w *workItem) {
	m.setState(w, stateReleasing)
	m.emit(Action{Kind: ActionRelease, Run: w.ID, Ref: w.ref(m.cfg.Self)})
}

func (m *Machine) releaseDone(e ReleaseDone) {
	w := m.works[e.Run]
	if w == nil || w.state != stateReleasing {
		return
	}
	if !w.handOverAfterRelease {
		m.drop(w)
		return
	}
	w.handOverAfterRelease = false
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
	m.bindOrAdmit(w)
}

// drop removes a work item and frees its data.
func (m *Machine) drop(w *workItem) {
	m.endProbe(w)
	m.setState(w, 0)
	delete(m.works, w.ID)
	delete(m.ended, w.ID)
	if w.keyed() && m.keys[w.key] == w {
		delete(m.keys, w.key)
	}
	m.emit(Action{Kind: ActionDone, Run: w.ID})
}

// cancelWaiter ends the wait of a caller or a joining agent that disconnected.
func (m *Machine) cancelWaiter(id ID) {
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
		m.lastWaiterLeft(w)
	}
}

// lastWaiterLeft ends a work item without waiters, or limits how long its run goes on.
func (m *Machine) lastWaiterLeft(w *workItem) {
	switch w.state {
	case stateQueued:
		m.removeQueued(w)
		m.refuse(w, result.RequestCancelled)
	case stateBackoff:
		m.drop(w)
	case stateJoining, stateHandingOver:
		m.emit(Action{Kind: ActionCancel, Run: w.ID})
		m.drop(w)
	case stateRunning:
		if !w.keyed() {
			m.cancelRun(w)
			return
		}
		// A caller that lost its connection retries with the key and finds the run.
		w.cancelAt = m.now.Add(m.cfg.CancelGrace)
		m.scheduleTick(w.cancelAt)
	}
}

// cancelRun cancels a run. Its slot stays taken until the dispatch has ended.
func (m *Machine) cancelRun(w *workItem) {
	if w.runCancelled {
		return
	}
	w.runCancelled = true
	m.emit(Action{Kind: ActionCancel, Run: w.ID})
}

// tick applies deadlines and retry times and schedules the next tick.
func (m *Machine) tick() {
	var next time.Time
	for _, w := range m.sortedWorks() {
		m.tickWork(w)
		if t := m.nextTime(w); !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	m.tickDrain()
	if m.local.Draining && !m.drainOverdueReported && !m.local.DrainDeadline.IsZero() {
		if next.IsZero() || m.local.DrainDeadline.Before(next) {
			next = m.local.DrainDeadline
		}
	}
	m.nextTickAt = time.Time{}
	m.scheduleTick(next)
}

// nextTime returns when a work item next needs a tick, or the zero time.
func (m *Machine) nextTime(w *workItem) time.Time {
	switch w.state {
	case stateBinding, stateReleasing, 0:
		// BindResult and ReleaseDone end these states. A bind in progress at the deadline is answered by its outcome,
		// which says whether the key was run.
		return time.Time{}
	case stateBackoff:
		if w.retryAt.Before(w.runDeadline) {
			return w.retryAt
		}
	case stateRunning:
		if w.runCancelled {
			return time.Time{}
		}
		if !w.cancelAt.IsZero() && w.cancelAt.Before(w.runDeadline) {
			return w.cancelAt
		}
	}
	return w.runDeadline
}

func (m *Machine) tickWork(w *workItem) {
	expired := w.expired(m.now)
	switch w.state {
	case stateBackoff:
		if expired {
			m.refuse(w, result.RequestOutcomeUnknown)
		} else if !m.now.Before(w.retryAt) {
			m.bind(w)
		}
	case stateQueued:
		if expired {
			m.removeQueued(w)
			m.refuse(w, result.RequestDeadlinePassed)
		}
	case stateRunning:
		if expired && !w.runCancelled {
			w.deadlineExceeded = true
			m.answerAll(w, result.RequestOutcomeUnknown, nil, 0)
			m.cancelRun(w)
		} else if !w.cancelAt.IsZero() && !m.now.Before(w.cancelAt) {
			m.cancelRun(w)
		}
	case stateJoining, stateHandingOver:
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
			if !x.isJoin {
				out = append(out, x.caller)
			}
		}
	}
	sortCallers(out)
	return out
}
