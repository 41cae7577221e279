package consensus

import "time"

// electable reports whether this member may lead. A member whose removal is not known to be committed still may: its log
// can be the only one that a quorum accepts, and it steps down when the removal is committed.
func (c *Core) electable() bool {
	config := c.log.config()
	if config.membership.Voter(c.cfg.ID) {
		return true
	}
	n := len(c.log.configs)
	return n > 1 && config.index > c.log.commit && c.log.configs[n-2].membership.Voter(c.cfg.ID)
}

// startPreVote asks the other voters whether an election could succeed, without changing the term. A member that was
// cut off therefore returns with the term it left with.
func (c *Core) startPreVote() {
	c.role = PreCandidate
	c.leader = ""
	c.votes = map[MemberID]bool{c.cfg.ID: true}
	c.retryPreVote()
	if c.membership().hasQuorum(c.voted) {
		c.startElection(false)
		return
	}
	c.askVoters(Message{Kind: MsgPreVote, Term: c.hard.Term + 1})
}

// retryPreVote sets the time of the next attempt. A pre-vote changes nothing at the others, so it is repeated soon: the
// first one may be lost, or arrive just before the others notice the loss of the leader.
func (c *Core) retryPreVote() {
	spread := time.Duration(c.random.Int64N(int64(c.cfg.Heartbeat)))
	c.electionAt = c.now.Add(c.cfg.Heartbeat + spread)
}

// startElection asks for votes in a new term. The member's own vote counts once it is synced; see Persisted.
func (c *Core) startElection(transfer bool) {
	c.role = Candidate
	c.leader = ""
	c.hard = HardState{Term: c.hard.Term + 1, Vote: c.cfg.ID}
	c.votes = map[MemberID]bool{}
	c.resetElection()
	c.askVoters(Message{Kind: MsgVote, Transfer: transfer})
}

func (c *Core) askVoters(m Message) {
	last := c.log.lastPosition()
	m.Index, m.LogTerm = last.index, last.term
	for _, member := range c.membership().Members {
		if member.Learner || member.ID == c.cfg.ID {
			continue
		}
		m.To = member.ID
		c.send(m)
	}
}

func (c *Core) voted(id MemberID) bool { return c.votes[id] }

// upToDate reports whether the log of the sender is at least as complete as this one.
func (c *Core) upToDate(m Message) bool {
	last := c.log.lastPosition()
	return m.LogTerm > last.term || m.LogTerm == last.term && m.Index >= last.index
}

func (c *Core) answerPreVote(m Message) {
	grant := m.Term > c.hard.Term && c.upToDate(m) && !c.leaderRecent()
	if !grant {
		c.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
		if c.role == PreCandidate && m.Term == c.hard.Term+1 {
			c.electionAt = c.now // the sender has just become reachable, and its log is behind
		}
		return
	}
	c.send(Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term})
	c.letElect(m.From)
}

// letElect puts off this member's own attempt while another one, which it has encouraged, is under way. Of two members
// that encourage each other, the one with the lower identity goes on; otherwise both would split the votes, and the next
// attempt comes a whole election timeout later.
func (c *Core) letElect(other MemberID) {
	if c.role == Candidate || c.role == PreCandidate && c.cfg.ID < other {
		return
	}
	if c.role == PreCandidate {
		c.role = Follower
		c.votes = nil
	}
	if later := c.now.Add(2*c.cfg.Heartbeat + c.jitter()); later.After(c.electionAt) {
		c.electionAt = later
	}
}

func (c *Core) countPreVote(m Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.membership().hasQuorum(c.voted) {
		c.startElection(false)
	}
}

// answerVote grants at most one vote per term. The membership of the candidate is not checked: this member may not
// yet know the membership that includes it.
func (c *Core) answerVote(m Message) {
	free := c.hard.Vote == "" && c.leader == "" || c.hard.Vote == m.From
	if !free || !c.upToDate(m) {
		c.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	c.hard.Vote = m.From
	c.resetElection()
	c.send(Message{Kind: MsgVoteResponse, To: m.From})
}

func (c *Core) countVote(m Message) {
	if c.role == Candidate {
		c.recordVote(m.From, !m.Reject)
	}
}

func (c *Core) recordVote(id MemberID, granted bool) {
	c.votes[id] = granted
	if c.membership().hasQuorum(c.voted) {
		c.becomeLeader()
	}
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.incoming = nil
	c.peers = map[MemberID]*progress{}
	c.reads = nil
	c.round = 0
	c.heartbeatAt = c.now.Add(c.cfg.Heartbeat)
	c.quorumAt = c.now.Add(c.cfg.Election)
	c.firstOfTerm = c.log.last() + 1
	c.appendEntry(Entry{Kind: EntryNoOp})
	c.syncPeers()
	c.replicateAll()
}

// handleTimeoutNow starts an election at the request of the leader.
func (c *Core) handleTimeoutNow() {
	if c.role == Leader || !c.electable() {
		return
	}
	c.startElection(true)
}
