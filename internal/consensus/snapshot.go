package consensus

// outgoingSnapshot is a snapshot that a leader sends to a member. One chunk is in flight at a time.
type outgoingSnapshot struct {
	snapshot Snapshot
	offset   uint64 // of the chunk in flight
}

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	at   position
	from MemberID
	data []byte
}

func (c *Core) startSnapshot(id MemberID) {
	p := c.peer(id)
	p.clearFlights()
	p.probing = true
	p.transfer = &outgoingSnapshot{snapshot: c.log.snapshot}
	c.sendChunk(id, p)
}

func (c *Core) sendChunk(id MemberID, p *progress) {
	s := p.transfer.snapshot
	total := uint64(len(s.Data))
	end := min(total, p.transfer.offset+uint64(c.cfg.MaxMessageBytes))
	p.sentAt = c.now
	c.send(Message{Kind: MsgSnapshot, To: id, Index: s.Index, LogTerm: s.Term, Chunk: &SnapshotChunk{
		Index: s.Index, Term: s.Term, Time: s.Time, Membership: s.Membership,
		Offset: p.transfer.offset, Total: total, Data: s.Data[p.transfer.offset:end],
	}})
}

// handleSnapshotResponse sends the chunk that the member asks for. The final acknowledgement is an append response.
func (c *Core) handleSnapshotResponse(m Message) {
	p := c.heard(m)
	if p == nil || p.transfer == nil || p.transfer.snapshot.Index != m.Index {
		return
	}
	if m.Hint > uint64(len(p.transfer.snapshot.Data)) || m.Hint == p.transfer.offset && m.Hint > 0 {
		return // a duplicate; the chunk is repeated when it is overdue
	}
	p.transfer.offset = m.Hint
	c.sendChunk(m.From, p)
}

func (c *Core) handleChunk(m Message) {
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
	if got := uint64(len(c.incoming.data)); got < chunk.Total {
		c.send(Message{Kind: MsgSnapshotResponse, To: m.From, Index: chunk.Index, Hint: got})
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
		c.unsynced[i].last = 0
	}
	c.out.Install = &s
	c.out.Compact = nil
	c.send(Message{Kind: MsgAppendResponse, To: from, Index: s.Index})
}
