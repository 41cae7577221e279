package request

import (
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// joinPause separates attempts to learn the outcome of a key from the log and its owner.
const joinPause = 100 * time.Millisecond

// finishedPatience bounds the attempts to fetch the answer of a run that the log knows to have ended. Without the owner
// only the answer's text is missing.
const finishedPatience = 2 * time.Second

// maxHandOvers bounds the agents that one request is offered to.
const maxHandOvers = 3

// ownedElsewhere joins the run of a key that the log has bound to another owner.
func (m *Machine) ownedElsewhere(w *work, a binding.Answer) {
	if len(w.waiters) == 0 {
		m.drop(w)
		return
	}
	if a.Owner == m.cfg.Self && a.Outcome == binding.Owned {
		// The record is of a later attempt than this answer; ask again with a new one.
		m.pause(w)
		return
	}
	m.counts.Joined++
	w.owner = a.Owner
	w.ownerFinished = a.Outcome == binding.Finished
	w.ownerCode = a.Code
	if w.ownerFinished && (a.Code != result.OK || a.Owner.Host == m.cfg.Self.Host) {
		m.endJoin(w)
		return
	}
	if w.giveUpAt.IsZero() {
		w.giveUpAt = m.now.Add(m.cfg.JoinPatience)
	}
	if finished := m.now.Add(finishedPatience); w.ownerFinished && finished.Before(w.giveUpAt) {
		w.giveUpAt = finished
	}
	m.join(w)
}

func (m *Machine) join(w *work) {
	m.setState(w, stateJoining)
	m.emit(Action{Kind: ActionJoin, Run: w.ID, Owner: w.owner, Ref: w.ref(m.cfg.Self), Digest: w.Digest, At: w.limitAt})
}

// endJoin answers with what the log knows.
func (m *Machine) endJoin(w *work) {
	code := result.RequestOutcomeUnknown
	if w.ownerFinished {
		code = w.ownerCode
		if code == result.OK {
			code = result.RequestAnswerNotRetained
		}
	}
	m.refuse(w, code)
}

// pause binds again after a pause, or gives up.
func (m *Machine) pause(w *work) {
	if w.giveUpAt.IsZero() {
		w.giveUpAt = m.now.Add(m.cfg.JoinPatience)
	}
	if !m.now.Before(w.giveUpAt) {
		m.endJoin(w)
		return
	}
	m.setState(w, statePausing)
	w.retryAt = m.now.Add(joinPause)
	m.arm(w.retryAt)
}

func (m *Machine) joinEnded(e JoinEnded) {
	w := m.works[e.Run]
	if w == nil || w.state != stateJoining {
		return
	}
	switch {
	case e.Reached && e.Pending:
		w.giveUpAt = m.now.Add(m.cfg.JoinPatience)
		m.join(w)
	case e.Reached && w.ownerFinished && e.Answer == nil:
		// The log knows more than an owner that was restarted.
		m.endJoin(w)
	case e.Reached && e.Held && !notRun(e.Code):
		m.answerAll(w, e.Code, e.Answer, 0)
		m.drop(w)
	default:
		// The owner frees the key of a run that it refused or does not have; an owner that is not reached may be
		// declared lost.
		m.pause(w)
	}
}

// joinAsked answers another agent that found this incarnation as the owner of a key.
func (m *Machine) joinAsked(e JoinAsked) {
	w := m.keys[workKey{e.Service, e.Key}]
	if w == nil || w.unbound() {
		m.emit(Action{Kind: ActionAnswer, ID: e.ID})
		m.releaseAll(e.Service, e.Key)
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
	m.wait(w, waiter{id: e.ID, remote: true})
}

// unbound tells whether no attempt of the work is or will be bound without a new bind.
func (w *work) unbound() bool {
	switch w.state {
	case stateHanding, stateJoining, statePausing, stateReleasing:
		return true
	}
	return false
}

// releaseAll frees a key that the log has bound to this incarnation although no work of it holds the key. No attempt up
// to now is or will be dispatched: either it never was, or its end is recorded and the release has no effect. The cause
// is a bind that arrived after its release.
func (m *Machine) releaseAll(service model.ServiceID, key string) {
	m.emit(Action{Kind: ActionRelease, Ref: binding.Ref{
		Service: service,
		Key:     key,
		Owner:   m.cfg.Self,
		Attempt: m.attempt,
	}})
}

// canHandOver tells whether another agent can be offered the work.
func (m *Machine) canHandOver(w *work) bool { return m.pickPeer(w) != nil }

// pickPeer returns the agent with the shortest queue that was not tried yet, or nil.
func (m *Machine) pickPeer(w *work) *Peer {
	if w.HandedOver || len(w.tried) >= maxHandOvers {
		return nil
	}
	var best *Peer
	peers := m.service(w.Service).peers
	for i := range peers {
		p := &peers[i]
		if !p.TakesWork || slices.Contains(w.tried, p.Host) {
			continue
		}
		if best == nil || p.Queued < best.Queued {
			best = p
		}
	}
	return best
}

// handOver offers a work that holds no binding to another agent. It returns false if there is none.
func (m *Machine) handOver(w *work) bool {
	peer := m.pickPeer(w)
	if peer == nil {
		return false
	}
	// Spreads hand-overs until the next report of the peers.
	peer.Queued++
	m.endProbe(w)
	w.tried = append(w.tried, peer.Host)
	m.counts.HandedOver++
	m.setState(w, stateHanding)
	m.emit(Action{Kind: ActionHandOver, Run: w.ID, To: peer.Host, At: w.limitAt})
	return true
}

func (m *Machine) handOverEnded(e HandOverEnded) {
	w := m.works[e.Run]
	if w == nil || w.state != stateHanding {
		return
	}
	if e.Reached && !(w.keyed() && notRun(e.Code)) && !declined(e.Code) {
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
	// No other agent took it. An ejected upstream is better than none; a draining one refuses.
	m.begin(w)
}

// notRun tells whether a code is a refusal. The refusal of another agent holds for the time when it was given; another
// send of the key may have run since. A keyed work therefore ends as refused only while its own attempt is bound.
func notRun(code result.Code) bool { return code > 3000 && code < 3100 }

// declined tells whether the other agent did not take the work at all.
func declined(code result.Code) bool {
	return code == result.RequestDraining || code == result.RequestNoUpstream
}

// handOverLost handles a hand-over without an answer. The request may still reach the other agent, so it can no longer
// end as refused. For a keyed work the log tells who runs it.
func (m *Machine) handOverLost(w *work) {
	w.maybeRan = true
	if w.keyed() {
		m.begin(w)
		return
	}
	if m.spend() {
		if m.handOver(w) {
			return
		}
		m.begin(w)
		return
	}
	m.refuse(w, result.RequestRetryBudgetSpent)
}
