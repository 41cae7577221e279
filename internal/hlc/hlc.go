// Package hlc implements a hybrid logical clock: timestamps follow the wall clock, and the receipt of a message has a
// later timestamp than its sending.
package hlc

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxDrift bounds how far a received timestamp may be ahead of the local wall clock. Without the bound, a process whose
// clock is ahead would advance the clock of every process that it exchanges messages with.
const maxDrift = time.Minute

// Timestamp is a point of the hybrid clock. Timestamps order by Wall, then by Logical.
type Timestamp struct {
	Wall    int64  // Unix milliseconds
	Logical uint32 // order of events within one millisecond
}

// Before reports whether t is earlier than u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// String returns the text form WALL.LOGICAL, which Parse accepts.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.Wall, t.Logical) }

// Parse parses the text form of a timestamp.
func Parse(s string) (Timestamp, error) {
	wall, logical, found := strings.Cut(s, ".")
	if !found {
		return Timestamp{}, fmt.Errorf("timestamp %q has no logical part", s)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q: %w", s, err)
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q: %w", s, err)
	}
	return Timestamp{Wall: w, Logical: uint32(l)}, nil
}

// Clock issues timestamps. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last Timestamp // latest timestamp issued or observed; never decreases
}

// New returns a clock whose wall clock is the function now.
func New(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a timestamp that is later than every timestamp that this clock has issued or observed.
func (c *Clock) Now() Timestamp {
	wall := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(wall)
	return c.last
}

// Observe merges a received timestamp, so that later local timestamps are greater. It refuses a timestamp that is more
// than maxDrift ahead of the wall clock.
func (c *Clock) Observe(t Timestamp) error {
	wall := c.now().UnixMilli()
	if ahead := t.Wall - wall; ahead > maxDrift.Milliseconds() {
		return fmt.Errorf("timestamp %s is %d ms ahead of the local clock", t, ahead)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(t) {
		c.last = t
	}
	c.advance(wall)
	return nil
}

// advance sets last to the given wall time, or increments its logical part if the wall time has not advanced. The caller
// holds mu.
func (c *Clock) advance(wall int64) {
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
		return
	}
	c.last.Logical++
}
