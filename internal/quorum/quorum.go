// Package quorum decides which control VMs are members of the group and which of them vote. The leader of the group asks it
// for the next membership change. It holds no clock and makes no calls: times are arguments, and it may be replayed in tests.
//
// The invariant: once every control VM has been running and connected for SilenceTimeout, any ToleratedLosses of the voters may
// be lost and the rest still forms a quorum, and each committed entry is on the disks of more than ToleratedLosses of them.
// Decision 0014 has the reasons.
package quorum

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// joinWait is how long the leader waits for control VMs that may still ask to join. A VM asks every half second, and all
// machines of a site start within 0.3 s of each other.
const joinWait = 3 * time.Second

// leavingTTL is how long the notice of a process that stops holds: it may start again without a word.
const leavingTTL = 2 * time.Second

// spareSilenceDivisor is the divisor of SilenceTimeout that gives the time after which a silent voter is removed if there are more
// than wanted. No replacement has to be found first, and each such voter that is gone weakens the group.
const spareSilenceDivisor = 8

// voterSilenceDivisor is the divisor of SilenceTimeout that gives the time after which a silent voter is replaceable, and for
// which a learner that is not needed yet waits for such a voter to become known. The rest of SilenceTimeout is left for an
// election, for the request to join and for the copy of the log.
const voterSilenceDivisor = 4

// Planner plans the membership changes of a leader. It is not safe for concurrent use.
type Planner struct {
	ToleratedLosses int           // number of control VMs that may be lost at once, with their disks
	SilenceTimeout  time.Duration // time after which a returned or new control VM must count again

	joins       map[consensus.MemberID]consensus.Member // pending requests to join, by identity
	leaving     map[consensus.MemberID]time.Time        // when members announced that their processes stop
	silentSince map[consensus.MemberID]time.Time        // start of the current silence of each silent member
	readySince  map[consensus.MemberID]time.Time        // when each learner that is ready to vote became so
	quietSince  time.Time                               // start of leadership or time of the last join request; zero unless leader
}

// WantedVoters returns the number of voters that keeps a majority after the loss of ToleratedLosses voters.
func (p *Planner) WantedVoters() int { return 2*p.ToleratedLosses + 1 }

// Join records the request of a control VM to become a member.
func (p *Planner) Join(now time.Time, m consensus.Member) {
	if p.joins == nil {
		p.joins = map[consensus.MemberID]consensus.Member{}
	}
	p.joins[m.ID], p.quietSince = m, now
	delete(p.leaving, m.ID)
}

// Leave records that the process of a member stops, perhaps for good. It reports whether the member still counts and is about to
// be removed.
func (p *Planner) Leave(now time.Time, id consensus.MemberID, status consensus.Status) bool {
	if p.leaving == nil {
		p.leaving = map[consensus.MemberID]time.Time{}
	}
	p.leaving[id] = now
	return status.Membership.Voter(id) && id != status.ID &&
		(status.Membership.Voters() > p.WantedVoters() || p.readyLearner(status) != "")
}

// Lead notes that this member leads the group at the given time.
func (p *Planner) Lead(now time.Time) {
	if p.quietSince.IsZero() {
		p.quietSince = now
	}
}

// Follow forgets what only a leader can know.
func (p *Planner) Follow() {
	clear(p.silentSince)
	clear(p.readySince)
	clear(p.leaving)
	p.quietSince = time.Time{}
}

// Next returns the next membership change and its reason, or nil. In this order: it promotes a learner if there are too few
// voters, removes a member whose machine asked to join under another identity, adds a machine that asked to join, removes a
// silent learner, removes a voter that leaves or is silent if a learner can replace it or it is not needed, and promotes a learner
// if no voter has been silent since the learner was ready.
//
// A silent voter is removed before its replacement is promoted: in the other order each replacement of a lost voter would raise
// the number of voters, and with it the quorum, until the members that are alive are too few for it.
func (p *Planner) Next(now time.Time, status consensus.Status) (*consensus.Change, string) {
	p.observe(now, status)
	ready := p.readyLearner(status)
	voters := status.Membership.Voters()
	if ready != "" && voters < p.WantedVoters() {
		return &consensus.Change{Kind: consensus.Promote, ID: ready}, "too few voters"
	}
	if change, why := p.nextJoin(status); change != nil {
		return change, why
	}
	for _, m := range status.Membership.Members {
		if m.Learner && p.silentFor(now, m.ID) >= p.SilenceTimeout {
			return &consensus.Change{Kind: consensus.Remove, ID: m.ID}, "silent learner"
		}
	}
	if leaves := p.leavingVoter(now, status); leaves != "" && (ready != "" || voters > p.WantedVoters()) {
		return &consensus.Change{Kind: consensus.Remove, ID: leaves}, "leaves"
	}
	silent, wait := p.mostSilentVoter(status), p.SilenceTimeout/voterSilenceDivisor
	if voters > p.WantedVoters() {
		wait = p.SilenceTimeout / spareSilenceDivisor
	}
	switch {
	case silent == "" && ready != "" && now.Sub(p.readySince[ready]) >= p.SilenceTimeout/voterSilenceDivisor:
		return &consensus.Change{Kind: consensus.Promote, ID: ready}, "caught up"
	case silent == "" || p.silentFor(now, silent) < wait:
		return nil, ""
	case ready != "":
		return &consensus.Change{Kind: consensus.Remove, ID: silent}, "silent and replaceable"
	case voters > p.WantedVoters():
		return &consensus.Change{Kind: consensus.Remove, ID: silent}, "silent and not needed"
	}
	return nil, ""
}

