package request

import (
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// state is the state of a unit of work.
type state uint8

const (
	stateBinding   state = iota + 1 // received; waits for the outcome of its bind
	statePausing                    // received; binds again at retryAt
	stateQueued                     // admitted
	stateRunning                    // dispatched
	stateJoining                    // another agent owns the key
	stateHanding                    // handed over to another agent
	stateReleasing                  // not run; waits until the log has freed the key
	stateFinishing                  // ended; waits until the log has recorded it
	stateRetained                   // ended and recorded; kept for retries
)

type workKey struct {
	service model.ServiceID
	key     string
}

type waiter struct {
	id     ID
	caller netip.AddrPort
	remote bool // a joining agent
}

// work is one request and everyone who waits for its answer. Sends of the same key share it.
type work struct {
	Received // the send that began it
	key      workKey
	state    state
	attempt  uint64
	bound    bool // the log has bound the key to attempt
	waiters  []waiter

	maybeRan bool // an upstream may have seen an earlier send of this work
	stopped  bool // the run was cancelled
	late     bool // the run was cancelled because its deadline passed
	probe    bool // tests an ejected upstream
	handNext bool // hand over after the release

	started  time.Time // of the run
	cancelAt time.Time // end of the grace for a run without waiters
	retryAt  time.Time
	limitAt  time.Time // deadline, or the limit for requests without one
	giveUpAt time.Time // end of the attempts to join; zero before the first

	owner         model.HostRef // while joining
	ownerFinished bool
	ownerCode     result.Code

	tried  []model.HostID // agents that it was handed over to
	code   result.Code    // of the end
	answer *Answer
}

func (w *work) keyed() bool { return w.key.key != "" }

func (w *work) ref(self model.HostRef) binding.Ref {
	return binding.Ref{Service: w.Service, Key: w.key.key, Owner: self, Attempt: w.attempt}
}

// expired tells whether the deadline or the run limit has passed.
func (w *work) expired(now time.Time) bool { return !now.Before(w.limitAt) }

func (w *work) removeWaiter(id ID) (waiter, bool) {
	i := slices.IndexFunc(w.waiters, func(x waiter) bool { return x.id == id })
	if i < 0 {
		return waiter{}, false
	}
	x := w.waiters[i]
	w.waiters = slices.Delete(w.waiters, i, i+1)
	return x, true
}
