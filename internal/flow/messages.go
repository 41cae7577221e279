package flow

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// MaxCallers bounds the callers in one message, so that it fits into one packet of 1,280 bytes for IPv6 callers.
const MaxCallers = 48

// Register tells a home which flows of its buckets the sender owns. The home acknowledges it with RegisterAck.
type Register struct {
	Service         model.ServiceID
	Generation      model.Revision    // generation in force at the sender
	HomeIncarnation model.Incarnation // run of the home that this registration is for
	Sequence        uint32            // see Sequence in Answer; a retransmission gets a new one
	Callers         []netip.AddrPort
	// Seal says that every flow of the home's buckets has now been registered, and promises to act for them only under
	// Generation or a later one.
	Seal bool
}

// RegisterAck acknowledges a Register.
type RegisterAck struct {
	Service     model.ServiceID
	Generation  model.Revision    // generation in force at the home
	Incarnation model.Incarnation // run of the owner that is acknowledged
	Sequence    uint32
	Rejected    []netip.AddrPort // flows that have another owner; the sender ends them
}

// Query asks a member whether it owns flows. Before answering, the member promises to act for their buckets only under
// Generation or a later one.
type Query struct {
	Service    model.ServiceID
	Generation model.Revision
	Callers    []netip.AddrPort
	Audit      bool // the home believes that the receiver owns the flows, and deletes its redirects otherwise
}

// Answer replies to a Query.
type Answer struct {
	Service     model.ServiceID
	Generation  model.Revision    // generation of the query
	Incarnation model.Incarnation // run of the home that asked
	Owned       []netip.AddrPort
	Free        []netip.AddrPort // not owned, and not accepted later under an older generation
	// Sequence orders everything that one run of an agent says about its flows: Register, Answer, Decline and Release. A
	// home ignores what is older than what it has received, because it may have acted on the newer statement.
	Sequence uint32
	Stale    bool // the sender knows a newer generation with another home; Free is empty
	Audit    bool
}

// Decline tells a home that the sender does not own a flow that was forwarded to it, and will not accept a delayed copy
// of the same assignment.
type Decline struct {
	Service         model.ServiceID
	HomeIncarnation model.Incarnation
	Caller          netip.AddrPort
	Code            result.Code // why the flow was declined
	Generation      model.Revision
	Sequence        uint32
	Hops            uint8
	SYN             []byte // the caller's packet when it was a SYN; the home assigns it again without a retransmission
}

// Release tells a home that flows of the sender ended. It is not acknowledged: audits find the redirects of lost ones.
type Release struct {
	Service    model.ServiceID
	Generation model.Revision // generation in force at the sender
	Sequence   uint32
	Callers    []netip.AddrPort
}

// Load tells the other agents of a service how much work the sender has.
type Load struct {
	Service     model.ServiceID
	Generation  model.Revision
	Incarnation model.Incarnation // run of the receiver as known to the sender
	Flows       uint32            // owned and half-open flows of the service
	FreeFlows   uint32            // connections that the host can still accept, over all services
	Load        float64           // running and queued work divided by slots, as reported by the host
	Accept      bool
	Cold        bool
}

func (Register) flowMessage()    {}
func (RegisterAck) flowMessage() {}
func (Query) flowMessage()       {}
func (Answer) flowMessage()      {}
func (Decline) flowMessage()     {}
func (Release) flowMessage()     {}
func (Load) flowMessage()        {}
