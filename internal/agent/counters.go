package agent

import (
	"sync"
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Counters are totals since the agent started.
type Counters struct {
	Received      uint64 // packets received from entry VMs and agents
	Delivered     uint64 // packets passed to the local TCP stack
	Forwarded     uint64 // packets sent to another agent
	ResetsSent    uint64 // resets sent in answer to packets without a connection
	AgentMessages uint64 // messages received from other agents
	Overflow      uint64 // packets dropped because the queue of the packet goroutine was full
	SentToCallers uint64 // packets sent to the fabric

	Dropped    map[result.Code]uint64 // packets by drop reason
	EndedFlows map[result.Code]uint64 // established flows by the result with which they ended
}

// counters is the concurrently updated form of Counters.
type counters struct {
	received, delivered, forwarded, resetsSent, agentMessages, overflow, sentToCallers atomic.Uint64

	mu         sync.Mutex
	dropped    map[result.Code]uint64
	endedFlows map[result.Code]uint64
}

// countDrop counts a dropped packet.
func (c *counters) countDrop(code result.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropped == nil {
		c.dropped = map[result.Code]uint64{}
	}
	c.dropped[code]++
}

// countEnd counts an ended flow.
func (c *counters) countEnd(code result.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endedFlows == nil {
		c.endedFlows = map[result.Code]uint64{}
	}
	c.endedFlows[code]++
}

// snapshot returns the current totals.
func (c *counters) snapshot() Counters {
	out := Counters{
		Received:      c.received.Load(),
		Delivered:     c.delivered.Load(),
		Forwarded:     c.forwarded.Load(),
		ResetsSent:    c.resetsSent.Load(),
		AgentMessages: c.agentMessages.Load(),
		Overflow:      c.overflow.Load(),
		SentToCallers: c.sentToCallers.Load(),
		Dropped:       map[result.Code]uint64{},
		EndedFlows:    map[result.Code]uint64{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for code, n := range c.dropped {
		out.Dropped[code] = n
	}
	for code, n := range c.endedFlows {
		out.EndedFlows[code] = n
	}
	return out
}
