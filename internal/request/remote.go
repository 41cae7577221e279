package request

import (
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// joinRetryInterval separates attempts to learn the outcome of a key from the log and its owner.
const joinRetryInterval = 100 * time.Millisecond

// finishedJoinTimeout bounds the attempts to fetch the answer of a run that the log has recorded as finished. The log
// supplies the result code, so an unreachable owner costs the caller only the answer itself.
const finishedJoinTimeout = 2 * time.Second

// maxHandOvers bounds how many agents one request is offered to.
const maxHandOvers = 3

// joinOwner joins the run of a key that the log has bound to another owner.
func (m *Machine) joinOwner(w *workItem, a binding.Answer) {
	if len(w.waiters) == 0 {
		m.drop(w)
		return
	}
	if a.Owner == m.cfg.Self && a.Outcome == binding.Owned {
		// The record belongs to a later attempt of this agent than the answered one; bind again with a new attempt.
		m.backOff(w)
		return
	}
	m.counts.Joined++
	w.owner = a.Owner
	w.ownerFinished = a.Outcome == binding.Finished
	w.ownerCode = a.Code
	if w.ownerFinished && (a.Code != result.OK || a.Owner.Host == m.cfg.Self.Host) {
		m.endWithLogOutcome(w)
		return
	}
	if w.joinDeadline.IsZero() {
		w.joinDeadline = m.now.Add(m.cfg.JoinTimeout)
	}
	if finished := m.now.Add(finishedJoinTimeout); w.ownerFinished && finished.Before(w.joinDeadline) {
		w.joinDeadline = finished
	}
	m.join(w)
}

func (m *Machine) join(w *workItem) {
	m.setState(w, stateJoining)
	m.emit(Action{Kind: ActionJoin, Run: w.ID, Owner: w.owner, Ref: w.ref(m.cfg.Self), Digest: w.Digest, At: w.runDeadline})
}

// endWithLogOutcome answers with the outcome that the log last reported for the key.
func (m *Machine) endWithLogOutcome(w *workItem) {
	code := result.RequestOutcomeUnknown
	if w.ownerFinished {
		code = w.ownerCode
		if code == result.OK {
			code = result.RequestAnswerNotRetained
		}
	}
	m.refuse(w, code)
}

// backOff schedules another bind, or gives up once the join deadline has passed.
func (m *Machine) backOff(w *workItem) {
	if w.joinDeadline.IsZero() {
		w.joinDeadline = m.now.Add(m.cfg.JoinTimeout)
	}
	if !m.now.Before(w.joinDeadline) {
		m.endWithLogOutcome(w)
		return
	}
	m.setState(w, stateBackoff)
	w.retryAt = m.now.Add(joinRetryInterval)
	m.scheduleTick(w.retryAt)
}

func (m *Machine) joinEnded(e JoinEnded) {
	w := m.works[e.Run]
	if w == nil || w.state != stateJoining {
		return
	}
	switch {
	case e.Reached && e.Pending:
		w.joinDeadline = m.now.Add(m.cfg.JoinTimeout)
		m.join(w)
	case e.Reached && w.ownerFinished && e.Answer == nil:
		// The owner was restarted and has lost the answer; the log still has the result code.
		m.endWithLogOutcome(w)
	case e.Reached && e.Held && !isRefusal(e.Code):
		m.answerAll(w, e.Code, e.Answer, 0)
		m.drop(w)
	default:
		// The owner frees the key of a run that it refused or does not have, and an unreachable owner may be declared
		// lost. Either way a later bind has a definite outcome.
		m.backOff(w)
	}
}

// joinRequested answers another agent to which the log named this incarnation as the owner of a key.
func (m *Machine) joinRequested(e JoinRequested) {
	w := m.keys[workKey{e.Service, e.Key}]
	if w == nil || w.needsBind() {
		m.emit(Action{Kind: ActionAnswer, ID: e.ID})
		m.releaseStaleBinding(e.Service, e.Key)
		return
	}
	if w.Digest != e.Digest {
		// The key was released and bound to another request since the other agent asked the log.
		m.emit(Action{Kind: ActionAnswer, ID: e.ID})
		return
	}
	if w.state == stateFinishing || w.state == stateRetained {
		m.emit(Action{Kind: ActionAnswer, ID: e.ID, Code: w.endCode(), Answer: w.answer, Held: true})
		return
	}
	w.cancelAt = time.Time{}
	m.addWaiter(w, waiter{id: e.ID, isJoin: true})
}

// needsBind reports whether the work item can run on this agent only after a new bind.
func (w *workItem) needsBind() bool {
	switch w.state {
	case stateHandingOver, stateJoining, stateBackoff, stateReleasing:
		return true
	}
	return false
}

// releaseStaleBinding frees a key that the log has bound to this incarnation although no work item holds the key. The
// cause is a bind that arrived after its release. No attempt up to now is running or will be dispatched: either it never
// was dispatched, or its end is recorded and the release has no effect.
func (m *Machine) releaseStaleBinding(service model.ServiceID, key string) {
	m.emit(Action{Kind: ActionRelease, Ref: binding.Ref{
		Service: service,
		Key:     key,
		Owner:   m.cfg.Self,
		Attempt: m.attempt,
	}})
}

// canHandOver reports whether the work item can be offered to another agent.
func (m *Machine) canHandOver(w *workItem) bool { return m.pickPeer(w) != nil }

// pickPeer returns the agent with the shortest queue among those that take work and were not offered this work item yet,
// or nil.
func (m *Machine) pickPeer(w *workItem) *Peer {
	if w.HandedOver || len(w.offeredTo) >= maxHandOvers {
		return nil
	}
	var best *Peer
	peers := m.service(w.Service).peers
	for i := range peers {
		p := &peers[i]
		if !p.TakesWork || slices.Contains(w.offeredTo, p.Host) {
			continue
		}
		if best == nil || p.Queued < best.Queued {
			best = p
		}
	}
	return best
}

// handOver offers a work item that holds no binding to another agent. It returns false if no agent can be asked.
func (m *Machine) handOver(w *workItem) bool {
	peer := m.pickPeer(w)
	if peer == nil {
		return false
	}
	// Counts the hand-over at once, so that hand-overs spread over the peers until their next status report.
	peer.Queued++
	m.endProbe(w)
	w.offeredTo = append(w.offeredTo, peer.Host)
	m.counts.HandedOver++
	m.setState(w, stateHandingOver)
	m.emit(Action{Kind: ActionHandOver, Run: w.ID, To: peer.Host, At: w.runDeadline})
	return true
}

func (m *Machine) handOverEnded(e HandOverEnded) {
	w := m.works[e.Run]
	if w == nil || w.state != stateHandingOver {
		return
	}
	if e.Reached && !(w.keyed() && isRefusal(e.Code)) && !isDecline(e.Code) {
		m.answerAll(w, e.Code, e.Answer, 0)
		m.drop(w)
		return
	}
	if e.Sent && !e.Reached {
		m.handOverLost(w)
		return
	}
	if m.handOver(w) {
		return
	}
	// No other agent took it. An ejected local upstream still runs it; a draining host refuses it.
	m.bindOrAdmit(w)
}

// isRefusal reports whether a code says that the request did not run. The refusal of another agent holds only for the
// time when it was given, because another send of the key may have run since. A keyed work item therefore ends as refused
// only while its own attempt is bound.
func isRefusal(code result.Code) bool { return code > 3000 && code < 3100 }

// isDecline reports whether a code says that the other agent did not accept the hand-over.
func isDecline(code result.Code) bool {
	return code == result.RequestDraining || code == result.RequestNoUpstream
}

// handOverLost handles a hand-over without an answer. The request may still reach the other agent, so it can no longer
// end as refused. For a keyed work item, a new bind finds out which agent runs it.
func (m *Machine) handOverLost(w *workItem) {
	w.maybeRan = true
	if w.keyed() {
		m.bindOrAdmit(w)
		return
	}
	if m.spendRetry() {
		if m.handOver(w) {
			return
		}
		m.bindOrAdmit(w)
		return
	}
	m.refuse(w, result.RequestRetryBudgetSpent)
}
