package passthrough

// Conditions for resetting an established flow whose agent is unreachable. A VM that loses power loses its flows, and a
// caller without a reset waits until its request times out. An agent that only restarts, or whose reports do not reach
// control VMs, keeps its flows.
const (
	// probeIntervalMs is the interval between two probes of an agent. Agents reply within a round trip.
	probeIntervalMs = 50
	// unreachableAgeMs is the age of an agent's report from which on the agent may be unreachable: the sum of three
	// intervals of 400 ms, those of reports, of exchanges between control VMs and of fetches of rosters.
	unreachableAgeMs = 1200
	// staleRosterMs is the age of a roster from which on the ages of reports in it prove nothing: the next roster is
	// overdue.
	staleRosterMs = 600
	// unreachableMs is how long an agent must have left probes unanswered, and minProbes how many of them: links lose
	// some.
	unreachableMs = 500
	minProbes     = 2
	// stoppingGraceMs is how long the flows of an agent are not reset after it announced that it stops: as long as a
	// search still visits a silent agent.
	stoppingGraceMs = lostAfterMs
)

// probeState is an entry's state of its probes to an agent.
type probeState struct {
	firstMs, lastMs int64 // times of the first and last unanswered probe
	unanswered      int
	graceEndMs      int64 // until when the flows of a stopping agent are not reset
}

// checkReachable replaces the decision d about a retransmitted packet by a reset if the agent is unreachable, and
// otherwise adds a probe. Answers of the upstream take another path than probe replies, so a caller that receives
// answers never receives such a reset.
func (e *Entry) checkReachable(now int64, p *Peer, f entryFlow, d Decision) Decision {
	pr := e.probes[p.Tunnel]
	if f.repeats == 0 || p.Leaving || now < pr.graceEndMs {
		return d
	}
	rosterAge := now - e.rosterMs
	if p.AgeMs+rosterAge >= unreachableAgeMs && rosterAge < staleRosterMs && pr.unanswered >= minProbes && now-pr.firstMs >= unreachableMs {
		return Decision{Verdict: SendReset, Reason: ReasonUnreachable, Peer: p.Tunnel, AgeMs: p.AgeMs + rosterAge}
	}
	if pr.unanswered == 0 {
		pr.firstMs = now
	}
	if pr.unanswered == 0 || now-pr.lastMs >= probeIntervalMs {
		pr.lastMs = now
		pr.unanswered++
		d.Probe = true
		e.probes[p.Tunnel] = pr
	}
	return d
}

// HandleSignOfLife processes the arrival of any message of an agent, such as a probe reply.
func (e *Entry) HandleSignOfLife(from Endpoint) {
	if pr := e.probes[from]; pr.unanswered > 0 {
		e.probes[from] = probeState{graceEndMs: pr.graceEndMs}
	}
}

// HandleStopping processes an agent's notice that its process is stopping. The next process of the agent takes over its
// flows. New flows go to other agents, also before the roster says so.
func (e *Entry) HandleStopping(now int64, from Endpoint) {
	e.probes[from] = probeState{graceEndMs: now + stoppingGraceMs}
	e.suspectUntilMs[from] = now + suspectMs
}

// expireProbes removes probe states that no longer affect a decision.
func (e *Entry) expireProbes(now int64) {
	for at, pr := range e.probes {
		if now >= max(pr.lastMs+stoppingGraceMs, pr.graceEndMs) {
			delete(e.probes, at)
		}
	}
}
