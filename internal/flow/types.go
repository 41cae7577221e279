// Package flow decides which agent owns a caller's TCP flow. It is a deterministic state machine: its inputs are
// packets, messages of other agents, configurations and the time, and its outputs are typed actions.
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

// Packet is a caller's packet as received by the agent. The machine does not refer to Raw after the call returns; a
// packet that it holds has a copy.
type Packet struct {
	Key        model.FlowKey
	Flags      Flags
	Generation model.Revision // generation of the service at the entry VM that forwarded it
	Hops       uint8          // number of times that agents forwarded the packet
	Assigned   bool           // whether a home assigned the new flow of this SYN to the receiver
	Assigner   model.HostID   // the home that assigned the flow, set when Assigned
	// Assignment identifies the runs of the assigner and of the assignee (see function Assignment), so that a copy that
	// is delayed until after a restart of either is refused. It is set when Assigned; the tunnel must carry it
	// unchanged.
	Assignment uint64
	Raw        []byte // caller's IP packet
}

// ActionKind is the operation that an Action requests from the adapter.
type ActionKind uint8

// Kinds of action.
const (
	ActionDeliver    ActionKind = iota + 1 // deliver Packet on the local host
	ActionForward                          // send Packet to agent To; Packet.Hops already counts this hop
	ActionSend                             // send Message to agent To
	ActionReset                            // answer Packet with a TCP reset towards the caller
	ActionDrop                             // drop Packet and count Code
	ActionFetch                            // fetch a newer configuration now, because the current one is outdated
	ActionCloseLocal                       // reset the local connection of Packet.Key; Code is the reason
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
	// Tick retransmits messages, expires entries, and sends load reports and audits. The adapter calls it every
	// TickInterval.
	Tick(now time.Time, out []Action) []Action
	// Established reports that the caller's handshake of an owned flow is complete.
	Established(key model.FlowKey)
	// Closed reports that the local connection of an owned flow ended.
	Closed(now time.Time, key model.FlowKey)
	// SetLocal sets the state of the agent's own host: whether it may accept new flows, and its current load.
	SetLocal(l Local)
	// Stats returns current table sizes.
	Stats() Stats
}

// TickInterval is the interval at which an adapter calls Tick.
const TickInterval = 50 * time.Millisecond

// Local is the state of the agent's own host.
type Local struct {
	// AcceptNew reports whether the host may accept new flows. It is false while the host is draining, has no lease, or
	// is closing. The adapter clears it no later than the lease expires by the agent's own clock. After a lease was
	// lost, the adapter sets it again only when it has applied a configuration that was fetched after the renewal: an
	// older configuration may name this agent as the home of buckets that now have another home.
	AcceptNew bool
	Load      float64 // running and queued work divided by slots
	Cold      bool    // the upstream process is still starting
}

// Stats are current table sizes.
type Stats struct {
	Owned     int
	HalfOpen  int
	Redirects int
	Held      int // packets that wait for an answer or a configuration
	Unsealed  int // buckets of this home that some member has not sealed
}
