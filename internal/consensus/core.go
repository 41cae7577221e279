package consensus

import (
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Core is the state machine of one member of one log. Its inputs are messages, ticks, proposals and the current time;
// its outputs are collected by TakeOutput. It is not safe for concurrent use.
//
// Times are only compared with earlier times given to the same Core, so the clocks of members may differ.
type Core struct {
	cfg    Config
	random *rand.Rand
	now    time.Time
	log    *memLog

	hard     HardState // Commit is set only in outputs
	hardSent HardState // last hard state handed out for storage
	role     Role
	leader   MemberID

	electionAt  time.Time // when a non-leader starts an election
	leaderHeard time.Time // last message from the leader of this term
	votes       map[MemberID]bool

	// Leader state.
	peers        map[MemberID]*progress
	heartbeatAt  time.Time
	quorumAt     time.Time // next check that a quorum was heard
	firstOfTerm  uint64    // index of the entry appended at the start of the term
	transferTo   MemberID
	transferTill time.Time
	round        uint64 // last read round that was broadcast
	roundWanted  bool   // reads wait for the next round
	reads        []pendingRead

	incoming *incomingSnapshot
	sequence uint64
	unsynced []unsyncedOutput
	out      Output
}

// unsyncedOutput is an output that was handed out and whose sync was not yet reported.
type unsyncedOutput struct {
	sequence uint64
	last     uint64 // last entry in it
	voteTerm uint64 // term in which it stores a vote for this member itself; 0 for none
	since    time.Time
}

// Output is what the adapter has to do. Storage is done in the order Hard, Install, Entries, Compact. Messages in Now
// may be sent at once; messages in AfterSync only when the storage of this and all earlier outputs is synced, which the
// adapter then reports with Persisted(Sequence).
type Output struct {
	Sequence  uint64
	Hard      *HardState
	Install   *Snapshot // replaces the stored log, and the state of the state machine
	Entries   []Entry
	Compact   *Compaction
	Now       []Message
	AfterSync []Message
	Apply     []Entry // committed entries; reported back with Applied
	Reads     []ReadResult
}

// Compaction is a snapshot to store and the first entry to keep.
type Compaction struct {
	Snapshot  Snapshot
	FirstKept uint64
}

// NeedsSync reports whether the output contains anything to store or to send after storage.
func (o Output) NeedsSync() bool {
	return o.Hard != nil || o.Install != nil || len(o.Entries) > 0 || o.Compact != nil || len(o.AfterSync) > 0
}

// Status describes a member.
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
	Progress   []MemberProgress // of a leader, in the order of the membership
}

// MemberProgress is a leader's view of another member.
type MemberProgress struct {
	ID     MemberID
	Match  uint64 // last entry known to be stored there
	Active bool   // heard within the election timeout
}

// New returns a follower with the stored state.
func New(cfg Config, state State, now time.Time) (*Core, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	log, err := newMemLog(state)
	if err != nil {
		return nil, err
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(cfg.ID))
	c := &Core{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, hash.Sum64())),
		now:      now,
		log:      log,
		hard:     HardState{Term: state.Hard.Term, Vote: state.Hard.Vote},
		hardSent: HardState{Term: state.Hard.Term, Vote: state.Hard.Vote},
	}
	c.hard.Term = max(c.hard.Term, state.Snapshot.Term)
	c.firstElection()
	return c, nil
}

// advance moves the clock, which never goes back.
func (c *Core) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// Tick reports the time. It is to be called several times per heartbeat interval.
func (c *Core) Tick(now time.Time) {
	c.advance(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.leader != "" && !c.leaderRecent() {
		c.leader = ""
	}
	if c.now.Before(c.electionAt) {
		return
	}
	if !c.electable() {
		c.resetElection()
		return
	}
	c.startPreVote()
}

// Step delivers a message. Messages for another identity are ignored.
func (c *Core) Step(now time.Time, m Message) {
	c.advance(now)
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
		c.answerOldTerm(m)
		return
	}
	c.dispatch(m)
}

// acceptTerm handles a message of a later term and reports whether it is to be processed further.
func (c *Core) acceptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		if !m.Transfer && c.leaderRecent() {
			return false
		}
		if m.Kind == MsgPreVote {
			c.answerPreVote(m)
			return false
		}
	case MsgPreVoteResponse:
		if !m.Reject {
			c.countPreVote(m)
			return false
		}
	case MsgAppendResponse, MsgHeartbeatResponse, MsgSnapshotResponse:
		// A member that was removed must not depose a leader with the term it reached alone.
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

