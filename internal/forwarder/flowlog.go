package forwarder

import "github.com/plantainseam/plantainseam/internal/passthrough"

// logRefusal logs a packet that was not sent to a single agent: it was dropped, sent to several agents, or its flow was
// reset.
func (n *node) logRefusal(s passthrough.Segment, d passthrough.Decision) {
	_ = n.cfg.Logger.Log("event", "flow_refused", "flow", s.Flow, "opens", s.Opens(), "reason", d.Reason,
		"reset", d.Verdict == passthrough.SendReset, "asked", len(d.Peers), "version", n.version())
}

// logPeer logs the choice of an agent for a new flow, and a search for the holder of an established one. Packets of
// flows whose holder is known are only counted.
func (n *node) logPeer(s passthrough.Segment, d passthrough.Decision) {
	switch d.Reason {
	case passthrough.ReasonKnown:
		return
	case passthrough.ReasonPlaced:
		_ = n.cfg.FlowLog.Log("event", "flow_placed", "flow", s.Flow, "agent", d.Peer, "load", d.Load, "age_ms", d.AgeMs,
			"version", d.Forward.Version)
		return
	}
	logger := n.cfg.Logger
	if d.Reason != passthrough.ReasonRetried {
		logger = n.cfg.FlowLog // after a change of the entry, every flow is searched for once
	}
	_ = logger.Log("event", "flow_searched", "flow", s.Flow, "opens", s.Opens(), "reason", d.Reason, "agent", d.Peer,
		"visited", len(d.Forward.Visited), "version", d.Forward.Version)
}

// logSweep logs the start of a sweep.
func (n *node) logSweep(s passthrough.Segment, d passthrough.Decision) {
	_ = n.cfg.FlowLog.Log("event", "flow_searched", "flow", s.Flow, "opens", false, "reason", d.Reason, "sections", len(d.Peers),
		"visited", len(d.Forward.Visited), "version", d.Forward.Version)
}

// logUnanswered logs that a caller retransmits a packet whose holder is known.
func (n *node) logUnanswered(s passthrough.Segment, d passthrough.Decision) {
	_ = n.cfg.Logger.Log("event", "flow_unanswered", "flow", s.Flow, "agent", d.Peer, "age_ms", d.AgeMs, "version",
		d.Forward.Version)
}

// logFound logs the end of a search.
func (n *node) logFound(f passthrough.Flow, holder passthrough.Endpoint, a passthrough.Resolution) {
	_ = n.cfg.FlowLog.Log("event", "flow_found", "flow", f, "agent", holder, "ms", a.ElapsedMs)
}

// logChange logs the opening and the end of a flow at the upstream.
func (n *node) logChange(s passthrough.Segment, d passthrough.Decision) {
	_ = n.cfg.FlowLog.Log("event", "flow_"+string(d.Change), "flow", s.Flow, "flows", d.Flows, "busy", d.Busy)
}

// logSilence logs the agents that have become too silent for new flows since the last roster, and those that report
// again. The caller holds mu.
func (e *Entry) logSilence(peers []passthrough.Peer) {
	listed := make(map[passthrough.Endpoint]bool, len(e.silentAgents))
	for _, p := range peers {
		was := e.silentAgents[p.Tunnel]
		switch {
		case p.Silent() && !was:
			_ = e.cfg.Logger.Log("event", "agent_silent", "agent", p.Tunnel, "age_ms", p.AgeMs)
		case !p.Silent() && was:
			_ = e.cfg.Logger.Log("event", "agent_regained", "agent", p.Tunnel, "age_ms", p.AgeMs)
		}
		if p.Silent() {
			listed[p.Tunnel] = true
		}
	}
	e.silentAgents = listed
}
