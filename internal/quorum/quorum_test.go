package quorum

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// voters returns a membership in which all given members vote.
func voters(ids ...string) consensus.Membership {
	var m consensus.Membership
	for _, id := range ids {
		m.Members = append(m.Members, consensus.Member{ID: consensus.MemberID(id), Address: "address-" + id})
	}
	return m
}

// Each case is a membership and the change that the leader must make. A wrong change loses the quorum or lets a member with
// an empty disk vote under its old identity.
func TestNext(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	learner := func(m consensus.Membership, id string) consensus.Membership {
		m.Members = append(m.Members, consensus.Member{ID: consensus.MemberID(id), Address: "address-" + id, Learner: true})
		return m
	}
	const voterSilence = 4 * time.Second / voterSilenceDivisor
	cases := []struct {
		name    string
		members consensus.Membership
		asked   string // identity that asks to join
		address string
		silent  []string
		since   time.Duration
		leaves  string        // member whose process stops
		ready   time.Duration // since the learner caught up
		behind  string        // member that has not caught up
		kind    consensus.ChangeKind
		id      string
	}{
		{name: "nothing to do", members: voters("a", "b", "c", "d", "e")},
		{name: "a machine asks to join", members: voters("a", "b", "c"), asked: "n", kind: consensus.AddLearner, id: "n"},
		{name: "a member asks again", members: voters("a", "b", "c", "d", "e"), asked: "b"},
		{name: "a machine lost its disk", members: voters("a", "b", "c", "d", "e"), asked: "n", address: "address-b",
			kind: consensus.Remove, id: "b"},
		{name: "a learner caught up", members: learner(voters("a", "b", "c"), "n"), kind: consensus.Promote, id: "n"},
		{name: "a learner beyond the needed number waits for voters to fall silent", members: learner(voters("a", "b", "c", "d", "e"), "n"),
			ready: voterSilence - 1},
		{name: "a learner beyond the needed number votes if all voters are heard", members: learner(voters("a", "b", "c", "d", "e"), "n"),
			ready: voterSilence, kind: consensus.Promote, id: "n"},
		{name: "a learner has not caught up", members: learner(voters("a", "b", "c"), "n"), behind: "n"},
		{name: "too few voters: promotion comes before another removal", members: learner(voters("a", "b", "c", "d"), "n"),
			asked: "m", address: "address-d", kind: consensus.Promote, id: "n"},
		{name: "too few voters: promotion comes before the removal of a silent voter", members: learner(voters("a", "b", "c", "d"), "n"),
			silent: []string{"b"}, since: time.Hour, kind: consensus.Promote, id: "n"},
		{name: "a silent voter without a replacement stays", members: voters("a", "b", "c", "d", "e"), silent: []string{"b"}, since: time.Hour},
		{name: "a silent voter with a replacement goes", members: learner(voters("a", "b", "c", "d", "e"), "n"),
			silent: []string{"b"}, since: 5 * time.Second, kind: consensus.Remove, id: "b"},
		{name: "a silent voter with a replacement that has not caught up stays", members: learner(voters("a", "b", "c", "d", "e"), "n"),
			silent: []string{"b"}, since: 5 * time.Second, behind: "n"},
		{name: "a voter that is silent for a moment stays, the learner waits", members: learner(voters("a", "b", "c", "d", "e"), "n"),
			silent: []string{"b"}, since: voterSilence - 1},
		{name: "a voter that is silent for longer is replaced before the learner is promoted", members: learner(voters("a", "b", "c", "d", "e"), "n"),
			silent: []string{"b"}, since: voterSilence, kind: consensus.Remove, id: "b"},
		{name: "a voter that stops stays if nothing takes its place", members: voters("a", "b", "c", "d", "e"), leaves: "b"},
		{name: "a voter that stops goes if a learner can take its place", members: learner(voters("a", "b", "c", "d", "e"), "n"),
			leaves: "b", kind: consensus.Remove, id: "b"},
		{name: "a voter that stops goes if it is not needed", members: voters("a", "b", "c", "d", "e", "f"), leaves: "b",
			kind: consensus.Remove, id: "b"},
		{name: "the leader does not remove itself", members: voters("a", "b", "c", "d", "e", "f"), leaves: "a"},
		{name: "a silent voter beyond the needed number goes", members: voters("a", "b", "c", "d", "e", "f"),
			silent: []string{"f"}, since: 5 * time.Second, kind: consensus.Remove, id: "f"},
		{name: "a voter beyond the needed number that is silent for a moment stays", members: voters("a", "b", "c", "d", "e", "f"),
			silent: []string{"f"}, since: 4*time.Second/spareSilenceDivisor - 1},
		{name: "a silent learner goes", members: learner(voters("a", "b", "c", "d", "e"), "n"),
			silent: []string{"n"}, since: 5 * time.Second, kind: consensus.Remove, id: "n"},
		{name: "a silent learner is not promoted", members: learner(voters("a", "b", "c"), "n"), silent: []string{"n"}, since: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			planner := Planner{ToleratedLosses: 2, SilenceTimeout: 4 * time.Second}
			planner.silentSince, planner.readySince = map[consensus.MemberID]time.Time{}, map[consensus.MemberID]time.Time{}
			status := consensus.Status{ID: "a", Membership: c.members}
			for _, m := range c.members.Members {
				p := consensus.MemberProgress{ID: m.ID, Active: true, CaughtUp: string(m.ID) != c.behind}
				if m.Learner {
					planner.readySince[m.ID] = now.Add(-c.ready)
				}
				for _, s := range c.silent {
					if string(m.ID) == s {
						p.Active = false
						planner.silentSince[m.ID] = now.Add(-c.since)
					}
				}
				status.Progress = append(status.Progress, p)
			}
			if c.asked != "" {
				address := c.address
				if address == "" {
					address = "address-" + c.asked
				}
				id := consensus.MemberID(c.asked)
				planner.Join(now, consensus.Member{ID: id, Address: address})
			}
			if c.leaves != "" {
				planner.Leave(now, consensus.MemberID(c.leaves), status)
			}
			change, _ := planner.Next(now, status)
			if c.id == "" {
				g.Expect(change).To(BeNil())
				return
			}
			g.Expect(change).NotTo(BeNil())
			g.Expect(change.Kind).To(Equal(c.kind))
			g.Expect(string(change.ID)).To(Equal(c.id))
		})
	}
}

