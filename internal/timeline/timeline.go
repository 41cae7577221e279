// Package timeline records the events of one process in a bounded ring and merges the rings of several processes in
// causal order.
package timeline

import (
	"sync"

	"github.com/plantainseam/plantainseam/internal/hlc"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Kind names what happened.
type Kind string

// Kinds of event.
const (
	KindStarted         Kind = "started"
	KindStopping        Kind = "stopping"
	KindConfigApplied   Kind = "config-applied"
	KindConfigRefused   Kind = "config-refused"
	KindLeader          Kind = "leader"
	KindIntent          Kind = "intent"
	KindStep            Kind = "step"
	KindHostAnnounced   Kind = "host-announced"
	KindHostLost        Kind = "host-lost"
	KindLease           Kind = "lease"
	KindFlow            Kind = "flow"
	KindRequest         Kind = "request"
	KindDrain           Kind = "drain"
	KindAccountMismatch Kind = "account-mismatch"
	KindKeyRotated      Kind = "key-rotated"
)

// Event is one entry of the time line. Zero fields do not apply.
type Event struct {
	Sequence uint64 // per process, increases by one
	Time     hlc.Timestamp
	Process  model.HostRef
	Kind     Kind
	Service  model.ServiceID
	Host     model.HostID
	Intent   uint64
	Caller   string // address of the caller
	Code     result.Code
	Detail   string
}

// Recorder keeps the latest events of a process. It is safe for concurrent use.
type Recorder struct {
	clock   *hlc.Clock
	process model.HostRef

	mu   sync.Mutex
	ring []Event // ring[(sequence-1) % len] holds the event with that sequence
	next uint64  // sequence of the next event, starts at 1
}

// NewRecorder returns a recorder that keeps the latest size events.
func NewRecorder(process model.HostRef, clock *hlc.Clock, size int) *Recorder {
	return &Recorder{clock: clock, process: process, ring: make([]Event, size), next: 1}
}

// Record adds an event. Sequence, Time and Process are set here.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.clock.Now()
	e.Process = r.process
	e.Sequence = r.next
	r.ring[(r.next-1)%uint64(len(r.ring))] = e
	r.next++
}

// Events returns up to limit events with a sequence above after, oldest first, and how many such events the ring has
// already overwritten.
func (r *Recorder) Events(after uint64, limit int) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := after + 1
	oldest := uint64(1)
	if size := uint64(len(r.ring)); r.next > size {
		oldest = r.next - size
	}
	var dropped uint64
	if first < oldest {
		dropped = oldest - first
		first = oldest
	}
	var out []Event
	for seq := first; seq < r.next && len(out) < limit; seq++ {
		out = append(out, r.ring[(seq-1)%uint64(len(r.ring))])
	}
	return out, dropped
}
