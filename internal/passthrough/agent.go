package passthrough

import "slices"

// Upstream is what an agent knows of the upstream process on its VM.
type Upstream struct {
	Present bool // it has announced itself and not ended
	Service string
	Active  bool // it takes new flows
	Leaving bool // it has said that it leaves
	Slots   uint32
	Cold    bool
}

// tentativeMs is how long an agent remembers a flow that its upstream has not answered: a search visits at most
// MaxVisited agents, each a few milliseconds away.
const tentativeMs = 3000

// closedMs is how long a flow is remembered after its upstream sent a FIN or RST, for the last acknowledgements.
const closedMs = 2000

// presumeMs is how long after its start an agent presumes an upstream that it has not heard: three of its announcements.
const presumeMs = 2500

// openHops bounds the agents that a packet which opens a flow is passed to. The caller repeats the packet after 200 ms,
// and three hops take less than 30 ms.
const openHops = 3

// agentFlow is what an agent remembers of a flow.
type agentFlow struct {
	entry   Endpoint // that sent the last packet
	told    Endpoint // that knows that the flow is here
	header  Forward  // of the last packet, in case the upstream returns it
	seenMs  int64
	passed  bool // the last packet was passed on already
	held    bool // the upstream answered
	busy    bool // the last request is not answered
	closing bool
	upTo    uint32 // sequence number of the caller up to which the upstream had received when it answered last
	replied bool   // upTo is set
	pending bool   // the outcome of the last request has not been counted
	remembrance
}

// Agent delivers packets to the upstream on its VM and passes on what that does not hold. It is used by one goroutine.
type Agent struct {
	Self     Endpoint
	table    *Table
	roster   *Roster
	choice   chooser
	upstream Upstream
	left     bool // the upstream that was present has ended, and no other one was heard
	flows    map[Flow]*agentFlow
	open     int        // held flows that are not closing
	busy     int        // flows with an unanswered request
	ended    []Flow     // reported flows that have ended since the last report
	orphans  []OpenFlow // flows of an earlier start of the upstream

	confirmedMs int64 // when the present start of the upstream announced itself last
	outcomes    outcomes
	toldHealth  Health // by TakeHealthChange
}

// NewAgent returns an agent in a failure domain.
func NewAgent(self Endpoint, domain string) *Agent {
	return &Agent{Self: self, roster: NewRoster(nil, false), choice: chooser{domain: domain}, flows: map[Flow]*agentFlow{}}
}

// SetTable puts a declaration in force.
func (a *Agent) SetTable(t *Table) { a.table = t }

// SetRoster replaces the roster.
func (a *Agent) SetRoster(r *Roster) { a.roster = r }

// SetUpstream replaces what is known of the upstream. A new incarnation holds no flows; those of one that had not said that it
// leaves are lost.
func (a *Agent) SetUpstream(now int64, u Upstream, restarted bool) {
	a.left = a.upstream.Present && !u.Present || a.left && !u.Present
	before := a.upstream
	a.upstream = u
	if !restarted {
		return
	}
	lost := a.open
	a.abandon()
	if before.Service != u.Service || before.Leaving {
		a.outcomes = outcomes{}
		return
	}
	a.outcomes.fail(now, lost)
}

// Health returns what the outcomes of requests tell of the upstream.
func (a *Agent) Health(now int64) Health {
	a.outcomes.age(now)
	return a.outcomes.health
}

// HealthChange is a new opinion of the upstream, with its reasons.
type HealthChange struct {
	Health           Health
	Failed, Answered float64 // requests, weighted by age
	HoldMs           int64   // how long a failing upstream gets no new flow
}

// TakeHealthChange returns how the health has changed since the last call, or nil.
func (a *Agent) TakeHealthChange() *HealthChange {
	o := &a.outcomes
	if o.health == a.toldHealth {
		return nil
	}
	a.toldHealth = o.health
	return &HealthChange{Health: o.health, Failed: o.failed, Answered: o.answered, HoldMs: o.holdMs}
}

// Load returns the open flows and those with an unanswered request.
func (a *Agent) Load() (flows, busy int) { return a.open, a.busy }

