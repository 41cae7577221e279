// Package upstream decides what an agent believes of the upstream process on its own VM, from the announcements of that
// process. It is pure.
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
	Born     int64 // Unix milliseconds of the start of the process
	Sequence int64 // increases with each announcement of one start
	Service  string
	Slots    uint32
	Draining bool
	Warmup   time.Duration // time that the process remains cold
}

// Incarnation names the start of the process that the announcement is of.
func (a Announcement) Incarnation() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", a.ID, a.Born))
}

// Outcome says what an announcement changed.
type Outcome string

// Outcomes.
const (
	Accepted  Outcome = "accepted"
	Restarted Outcome = "restarted" // the first announcement of a new start of the process
	Stale     Outcome = "stale"     // an earlier start, or overtaken; it changes nothing
)

// Tracker holds the belief. The zero value knows no upstream. It is not safe for concurrent use.
type Tracker struct {
	Silence time.Duration // without an announcement, after which the upstream gets no new flows

	last  Announcement
	known bool
	gone  bool
	heard time.Time

	older Announcement // of a start that looks earlier, heard last while the known one was silent
}

// Announce processes an announcement.
func (t *Tracker) Announce(now time.Time, a Announcement) Outcome {
	same := t.known && a.ID == t.last.ID && a.Born == t.last.Born
	switch {
	case t.known && a.Born < t.last.Born && !t.replaces(now, a):
		return Stale
	case same && (a.Sequence <= t.last.Sequence || t.gone):
		return Stale
	case same && t.last.Draining:
		a.Draining = true // a process that leaves does not come back
	}
	restarted := t.known && !same
	t.last, t.known, t.gone, t.heard = a, true, false, now
	t.older = Announcement{}
	if restarted {
		return Restarted
	}
	return Accepted
}

// replaces reports whether a start that looks earlier than the known one is the one that lives: the known one is silent, and
// the other goes on announcing itself. The time of day of its VM was set back between the two; a delayed announcement comes
// alone.
func (t *Tracker) replaces(now time.Time, a Announcement) bool {
	if !t.Silent(now) {
		return false
	}
	again := a.ID == t.older.ID && a.Born == t.older.Born && a.Sequence > t.older.Sequence
	t.older = a
	return again
}

// Leave processes the end of the process with the identity. It reports whether that is the one that was known.
func (t *Tracker) Leave(id string) bool {
	if !t.known || t.last.ID != id {
		return false
	}
	t.gone = true
	return true
}

// Last returns the last announcement that counted.
func (t *Tracker) Last() (Announcement, bool) { return t.last, t.known && !t.gone }

// Silent reports whether the upstream has not announced itself for the time of Silence.
func (t *Tracker) Silent(now time.Time) bool { return t.known && now.Sub(t.heard) > t.Silence }

// Upstream returns what the forwarding machine uses.
func (t *Tracker) Upstream(now time.Time) passthrough.Upstream {
	if !t.known || t.gone {
		return passthrough.Upstream{}
	}
	return passthrough.Upstream{
		Present: true,
		Service: t.last.Service, Slots: t.last.Slots,
		Active: !t.last.Draining && !t.Silent(now), Leaving: t.last.Draining,
		Cold: now.Sub(t.heard) < t.last.Warmup,
	}
}
