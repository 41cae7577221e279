// Package announce sends the announcements of an entry or agent: it calls the leader of the control VMs once per
// heartbeat, follows leader hints, and keeps the lease from the latest answer.
package announce

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
)

// target chooses the control VM to call. It is deterministic and not safe for concurrent use.
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

// setLeader sets the leader that the called control VM named. If it named none, or itself although it is not the leader,
// the next call goes to another VM.
func (t *target) setLeader(leader string) {
	if leader == "" || leader == t.address() {
		t.advance()
		return
	}
	t.leader = leader
}

// advance discards the leader hint and selects the next VM of the settings, after a call without a usable answer.
func (t *target) advance() {
	t.leader = ""
	t.next++
}

// Lease permits a host to accept new work. It starts when the call is sent, so that it ends at the host before the
// control VMs consider it expired, however long the answer took.
type Lease struct {
	Until    time.Time
	Revision model.Revision // newest committed configuration according to the leader
	Drained  bool           // whether a leaving host may stop
}

// Valid reports whether the lease has not expired.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.Until) }
