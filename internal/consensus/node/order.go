package node

import (
	"context"
	"sync"
	"time"
)

// orderWait is how long a call waits for an earlier one of its stream. It covers the reordering between connections;
// a call that was lost must not delay the others for longer.
const orderWait = 10 * time.Millisecond

// callOrder restores the order of calls that travelled on different connections. It only avoids needless
// retransmissions: consensus tolerates any order.
type callOrder struct {
	mu      sync.Mutex
	stream  uint64
	next    uint64        // sequence that need not wait
	changed chan struct{} // closed when next changes
}

func newCallOrder() *callOrder { return &callOrder{changed: make(chan struct{})} }

// await returns when all earlier calls of the stream have passed, or after orderWait.
func (o *callOrder) await(ctx context.Context, stream, sequence uint64) {
	timer := time.NewTimer(orderWait)
	defer timer.Stop()
	for {
		changed, wait := o.check(stream, sequence)
		if !wait {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (o *callOrder) check(stream, sequence uint64) (changed <-chan struct{}, wait bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if stream != o.stream {
		// A new process or sender: its first calls need not wait for any before them.
		o.stream = stream
		o.next = sequence
	}
	return o.changed, sequence > o.next
}

// passed notes that a call was processed.
func (o *callOrder) passed(stream, sequence uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if stream != o.stream || sequence < o.next {
		return
	}
	o.next = sequence + 1
	close(o.changed)
	o.changed = make(chan struct{})
}
