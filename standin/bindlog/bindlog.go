// Package bindlog is a stand-in for the replicated `bindings` log: one table in memory that loses proposals before or
// after they are applied.
package bindlog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Log is a binding.Proposer over one Table. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	table    *binding.Table
	clock    func() time.Time
	proposed int
	fail     func(n int) (before, after error)
	leader   string
}

// New returns a log over table that reads its time from clock.
func New(table *binding.Table, clock func() time.Time) *Log {
	return &Log{table: table, clock: clock, fail: func(int) (error, error) { return nil, nil }}
}

// FailWith sets what happens to the n-th proposal, counted from 1: before is returned without applying it, after is
// returned although it was applied.
func (l *Log) FailWith(fail func(n int) (before, after error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail = fail
}

// Lose loses a share of proposals, half of them before and half after they are applied.
func (l *Log) Lose(share float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	lost := func(when string) error {
		if random.Float64() < share/2 {
			return result.Errorf(result.ProposalLost, "lost %s it was applied", when)
		}
		return nil
	}
	l.FailWith(func(int) (error, error) { return lost("before"), lost("after") })
}

// SetLeader sets the hint that a failed proposal gives.
func (l *Log) SetLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = address
}

// Propose applies a command unless it is lost.
func (l *Log) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposed++
	before, after := l.fail(l.proposed)
	if before != nil {
		return nil, before
	}
	out := l.table.Apply(uint64(l.proposed), l.clock(), command)
	if after != nil {
		return nil, after
	}
	return out, nil
}

// Leader returns the hint.
func (l *Log) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// Restart replaces the table by one restored from its snapshot.
func (l *Log) Restart() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot, err := l.table.Snapshot()
	if err != nil {
		return err
	}
	table := binding.NewTable(l.table.Stats().Limit)
	if err := table.Restore(snapshot); err != nil {
		return err
	}
	l.table = table
	return nil
}

// Stats returns the sums of the table.
func (l *Log) Stats() binding.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Stats()
}