// A new leader sees the silence of all absent voters begin at once. It must give up the one that was removed before the one that
// was away for a moment and still has the newer log.
func TestLeastCompleteOfSilentVotersGoesFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	planner := Planner{ToleratedLosses: 2, SilenceTimeout: 4 * time.Second}
	status := consensus.Status{ID: "a", Membership: voters("a", "b", "c", "d", "e", "f"), Progress: []consensus.MemberProgress{
		{ID: "b", Match: 9}, {ID: "c", Match: 2}, {ID: "d", Match: 9, Active: true}, {ID: "e", Match: 9, Active: true}, {ID: "f", Match: 9, Active: true},
	}}
	change, _ := planner.Next(now, status)
	g.Expect(change).To(BeNil())
	change, _ = planner.Next(now.Add(planner.SilenceTimeout), status)
	g.Expect(change).To(Equal(&consensus.Change{Kind: consensus.Remove, ID: "c"}))
}

// The first declaration must wait for control VMs that are joining, but not forever if there are fewer control VMs than the
// tolerated losses require.
func TestEnoughVoters(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	joining := voters("a", "b", "c", "d", "e")
	joining.Members = append(joining.Members, consensus.Member{ID: "n", Learner: true})
	for _, c := range []struct {
		name    string
		members consensus.Membership
		asked   bool
		since   time.Duration // since the last join request or the start of leadership
		first   bool          // no declaration was committed yet
		enough  bool
	}{
		{"all vote", voters("a", "b", "c", "d", "e"), false, 0, true, true},
		{"two are missing", voters("a", "b", "c"), false, time.Second, true, false},
		{"there are only three", voters("a", "b", "c"), false, 4 * time.Second, true, true},
		{"another one is joining", joining, false, time.Second, true, false},
		{"another one does not catch up", joining, false, 4 * time.Second, true, true},
		{"another one has asked", voters("a", "b", "c", "d", "e"), true, 0, true, false},
		{"later, another one is joining", joining, false, time.Second, false, true},
		{"later, one is replaced", voters("a", "b", "c", "d"), true, 0, false, true},
		{"later, a quorum does not outlive two disks", voters("a", "b", "c"), true, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			planner := Planner{ToleratedLosses: 2}
			planner.Lead(now.Add(-c.since))
			if c.asked {
				planner.Join(now.Add(-c.since), consensus.Member{ID: "x"})
			}
			NewWithT(t).Expect(planner.EnoughVoters(now, c.members, c.first)).To(Equal(c.enough))
		})
	}
}

// The notice of a process that stops must not outlive its restart: a member that came back would be removed for nothing. The answer
// tells the process whether it has to wait.
func TestLeaving(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	planner := Planner{ToleratedLosses: 2, SilenceTimeout: 4 * time.Second}
	status := consensus.Status{ID: "a", Membership: voters("a", "b", "c", "d", "e")}
	for _, m := range status.Membership.Members[1:] {
		status.Progress = append(status.Progress, consensus.MemberProgress{ID: m.ID, Active: true, CaughtUp: true})
	}
	g.Expect(planner.Leave(now, "b", status)).To(BeFalse(), "nothing takes its place")
	status.Membership = voters("a", "b", "c", "d", "e", "f")
	change, _ := planner.Next(now.Add(leavingTTL), status)
	g.Expect(change).To(BeNil())
	g.Expect(planner.Leave(now, "b", status)).To(BeTrue())
	g.Expect(planner.Leave(now, "a", status)).To(BeFalse(), "the leader has to hand over first")
	g.Expect(planner.Leave(now, "x", status)).To(BeFalse(), "it was removed already")
}
