package roster

import (
	"net/netip"
	"time"
)

const (
	// contactAge is how old the last response of a control VM may be: three exchanges.
	contactAge = 3 * exchangePeriod
	// incompleteGrace is how long a roster still counts as complete after the last moment at which it was known to be. It
	// covers an election.
	incompleteGrace = 2 * time.Second
)

// GroupState is what a control VM knows of its group at a moment.
type GroupState struct {
	Leading    bool
	Leader     netip.Addr   // not valid if no leader is heard
	Responding []netip.Addr // as leader: the other members that respond
}

// completeness decides whether the roster of a control VM contains the processes that report to the others. A process uses only
// a control VM that hears the leader. So the roster is complete
//   - at the leader, if every member that responds to it as leader has answered an exchange lately;
//   - elsewhere, if the leader has answered one lately and called its roster settled: it passes on the processes that report to
//     control VMs that this one does not reach.
type completeness struct {
	answered   map[netip.Addr]exchangeAnswer
	completeAt time.Time // last moment at which the roster was known to be complete; zero if it never was
}

// exchangeAnswer is the last response of a control VM to an exchange.
type exchangeAnswer struct {
	at      time.Time
	settled bool
}

func newCompleteness() completeness {
	return completeness{answered: map[netip.Addr]exchangeAnswer{}}
}

// noteComplete records that the roster is known to be complete for another reason than contact with the group.
func (c *completeness) noteComplete(now time.Time) { c.completeAt = now }

// noteAnswer records a response of a control VM to an exchange.
func (c *completeness) noteAnswer(now time.Time, from netip.Addr, settled bool) {
	c.answered[from] = exchangeAnswer{now, settled}
}

// complete reports whether the roster is complete, or was so less than incompleteGrace ago.
func (c *completeness) complete(now time.Time, group GroupState) bool {
	if c.inContact(now, group) {
		c.completeAt = now
	}
	return now.Sub(c.completeAt) < incompleteGrace
}

func (c *completeness) inContact(now time.Time, group GroupState) bool {
	if !group.Leading {
		answer, ok := c.answered[group.Leader]
		return ok && answer.settled && now.Sub(answer.at) < contactAge
	}
	for _, member := range group.Responding {
		if answer, ok := c.answered[member]; !ok || now.Sub(answer.at) >= contactAge {
			return false
		}
	}
	return true
}
