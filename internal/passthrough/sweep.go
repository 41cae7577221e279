package passthrough

// A sweep asks all agents that a flow is unlikely to be placed on, mostly to prove that it is gone. One chain of hops
// through hundreds of agents takes a second, so that several chains start at once, each through the agents of one
// section. The last agent of each chain reports its end to the agent that started the sweep, which resets the flow when
// all chains have ended.

const (
	// agentsPerSection is the number of agents in a chain: at 4 ms a hop, a chain takes less than 100 ms.
	agentsPerSection = 20
	// maxSections bounds the chains of a sweep and the packets that start them.
	maxSections = 64
	// sweepTTLMs is how long the end of a sweep is waited for. Packets of the same flow start no other one until then, so
	// that repeats do not multiply the packets to all agents.
	sweepTTLMs = 2000
	// maxSweeps bounds the sweeps that an agent has started and not ended.
	maxSweeps = 10_000
)

// Section is a share of all agents that one chain of a sweep visits. The zero value is the set of all agents.
type Section struct {
	Count   uint8    // number of sections
	Index   uint8    // 0 to Count-1
	Attempt uint8    // tells sweeps for the same flow apart
	Start   Endpoint // agent that started the sweep
}

// contains reports whether an agent belongs to the section.
func (s Section) contains(e Endpoint) bool {
	return s.Count == 0 || memberHash(directoryBuckets, e)%uint64(s.Count) == uint64(s.Index)
}

// SectionSearched notifies the agent that started a sweep that no agent of a section holds the flow.
type SectionSearched struct {
	Flow         Flow
	Index        uint8
	Attempt      uint8
	Inconclusive bool // an agent could not determine whether its upstream holds the flow
}

// sweep is the state of a sweep at the agent that started it.
type sweep struct {
	packet    Segment
	startMs   int64
	attempt   uint8
	pending   uint64 // sections whose chains have not ended, as a bit set
	uncertain bool
}

// sectionCount returns the number of sections for a number of agents; 0 stands for a single chain.
func sectionCount(agents int) int {
	if agents <= 2*agentsPerSection {
		return 0
	}
	return min((agents+agentsPerSection-1)/agentsPerSection, maxSections)
}

// startSweep starts the chains of a sweep. It returns false if the agents are so few that one chain serves, or if too
// many sweeps are under way.
func (a *Agent) startSweep(now int64, s Segment, h Forward, visited []Endpoint) (Decision, bool) {
	count := sectionCount(len(a.roster.Peers))
	if count == 0 || len(a.sweeps) >= maxSweeps {
		return Decision{}, false
	}
	state := &sweep{packet: s, startMs: now, uncertain: h.Inconclusive}
	if running, ok := a.sweeps[s.Flow]; ok {
		if now-running.startMs < sweepTTLMs {
			return Decision{Verdict: Drop, Reason: ReasonPassedOn}, true
		}
		state.attempt = running.attempt + 1
	}
	d := Decision{Verdict: ToSeveral, Reason: ReasonSweep}
	for i := range count {
		section := Section{Count: uint8(count), Index: uint8(i), Attempt: state.attempt, Start: a.Self}
		p, _ := a.chooser.next(a.roster, s.Flow, a.route(s.Flow), visited, section)
		if p == nil {
			continue
		}
		state.pending |= 1 << i
		d.Peers = append(d.Peers, p.Tunnel)
		d.Sections = append(d.Sections, section)
	}
	if state.pending == 0 {
		return Decision{}, false
	}
	d.Forward = Forward{Entry: h.Entry, Version: h.Version, Visited: visited, Inconclusive: h.Inconclusive}
	if a.sweeps == nil {
		a.sweeps = make(map[Flow]*sweep)
	}
	a.sweeps[s.Flow] = state
	return d, true
}

// HandleSectionSearched processes the end of a chain. It decides about the flow of the sweep.
func (a *Agent) HandleSectionSearched(now int64, m SectionSearched) (Segment, Decision) {
	state, ok := a.sweeps[m.Flow]
	if !ok || m.Attempt != state.attempt || now-state.startMs >= sweepTTLMs || m.Index >= maxSections {
		return Segment{}, Decision{Verdict: Drop, Reason: ReasonPassedOn}
	}
	state.pending &^= 1 << m.Index
	state.uncertain = state.uncertain || m.Inconclusive
	if state.pending != 0 {
		return Segment{}, Decision{Verdict: Drop, Reason: ReasonPassedOn}
	}
	delete(a.sweeps, m.Flow)
	if state.uncertain || !a.roster.Whole(now-a.rosterMs) || state.packet.Rst {
		return state.packet, Decision{Verdict: Drop, Reason: ReasonHeldNowhere}
	}
	return state.packet, Decision{Verdict: SendReset, Reason: ReasonHeldNowhere}
}

// expireSweeps removes sweeps of which a chain was lost.
func (a *Agent) expireSweeps(now int64) {
	for f, state := range a.sweeps {
		if now-state.startMs >= sweepTTLMs {
			delete(a.sweeps, f)
		}
	}
}
