package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"
)

// testConfig is the configuration of the members in tests. Its limits are small, so that short logs reach them.
var testConfig = Config{
	Seed: 7, Heartbeat: 10 * time.Millisecond, Election: 50 * time.Millisecond, Retransmit: 30 * time.Millisecond,
	MaxMessageBytes: 200, MaxInflightBytes: 400, MaxInflight: 3, MaxCommandBytes: 64, MaxApplyBytes: 200, RetainEntries: 3,
}

// testMember is a member with a simulated disk. A crash loses the outputs that are not synced.
type testMember struct {
	id          MemberID
	core        *Core // nil while it is down
	disk        State
	unsynced    []Output
	diskBlocked bool   // the disk completes no sync
	state       uint64 // hash of all applied commands
	applied     uint64 // last applied entry
	time        int64
	starts      uint64
	clockRate   time.Duration // speed of the member's clock in parts per thousand of real time
	clock       time.Time
}

// testGroup simulates a group of members and the network between them, and checks the invariants in every step.
type testGroup struct {
	now      time.Time
	members  map[MemberID]*testMember
	ids      []MemberID
	messages []Message
	blocked  map[[2]MemberID]bool // one-way links, from and to, that lose all messages

	leaderOfTerm map[uint64]MemberID // leader of each term
	committed    map[uint64]Entry    // entries by index, as first applied by any member
	stateAt      map[uint64]uint64   // state hash after each index
	maxCommit    uint64              // highest commit index of any member
	minReadIndex map[ReadID]uint64   // maxCommit when the read began
	reads        map[ReadID]ReadResult
	failures     []string
}

func newGroup(n int) *testGroup {
	g := &testGroup{
		now: time.Unix(1_000_000, 0), members: map[MemberID]*testMember{}, blocked: map[[2]MemberID]bool{},
		leaderOfTerm: map[uint64]MemberID{}, committed: map[uint64]Entry{}, stateAt: map[uint64]uint64{},
		minReadIndex: map[ReadID]uint64{}, reads: map[ReadID]ReadResult{},
	}
	var members []Member
	for i := range n {
		members = append(members, Member{ID: MemberID(fmt.Sprintf("m%d", i+1)), Name: fmt.Sprintf("m%d", i+1)})
	}
	for _, m := range members {
		g.add(m.ID).disk.Snapshot = Bootstrap(members)
		g.start(m.ID)
	}
	return g
}

func (g *testGroup) fail(format string, args ...any) {
	g.failures = append(g.failures, fmt.Sprintf(format, args...))
}

// add creates a blank member that is not running.
func (g *testGroup) add(id MemberID) *testMember {
	p := &testMember{id: id, clockRate: 1000, clock: g.now}
	g.members[id] = p
	g.ids = append(g.ids, id)
	return p
}

func (g *testGroup) start(id MemberID) {
	p := g.members[id]
	if p.core != nil {
		return
	}
	p.starts++
	cfg := testConfig
	cfg.ID, cfg.Incarnation = id, p.starts
	disk := p.disk
	disk.Entries = append([]Entry(nil), disk.Entries...)
	core, err := New(cfg, disk, p.clock)
	if err != nil {
		g.fail("start %s: %v", id, err)
		return
	}
	p.core = core
	p.restore(disk.Snapshot)
}

// crash stops a member. The first kept of its unsynced outputs still reach the disk.
func (g *testGroup) crash(id MemberID, kept int) {
	p := g.members[id]
	if p.core == nil {
		return
	}
	for _, o := range p.unsynced[:min(kept, len(p.unsynced))] {
		p.write(o)
	}
	p.core, p.unsynced = nil, nil
}

func (p *testMember) restore(s Snapshot) {
	p.applied, p.time, p.state = s.Index, s.Time, 0
	if len(s.Data) >= 8 {
		p.state = binary.BigEndian.Uint64(s.Data)
	}
}

