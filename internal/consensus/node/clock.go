package node

import "time"

// Clock is the source of time of a node.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Ticker returns a channel that receives the time at the given interval, and a function that stops the ticker.
	Ticker(interval time.Duration) (<-chan time.Time, func())
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Ticker implements Clock.
func (SystemClock) Ticker(interval time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(interval)
	return t.C, t.Stop
}
