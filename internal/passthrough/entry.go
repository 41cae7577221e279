package passthrough

// Verdict says what is to be done with a packet.
type Verdict uint8

// Verdicts.
const (
	Drop      Verdict = iota // nothing is sent
	ToPeer                   // to the agent Decision.Peer with Decision.Forward
	ToCaller                 // to the caller as it is
	ToHost                   // to the upstream on this VM
	SendReset                // a reset of the flow is sent to the caller
	ToSeveral                // to every agent in Decision.Peers with Decision.Forward
)

// Reason says why, for logs and counters.
type Reason string

// Reasons.
const (
	ReasonPlaced      Reason = "placed"
	ReasonRetried     Reason = "placed_again"
	ReasonKnown       Reason = "known"
	ReasonSearch      Reason = "search"
	ReasonAskMany     Reason = "ask_many"
	ReasonNoRoute     Reason = "no_route"
	ReasonNoTable     Reason = "no_declaration"
	ReasonNoPeer      Reason = "no_upstream"
	ReasonNotMine     Reason = "passed_on"
	ReasonExhausted   Reason = "held_nowhere"
	ReasonUnsettled   Reason = "roster_unsettled"
	ReasonAnswer      Reason = "answer"
	ReasonService     Reason = "wrong_service"
	ReasonOrphaned    Reason = "upstream_started_anew"
	ReasonFailing     Reason = "upstream_failing"
	ReasonUnreachable Reason = "agent_unreachable"
)

// Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Peer    Endpoint
	Peers   []Endpoint
	Probe   bool // besides, Peer is asked whether it is alive
	Also    bool // besides ToHost, the packet goes to Peer: it is not known whether there is a host
	Forward Forward
	Hint    *Holds   // to be sent to HintTo
	Misses  bool     // HintTo is told that the flow is not here
	HintTo  Endpoint // entry that is told

	// For logs.
	Load       float64 // placement cost of the chosen agent
	AgeMs      int64   // of the last report of the agent
	Unanswered bool    // the caller has repeated the packet in vain
	Change     Change  // of the flow at the upstream
	Flows      int     // open flows at the upstream afterwards
	Busy       int     // of them, with an unanswered request
}

// Change is what a packet of the upstream changed about its flow.
type Change string

// Changes.
const (
	Unchanged Change = ""
	Opened    Change = "opened"
	Ended     Change = "ended"
)

// Times of the machines in milliseconds.
const (
	// suspectMs is how long a peer that left a new flow unanswered gets no other: two reports of its heartbeat.
	suspectMs = 1500
	// forgetSlackMs is added to the idle timeout before a flow is forgotten, for retransmissions under way (up to 1.6 s
	// apart) and late clocks.
	forgetSlackMs = 5000
	// askMs is how long a search from agent to agent may take before several agents are asked at once: one agent that does
	// not answer ends such a search. Callers repeat packets after 200 ms, and a search takes less than 100 ms.
	askMs = 150
	// growingMs is how long a roster that is still growing delays new flows if no newer one arrives.
	growingMs = 1200
	// searchMs is how long a search is remembered: longer than the longest pause of a caller between repeats (1.6 s).
	searchMs = 5000
	// unansweredRepeats is from which repeat of a packet on there is a line in the log: the second one comes 600 ms after the
	// packet, longer than upstreams that are not overloaded need. mostRepeats is the last one that is logged, after 1400 ms;
	// by then an agent that does not report stands out.
	unansweredRepeats = 2
	mostRepeats       = 3
	// DefaultIdleMs is the idle timeout without a declaration.
	DefaultIdleMs = 15000
)

// Bounds of asking several agents at once.
const (
	// firstAsk is how many agents the first question goes to. A flow is placed on one of the candidates highest-ranked
	// active agents, and few are added or return during its life. Each further question goes to twice as many others.
	firstAsk = 12
	// askRate is the budget of an entry for such packets in a second. At 3.3 us to relay one (BenchmarkPacketDecision),
	// they take 2% of 0.06 of a core.
	askRate = 400
)

// maxEntryFlows bounds the flows that an entry remembers: 100,000 need about 10 MB.
const maxEntryFlows = 100_000

// entryFlow is what an entry remembers of a flow. It is a cache: the upstream alone knows the truth.
type entryFlow struct {
	peer     Endpoint
	seenMs   int64
	placedMs int64 // when its first opening packet was placed; 0 if another entry did that
	held     bool  // the agent told that its upstream answered
	tries    uint8
	repeats  uint8  // of the caller's last packet with data
	lastSeq  uint32 // of that packet
}

// search is a flow whose holder is being looked for.
type search struct {
	startMs int64
	askedMs int64 // when agents were asked last
	next    int   // rank of the first agent that was not asked yet
	batch   int   // how many are asked next
}

