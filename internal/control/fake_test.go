package control_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/control"
	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/internal/result"
)

// memLog is an in-memory replicated log. The test chooses the leader, and only the leader may propose.
type memLog struct {
	mu       sync.Mutex
	now      func() time.Time
	leader   int
	index    uint64
	replicas []*replica
	members  []planner.ControlStatus

	answersToLose int // number of next proposals that are committed but answered with ProposalLost
}

// replica is one control VM's copy of the log and of the catalog state.
type replica struct {
	log     *memLog
	id      int
	state   *control.State
	applied chan struct{}
}

func newMemLog(n int, now func() time.Time) *memLog {
	l := &memLog{now: now}
	for i := range n {
		l.replicas = append(l.replicas, &replica{log: l, id: i, state: control.NewState(), applied: make(chan struct{}, 1)})
		l.members = append(l.members, planner.ControlStatus{ID: controlID(i), Address: controlAddress(i), Voter: true, Reachable: true, CaughtUp: true})
	}
	return l
}

func controlID(i int) string      { return string(rune('a'+i)) + "-control" }
func controlAddress(i int) string { return "127.0.0.1:" + string(rune('1'+i)) + "000" }

func (l *memLog) setLeader(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = i
}

func (l *memLog) committedIndex() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index
}

func (r *replica) Propose(_ context.Context, command []byte) ([]byte, error) {
	l := r.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != r.id {
		return nil, result.Errorf(result.NotLeader, "not the leader")
	}
	l.index++
	var answer []byte
	for _, other := range l.replicas {
		a := other.state.Apply(l.index, l.now(), command)
		if other == r {
			answer = a
		}
		select {
		case other.applied <- struct{}{}:
		default:
		}
	}
	if l.answersToLose > 0 {
		l.answersToLose--
		return nil, result.Errorf(result.ProposalLost, "answer lost")
	}
	return answer, nil
}

func (r *replica) Read(context.Context) error {
	if !r.Leading() {
		return result.Errorf(result.NotLeader, "not the leader")
	}
	return nil
}

func (r *replica) Leader() string {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	return controlAddress(r.log.leader)
}

func (r *replica) Leading() bool {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	return r.log.leader == r.id
}

func (r *replica) Applied() <-chan struct{} { return r.applied }

func (r *replica) Status() []planner.ControlStatus {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	return slices.Clone(r.log.members)
}

func (r *replica) Add(_ context.Context, id, address string) error {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	hasID := func(m planner.ControlStatus) bool { return m.ID == id }
	if !slices.ContainsFunc(r.log.members, hasID) {
		r.log.members = append(r.log.members, planner.ControlStatus{ID: id, Address: address, Reachable: true})
	}
	return nil
}

func (r *replica) Promote(_ context.Context, id string) error {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	for i := range r.log.members {
		if m := &r.log.members[i]; m.ID == id {
			m.Voter, m.CaughtUp = true, true
		}
	}
	return nil
}

func (r *replica) Remove(_ context.Context, id string) error {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.log.members = slices.DeleteFunc(r.log.members, func(m planner.ControlStatus) bool { return m.ID == id })
	return nil
}

// clock is a fake clock that moves only when the test advances it.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.UnixMilli(1_800_000_000_000)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
