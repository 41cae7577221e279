package passthrough

// OpenFlow is a flow that an upstream holds, as it is remembered outside of its agent.
type OpenFlow struct {
	Flow         Flow
	Acknowledged uint32 // last acknowledgement number of the caller that was seen
}

// acknowledgedDrift is by how many bytes a caller's acknowledgement may move before the flow is reported again. A reset is
// accepted within 76,800 bytes of the caller's last acknowledgement; half of that is left for what follows the report.
const acknowledgedDrift = 38_400

// confirmationMs is by how much a flow must precede an announcement of the upstream to be taken for a flow of that start: an
// upstream that starts anew may take a flow before its first announcement, and the last one of the earlier start may be read late.
const confirmationMs = 500

// remembrance is what an agent keeps of a flow for FlowChanges.
type remembrance struct {
	acknowledged uint32
	acked        bool   // the caller has acknowledged something
	established  bool   // the upstream answered afterwards: the flow was opened here and not at another upstream
	sinceMs      int64  // when it was established
	reported     bool   // by FlowChanges, and not as ended
	reportedAck  uint32 // acknowledgement that was reported
}

// confirmed reports whether the flow is open at the start of the upstream that announced itself at confirmedMs.
func (f *agentFlow) confirmed(confirmedMs int64) bool {
	return f.held && f.established && !f.closing && f.sinceMs+confirmationMs <= confirmedMs
}

func (f *agentFlow) noteCaller(s Segment) {
	if s.Ack {
		f.acknowledged, f.acked = s.AckNo, true
	}
}

func (f *agentFlow) noteAnswer(now int64, s Segment) {
	if f.acked && !f.established && !s.Syn && !s.Rst {
		f.established, f.sinceMs = true, now
	}
}

// Confirm records that the present start of the upstream has announced itself.
func (a *Agent) Confirm(now int64) { a.confirmedMs = now }

func (f *agentFlow) openFlow(k Flow) OpenFlow { return OpenFlow{Flow: k, Acknowledged: f.acknowledged} }

// FlowChanges returns the flows that have opened at the upstream since the last call, or whose callers have acknowledged much
// since, and those that have ended. With whole it returns all open ones.
func (a *Agent) FlowChanges(whole bool) (opened []OpenFlow, ended []Flow) {
	for k, f := range a.flows {
		if !f.confirmed(a.confirmedMs) || !whole && f.reported && f.acknowledged-f.reportedAck < acknowledgedDrift {
			continue
		}
		f.reported, f.reportedAck = true, f.acknowledged
		opened = append(opened, f.openFlow(k))
	}
	if !whole {
		ended = a.ended
	}
	a.ended = nil
	return opened, ended
}

// noteEnd records the end of a reported flow for FlowChanges.
func (a *Agent) noteEnd(k Flow, f *agentFlow) {
	if f.reported {
		f.reported = false
		a.ended = append(a.ended, k)
	}
}

// abandon ends all flows after the upstream has started anew. Those that were open are orphans, except for young ones: they
// may have been opened at the new start.
func (a *Agent) abandon() {
	for k, f := range a.flows {
		if f.confirmed(a.confirmedMs) {
			a.orphans = append(a.orphans, f.openFlow(k))
		}
	}
	clear(a.flows)
	a.open, a.busy, a.ended, a.confirmedMs = 0, 0, nil, 0
}

// TakeOrphans returns the flows that were open at an earlier start of the upstream, each once.
func (a *Agent) TakeOrphans() []OpenFlow {
	out := a.orphans
	a.orphans = nil
	return out
}

// ResetOrphan decides about a flow of an earlier start of the upstream. Its caller is told, so that its next request uses
// another flow; found later, the request would be lost unless it may be repeated.
func (a *Agent) ResetOrphan(o OpenFlow) (Segment, Decision) {
	s := Segment{Flow: o.Flow, Ack: true, AckNo: o.Acknowledged}
	if f := a.flows[o.Flow]; f != nil && f.held {
		return s, Decision{Verdict: Drop, Reason: ReasonKnown}
	}
	return s, Decision{Verdict: SendReset, Reason: ReasonOrphaned}
}
