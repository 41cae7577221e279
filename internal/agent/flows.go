package agent

import (
	"context"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// openFlow is an established flow. Its end is reported when both the handler and the TCP connection have ended, since
// only the handler knows whether the relayed stream was complete.
type openFlow struct {
	key              model.FlowKey
	handlerDone      bool
	connectionClosed bool
	endCode          result.Code // set by recordEndCode
}

// flowSet holds the established flows.
type flowSet struct {
	mu      sync.Mutex
	flows   map[model.FlowKey]*openFlow
	closed  bool
	removal chan struct{} // closed and replaced whenever a flow is removed
}

func newFlowSet() *flowSet {
	return &flowSet{flows: map[model.FlowKey]*openFlow{}, removal: make(chan struct{})}
}

// add adds a flow to the set and its handler to handlers. It returns nil once the set is closed.
func (s *flowSet) add(key model.FlowKey, handlers *sync.WaitGroup) *openFlow {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	f := &openFlow{key: key}
	s.flows[key] = f
	handlers.Add(1)
	return f
}

// handlerEnded records the result of a flow's handler. It returns true if the connection has ended too, so that the
// caller must report the end of the flow.
func (s *flowSet) handlerEnded(f *openFlow, code result.Code) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.handlerDone = true
	f.recordEndCode(code)
	return f.connectionClosed
}

// remove removes a flow whose connection has ended. It returns the flow if its handler has ended too, so that the
// caller must report the end of the flow.
func (s *flowSet) remove(key model.FlowKey, code result.Code) *openFlow {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	delete(s.flows, key)
	close(s.removal)
	s.removal = make(chan struct{})
	if f == nil {
		return nil
	}
	f.connectionClosed = true
	f.recordEndCode(code)
	if !f.handlerDone {
		return nil
	}
	return f
}

// recordEndCode keeps the first code that is not OK. FlowCallerReset is replaced by a later code: the relay also
// returns it for a connection that the local TCP stack ended, and the stack then reports the actual reason.
func (f *openFlow) recordEndCode(code result.Code) {
	if f.endCode == result.OK || f.endCode == result.FlowCallerReset && code != result.OK {
		f.endCode = code
	}
}

// keys returns the keys of the flows in the set.
func (s *flowSet) keys() []model.FlowKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]model.FlowKey, 0, len(s.flows))
	for key := range s.flows {
		keys = append(keys, key)
	}
	return keys
}

// close makes add refuse further flows.
func (s *flowSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// nextRemoval returns a channel that is closed when the next flow is removed.
func (s *flowSet) nextRemoval() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removal
}

// Drain refuses new flows immediately and waits until all flows have ended or ctx is done. It returns the remaining
// flows without interrupting them. Draining cannot be undone.
func (a *Agent) Drain(ctx context.Context) []model.FlowKey {
	a.command(func(l *packetLoop, _ time.Time) { l.drain() })
	for {
		removal := a.openFlows.nextRemoval()
		if a.delivery.Flows() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return a.openFlows.keys()
		case <-removal:
		}
	}
}

// event reports to the packet goroutine that a connection was established or has ended.
type event struct {
	key         model.FlowKey
	established bool // false: the connection has ended
}

// eventQueue queues events for the packet goroutine. It is not a bounded channel because the TCP stack may also report
// events on the packet goroutine itself, which would then deadlock on a full channel. The length of the queue is at
// most twice the number of flows.
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

// takeAll returns all queued events and reuses buf for the following ones.
func (q *eventQueue) takeAll(buf []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.queue
	q.queue = buf[:0]
	return all
}