// write stores an output, as a Store does.
func (p *testMember) write(o Output) {
	if o.Hard != nil {
		p.disk.Hard = *o.Hard
	}
	if o.Install != nil {
		p.disk.Snapshot, p.disk.Entries = *o.Install, nil
	}
	if len(o.Entries) > 0 {
		for n := len(p.disk.Entries); n > 0 && p.disk.Entries[n-1].Index >= o.Entries[0].Index; n-- {
			p.disk.Entries = p.disk.Entries[:n-1]
		}
		p.disk.Entries = append(p.disk.Entries[:len(p.disk.Entries):len(p.disk.Entries)], o.Entries...)
	}
	if o.Compact != nil {
		p.disk.Snapshot = o.Compact.Snapshot
		for len(p.disk.Entries) > 0 && p.disk.Entries[0].Index < o.Compact.FirstKept {
			p.disk.Entries = p.disk.Entries[1:]
		}
	}
}

// sync stores the oldest unsynced output of a member and reports it to the member.
func (g *testGroup) sync(id MemberID) {
	p := g.members[id]
	if p.core == nil || len(p.unsynced) == 0 {
		return
	}
	o := p.unsynced[0]
	p.unsynced = p.unsynced[1:]
	p.write(o)
	g.messages = append(g.messages, o.SendAfterSync...)
	p.core.Persisted(p.clock, o.Sequence)
	g.collect(id)
}

// collect processes the outputs of a member and checks the invariants.
func (g *testGroup) collect(id MemberID) {
	p := g.members[id]
	if p.core == nil {
		return
	}
	for {
		o := p.core.TakeOutput()
		g.messages = append(g.messages, o.SendNow...)
		for _, m := range o.SendNow {
			if m.Size() > testConfig.MaxMessageBytes+messageOverhead+memberOverhead*8 {
				g.fail("message of %d bytes from %s", m.Size(), id)
			}
		}
		if o.NeedsSync() {
			p.unsynced = append(p.unsynced, o)
		}
		if o.Install != nil {
			g.checkInstall(p, *o.Install)
		}
		for _, e := range o.Apply {
			g.apply(p, e)
		}
		if o.Install != nil || len(o.Apply) > 0 {
			p.core.Applied(p.applied)
		}
		for _, r := range o.Reads {
			g.checkRead(r)
		}
		if !o.NeedsSync() && len(o.SendNow) == 0 && len(o.Apply) == 0 {
			break
		}
	}
	s := p.core.Status()
	g.maxCommit = max(g.maxCommit, s.Commit)
	if s.Role != Leader {
		return
	}
	if other, ok := g.leaderOfTerm[s.Term]; ok && other != id {
		g.fail("term %d has leaders %s and %s", s.Term, other, id)
	}
	g.leaderOfTerm[s.Term] = id
}

func (g *testGroup) apply(p *testMember, e Entry) {
	if e.Index != p.applied+1 || e.Time < p.time {
		g.fail("%s applies %d at %d after %d at %d", p.id, e.Index, e.Time, p.applied, p.time)
	}
	if first, ok := g.committed[e.Index]; ok && (first.Term != e.Term || string(first.Command) != string(e.Command)) {
		g.fail("entry %d differs: term %d on %s, term %d before", e.Index, e.Term, p.id, first.Term)
	}
	g.committed[e.Index] = e
	hash := fnv.New64a()
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, p.state))
	_, _ = hash.Write(e.Command)
	p.applied, p.time, p.state = e.Index, e.Time, hash.Sum64()
	if state, ok := g.stateAt[e.Index]; ok && state != p.state {
		g.fail("state after %d differs on %s", e.Index, p.id)
	}
	g.stateAt[e.Index] = p.state
}

func (g *testGroup) checkInstall(p *testMember, s Snapshot) {
	if s.Index < p.applied {
		g.fail("%s goes back from %d to snapshot %d", p.id, p.applied, s.Index)
	}
	p.restore(s)
	if state, ok := g.stateAt[s.Index]; ok && state != p.state {
		g.fail("snapshot %d differs on %s", s.Index, p.id)
	}
}

func (g *testGroup) checkRead(r ReadResult) {
	if _, seen := g.reads[r.ID]; !seen || r.OK {
		g.reads[r.ID] = r
	}
	if r.OK && r.Index < g.minReadIndex[r.ID] {
		g.fail("read %v at %d is older than %d", r.ID, r.Index, g.minReadIndex[r.ID])
	}
}

