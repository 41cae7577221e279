package forwarder

import "github.com/plantainseam/plantainseam/internal/passthrough"

// logRefusal logs a packet that reached no upstream, or whose flow was reset.
func (l *link) logRefusal(s passthrough.Segment, d passthrough.Decision) {
	_ = l.cfg.Logger.Log("event", "flow_refused", "flow", s.Flow, "opens", s.Opens(), "reason", d.Reason,
		"reset", d.Verdict == passthrough.SendReset, "asked", len(d.Peers), "version", l.version())
}

// logPeer logs the choice of an agent for a new flow, and a search for the holder of an old one. Packets of flows whose
// holder is known are only counted.
func (l *link) logPeer(s passthrough.Segment, d passthrough.Decision) {
	switch d.Reason {
	case passthrough.ReasonKnown:
		return
	case passthrough.ReasonPlaced:
		_ = l.cfg.FlowLog.Log("event", "flow_placed", "flow", s.Flow, "agent", d.Peer, "load", d.Load, "age_ms", d.AgeMs,
			"version", d.Forward.Version)
		return
	}
	logger := l.cfg.Logger
	if d.Reason != passthrough.ReasonRetried {
		logger = l.cfg.FlowLog // after an entry has changed, every flow is searched for once
	}
	_ = logger.Log("event", "flow_searched", "flow", s.Flow, "opens", s.Opens(), "reason", d.Reason, "agent", d.Peer,
		"visited", len(d.Forward.Visited), "version", d.Forward.Version)
}

// logUnanswered logs that a caller repeats a packet whose holder is known.
func (l *link) logUnanswered(s passthrough.Segment, d passthrough.Decision) {
	_ = l.cfg.Logger.Log("event", "flow_unanswered", "flow", s.Flow, "agent", d.Peer, "age_ms", d.AgeMs, "version",
		d.Forward.Version)
}

// logFound logs the end of a search.
func (l *link) logFound(f passthrough.Flow, holder passthrough.Endpoint, a passthrough.Resolution) {
	_ = l.cfg.FlowLog.Log("event", "flow_found", "flow", f, "agent", holder, "ms", a.ElapsedMs)
}

// logChange logs the beginning and the end of a flow at the upstream.
func (l *link) logChange(s passthrough.Segment, d passthrough.Decision) {
	_ = l.cfg.FlowLog.Log("event", "flow_"+string(d.Change), "flow", s.Flow, "flows", d.Flows, "busy", d.Busy)
}

// noteSilence logs which agents have become too silent for new flows since the last roster, and which report again. The
// caller holds mu.
func (e *Entry) noteSilence(peers []passthrough.Peer) {
	listed := make(map[passthrough.Endpoint]bool, len(e.silent))
	for _, p := range peers {
		was := e.silent[p.Tunnel]
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
	e.silent = listed
}
