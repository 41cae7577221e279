package consensus

import (
	"sort"
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
)

// inflightAppend is a message with entries that was sent and not yet acknowledged.
type inflightAppend struct {
	lastEntry uint64
	bytes     int
}

// progress is the replication state that a leader keeps for another member.
type progress struct {
	match         uint64 // last entry known to be stored by the member
	next          uint64 // next entry to send
	probing       bool   // the matching index is unknown, so only one message is sent at a time
	inflight      []inflightAppend
	inflightBytes int       // total size of inflight
	sentAt        time.Time // time of the last append, probe or snapshot chunk
	lastContact   time.Time
	sentCommit    uint64 // last commit index sent
	ackedRound    uint64 // last read round acknowledged
	outgoing      *outgoingSnapshot
}

func (p *progress) clearInflight() {
	p.inflight, p.inflightBytes = nil, 0
}

// acknowledge removes the in-flight messages whose entries end at or before index.
func (p *progress) acknowledge(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n].lastEntry <= index {
		p.inflightBytes -= p.inflight[n].bytes
		n++
	}
	p.inflight = p.inflight[n:]
}

// probe returns to sending one message at a time until the matching index is known.
func (p *progress) probe() {
	p.probing = true
	p.next = p.match + 1
	p.clearInflight()
}

func (c *Core) peer(id MemberID) *progress {
	p, ok := c.peers[id]
	if !ok {
		// A new peer counts as active, so that the leader does not lose its quorum before the peer can answer.
		p = &progress{next: c.log.last() + 1, probing: true, lastContact: c.now}
		c.peers[id] = p
	}
	return p
}

// updatePeers adds and removes progress entries to match the membership.
func (c *Core) updatePeers() {
	for id := range c.peers {
		if _, ok := c.membership().Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, m := range c.membership().Members {
		if m.ID != c.cfg.ID {
			c.peer(m.ID)
		}
	}
}

// active reports whether a response from the member arrived within the election timeout.
func (c *Core) active(id MemberID) bool {
	if id == c.cfg.ID {
		return true
	}
	p, ok := c.peers[id]
	return ok && c.now.Sub(p.lastContact) < c.cfg.Election
}

func (c *Core) tickLeader() {
	if !c.now.Before(c.quorumCheckAt) {
		c.quorumCheckAt = c.now.Add(c.cfg.Election)
		if !c.membership().hasQuorum(c.active) {
			c.becomeFollower(c.hard.Term, "")
			return
		}
	}
	if c.transferTarget != "" && !c.now.Before(c.transferDeadline) {
		c.transferTarget = ""
	}
	if c.transferTarget == "" && c.syncOverdue() {
		c.transferToBestVoter()
	}
	if !c.now.Before(c.heartbeatAt) {
		c.heartbeatAll()
	}
}

func (c *Core) heartbeatAll() {
	c.heartbeatAt = c.now.Add(c.cfg.Heartbeat)
	for _, m := range c.membership().Members {
		if m.ID != c.cfg.ID {
			c.sendHeartbeat(m.ID)
		}
	}
}

func (c *Core) sendHeartbeat(id MemberID) {
	p := c.peer(id)
	p.sentCommit = min(p.match, c.log.commit)
	c.send(Message{Kind: MsgHeartbeat, To: id, Commit: p.sentCommit, Round: c.readRound})
}

// Propose appends commands as consecutive entries. It returns the index of the first one and the term: an entry of another
// term at the same index is not the proposed one.
func (c *Core) Propose(now time.Time, commands [][]byte) (index, term uint64, err error) {
	c.advanceClock(now)
	if c.role != Leader || c.transferTarget != "" {
		return 0, 0, result.Errorf(result.NotLeader, "leader is %q", c.leader)
	}
	for _, command := range commands {
		if err := c.CheckCommand(command); err != nil {
			return 0, 0, err
		}
	}
	index = c.log.last() + 1
	for _, command := range commands {
		c.appendEntry(Entry{Kind: EntryCommand, Command: command})
	}
	c.replicateAll()
	return index, c.hard.Term, nil
}

// CheckCommand returns an error with code RequestTooLarge if the command exceeds the limit.
func (c *Core) CheckCommand(command []byte) error {
	if len(command) > c.cfg.MaxCommandBytes {
		return result.Errorf(result.RequestTooLarge, "command of %d bytes exceeds %d", len(command), c.cfg.MaxCommandBytes)
	}
	return nil
}

func (c *Core) appendEntry(e Entry) {
	e.Index = c.log.last() + 1
	e.Term = c.hard.Term
	e.Time = max(c.now.UnixNano(), c.log.lastTime())
	c.log.append(e)
}

func (c *Core) replicateAll() {
	for _, m := range c.membership().Members {
		if m.ID != c.cfg.ID {
			c.replicate(m.ID)
		}
	}
}

// replicate sends the entries that the member's in-flight window permits.
func (c *Core) replicate(id MemberID) {
	p := c.peer(id)
	if p.outgoing != nil {
		return
	}
	if p.next <= c.log.base.index {
		c.startSnapshot(id)
		return
	}
	if p.probing {
		if c.now.Sub(p.sentAt) >= c.cfg.Retransmit {
			c.sendAppend(id, p)
		}
		return
	}
	for p.next <= c.log.last() && p.inflightBytes < c.cfg.MaxInflightBytes && len(p.inflight) < c.cfg.MaxInflight {
		c.sendAppend(id, p)
	}
}

func (c *Core) sendAppend(id MemberID, p *progress) {
	previous := p.next - 1
	term, _ := c.log.term(previous)
	entries := c.log.slice(p.next, c.log.last(), c.cfg.MaxMessageBytes)
	m := Message{Kind: MsgAppend, To: id, Index: previous, LogTerm: term, Commit: c.log.commit, Entries: entries}
	p.sentAt = c.now
	p.sentCommit = min(c.log.commit, previous+uint64(len(entries)))
	if !p.probing {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, inflightAppend{lastEntry: p.next - 1, bytes: m.Size()})
		p.inflightBytes += m.Size()
	}
	c.send(m)
}

