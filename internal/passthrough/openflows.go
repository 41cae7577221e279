package passthrough

// OpenFlow is a flow that an upstream holds, as it is reported to control VMs.
type OpenFlow struct {
	Flow         Flow
	Acknowledged uint32 // last acknowledgement number of the caller
}

// minAckAdvance is the number of bytes by which a caller's acknowledgement must advance before the flow is reported
// again. A reset is accepted within 76,800 bytes of the caller's last acknowledgement; half of that remains for data
// acknowledged after the report.
const minAckAdvance = 38_400

// confirmationMs is the time by which a flow must precede an announcement of the upstream to be attributed to that
// incarnation: a new incarnation may take a flow before its first announcement, and the last announcement of the
// earlier incarnation may be read late.
const confirmationMs = 500

// reportState is the part of an agent's flow state that FlowChanges uses.
type reportState struct {
	acknowledged  uint32
	hasAck        bool   // the caller has sent an acknowledgement
	established   bool   // the upstream answered after the caller's acknowledgement: the flow was opened here and not at another upstream
	establishedMs int64  // when established was set
	reported      bool   // FlowChanges has returned the flow as open and not yet as ended
	reportedAck   uint32 // acknowledgement number in the last report
}

// confirmedBy reports whether the flow is open at the incarnation of the upstream that announced itself at announcedMs.
func (f *agentFlow) confirmedBy(confirmedMs int64) bool {
	return f.held && f.established && !f.closing && f.establishedMs+confirmationMs <= confirmedMs
}

func (f *agentFlow) recordCallerAck(s Segment) {
	if s.Ack {
		f.acknowledged, f.hasAck = s.AckNo, true
	}
}

func (f *agentFlow) recordAnswer(now int64, s Segment) {
	if f.hasAck && !f.established && !s.Syn && !s.Rst {
		f.established, f.establishedMs = true, now
	}
}

// recordSpeech records a packet that shows that the upstream holds a flow of before. An upstream that restarts, or has never seen a
// flow, returns its packets or resets it.
func (a *Agent) recordSpeech(now int64, f *agentFlow, s Segment) {
	switch {
	case s.Syn:
	case s.Rst || s.Fin && s.Data == 0:
		if f.confirmedBy(a.announcedMs) {
			a.closedFlows++
		}
	case f.confirmedBy(a.announcedMs):
		a.spokeMs, a.returnedFlows, a.closedFlows = now, 0, 0
	case !f.held && now < startupGraceMs:
		a.heldBeforehand = true // the upstream did not open this flow through this agent
	}
}

// Evidence is what the packets of the upstream tell about its process. Only flows count that were open before its last
// announcement.
type Evidence struct {
	Returned, Closed int   // flows that it has returned or closed since it last sent another packet of one or announced itself
	Held             int   // flows that are still open
	SpokeMs          int64 // when it last sent a packet of one
}

// Evidence returns what the packets of the upstream tell about its process.
func (a *Agent) Evidence() Evidence {
	e := Evidence{Returned: a.returnedFlows, Closed: a.closedFlows, SpokeMs: a.spokeMs}
	for _, f := range a.flows {
		if f.confirmedBy(a.announcedMs) {
			e.Held++
		}
	}
	return e
}

// NoteAnnouncement records an announcement of the current incarnation of the upstream.
func (a *Agent) NoteAnnouncement(now int64) {
	a.announcedMs, a.returnedFlows, a.closedFlows = now, 0, 0
}

func (f *agentFlow) openFlow(k Flow) OpenFlow { return OpenFlow{Flow: k, Acknowledged: f.acknowledged} }

// FlowChanges returns the flows that have opened at the upstream since the last call, or whose acknowledgements have
// advanced by minAckAdvance, and those that have ended. With whole it returns all open flows and none that ended.
func (a *Agent) FlowChanges(whole bool) (opened []OpenFlow, ended []Flow) {
	for k, f := range a.flows {
		if !f.confirmedBy(a.announcedMs) || !whole && f.reported && f.acknowledged-f.reportedAck < minAckAdvance {
			continue
		}
		f.reported, f.reportedAck = true, f.acknowledged
		opened = append(opened, f.openFlow(k))
	}
	if !whole {
		ended = a.endedFlows
	}
	a.endedFlows = nil
	return opened, ended
}

// recordEnd records the end of a reported flow for FlowChanges.
func (a *Agent) recordEnd(k Flow, f *agentFlow) {
	if f.reported {
		f.reported = false
		a.endedFlows = append(a.endedFlows, k)
	}
}

// orphanFlows removes all flows after a restart of the upstream. Confirmed flows become orphans. Flows that opened
// since the last announcement do not: they may have been opened at the new incarnation.
func (a *Agent) orphanFlows() {
	for k, f := range a.flows {
		if f.confirmedBy(a.announcedMs) {
			a.orphans = append(a.orphans, f.openFlow(k))
		}
	}
	clear(a.flows)
	a.openCount, a.busyCount, a.endedFlows, a.announcedMs, a.halfOpen = 0, 0, nil, 0, nil
	a.returnedFlows, a.closedFlows, a.spokeMs = 0, 0, 0
}

// TakeOrphans returns the flows that were open at an earlier incarnation of the upstream, each once.
func (a *Agent) TakeOrphans() []OpenFlow {
	out := a.orphans
	a.orphans = nil
	return out
}

// ResetOrphan decides about a flow of an earlier incarnation of the upstream. A reset makes the caller use another flow for its next
// request; without it that request would be lost unless it may be retried. If the upstream held flows before this agent started and
// has not restarted since, no incarnation of it has ended, and nothing is reset.
func (a *Agent) ResetOrphan(o OpenFlow) (Segment, Decision) {
	s := Segment{Flow: o.Flow, Ack: true, AckNo: o.Acknowledged}
	if f := a.flows[o.Flow]; f != nil && f.held || a.heldBeforehand {
		return s, Decision{Verdict: Drop, Reason: ReasonKnown}
	}
	return s, Decision{Verdict: SendReset, Reason: ReasonOrphaned}
}
