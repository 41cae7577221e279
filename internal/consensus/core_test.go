package consensus

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/result"
)

// The first two tests use schedules that random testing rarely produces: with the rule that each of them checks removed,
// TestSchedules found no failure in 8,000 schedules.

var (
	threeMembers = []Member{{ID: "m1"}, {ID: "m2"}, {ID: "m3"}}
	coreStart    = time.Unix(1_000_000, 0)
)

func newTestCore(g *WithT, hard HardState, entries ...Entry) *Core {
	cfg := testConfig
	cfg.ID = "m1"
	c, err := New(cfg, State{Hard: hard, Snapshot: Bootstrap(threeMembers), Entries: entries}, coreStart)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

// A new leader must not commit an entry of an earlier term just because a quorum stores it: a later leader can still
// replace it. Membership changes must be refused until an entry of the leader's own term is committed.
func TestEarlierTermIsNotCommittedAlone(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(g, HardState{Term: 2}, Entry{Index: 2, Term: 2, Kind: EntryCommand})
	now := coreStart.Add(time.Second)
	c.Tick(now)
	c.Step(now, Message{Kind: MsgPreVoteResponse, From: "m2", To: "m1", Term: 3})
	c.Step(now, Message{Kind: MsgVoteResponse, From: "m2", To: "m1", Term: 3})
	c.Persisted(now, c.TakeOutput().Sequence)
	g.Expect(c.Status().Role).To(Equal(Leader))
	c.Persisted(now, c.TakeOutput().Sequence)

	c.Step(now, Message{Kind: MsgAppendResponse, From: "m2", To: "m1", Term: 3, Index: 2})
	g.Expect(c.Status().Commit).To(Equal(uint64(BootstrapIndex)))
	_, _, err := c.ChangeMember(now, Change{Kind: Remove, ID: "m3"})
	g.Expect(result.CodeOf(err)).To(Equal(result.MemberChangeBusy))

	c.Step(now, Message{Kind: MsgAppendResponse, From: "m2", To: "m1", Term: 3, Index: 3})
	g.Expect(c.Status().Commit).To(Equal(uint64(3)))
	_, _, err = c.ChangeMember(now, Change{Kind: Remove, ID: "m3"})
	g.Expect(err).NotTo(HaveOccurred())
}

// A late sync report must not count for entries that were truncated and then received again: they are durable only after
// the sync of the output that stored them again.
func TestSyncReportBeforeTruncationDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(g, HardState{Term: 2})
	entries := func(term uint64) []Entry {
		return []Entry{{Index: 2, Term: term, Kind: EntryNoOp}, {Index: 3, Term: term, Kind: EntryNoOp}}
	}
	var sequences []uint64
	deliver := func(from MemberID, term, entryTerm, commit uint64) {
		c.Step(coreStart, Message{
			Kind: MsgAppend, From: from, To: "m1", Term: term, Index: 1, LogTerm: 1, Commit: commit, Entries: entries(entryTerm),
		})
		sequences = append(sequences, c.TakeOutput().Sequence)
	}
	deliver("m2", 2, 2, 1)
	deliver("m3", 3, 3, 1)
	deliver("m2", 4, 2, 3)
	c.Persisted(coreStart, sequences[0])
	g.Expect(c.TakeOutput().Apply).To(BeEmpty())
	c.Persisted(coreStart, sequences[2])
	g.Expect(c.TakeOutput().Apply).To(HaveLen(2))
}

// A membership must be rolled back when the entry that holds it is replaced.
func TestReplacedMembershipIsRolledBack(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(g, HardState{Term: 2})
	alone := Membership{Members: threeMembers[:1]}
	c.Step(coreStart, Message{Kind: MsgAppend, From: "m2", To: "m1", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 2, Kind: EntryMembership, Membership: &alone}}})
	g.Expect(c.Status().Membership.Voters()).To(Equal(1))
	c.Step(coreStart, Message{Kind: MsgAppend, From: "m3", To: "m1", Term: 3, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 3, Kind: EntryNoOp}}})
	g.Expect(c.Status().Membership.Voters()).To(Equal(3))
}
