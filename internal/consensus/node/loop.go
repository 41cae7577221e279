package node

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/result"
)

// adminRequest is a membership change or a leadership transfer. Exactly one of change and transfer is set.
type adminRequest struct {
	change   *consensus.Change
	transfer consensus.MemberID
	reply    chan outcome
}

// leadership is the part of the status whose changes the loop reports.
type leadership struct {
	role   consensus.Role
	term   uint64
	leader consensus.MemberID
}

// run is the event loop. Only its goroutine accesses the consensus state.
func (n *Node) run() {
	ticks, stop := n.clock.Ticker(n.cfg.Consensus.Heartbeat / ticksPerHeartbeat)
	defer stop()
	for {
		// A nil channel blocks further calls of Propose while too many proposals have no outcome.
		proposals := n.proposals
		if n.pending.full() {
			proposals = nil
		}
		select {
		case <-n.done:
			return
		case <-ticks:
			n.core.Tick(n.now())
			n.retryReads()
		case messages := <-n.inbox:
			n.step(messages)
		case p := <-proposals:
			n.propose(p)
		case c := <-n.readCalls:
			n.reads.add(c)
			n.drainReadCalls()
			n.startRead()
		case c := <-n.adminRequests:
			n.handleAdmin(c)
		case p := <-n.persisted:
			if p.err != nil {
				n.fail(p.err)
				return
			}
			n.core.Persisted(n.now(), p.sequence)
		case a := <-n.applied:
			if a.err != nil {
				n.fail(result.Errorf(result.Internal, "state machine: %w", a.err))
				return
			}
			n.finishApply(a)
		}
		n.processOutputs()
	}
}

// step processes the messages of a call and of all queued ones.
func (n *Node) step(messages []consensus.Message) {
	now := n.now()
	for {
		for _, m := range messages {
			n.core.Step(now, m)
		}
		select {
		case messages = <-n.inbox:
		default:
			return
		}
	}
}

// processOutputs carries out the outputs of the core until there are none.
func (n *Node) processOutputs() {
	for {
		o := n.core.TakeOutput()
		n.sendAll(n.batchByReceiver(o.SendNow))
		if o.NeedsSync() {
			n.persistJobs.push(persistJob{
				sequence: o.Sequence, hard: o.Hard, install: o.Install, entries: o.Entries, compact: o.Compact,
				afterSync: n.batchByReceiver(o.SendAfterSync),
			})
		}
		if o.Install != nil {
			n.applyJobs.push(applyJob{restore: o.Install})
			n.pending.failUpTo(o.Install.Index)
		}
		if len(o.Apply) > 0 {
			n.applyJobs.push(applyJob{entries: o.Apply})
		}
		for _, r := range o.Reads {
			n.finishRead(r)
		}
		if len(o.SendNow) == 0 && !o.NeedsSync() && len(o.Apply) == 0 && len(o.Reads) == 0 {
			break
		}
	}
	n.publish()
}

// batchByReceiver groups messages by receiver and keeps their order.
func (n *Node) batchByReceiver(messages []consensus.Message) []messageBatch {
	var out []messageBatch
	for _, m := range messages {
		i := 0
		for i < len(out) && out[i].to.ID != m.To {
			i++
		}
		if i == len(out) {
			out = append(out, messageBatch{to: n.member(m.To)})
		}
		out[i].messages = append(out[i].messages, m)
	}
	return out
}

// member returns a member of the current membership. A member that is not in it has no address.
func (n *Node) member(id consensus.MemberID) consensus.Member {
	if m, ok := n.core.Member(id); ok {
		return m
	}
	return consensus.Member{ID: id}
}

func (n *Node) sendAll(batches []messageBatch) {
	for _, b := range batches {
		n.cfg.Transport.Send(n.cfg.Log, b.to, b.messages)
	}
}

// publish updates the status, notifies subscribers, and fails the proposals whose outcome this member cannot learn.
func (n *Node) publish() {
	s := n.core.Status()
	current := leadership{role: s.Role, term: s.Term, leader: s.Leader}
	if current != n.lastLeadership {
		if n.lastLeadership.role == consensus.Leader && (current.role != consensus.Leader || current.term != n.lastLeadership.term) {
			n.pending.failAfter(s.Commit)
		}
		_ = n.logger.Log("event", "role_changed", "role", s.Role, "term", s.Term, "leader", s.Leader)
		n.lastLeadership = current
		n.reads.requestedAt = time.Time{} // retries at once: the request may have gone to the previous leader
	}
	n.status.Store(&s)
	n.subscribers.publish(Update{Applied: s.Applied, Role: s.Role, Term: s.Term, Leader: s.Leader})
}

func (n *Node) handleAdmin(c adminRequest) {
	if c.change == nil {
		c.reply <- outcome{err: n.withLeader(n.core.TransferLeadership(n.now(), c.transfer))}
		return
	}
	index, term, err := n.core.ChangeMember(n.now(), *c.change)
	if err != nil {
		c.reply <- outcome{err: n.withLeader(err)}
		return
	}
	n.pending.add(index, term, 0, c.reply)
}

// withLeader replaces an error with code NotLeader by one that names the leader.
func (n *Node) withLeader(err error) error {
	if result.CodeOf(err) != result.NotLeader {
		return err
	}
	leader, _ := n.core.Member(n.core.Status().Leader)
	return &NotLeaderError{Leader: leader}
}

// finishApply reports the results of applied entries to proposals and reads, and requests a snapshot when one is due.
func (n *Node) finishApply(a applyReport) {
	if a.snapshotTaken {
		n.snapshot.running = false
		if err := n.core.Compact(a.index, a.snapshot); err != nil {
			// A newer snapshot from the leader was installed in the meantime.
			_ = n.logger.Log("event", "snapshot_outdated", "index", a.index, "error", err)
			return
		}
		_ = n.logger.Log("event", "snapshot_taken", "index", a.index, "bytes", len(a.snapshot))
		return
	}
	n.core.Applied(a.index)
	for i, e := range a.entries {
		n.pending.complete(e, a.results[i])
	}
	n.releaseReads(a.index)
	if a.restored {
		n.snapshot.reset()
		return
	}
	if n.snapshot.due(a.entries) {
		n.applyJobs.push(applyJob{snapshot: true})
	}
}

// snapshotTrigger decides when a snapshot is taken.
type snapshotTrigger struct {
	maxEntries, maxBytes     int // limits between snapshots
	entriesSince, bytesSince int // applied since the last snapshot
	running                  bool
}

func (t *snapshotTrigger) due(entries []consensus.Entry) bool {
	for _, e := range entries {
		t.entriesSince++
		t.bytesSince += len(e.Command)
	}
	if t.running || t.entriesSince < t.maxEntries && t.bytesSince < t.maxBytes {
		return false
	}
	t.reset()
	t.running = true
	return true
}

func (t *snapshotTrigger) reset() { t.entriesSince, t.bytesSince = 0, 0 }