// read starts a read on a member and returns its id.
func (g *testGroup) read(id MemberID) ReadID {
	p := g.members[id]
	if p.core == nil {
		return ReadID{}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	// Members share incarnation numbers in this test, so the sequence number distinguishes their reads.
	r := ReadID{Incarnation: p.starts, Sequence: hash.Sum64() + uint64(len(g.minReadIndex))}
	g.minReadIndex[r] = g.maxCommit
	p.core.Read(p.clock, r)
	g.collect(id)
	return r
}

func (g *testGroup) propose(id MemberID, command string) error {
	p := g.members[id]
	if p.core == nil {
		return nil
	}
	_, _, err := p.core.Propose(p.clock, [][]byte{[]byte(command)})
	g.collect(id)
	return err
}

func (g *testGroup) change(id MemberID, c Change) error {
	p := g.members[id]
	_, _, err := p.core.ChangeMember(p.clock, c)
	g.collect(id)
	return err
}

// compact takes a snapshot on a member.
func (g *testGroup) compact(id MemberID) {
	p := g.members[id]
	if p.core == nil || p.applied <= p.core.Status().Snapshot {
		return
	}
	// The padding makes the snapshot larger than one chunk.
	data := append(binary.BigEndian.AppendUint64(nil, p.state), make([]byte, 500)...)
	if err := p.core.Compact(p.applied, data); err != nil {
		g.fail("compact %s: %v", id, err)
	}
	g.collect(id)
}

// deliver removes message i from the network and delivers it unless its link is blocked or its receiver is down.
func (g *testGroup) deliver(i int) {
	m := g.messages[i]
	g.messages = append(g.messages[:i:i], g.messages[i+1:]...)
	g.step(m)
}

func (g *testGroup) step(m Message) {
	p := g.members[m.To]
	if p == nil || p.core == nil || g.blocked[[2]MemberID{m.From, m.To}] {
		return
	}
	p.core.Step(p.clock, m)
	g.collect(m.To)
}

// tick advances the clocks of all members by d, scaled by each clock's rate.
func (g *testGroup) tick(d time.Duration) {
	g.now = g.now.Add(d)
	for _, id := range g.ids {
		p := g.members[id]
		p.clock = p.clock.Add(d * p.clockRate / 1000)
		if p.core != nil {
			p.core.Tick(p.clock)
			g.collect(id)
		}
	}
}

// run advances time by d while disks and unblocked links work.
func (g *testGroup) run(d time.Duration) {
	const step = 5 * time.Millisecond
	for ; d > 0; d -= step {
		g.tick(step)
		g.exchange()
	}
}

// exchange delivers messages and syncs outputs until none are left. The limit of iterations ends an endless exchange.
func (g *testGroup) exchange() {
	for range 2000 {
		for _, id := range g.ids {
			for len(g.members[id].unsynced) > 0 && !g.members[id].diskBlocked {
				g.sync(id)
			}
		}
		if len(g.messages) == 0 {
			return
		}
		g.deliver(0)
	}
	g.fail("messages are still exchanged after 2000 deliveries")
	g.messages = nil
}

// isolate blocks or restores all links of a member, separately for each direction.
func (g *testGroup) isolate(id MemberID, out, in bool) {
	for _, other := range g.ids {
		g.blocked[[2]MemberID{id, other}] = out
		g.blocked[[2]MemberID{other, id}] = in
	}
}

// leader returns the running leader of the highest term, or "".
func (g *testGroup) leader() MemberID {
	var best MemberID
	var term uint64
	for _, id := range g.ids {
		if p := g.members[id]; p.core != nil && p.core.role == Leader && p.core.hard.Term > term {
			best, term = id, p.core.hard.Term
		}
	}
	return best
}

// settle restores all links and runs until a leader has committed an entry of its term.
func (g *testGroup) settle() MemberID {
	g.blocked = map[[2]MemberID]bool{}
	for range 40 {
		g.run(50 * time.Millisecond)
		if id := g.leader(); id != "" && g.members[id].core.termCommitted() {
			return id
		}
	}
	g.fail("no leader")
	return ""
}
