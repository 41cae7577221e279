package passthrough

// Limits on asking several agents at once.
const (
	// firstBatchSize is the number of agents in the first batch of a search. A flow is placed on one of the
	// maxCandidates highest-ranked active agents, and few agents join or return during its life. Each further batch is
	// twice as large.
	firstBatchSize = 12
	// askPacketsPerSecond limits the packets that an entry sends to ask several agents. At 3.3 us to relay one
	// (BenchmarkPacketDecision), they take 2% of 0.06 of a core.
	askPacketsPerSecond = 400
	// reservedAskPackets of them are kept for flows whose directory nodes do not answer. Flows that are not listed are
	// mostly gone, and after the replacement of many upstreams there are enough of them to use up any limit.
	reservedAskPackets = askPacketsPerSecond / 2
)

// search is the state of a search for the holder of a flow.
type search struct {
	startMs   int64
	lastAskMs int64 // when a directory node or a batch of agents was asked last
	nextNode  int   // index of the first directory node that was not asked yet
	unlisted  bool  // the directory does not list the flow, and agents search for it
	nextRank  int   // index of the first agent that was not asked yet
	batchSize int   // number of agents in the next batch
}

// findHolder searches for the holder of a flow: it asks the first directory node, and with each further packet of the
// caller the next one and a batch of agents of growing size, while no agent has answered.
func (e *Entry) findHolder(now int64, s Segment, route *Route) Decision {
	nodes := e.directoryMap.nodes(s.Flow)
	state, ongoing := e.searches[s.Flow]
	if !ongoing {
		state = search{startMs: now, lastAskMs: now, batchSize: firstBatchSize}
	}
	if ongoing && (now-state.startMs < askDelayMs || now-state.lastAskMs < askDelayMs) {
		return e.askNode(s, route, nodes, state.nextNode-1) // the last question may still be answered
	}
	var batch []Endpoint
	if ongoing {
		batch = e.nextBatch(now, s.Flow, route, &state)
	}
	d := e.askNode(s, route, nodes, state.nextNode)
	state.nextNode++
	state.lastAskMs = now
	if ongoing || len(e.searches) < maxEntryFlows {
		e.searches[s.Flow] = state
	}
	if len(batch) > 0 {
		node := d
		d = e.forwardTo(node.Peer, ReasonAskMany, "", nil)
		d.Verdict, d.Peers, d.Forward.NoRelay, d.PeerForward = ToSeveral, batch, true, node.Forward
	}
	return d
}

// askNode sends a packet to a directory node of its flow, to the last one if there are fewer, or, without any, to the
// highest-ranked agent.
func (e *Entry) askNode(s Segment, route *Route, nodes directoryNodes, index int) Decision {
	index = min(index, nodes.last())
	if index < 0 {
		return e.searchByRank(s, route)
	}
	d := e.forwardTo(nodes[index], ReasonSearch, "", nil)
	d.Forward.Lookup = true
	return d
}

// searchByRank starts a chain of agents at the highest-ranked one.
func (e *Entry) searchByRank(s Segment, route *Route) Decision {
	p, _ := e.chooser.next(e.roster, s.Flow, route, nil, Section{})
	if p == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoPeer}
	}
	return e.forwardTo(p.Tunnel, ReasonSearch, "", nil)
}

// nextBatch returns the agents to ask next for a flow and advances the search, or returns nil if the rate limit does
// not allow the batch. After the last agent it starts again with the first.
func (e *Entry) nextBatch(now int64, f Flow, route *Route, state *search) []Endpoint {
	e.askTokens = min(askPacketsPerSecond, e.askTokens+float64(now-e.askRefillMs)*askPacketsPerSecond/1000)
	e.askRefillMs = now
	reserved := 0.0
	if state.unlisted {
		reserved = reservedAskPackets
	}
	if e.askTokens-reserved < firstBatchSize {
		return nil
	}
	order := e.chooser.order(e.roster, f, route)
	if state.nextRank >= len(order) {
		state.nextRank, state.batchSize = 0, firstBatchSize
	}
	peers := order[state.nextRank:min(state.nextRank+state.batchSize, len(order))]
	if float64(len(peers)) > e.askTokens-reserved {
		return nil
	}
	e.askTokens -= float64(len(peers))
	state.lastAskMs = now
	state.nextRank += len(peers)
	state.batchSize *= 2
	return peers
}

// HandleFlowLocated processes a directory node's message which agent holds a flow. It is a hint: the agent itself tells
// whether its upstream holds the flow.
func (e *Entry) HandleFlowLocated(now int64, l FlowLocated) {
	if state, ok := e.searches[l.Flow]; ok && l.Holder == (Endpoint{}) {
		state.unlisted = true
		e.searches[l.Flow] = state
		return
	}
	if f := e.flows[l.Flow]; f.confirmed || e.roster.Find(l.Holder) == nil {
		return
	}
	e.evictIfFull()
	e.flows[l.Flow] = entryFlow{peer: l.Holder, lastSeenMs: now}
}

// HandleFlowNotHeld processes an agent's message that its upstream does not hold a flow.
func (e *Entry) HandleFlowNotHeld(now int64, from Endpoint, f Flow) {
	if known, ok := e.flows[f]; !ok || known.peer != from {
		return
	}
	delete(e.flows, f)
	if _, ok := e.searches[f]; !ok && len(e.searches) < maxEntryFlows {
		e.searches[f] = search{startMs: now, lastAskMs: now, batchSize: firstBatchSize}
	}
}
