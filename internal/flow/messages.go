package flow

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// MaxCallers bounds the callers in one message, so that a message with IPv6 callers fits into one packet of 1,280 bytes.
const MaxCallers = 48

// Register reports to a home which flows of its buckets the sender owns. The home replies with RegisterAck.
type Register struct {
	Service         model.ServiceID
	Generation      model.Revision    // generation in force at the sender
	HomeIncarnation model.Incarnation // run of the home that the message is addressed to
	Sequence        uint32            // see Sequence in Answer; a retransmission gets a new one
	Callers         []netip.AddrPort
	// Seal states that the sender has registered all its flows of the home's buckets. With it the sender promises to act
	// as home of these buckets only under Generation or a later generation.
	Seal bool
}

// RegisterAck acknowledges a Register.
type RegisterAck struct {
	Service     model.ServiceID
	Generation  model.Revision    // generation in force at the home
	Incarnation model.Incarnation // run of the owner that is acknowledged
	Sequence    uint32
	Rejected    []netip.AddrPort // flows that have another owner; the receiver ends them
}

// Query asks a member whether it owns the flows of the given callers. Before it answers, the member promises to act as
// home of their buckets only under Generation or a later generation.
type Query struct {
	Service    model.ServiceID
	Generation model.Revision
	Callers    []netip.AddrPort
	Audit      bool // the home has redirects to the receiver and deletes them if the receiver does not own the flows
}

// Answer replies to a Query.
type Answer struct {
	Service     model.ServiceID
	Generation  model.Revision    // generation of the query
	Incarnation model.Incarnation // run of the home that asked
	Owned       []netip.AddrPort
	Free        []netip.AddrPort // flows that the sender does not own and will not accept under an older generation
	// Sequence orders the messages of one run of an agent about its flows: Register, Answer, Decline and Release. A home
	// ignores a message that is older than one it has received, because it may have acted on the newer message.
	Sequence uint32
	Stale    bool // the sender knows a newer generation or another home; Free omits the flows concerned
	Audit    bool // Audit of the query
}

// Decline tells a home that the sender does not own a flow whose packet was forwarded to it, and that the sender will
// not accept a delayed copy of the same assignment.
type Decline struct {
	Service         model.ServiceID
	HomeIncarnation model.Incarnation
	Caller          netip.AddrPort
	Code            result.Code // why the flow was declined
	Generation      model.Revision
	Sequence        uint32
	Hops            uint8
	SYN             []byte // the caller's packet if it is a SYN, for the home to assign without a retransmission
}

// Release tells a home that flows of the sender have ended. It is not acknowledged: audits find the redirects that
// remain when a Release is lost.
type Release struct {
	Service    model.ServiceID
	Generation model.Revision // generation in force at the sender
	Sequence   uint32
	Callers    []netip.AddrPort
}

// Load reports the sender's load to another agent of a service.
type Load struct {
	Service     model.ServiceID
	Generation  model.Revision
	Incarnation model.Incarnation // run of the receiver as known to the sender
	Flows       uint32            // owned and half-open flows of the service
	FreeFlows   uint32            // connections that the host can still accept, over all services
	Load        float64           // running and queued work divided by slots, as reported by the host
	Accept      bool              // whether the sender accepts new flows of the service
	Cold        bool              // whether the sender's upstream process is still starting
}

func (Register) flowMessage()    {}
func (RegisterAck) flowMessage() {}
func (Query) flowMessage()       {}
func (Answer) flowMessage()      {}
func (Decline) flowMessage()     {}
func (Release) flowMessage()     {}
func (Load) flowMessage()        {}
