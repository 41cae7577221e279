package passthrough

import (
	"maps"
	"slices"
)

// Upstream is an agent's view of the upstream process on its VM.
type Upstream struct {
	Present bool // announced and not ended
	Service string
	Active  bool // accepts new flows
	Leaving bool // announced its shutdown
	Slots   uint32
	Cold    bool // started recently
}

// unansweredTTLMs is how long an agent remembers a flow that its upstream has not answered: a search visits at most
// MaxVisited agents, each a few milliseconds away.
const unansweredTTLMs = 3000

// closingTTLMs is how long an agent remembers a flow after a FIN or RST, for the last acknowledgements.
const closingTTLMs = 2000

// startupGraceMs is how long after its start an agent assumes that an upstream runs although it has received no
// announcement: three announcement intervals.
const startupGraceMs = 2500

// maxOpeningVisits bounds how many agents relay a packet that opens a flow. The caller retransmits the packet after 200
// ms, and three hops take less than 30 ms.
const maxOpeningVisits = 3

// agentFlow is an agent's state of a flow.
type agentFlow struct {
	entry          Endpoint // sent the last packet
	notifiedEntry  Endpoint // last entry that was notified that the upstream holds the flow
	header         Forward  // header of the last packet, for relaying it if the upstream returns it
	lastPacketMs   int64    // time of the last packet
	relayed        bool     // the last packet was also relayed to another agent
	held           bool     // the upstream answered
	busy           bool     // the last request is unanswered
	closing        bool     // either side closed the flow
	halfOpen       bool     // the upstream accepted the flow and the caller has not confirmed it
	abandoned      bool     // the caller has not confirmed the flow in time
	heldMs         int64    // when the upstream answered first
	registeredWith directoryNodes
	registeredMs   int64  // last registration with the directory nodes
	answeredSeq    uint32 // acknowledgement number of the upstream's last data packet
	hasAnswer      bool   // answeredSeq is set
	outcomePending bool   // the outcome of the last request has not been counted
	reportState
}

// Agent delivers packets to the upstream on its VM and relays packets of flows that this upstream does not hold. It is
// not safe for concurrent use.
type Agent struct {
	Self          Endpoint
	table         *Table
	roster        *Roster
	rosterMs      int64 // when the roster arrived
	chooser       chooser
	upstream      Upstream
	upstreamEnded bool // the upstream has ended and no other one has announced itself
	flows         map[Flow]*agentFlow
	openCount     int            // flows that count as load
	halfOpen      []halfOpenFlow // in the order of acceptance; may contain flows that were confirmed since
	busyCount     int            // flows with an unanswered request
	endedFlows    []Flow         // reported flows that ended since the last report
	orphans       []OpenFlow     // flows of an earlier incarnation of the upstream
	directory     directory
	directoryMap  directoryMap
	sweeps        map[Flow]*sweep // sweeps that this agent has started

	announcedMs    int64 // last announcement of the current incarnation of the upstream
	returnedFlows  int   // open flows that the upstream has returned since it last sent a packet of one or announced itself
	closedFlows    int   // the same for flows that the upstream has closed or reset
	spokeMs        int64 // when the upstream last sent a packet of a flow that was open before its last announcement
	heardMs        int64 // when the upstream last sent or returned a packet
	heldBeforehand bool  // the upstream held a flow when this agent started
	outcomes       outcomes
	takenHealth    Health // health at the last TakeHealthChange
}

// NewAgent returns an agent in a failure domain.
func NewAgent(self Endpoint, domain string) *Agent {
	return &Agent{Self: self, roster: NewRoster(nil, false), chooser: chooser{domain: domain}, flows: map[Flow]*agentFlow{}}
}

// SetTable replaces the forwarding table.
func (a *Agent) SetTable(t *Table) { a.table = t }

// SetRoster replaces the roster.
func (a *Agent) SetRoster(now int64, r *Roster) {
	a.roster, a.rosterMs = r, now
	a.directoryMap.update(r)
}

// SetUpstream replaces the state of the upstream. A new incarnation holds no flows. The flows of an earlier incarnation
// that ended without announcing its shutdown count as failures.
func (a *Agent) SetUpstream(now int64, u Upstream, restarted bool) {
	a.upstreamEnded = a.upstream.Present && !u.Present || a.upstreamEnded && !u.Present
	before := a.upstream
	a.upstream = u
	if !restarted {
		return
	}
	lost := a.openCount
	a.orphanFlows()
	a.heldBeforehand = false
	if before.Service != u.Service || before.Leaving {
		a.outcomes = outcomes{}
		return
	}
	a.outcomes.recordFailures(now, lost)
}