// recordContact notes the time of a response and returns the sender's progress, or nil if this member is not the leader
// or the sender is not a member.
func (c *Core) recordContact(m Message) *progress {
	if c.role != Leader {
		return nil
	}
	p := c.peers[m.From]
	if p != nil {
		p.lastContact = c.now
	}
	return p
}

func (c *Core) handleAppendResponse(m Message) {
	p := c.recordContact(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleReject(m, p)
		return
	}
	if m.Index > c.log.last() {
		return
	}
	if p.outgoing != nil && m.Index >= p.outgoing.snapshot.Index {
		p.outgoing = nil
	}
	if m.Index > p.match || p.probing && m.Index == p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		if p.probing {
			p.probing = false
			p.next = p.match + 1
		}
		c.advanceCommit()
	}
	if c.role != Leader {
		return // advanceCommit committed this member's own removal
	}
	p.acknowledge(m.Index)
	c.replicate(m.From)
	c.announceCommit(m.From, p)
	c.continueTransfer(m.From, p)
}

// handleReject probes at an earlier index. It ignores rejections of superseded messages.
func (c *Core) handleReject(m Message, p *progress) {
	if m.Index <= p.match || p.outgoing != nil {
		return
	}
	if p.probing && m.Index != p.next-1 {
		return
	}
	p.probe()
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	p.sentAt = time.Time{}
	c.replicate(m.From)
}

// handleHeartbeatResponse confirms read rounds and detects lost messages: a member that answers heartbeats but has not
// acknowledged entries within the retransmission time did not receive them.
func (c *Core) handleHeartbeatResponse(m Message) {
	p := c.recordContact(m)
	if p == nil {
		return
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	c.confirmReads()
	overdue := c.now.Sub(p.sentAt) >= c.cfg.Retransmit
	if p.outgoing != nil {
		if overdue {
			c.sendSnapshotChunk(m.From, p)
		}
		return
	}
	if overdue && len(p.inflight) > 0 {
		p.probe()
	}
	c.replicate(m.From)
}

// advanceCommit commits the entries that a quorum has stored. Entries of earlier terms are committed only together with
// an entry of the current term, because a later leader can still replace an earlier-term entry that a quorum stores.
func (c *Core) advanceCommit() {
	var stored []uint64 // last stored index of each voter
	for _, m := range c.membership().Members {
		switch {
		case m.Learner:
		case m.ID == c.cfg.ID:
			stored = append(stored, c.log.stable)
		default:
			stored = append(stored, c.peer(m.ID).match)
		}
	}
	if len(stored) == 0 {
		return
	}
	sort.Slice(stored, func(i, j int) bool { return stored[i] > stored[j] })
	index := stored[len(stored)/2]
	if index <= c.log.commit {
		return
	}
	if term, _ := c.log.term(index); term != c.hard.Term {
		return
	}
	c.log.commit = index
	c.confirmReads()
	for _, m := range c.membership().Members {
		if m.ID != c.cfg.ID {
			c.announceCommit(m.ID, c.peer(m.ID))
		}
	}
	c.stepDownIfRemoved()
}

// announceCommit sends the commit index to a member with no append in flight, so that it applies entries without waiting
// for the next append or periodic heartbeat.
func (c *Core) announceCommit(id MemberID, p *progress) {
	if len(p.inflight) == 0 && p.sentCommit < min(p.match, c.log.commit) {
		c.sendHeartbeat(id)
	}
}
