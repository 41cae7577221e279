package node

import "sync"

// queue passes items from the event loop of a log to a worker without blocking the loop. The limits in consensus.Config
// bound its length.
type queue[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{} // holds a value when items may be non-empty
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1)}
}

func (q *queue[T]) push(item T) {
	q.mu.Lock()
	q.items = append(q.items, item)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll waits for items and returns all of them, or returns nil when done is closed.
func (q *queue[T]) takeAll(done <-chan struct{}) []T {
	for {
		q.mu.Lock()
		items := q.items
		q.items = nil
		q.mu.Unlock()
		if len(items) > 0 {
			return items
		}
		select {
		case <-q.ready:
		case <-done:
			return nil
		}
	}
}
