package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/result"
)

// longPartition is the length of a partition, 60 election timeouts.
const longPartition = 3 * time.Second

// newGroupOfThree returns a group of three members that has committed an entry, its leader and a follower.
func newGroupOfThree(g *WithT) (group *testGroup, leader, other MemberID) {
	group = newGroup(3)
	leader = group.settle()
	for _, id := range group.ids {
		if id != leader {
			other = id
		}
	}
	g.Expect(group.propose(leader, "first")).To(Succeed())
	group.run(50 * time.Millisecond)
	return group, leader, other
}

func proposeMany(g *WithT, group *testGroup, leader MemberID, n int) {
	for i := range n {
		g.Expect(group.propose(leader, fmt.Sprint(i))).To(Succeed())
		group.run(5 * time.Millisecond)
	}
}

// expectConverged checks that all running members have applied all committed entries and that no invariant failed.
func expectConverged(g *WithT, group *testGroup) {
	leader := group.settle()
	g.Expect(group.propose(leader, "last")).To(Succeed())
	group.run(300 * time.Millisecond)
	for _, m := range group.members[leader].core.membership().Members {
		if p := group.members[m.ID]; p.core != nil {
			g.Expect(p.applied).To(Equal(group.maxCommit), "%s", m.ID)
		}
	}
	g.Expect(group.failures).To(BeEmpty())
}

// replaceMember replaces a lost member by one with a new identity, which must catch up before it may vote.
func replaceMember(g *WithT, group *testGroup, leader, lost, replacement MemberID) {
	group.add(replacement)
	group.start(replacement)
	g.Expect(group.change(leader, Change{Kind: AddLearner, ID: replacement})).To(Succeed())
	g.Expect(result.CodeOf(group.change(leader, Change{Kind: Promote, ID: replacement}))).
		To(Or(Equal(result.MemberChangeBusy), Equal(result.MemberNotCaughtUp)))
	group.run(300 * time.Millisecond)
	g.Expect(group.change(leader, Change{Kind: Remove, ID: lost})).To(Succeed())
	group.run(50 * time.Millisecond)
	g.Expect(group.change(leader, Change{Kind: Promote, ID: replacement})).To(Succeed())
	group.run(50 * time.Millisecond)
}

