package node

import (
	"context"
	"sync"
	"time"
)

// callOrder restores the order of calls that travelled on different connections. It only avoids needless
// retransmissions: consensus tolerates any order.
type callOrder struct {
	wait    time.Duration // for an earlier call
	mu      sync.Mutex
	stream  uint64
	next    uint64        // sequence that need not wait
	changed chan struct{} // closed when next changes
}

func newCallOrder(wait time.Duration) *callOrder {
	return &callOrder{wait: wait, changed: make(chan struct{})}
}

// await returns when all earlier calls of the stream have passed, or after the longest wait.
func (o *callOrder) await(ctx context.Context, stream, sequence uint64) {
	timer := time.NewTimer(o.wait)
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
		o.stream = stream
		o.next = firstExpected(sequence)
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

// firstExpected returns the call to expect first in a stream of which a call has arrived. The first calls of a new
// sender may arrive in any order; of a stream that began before this process, the earlier calls are gone.
func firstExpected(arrived uint64) uint64 {
	if arrived <= callLanes {
		return 1
	}
	return arrived
}
