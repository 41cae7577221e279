// Package flow decides which agent owns a caller's TCP flow. It is a deterministic state machine: packets, messages of
// other agents, configurations and the time come in, and typed actions come out.
package flow

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
)

// Flags are the TCP flags that matter for ownership.
type Flags uint8

// TCP flags.
const (
	FlagSYN Flags = 1 << iota // set on a connection request only, not on SYN-ACK
	FlagRST
	FlagFIN
)

// Packet is a caller's packet as it reached the agent. Raw is not kept after the call returns, unless an action that
// holds a copy is returned later.
type Packet struct {
	Key        model.FlowKey
	Flags      Flags
	Generation model.Revision // generation of the service at the entry VM that forwarded it
	Hops       uint8          // times that agents forwarded it
	Assigned   bool           // the home chose this agent as the owner of a new flow
	Assigner   model.HostID   // the home, set when Assigned
	// Assignment identifies the runs of the assigner and of the assignee (see Assignment), so that a copy delayed
	// beyond a restart of either is refused. It is set when Assigned and must be carried unchanged by the tunnel.
	Assignment uint64
	Raw        []byte // caller's IP packet
}

// ActionKind says what an adapter has to do.
type ActionKind uint8

// Kinds of action.
const (
	ActionDeliver    ActionKind = iota + 1 // hand Packet to the local delivery
	ActionForward                          // send Packet to agent To, with one more hop
	ActionSend                             // send Message to agent To
	ActionReset                            // answer Packet with a TCP reset towards the caller
	ActionDrop                             // drop Packet and count Code
	ActionFetch                            // the configuration is behind; fetch a newer one now
	ActionCloseLocal                       // end the local connection of Packet.Key with a reset; Code says why
)

// Action is one output of the machine.
type Action struct {
	Kind    ActionKind
	To      model.HostID
	Packet  Packet
	Message Message
	Code    result.Code
}

// Message is sent between agents of a service. Every implementation is a struct of this package; package flow/wire
// encodes them.
type Message interface{ flowMessage() }

// Machine is the ownership state machine of one agent. It is not safe for concurrent use: the agent's packet goroutine
// is its only caller.
type Machine interface {
	// Packet handles a caller's packet. Actions are appended to out, which lets the caller reuse the slice.
	Packet(now time.Time, p Packet, out []Action) []Action
	// Message handles a message of another agent.
	Message(now time.Time, from model.HostRef, m Message, out []Action) []Action
	// Apply installs a configuration with its bucket table. An older revision is ignored.
	Apply(now time.Time, s *model.Snapshot, t *routing.Table, out []Action) []Action
	// Tick retransmits, expires and exchanges load; the adapter calls it every TickInterval.
	Tick(now time.Time, out []Action) []Action
	// Established reports that the caller's handshake of an owned flow is complete.
	Established(key model.FlowKey)
	// Closed reports that the local connection of an owned flow ended.
	Closed(now time.Time, key model.FlowKey)
	// SetLocal sets what the agent knows about its own host: whether it may take new flows and its current load.
	SetLocal(l Local)
	// Stats returns current table sizes.
	Stats() Stats
}

// TickInterval is the interval at which an adapter calls Tick.
const TickInterval = 50 * time.Millisecond

// Local is the state of the agent's own host.
type Local struct {
	// AcceptNew is false when draining, without a lease, or closing. The adapter clears it no later than the lease expires
	// by the agent's own clock. After a lease was lost, it sets it again only when a configuration that was fetched after
	// the renewal has been applied: an older one may name this agent as a home that others have replaced.
	AcceptNew bool
	Load      float64 // running and queued work divided by slots
	Cold      bool    // the upstream process is still starting
}

// Stats are current table sizes.
type Stats struct {
	Owned     int
	HalfOpen  int
	Redirects int
	Held      int // packets that wait for an ownership answer
	Unsealed  int // home buckets that are not sealed by every member
}