// faultCases are the faults of section 1.3 of the design page. After each one, all members must converge without losing a
// committed entry.
var faultCases = []struct {
	name string
	run  func(g *WithT, group *testGroup, leader, other MemberID)
}{
	{"partitioned leader steps down, answers no read, and rejoins without an election", func(g *WithT, group *testGroup, leader, _ MemberID) {
		group.isolate(leader, true, true)
		read := group.read(leader)
		g.Expect(group.propose(leader, "lost")).To(Succeed())
		group.run(longPartition)
		next := group.leader()
		g.Expect(next).NotTo(Equal(leader))
		g.Expect(group.members[leader].core.role).NotTo(Equal(Leader))
		g.Expect(group.reads[read].OK).To(BeFalse())
		proposeMany(g, group, next, 5)
		group.isolate(leader, false, false)
		term := group.members[next].core.hard.Term
		group.run(longPartition)
		g.Expect(group.members[next].core.role).To(Equal(Leader))
		g.Expect(group.members[next].core.hard.Term).To(Equal(term))
	}},
	{"leader that receives nothing steps down and another is elected", func(g *WithT, group *testGroup, leader, _ MemberID) {
		group.isolate(leader, false, true)
		group.run(longPartition)
		g.Expect(group.leader()).NotTo(Equal(leader))
	}},
	{"leader whose messages are all lost is replaced", func(g *WithT, group *testGroup, leader, _ MemberID) {
		group.isolate(leader, true, false)
		group.run(longPartition)
		g.Expect(group.leader()).NotTo(Equal(leader))
	}},
	{"member that receives nothing does not depose the leader", func(g *WithT, group *testGroup, leader, other MemberID) {
		term := group.members[leader].core.hard.Term
		group.isolate(other, false, true)
		group.run(longPartition)
		g.Expect(group.leader()).To(Equal(leader))
		g.Expect(group.members[leader].core.hard.Term).To(Equal(term))
	}},
	{"clocks of different rates", func(g *WithT, group *testGroup, leader, other MemberID) {
		group.members[leader].clockRate, group.members[other].clockRate = 800, 1300
		group.members[other].clock = group.members[other].clock.Add(-time.Hour)
		group.run(longPartition)
		proposeMany(g, group, group.settle(), 5)
	}},
	{"duplicate, reordered and lost messages", func(g *WithT, group *testGroup, leader, _ MemberID) {
		for i := range 40 {
			g.Expect(group.propose(leader, fmt.Sprint(i))).To(Succeed())
			for n := len(group.messages); n > 0; n-- {
				group.step(group.messages[n-1])
				if n%3 == 0 {
					group.messages = append(group.messages[:n-1:n-1], group.messages[n:]...)
				}
			}
		}
	}},
	{"member that missed hundreds of entries, by entries", func(g *WithT, group *testGroup, leader, other MemberID) {
		group.crash(other, 0)
		proposeMany(g, group, leader, 400)
		group.start(other)
	}},
	{"member that missed hundreds of entries, by snapshot", func(g *WithT, group *testGroup, leader, other MemberID) {
		group.crash(other, 0)
		proposeMany(g, group, leader, 400)
		group.compact(leader)
		group.start(other)
		group.run(500 * time.Millisecond)
		g.Expect(group.members[other].disk.Snapshot.Index).To(BeNumerically(">", 400))
	}},
	{"stale snapshot does not move a member back", func(g *WithT, group *testGroup, leader, other MemberID) {
		old := group.members[leader].applied
		group.compact(leader)
		proposeMany(g, group, leader, 5)
		s := group.members[leader].core.log.snapshot
		group.step(Message{Kind: MsgSnapshot, From: leader, To: other, Term: group.members[leader].core.hard.Term, Chunk: &SnapshotChunk{
			Index: s.Index, Term: s.Term, Membership: s.Membership, Total: uint64(len(s.Data)), Data: s.Data}})
		g.Expect(s.Index).To(Equal(old))
		g.Expect(group.members[other].applied).To(BeNumerically(">", old))
	}},
	{"disk lost, repaired, and a second member lost just afterwards", func(g *WithT, group *testGroup, leader, other MemberID) {
		group.crash(other, 0)
		proposeMany(g, group, leader, 20)
		replaceMember(g, group, leader, other, "new")
		group.crash(leader, 0)
		group.run(longPartition)
		g.Expect(group.leader()).NotTo(BeEmpty())
	}},
	{"change that would leave no reachable quorum is refused", func(g *WithT, group *testGroup, leader, other MemberID) {
		group.crash(other, 0)
		group.run(200 * time.Millisecond)
		for _, id := range group.ids {
			if id != leader && id != other {
				g.Expect(result.CodeOf(group.change(leader, Change{Kind: Remove, ID: id}))).To(Equal(result.PlanLastQuorum))
			}
		}
	}},
	{"known identity is not added again", func(g *WithT, group *testGroup, leader, other MemberID) {
		g.Expect(result.CodeOf(group.change(leader, Change{Kind: AddLearner, ID: other}))).To(Equal(result.StoreIdentity))
	}},
	{"leader that appended its own removal restarts (found by TestSchedules, seed 42)", func(g *WithT, group *testGroup, leader, other MemberID) {
		third := MemberID("")
		for _, id := range group.ids {
			if id != leader && id != other {
				third = id
			}
		}
		g.Expect(group.change(leader, Change{Kind: Remove, ID: third})).To(Succeed())
		group.run(50 * time.Millisecond)
		g.Expect(group.change(leader, Change{Kind: Remove, ID: leader})).To(Succeed())
		group.messages = nil
		group.crash(leader, 1)
		group.start(leader)
	}},
	{"leadership transfer", func(g *WithT, group *testGroup, leader, other MemberID) {
		g.Expect(group.members[leader].core.TransferLeadership(group.now, other)).To(Succeed())
		g.Expect(result.CodeOf(group.propose(leader, "refused"))).To(Equal(result.NotLeader))
		group.run(20 * time.Millisecond)
		g.Expect(group.leader()).To(Equal(other))
	}},
	{"leader whose disk blocks transfers leadership", func(g *WithT, group *testGroup, leader, _ MemberID) {
		group.members[leader].diskBlocked = true
		g.Expect(group.propose(leader, "unsynced")).To(Succeed())
		group.run(200 * time.Millisecond)
		g.Expect(group.leader()).To(Equal(leader))
		g.Expect(group.maxCommit).To(Equal(group.members[leader].core.log.last()), "the followers commit without the leader's disk")
		group.run(time.Second)
		g.Expect(group.leader()).NotTo(Equal(leader))
		group.members[leader].diskBlocked = false
	}},
	{"read on a follower", func(g *WithT, group *testGroup, _, other MemberID) {
		read := group.read(other)
		group.run(20 * time.Millisecond)
		g.Expect(group.reads[read].OK).To(BeTrue())
	}},
	{"late response to a read of an earlier process", func(g *WithT, group *testGroup, leader, other MemberID) {
		group.crash(other, 0)
		group.start(other)
		stale := ReadID{Incarnation: 1, Sequence: 5}
		group.step(Message{Kind: MsgReadResponse, From: leader, To: other, Read: stale, Index: 1})
		g.Expect(group.reads).NotTo(HaveKey(stale))
	}},
}

func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			group, leader, other := newGroupOfThree(g)
			c.run(g, group, leader, other)
			expectConverged(g, group)
		})
	}
}

