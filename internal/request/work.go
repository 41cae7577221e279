package request

import (
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// state is the state of a work item.
type state uint8

const (
	stateBinding     state = iota + 1 // waits for the outcome of its bind
	stateBackoff                      // binds again at retryAt
	stateQueued                       // admitted
	stateRunning                      // dispatched
	stateJoining                      // another agent owns the key
	stateHandingOver                  // handed over to another agent
	stateReleasing                    // did not run; waits until the log has freed the key
	stateFinishing                    // ended; waits until the log has recorded it
	stateRetained                     // ended and recorded; kept for retries
)

type workKey struct {
	service model.ServiceID
	key     string
}

type waiter struct {
	id     ID
	caller netip.AddrPort
	isJoin bool // the waiter is a joining agent, not a caller
}

// workItem is one request and the waiters for its answer. Sends of the same key share it.
type workItem struct {
	Received // the first send
	key      workKey
	state    state
	attempt  uint64
	bound    bool // the log has bound the key to attempt
	waiters  []waiter

	maybeRan             bool // an upstream may have seen an earlier send of this work item
	runCancelled         bool // the current run was cancelled
	deadlineExceeded     bool // the current run passed its deadline
	isProbe              bool // tests an ejected upstream
	handOverAfterRelease bool // hand-over follows once the key is released

	startedAt    time.Time // start of the current run
	cancelAt     time.Time // end of Config.CancelGrace for a run without waiters
	retryAt      time.Time
	runDeadline  time.Time // deadline of the request, or Config.MaxRun after its arrival
	joinDeadline time.Time // when attempts to join end; zero before the first

	owner         model.HostRef // owner of the key, in stateJoining
	ownerFinished bool
	ownerCode     result.Code

	offeredTo []model.HostID // agents that were asked to run it
	code      result.Code    // result code, once ended
	answer    *Answer
}

func (w *workItem) keyed() bool { return w.key.key != "" }

func (w *workItem) ref(self model.HostRef) binding.Ref {
	return binding.Ref{Service: w.Service, Key: w.key.key, Owner: self, Attempt: w.attempt}
}

// expired reports whether the deadline or the run limit has passed.
func (w *workItem) expired(now time.Time) bool { return !now.Before(w.runDeadline) }

func (w *workItem) removeWaiter(id ID) (waiter, bool) {
	i := slices.IndexFunc(w.waiters, func(x waiter) bool { return x.id == id })
	if i < 0 {
		return waiter{}, false
	}
	x := w.waiters[i]
	w.waiters = slices.Delete(w.waiters, i, i+1)
	return x, true
}
