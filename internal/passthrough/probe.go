package passthrough

// When the caller of an established flow is told that the flow's agent is gone. A VM without power takes its flows along, and
// a caller that is not told uses up the time of its request. An agent that is merely restarted or not heard by control VMs keeps
// them.
const (
	// probePauseMs is the time between two probes of an agent. They are answered within a round trip.
	probePauseMs = 50
	// unreachableAgeMs is the age of its report from which on an agent may be unreachable: reports, exchanges between control
	// VMs and fetches of rosters, 400 ms apart each, add up to that.
	unreachableAgeMs = 1200
	// staleRosterMs is the age of a roster from which on it tells nothing of agents' reports: the next one is overdue.
	staleRosterMs = 600
	// unreachableMs is how long its probes must have had no answer, and leastProbes how many of them: links lose some.
	unreachableMs = 500
	leastProbes   = 2
	// stoppingMs is how long the flows of an agent that has said that it stops are left alone: as long as a silent one is
	// searched for flows.
	stoppingMs = lostMs
)

// probing is what an entry knows of an agent by its probes.
type probing struct {
	firstMs, lastMs int64 // of the unanswered ones
	unanswered      int
	aloneMs         int64 // until when the flows of an agent that stops are left alone
}

// late decides about a packet that its caller repeats, in place of d. What reaches the upstream is answered on another way
// than probes, so a caller whose packets are answered is never told that its flow is gone.
func (e *Entry) late(now int64, p *Peer, f entryFlow, d Decision) Decision {
	pr := e.probes[p.Tunnel]
	if f.repeats == 0 || p.Leaving || now < pr.aloneMs {
		return d
	}
	rosterAge := now - e.rosterMs
	if p.AgeMs+rosterAge >= unreachableAgeMs && rosterAge < staleRosterMs && pr.unanswered >= leastProbes && now-pr.firstMs >= unreachableMs {
		return Decision{Verdict: SendReset, Reason: ReasonUnreachable, Peer: p.Tunnel, AgeMs: p.AgeMs + rosterAge}
	}
	if pr.unanswered == 0 {
		pr.firstMs = now
	}
	if pr.unanswered == 0 || now-pr.lastMs >= probePauseMs {
		pr.lastMs = now
		pr.unanswered++
		d.Probe = true
		e.probes[p.Tunnel] = pr
	}
	return d
}

// Alive processes a word of an agent, such as the answer to a probe.
func (e *Entry) Alive(from Endpoint) {
	if pr := e.probes[from]; pr.unanswered > 0 {
		e.probes[from] = probing{aloneMs: pr.aloneMs}
	}
}

// Stops processes the word of an agent that its process stops. Its flows go on with its next process.
func (e *Entry) Stops(now int64, from Endpoint) { e.probes[from] = probing{aloneMs: now + stoppingMs} }

// forgetProbes forgets what is too old to matter.
func (e *Entry) forgetProbes(now int64) {
	for at, pr := range e.probes {
		if now >= max(pr.lastMs+stoppingMs, pr.aloneMs) {
			delete(e.probes, at)
		}
	}
}
