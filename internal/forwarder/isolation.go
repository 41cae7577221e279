package forwarder

import "github.com/plantainseam/plantainseam/internal/passthrough"

// When an entry takes itself for cut off.
const (
	// silentControlMs is how long no control VM has answered: reports are 400 ms apart.
	silentControlMs = 700
	// silentAgentsMs is how long agents have left questions without a word. They answer within a round trip, at most some
	// tens of milliseconds.
	silentAgentsMs = 400
	// leastQuestions is how many questions must have had no answer: one agent that is down does not answer either.
	leastQuestions = 5
	// isolationMs is how long an entry calls itself cut off without a sign of life. Then callers' packets are tried again,
	// since an entry without callers hears no agent.
	isolationMs = 5000
)

// isolation tells whether an entry reaches nobody. Callers may still reach it, and what they send is lost there, so it must not
// be ready. It is pure; times are milliseconds of the entry's clock.
type isolation struct {
	controlMs  int64 // last answer of a control VM
	questions  int   // packets that agents answer, since one of them was heard
	questionMs int64 // the first of those
	untilMs    int64 // end of the isolation; 0 if there is none
}

// heardControl notes an answer of a control VM.
func (i *isolation) heardControl(now int64) { *i = isolation{controlMs: now} }

// heardAgent notes a word of an agent.
func (i *isolation) heardAgent() { i.questions, i.untilMs = 0, 0 }

// sent notes what was done with a packet of a caller.
func (i *isolation) sent(now int64, d passthrough.Decision) {
	switch d.Reason {
	case passthrough.ReasonPlaced, passthrough.ReasonRetried, passthrough.ReasonSearch, passthrough.ReasonAskMany:
	default:
		return // the agent has told already where the flow is
	}
	if i.questions == 0 {
		i.questionMs = now
	}
	i.questions++
}

// isolated reports whether the entry reaches nobody, and whether that has just begun.
func (i *isolation) isolated(now int64) (is, begins bool) {
	if i.untilMs > 0 {
		if now < i.untilMs {
			return true, false
		}
		i.untilMs, i.questions = 0, 0
	}
	if i.questions < leastQuestions || now-i.questionMs < silentAgentsMs || now-i.controlMs < silentControlMs {
		return false, false
	}
	i.untilMs = now + isolationMs
	return true, true
}
