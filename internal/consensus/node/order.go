package node

import (
	"context"
	"sync"
	"time"
)

// callOrder restores the order of the calls that one sender makes on several connections. It only avoids unnecessary
// retransmissions: consensus tolerates any order.
type callOrder struct {
	maxWait time.Duration // maximum wait of a call for earlier ones
	mu      sync.Mutex
	stream  uint64
	next    uint64        // sequence number that is expected next
	changed chan struct{} // closed when next changes
}

func newCallOrder(wait time.Duration) *callOrder {
	return &callOrder{maxWait: wait, changed: make(chan struct{})}
}

// waitForEarlier returns when all earlier calls of the stream are processed, or after maxWait.
func (o *callOrder) waitForEarlier(ctx context.Context, stream, sequence uint64) {
	timer := time.NewTimer(o.maxWait)
	defer timer.Stop()
	for {
		changed, wait := o.mustWait(stream, sequence)
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

// mustWait reports whether a call has to wait, and returns a channel that is closed when the expected call changes.
func (o *callOrder) mustWait(stream, sequence uint64) (changed <-chan struct{}, wait bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if stream != o.stream {
		o.stream = stream
		o.next = firstExpected(sequence)
	}
	return o.changed, sequence > o.next
}

// markProcessed records that a call was processed.
func (o *callOrder) markProcessed(stream, sequence uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if stream != o.stream || sequence < o.next {
		return
	}
	o.next = sequence + 1
	close(o.changed)
	o.changed = make(chan struct{})
}

// firstExpected returns the sequence number to expect first in a stream, given the first one that arrived. The first calls
// of a new sender may arrive in any order. A larger number means that the stream began before this process, which never
// receives its earlier calls.
func firstExpected(arrived uint64) uint64 {
	if arrived <= connectionsPerPeer {
		return 1
	}
	return arrived
}