// Entry places new flows and sends packets of established ones towards their upstreams. It is used by one goroutine.
type Entry struct {
	Self    Endpoint
	table   *Table
	roster  *Roster
	choice  chooser
	flows   map[Flow]entryFlow
	tried   map[Flow][]Endpoint
	search  map[Flow]search
	suspect map[Endpoint]int64 // until when, ms
	placed  map[Endpoint]float64
	probes  map[Endpoint]probing // of agents that leave packets unanswered, or stop

	rosterMs int64   // when the roster arrived
	asks     float64 // packets that may be sent to ask several agents
	asksMs   int64   // when asks was renewed
}

// NewEntry returns an entry in a failure domain.
func NewEntry(self Endpoint, domain string) *Entry {
	return &Entry{
		Self: self, roster: NewRoster(nil, false), choice: chooser{domain: domain},
		flows: map[Flow]entryFlow{}, tried: map[Flow][]Endpoint{}, search: map[Flow]search{},
		suspect: map[Endpoint]int64{}, placed: map[Endpoint]float64{}, asks: askRate,
		probes: map[Endpoint]probing{},
	}
}

// SetTable puts a declaration in force.
func (e *Entry) SetTable(t *Table) { e.table = t }

// SetRoster replaces the roster. Its loads include what was placed before.
func (e *Entry) SetRoster(now int64, r *Roster) {
	e.roster, e.rosterMs = r, now
	clear(e.placed)
}

// Flows returns the number of remembered flows.
func (e *Entry) Flows() int { return len(e.flows) }

// Knows reports whether an agent told that its upstream holds the flow.
func (e *Entry) Knows(f Flow) bool { return e.flows[f].held }

// Packet decides about a packet of a caller.
func (e *Entry) Packet(now int64, s Segment) Decision {
	if e.table == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoTable}
	}
	route := e.table.Routes[s.Flow.Front]
	if s.Opens() {
		return e.open(now, s, route)
	}
	f, known := e.flows[s.Flow]
	if p := e.roster.Find(f.peer); known && p != nil {
		f.seenMs = now
		f.noteRepeat(s)
		e.flows[s.Flow] = f
		d := e.forward(f.peer, ReasonKnown, "", nil)
		if d.Unanswered = s.Data > 0 && f.repeats >= unansweredRepeats && f.repeats <= mostRepeats; d.Unanswered {
			d.AgeMs = p.AgeMs + now - e.rosterMs
		}
		return e.late(now, p, f, d)
	}
	if known && e.roster.Settled {
		delete(e.flows, s.Flow)
	}
	if route == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoRoute}
	}
	return e.find(now, s, route)
}

// noteRepeat counts how often the caller has sent the same packet again.
func (f *entryFlow) noteRepeat(s Segment) {
	switch {
	case s.Data == 0:
	case s.Seq != f.lastSeq:
		f.lastSeq, f.repeats = s.Seq, 0
	case f.repeats <= mostRepeats:
		f.repeats++
	}
}

// find looks for the holder of a flow: first from agent to agent, which costs one packet of the entry, and then, while no
// agent has answered, by asking more and more of them at once.
func (e *Entry) find(now int64, s Segment, route *Route) Decision {
	looked, again := e.search[s.Flow]
	if again && now-looked.startMs >= askMs && now-looked.askedMs >= askMs {
		if peers := e.ask(now, s.Flow, route, &looked); len(peers) > 0 {
			e.search[s.Flow] = looked
			d := e.forward(Endpoint{}, ReasonAskMany, "", nil)
			d.Verdict, d.Peers, d.Forward.Only = ToSeveral, peers, true
			return d
		}
	}
	p := e.choice.next(e.roster, s.Flow, route, nil)
	if p == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoPeer}
	}
	if !again && len(e.search) < maxEntryFlows {
		e.search[s.Flow] = search{startMs: now, askedMs: now, batch: firstAsk}
	}
	return e.forward(p.Tunnel, ReasonSearch, "", nil)
}

// ask returns the agents to ask next for a flow, as far as the budget allows, and moves the search on. After the last
// agent it begins again with the first.
func (e *Entry) ask(now int64, f Flow, route *Route, looked *search) []Endpoint {
	e.asks = min(askRate, e.asks+float64(now-e.asksMs)*askRate/1000)
	e.asksMs = now
	order := e.choice.order(e.roster, f, route)
	if looked.next >= len(order) {
		looked.next, looked.batch = 0, firstAsk
	}
	peers := order[looked.next:min(looked.next+looked.batch, len(order))]
	if float64(len(peers)) > e.asks {
		return nil
	}
	e.asks -= float64(len(peers))
	looked.askedMs = now
	looked.next += len(peers)
	looked.batch *= 2
	return peers
}

