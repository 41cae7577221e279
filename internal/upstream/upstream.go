// Package upstream tracks the upstream process on an agent's VM by its announcements. It uses no sockets, clocks or
// goroutines.
package upstream

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/passthrough"
)

// Announcement is one announcement of an upstream process.
type Announcement struct {
	ID       string
	Born     int64 // start of the process, Unix milliseconds
	Sequence int64 // increases with each announcement of one incarnation
	Service  string
	Slots    uint32
	Draining bool
	Warmup   time.Duration // time for which the process remains cold
}

// Incarnation returns the ID of the incarnation that sent the announcement.
func (a Announcement) Incarnation() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", a.ID, a.Born))
}

// Outcome is the effect of an announcement.
type Outcome string

// Outcomes.
const (
	Accepted  Outcome = "accepted"
	Restarted Outcome = "restarted" // a new incarnation is followed from now on; the flows of the earlier one have ended
	Adopted   Outcome = "adopted"   // another incarnation is followed from now on, but flows of before live on
	Unproven  Outcome = "unproven"  // of a later incarnation, while the known one may live; it has no effect yet
	Stale     Outcome = "stale"     // announcement of an earlier incarnation, or out of order; it has no effect
)

// Followed reports whether the announcement describes the upstream that is followed from now on.
func (o Outcome) Followed() bool { return o == Accepted || o == Restarted || o == Adopted }

// Evidence is what the packets of the upstream tell about its process. A process holds its flows until it ends, and the next one
// holds none of them.
type Evidence struct {
	// Returned is the number of open flows whose packets the upstream has returned since it last sent one of an open flow or
	// announced itself.
	Returned int
	Closed   int       // the same for open flows that the upstream has closed or reset
	Held     int       // flows that were open before its last announcement and still are
	SpokeAt  time.Time // when the upstream last sent a packet of a flow that was open before its last announcement
}

const (
	// provenByFlows is the number of returned or closed flows that proves the end of a process. A single one may have been dropped
	// by a process that lives.
	provenByFlows = 2
	// readLag is how late a packet of an ended process may be read: the announcements of the next one arrive at another socket.
	readLag = 500 * time.Millisecond
	// overdueDivisor is the divisor of SilenceTimeout, three intervals of announcements, that gives the time after which an
	// announcement is overdue.
	overdueDivisor = 2
	// repeatDivisor is the divisor of SilenceTimeout that gives the shortest time between two announcements of one process.
	repeatDivisor = 6
)

// Tracker tracks the state of an upstream. It decides which announcements prove a new incarnation and whether flows ended with
// the earlier one. The invariant: no announcement alone ends the flows of a process that lives. A later incarnation replaces the
// known one
//   - after the known one said that it ends;
//   - if the upstream returned the packets of flows that it held, or closed all that it held;
//   - if it repeats its announcement while one of the known incarnation is overdue.
//
// The zero value has no upstream. It is not safe for concurrent use.
type Tracker struct {
	SilenceTimeout time.Duration // time without announcements after which the upstream receives no new flows
	Evidence       Evidence      // must be current when Announce is called

	last          Announcement // last announcement that was followed
	known         bool
	ended         bool
	lastAnnounced time.Time // when last arrived

	rival     Announcement // last announcement of another incarnation, or of one that has ended, since last
	claimedAt time.Time    // when the incarnation of rival announced itself first
}

// Announce processes an announcement.
func (t *Tracker) Announce(now time.Time, a Announcement) Outcome {
	switch {
	case !t.known:
		return t.follow(now, a, Accepted)
	case a.ID == t.last.ID && a.Born == t.last.Born:
		return t.announceSame(now, a)
	case a.Born < t.last.Born:
		if !t.supersedes(now, a) {
			return Stale
		}
	case !t.proven(now, a):
		return Unproven
	}
	if t.livesOn() {
		return t.follow(now, a, Adopted)
	}
	return t.follow(now, a, Restarted)
}

// announceSame processes an announcement of the known incarnation. One that has ended may be announced late once, but not again
// with a higher sequence number: then the notice of its end was wrong.
func (t *Tracker) announceSame(now time.Time, a Announcement) Outcome {
	switch {
	case t.ended:
		if a.Sequence <= t.last.Sequence || !t.repeats(now, a) {
			return Stale
		}
	case a.Sequence <= t.last.Sequence && !t.supersedes(now, a):
		return Stale
	}
	a.Draining = a.Draining || t.last.Draining // draining is final for an incarnation
	return t.follow(now, a, Accepted)
}

// follow makes an announcement the last one.
func (t *Tracker) follow(now time.Time, a Announcement, o Outcome) Outcome {
	t.last, t.known, t.ended, t.lastAnnounced = a, true, false, now
	t.rival = Announcement{}
	return o
}

// proven reports whether an announcement of a later incarnation proves that it has replaced the known one.
func (t *Tracker) proven(now time.Time, a Announcement) bool {
	repeated := t.repeats(now, a)
	overdue := now.Sub(t.lastAnnounced) > t.SilenceTimeout/overdueDivisor
	e := t.Evidence
	return t.ended || e.Returned >= provenByFlows || e.Closed >= provenByFlows && e.Held == 0 || repeated && overdue
}

// livesOn reports whether the upstream has sent packets of earlier flows since the other incarnation announced itself.
func (t *Tracker) livesOn() bool {
	return t.Evidence.Returned == 0 && t.Evidence.SpokeAt.After(t.claimedAt.Add(readLag))
}

// repeats records an announcement that is not followed yet, and reports whether it continues the one recorded before. A delayed
// announcement is not followed by another.
func (t *Tracker) repeats(now time.Time, a Announcement) bool {
	claimed := a.ID == t.rival.ID && a.Born == t.rival.Born
	repeated := claimed && a.Sequence > t.rival.Sequence && now.Sub(t.claimedAt) >= t.SilenceTimeout/repeatDivisor
	t.rival = a
	if !claimed {
		t.claimedAt = now
	}
	return repeated
}

// supersedes reports whether an announcement that appears outdated is from the live process: the known incarnation or
// sequence is silent, and the other one sends further announcements. This occurs if the clock of the VM was set back
// between two starts, or after an announcement with a wrong start or sequence.
func (t *Tracker) supersedes(now time.Time, a Announcement) bool {
	return t.Silent(now) && t.repeats(now, a)
}

// End processes the end of the process with the ID. It reports whether that process was the known upstream.
func (t *Tracker) End(id string) bool {
	if !t.known || t.last.ID != id {
		return false
	}
	t.ended, t.rival = true, Announcement{}
	return true
}

// Last returns the last announcement that was followed. It returns false if there is no upstream.
func (t *Tracker) Last() (Announcement, bool) { return t.last, t.known && !t.ended }

// Silent reports whether the upstream has not announced itself for longer than SilenceTimeout.
func (t *Tracker) Silent(now time.Time) bool {
	return t.known && now.Sub(t.lastAnnounced) > t.SilenceTimeout
}

// Upstream returns the state of the upstream for forwarding decisions.
func (t *Tracker) Upstream(now time.Time) passthrough.Upstream {
	if !t.known || t.ended {
		return passthrough.Upstream{}
	}
	return passthrough.Upstream{
		Present: true,
		Service: t.last.Service, Slots: t.last.Slots,
		Active: !t.last.Draining && !t.Silent(now), Leaving: t.last.Draining,
		Cold: now.Sub(t.lastAnnounced) < t.last.Warmup,
	}
}
