package request

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// retainShare keeps one long answer from displacing all others: it may take this part of the retained bytes.
const retainShare = 8

// dispatch sends a queued work to the local upstream.
func (m *Machine) dispatch(w *work) {
	m.setState(w, stateRunning)
	w.started = m.now
	w.stopped, w.late = false, false
	m.running++
	m.counts.Dispatched++
	m.service(w.Service).running++
	m.emit(Action{Kind: ActionDispatch, Run: w.ID, Deadline: w.limitAt})
}

func (m *Machine) runEnded(e RunEnded) {
	w := m.works[e.Run]
	if w == nil || w.state != stateRunning {
		return
	}
	m.running--
	s := m.service(w.Service)
	s.running--
	s.judge(m, w, e.Result)
	switch e.Result {
	case RunAnswered:
		m.finish(w, result.OK, e.Answer, e.StreamedTo)
	case RunShed:
		m.notRun(w, result.RequestShed)
	case RunNotSent:
		m.notRun(w, result.RequestUpstreamRefused)
	case RunTruncated:
		m.broken(w, result.RequestAnswerTruncated, e.StreamedTo)
	default:
		m.broken(w, result.RequestOutcomeUnknown, e.StreamedTo)
	}
}

// notRun handles a dispatch that the upstream certainly did not run: the work may be sent elsewhere.
func (m *Machine) notRun(w *work, code result.Code) {
	w.cancelAt = time.Time{}
	if len(w.waiters) == 0 || w.stopped {
		m.refuse(w, code)
		return
	}
	if w.expired(m.now) {
		m.refuse(w, result.RequestDeadlinePassed)
		return
	}
	if !m.canHandOver(w) {
		m.refuse(w, code)
		return
	}
	if !m.spend() {
		m.refuse(w, result.RequestRetryBudgetSpent)
		return
	}
	if w.bound {
		// The other agent can bind the key only after it is free here.
		m.releaseAndHandOver(w)
		return
	}
	m.handOver(w)
}

// releaseAndHandOver frees the key and then offers the work to another agent.
func (m *Machine) releaseAndHandOver(w *work) {
	w.handNext = true
	m.release(w)
}

// broken handles a dispatch whose outcome is not known. Only an idempotent work without a key is sent again, and only if
// no byte of an answer has reached its caller.
func (m *Machine) broken(w *work, code result.Code, streamedTo ID) {
	w.maybeRan = true
	again := w.Idempotent && !w.keyed() && !w.stopped && streamedTo == 0 && len(w.waiters) > 0 && !w.expired(m.now)
	if !again || !m.spend() {
		m.finish(w, code, nil, 0)
		return
	}
	if m.handOver(w) {
		return
	}
	if len(w.tried) > 0 {
		m.finish(w, code, nil, 0)
		return
	}
	// Counts as a try, so that a work without other agents runs at most twice.
	w.tried = append(w.tried, m.cfg.Self.Host)
	m.admit(w)
}

// finish ends a work that ran, or may have run.
func (m *Machine) finish(w *work, code result.Code, a *Answer, streamedTo ID) {
	m.answerAll(w, code, a, streamedTo)
	if !w.keyed() {
		m.drop(w)
		return
	}
	w.code, w.answer = code, a
	if a != nil && a.size() > m.cfg.RetainBytes/retainShare {
		w.answer = nil
	}
	m.setState(w, stateFinishing)
	delete(m.works, w.ID)
	m.ended[w.ID] = w
	m.emit(Action{Kind: ActionFinish, Run: w.ID, Ref: w.ref(m.cfg.Self), Code: code})
	m.emit(Action{Kind: ActionDone, Run: w.ID})
	m.retained.add(m, w)
}

// finishDone makes a recorded work evictable.
func (m *Machine) finishDone(run ID) {
	w := m.ended[run]
	if w == nil || w.state != stateFinishing {
		return
	}
	m.setState(w, stateRetained)
	m.retained.evict(m)
}

// setLocal applies the state of the host. A host that begins to drain hands its queue over.
func (m *Machine) setLocal(l Local) {
	began := l.Draining && !m.local.Draining
	if m.local.Cold && !l.Cold {
		for _, s := range m.ring {
			s.limit = 1
		}
	}
	if l.DrainDeadline != m.local.DrainDeadline || !l.Draining {
		m.overdue = false
	}
	m.local = l
	if l.Draining {
		m.arm(l.DrainDeadline)
	}
	if !began {
		return
	}
	m.handQueuesOver()
}

// setServiceDrain notes that the host leaves one service or carries it again.
func (m *Machine) setServiceDrain(e ServiceDrain) {
	m.service(e.Service).draining = e.Draining
	if e.Draining {
		m.handQueuesOver()
	}
}

// draining tells whether the host takes no new work of a service.
func (m *Machine) draining(id model.ServiceID) bool {
	return m.local.Draining || m.service(id).draining
}

// handQueuesOver hands the queued work of the services that drain to other agents.
func (m *Machine) handQueuesOver() {
	for _, w := range m.sortedWorks() {
		if w.state != stateQueued || !m.draining(w.Service) || !m.canHandOver(w) {
			continue
		}
		m.unqueue(w)
		if w.bound {
			m.releaseAndHandOver(w)
			continue
		}
		m.handOver(w)
	}
}

// tickDrain lists the remaining callers once when the drain deadline passes. It ends none of them.
func (m *Machine) tickDrain() {
	d := m.local.DrainDeadline
	if !m.local.Draining || m.overdue || d.IsZero() || m.now.Before(d) {
		return
	}
	m.overdue = true
	if callers := m.Remaining(); len(callers) > 0 {
		m.emit(Action{Kind: ActionDrainOverdue, Callers: callers})
	}
}

// sortedWorks returns the works that have not ended in the order of their arrival, so that the output does not depend
// on map order.
func (m *Machine) sortedWorks() []*work {
	out := make([]*work, 0, len(m.works))
	for _, w := range m.works {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *work) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func sortCallers(c []netip.AddrPort) {
	slices.SortFunc(c, func(a, b netip.AddrPort) int { return a.Compare(b) })
}