// Health returns the health of the upstream, judged by the outcomes of its requests.
func (a *Agent) Health(now int64) Health {
	a.outcomes.decay(now)
	return a.outcomes.health
}

// HealthChange is a new health of the upstream with the figures behind it.
type HealthChange struct {
	Health           Health
	Failed, Answered float64 // numbers of requests, weighted by age
	HoldMs           int64   // how long a failing upstream receives no new flow
}

// TakeHealthChange returns the change of health since the last call, or nil.
func (a *Agent) TakeHealthChange() *HealthChange {
	o := &a.outcomes
	if o.health == a.takenHealth {
		return nil
	}
	a.takenHealth = o.health
	return &HealthChange{Health: o.health, Failed: o.failed, Answered: o.answered, HoldMs: o.holdMs}
}

// Load returns the number of open flows and of flows with an unanswered request.
func (a *Agent) Load(now int64) (flows, busy int) {
	a.abandonHalfOpen(now)
	return a.openCount, a.busyCount
}

// Entries returns the entries that have forwarded packets of the flows that the agent remembers.
func (a *Agent) Entries() []Endpoint {
	seen := map[Endpoint]struct{}{}
	for _, f := range a.flows {
		if f.entry != (Endpoint{}) {
			seen[f.entry] = struct{}{}
		}
	}
	return slices.SortedFunc(maps.Keys(seen), compareEndpoints)
}

// Vacant reports whether the VM has no upstream: it has ended, or none has announced itself or sent a packet for the grace period,
// which begins with the start of the agent.
func (a *Agent) Vacant(now int64) bool {
	return !a.upstream.Present && (a.upstreamEnded || now-a.heardMs >= startupGraceMs)
}

// accepts reports whether the upstream may take a new flow according to the newer one of two declarations: the agent's
// own and the one that the entry used.
func (a *Agent) accepts(f Flow, h Forward) (bool, Reason) {
	if !a.upstream.Active {
		return false, ReasonPassedOn
	}
	if a.table == nil {
		return false, ReasonNoTable
	}
	if h.Version > a.table.Version {
		return h.Service == ServiceTag(a.upstream.Service), ReasonService
	}
	route := a.table.Routes[f.Front]
	return route != nil && route.Allows(a.upstream.Service), ReasonService
}

// FromPeer decides about a packet that an entry or another agent forwarded.
func (a *Agent) FromPeer(now int64, s Segment, h Forward) Decision {
	a.abandonHalfOpen(now)
	f := a.flows[s.Flow]
	if s.Opens() && (f == nil || !f.held || f.closing) {
		if ok, reason := a.accepts(s.Flow, h); !ok {
			return a.relayOpening(s, h, reason)
		}
		if d, ok := a.divertOpening(now, s, h); ok {
			return d
		}
	}
	if !s.Opens() && h.Lookup && (f == nil || !f.held) {
		if d, ok := a.locate(now, s, h); ok {
			return d
		}
	}
	if a.Vacant(now) && (f == nil || !f.held) {
		d := a.relay(now, s, h) // without an upstream nothing returns the packet
		if h.Located {
			a.denyFlow(&d, s.Flow, h)
		}
		return d
	}
	if f == nil {
		f = &agentFlow{}
		a.flows[s.Flow] = f
	}
	f.entry, f.header, f.lastPacketMs = h.Entry, h, now
	f.recordCallerAck(s)
	if f.halfOpen && !s.Opens() {
		a.confirm(f)
	}
	if len(h.Visited) > 0 || h.NoRelay || h.Lookup || h.Located {
		f.notifiedEntry = Endpoint{} // the entry is searching for the holder
	}
	if f.held && !f.closing && !f.busy && f.hasNewData(s) {
		f.busy, f.outcomePending = true, true
		a.busyCount++
	}
	if s.Fin || s.Rst {
		a.handleCallerClose(f, s)
	}
	d := Decision{Verdict: ToHost, Reason: ReasonKnown}
	f.relayed = false
	if !a.upstream.Present && !s.Opens() && !f.held && !h.NoRelay {
		h.Inconclusive = true
		next := a.relayInChain(now, s, h)
		d.Also = &next
		f.relayed = next.Verdict == ToPeer || next.Verdict == ToSeveral
	}
	return d
}

