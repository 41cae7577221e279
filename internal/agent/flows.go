package agent

import (
	"context"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// openFlow is an established flow. Its end is reported when both the handler and the delivery are done with it, since
// only the handler knows whether the relayed stream was complete.
type openFlow struct {
	key    model.FlowKey
	served bool
	closed bool
	code   result.Code // first reason that is not OK
}

// flowSet holds the established flows.
type flowSet struct {
	mu      sync.Mutex
	flows   map[model.FlowKey]*openFlow
	closed  bool
	changed chan struct{} // replaced and closed at every removal
}

func newFlowSet() *flowSet {
	return &flowSet{flows: map[model.FlowKey]*openFlow{}, changed: make(chan struct{})}
}

// add enters a flow and its handler into served. It returns nil once the set is closed.
func (s *flowSet) add(key model.FlowKey, served *sync.WaitGroup) *openFlow {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	f := &openFlow{key: key}
	s.flows[key] = f
	served.Add(1)
	return f
}

// handlerEnded notes how the handler of a flow ended. It returns true if the end has to be reported now.
func (s *flowSet) handlerEnded(f *openFlow, code result.Code) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.served = true
	f.note(code)
	return f.closed
}

// connectionEnded takes a flow out of the set. It returns the flow if its end has to be reported now.
func (s *flowSet) connectionEnded(key model.FlowKey, code result.Code) *openFlow {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	delete(s.flows, key)
	close(s.changed)
	s.changed = make(chan struct{})
	if f == nil {
		return nil
	}
	f.closed = true
	f.note(code)
	if !f.served {
		return nil
	}
	return f
}

// note keeps the first reason. The relay also takes a flow that the delivery ends for one that the caller reset, so the
// delivery's reason replaces that one.
func (f *openFlow) note(code result.Code) {
	if f.code == result.OK || f.code == result.FlowCallerReset && code != result.OK {
		f.code = code
	}
}

// keys returns the flows in the set.
func (s *flowSet) keys() []model.FlowKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]model.FlowKey, 0, len(s.flows))
	for key := range s.flows {
		keys = append(keys, key)
	}
	return keys
}

// close refuses further flows.
func (s *flowSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// wait returns a channel that is closed at the next removal.
func (s *flowSet) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Drain stops new flows at once and waits until every flow has ended or ctx is done. It returns the flows that remain,
// and interrupts none of them. Draining cannot be undone.
func (a *Agent) Drain(ctx context.Context) []model.FlowKey {
	a.command(func(l *packetLoop, _ time.Time) { l.drain() })
	for {
		changed := a.flows.wait()
		if a.delivery.Flows() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return a.flows.keys()
		case <-changed:
		}
	}
}

// event tells the packet goroutine about a connection.
type event struct {
	key         model.FlowKey
	established bool // otherwise closed
}

// eventQueue takes events from the delivery, which may call from the packet goroutine itself, so that a bounded channel
// could block for ever. Its length is bounded by twice the number of flows.
type eventQueue struct {
	mu    sync.Mutex
	queue []event
	ready chan struct{}
}

func (q *eventQueue) init() { q.ready = make(chan struct{}, 1) }

// put appends an event.
func (q *eventQueue) put(e event) {
	q.mu.Lock()
	q.queue = append(q.queue, e)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take returns all events and keeps buf for the next ones.
func (q *eventQueue) take(buf []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.queue
	q.queue = buf[:0]
	return all
}
