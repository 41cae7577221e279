package consensus

// outgoingSnapshot is the transfer of a snapshot from the leader to a member, one chunk at a time.
type outgoingSnapshot struct {
	snapshot Snapshot
	offset   uint64 // offset of the chunk in flight
}

// incomingSnapshot collects the chunks of a snapshot that a member receives.
type incomingSnapshot struct {
	at   position
	from MemberID
	data []byte
}

func (c *Core) startSnapshot(id MemberID) {
	p := c.peer(id)
	p.clearInflight()
	p.probing = true
	p.outgoing = &outgoingSnapshot{snapshot: c.log.snapshot}
	c.sendSnapshotChunk(id, p)
}

func (c *Core) sendSnapshotChunk(id MemberID, p *progress) {
	s := p.outgoing.snapshot
	total := uint64(len(s.Data))
	end := min(total, p.outgoing.offset+uint64(c.cfg.MaxMessageBytes))
	p.sentAt = c.now
	c.send(Message{Kind: MsgSnapshot, To: id, Index: s.Index, LogTerm: s.Term, Chunk: &SnapshotChunk{
		Index: s.Index, Term: s.Term, Time: s.Time, Membership: s.Membership,
		Offset: p.outgoing.offset, Total: total, Data: s.Data[p.outgoing.offset:end],
	}})
}

// handleSnapshotResponse sends the chunk at the offset that the member requests. The member acknowledges the complete
// snapshot with an append response.
func (c *Core) handleSnapshotResponse(m Message) {
	p := c.recordContact(m)
	if p == nil || p.outgoing == nil || p.outgoing.snapshot.Index != m.Index {
		return
	}
	if m.Hint > uint64(len(p.outgoing.snapshot.Data)) || m.Hint == p.outgoing.offset && m.Hint > 0 {
		return // duplicate response; handleHeartbeatResponse retransmits an overdue chunk
	}
	p.outgoing.offset = m.Hint
	c.sendSnapshotChunk(m.From, p)
}

func (c *Core) handleSnapshotChunk(m Message) {
	chunk := m.Chunk
	if chunk == nil || chunk.Total > c.cfg.MaxSnapshotBytes {
		return
	}
	if c.log.commit >= chunk.Index {
		c.send(Message{Kind: MsgAppendResponse, To: m.From, Index: c.log.commit})
		return
	}
	at := position{chunk.Index, chunk.Term}
	if c.log.matches(at) {
		c.commitTo(chunk.Index)
		c.send(Message{Kind: MsgAppendResponse, To: m.From, Index: chunk.Index})
		return
	}
	if c.incoming == nil || c.incoming.at != at || c.incoming.from != m.From {
		c.incoming = &incomingSnapshot{at: at, from: m.From}
	}
	if chunk.Offset == uint64(len(c.incoming.data)) {
		c.incoming.data = append(c.incoming.data, chunk.Data...)
	}
	if received := uint64(len(c.incoming.data)); received < chunk.Total {
		c.send(Message{Kind: MsgSnapshotResponse, To: m.From, Index: chunk.Index, Hint: received})
		return
	}
	c.install(m.From, Snapshot{
		Index: chunk.Index, Term: chunk.Term, Time: chunk.Time, Membership: chunk.Membership, Data: c.incoming.data,
	})
}

func (c *Core) install(from MemberID, s Snapshot) {
	c.incoming = nil
	c.log.install(s)
	for i := range c.unsynced {
		c.unsynced[i].lastEntry = 0
	}
	c.out.Install = &s
	c.out.Compact = nil
	c.send(Message{Kind: MsgAppendResponse, To: from, Index: s.Index})
}
