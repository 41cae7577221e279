package consensus

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/result"
)

// The first two cases need a schedule that random ones rarely produce: in a trial, TestSchedules did not notice within
// 8,000 schedules when the rule that each case checks was removed.

var (
	threeMembers = []Member{{ID: "m1"}, {ID: "m2"}, {ID: "m3"}}
	coreStart    = time.Unix(1_000_000, 0)
)

func coreWith(g *WithT, hard HardState, entries ...Entry) *Core {
	cfg := testConfig
	cfg.ID = "m1"
	c, err := New(cfg, State{Hard: hard, Snapshot: Bootstrap(threeMembers), Entries: entries}, coreStart)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

// Guards against a new leader that commits an entry of an earlier term because a quorum has it, although a later leader
// can still replace it, and against a membership change before an entry of the term is committed.
func TestEarlierTermIsNotCommittedAlone(t *testing.T) {
	g := NewWithT(t)
	c := coreWith(g, HardState{Term: 2}, Entry{Index: 2, Term: 2, Kind: EntryCommand})
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

// Guards against a late sync report for entries that were removed and came back: they are on disk only after the sync of
// the output that stored them again.
func TestSyncReportBeforeTruncationDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	c := coreWith(g, HardState{Term: 2})
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

// Guards against a membership that stays in force although the entry that holds it was replaced.
func TestReplacedMembershipIsRolledBack(t *testing.T) {
	g := NewWithT(t)
	c := coreWith(g, HardState{Term: 2})
	alone := Membership{Members: threeMembers[:1]}
	c.Step(coreStart, Message{Kind: MsgAppend, From: "m2", To: "m1", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 2, Kind: EntryMembership, Membership: &alone}}})
	g.Expect(c.Status().Membership.Voters()).To(Equal(1))
	c.Step(coreStart, Message{Kind: MsgAppend, From: "m3", To: "m1", Term: 3, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 3, Kind: EntryNoOp}}})
	g.Expect(c.Status().Membership.Voters()).To(Equal(3))
}
