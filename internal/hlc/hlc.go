// Package hlc is a hybrid logical clock: timestamps follow the wall clock and never contradict the order in which
// processes exchanged messages.
package hlc

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxDrift bounds how far a received timestamp may be ahead of the local wall clock. A process with a wrong clock
// would otherwise move the time line of every process that it talks to.
const maxDrift = time.Minute

// Timestamp is a point of the hybrid clock. Timestamps order by Wall, then by Logical.
type Timestamp struct {
	Wall    int64  // Unix milliseconds
	Logical uint32 // order of events within one millisecond
}

// Before tells whether t is earlier than u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// String returns wall.logical, which Parse reads.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.Wall, t.Logical) }

// Parse reads the text form of a timestamp.
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

// New returns a clock that reads the wall clock from now.
func New(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a timestamp later than all that this clock has issued or observed.
func (c *Clock) Now() Timestamp {
	wall := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(wall)
	return c.last
}

// Observe takes note of a received timestamp, so that later local events order after it. A timestamp too far ahead of
// the wall clock is refused.
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

// advance moves last past its current value. The caller holds mu.
func (c *Clock) advance(wall int64) {
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
		return
	}
	c.last.Logical++
}
