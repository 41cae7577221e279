package request

import (
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
)

// Growth and share limits of the local upstream's health.
const (
	// limitStep is added to the limit of runs per answer: a cold upstream reaches 3 slots after 10 answers.
	limitStep = 0.2
	// windowSize is the number of latest runs that the failure share is taken over.
	windowSize = 20
	// slowFactor and slowFloor define a late answer where requests carry no deadline: a run that took longer than the
	// floor and than this many times the median service time of the other hosts.
	slowFactor = 5
	slowFloor  = 20 * time.Millisecond
	// lateFactor is how far a run past its deadline must exceed the expected time to count as the upstream's failure.
	lateFactor = 2
	// windowMin is the number of runs needed before the share counts.
	windowMin = 10
)

// health judges the local upstream of a service by the outcomes of its requests only. Health endpoints and reported
// load may be stale or wrong, so they do not enter.
type health struct {
	window  [windowSize]bool // true for a failure
	seen    int              // runs recorded in window, at most windowSize
	next    int
	inRow   int
	since   time.Time // beginning of the ejection; zero when not ejected
	until   time.Time // from then on a probe may run
	backoff time.Duration
	probing bool
}

// judge records the outcome of a run.
func (s *service) judge(m *Machine, w *work, r RunResult) {
	h := &s.health
	m.endProbe(w)
	took := m.now.Sub(w.started)
	if (r == RunBroken || r == RunTruncated) && !w.stopped && w.expired(m.now) {
		// The gate ends a run at its deadline by itself, possibly before the tick.
		w.late = true
	}
	expected := s.expected()
	switch {
	case r == RunAnswered:
		s.observe(took)
		s.limit = min(s.limit+limitStep, float64(m.cfg.Slots))
		if s.slow(took) || (w.late && took > lateFactor*expected) {
			h.failed(m, s)
			return
		}
		h.succeeded(s)
	case w.stopped && !w.late:
		// Cancelled by the caller: says nothing about the upstream.
	case w.late && expected > 0 && took <= lateFactor*expected:
		// Admission left too little time; the upstream took no longer than usual.
		s.observe(took)
	default:
		if r == RunShed {
			s.limit = max(1, s.limit/2)
		}
		if w.late {
			// The run took at least this long; later estimates must know it.
			s.observe(took)
		}
		h.failed(m, s)
	}
}

func (h *health) record(failed bool) {
	h.window[h.next] = failed
	h.next = (h.next + 1) % windowSize
	h.seen = min(h.seen+1, windowSize)
}

// slow compares a run with the other hosts of the service.
func (s *service) slow(took time.Duration) bool {
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

func (h *health) succeeded(s *service) {
	h.record(false)
	h.inRow = 0
	if !h.since.IsZero() {
		*h = health{backoff: h.backoff}
		s.limit = 1
	}
}

func (h *health) failed(m *Machine, s *service) {
	h.record(true)
	h.inRow++
	if !h.since.IsZero() {
		// A failed probe.
		h.eject(m, h.since)
		return
	}
	failures := 0
	for i := 0; i < h.seen; i++ {
		if h.window[i] {
			failures++
		}
	}
	if h.inRow >= m.cfg.EjectAfter || (h.seen >= windowMin && 2*failures >= h.seen) {
		h.eject(m, m.now)
	}
}

func (h *health) eject(m *Machine, since time.Time) {
	m.counts.Ejections++
	h.backoff = min(max(2*h.backoff, m.cfg.EjectFor), m.cfg.EjectForMax)
	h.since = since
	h.until = m.now.Add(h.backoff)
}

// maxEjected is the cap over the hosts of a service.
func maxEjected(hosts int) int { return hosts / 2 }

// Ejected tells whether the local upstream of a service is ejected, and since when. When more hosts than the cap are
// failing, those that failed first (then by name) are ejected and the others go on, so all agents that know each
// other's state agree.
func (m *Machine) Ejected(id model.ServiceID) (time.Time, bool) {
	s := m.service(id)
	since := s.health.since
	if since.IsZero() {
		return since, false
	}
	before := 0
	for _, p := range s.peers {
		if !p.Ejected {
			continue
		}
		if p.Since.Before(since) || (p.Since.Equal(since) && p.Host < m.cfg.Self.Host) {
			before++
		}
	}
	return since, before < maxEjected(len(s.peers)+1)
}

// takesWork tells whether a work may run here, and marks it as a probe if the upstream is ejected and due for one.
func (m *Machine) takesWork(id model.ServiceID, w *work) bool {
	if m.draining(id) {
		return false
	}
	if _, ejected := m.Ejected(id); !ejected {
		return true
	}
	h := &m.service(id).health
	due := h.until
	if w.keyed() {
		// A failed probe of a keyed request costs its caller an unknown outcome, so others are preferred.
		due = due.Add(h.backoff)
	}
	if h.probing || m.now.Before(due) {
		return false
	}
	h.probing = true
	w.probe = true
	return true
}

// endProbe lets another work probe an ejected upstream.
func (m *Machine) endProbe(w *work) {
	if !w.probe {
		return
	}
	w.probe = false
	m.service(w.Service).health.probing = false
}

// TakesWork tells other agents whether this one runs work of a service.
func (m *Machine) TakesWork(id model.ServiceID) bool {
	_, ejected := m.Ejected(id)
	return !m.draining(id) && !ejected
}

// Mean returns the measured service time of a service, 0 before the first answer.
func (m *Machine) Mean(id model.ServiceID) time.Duration { return m.service(id).mean }

// Queued returns the length of a service's queue.
func (m *Machine) Queued(id model.ServiceID) int { return len(m.service(id).queue) }
