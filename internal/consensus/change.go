package consensus

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
)

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes. Each changes at most one voter, so any majority before and any majority after the
// change have a member in common.
const (
	AddLearner ChangeKind = 1 // add a member that only receives the log
	Promote    ChangeKind = 2 // make a learner a voter; it must have caught up
	Remove     ChangeKind = 3 // remove a voter or learner
)

// Change is a membership change. Only AddLearner uses Name and Address.
type Change struct {
	Kind    ChangeKind
	ID      MemberID
	Name    string
	Address string
}

// caughtUpEntries is how far a learner may be behind the leader's log when it is promoted. A voter further behind
// would delay commits that need it. At the measured 30,000 commits a second and 8 ms between domains, 240 entries are
// under way at any time.
const caughtUpEntries = 512

// ChangeMember appends a membership change. It returns the position of the entry, as Propose does. A change is refused
// while an earlier one is not committed (MemberChangeBusy), and if the new voters that were heard recently do not form
// a quorum (PlanLastQuorum).
func (c *Core) ChangeMember(now time.Time, change Change) (index, term uint64, err error) {
	c.advance(now)
	if c.role != Leader || c.transferTo != "" {
		return 0, 0, result.Errorf(result.NotLeader, "leader is %q", c.leader)
	}
	if !c.termCommitted() || c.log.config().index > c.log.commit {
		return 0, 0, result.Errorf(result.MemberChangeBusy, "an earlier change or term start is not committed")
	}
	next, err := c.changed(change)
	if err != nil {
		return 0, 0, err
	}
	if !next.hasQuorum(c.active) {
		return 0, 0, result.Errorf(result.PlanLastQuorum, "the reachable voters after the change would be no quorum")
	}
	c.appendEntry(Entry{Kind: EntryMembership, Membership: &next})
	index = c.log.last()
	c.syncPeers()
	c.replicateAll()
	return index, c.hard.Term, nil
}

// changed returns the membership after the change.
func (c *Core) changed(change Change) (Membership, error) {
	current := c.membership()
	member, known := current.Find(change.ID)
	if change.ID == "" || known == (change.Kind == AddLearner) {
		return Membership{}, result.Errorf(result.StoreIdentity, "identity %q: known is %t", change.ID, known)
	}
	next := Membership{}
	for _, m := range current.Members {
		if m.ID != change.ID {
			next.Members = append(next.Members, m)
		}
	}
	switch change.Kind {
	case AddLearner:
		member = Member{ID: change.ID, Name: change.Name, Address: change.Address, Learner: true}
	case Promote:
		if !c.active(change.ID) || c.peer(change.ID).match+caughtUpEntries < c.log.last() {
			return Membership{}, result.Errorf(result.MemberNotCaughtUp, "member %s", member.Name)
		}
		member.Learner = false
	case Remove:
		return next, nil
	default:
		return Membership{}, result.Errorf(result.Internal, "membership change of kind %d", change.Kind)
	}
	next.Members = append(next.Members, member)
	return next, nil
}

// leaveIfRemoved ends the leadership of a member whose removal is committed.
func (c *Core) leaveIfRemoved() {
	config := c.log.config()
	if config.index <= c.log.commit && !config.membership.Voter(c.cfg.ID) {
		c.becomeFollower(c.hard.Term, "")
	}
}

// TransferLeadership hands leadership to another voter. Proposals are refused until it has taken over or the election
// timeout has passed.
func (c *Core) TransferLeadership(now time.Time, to MemberID) error {
	c.advance(now)
	if c.role != Leader {
		return result.Errorf(result.NotLeader, "leader is %q", c.leader)
	}
	if to == c.cfg.ID {
		return nil
	}
	if !c.membership().Voter(to) || !c.active(to) {
		return result.Errorf(result.MemberNotCaughtUp, "member %q is no reachable voter", to)
	}
	c.transferTo = to
	c.transferTill = c.now.Add(c.cfg.Election)
	c.continueTransfer(to, c.peer(to))
	return nil
}

// continueTransfer asks the target of a transfer to start an election once it has the whole log.
func (c *Core) continueTransfer(id MemberID, p *progress) {
	if c.transferTo == id && p.match == c.log.last() {
		c.send(Message{Kind: MsgTimeoutNow, To: id})
	}
}

// stuckElections is how many election timeouts a sync may take before a leader hands over.
const stuckElections = 10

// diskStuck reports whether the oldest unsynced output waits for too long. Such a leader keeps its followers and commits
// with them, but it can neither apply nor answer.
func (c *Core) diskStuck() bool {
	return len(c.unsynced) > 0 && c.now.Sub(c.unsynced[0].since) >= stuckElections*c.cfg.Election
}

// yield transfers leadership to the reachable voter with the longest log, if there is one.
func (c *Core) yield() {
	var best MemberID
	for _, m := range c.membership().Members {
		if m.ID == c.cfg.ID || m.Learner || !c.active(m.ID) {
			continue
		}
		if best == "" || c.peer(m.ID).match > c.peer(best).match {
			best = m.ID
		}
	}
	if best != "" {
		_ = c.TransferLeadership(c.now, best) // refused only for members that were excluded above
	}
}
