package request

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// service is the admission state of one service on this agent.
type service struct {
	id      model.ServiceID
	queue   []*work
	running int
	deficit time.Duration // round robin credit, in estimated work
	peers   []Peer

	mean      time.Duration // exponentially weighted service time; 0 before the first answer
	deviation time.Duration
	limit     float64 // runs at once that the upstream takes; between 1 and the slots
	health    health

	queueLimit int
	draining   bool // the host leaves this service
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

// outlierFactor limits how far one run moves the estimate: a single stall must not cause refusals of work that can
// finish, while a lasting slowdown still raises the estimate by half with every run.
const outlierFactor = 4

// observe adds a measured service time.
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

// expected is the time within which most runs of the service end, 0 before the first answer.
func (s *service) expected() time.Duration { return s.mean + 2*s.deviation }

// workLimit returns how many runs of a service may be in progress.
func (m *Machine) workLimit(s *service) int {
	if m.local.Cold {
		return 1
	}
	return min(int(s.limit), m.cfg.Slots)
}

// admit queues a work or refuses it.
func (m *Machine) admit(w *work) {
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
	case m.tooLate(w, m.expectedWait(s)):
		m.refuseOrMove(w, s, result.RequestDeadlineTooShort)
	default:
		m.setState(w, stateQueued)
		s.queue = append(s.queue, w)
	}
}

// refuseOrMove offers a work that this host cannot take to one with a much shorter queue, within the retry budget. When
// all hosts are overloaded no queue is much shorter, so nothing moves.
func (m *Machine) refuseOrMove(w *work, s *service, code result.Code) {
	p := m.pickPeer(w)
	if p == nil || 2*p.Queued >= len(s.queue) || !m.spend() {
		m.refuse(w, code)
		return
	}
	if w.bound {
		m.releaseAndHandOver(w)
		return
	}
	m.handOver(w)
}

// admitDraining hands a work over that was bound before the drain began.
func (m *Machine) admitDraining(w *work) {
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

// expectedWait estimates the time until a new work of the service would be dispatched. Round robin gives each service
// with a queue an equal share, so other queues delay it by at most its own queue's work each.
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
	if total == 0 && free > 0 && s.running < m.workLimit(s) {
		return 0
	}
	// A running request is on average half done.
	return (total + s.mean/2) / time.Duration(max(1, m.workLimit(s)))
}

// tooLate tells whether a work that starts after wait would probably miss its deadline.
func (m *Machine) tooLate(w *work, wait time.Duration) bool {
	if w.Deadline.IsZero() || m.cfg.NoEarlyRefuse {
		return false
	}
	s := m.service(w.Service)
	if s.mean == 0 {
		return false
	}
	return m.now.Add(wait + s.expected()).After(w.Deadline)
}

func (m *Machine) unqueue(w *work) {
	s := m.service(w.Service)
	for i, q := range s.queue {
		if q == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// schedule fills free slots by deficit round robin over the services, weighted by estimated work.
func (m *Machine) schedule() {
	for m.running < m.cfg.Slots {
		w := m.nextWork()
		if w == nil {
			return
		}
		if w.expired(m.now) {
			m.refuse(w, result.RequestDeadlinePassed)
			continue
		}
		if m.tooLate(w, 0) {
			m.refuse(w, result.RequestDeadlineTooShort)
			continue
		}
		m.dispatch(w)
	}
}

// quantum is the credit per round: the largest cost, so that each round serves at least one work of each service.
func (m *Machine) quantum() time.Duration {
	q := time.Millisecond
	for _, s := range m.ring {
		q = max(q, s.mean)
	}
	return q
}

// nextWork removes and returns the next work, or nil if none may run.
func (m *Machine) nextWork() *work {
	eligible := func(s *service) bool { return len(s.queue) > 0 && s.running < m.workLimit(s) }
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

// budget limits re-sends to a share of the requests.
type budget struct {
	tokens, ratio, burst float64
}

func newBudget(c Config) budget {
	return budget{tokens: c.RetryBurst, ratio: c.RetryRatio, burst: c.RetryBurst}
}

func (b *budget) earn() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// spend takes a re-send from the budget.
func (m *Machine) spend() bool {
	if m.budget.tokens < 1 {
		return false
	}
	m.budget.tokens--
	m.counts.Resent++
	return true
}
