package consensus

import "time"

// electable reports whether this member may become leader. A member whose removal is not known to be committed still may:
// its log can be the only one that a quorum accepts, and it steps down when the removal is committed.
func (c *Core) electable() bool {
	config := c.log.config()
	if config.membership.Voter(c.cfg.ID) {
		return true
	}
	n := len(c.log.configs)
	return n > 1 && config.index > c.log.commit && c.log.configs[n-2].membership.Voter(c.cfg.ID)
}

// startPreVote asks the other voters whether an election could succeed, without changing the term. A partitioned member
// therefore does not increase its term.
func (c *Core) startPreVote() {
	c.role = PreCandidate
	c.leader = ""
	c.votes = map[MemberID]bool{c.cfg.ID: true}
	c.retryPreVote()
	if c.membership().hasQuorum(c.voted) {
		c.startElection(false)
		return
	}
	c.requestVotes(Message{Kind: MsgPreVote, Term: c.hard.Term + 1})
}

// retryPreVote schedules the next pre-vote. A pre-vote changes no state of the other members, so it is repeated soon: the
// first one may be lost, or may arrive just before the others detect the loss of the leader.
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
	c.resetElectionTimer()
	c.requestVotes(Message{Kind: MsgVote, Transfer: transfer})
}

func (c *Core) requestVotes(m Message) {
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

// upToDate reports whether the sender's log is at least as up to date as this member's.
func (c *Core) upToDate(m Message) bool {
	last := c.log.lastPosition()
	return m.LogTerm > last.term || m.LogTerm == last.term && m.Index >= last.index
}

func (c *Core) handlePreVote(m Message) {
	grant := m.Term > c.hard.Term && c.upToDate(m) && !c.hasRecentLeader()
	if !grant {
		c.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
		if c.role == PreCandidate && m.Term == c.hard.Term+1 {
			c.electionAt = c.now // the sender has just become reachable, and its log is behind this one
		}
		return
	}
	c.send(Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term})
	c.deferElection(m.From)
}

// deferElection delays this member's own attempt after it granted a pre-vote to another member. Of two members that grant
// each other pre-votes, only the one with the lower identity continues; otherwise they could split the votes, and the next
// attempt would come a whole election timeout later.
func (c *Core) deferElection(other MemberID) {
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

func (c *Core) handlePreVoteResponse(m Message) {
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
func (c *Core) handleVote(m Message) {
	canVote := c.hard.Vote == "" && c.leader == "" || c.hard.Vote == m.From
	if !canVote || !c.upToDate(m) {
		c.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	c.hard.Vote = m.From
	c.resetElectionTimer()
	c.send(Message{Kind: MsgVoteResponse, To: m.From})
}

func (c *Core) handleVoteResponse(m Message) {
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
	c.readRound = 0
	c.heartbeatAt = c.now.Add(c.cfg.Heartbeat)
	c.quorumCheckAt = c.now.Add(c.cfg.Election)
	c.termStart = c.log.last() + 1
	c.appendEntry(Entry{Kind: EntryNoOp})
	c.updatePeers()
	c.replicateAll()
}

// handleTimeoutNow starts an election at the request of the leader.
func (c *Core) handleTimeoutNow() {
	if c.role == Leader || !c.electable() {
		return
	}
	c.startElection(true)
}
