package passthrough

// Timeouts and intervals in milliseconds.
const (
	// suspectMs is how long a peer that left a new flow unanswered receives no other new flow: two report intervals.
	suspectMs = 1500
	// expirySlackMs is added to the idle timeout before a flow expires, for retransmissions in flight (up to 1.6 s
	// apart) and clocks that run late.
	expirySlackMs = 5000
	// askDelayMs is how long a search from agent to agent may take before several agents are asked at once: one agent
	// that does not answer ends such a search. Callers retransmit packets after 200 ms, and a search takes less than
	// 100 ms.
	askDelayMs = 150
	// maxGrowthWaitMs is how long new flows wait for a roster to which agents are still being added, if no newer roster
	// arrives.
	maxGrowthWaitMs = 1200
	// searchTTLMs is how long a search is remembered: longer than the longest retransmission interval of a caller (1.6
	// s).
	searchTTLMs = 5000
	// firstLoggedRepeat and lastLoggedRepeat are the first and last retransmission of a packet that is logged. The
	// second one comes 600 ms after the packet, later than the answer of an upstream that is not overloaded. The third
	// one comes after 1400 ms; by then an agent that does not report is evident.
	firstLoggedRepeat = 2
	lastLoggedRepeat  = 3
	// DefaultIdleMs is the idle timeout while no declaration is in force.
	DefaultIdleMs = 15000
)

// maxEntryFlows bounds the number of flows that an entry remembers: 100,000 take about 10 MB.
const maxEntryFlows = 100_000

// entryFlow is an entry's cached state of a flow. Only the upstream knows for certain whether it holds the flow.
type entryFlow struct {
	peer       Endpoint // agent of the holder
	lastSeenMs int64
	placedMs   int64  // when the first opening packet was placed; 0 if another entry placed the flow
	confirmed  bool   // the agent reported that its upstream holds the flow
	attempts   uint8  // number of placements
	repeats    uint8  // retransmissions of the caller's last packet with data
	lastSeq    uint32 // sequence number of the caller's last packet with data
}

// Entry places new flows and sends packets of established flows to their upstreams. It is not safe for concurrent use.
type Entry struct {
	Self            Endpoint
	table           *Table
	roster          *Roster
	chooser         chooser
	directoryMap    directoryMap
	flows           map[Flow]entryFlow
	triedPeers      map[Flow][]Endpoint
	searches        map[Flow]search
	suspectUntilMs  map[Endpoint]int64      // end of the time in which the agent receives no new flow
	unreportedFlows map[Endpoint]float64    // flows placed on the agent that the roster does not include
	probes          map[Endpoint]probeState // agents that leave packets unanswered or are stopping

	rosterMs    int64   // when the roster arrived
	askTokens   float64 // packets that may be sent now to ask several agents
	askRefillMs int64   // when askTokens was refilled last
}

// NewEntry returns an entry in a failure domain.
func NewEntry(self Endpoint, domain string) *Entry {
	return &Entry{
		Self: self, roster: NewRoster(nil, false), chooser: chooser{domain: domain},
		flows: map[Flow]entryFlow{}, triedPeers: map[Flow][]Endpoint{}, searches: map[Flow]search{},
		suspectUntilMs: map[Endpoint]int64{}, unreportedFlows: map[Endpoint]float64{}, askTokens: askPacketsPerSecond,
		probes: map[Endpoint]probeState{},
	}
}

// SetTable replaces the forwarding table.
func (e *Entry) SetTable(t *Table) { e.table = t }

// SetRoster replaces the roster. Its loads include the flows that were placed before.
func (e *Entry) SetRoster(now int64, r *Roster) {
	e.roster, e.rosterMs = r, now
	e.directoryMap.update(r)
	clear(e.unreportedFlows)
}

// Flows returns the number of remembered flows.
func (e *Entry) Flows() int { return len(e.flows) }

// HolderKnown reports whether an agent has reported that its upstream holds the flow.
func (e *Entry) HolderKnown(f Flow) bool { return e.flows[f].confirmed }

// Packet decides about a packet of a caller.
func (e *Entry) Packet(now int64, s Segment) Decision {
	if e.table == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoTable}
	}
	route := e.table.Routes[s.Flow.Front]
	if s.Opens() {
		return e.placeFlow(now, s, route)
	}
	f, known := e.flows[s.Flow]
	if p := e.roster.Find(f.peer); known && p != nil {
		f.lastSeenMs = now
		f.countRepeat(s)
		e.flows[s.Flow] = f
		d := e.forwardTo(f.peer, ReasonKnown, "", nil)
		if d.Unanswered = s.Data > 0 && f.repeats >= firstLoggedRepeat && f.repeats <= lastLoggedRepeat; d.Unanswered {
			d.AgeMs = p.AgeMs + now - e.rosterMs
		}
		return e.checkReachable(now, p, f, d)
	}
	if known && e.roster.Settled {
		delete(e.flows, s.Flow)
	}
	if route == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoRoute}
	}
	return e.findHolder(now, s, route)
}

// countRepeat counts consecutive retransmissions of the same packet.
func (f *entryFlow) countRepeat(s Segment) {
	switch {
	case s.Data == 0:
	case s.Seq != f.lastSeq:
		f.lastSeq, f.repeats = s.Seq, 0
	case f.repeats <= lastLoggedRepeat:
		f.repeats++
	}
}

