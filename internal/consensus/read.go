package consensus

import "time"

// pendingRead is a read for which the leader awaits confirmation.
type pendingRead struct {
	id    ReadID
	from  MemberID // empty: this member itself
	index uint64   // commit index when it arrived; 0 until an entry of this term is committed
	round uint64   // read round that confirms it
}

// ReadResult answers Read. If OK, a read that waits until Index is applied is current; otherwise the read has to be
// repeated, because the leader is unknown or has changed.
type ReadResult struct {
	ID    ReadID
	Index uint64
	OK    bool
}

// Read starts a read. Its result appears in Output.Reads. A result may be lost when the leader is another member, so
// the adapter repeats the read under a new id after some time.
func (c *Core) Read(now time.Time, id ReadID) {
	c.advance(now)
	switch {
	case c.role == Leader:
		c.addRead(pendingRead{id: id})
	case c.leader != "":
		c.send(Message{Kind: MsgRead, To: c.leader, Read: id})
	default:
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id})
	}
}

func (c *Core) handleRead(m Message) {
	if c.role != Leader {
		c.send(Message{Kind: MsgReadResponse, To: m.From, Read: m.Read, Reject: true})
		return
	}
	c.addRead(pendingRead{id: m.Read, from: m.From})
}

func (c *Core) handleReadResponse(m Message) {
	if m.Read.Incarnation != c.cfg.Incarnation {
		return
	}
	c.out.Reads = append(c.out.Reads, ReadResult{ID: m.Read, Index: m.Index, OK: !m.Reject})
}

// addRead notes the commit index and asks for a round of heartbeats, which startRound sends once for all reads that
// arrived together. If a quorum answers the round, this member was still the leader after the read arrived, so no later
// leader had committed anything by then.
func (c *Core) addRead(r pendingRead) {
	if len(c.reads) >= c.cfg.MaxPendingReads {
		c.answerRead(r, 0, false)
		return
	}
	r.round = c.round + 1
	if c.termCommitted() {
		r.index = c.log.commit
	}
	c.reads = append(c.reads, r)
	c.roundWanted = true
}

func (c *Core) startRound() {
	if !c.roundWanted {
		return
	}
	c.roundWanted = false
	if c.role != Leader {
		return
	}
	c.round++
	c.heartbeatAll()
	c.confirmReads()
}

// termCommitted reports whether an entry of this term is committed. Before that, the commit index of a new leader may
// be older than what an earlier leader has confirmed.
func (c *Core) termCommitted() bool { return c.log.commit >= c.firstOfTerm }

// confirmReads answers the reads that a quorum has confirmed.
func (c *Core) confirmReads() {
	if len(c.reads) == 0 || !c.termCommitted() {
		return
	}
	waiting := c.reads[:0]
	for _, r := range c.reads {
		if r.index == 0 {
			r.index = c.log.commit
		}
		if !c.roundConfirmed(r.round) {
			waiting = append(waiting, r)
			continue
		}
		c.answerRead(r, r.index, true)
	}
	c.reads = waiting
}

func (c *Core) roundConfirmed(round uint64) bool {
	return c.membership().hasQuorum(func(id MemberID) bool {
		return id == c.cfg.ID && c.round >= round || id != c.cfg.ID && c.peer(id).round >= round
	})
}

func (c *Core) answerRead(r pendingRead, index uint64, ok bool) {
	if r.from == "" {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: r.id, Index: index, OK: ok})
		return
	}
	c.send(Message{Kind: MsgReadResponse, To: r.from, Read: r.id, Index: index, Reject: !ok})
}
