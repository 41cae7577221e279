package agent

import (
	"sync"
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Counters are totals since the start.
type Counters struct {
	Received  uint64 // outer packets
	Delivered uint64 // packets handed to the delivery
	Forwarded uint64 // packets sent to another agent
	Resets    uint64 // resets sent towards callers without a connection
	Messages  uint64 // agents' messages received
	Overflow  uint64 // packets dropped because the packet goroutine was behind
	ToCallers uint64 // packets sent to the fabric

	Dropped map[result.Code]uint64 // packets by reason
	Ended   map[result.Code]uint64 // established flows by how they ended
}

// counters are written by the agent's goroutines.
type counters struct {
	received, delivered, forwarded, resets, messages, overflow, toCallers atomic.Uint64

	mu      sync.Mutex
	dropped map[result.Code]uint64
	ends    map[result.Code]uint64
}

// drop counts a dropped packet.
func (c *counters) drop(code result.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropped == nil {
		c.dropped = map[result.Code]uint64{}
	}
	c.dropped[code]++
}

// ended counts an ended flow.
func (c *counters) ended(code result.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ends == nil {
		c.ends = map[result.Code]uint64{}
	}
	c.ends[code]++
}

// read returns a copy.
func (c *counters) read() Counters {
	out := Counters{
		Received:  c.received.Load(),
		Delivered: c.delivered.Load(),
		Forwarded: c.forwarded.Load(),
		Resets:    c.resets.Load(),
		Messages:  c.messages.Load(),
		Overflow:  c.overflow.Load(),
		ToCallers: c.toCallers.Load(),
		Dropped:   map[result.Code]uint64{},
		Ended:     map[result.Code]uint64{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for code, n := range c.dropped {
		out.Dropped[code] = n
	}
	for code, n := range c.ends {
		out.Ended[code] = n
	}
	return out
}