// answerOldTerm tells the sender of an earlier term about the present one, so that a deposed leader steps down and a
// member with a later term can return to the log.
func (c *Core) answerOldTerm(m Message) {
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
		c.followLeader(m)
		return
	}
	switch m.Kind {
	case MsgPreVote:
		c.answerPreVote(m)
	case MsgPreVoteResponse:
		c.countPreVote(m)
	case MsgVote:
		c.answerVote(m)
	case MsgVoteResponse:
		c.countVote(m)
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
		c.out.AfterSync = append(c.out.AfterSync, m)
		return
	}
	c.out.Now = append(c.out.Now, m)
}

func (c *Core) membership() Membership { return c.log.config().membership }

func (c *Core) becomeFollower(term uint64, leader MemberID) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
	}
	if c.role == Leader {
		c.dropLeadership()
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.resetElection()
}

// dropLeadership forgets the leader's state and fails its reads.
func (c *Core) dropLeadership() {
	c.peers = nil
	c.transferTo = ""
	for _, r := range c.reads {
		c.answerRead(r, 0, false)
	}
	c.reads = nil
}

// firstElection sets the first attempt after a start. It is immediate: this member may complete a majority that has waited
// for it, and where there is a leader it does no harm, since members that hear one refuse pre-votes.
func (c *Core) firstElection() { c.electionAt = c.now }

// jitter returns a random time of at most two heartbeats. It keeps members that start together apart.
func (c *Core) jitter() time.Duration {
	return time.Duration(c.random.Int64N(2 * int64(c.cfg.Heartbeat)))
}

func (c *Core) resetElection() {
	spread := time.Duration(c.random.Int64N(int64(c.cfg.Election)))
	c.electionAt = c.now.Add(c.cfg.Election + spread)
}

// leaderRecent reports whether this member is, or recently heard, a leader. It then takes part in no other election,
// so a member that was cut off cannot depose a working leader.
func (c *Core) leaderRecent() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.now.Sub(c.leaderHeard) < c.cfg.Election
}

// TakeOutput returns what is to be done since the last call. Apply is empty until the previous entries were reported
// with Applied.
func (c *Core) TakeOutput() Output {
	c.startRound()
	o := c.out
	c.out = Output{}
	changed, appended := c.hard != c.hardSent, c.log.handed < c.log.last()
	if changed || appended {
		c.hardSent = c.hard
		hard := c.hard
		hard.Commit = c.log.commit
		o.Hard = &hard
	}
	if appended {
		o.Entries = c.log.slice(c.log.handed+1, c.log.last(), int(^uint(0)>>1))
		c.log.handed = c.log.last()
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
	u := unsyncedOutput{sequence: o.Sequence, last: c.log.handed, since: c.now}
	if changed && o.Hard.Vote == c.cfg.ID {
		u.voteTerm = o.Hard.Term
	}
	c.unsynced = append(c.unsynced, u)
	return o
}

// Persisted reports that the storage of the output with the sequence, and of all earlier ones, is synced.
func (c *Core) Persisted(now time.Time, sequence uint64) {
	c.advance(now)
	n := sort.Search(len(c.unsynced), func(i int) bool { return c.unsynced[i].sequence > sequence })
	done := c.unsynced[:n]
	c.unsynced = c.unsynced[n:]
	for _, u := range done {
		c.log.stable = max(c.log.stable, u.last)
		if u.voteTerm == c.hard.Term && c.role == Candidate {
			c.recordVote(c.cfg.ID, true)
		}
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// truncateLog removes entries from index first on. Outputs that are being stored no longer count for them: the same
// entries may come back and are then stored again.
func (c *Core) truncateLog(first uint64) {
	c.log.truncate(first)
	for i := range c.unsynced {
		c.unsynced[i].last = min(c.unsynced[i].last, first-1)
	}
}

// Applied reports that the state machine has applied the entries up to index.
func (c *Core) Applied(index uint64) {
	if index > c.log.applying {
		return
	}
	c.log.applied = max(c.log.applied, index)
}

// Compact records a snapshot of the state after the entry at index, which was applied.
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

// Status returns a description of the member.
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
		s.Progress = append(s.Progress, MemberProgress{ID: m.ID, Match: c.peer(m.ID).match, Active: c.active(m.ID)})
	}
	return s
}

// Member returns a member of the membership in force.
func (c *Core) Member(id MemberID) (Member, bool) { return c.membership().Find(id) }
