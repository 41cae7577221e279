package passthrough

import "math"

// Parameters of the passive health check, which uses the outcomes of requests.
const (
	// outcomeHalfLifeMs is the time in which the weight of an outcome halves.
	outcomeHalfLifeMs = 2000
	// minFailures is the number of failed requests from which on an upstream can be failing: every fault of a host
	// between the caller and the upstream loses one or two requests.
	minFailures = 3
	// failingShare is the share of failed requests from which on an upstream is failing. Faults outside of an upstream
	// do not cost it a tenth of its requests for long.
	failingShare = 0.1
	// maxUnansweredPerSlot is the number of unanswered requests per slot above which resets of the upstream count as
	// shed load and not as failures: a slot works on one request and queues a few more.
	maxUnansweredPerSlot = 3
	// firstHoldMs and maxHoldMs bound how long a failing upstream receives no new flow before a trial. The time doubles
	// with each failed trial.
	firstHoldMs = 2000
	maxHoldMs   = 16_000
	// maxTrialFlows is the number of flows that may open per trialWindowMs during a trial. minTrialAnswers consecutive
	// answers end the trial: an upstream that fails two requests in five passes one trial in thirteen.
	maxTrialFlows   = 2
	trialWindowMs   = 500
	minTrialAnswers = 5
	// maxFailingShare is the largest share of a service's active upstreams that may be excluded as failing. If more
	// fail, the cause is common to them, and excluding them would only overload the others.
	maxFailingShare = 1.0 / 3
)

// Health is the state of an upstream according to the outcomes of its requests.
type Health uint8

// Health states.
const (
	Healthy Health = iota
	Failing        // receives no new flow while other upstreams can take it
	OnTrial        // receives a few new flows to test whether it still fails
)

// String returns the form used in logs.
func (h Health) String() string { return [...]string{"healthy", "failing", "on_trial"}[h] }

// outcomes is the passive health check of an upstream. The zero value is healthy.
type outcomes struct {
	health    Health
	answered  float64 // answered requests, weighted by age
	failed    float64 // failed requests, weighted by age
	decayedMs int64   // time to which the weights are decayed

	holdEndMs          int64 // when a trial starts
	holdMs             int64 // length of the last hold; 0 if the upstream has been healthy since
	trialWindowStartMs int64 // start of the window in which trialOpened is counted
	trialOpened        int   // flows opened in the window
	trialAnswered      int   // consecutive answers during the trial
}

// decay updates the weights to the present time and starts a trial when the hold is over.
func (o *outcomes) decay(now int64) {
	if passed := now - o.decayedMs; passed > 0 {
		w := math.Exp2(-float64(passed) / outcomeHalfLifeMs)
		o.answered, o.failed, o.decayedMs = o.answered*w, o.failed*w, now
	}
	if o.health == Failing && now >= o.holdEndMs {
		o.health, o.trialWindowStartMs, o.trialOpened, o.trialAnswered = OnTrial, now, 0, 0
	}
}

// recordAnswer records an answered request.
func (o *outcomes) recordAnswer(now int64) {
	o.decay(now)
	o.answered++
	if o.health != OnTrial {
		return
	}
	if o.trialAnswered++; o.trialAnswered >= minTrialAnswers {
		*o = outcomes{decayedMs: now}
	}
}

// recordFailures records n requests or flows that the upstream has lost.
func (o *outcomes) recordFailures(now int64, n int) {
	if n == 0 {
		return
	}
	o.decay(now)
	o.failed += float64(n)
	switch {
	case o.health == OnTrial:
		o.startHold(now)
	case o.health == Healthy && o.failed >= minFailures && o.failed >= failingShare*(o.failed+o.answered):
		o.startHold(now)
	}
}

// startHold sets the health to failing and doubles the hold time up to its limit.
func (o *outcomes) startHold(now int64) {
	o.holdMs = min(max(2*o.holdMs, firstHoldMs), maxHoldMs)
	o.health, o.holdEndMs = Failing, now+o.holdMs
}

// rejectsNewFlow reports whether a new flow should go to another upstream. During a trial it counts the flow.
func (o *outcomes) rejectsNewFlow(now int64) bool {
	o.decay(now)
	switch o.health {
	case Failing:
		return true
	case OnTrial:
		if now-o.trialWindowStartMs >= trialWindowMs {
			o.trialWindowStartMs, o.trialOpened = now, 0
		}
		o.trialOpened++
		return o.trialOpened > maxTrialFlows
	}
	return false
}
