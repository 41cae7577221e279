package request

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// service is the admission state of one service on this agent.
type service struct {
	id      model.ServiceID
	queue   []*workItem
	running int
	deficit time.Duration // deficit round robin credit, in estimated service time
	peers   []Peer

	mean      time.Duration // exponentially weighted service time; 0 before the first answer
	deviation time.Duration
	limit     float64 // concurrency limit of the upstream, between 1 and Config.Slots
	health    health

	queueLimit int
	draining   bool // this host takes no new requests of the service
}

func (m *Machine) service(id model.ServiceID) *service {
	s := m.services[id]
	if s == nil {
		s = &service{id: id, limit: 1, queueLimit: m.cfg.QueueLimit}
		m.services[id] = s
		m.ring = append(m.ring, s)
	}
	return s
}

// SetQueueLimit sets how many requests of a service may wait.
func (m *Machine) SetQueueLimit(id model.ServiceID, limit int) {
	if limit > 0 {
		m.service(id).queueLimit = limit
	}
}

// outlierFactor caps a sample at this multiple of the mean: a single stall must not cause refusals of requests that can
// finish in time, while a lasting slowdown still raises the estimate by about half with every run.
const outlierFactor = 4

// observe adds a measured service time to the moving mean and deviation.
func (s *service) observe(d time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
		return
	}
	d = min(d, outlierFactor*s.mean+time.Millisecond)
	diff := d - s.mean
	s.mean += diff / 8
	if diff < 0 {
		diff = -diff
	}
	s.deviation += (diff - s.deviation) / 4
}

// expected returns the time within which most runs of the service end, or 0 before the first answer.
func (s *service) expected() time.Duration { return s.mean + 2*s.deviation }

// concurrencyLimit returns how many runs of a service may be in progress at once.
func (m *Machine) concurrencyLimit(s *service) int {
	if m.local.Cold {
		return 1
	}
	return min(int(s.limit), m.cfg.Slots)
}

// admit queues a work item or refuses it.
func (m *Machine) admit(w *workItem) {
	s := m.service(w.Service)
	if m.cfg.NoAdmission {
		m.dispatch(w)
		return
	}
	switch {
	case w.expired(m.now):
		m.refuse(w, result.RequestDeadlinePassed)
	case m.draining(w.Service):
		m.admitDraining(w)
	case len(s.queue) >= s.queueLimit:
		m.refuseOrMove(w, s, result.RequestQueueFull)
	case m.wouldMissDeadline(w, m.expectedWait(s)):
		m.refuseOrMove(w, s, result.RequestDeadlineTooShort)
	default:
		m.setState(w, stateQueued)
		s.queue = append(s.queue, w)
	}
}

// refuseOrMove offers a work item that this host cannot take to a host whose queue is less than half as long, within the
// retry budget. When all hosts are overloaded, no queue is that much shorter and nothing moves.
func (m *Machine) refuseOrMove(w *workItem, s *service, code result.Code) {
	p := m.pickPeer(w)
	if p == nil || 2*p.Queued >= len(s.queue) || !m.spendRetry() {
		m.refuse(w, code)
		return
	}
	if w.bound {
		m.releaseAndHandOver(w)
		return
	}
	m.handOver(w)
}

// admitDraining hands over a work item whose key was bound before the drain began, or refuses it.
func (m *Machine) admitDraining(w *workItem) {
	if !m.canHandOver(w) {
		m.refuse(w, result.RequestDraining)
		return
	}
	if w.bound {
		m.releaseAndHandOver(w)
		return
	}
	m.handOver(w)
}

// expectedWait estimates the time until a new work item of the service would be dispatched. Round robin gives each
// service with a queue an equal share, so every other queue delays it by at most as much work as its own queue holds.
func (m *Machine) expectedWait(s *service) time.Duration {
	own := time.Duration(len(s.queue)) * s.mean
	total := own
	for _, o := range m.ring {
		if o == s {
			continue
		}
		total += min(time.Duration(len(o.queue))*o.mean, own+o.mean)
	}
	free := m.cfg.Slots - m.running
	if total == 0 && free > 0 && s.running < m.concurrencyLimit(s) {
		return 0
	}
	// A running request is on average half done.
	return (total + s.mean/2) / time.Duration(max(1, m.concurrencyLimit(s)))
}

// wouldMissDeadline reports whether a work item that starts after wait would probably miss its deadline.
func (m *Machine) wouldMissDeadline(w *workItem, wait time.Duration) bool {
	if w.Deadline.IsZero() || m.cfg.NoEarlyRefusal {
		return false
	}
	s := m.service(w.Service)
	if s.mean == 0 {
		return false
	}
	return m.now.Add(wait + s.expected()).After(w.Deadline)
}

func (m *Machine) removeQueued(w *workItem) {
	s := m.service(w.Service)
	for i, q := range s.queue {
		if q == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// schedule fills free slots by deficit round robin over the services, weighted by estimated service time.
func (m *Machine) schedule() {
	for m.running < m.cfg.Slots {
		w := m.dequeue()
		if w == nil {
			return
		}
		if w.expired(m.now) {
			m.refuse(w, result.RequestDeadlinePassed)
			continue
		}
		if m.wouldMissDeadline(w, 0) {
			m.refuse(w, result.RequestDeadlineTooShort)
			continue
		}
		m.dispatch(w)
	}
}

// quantum returns the credit per round: the largest cost, so that each round serves at least one work item of each
// service.
func (m *Machine) quantum() time.Duration {
	q := time.Millisecond
	for _, s := range m.ring {
		q = max(q, s.mean)
	}
	return q
}

// dequeue removes and returns the next work item, or nil if none may run.
func (m *Machine) dequeue() *workItem {
	eligible := func(s *service) bool { return len(s.queue) > 0 && s.running < m.concurrencyLimit(s) }
	quantum := m.quantum()
	if len(m.ring) == 0 {
		return nil
	}
	for visits := 0; visits < 2*len(m.ring)+1; visits++ {
		s := m.ring[m.ringPos%len(m.ring)]
		cost := max(s.mean, time.Millisecond)
		if len(s.queue) == 0 {
			s.deficit = 0
		}
		if eligible(s) && s.deficit >= cost {
			s.deficit -= cost
			w := s.queue[0]
			s.queue = s.queue[1:]
			return w
		}
		m.ringPos++
		next := m.ring[m.ringPos%len(m.ring)]
		if eligible(next) {
			next.deficit = min(next.deficit+quantum, 2*quantum)
		}
	}
	return nil
}

// retryBudget is a token bucket that limits re-sends to a share of the requests.
type retryBudget struct {
	tokens, ratio, burst float64
}

func newRetryBudget(c Config) retryBudget {
	return retryBudget{tokens: c.RetryBurst, ratio: c.RetryRatio, burst: c.RetryBurst}
}

func (b *retryBudget) earn() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// spendRetry takes a token for one re-send. It returns false if the retry budget is spent.
func (m *Machine) spendRetry() bool {
	if m.retryBudget.tokens < 1 {
		return false
	}
	m.retryBudget.tokens--
	m.counts.Resent++
	return true
}
