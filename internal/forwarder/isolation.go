package forwarder

import "github.com/plantainseam/plantainseam/internal/passthrough"

// Conditions for an entry to consider itself isolated.
const (
	// controlSilenceMs is how long no control VM must have answered: reports are 400 ms apart.
	controlSilenceMs = 700
	// agentSilenceMs is how long agents must have left packets unanswered. They answer within a round trip, at most
	// some tens of milliseconds.
	agentSilenceMs = 400
	// minUnanswered is how many packets must be unanswered: a single agent that is down does not answer either.
	minUnanswered = 5
	// isolationMs is how long an entry considers itself isolated while it receives nothing. Then it accepts callers'
	// packets again, since an entry without callers receives no answers of agents.
	isolationMs = 5000
)

// isolation determines whether an entry reaches no other process. Callers may still reach the entry, and their packets
// are lost there, so it must not be ready. Times are milliseconds of the entry's clock.
type isolation struct {
	controlMs         int64 // time of the last answer of a control VM
	unanswered        int   // packets that require an answer, since the last message of an agent
	firstUnansweredMs int64 // time of the first unanswered packet
	endMs             int64 // end of the isolation; 0 if the entry is not isolated
}

// noteControlAnswer records an answer of a control VM.
func (i *isolation) noteControlAnswer(now int64) { *i = isolation{controlMs: now} }

// noteAgentMessage records a message of an agent.
func (i *isolation) noteAgentMessage() { i.unanswered, i.endMs = 0, 0 }

// notePacket records the decision about a packet of a caller.
func (i *isolation) notePacket(now int64, d passthrough.Decision) {
	switch d.Reason {
	case passthrough.ReasonPlaced, passthrough.ReasonRetried, passthrough.ReasonSearch, passthrough.ReasonAskMany:
	default:
		return // the holder is known already, and the agent sends no answer
	}
	if i.unanswered == 0 {
		i.firstUnansweredMs = now
	}
	i.unanswered++
}

// isolated reports whether the entry is isolated, and whether the isolation begins now.
func (i *isolation) isolated(now int64) (is, begins bool) {
	if i.endMs > 0 {
		if now < i.endMs {
			return true, false
		}
		i.endMs, i.unanswered = 0, 0
	}
	if i.unanswered < minUnanswered || now-i.firstUnansweredMs < agentSilenceMs || now-i.controlMs < controlSilenceMs {
		return false, false
	}
	i.endMs = now + isolationMs
	return true, true
}
