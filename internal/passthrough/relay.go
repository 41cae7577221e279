package passthrough

import "slices"

// divertOpening relays a packet that opens a flow to another agent while the upstream is failing, unless too many
// upstreams of the service are failing.
func (a *Agent) divertOpening(now int64, s Segment, h Forward) (Decision, bool) {
	if a.outcomes.health == Healthy || a.roster.tooManyFailing(a.Self, a.upstream.Service) || !a.outcomes.rejectsNewFlow(now) {
		return Decision{}, false
	}
	d := a.relayOpening(s, h, ReasonFailing)
	d.Reason = ReasonFailing
	return d, d.Verdict == ToPeer
}

// relayOpening sends a packet that opens a flow to another agent, or resets the flow if there is none.
func (a *Agent) relayOpening(s Segment, h Forward, reason Reason) Decision {
	visited := append(slices.Clone(h.Visited), a.Self)
	if a.table == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoTable}
	}
	route := a.table.Routes[s.Flow.Front]
	if route == nil {
		if h.Version > a.table.Version {
			return Decision{Verdict: Drop, Reason: reason}
		}
		return Decision{Verdict: SendReset, Reason: ReasonNoRoute}
	}
	var p *Peer
	service := route.pick(s.Flow)
	if len(visited) <= maxOpeningVisits {
		p = a.chooser.choose(a.roster, s.Flow, service, visited,
			func(*Peer) bool { return false }, func(*Peer) float64 { return 0 })
	}
	if p == nil {
		if !a.roster.Settled {
			return Decision{Verdict: Drop, Reason: ReasonUnsettled}
		}
		return Decision{Verdict: SendReset, Reason: ReasonNoPeer}
	}
	next := Forward{Entry: h.Entry, Version: max(h.Version, a.table.Version), Service: ServiceTag(service), Visited: visited}
	return Decision{Verdict: ToPeer, Reason: ReasonPassedOn, Peer: p.Tunnel, Forward: next}
}

// handleBounced decides about a packet that the upstream returned.
func (a *Agent) handleBounced(now int64, s Segment) Decision {
	h, passed := Forward{}, false
	if f := a.flows[s.Flow]; f != nil {
		h, passed = f.header, f.relayed
		if f.confirmedBy(a.announcedMs) {
			a.returnedFlows++
		}
		a.removeFlow(s.Flow, f)
	}
	if passed {
		return Decision{Verdict: Drop, Reason: ReasonPassedOn}
	}
	if s.Opens() {
		return a.relayOpening(s, h, ReasonPassedOn)
	}
	d := a.relay(now, s, h)
	if len(h.Visited) == 0 && !h.NoRelay && !h.Lookup || h.Located {
		a.denyFlow(&d, s.Flow, h)
	}
	return d
}

// relay sends a packet of a flow that the upstream does not hold to other agents: to the next directory node, then in a
// chain to the highest-ranked agents, and from there to all others. The caller receives a reset once every upstream has
// returned the packet.
func (a *Agent) relay(now int64, s Segment, h Forward) Decision {
	if h.Lookup && !h.NoRelay {
		visited := append(slices.Clone(h.Visited), a.Self)
		if node := a.nextDirectoryNode(s.Flow, visited); node != (Endpoint{}) {
			h.Visited = visited
			return Decision{Verdict: ToPeer, Reason: ReasonPassedOn, Peer: node, Forward: h}
		}
		d := a.relayInChain(now, s, h)
		d.FlowLocated, d.NotifyEntry = &FlowLocated{Flow: s.Flow}, h.Entry
		return d
	}
	return a.relayInChain(now, s, h)
}

// route returns the route of a flow, or nil.
func (a *Agent) route(f Flow) *Route {
	if a.table == nil {
		return nil
	}
	return a.table.Routes[f.Front]
}

// relayInChain sends a packet to the next agent of a chain. After the highest-ranked agents the chain goes on as a sweep
// if there are many others. The last agent of a chain through all agents resets the flow, and the last one of a section
// reports the end of the chain.
func (a *Agent) relayInChain(now int64, s Segment, h Forward) Decision {
	if h.NoRelay {
		return Decision{Verdict: Drop, Reason: ReasonPassedOn}
	}
	visited := append(slices.Clone(h.Visited), a.Self)
	if p, class := a.chooser.next(a.roster, s.Flow, a.route(s.Flow), visited, h.Section); p != nil {
		if class >= classRest && h.Section.Count == 0 {
			if d, ok := a.startSweep(now, s, h, visited); ok {
				return d
			}
		}
		next := Forward{Entry: h.Entry, Version: h.Version, Visited: visited, Inconclusive: h.Inconclusive, Section: h.Section}
		return Decision{Verdict: ToPeer, Reason: ReasonPassedOn, Peer: p.Tunnel, Forward: next}
	}
	if h.Section.Count > 0 {
		return Decision{
			Verdict: Drop, Reason: ReasonPassedOn, Peer: h.Section.Start,
			SectionSearched: &SectionSearched{
				Flow: s.Flow, Index: h.Section.Index, Attempt: h.Section.Attempt,
				Inconclusive: h.Inconclusive || len(visited) >= MaxVisited || !a.roster.Whole(now-a.rosterMs),
			},
		}
	}
	if a.roster.Whole(now-a.rosterMs) && !h.Inconclusive && len(visited) < MaxVisited && !s.Rst {
		return Decision{Verdict: SendReset, Reason: ReasonHeldNowhere}
	}
	return Decision{Verdict: Drop, Reason: ReasonHeldNowhere}
}
