package consensus

import "time"

// pendingRead is a read that waits for a quorum to confirm the leader.
type pendingRead struct {
	id    ReadID
	from  MemberID // empty if this member itself reads
	index uint64   // commit index when the read arrived; 0 until an entry of this term is committed
	round uint64   // heartbeat round that confirms the read
}

// ReadResult is the result of Read. If OK is set, the state is current once Index is applied; otherwise the read must be
// repeated, because the leader is unknown or has changed or has too many pending reads.
type ReadResult struct {
	ID    ReadID
	Index uint64
	OK    bool
}

// Read starts a read. Its result appears in Output.Reads. A result may be lost when the leader is another member, so
// the adapter repeats the read under a new id after some time.
func (c *Core) Read(now time.Time, id ReadID) {
	c.advanceClock(now)
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

// addRead records the commit index and requests a round of heartbeats, which startReadRound sends once for all reads that
// arrived together. If a quorum answers the round, this member was still the leader after the read arrived, so no later
// leader had committed anything before the read.
func (c *Core) addRead(r pendingRead) {
	if len(c.reads) >= c.cfg.MaxPendingReads {
		c.answerRead(r, 0, false)
		return
	}
	r.round = c.readRound + 1
	if c.termCommitted() {
		r.index = c.log.commit
	}
	c.reads = append(c.reads, r)
	c.roundRequested = true
}

func (c *Core) startReadRound() {
	if !c.roundRequested {
		return
	}
	c.roundRequested = false
	if c.role != Leader {
		return
	}
	c.readRound++
	c.heartbeatAll()
	c.confirmReads()
}

// termCommitted reports whether an entry of this term is committed. Before that, the commit index of a new leader may be
// lower than the commit index that an earlier leader confirmed to readers.
func (c *Core) termCommitted() bool { return c.log.commit >= c.termStart }

// confirmReads answers the reads whose heartbeat round a quorum has answered.
func (c *Core) confirmReads() {
	if len(c.reads) == 0 || !c.termCommitted() {
		return
	}
	unconfirmed := c.reads[:0]
	for _, r := range c.reads {
		if r.index == 0 {
			r.index = c.log.commit
		}
		if !c.roundConfirmed(r.round) {
			unconfirmed = append(unconfirmed, r)
			continue
		}
		c.answerRead(r, r.index, true)
	}
	c.reads = unconfirmed
}

func (c *Core) roundConfirmed(round uint64) bool {
	return c.membership().hasQuorum(func(id MemberID) bool {
		return id == c.cfg.ID && c.readRound >= round || id != c.cfg.ID && c.peer(id).ackedRound >= round
	})
}

func (c *Core) answerRead(r pendingRead, index uint64, ok bool) {
	if r.from == "" {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: r.id, Index: index, OK: ok})
		return
	}
	c.send(Message{Kind: MsgReadResponse, To: r.from, Read: r.id, Index: index, Reject: !ok})
}
