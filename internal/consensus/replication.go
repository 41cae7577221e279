package consensus

import (
	"sort"
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
)

// flight is a message with entries that was sent and not yet acknowledged.
type flight struct {
	last  uint64
	bytes int
}

// progress is a leader's view of another member.
type progress struct {
	match    uint64 // last entry known to be stored there
	next     uint64 // next entry to send
	probing  bool   // the point of agreement is not known: one message at a time
	flights  []flight
	bytes    int       // sum of flights
	sentAt   time.Time // last message with entries, probe or chunk
	heardAt  time.Time
	commit   uint64 // last commit index sent
	round    uint64 // last read round acknowledged
	transfer *outgoingSnapshot
}

func (p *progress) clearFlights() {
	p.flights, p.bytes = nil, 0
}

// acknowledge drops the flights up to index.
func (p *progress) acknowledge(index uint64) {
	n := 0
	for n < len(p.flights) && p.flights[n].last <= index {
		p.bytes -= p.flights[n].bytes
		n++
	}
	p.flights = p.flights[n:]
}

func (p *progress) probe() {
	p.probing = true
	p.next = p.match + 1
	p.clearFlights()
}

func (c *Core) peer(id MemberID) *progress {
	p, ok := c.peers[id]
	if !ok {
		// A new peer counts as heard, so that it does not lose the leader its quorum before it could answer.
		p = &progress{next: c.log.last() + 1, probing: true, heardAt: c.now}
		c.peers[id] = p
	}
	return p
}

// syncPeers creates and removes progress so that it fits the membership.
func (c *Core) syncPeers() {
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

// active reports whether a member was heard within the election timeout.
func (c *Core) active(id MemberID) bool {
	if id == c.cfg.ID {
		return true
	}
	p, ok := c.peers[id]
	return ok && c.now.Sub(p.heardAt) < c.cfg.Election
}

func (c *Core) tickLeader() {
	if !c.now.Before(c.quorumAt) {
		c.quorumAt = c.now.Add(c.cfg.Election)
		if !c.membership().hasQuorum(c.active) {
			c.becomeFollower(c.hard.Term, "")
			return
		}
	}
	if c.transferTo != "" && !c.now.Before(c.transferTill) {
		c.transferTo = ""
	}
	if c.transferTo == "" && c.diskStuck() {
		c.yield()
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
	p.commit = min(p.match, c.log.commit)
	c.send(Message{Kind: MsgHeartbeat, To: id, Commit: p.commit, Round: c.round})
}

// Propose appends commands. It returns the index of the first one; the others follow it. The term identifies them: an
// entry of another term at the same index is not the proposed one.
func (c *Core) Propose(now time.Time, commands [][]byte) (index, term uint64, err error) {
	c.advance(now)
	if c.role != Leader || c.transferTo != "" {
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

// replicate sends what the member's window permits.
func (c *Core) replicate(id MemberID) {
	p := c.peer(id)
	if p.transfer != nil {
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
	for p.next <= c.log.last() && p.bytes < c.cfg.MaxInflightBytes && len(p.flights) < c.cfg.MaxInflight {
		c.sendAppend(id, p)
	}
}

func (c *Core) sendAppend(id MemberID, p *progress) {
	previous := p.next - 1
	term, _ := c.log.term(previous)
	entries := c.log.slice(p.next, c.log.last(), c.cfg.MaxMessageBytes)
	m := Message{Kind: MsgAppend, To: id, Index: previous, LogTerm: term, Commit: c.log.commit, Entries: entries}
	p.sentAt = c.now
	p.commit = min(c.log.commit, previous+uint64(len(entries)))
	if !p.probing {
		p.next += uint64(len(entries))
		p.flights = append(p.flights, flight{last: p.next - 1, bytes: m.Size()})
		p.bytes += m.Size()
	}
	c.send(m)
}

// heard returns the progress of the sender of a response, or nil if this member does not lead it.
func (c *Core) heard(m Message) *progress {
	if c.role != Leader {
		return nil
	}
	p := c.peers[m.From]
	if p != nil {
		p.heardAt = c.now
	}
	return p
}

func (c *Core) handleAppendResponse(m Message) {
	p := c.heard(m)
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
	if p.transfer != nil && m.Index >= p.transfer.snapshot.Index {
		p.transfer = nil
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
		return // advanceCommit removed this member
	}
	p.acknowledge(m.Index)
	c.replicate(m.From)
	c.announceCommit(m.From, p)
	c.continueTransfer(m.From, p)
}

// handleReject moves back to an earlier point. Rejections of messages that were superseded are ignored.
func (c *Core) handleReject(m Message, p *progress) {
	if m.Index <= p.match || p.transfer != nil {
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

// handleHeartbeatResponse counts read rounds and notices lost messages: a member that answers heartbeats and has
// not acknowledged entries for the retransmission time did not receive them.
func (c *Core) handleHeartbeatResponse(m Message) {
	p := c.heard(m)
	if p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	c.confirmReads()
	overdue := c.now.Sub(p.sentAt) >= c.cfg.Retransmit
	if p.transfer != nil {
		if overdue {
			c.sendChunk(m.From, p)
		}
		return
	}
	if overdue && len(p.flights) > 0 {
		p.probe()
	}
	c.replicate(m.From)
}

// advanceCommit commits what a quorum has stored. Entries of earlier terms are committed only together with one of
// this term, because an entry of an earlier term on a quorum can still be replaced.
func (c *Core) advanceCommit() {
	var stored []uint64
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
	c.leaveIfRemoved()
}

// announceCommit tells a member that has nothing in flight about the commit index, so that it applies without waiting
// for the next entry or heartbeat.
func (c *Core) announceCommit(id MemberID, p *progress) {
	if len(p.flights) == 0 && p.commit < min(p.match, c.log.commit) {
		c.sendHeartbeat(id)
	}
}
