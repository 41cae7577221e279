package passthrough

import "math"

// Judgement of an upstream by what becomes of the requests on its flows.
const (
	// outcomeHalfLifeMs is the time in which the weight of an outcome halves.
	outcomeHalfLifeMs = 2000
	// minFailures is how many requests have to fail before an upstream is called failing: one or two lost requests happen
	// with every fault of a machine between the caller and the upstream.
	minFailures = 3
	// failingShare is the share of failed requests from which on an upstream is called failing. A tenth is more than any
	// fault outside of it takes from one upstream for long.
	failingShare = 0.1
	// crowdedPerSlot is how many unanswered requests a slot may have before resets of the upstream are taken for shed load
	// and not for failures: it works on one and queues a few more.
	crowdedPerSlot = 3
	// firstHoldMs and longestHoldMs bound how long a failing upstream gets no new flow before it is tried again. The time
	// doubles with each failed trial.
	firstHoldMs   = 2000
	longestHoldMs = 16_000
	// trialFlows is how many flows a trial may open in trialMs, and trialAnswers how many answers in a row end it well: an
	// upstream that fails two requests in five passes one trial in thirteen.
	trialFlows   = 2
	trialMs      = 500
	trialAnswers = 5
	// mostFailingShare is the largest share of a service's active upstreams that may be passed over as failing. Where more
	// fail, the cause is common to them, and passing them over would only overload the rest.
	mostFailingShare = 1.0 / 3
)

// Health is what an agent thinks of its upstream.
type Health uint8

// Healths.
const (
	Healthy Health = iota
	Failing        // it gets no new flow while others can take it
	OnTrial        // a few new flows show whether it still fails
)

// String returns the form used in logs.
func (h Health) String() string { return [...]string{"healthy", "failing", "on_trial"}[h] }

// outcomes judges an upstream. The zero value is healthy.
type outcomes struct {
	health   Health
	answered float64 // requests, weighted by age
	failed   float64
	atMs     int64 // of the weights

	untilMs int64 // end of the hold
	holdMs  int64 // length of the last hold; 0 if the upstream has been healthy since
	sinceMs int64 // since when flows of the trial are counted
	opened  int   // of them
	good    int   // answers in a row of the trial
}

// age brings the weights to the present time and ends a hold that is over.
func (o *outcomes) age(now int64) {
	if passed := now - o.atMs; passed > 0 {
		w := math.Exp2(-float64(passed) / outcomeHalfLifeMs)
		o.answered, o.failed, o.atMs = o.answered*w, o.failed*w, now
	}
	if o.health == Failing && now >= o.untilMs {
		o.health, o.sinceMs, o.opened, o.good = OnTrial, now, 0, 0
	}
}

// answer records an answered request.
func (o *outcomes) answer(now int64) {
	o.age(now)
	o.answered++
	if o.health != OnTrial {
		return
	}
	if o.good++; o.good >= trialAnswers {
		*o = outcomes{atMs: now}
	}
}

// fail records n requests or flows that the upstream has lost.
func (o *outcomes) fail(now int64, n int) {
	if n == 0 {
		return
	}
	o.age(now)
	o.failed += float64(n)
	switch {
	case o.health == OnTrial:
		o.hold(now)
	case o.health == Healthy && o.failed >= minFailures && o.failed >= failingShare*(o.failed+o.answered):
		o.hold(now)
	}
}

func (o *outcomes) hold(now int64) {
	o.holdMs = min(max(2*o.holdMs, firstHoldMs), longestHoldMs)
	o.health, o.untilMs = Failing, now+o.holdMs
}

// refuses reports whether a new flow should go elsewhere, and counts it if it is one of a trial.
func (o *outcomes) refuses(now int64) bool {
	o.age(now)
	switch o.health {
	case Failing:
		return true
	case OnTrial:
		if now-o.sinceMs >= trialMs {
			o.sinceMs, o.opened = now, 0
		}
		o.opened++
		return o.opened > trialFlows
	}
	return false
}
