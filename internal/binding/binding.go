// Package binding records which agent runs the request of an idempotency key. Table is the replicated state machine of
// the `bindings` log; Client and Server carry its commands between agents and control VMs.
//
// A key is bound to one owner incarnation and to one attempt of that incarnation. Only a Release by that owner, or the
// expiry of the record, frees a key, so no second agent can obtain it while the first may have dispatched the request.
package binding

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// HashSize is the length of key hashes and digests in bytes. 128 bits of SHA-256 keep records free of pointers and make
// an accidental collision among 2^40 keys less likely than 2^-48.
const HashSize = 16

// Hash identifies a key within the table.
type Hash [HashSize]byte

// Digest identifies a request: method, target, body and deadline.
type Digest [HashSize]byte

// HashKey returns the hash of a service's key.
func HashKey(service model.ServiceID, key string) Hash {
	buf := make([]byte, 4, 4+len(key))
	binary.BigEndian.PutUint32(buf, uint32(service))
	sum := sha256.Sum256(append(buf, key...))
	return Hash(sum[:HashSize])
}

// Outcome tells how a Bind ended. The values equal those of bindpb.Outcome.
type Outcome uint8

// Outcomes of a Bind.
const (
	Unreached Outcome = iota // no answer; the bind may or may not have been applied
	Bound                    // the caller's attempt owns the key
	Owned                    // another owner or a later attempt holds the key, and its run has not ended
	Finished                 // the owner's run ended
	Mismatch                 // the key belongs to another request
	Unknown                  // the owner was lost before it recorded a result
	Expired                  // the deadline has passed in the log's time
	Full                     // the table is full
)

// Request asks to bind a key.
type Request struct {
	Service  model.ServiceID
	Key      string
	Digest   Digest
	Owner    model.HostRef
	Attempt  uint64    // increases with each new bind of the owner incarnation; a resend repeats it
	Deadline time.Time // zero for none
}

// Answer is the result of a Bind.
type Answer struct {
	Outcome Outcome
	Owner   model.HostRef // holder of the key, for Owned, Finished and Unknown
	Code    result.Code   // code for the caller when the request cannot run here
}

// Ref identifies a key, its owner and an attempt of the owner. Finish takes exactly this attempt, Release every attempt
// up to it.
type Ref struct {
	Service model.ServiceID
	Key     string
	Owner   model.HostRef
	Attempt uint64
}

// Binder binds, finishes and releases keys in the `bindings` log. Each call retries until it has an answer or ctx
// ends. A lost answer of Bind is handled by resending the same attempt: the table answers Bound again, and the request
// machine dispatches an attempt only once.
type Binder interface {
	// Bind returns an error only when no control VM answered; the bind may then have been applied.
	Bind(ctx context.Context, r Request) (Answer, error)
	// Finish records how the run of the attempt ended.
	Finish(ctx context.Context, ref Ref, code result.Code) error
	// Release frees the key. The owner must never dispatch an attempt up to ref.Attempt afterwards.
	Release(ctx context.Context, ref Ref) error
}

// Proposer appends commands to the `bindings` log and returns the result of applying them. Errors carry
// result.NotLeader, result.NoQuorum or result.ProposalLost.
type Proposer interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Leader returns the RPC address of the leader, or "" if it is not known.
	Leader() string
}