// Vacant reports whether there is no upstream: it has ended, or the agent has not heard one for long enough since its start.
func (a *Agent) Vacant(now int64) bool { return !a.upstream.Present && (a.left || now >= presumeMs) }

// accepts reports whether the upstream may take a new flow, by the newer of the two declarations.
func (a *Agent) accepts(f Flow, h Forward) (bool, Reason) {
	if !a.upstream.Active {
		return false, ReasonNotMine
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
	f := a.flows[s.Flow]
	if s.Opens() && (f == nil || !f.held || f.closing) {
		if ok, reason := a.accepts(s.Flow, h); !ok {
			return a.passOpening(s, h, reason)
		}
		if d, ok := a.spare(now, s, h); ok {
			return d
		}
	}
	if a.Vacant(now) && (f == nil || !f.held) {
		return a.passOn(s, h) // nobody would return the packet
	}
	if f == nil {
		f = &agentFlow{}
		a.flows[s.Flow] = f
	}
	f.entry, f.header, f.seenMs = h.Entry, h, now
	f.noteCaller(s)
	if len(h.Visited) > 0 || h.Only {
		f.told = Endpoint{} // the entry was looking for the flow
	}
	if f.held && !f.closing && !f.busy && f.asks(s) {
		f.busy, f.pending = true, true
		a.busy++
	}
	if s.Fin || s.Rst {
		a.callerLeaves(f, s)
	}
	d := Decision{Verdict: ToHost, Reason: ReasonKnown}
	f.passed = false
	if !a.upstream.Present && !s.Opens() && !f.held && !h.Only {
		h.Unsure = true
		next := a.passOn(s, h)
		d.Also = next.Verdict == ToPeer
		f.passed = d.Also
		d.Peer, d.Forward = next.Peer, next.Forward
	}
	return d
}

// asks reports whether a segment of the caller carries data that the upstream has not answered. A late copy of an answered
// request brings no work.
func (f *agentFlow) asks(s Segment) bool {
	return s.Data > 0 && (!f.replied || int32(s.Seq+uint32(s.Data)-f.upTo) > 0)
}

// callerLeaves updates a flow whose caller ends it. An upstream does not answer the request of such a flow.
func (a *Agent) callerLeaves(f *agentFlow, s Segment) {
	if f.busy {
		f.busy = false
		a.busy--
	}
	if !s.Rst || f.closing {
		return
	}
	f.closing = true
	a.noteEnd(s.Flow, f)
	if f.held {
		a.open--
	}
}

// spare passes a packet that opens a flow to another agent while the upstream fails, unless too many others fail as well.
func (a *Agent) spare(now int64, s Segment, h Forward) (Decision, bool) {
	if a.outcomes.health == Healthy || a.roster.manyFail(a.Self, a.upstream.Service) || !a.outcomes.refuses(now) {
		return Decision{}, false
	}
	d := a.passOpening(s, h, ReasonFailing)
	d.Reason = ReasonFailing
	return d, d.Verdict == ToPeer
}

// passOpening gives a packet that opens a flow to another agent.
func (a *Agent) passOpening(s Segment, h Forward, reason Reason) Decision {
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
	if len(visited) <= openHops {
		p = a.choice.choose(a.roster, s.Flow, service, visited,
			func(*Peer) bool { return false }, func(*Peer) float64 { return 0 })
	}
	if p == nil {
		if !a.roster.Settled {
			return Decision{Verdict: Drop, Reason: ReasonUnsettled}
		}
		return Decision{Verdict: SendReset, Reason: ReasonNoPeer}
	}
	next := Forward{Entry: h.Entry, Version: max(h.Version, a.table.Version), Service: ServiceTag(service), Visited: visited}
	return Decision{Verdict: ToPeer, Reason: ReasonNotMine, Peer: p.Tunnel, Forward: next}
}

// FromHost decides about a packet that the upstream sent or returned. The flow of s is always the caller's view.
func (a *Agent) FromHost(now int64, s Segment) Decision {
	if s.Bounced {
		return a.bounced(s)
	}
	f := a.flows[s.Flow]
	if f == nil {
		f = &agentFlow{}
		a.flows[s.Flow] = f
	}
	f.seenMs = now
	f.noteAnswer(now, s)
	change := a.answered(now, f, s)
	d := Decision{Verdict: ToCaller, Reason: ReasonAnswer, Change: change, Flows: a.open, Busy: a.busy}
	if f.held && f.entry != (Endpoint{}) && f.told != f.entry {
		f.told = f.entry
		d.HintTo = f.entry
		d.Hint = &Holds{Flow: s.Flow, Flows: uint16(min(a.open, 0xffff))}
	}
	return d
}

// crowded reports whether so many requests wait at the upstream that it has to shed load.
func (a *Agent) crowded() bool { return a.busy > crowdedPerSlot*int(max(a.upstream.Slots, 1)) }

// answered updates a flow after a packet of the upstream.
func (a *Agent) answered(now int64, f *agentFlow, s Segment) Change {
	change := Unchanged
	if !f.held && !s.Rst {
		f.held = true
		a.open++
		if s.Syn {
			change = Opened
		}
	}
	if s.Data > 0 && s.Ack {
		f.upTo, f.replied = s.AckNo, true
	}
	crowded := a.crowded()
	if f.busy && (s.Data > 0 || s.Fin || s.Rst) {
		f.busy = false
		a.busy--
	}
	if f.pending && (s.Data > 0 || s.Rst) { // a FIN may overtake the answer
		f.pending = false
		switch {
		case s.Data > 0:
			a.outcomes.answer(now)
		case !crowded:
			a.outcomes.fail(now, 1)
		}
	}
	if (s.Fin || s.Rst) && !f.closing {
		f.closing = true
		a.noteEnd(s.Flow, f)
		if f.held {
			a.open--
			change = Ended
		}
	}
	return change
}

// bounced handles a packet that the upstream returned.
func (a *Agent) bounced(s Segment) Decision {
	h, passed := Forward{}, false
	if f := a.flows[s.Flow]; f != nil {
		h, passed = f.header, f.passed
		a.forget(s.Flow, f)
	}
	if passed {
		return Decision{Verdict: Drop, Reason: ReasonNotMine}
	}
	if s.Opens() {
		return a.passOpening(s, h, ReasonNotMine)
	}
	d := a.passOn(s, h)
	if len(h.Visited) == 0 && !h.Only && h.Entry != (Endpoint{}) {
		d.Misses, d.HintTo = true, h.Entry
	}
	return d
}

// passOn gives a packet of a flow that the upstream does not hold to another agent. The caller gets a reset once every
// upstream has returned the packet.
func (a *Agent) passOn(s Segment, h Forward) Decision {
	if h.Only {
		return Decision{Verdict: Drop, Reason: ReasonNotMine}
	}
	visited := append(slices.Clone(h.Visited), a.Self)
	var route *Route
	if a.table != nil {
		route = a.table.Routes[s.Flow.Front]
	}
	if p := a.choice.next(a.roster, s.Flow, route, visited); p != nil {
		next := Forward{Entry: h.Entry, Version: h.Version, Visited: visited, Unsure: h.Unsure}
		return Decision{Verdict: ToPeer, Reason: ReasonNotMine, Peer: p.Tunnel, Forward: next}
	}
	if a.roster.Settled && !h.Unsure && len(visited) < MaxVisited && !s.Rst {
		return Decision{Verdict: SendReset, Reason: ReasonExhausted}
	}
	return Decision{Verdict: Drop, Reason: ReasonExhausted}
}

func (a *Agent) forget(k Flow, f *agentFlow) {
	if f.held && !f.closing {
		a.open--
	}
	if f.busy {
		a.busy--
	}
	a.noteEnd(k, f)
	delete(a.flows, k)
}

// Expire forgets flows that ended, were never answered or are idle. It is to be called about once a second.
func (a *Agent) Expire(now int64) {
	idle := int64(DefaultIdleMs)
	if a.table != nil && a.table.IdleTimeout > 0 {
		idle = a.table.IdleTimeout
	}
	for k, f := range a.flows {
		limit := idle + forgetSlackMs
		switch {
		case f.closing:
			limit = closedMs
		case !f.held:
			limit = tentativeMs
		}
		if now-f.seenMs > limit {
			a.forget(k, f)
		}
	}
}
