// Package consensus is a replicated log: leader election with pre-vote, replication, snapshots and one-at-a-time
// membership change, as a deterministic state machine without sockets, disks or clocks.
package consensus

import "time"

// StateMachine is the replicated state that a log drives. Apply must be deterministic: it uses no clock and no random
// numbers, only its arguments. Implementations are called from one goroutine.
type StateMachine interface {
	// Apply executes a committed command. at is the leader's clock when it proposed the command and never decreases
	// from one call to the next. The result is returned to the proposer.
	Apply(index uint64, at time.Time, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}
