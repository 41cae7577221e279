// Package announce keeps the announcement of an entry or agent alive: it calls the leader of the control VMs once per
// heartbeat, follows leader hints, and turns each answer into a lease.
package announce

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
)

// target chooses the control VM to call. It is deterministic and used by one goroutine.
type target struct {
	servers []string // RPC addresses from the settings
	next    int      // index into servers, used when no leader is known
	leader  string   // latest leader hint, empty for none
}

// address returns the control VM for the next call.
func (t *target) address() string {
	if t.leader != "" {
		return t.leader
	}
	return t.servers[t.next%len(t.servers)]
}

// hint notes the leader that a control VM named. A VM that names none, or itself without being the leader, is skipped.
func (t *target) hint(leader string) {
	if leader == "" || leader == t.address() {
		t.failed()
		return
	}
	t.leader = leader
}

// failed notes that the latest call got no usable answer; the next call goes to another VM.
func (t *target) failed() {
	t.leader = ""
	t.next++
}

// Lease is the right of a host to take new work. It is counted from the moment the call was sent, so that it ends
// here before the control VMs consider it ended, however late the answer came.
type Lease struct {
	Until    time.Time
	Revision model.Revision // newest committed configuration, as the leader knows it
	Drained  bool           // a leaving host may stop
}

// Valid tells whether the host may take new work.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.Until) }
