package node

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/result"
)

// command is a membership change or a leadership transfer. Exactly one of change and transfer is set.
type command struct {
	change   *consensus.Change
	transfer consensus.MemberID
	reply    chan outcome
}

// leadership is what the loop last saw, to notice changes.
type leadership struct {
	role   consensus.Role
	term   uint64
	leader consensus.MemberID
}

// run is the goroutine that owns the consensus state.
func (n *Node) run() {
	ticks, stop := n.clock.Ticker(n.cfg.Consensus.Heartbeat / ticksPerHeartbeat)
	defer stop()
	for {
		// Proposals wait in their callers while too many have no outcome.
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
			n.gatherReads()
			n.startReads()
		case c := <-n.commands:
			n.execute(c)
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
		n.emit()
	}
}

// step delivers the messages of all calls that are waiting.
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

// emit carries out the outputs.
func (n *Node) emit() {
	for {
		o := n.core.TakeOutput()
		n.sendAll(n.envelopes(o.SendNow))
		if o.NeedsSync() {
			n.persistJobs.push(persistJob{
				sequence: o.Sequence, hard: o.Hard, install: o.Install, entries: o.Entries, compact: o.Compact,
				afterSync: n.envelopes(o.SendAfterSync),
			})
		}
		if o.Install != nil {
			n.applyJobs.push(applyJob{restore: o.Install})
			n.pending.loseUpTo(o.Install.Index)
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

// envelopes groups messages by receiver, in order.
func (n *Node) envelopes(messages []consensus.Message) []envelope {
	var out []envelope
	for _, m := range messages {
		i := 0
		for i < len(out) && out[i].to.ID != m.To {
			i++
		}
		if i == len(out) {
			out = append(out, envelope{to: n.member(m.To)})
		}
		out[i].messages = append(out[i].messages, m)
	}
	return out
}

// member returns a member of the present membership, or one without an address.
func (n *Node) member(id consensus.MemberID) consensus.Member {
	if m, ok := n.core.Member(id); ok {
		return m
	}
	return consensus.Member{ID: id}
}

func (n *Node) sendAll(envelopes []envelope) {
	for _, e := range envelopes {
		n.cfg.Transport.Send(n.cfg.Log, e.to, e.messages)
	}
}

// publish makes the status visible, and fails proposals whose outcome this member can no longer know.
func (n *Node) publish() {
	s := n.core.Status()
	seen := leadership{role: s.Role, term: s.Term, leader: s.Leader}
	if seen != n.lead {
		if n.lead.role == consensus.Leader && (seen.role != consensus.Leader || seen.term != n.lead.term) {
			n.pending.loseAfter(s.Commit)
		}
		_ = n.logger.Log("event", "role_changed", "role", s.Role, "term", s.Term, "leader", s.Leader)
		n.lead = seen
		n.reads.askedAt = time.Time{} // the request may have gone to the earlier leader
	}
	n.status.Store(&s)
	n.subscribers.publish(Update{Applied: s.Applied, Role: s.Role, Term: s.Term, Leader: s.Leader})
}

func (n *Node) execute(c command) {
	if c.change == nil {
		c.reply <- outcome{err: n.named(n.core.TransferLeadership(n.now(), c.transfer))}
		return
	}
	index, term, err := n.core.ChangeMember(n.now(), *c.change)
	if err != nil {
		c.reply <- outcome{err: n.named(err)}
		return
	}
	n.pending.add(index, term, 0, c.reply)
}

// named adds the leader's name to an error NotLeader.
func (n *Node) named(err error) error {
	if result.CodeOf(err) != result.NotLeader {
		return err
	}
	leader, _ := n.core.Member(n.core.Status().Leader)
	return &NotLeaderError{Leader: leader}
}

// finishApply reports results to proposers and reads, and takes a snapshot when it is due.
func (n *Node) finishApply(a applied) {
	if a.taken {
		n.snapshot.running = false
		if err := n.core.Compact(a.index, a.snapshot); err != nil {
			// A snapshot from the leader was installed meanwhile.
			_ = n.logger.Log("event", "snapshot_outdated", "index", a.index, "error", err)
			return
		}
		_ = n.logger.Log("event", "snapshot_taken", "index", a.index, "bytes", len(a.snapshot))
		return
	}
	n.core.Applied(a.index)
	for i, e := range a.entries {
		n.pending.finish(e, a.results[i])
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
	entries, bytes         int // limits
	seenEntries, seenBytes int // since the last snapshot
	running                bool
}

func (t *snapshotTrigger) due(entries []consensus.Entry) bool {
	for _, e := range entries {
		t.seenEntries++
		t.seenBytes += len(e.Command)
	}
	if t.running || t.seenEntries < t.entries && t.seenBytes < t.bytes {
		return false
	}
	t.reset()
	t.running = true
	return true
}

func (t *snapshotTrigger) reset() { t.seenEntries, t.seenBytes = 0, 0 }
