// Package control is the control role: the goroutine that owns membership and carries out plans on the leader, and the
// twirp servers for operators and hosts. The replicated log and the identity of callers are passed in.
package control

import (
	"context"

	"github.com/plantainseam/plantainseam/internal/planner"
)

// Log is the part of the `catalog` log that the control role uses. Implementations are safe for concurrent use.
type Log interface {
	// Propose returns the result of Apply after the command is committed. result.NotLeader and result.NoQuorum mean that
	// it was not; result.ProposalLost that this is not known.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Read returns when the local state machine has applied everything that was committed before the call.
	Read(ctx context.Context) error
	// Leader returns the RPC address of the leader, or "" if none is known.
	Leader() string
	// Leading says whether this VM is the leader.
	Leading() bool
	// Applied receives a value after commands were applied. One value may stand for several commands.
	Applied() <-chan struct{}
}

// Members changes the control VMs of every log. Each call is idempotent: adding a member that is present and removing
// one that is absent succeed.
type Members interface {
	Status() []planner.ControlStatus
	// Add adds a VM that receives the logs and does not vote yet.
	Add(ctx context.Context, id, address string) error
	// Promote makes an added VM a voter, or returns result.MemberNotCaughtUp.
	Promote(ctx context.Context, id string) error
	Remove(ctx context.Context, id string) error
}
