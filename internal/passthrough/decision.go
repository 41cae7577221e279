package passthrough

// Verdict is the action to take on a packet.
type Verdict uint8

// Verdicts.
const (
	Drop      Verdict = iota // send nothing
	ToPeer                   // send Decision.Forward and the packet to the agent Decision.Peer
	ToCaller                 // send the packet unchanged to the caller
	ToHost                   // send the packet to the upstream on this VM
	SendReset                // send a reset of the flow to the caller
	ToSeveral                // send the packet to several agents, see Decision.Peers
)

// Reason is the reason of a Verdict, for logs and counters.
type Reason string

// Reasons.
const (
	ReasonPlaced       Reason = "placed"
	ReasonRetried      Reason = "placed_again"
	ReasonKnown        Reason = "known"
	ReasonSearch       Reason = "search"
	ReasonAskMany      Reason = "ask_many"
	ReasonLocated      Reason = "located"
	ReasonSweep        Reason = "sweep"
	ReasonNoRoute      Reason = "no_route"
	ReasonNoTable      Reason = "no_declaration"
	ReasonNoPeer       Reason = "no_upstream"
	ReasonPassedOn     Reason = "passed_on"
	ReasonHeldNowhere  Reason = "held_nowhere"
	ReasonUnsettled    Reason = "roster_unsettled"
	ReasonAnswer       Reason = "answer"
	ReasonService      Reason = "wrong_service"
	ReasonOrphaned     Reason = "upstream_started_anew"
	ReasonFailing      Reason = "upstream_failing"
	ReasonUnreachable  Reason = "agent_unreachable"
	ReasonNotAnnounced Reason = "upstream_not_announced"
)

// Decision is the result of processing one packet.
type Decision struct {
	Verdict         Verdict
	Reason          Reason
	Peer            Endpoint
	Peers           []Endpoint // with ToSeveral: agents that get the packet with Forward, besides Peer
	PeerForward     Forward    // with ToSeveral: header for Peer, if that is set
	Sections        []Section  // with ToSeveral: sections of a sweep, one for each of Peers, or none
	Probe           bool       // also send a probe to Peer
	Also            *Decision  // with ToHost: also execute this decision, because the VM may have no upstream
	Forward         Forward
	FlowHeld        *FlowHeld        // message to NotifyEntry
	FlowNotHeld     bool             // notify NotifyEntry that this agent's upstream does not hold the flow
	NotifyEntry     Endpoint         // entry to notify
	NotifyNodes     directoryNodes   // directory nodes that receive FlowNotHeld as well
	FlowLocated     *FlowLocated     // message to NotifyEntry
	SectionSearched *SectionSearched // message to Peer, with Drop

	// For logs.
	Load       float64 // placement cost of the chosen agent
	AgeMs      int64   // age of the agent's last report
	Unanswered bool    // the caller retransmits the packet without an answer
	Change     Change  // change of the flow at the upstream
	Flows      int     // open flows at the upstream after the packet
	Busy       int     // flows at the upstream with an unanswered request
}

// Change is the effect of an upstream's packet on its flow.
type Change string

// Changes.
const (
	Unchanged Change = ""
	Opened    Change = "opened"
	Ended     Change = "ended"
)
