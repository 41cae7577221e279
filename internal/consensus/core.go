package consensus

import (
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Core is the consensus state machine of one member of one log. Its inputs are messages, ticks, proposals and the current
// time; TakeOutput returns its outputs. It is not safe for concurrent use.
//
// Times are compared only with earlier times passed to the same Core, so the clocks of members may differ.
type Core struct {
	cfg    Config
	random *rand.Rand
	now    time.Time
	log    *memLog

	hard          HardState // Commit is filled in only for outputs
	hardSubmitted HardState // last hard state passed to the adapter for storage
	role          Role
	leader        MemberID

	electionAt    time.Time // when a member that is not the leader starts a pre-vote
	leaderContact time.Time // last message from the leader of this term
	votes         map[MemberID]bool

	// Leader state.
	peers            map[MemberID]*progress
	heartbeatAt      time.Time
	quorumCheckAt    time.Time // next check that a quorum of members is active
	termStart        uint64    // index of the no-op entry appended at the start of the term
	transferTarget   MemberID
	transferDeadline time.Time
	readRound        uint64 // last heartbeat round that was broadcast to confirm reads
	roundRequested   bool   // reads wait for the next heartbeat round
	reads            []pendingRead

	incoming *incomingSnapshot
	sequence uint64
	unsynced []unsyncedOutput
	out      Output
}

// unsyncedOutput is an output whose sync the adapter has not reported yet.
type unsyncedOutput struct {
	sequence  uint64
	lastEntry uint64 // last entry that the output or an earlier one stores
	voteTerm  uint64 // term in which the output stores this member's vote for itself; 0 if it stores none
	since     time.Time
}

// Output lists the work for the adapter. It stores Hard, Install, Entries and Compact in this order. It may send the
// messages in SendNow at once, but those in SendAfterSync only after it has synced this and all earlier outputs, which it
// then reports with Persisted(Sequence).
type Output struct {
	Sequence      uint64
	Hard          *HardState
	Install       *Snapshot // received snapshot that replaces the stored log and the state of the state machine
	Entries       []Entry
	Compact       *Compaction
	SendNow       []Message
	SendAfterSync []Message
	Apply         []Entry // committed entries to apply; the adapter reports them with Applied
	Reads         []ReadResult
}

// Compaction is a snapshot to store and the first entry to keep.
type Compaction struct {
	Snapshot  Snapshot
	FirstKept uint64
}

// NeedsSync reports whether the output contains anything to store or to send after storage.
func (o Output) NeedsSync() bool {
	return o.Hard != nil || o.Install != nil || len(o.Entries) > 0 || o.Compact != nil || len(o.SendAfterSync) > 0
}

// Status is a summary of a member's state.
type Status struct {
	ID         MemberID
	Role       Role
	Term       uint64
	Leader     MemberID
	Commit     uint64
	Applied    uint64
	Last       uint64
	Snapshot   uint64 // index of the last snapshot
	Membership Membership
	Progress   []MemberProgress // set only on a leader, in the order of the membership
}

// MemberProgress is the replication progress of another member, as the leader knows it.
type MemberProgress struct {
	ID     MemberID
	Match  uint64 // last entry known to be stored by the member
	Active bool   // a response arrived within the election timeout
	// CaughtUp is set if the member has confirmed entries and lags by no more than a new voter may.
	CaughtUp bool
}

// New returns a follower that continues from the stored state.
func New(cfg Config, state State, now time.Time) (*Core, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newMemLog(state)
	if err != nil {
		return nil, err
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(cfg.ID))
	c := &Core{
		cfg:           cfg,
		random:        rand.New(rand.NewPCG(cfg.Seed, hash.Sum64())),
		now:           now,
		log:           log,
		hard:          HardState{Term: state.Hard.Term, Vote: state.Hard.Vote},
		hardSubmitted: HardState{Term: state.Hard.Term, Vote: state.Hard.Vote},
	}
	c.hard.Term = max(c.hard.Term, state.Snapshot.Term)
	c.scheduleFirstElection()
	return c, nil
}

// advanceClock sets the current time, which never decreases.
func (c *Core) advanceClock(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// Tick sets the current time and runs the timers that have expired. Call it several times per heartbeat interval.
func (c *Core) Tick(now time.Time) {
	c.advanceClock(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.leader != "" && !c.hasRecentLeader() {
		c.leader = ""
	}
	if c.now.Before(c.electionAt) {
		return
	}
	if !c.electable() {
		c.resetElectionTimer()
		return
	}
	c.startPreVote()
}

// Step processes a received message. Messages to another identity are ignored.
func (c *Core) Step(now time.Time, m Message) {
	c.advanceClock(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID {
		return
	}
	switch m.Kind {
	case MsgRead:
		c.handleRead(m)
		return
	case MsgReadResponse:
		c.handleReadResponse(m)
		return
	}
	if m.Term > c.hard.Term && !c.acceptTerm(m) {
		return
	}
	if m.Term < c.hard.Term {
		c.rejectStaleTerm(m)
		return
	}
	c.dispatch(m)
}

// acceptTerm handles the term of a message with a later term, and reports whether Step processes the message further.
func (c *Core) acceptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		if !m.Transfer && c.hasRecentLeader() {
			return false
		}
		if m.Kind == MsgPreVote {
			c.handlePreVote(m)
			return false
		}
	case MsgPreVoteResponse:
		if !m.Reject {
			c.handlePreVoteResponse(m)
			return false
		}
	case MsgAppendResponse, MsgHeartbeatResponse, MsgSnapshotResponse:
		// A removed member must not depose the leader with a term that it reached on its own.
		if _, ok := c.membership().Find(m.From); !ok {
			return false
		}
	}
	leader := MemberID("")
	if m.fromLeader() {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// rejectStaleTerm answers a message of an earlier term with the current term, so that a deposed leader steps down, and so
// that a leader learns of a member whose term is higher than its own.
func (c *Core) rejectStaleTerm(m Message) {
	switch {
	case m.fromLeader():
		c.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: c.log.commit})
	case m.Kind == MsgPreVote:
		c.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
	case m.Kind == MsgVote:
		c.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
	}
}

func (c *Core) dispatch(m Message) {
	if m.fromLeader() {
		c.handleLeaderMessage(m)
		return
	}
	switch m.Kind {
	case MsgPreVote:
		c.handlePreVote(m)
	case MsgPreVoteResponse:
		c.handlePreVoteResponse(m)
	case MsgVote:
		c.handleVote(m)
	case MsgVoteResponse:
		c.handleVoteResponse(m)
	case MsgAppendResponse:
		c.handleAppendResponse(m)
	case MsgHeartbeatResponse:
		c.handleHeartbeatResponse(m)
	case MsgSnapshotResponse:
		c.handleSnapshotResponse(m)
	case MsgTimeoutNow:
		c.handleTimeoutNow()
	}
}

func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	if m.afterSync() {
		c.out.SendAfterSync = append(c.out.SendAfterSync, m)
		return
	}
	c.out.SendNow = append(c.out.SendNow, m)
}

func (c *Core) membership() Membership { return c.log.config().membership }

func (c *Core) becomeFollower(term uint64, leader MemberID) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
	}
	if c.role == Leader {
		c.clearLeaderState()
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.resetElectionTimer()
}

