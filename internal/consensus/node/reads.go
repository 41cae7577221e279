package node

import (
	"context"
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// readCall is a call of Read.
type readCall struct {
	ctx   context.Context
	reply chan struct{}
}

// readBatch is a set of calls that share one confirmation.
type readBatch struct {
	calls []readCall
	index uint64 // to wait for, once confirmed
}

// pendingReads holds the reads of this member. One confirmation is requested at a time; the calls that arrive meanwhile
// share the next one, because a confirmation holds only for calls made before it was requested.
type pendingReads struct {
	incarnation uint64
	sequence    uint64
	retryAfter  time.Duration

	next      []readCall // wait for the next confirmation
	asked     []readCall // wait for the confirmation with sequence
	askedAt   time.Time
	confirmed []readBatch // wait for application
}

func newPendingReads(incarnation uint64, retryAfter time.Duration) pendingReads {
	return pendingReads{incarnation: incarnation, retryAfter: retryAfter}
}

func (r *pendingReads) add(c readCall) { r.next = append(r.next, c) }

// gatherReads adds all calls that are waiting.
func (n *Node) gatherReads() {
	for {
		select {
		case c := <-n.readCalls:
			n.reads.add(c)
		default:
			return
		}
	}
}

// startReads asks for a confirmation unless one is awaited.
func (n *Node) startReads() {
	r := &n.reads
	if len(r.asked) > 0 || len(r.next) == 0 {
		return
	}
	r.asked, r.next = r.next, nil
	n.askRead()
}

func (n *Node) askRead() {
	r := &n.reads
	r.sequence++
	r.askedAt = n.now()
	n.core.Read(r.askedAt, consensus.ReadID{Incarnation: r.incarnation, Sequence: r.sequence})
}

// finishRead processes a confirmation. A refused one is repeated by retryReads after a heartbeat interval, because the
// leader is changing.
func (n *Node) finishRead(res consensus.ReadResult) {
	r := &n.reads
	if res.ID.Sequence != r.sequence || len(r.asked) == 0 {
		return
	}
	if !res.OK {
		r.askedAt = n.now().Add(n.cfg.Consensus.Heartbeat - r.retryAfter)
		return
	}
	r.confirmed = append(r.confirmed, readBatch{calls: r.asked, index: res.Index})
	r.asked = nil
	n.releaseReads(n.core.Status().Applied)
	n.startReads()
}

// releaseReads answers the reads whose index is applied.
func (n *Node) releaseReads(applied uint64) {
	r := &n.reads
	for len(r.confirmed) > 0 && r.confirmed[0].index <= applied {
		for _, c := range r.confirmed[0].calls {
			c.reply <- struct{}{}
		}
		r.confirmed = r.confirmed[1:]
	}
}

// retryReads drops calls that were given up and repeats an unanswered request under a new id.
func (n *Node) retryReads() {
	r := &n.reads
	r.next = waiting(r.next)
	r.asked = waiting(r.asked)
	if len(r.asked) > 0 && n.now().Sub(r.askedAt) >= r.retryAfter {
		n.askRead()
	}
	n.startReads()
}

func waiting(calls []readCall) []readCall {
	kept := calls[:0]
	for _, c := range calls {
		if c.ctx.Err() == nil {
			kept = append(kept, c)
		}
	}
	return kept
}
