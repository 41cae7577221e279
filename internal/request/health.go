package request

import (
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
)

// Parameters of the concurrency limit and of outlier detection.
const (
	// limitStep is added to the concurrency limit per answer: a cold upstream reaches 3 slots after 10 answers.
	limitStep = 0.2
	// windowSize is the number of latest runs over which the failure ratio is taken.
	windowSize = 20
	// slowFactor and slowFloor define a slow answer where requests carry no deadline: a run that took longer than slowFloor
	// and longer than slowFactor times the median service time of the other hosts.
	slowFactor = 5
	slowFloor  = 20 * time.Millisecond
	// lateFactor is the multiple of the expected time that a run past its deadline must exceed to count as a failure of
	// the upstream.
	lateFactor = 2
	// minWindowRuns is the number of runs needed before the failure ratio can eject the upstream.
	minWindowRuns = 10
)

// health detects a failing local upstream of a service (passive outlier detection) from the outcomes of its requests
// only. Health endpoints and reported load may be stale or wrong, so they are not used.
type health struct {
	window              [windowSize]bool // true for a failure
	samples             int              // runs recorded in window, at most windowSize
	nextIndex           int
	consecutiveFailures int
	ejectedSince        time.Time // zero when not ejected
	probeAfter          time.Time // earliest time of the next probe
	backoff             time.Duration
	probing             bool
}

// recordResult updates the service time, the concurrency limit and the health of the upstream after a run.
func (s *service) recordResult(m *Machine, w *workItem, r RunResult) {
	h := &s.health
	m.endProbe(w)
	took := m.now.Sub(w.startedAt)
	if (r == RunBroken || r == RunTruncated) && !w.runCancelled && w.expired(m.now) {
		// The gate ends a run at its deadline itself, possibly before the Tick arrives.
		w.deadlineExceeded = true
	}
	expected := s.expected()
	switch {
	case r == RunAnswered:
		s.observe(took)
		s.limit = min(s.limit+limitStep, float64(m.cfg.Slots))
		if s.isSlow(took) || (w.deadlineExceeded && took > lateFactor*expected) {
			h.recordFailure(m, s)
			return
		}
		h.recordSuccess(s)
	case w.runCancelled && !w.deadlineExceeded:
		// Cancelled because all waiters left: says nothing about the upstream.
	case w.deadlineExceeded && expected > 0 && took <= lateFactor*expected:
		// Admission left too little time; the upstream took no longer than usual.
		s.observe(took)
	default:
		if r == RunShed {
			s.limit = max(1, s.limit/2)
		}
		if w.deadlineExceeded {
			// The run took at least this long, which later estimates must include.
			s.observe(took)
		}
		h.recordFailure(m, s)
	}
}

func (h *health) recordOutcome(failed bool) {
	h.window[h.nextIndex] = failed
	h.nextIndex = (h.nextIndex + 1) % windowSize
	h.samples = min(h.samples+1, windowSize)
}

// isSlow compares the duration of a run with the median service time of the service's other hosts.
func (s *service) isSlow(took time.Duration) bool {
	var means []time.Duration
	for _, p := range s.peers {
		if p.Mean > 0 {
			means = append(means, p.Mean)
		}
	}
	if took < slowFloor || len(means) == 0 {
		return false
	}
	slices.Sort(means)
	return took > slowFactor*means[len(means)/2]
}

func (h *health) recordSuccess(s *service) {
	h.recordOutcome(false)
	h.consecutiveFailures = 0
	if !h.ejectedSince.IsZero() {
		*h = health{backoff: h.backoff}
		s.limit = 1
	}
}

func (h *health) recordFailure(m *Machine, s *service) {
	h.recordOutcome(true)
	h.consecutiveFailures++
	if !h.ejectedSince.IsZero() {
		// A probe failed.
		h.eject(m, h.ejectedSince)
		return
	}
	failures := 0
	for i := 0; i < h.samples; i++ {
		if h.window[i] {
			failures++
		}
	}
	if h.consecutiveFailures >= m.cfg.EjectAfter || (h.samples >= minWindowRuns && 2*failures >= h.samples) {
		h.eject(m, m.now)
	}
}

func (h *health) eject(m *Machine, since time.Time) {
	m.counts.Ejections++
	h.backoff = min(max(2*h.backoff, m.cfg.EjectFor), m.cfg.EjectForMax)
	h.ejectedSince = since
	h.probeAfter = m.now.Add(h.backoff)
}

// maxEjected returns how many hosts of a service may be ejected at once.
func maxEjected(hosts int) int { return hosts / 2 }

// Ejected reports whether the local upstream of a service is ejected, and since when. When more hosts than maxEjected are
// failing, those that failed first (then by name) are ejected and the others go on, so all agents that know each other's
// state agree.
func (m *Machine) Ejected(id model.ServiceID) (time.Time, bool) {
	s := m.service(id)
	since := s.health.ejectedSince
	if since.IsZero() {
		return since, false
	}
	before := 0
	for _, p := range s.peers {
		if !p.Ejected {
			continue
		}
		if p.EjectedSince.Before(since) || (p.EjectedSince.Equal(since) && p.Host < m.cfg.Self.Host) {
			before++
		}
	}
	return since, before < maxEjected(len(s.peers)+1)
}

// takesWork reports whether a work item may run here, and marks it as a probe if the upstream is ejected and due for one.
func (m *Machine) takesWork(id model.ServiceID, w *workItem) bool {
	if m.draining(id) {
		return false
	}
	if _, ejected := m.Ejected(id); !ejected {
		return true
	}
	h := &m.service(id).health
	due := h.probeAfter
	if w.keyed() {
		// A failed probe with a keyed request gives its caller an unknown outcome, so unkeyed requests probe first.
		due = due.Add(h.backoff)
	}
	if h.probing || m.now.Before(due) {
		return false
	}
	h.probing = true
	w.isProbe = true
	return true
}

// endProbe lets another work item probe an ejected upstream.
func (m *Machine) endProbe(w *workItem) {
	if !w.isProbe {
		return
	}
	w.isProbe = false
	m.service(w.Service).health.probing = false
}

// TakesWork reports whether this agent accepts requests of a service from other agents.
func (m *Machine) TakesWork(id model.ServiceID) bool {
	_, ejected := m.Ejected(id)
	return !m.draining(id) && !ejected
}

// Mean returns the measured service time of a service, 0 before the first answer.
func (m *Machine) Mean(id model.ServiceID) time.Duration { return m.service(id).mean }

// Queued returns the length of a service's queue.
func (m *Machine) Queued(id model.ServiceID) int { return len(m.service(id).queue) }
