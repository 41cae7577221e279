package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"
)

// Settings of the members in tests. The bounds are small so that short logs exercise them.
var testConfig = Config{
	Seed: 7, Heartbeat: 10 * time.Millisecond, Election: 50 * time.Millisecond, Retransmit: 30 * time.Millisecond,
	MaxMessageBytes: 200, MaxInflightBytes: 400, MaxInflight: 3, MaxCommandBytes: 64, MaxApplyBytes: 200, RetainEntries: 3,
}

// peerState is a member with its disk. Outputs that were not yet stored are lost in a crash.
type peerState struct {
	id       MemberID
	core     *Core // nil while it is down
	disk     State
	unsynced []Output
	stuck    bool   // its disk does not answer
	state    uint64 // hash over all applied commands
	index    uint64 // last applied entry
	time     int64
	starts   uint64
	rate     time.Duration // parts per thousand of real time at which its clock runs
	clock    time.Time
}

// group holds members, the messages between them, and what must hold for all schedules.
type group struct {
	now      time.Time
	peers    map[MemberID]*peerState
	order    []MemberID
	messages []Message
	cut      map[[2]MemberID]bool // one-way links that lose messages

	leaders   map[uint64]MemberID // by term
	committed map[uint64]Entry    // as first applied
	states    map[uint64]uint64   // state after an index
	newest    uint64              // greatest commit index of any member
	floors    map[ReadID]uint64   // newest when the read began
	reads     map[ReadID]ReadResult
	failures  []string
}

