package node

import (
	"context"
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// readCall is a call of Read that waits for its result.
type readCall struct {
	ctx   context.Context
	reply chan struct{}
}

// readBatch is a set of calls with a common confirmation.
type readBatch struct {
	calls []readCall
	index uint64 // the calls return once this index is applied
}

// pendingReads holds the unanswered reads of this member. One confirmation is requested at a time. The calls that arrive
// in the meantime share the next one, because a confirmation is valid only for calls made before its request.
type pendingReads struct {
	incarnation uint64
	sequence    uint64
	retryAfter  time.Duration

	queued      []readCall // calls for the next confirmation
	requested   []readCall // calls for the confirmation that was requested under sequence
	requestedAt time.Time
	confirmed   []readBatch // confirmed calls that wait until their index is applied
}

func newPendingReads(incarnation uint64, retryAfter time.Duration) pendingReads {
	return pendingReads{incarnation: incarnation, retryAfter: retryAfter}
}

func (r *pendingReads) add(c readCall) { r.queued = append(r.queued, c) }

// drainReadCalls queues all calls that have arrived.
func (n *Node) drainReadCalls() {
	for {
		select {
		case c := <-n.readCalls:
			n.reads.add(c)
		default:
			return
		}
	}
}

// startRead requests a confirmation for the queued calls unless one is outstanding.
func (n *Node) startRead() {
	r := &n.reads
	if len(r.requested) > 0 || len(r.queued) == 0 {
		return
	}
	r.requested, r.queued = r.queued, nil
	n.requestRead()
}

// requestRead requests a confirmation under a new id.
func (n *Node) requestRead() {
	r := &n.reads
	r.sequence++
	r.requestedAt = n.now()
	n.core.Read(r.requestedAt, consensus.ReadID{Incarnation: r.incarnation, Sequence: r.sequence})
}

// finishRead processes the result of a confirmation request. retryReads repeats a refused request after a heartbeat
// interval, because the leader is changing.
func (n *Node) finishRead(res consensus.ReadResult) {
	r := &n.reads
	if res.ID.Sequence != r.sequence || len(r.requested) == 0 {
		return
	}
	if !res.OK {
		r.requestedAt = n.now().Add(n.cfg.Consensus.Heartbeat - r.retryAfter)
		return
	}
	r.confirmed = append(r.confirmed, readBatch{calls: r.requested, index: res.Index})
	r.requested = nil
	n.releaseReads(n.core.Status().Applied)
	n.startRead()
}

// releaseReads answers the confirmed reads whose index is applied.
func (n *Node) releaseReads(applied uint64) {
	r := &n.reads
	for len(r.confirmed) > 0 && r.confirmed[0].index <= applied {
		for _, c := range r.confirmed[0].calls {
			c.reply <- struct{}{}
		}
		r.confirmed = r.confirmed[1:]
	}
}

// retryReads drops cancelled calls and repeats an unanswered confirmation request under a new id.
func (n *Node) retryReads() {
	r := &n.reads
	r.queued = withoutCancelled(r.queued)
	r.requested = withoutCancelled(r.requested)
	if len(r.requested) > 0 && n.now().Sub(r.requestedAt) >= r.retryAfter {
		n.requestRead()
	}
	n.startRead()
}

func withoutCancelled(calls []readCall) []readCall {
	kept := calls[:0]
	for _, c := range calls {
		if c.ctx.Err() == nil {
			kept = append(kept, c)
		}
	}
	return kept
}