// A crash of the leader during a membership change must lose neither the quorum nor entries. For each kind of change, the
// leader crashes after each number of delivered messages.
func TestLeaderDiesDuringChange(t *testing.T) {
	for _, kind := range []ChangeKind{AddLearner, Promote, Remove} {
		for steps := range 24 {
			t.Run(fmt.Sprintf("kind %d after %d messages", kind, steps), func(t *testing.T) {
				g := NewWithT(t)
				group, leader, other := newGroupOfThree(g)
				group.add("new")
				group.start("new")
				change := Change{Kind: kind, ID: "new"}
				if kind != AddLearner {
					g.Expect(group.change(leader, Change{Kind: AddLearner, ID: "new"})).To(Succeed())
					group.run(300 * time.Millisecond)
				}
				if kind == Remove {
					change.ID = other
				}
				g.Expect(group.change(leader, change)).To(Succeed())
				for i := 0; i < steps && len(group.messages) > 0; i++ {
					group.deliver(0)
					for _, id := range group.ids {
						group.sync(id)
					}
				}
				group.messages = nil
				group.crash(leader, 0)
				group.run(time.Second)
				group.start(leader)
				expectConverged(g, group)
			})
		}
	}
}

// Members that start together after a power loss must elect a leader well within an election timeout, because callers wait
// for it at every restart of the group.
func TestElectionAfterCommonStart(t *testing.T) {
	slow := 0
	const rounds = 60
	for round := range rounds {
		g := newGroup(3 + 2*(round%2))
		for _, id := range g.ids {
			g.crash(id, 0)
		}
		g.now = g.now.Add(time.Duration(round) * time.Millisecond)
		for _, id := range g.ids {
			g.members[id].starts += uint64(round)
			g.start(id)
			g.members[id].core.random = rand.New(rand.NewPCG(uint64(round), uint64(len(id))*uint64(id[1])))
			g.members[id].core.scheduleFirstElection()
		}
		g.run(testConfig.Election + 2*testConfig.Heartbeat)
		if g.leader() == "" {
			slow++
		}
	}
	if slow > rounds/20 {
		t.Fatalf("%d of %d groups had no leader within an election timeout", slow, rounds)
	}
}

// A member must apply the entries that it stored as committed at its start, without waiting for a leader: after a power
// loss of all members, the state that it serves is then at most one entry old.
func TestKnownCommitsAreAppliedAtStart(t *testing.T) {
	for _, c := range []struct {
		name string
		lose int // entries lost at the end of the log, as after a torn write
		want uint64
	}{{"whole log", 0, 2}, {"last entry torn", 1, 2}, {"two entries lost", 2, 1}} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(3)
			leader := g.settle()
			before := g.members[leader].applied
			for i := range 3 {
				_ = g.propose(leader, string(rune('a'+i)))
				g.run(2 * testConfig.Heartbeat)
			}
			for _, id := range g.ids {
				g.crash(id, 0)
			}
			p := g.members[leader]
			p.disk.Entries = p.disk.Entries[:len(p.disk.Entries)-c.lose]
			g.start(leader)
			g.collect(leader)
			if p.applied != before+c.want {
				t.Fatalf("applied %d entries of 3 at the start, want %d", int64(p.applied)-int64(before), c.want)
			}
			if len(g.failures) > 0 {
				t.Fatal(g.failures)
			}
		})
	}
}

// Members that start one after the other must elect a leader as soon as a majority runs, because no request is served
// before. The khuree-swatch scale-2 trial found a delay of 150 ms until the next pre-vote.
func TestElectionOnceAMajorityRuns(t *testing.T) {
	slow := 0
	const rounds = 60
	for round := range rounds {
		g := newGroup(5)
		for _, id := range g.ids {
			g.crash(id, 0)
		}
		// The logs differ: the member that completes the majority may be behind or ahead of the others.
		g.members[g.ids[round%5]].disk.Entries = nil
		first := round % 5
		for i := range 3 {
			id := g.ids[(first+i)%5]
			g.members[id].starts += uint64(round)
			g.start(id)
			if i < 2 {
				g.run(time.Duration(7+round) * time.Millisecond)
			}
		}
		g.run(testConfig.Heartbeat)
		if g.leader() == "" {
			slow++
		}
	}
	if slow > rounds/20 {
		t.Fatalf("%d of %d groups had no leader one heartbeat after a majority ran", slow, rounds)
	}
}

// Members that are partitioned together from the leader must soon report that they know no leader, although they keep
// granting each other pre-votes: a reader that needs the newest state must go to another member.
func TestMinorityReportsNoLeader(t *testing.T) {
	g := newGroup(5)
	leader := g.settle()
	minority := map[MemberID]bool{}
	for _, id := range g.ids {
		if id != leader && len(minority) < 2 {
			minority[id] = true
		}
	}
	for _, a := range g.ids {
		for _, b := range g.ids {
			if minority[a] != minority[b] {
				g.blocked[[2]MemberID{a, b}] = true
			}
		}
	}
	g.run(3 * testConfig.Election)
	for range 100 {
		g.run(testConfig.Heartbeat)
		for id := range minority {
			if known := g.members[id].core.Status().Leader; known != "" {
				t.Fatalf("%s reports the leader %s that it cannot reach", id, known)
			}
		}
	}
}
