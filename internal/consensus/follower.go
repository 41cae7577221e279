package consensus

// handleLeaderMessage processes a message from the leader of the current term.
func (c *Core) handleLeaderMessage(m Message) {
	if c.role == Leader {
		return // a term has only one leader, so the message is forged or misrouted
	}
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.leaderContact = c.now
	c.resetElectionTimer()
	switch m.Kind {
	case MsgAppend:
		c.handleAppend(m)
	case MsgHeartbeat:
		c.commitTo(m.Commit)
		c.send(Message{Kind: MsgHeartbeatResponse, To: m.From, Round: m.Round})
	case MsgSnapshot:
		c.handleSnapshotChunk(m)
	}
}

func (c *Core) commitTo(index uint64) {
	c.log.commit = max(c.log.commit, min(index, c.log.last()))
}

func (c *Core) handleAppend(m Message) {
	previous := position{m.Index, m.LogTerm}
	entries := m.Entries
	if m.Index < c.log.commit {
		// Committed entries cannot differ from the leader's, and may no longer be in memory.
		skip := min(c.log.commit-m.Index, uint64(len(entries)))
		if m.Index+skip < c.log.commit {
			c.send(Message{Kind: MsgAppendResponse, To: m.From, Index: c.log.commit})
			return
		}
		entries = entries[skip:]
		term, _ := c.log.term(c.log.commit)
		previous = position{c.log.commit, term}
	}
	if !c.log.matches(previous) {
		c.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: c.conflictHint(m.Index)})
		return
	}
	if !consecutive(previous.index, entries) {
		return
	}
	c.storeEntries(entries)
	last := previous.index + uint64(len(entries))
	c.commitTo(min(m.Commit, last))
	c.send(Message{Kind: MsgAppendResponse, To: m.From, Index: last})
}

// consecutive reports whether the entries follow index previous without gaps.
func consecutive(previous uint64, entries []Entry) bool {
	for i, e := range entries {
		if e.Index != previous+uint64(i)+1 {
			return false
		}
	}
	return true
}

// storeEntries appends the entries that are not in the log yet. It truncates the log only at a conflicting entry, because
// a delayed message must not shorten the log.
func (c *Core) storeEntries(entries []Entry) {
	for i, e := range entries {
		if c.log.matches(position{e.Index, e.Term}) {
			continue
		}
		if e.Index <= c.log.last() {
			c.truncateLog(e.Index)
		}
		for _, e := range entries[i:] {
			c.log.append(e)
		}
		return
	}
}

// conflictHint returns the index from which the leader retries after a mismatch at index: the end of this log, or the
// entry before the conflicting term, so that the leader skips a whole term per message.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	term, ok := c.log.term(index)
	if !ok {
		return c.log.commit
	}
	for index > c.log.commit {
		if t, ok := c.log.term(index); !ok || t != term {
			break
		}
		index--
	}
	return index
}