// clearLeaderState discards the state that only a leader keeps and fails its pending reads.
func (c *Core) clearLeaderState() {
	c.peers = nil
	c.transferTarget = ""
	for _, r := range c.reads {
		c.answerRead(r, 0, false)
	}
	c.reads = nil
}

// scheduleFirstElection schedules the first pre-vote after a start. It is immediate: this member may complete a majority
// that waits for it, and if there is a leader, the members in contact with it refuse pre-votes.
func (c *Core) scheduleFirstElection() { c.electionAt = c.now }

// jitter returns a random duration below two heartbeat intervals. It spreads the attempts of members that start together.
func (c *Core) jitter() time.Duration {
	return time.Duration(c.random.Int64N(2 * int64(c.cfg.Heartbeat)))
}

func (c *Core) resetElectionTimer() {
	spread := time.Duration(c.random.Int64N(int64(c.cfg.Election)))
	c.electionAt = c.now.Add(c.cfg.Election + spread)
}

// hasRecentLeader reports whether this member is the leader or had contact with it within the election timeout. It then
// takes part in no election, so a partitioned member cannot depose a working leader.
func (c *Core) hasRecentLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.now.Sub(c.leaderContact) < c.cfg.Election
}

// TakeOutput returns the work that has accumulated since the last call. Apply is empty until the adapter has reported the
// previous entries with Applied.
func (c *Core) TakeOutput() Output {
	c.startReadRound()
	o := c.out
	c.out = Output{}
	changed, appended := c.hard != c.hardSubmitted, c.log.submitted < c.log.last()
	if changed || appended {
		c.hardSubmitted = c.hard
		hard := c.hard
		hard.Commit = c.log.commit
		o.Hard = &hard
	}
	if appended {
		o.Entries = c.log.slice(c.log.submitted+1, c.log.last(), int(^uint(0)>>1))
		c.log.submitted = c.log.last()
	}
	if c.log.applying == c.log.applied {
		o.Apply = c.log.slice(c.log.applied+1, min(c.log.commit, c.log.stable), c.cfg.MaxApplyBytes)
		c.log.applying += uint64(len(o.Apply))
	}
	if !o.NeedsSync() {
		return o
	}
	c.sequence++
	o.Sequence = c.sequence
	u := unsyncedOutput{sequence: o.Sequence, lastEntry: c.log.submitted, since: c.now}
	if changed && o.Hard.Vote == c.cfg.ID {
		u.voteTerm = o.Hard.Term
	}
	c.unsynced = append(c.unsynced, u)
	return o
}