// hasNewData reports whether a caller's segment carries data that the upstream has not answered. A late copy of an
// answered request causes no work.
func (f *agentFlow) hasNewData(s Segment) bool {
	return s.Data > 0 && (!f.hasAnswer || int32(s.Seq+uint32(s.Data)-f.answeredSeq) > 0)
}

// handleCallerClose updates a flow after a FIN or RST of the caller. The upstream does not answer a pending request of
// such a flow.
func (a *Agent) handleCallerClose(f *agentFlow, s Segment) {
	if f.busy {
		f.busy = false
		a.busyCount--
	}
	if !s.Rst || f.closing {
		return
	}
	before := f.counts()
	f.closing = true
	a.recordEnd(s.Flow, f)
	a.recount(f, before)
}

// FromHost decides about a packet that the upstream sent or returned. The flow of s is always the caller's view.
func (a *Agent) FromHost(now int64, s Segment) Decision {
	a.abandonHalfOpen(now)
	a.heardMs = now
	if s.Bounced {
		return a.handleBounced(now, s)
	}
	f := a.flows[s.Flow]
	if s.Rst && !a.upstream.Present && (f == nil || !f.held) {
		// The upstream is starting and answers a packet that searches for its holder. The flow may be open at another one.
		return Decision{Verdict: Drop, Reason: ReasonNotAnnounced}
	}
	if f == nil {
		f = &agentFlow{}
		a.flows[s.Flow] = f
	}
	f.lastPacketMs = now
	a.recordSpeech(now, f, s)
	f.recordAnswer(now, s)
	change := a.handleAnswer(now, f, s)
	d := Decision{Verdict: ToCaller, Reason: ReasonAnswer, Change: change, Flows: a.openCount, Busy: a.busyCount}
	if f.held && f.entry != (Endpoint{}) && f.notifiedEntry != f.entry {
		f.notifiedEntry = f.entry
		d.NotifyEntry = f.entry
		d.FlowHeld = &FlowHeld{Flow: s.Flow, Flows: uint16(min(a.openCount, 0xffff))}
	}
	return d
}

// overloaded reports whether so many requests wait at the upstream that it has to shed load.
func (a *Agent) overloaded() bool {
	return a.busyCount > maxUnansweredPerSlot*int(max(a.upstream.Slots, 1))
}

// handleAnswer updates a flow after a packet of the upstream.
func (a *Agent) handleAnswer(now int64, f *agentFlow, s Segment) Change {
	change := Unchanged
	before := f.counts()
	if !f.held && !s.Rst {
		f.held, f.heldMs = true, now
		if s.Syn {
			change = Opened
			f.halfOpen = true
			a.halfOpen = append(a.halfOpen, halfOpenFlow{flow: s.Flow, acceptedMs: now})
		}
	}
	if s.Data > 0 && s.Ack {
		f.answeredSeq, f.hasAnswer = s.AckNo, true
	}
	crowded := a.overloaded()
	if f.busy && (s.Data > 0 || s.Fin || s.Rst) {
		f.busy = false
		a.busyCount--
	}
	if f.outcomePending && (s.Data > 0 || s.Rst) { // a FIN may arrive before the answer
		f.outcomePending = false
		switch {
		case s.Data > 0:
			a.outcomes.recordAnswer(now)
		case !crowded:
			a.outcomes.recordFailures(now, 1)
		}
	}
	if (s.Fin || s.Rst) && !f.closing {
		f.closing = true
		a.recordEnd(s.Flow, f)
		if f.held {
			change = Ended
		}
	}
	a.recount(f, before)
	return change
}

func (a *Agent) removeFlow(k Flow, f *agentFlow) {
	if f.counts() {
		a.openCount--
	}
	if f.busy {
		a.busyCount--
	}
	a.recordEnd(k, f)
	delete(a.flows, k)
}

// Expire removes flows that are closed, unanswered or idle. It must be called about once a second.
func (a *Agent) Expire(now int64) {
	a.abandonHalfOpen(now)
	a.directory.expire(now)
	a.expireSweeps(now)
	idle := int64(DefaultIdleMs)
	if a.table != nil && a.table.IdleTimeout > 0 {
		idle = a.table.IdleTimeout
	}
	for k, f := range a.flows {
		limit := idle + expirySlackMs
		switch {
		case f.closing:
			limit = closingTTLMs
		case !f.held, f.abandoned:
			limit = unansweredTTLMs
		}
		if now-f.lastPacketMs > limit {
			a.removeFlow(k, f)
		}
	}
}