func newGroup(n int) *group {
	g := &group{
		now: time.Unix(1_000_000, 0), peers: map[MemberID]*peerState{}, cut: map[[2]MemberID]bool{},
		leaders: map[uint64]MemberID{}, committed: map[uint64]Entry{}, states: map[uint64]uint64{},
		floors: map[ReadID]uint64{}, reads: map[ReadID]ReadResult{},
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

func (g *group) fail(format string, args ...any) {
	g.failures = append(g.failures, fmt.Sprintf(format, args...))
}

// add creates a blank member that is down.
func (g *group) add(id MemberID) *peerState {
	p := &peerState{id: id, rate: 1000, clock: g.now}
	g.peers[id] = p
	g.order = append(g.order, id)
	return p
}

func (g *group) start(id MemberID) {
	p := g.peers[id]
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

// crash stops a member. The first kept of its unsynced outputs reached the disk all the same.
func (g *group) crash(id MemberID, kept int) {
	p := g.peers[id]
	if p.core == nil {
		return
	}
	for _, o := range p.unsynced[:min(kept, len(p.unsynced))] {
		p.write(o)
	}
	p.core, p.unsynced = nil, nil
}

func (p *peerState) restore(s Snapshot) {
	p.index, p.time, p.state = s.Index, s.Time, 0
	if len(s.Data) >= 8 {
		p.state = binary.BigEndian.Uint64(s.Data)
	}
}

// write stores an output, as a Store does.
func (p *peerState) write(o Output) {
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

// sync stores the oldest unsynced output.
func (g *group) sync(id MemberID) {
	p := g.peers[id]
	if p.core == nil || len(p.unsynced) == 0 {
		return
	}
	o := p.unsynced[0]
	p.unsynced = p.unsynced[1:]
	p.write(o)
	g.messages = append(g.messages, o.AfterSync...)
	p.core.Persisted(p.clock, o.Sequence)
	g.collect(id)
}

// collect takes the outputs of a member and checks the invariants.
func (g *group) collect(id MemberID) {
	p := g.peers[id]
	if p.core == nil {
		return
	}
	for {
		o := p.core.TakeOutput()
		g.messages = append(g.messages, o.Now...)
		for _, m := range o.Now {
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
			p.core.Applied(p.index)
		}
		for _, r := range o.Reads {
			g.checkRead(r)
		}
		if !o.NeedsSync() && len(o.Now) == 0 && len(o.Apply) == 0 {
			break
		}
	}
	s := p.core.Status()
	g.newest = max(g.newest, s.Commit)
	if s.Role != Leader {
		return
	}
	if other, ok := g.leaders[s.Term]; ok && other != id {
		g.fail("term %d has leaders %s and %s", s.Term, other, id)
	}
	g.leaders[s.Term] = id
}

func (g *group) apply(p *peerState, e Entry) {
	if e.Index != p.index+1 || e.Time < p.time {
		g.fail("%s applies %d at %d after %d at %d", p.id, e.Index, e.Time, p.index, p.time)
	}
	if first, ok := g.committed[e.Index]; ok && (first.Term != e.Term || string(first.Command) != string(e.Command)) {
		g.fail("entry %d differs: term %d on %s, term %d before", e.Index, e.Term, p.id, first.Term)
	}
	g.committed[e.Index] = e
	hash := fnv.New64a()
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, p.state))
	_, _ = hash.Write(e.Command)
	p.index, p.time, p.state = e.Index, e.Time, hash.Sum64()
	if state, ok := g.states[e.Index]; ok && state != p.state {
		g.fail("state after %d differs on %s", e.Index, p.id)
	}
	g.states[e.Index] = p.state
}

func (g *group) checkInstall(p *peerState, s Snapshot) {
	if s.Index < p.index {
		g.fail("%s goes back from %d to snapshot %d", p.id, p.index, s.Index)
	}
	p.restore(s)
	if state, ok := g.states[s.Index]; ok && state != p.state {
		g.fail("snapshot %d differs on %s", s.Index, p.id)
	}
}

func (g *group) checkRead(r ReadResult) {
	if _, seen := g.reads[r.ID]; !seen || r.OK {
		g.reads[r.ID] = r
	}
	if r.OK && r.Index < g.floors[r.ID] {
		g.fail("read %v at %d is older than %d", r.ID, r.Index, g.floors[r.ID])
	}
}

// read starts a read on a member and returns its id.
func (g *group) read(id MemberID) ReadID {
	p := g.peers[id]
	if p.core == nil {
		return ReadID{}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	// Incarnations repeat between members in this test, so the sequence tells the members apart.
	r := ReadID{Incarnation: p.starts, Sequence: hash.Sum64() + uint64(len(g.floors))}
	g.floors[r] = g.newest
	p.core.Read(p.clock, r)
	g.collect(id)
	return r
}

func (g *group) propose(id MemberID, command string) error {
	p := g.peers[id]
	if p.core == nil {
		return nil
	}
	_, _, err := p.core.Propose(p.clock, [][]byte{[]byte(command)})
	g.collect(id)
	return err
}

func (g *group) change(id MemberID, c Change) error {
	p := g.peers[id]
	_, _, err := p.core.ChangeMember(p.clock, c)
	g.collect(id)
	return err
}

// compact takes a snapshot on a member.
func (g *group) compact(id MemberID) {
	p := g.peers[id]
	if p.core == nil || p.index <= p.core.Status().Snapshot {
		return
	}
	// The padding makes the snapshot travel in several chunks.
	data := append(binary.BigEndian.AppendUint64(nil, p.state), make([]byte, 500)...)
	if err := p.core.Compact(p.index, data); err != nil {
		g.fail("compact %s: %v", id, err)
	}
	g.collect(id)
}

// deliver takes message i off the wire and delivers it unless its link is cut or its receiver down.
func (g *group) deliver(i int) {
	m := g.messages[i]
	g.messages = append(g.messages[:i:i], g.messages[i+1:]...)
	g.step(m)
}

func (g *group) step(m Message) {
	p := g.peers[m.To]
	if p == nil || p.core == nil || g.cut[[2]MemberID{m.From, m.To}] {
		return
	}
	p.core.Step(p.clock, m)
	g.collect(m.To)
}

// tick advances all clocks.
func (g *group) tick(d time.Duration) {
	g.now = g.now.Add(d)
	for _, id := range g.order {
		p := g.peers[id]
		p.clock = p.clock.Add(d * p.rate / 1000)
		if p.core != nil {
			p.core.Tick(p.clock)
			g.collect(id)
		}
	}
}

// run lets time pass with a working network and disks.
func (g *group) run(d time.Duration) {
	const step = 5 * time.Millisecond
	for ; d > 0; d -= step {
		g.tick(step)
		g.exchange()
	}
}

// exchange delivers messages and syncs until nothing is left. The bound ends an exchange that never rests.
func (g *group) exchange() {
	for range 2000 {
		for _, id := range g.order {
			for len(g.peers[id].unsynced) > 0 && !g.peers[id].stuck {
				g.sync(id)
			}
		}
		if len(g.messages) == 0 {
			return
		}
		g.deliver(0)
	}
	g.fail("messages do not come to rest")
	g.messages = nil
}

// isolate cuts or restores all links of a member, in one or both directions.
func (g *group) isolate(id MemberID, out, in bool) {
	for _, other := range g.order {
		g.cut[[2]MemberID{id, other}] = out
		g.cut[[2]MemberID{other, id}] = in
	}
}

// leader returns the running leader of the highest term, or "".
func (g *group) leader() MemberID {
	var best MemberID
	var term uint64
	for _, id := range g.order {
		if p := g.peers[id]; p.core != nil && p.core.role == Leader && p.core.hard.Term > term {
			best, term = id, p.core.hard.Term
		}
	}
	return best
}

// settle repairs all links and runs until a leader is known.
func (g *group) settle() MemberID {
	g.cut = map[[2]MemberID]bool{}
	for range 40 {
		g.run(50 * time.Millisecond)
		if id := g.leader(); id != "" && g.peers[id].core.termCommitted() {
			return id
		}
	}
	g.fail("no leader")
	return ""
}