// Persisted reports that the output with the given sequence and all earlier ones are synced.
func (c *Core) Persisted(now time.Time, sequence uint64) {
	c.advanceClock(now)
	n := sort.Search(len(c.unsynced), func(i int) bool { return c.unsynced[i].sequence > sequence })
	done := c.unsynced[:n]
	c.unsynced = c.unsynced[n:]
	for _, u := range done {
		c.log.stable = max(c.log.stable, u.lastEntry)
		if u.voteTerm == c.hard.Term && c.role == Candidate {
			c.recordVote(c.cfg.ID, true)
		}
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// truncateLog removes the entries from index first on. A later sync report of an output with these entries does not count
// for them: the same entries may be received again and are then stored again.
func (c *Core) truncateLog(first uint64) {
	c.log.truncate(first)
	for i := range c.unsynced {
		c.unsynced[i].lastEntry = min(c.unsynced[i].lastEntry, first-1)
	}
}

// Applied reports that the state machine has applied the entries up to index.
func (c *Core) Applied(index uint64) {
	if index > c.log.applying {
		return
	}
	c.log.applied = max(c.log.applied, index)
}

// Compact records a snapshot of the state machine after the entry at index, which must have been applied.
func (c *Core) Compact(index uint64, data []byte) error {
	if index <= c.log.snapshot.Index {
		return result.Errorf(result.Internal, "snapshot at %d is not after the one at %d", index, c.log.snapshot.Index)
	}
	term, ok := c.log.term(index)
	if !ok || index > c.log.applied {
		return result.Errorf(result.Internal, "no applied entry %d for a snapshot", index)
	}
	s := Snapshot{Index: index, Term: term, Time: c.log.timeAt(index), Membership: c.log.configAt(index), Data: data}
	firstKept := c.log.base.index + 1
	if index+1 > firstKept+c.cfg.RetainEntries {
		firstKept = index + 1 - c.cfg.RetainEntries
	}
	c.log.compact(s, firstKept)
	c.out.Compact = &Compaction{Snapshot: s, FirstKept: firstKept}
	return nil
}

// Status returns a summary of the member's state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Role: c.role, Term: c.hard.Term, Leader: c.leader,
		Commit: c.log.commit, Applied: c.log.applied, Last: c.log.last(), Snapshot: c.log.snapshot.Index,
		Membership: c.membership(),
	}
	if c.role != Leader {
		return s
	}
	for _, m := range s.Membership.Members {
		if m.ID == c.cfg.ID {
			continue
		}
		s.Progress = append(s.Progress, MemberProgress{ID: m.ID, Match: c.peer(m.ID).match, Active: c.active(m.ID), CaughtUp: c.caughtUp(m.ID)})
	}
	return s
}

// Member returns a member of the current membership by identity.
func (c *Core) Member(id MemberID) (Member, bool) { return c.membership().Find(id) }