func (e *Entry) forwardTo(peer Endpoint, reason Reason, service string, visited []Endpoint) Decision {
	h := Forward{Entry: e.Self, Version: e.table.Version, Visited: visited}
	if service != "" {
		h.Service = ServiceTag(service)
	}
	return Decision{Verdict: ToPeer, Reason: reason, Peer: peer, Forward: h}
}

// placeFlow places a new flow. A copy of the opening packet goes to the same upstream if that has answered, and
// otherwise to another one: the flow opens only at the upstream whose answer the caller acknowledges.
func (e *Entry) placeFlow(now int64, s Segment, route *Route) Decision {
	if route == nil {
		return Decision{Verdict: SendReset, Reason: ReasonNoRoute}
	}
	if !e.roster.Quiet && now-e.rosterMs < maxGrowthWaitMs {
		return Decision{Verdict: Drop, Reason: ReasonUnsettled} // the caller retransmits the packet after 200 ms
	}
	service := route.pick(s.Flow)
	f, known := e.flows[s.Flow]
	reason := ReasonPlaced
	var tried []Endpoint
	if known && f.attempts > 0 {
		if p := e.roster.Find(f.peer); f.confirmed && p != nil && p.Service == service {
			return e.forwardTo(f.peer, ReasonKnown, service, nil)
		}
		reason = ReasonRetried
		tried = append(e.triedPeers[s.Flow], f.peer)
		e.triedPeers[s.Flow] = tried
		if !f.confirmed {
			e.suspectUntilMs[f.peer] = now + suspectMs
		}
	}
	p := e.chooser.choose(e.roster, s.Flow, service, tried,
		func(p *Peer) bool { return e.suspectUntilMs[p.Tunnel] > now },
		func(p *Peer) float64 { return e.unreportedFlows[p.Tunnel] })
	if p == nil && len(tried) > 0 {
		p = e.roster.Find(f.peer)
	}
	if p == nil {
		if !e.roster.Settled {
			return Decision{Verdict: Drop, Reason: ReasonUnsettled}
		}
		return Decision{Verdict: SendReset, Reason: ReasonNoPeer}
	}
	if !known {
		e.evictIfFull()
	}
	first := f.placedMs
	if f.attempts == 0 {
		first = now
	}
	e.flows[s.Flow] = entryFlow{peer: p.Tunnel, lastSeenMs: now, placedMs: first, attempts: f.attempts + 1}
	d := e.forwardTo(p.Tunnel, reason, service, nil)
	d.Load, d.AgeMs = loadOf(p, e.unreportedFlows[p.Tunnel], e.chooser.domain), p.AgeMs
	e.unreportedFlows[p.Tunnel]++
	return d
}

// evictIfFull removes an arbitrary flow when the limit is reached; the next packet of that flow causes a search.
func (e *Entry) evictIfFull() {
	if len(e.flows) < maxEntryFlows {
		return
	}
	for f := range e.flows {
		delete(e.flows, f)
		delete(e.triedPeers, f)
		return
	}
}

// Resolution describes the wait for the holder of a flow that a FlowHeld message ended.
type Resolution struct {
	Opened    bool  // this entry had placed the flow
	Found     bool  // this entry was searching for the holder
	ElapsedMs int64 // time since the first packet
}

// HandleFlowHeld processes an agent's message that its upstream holds a flow.
func (e *Entry) HandleFlowHeld(now int64, from Endpoint, h FlowHeld) Resolution {
	f, known := e.flows[h.Flow]
	if !known {
		e.evictIfFull()
	}
	var answer Resolution
	if state, ok := e.searches[h.Flow]; ok {
		answer = Resolution{Found: true, ElapsedMs: now - state.startMs}
	} else if known && f.attempts > 0 && !f.confirmed {
		answer = Resolution{Opened: true, ElapsedMs: now - f.placedMs}
	}
	e.flows[h.Flow] = entryFlow{peer: from, lastSeenMs: now, placedMs: f.placedMs, confirmed: true, attempts: f.attempts}
	delete(e.triedPeers, h.Flow)
	delete(e.searches, h.Flow)
	delete(e.suspectUntilMs, from)
	if p := e.roster.Find(from); p != nil {
		e.unreportedFlows[from] = float64(h.Flows) - float64(p.Flows)
	}
	return answer
}

// Expire removes idle flows and other expired state. It must be called about once a second.
func (e *Entry) Expire(now int64) {
	idle := int64(DefaultIdleMs)
	if e.table != nil && e.table.IdleTimeout > 0 {
		idle = e.table.IdleTimeout
	}
	for k, f := range e.flows {
		if now-f.lastSeenMs > idle+expirySlackMs {
			delete(e.flows, k)
			delete(e.triedPeers, k)
		}
	}
	for k, v := range e.searches {
		if now-v.startMs > searchTTLMs {
			delete(e.searches, k)
		}
	}
	e.expireProbes(now)
	for k, until := range e.suspectUntilMs {
		if until <= now {
			delete(e.suspectUntilMs, k)
		}
	}
}
