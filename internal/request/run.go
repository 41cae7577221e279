package request

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// maxAnswerShare is the divisor that limits one answer to 1/8 of the retained bytes, so that a long answer cannot
// displace all others.
const maxAnswerShare = 8

// dispatch sends a queued work item to the local upstream.
func (m *Machine) dispatch(w *workItem) {
	m.setState(w, stateRunning)
	w.startedAt = m.now
	w.runCancelled, w.deadlineExceeded = false, false
	m.running++
	m.counts.Dispatched++
	m.service(w.Service).running++
	m.emit(Action{Kind: ActionDispatch, Run: w.ID, Deadline: w.runDeadline})
}

func (m *Machine) runEnded(e RunEnded) {
	w := m.works[e.Run]
	if w == nil || w.state != stateRunning {
		return
	}
	m.running--
	s := m.service(w.Service)
	s.running--
	s.recordResult(m, w, e.Result)
	switch e.Result {
	case RunAnswered:
		m.finish(w, result.OK, e.Answer, e.StreamedTo)
	case RunShed:
		m.handleNotRun(w, result.RequestShed)
	case RunNotSent:
		m.handleNotRun(w, result.RequestUpstreamRefused)
	case RunTruncated:
		m.handleUnknownOutcome(w, result.RequestAnswerTruncated, e.StreamedTo)
	default:
		m.handleUnknownOutcome(w, result.RequestOutcomeUnknown, e.StreamedTo)
	}
}

// handleNotRun handles a dispatch that the upstream certainly did not run: another agent may run the work item.
func (m *Machine) handleNotRun(w *workItem, code result.Code) {
	w.cancelAt = time.Time{}
	if len(w.waiters) == 0 || w.runCancelled {
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
	if !m.spendRetry() {
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

// releaseAndHandOver frees the key and then offers the work item to another agent.
func (m *Machine) releaseAndHandOver(w *workItem) {
	w.handOverAfterRelease = true
	m.release(w)
}

// handleUnknownOutcome handles a dispatch whose outcome is not known. Only an idempotent work item without a key is sent
// again, and only if no byte of an answer has reached its caller.
func (m *Machine) handleUnknownOutcome(w *workItem, code result.Code, streamedTo ID) {
	w.maybeRan = true
	again := w.Idempotent && !w.keyed() && !w.runCancelled && streamedTo == 0 && len(w.waiters) > 0 && !w.expired(m.now)
	if !again || !m.spendRetry() {
		m.finish(w, code, nil, 0)
		return
	}
	if m.handOver(w) {
		return
	}
	if len(w.offeredTo) > 0 {
		m.finish(w, code, nil, 0)
		return
	}
	// Counts as an offer, so that a work item without other agents runs at most twice.
	w.offeredTo = append(w.offeredTo, m.cfg.Self.Host)
	m.admit(w)
}

// finish ends a work item that ran, or may have run.
func (m *Machine) finish(w *workItem, code result.Code, a *Answer, streamedTo ID) {
	m.answerAll(w, code, a, streamedTo)
	if !w.keyed() {
		m.drop(w)
		return
	}
	w.code, w.answer = code, a
	if a != nil && a.size() > m.cfg.RetainBytes/maxAnswerShare {
		w.answer = nil
	}
	m.setState(w, stateFinishing)
	delete(m.works, w.ID)
	m.ended[w.ID] = w
	m.emit(Action{Kind: ActionFinish, Run: w.ID, Ref: w.ref(m.cfg.Self), Code: code})
	m.emit(Action{Kind: ActionDone, Run: w.ID})
	m.retained.add(m, w)
}

// finishDone makes a work item evictable whose end the log has recorded.
func (m *Machine) finishDone(run ID) {
	w := m.ended[run]
	if w == nil || w.state != stateFinishing {
		return
	}
	m.setState(w, stateRetained)
	m.retained.evict(m)
}

// setLocalState applies the state of the host. A host that begins to drain hands its queues over.
func (m *Machine) setLocalState(l LocalState) {
	began := l.Draining && !m.local.Draining
	if m.local.Cold && !l.Cold {
		for _, s := range m.ring {
			s.limit = 1
		}
	}
	if l.DrainDeadline != m.local.DrainDeadline || !l.Draining {
		m.drainOverdueReported = false
	}
	m.local = l
	if l.Draining {
		m.scheduleTick(l.DrainDeadline)
	}
	if !began {
		return
	}
	m.handOverDrainingQueues()
}

// setServiceDrain sets whether the host takes new requests of one service.
func (m *Machine) setServiceDrain(e ServiceDrain) {
	m.service(e.Service).draining = e.Draining
	if e.Draining {
		m.handOverDrainingQueues()
	}
}

// draining reports whether the host takes no new requests of a service.
func (m *Machine) draining(id model.ServiceID) bool {
	return m.local.Draining || m.service(id).draining
}

// handOverDrainingQueues hands the queued work items of draining services to other agents.
func (m *Machine) handOverDrainingQueues() {
	for _, w := range m.sortedWorks() {
		if w.state != stateQueued || !m.draining(w.Service) || !m.canHandOver(w) {
			continue
		}
		m.removeQueued(w)
		if w.bound {
			m.releaseAndHandOver(w)
			continue
		}
		m.handOver(w)
	}
}

// tickDrain reports the remaining callers once when the drain deadline passes. It ends none of their requests.
func (m *Machine) tickDrain() {
	d := m.local.DrainDeadline
	if !m.local.Draining || m.drainOverdueReported || d.IsZero() || m.now.Before(d) {
		return
	}
	m.drainOverdueReported = true
	if callers := m.Remaining(); len(callers) > 0 {
		m.emit(Action{Kind: ActionDrainOverdue, Callers: callers})
	}
}

// sortedWorks returns the work items that have not ended in the order of their arrival, so that the output does not
// depend on map order.
func (m *Machine) sortedWorks() []*workItem {
	out := make([]*workItem, 0, len(m.works))
	for _, w := range m.works {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *workItem) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func sortCallers(c []netip.AddrPort) {
	slices.SortFunc(c, func(a, b netip.AddrPort) int { return a.Compare(b) })
}