// nextJoin returns the change that the pending requests to join call for, or nil.
func (p *Planner) nextJoin(status consensus.Status) (*consensus.Change, string) {
	for id, m := range p.joins {
		if _, ok := status.Membership.Find(id); ok {
			delete(p.joins, id)
			continue
		}
		for _, old := range status.Membership.Members {
			if old.Address == m.Address && old.ID != id {
				return &consensus.Change{Kind: consensus.Remove, ID: old.ID}, "its machine has a new data directory"
			}
		}
		delete(p.joins, id)
		return &consensus.Change{Kind: consensus.AddLearner, ID: id, Name: m.Name, Address: m.Address}, "asked to join"
	}
	return nil, ""
}

// readyLearner returns a learner that is ready to vote, or "".
func (p *Planner) readyLearner(status consensus.Status) consensus.MemberID {
	for _, m := range status.Progress {
		if _, ready := p.readySince[m.ID]; ready {
			return m.ID
		}
	}
	return ""
}

// mostSilentVoter returns the voter that has been silent for longest, or "". Of voters whose silence began at the same time, as
// seen by a new leader, it returns the one that stores least of the log.
func (p *Planner) mostSilentVoter(status consensus.Status) consensus.MemberID {
	var most consensus.MemberProgress
	for _, m := range status.Progress {
		since, silent := p.silentSince[m.ID]
		if !silent || !status.Membership.Voter(m.ID) {
			continue
		}
		longest := p.silentSince[most.ID]
		if most.ID == "" || since.Before(longest) || since.Equal(longest) && m.Match < most.Match {
			most = m
		}
	}
	return most.ID
}

// leavingVoter returns a voter other than the leader whose process stops, or "".
func (p *Planner) leavingVoter(now time.Time, status consensus.Status) consensus.MemberID {
	for _, m := range status.Progress {
		if at, leaves := p.leaving[m.ID]; leaves && m.ID != status.ID && now.Sub(at) < leavingTTL && status.Membership.Voter(m.ID) {
			return m.ID
		}
	}
	return ""
}

// silentFor returns how long a member has been silent.
func (p *Planner) silentFor(now time.Time, id consensus.MemberID) time.Duration {
	since, silent := p.silentSince[id]
	if !silent {
		return 0
	}
	return now.Sub(since)
}

// observe records the start of the silence of each member that the leader does not hear, and the time at which each learner that
// it hears has caught up with the log.
func (p *Planner) observe(now time.Time, status consensus.Status) {
	silent, ready := map[consensus.MemberID]time.Time{}, map[consensus.MemberID]time.Time{}
	for _, m := range status.Progress {
		member, _ := status.Membership.Find(m.ID)
		switch {
		case !m.Active:
			silent[m.ID] = earlier(p.silentSince, m.ID, now)
		case member.Learner && m.CaughtUp:
			ready[m.ID] = earlier(p.readySince, m.ID, now)
		}
	}
	p.silentSince, p.readySince = silent, ready
}

// earlier returns the time in since for a member, or now if it has none.
func earlier(since map[consensus.MemberID]time.Time, id consensus.MemberID, now time.Time) time.Time {
	if at, ok := since[id]; ok {
		return at
	}
	return now
}

// EnoughVoters reports whether enough members vote to commit declarations.
//
// The first declaration waits until the group is whole: the wanted number of voters suffices if no VM is joining or joinWait has
// passed since the last join request, and a smaller number only if both hold, since then there are no more control VMs. A later
// one needs a quorum that outlives the loss of ToleratedLosses disks; to wait for a VM that joins would only delay it.
func (p *Planner) EnoughVoters(now time.Time, m consensus.Membership, first bool) bool {
	if !first && m.Quorum() > p.ToleratedLosses {
		return true
	}
	joining := len(p.joins) > 0 || m.Voters() < len(m.Members)
	quiet := now.Sub(p.quietSince)
	if m.Voters() >= p.WantedVoters() {
		return !joining || quiet >= joinWait
	}
	return !joining && !p.quietSince.IsZero() && quiet >= joinWait
}