func (e *Entry) forward(peer Endpoint, reason Reason, service string, visited []Endpoint) Decision {
	h := Forward{Entry: e.Self, Version: e.table.Version, Visited: visited}
	if service != "" {
		h.Service = ServiceTag(service)
	}
	return Decision{Verdict: ToPeer, Reason: reason, Peer: peer, Forward: h}
}

// open places a new flow. A copy of the opening packet goes to the same upstream if that has answered, and otherwise to
// another one: the flow opens only at the upstream whose answer the caller acknowledges.
func (e *Entry) open(now int64, s Segment, route *Route) Decision {
	if route == nil {
		return Decision{Verdict: SendReset, Reason: ReasonNoRoute}
	}
	if !e.roster.Quiet && now-e.rosterMs < growingMs {
		return Decision{Verdict: Drop, Reason: ReasonUnsettled} // the caller repeats the packet after 200 ms
	}
	service := route.pick(s.Flow)
	f, known := e.flows[s.Flow]
	reason := ReasonPlaced
	var tried []Endpoint
	if known && f.tries > 0 {
		if p := e.roster.Find(f.peer); f.held && p != nil && p.Service == service {
			return e.forward(f.peer, ReasonKnown, service, nil)
		}
		reason = ReasonRetried
		tried = append(e.tried[s.Flow], f.peer)
		e.tried[s.Flow] = tried
		if !f.held {
			e.suspect[f.peer] = now + suspectMs
		}
	}
	p := e.choice.choose(e.roster, s.Flow, service, tried,
		func(p *Peer) bool { return e.suspect[p.Tunnel] > now },
		func(p *Peer) float64 { return e.placed[p.Tunnel] })
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
		e.makeRoom()
	}
	first := f.placedMs
	if f.tries == 0 {
		first = now
	}
	e.flows[s.Flow] = entryFlow{peer: p.Tunnel, seenMs: now, placedMs: first, tries: f.tries + 1}
	d := e.forward(p.Tunnel, reason, service, nil)
	d.Load, d.AgeMs = loadOf(p, e.placed[p.Tunnel], e.choice.domain), p.AgeMs
	e.placed[p.Tunnel]++
	return d
}

// makeRoom forgets some flow when there are too many; its next packet is searched for.
func (e *Entry) makeRoom() {
	if len(e.flows) < maxEntryFlows {
		return
	}
	for f := range e.flows {
		delete(e.flows, f)
		delete(e.tried, f)
		return
	}
}

// Answer is what the word of an agent that its upstream holds a flow has ended.
type Answer struct {
	Opened  bool  // the flow was being opened through this entry
	Found   bool  // this entry was searching for its holder
	AfterMs int64 // since the first packet
}

// Holds processes the word of an agent that its upstream holds a flow.
func (e *Entry) Holds(now int64, from Endpoint, h Holds) Answer {
	f, known := e.flows[h.Flow]
	if !known {
		e.makeRoom()
	}
	var answer Answer
	if looked, ok := e.search[h.Flow]; ok {
		answer = Answer{Found: true, AfterMs: now - looked.startMs}
	} else if known && f.tries > 0 && !f.held {
		answer = Answer{Opened: true, AfterMs: now - f.placedMs}
	}
	e.flows[h.Flow] = entryFlow{peer: from, seenMs: now, placedMs: f.placedMs, held: true, tries: f.tries}
	delete(e.tried, h.Flow)
	delete(e.search, h.Flow)
	delete(e.suspect, from)
	if p := e.roster.Find(from); p != nil {
		e.placed[from] = float64(h.Flows) - float64(p.Flows)
	}
	return answer
}

// Misses processes the word of an agent that its upstream does not hold a flow.
func (e *Entry) Misses(now int64, from Endpoint, f Flow) {
	if known, ok := e.flows[f]; !ok || known.peer != from {
		return
	}
	delete(e.flows, f)
	if _, ok := e.search[f]; !ok && len(e.search) < maxEntryFlows {
		e.search[f] = search{startMs: now, askedMs: now, batch: firstAsk}
	}
}

// Expire forgets idle flows. It is to be called about once a second.
func (e *Entry) Expire(now int64) {
	idle := int64(DefaultIdleMs)
	if e.table != nil && e.table.IdleTimeout > 0 {
		idle = e.table.IdleTimeout
	}
	for k, f := range e.flows {
		if now-f.seenMs > idle+forgetSlackMs {
			delete(e.flows, k)
			delete(e.tried, k)
		}
	}
	for k, v := range e.search {
		if now-v.startMs > searchMs {
			delete(e.search, k)
		}
	}
	e.forgetProbes(now)
	for k, until := range e.suspect {
		if until <= now {
			delete(e.suspect, k)
		}
	}
}
