// Package openflows remembers on control VMs which flows the upstreams hold. A flow ends with the process at its end, and
// after a loss of power nobody else knows it. Its caller would find out with its next request, which is then lost unless it
// may be repeated. So each agent reports the open flows of its upstream, control VMs keep them on disk, and an agent whose
// upstream has started anew gets those of the earlier start and resets them.
//
// All of it is a hint: a flow that is not remembered is found lost by a search, as without this package. A flow is reset only
// by the agent beside its upstream, and only after that has announced a later start than the one that held the flow.
package openflows

import (
	"net/netip"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

const (
	// maxFlows bounds the flows that a control VM remembers: about 5 MB of memory, and 1.3 MB for each write of the file.
	maxFlows = 50_000
	// expiry is how long the flows of an agent are kept that does not report to this control VM any more, and orphans that
	// nobody has asked for. Callers give up idle flows after 15 s by default.
	expiry = 15 * time.Second
)

// Book holds the open flows that a control VM knows. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	agents  map[uint32]*held
	orphans map[uint32]*orphaned
	flows   int    // in agents
	version uint64 // counts changes of agents

	loaded []*pb.OpenFlows                      // what this control VM knew before it started
	given  map[netip.AddrPort]struct{}          // control VMs that have loaded
	copies map[netip.AddrPort]map[uint32]copied // by control VM and agent
}

// held is the flows of one start of an upstream.
type held struct {
	start  Start
	number uint64 // of the last report; 0 if the flows are from before the start of this control VM
	heard  time.Time
	flows  map[passthrough.Flow]uint32 // acknowledgement numbers
	copy   bool                        // the agent reports to another control VM
	recent []*pb.FlowReport            // the last reports
}

// orphaned is the flows of earlier starts of an upstream, in the order in which they were found.
type orphaned struct {
	since time.Time
	flows []passthrough.OpenFlow
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		agents: map[uint32]*held{}, orphans: map[uint32]*orphaned{},
		given: map[netip.AddrPort]struct{}{}, copies: map[netip.AddrPort]map[uint32]copied{},
	}
}

// Report processes a report of an agent. It returns the number of the last report that is included, 0 if the agent has to
// report all flows, and the orphans that the agent does not have yet.
func (b *Book) Report(now time.Time, agent uint32, r *pb.FlowReport) (number uint64, orphans []*pb.OpenFlow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.begin(now, agent, Start{r.GetIncarnation(), r.GetBorn()})
	if h == nil {
		return 0, nil
	}
	b.apply(now, h, r)
	h.copy = false
	return h.number, b.orphansAfter(agent, r.GetOrphans())
}

// apply takes over a report. After a gap all flows have to be reported. The caller holds mu.
func (b *Book) apply(now time.Time, h *held, r *pb.FlowReport) {
	h.heard = now
	switch {
	case r.GetFrom() == 0:
		b.flows -= len(h.flows)
		h.flows = make(map[passthrough.Flow]uint32, len(r.GetOpened()))
		b.add(h, allFromWire(r.GetOpened()))
		h.number, h.recent = r.GetNumber(), nil
	case r.GetNumber() == h.number: // nothing new
	case r.GetFrom() == h.number:
		b.add(h, allFromWire(r.GetOpened()))
		b.remove(h, allFromWire(r.GetEnded()))
		h.number = r.GetNumber()
		h.recent = append(h.recent[max(0, len(h.recent)-recentReports+1):], r)
	default:
		h.number, h.recent = 0, nil
	}
}

// begin returns the flows of a start of an agent's upstream; those of an earlier start become orphans. It returns nil if a
// later start is known. The caller holds mu.
func (b *Book) begin(now time.Time, agent uint32, start Start) *held {
	h := b.agents[agent]
	if h != nil && h.start != start {
		if start.Born <= h.start.Born {
			return nil
		}
		b.flows -= len(h.flows)
		b.orphan(now, agent, h.list())
		h = nil
	}
	if h == nil {
		h = &held{start: start, flows: map[passthrough.Flow]uint32{}}
		b.agents[agent] = h
		b.version++
	}
	return h
}

func (b *Book) add(h *held, flows []passthrough.OpenFlow) {
	for _, o := range flows {
		if _, known := h.flows[o.Flow]; !known {
			if b.flows >= maxFlows {
				return
			}
			b.flows++
		}
		h.flows[o.Flow] = o.Acknowledged
		b.version++
	}
}

func (b *Book) remove(h *held, flows []passthrough.OpenFlow) {
	for _, o := range flows {
		if _, known := h.flows[o.Flow]; known {
			delete(h.flows, o.Flow)
			b.flows--
			b.version++
		}
	}
}

func (b *Book) orphan(now time.Time, agent uint32, flows []passthrough.OpenFlow) {
	o := b.orphans[agent]
	if o == nil {
		o = &orphaned{}
		b.orphans[agent] = o
	}
	o.since = now
	o.flows = append(o.flows, flows...)
}

func (b *Book) orphansAfter(agent, n uint32) []*pb.OpenFlow {
	o := b.orphans[agent]
	if o == nil || int(n) >= len(o.flows) {
		return nil
	}
	return allToWire(o.flows[n:])
}

// Adopt takes over what another control VM knew before it started.
func (b *Book) Adopt(now time.Time, lists []*pb.OpenFlows) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range lists {
		start := Start{l.GetIncarnation(), l.GetBorn()}
		h := b.begin(now, l.GetAgent(), start)
		switch {
		case h == nil:
			if start.Born < b.agents[l.GetAgent()].start.Born {
				b.orphan(now, l.GetAgent(), allFromWire(l.GetFlows()))
			}
		case h.number == 0: // not reported since the start of this control VM
			h.heard = now
			b.add(h, allFromWire(l.GetFlows()))
		}
	}
}

// Expire forgets what nobody has reported or asked for.
func (b *Book) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for agent, h := range b.agents {
		if now.Sub(h.heard) > expiry {
			b.flows -= len(h.flows)
			b.version++
			delete(b.agents, agent)
			b.uncopy(agent)
		}
	}
	for agent, o := range b.orphans {
		if now.Sub(o.since) > expiry {
			delete(b.orphans, agent)
		}
	}
}

// Given returns what this control VM knew before it started, if the other control VM at the address does not have it yet.
func (b *Book) Given(to netip.AddrPort) []*pb.OpenFlows {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, done := b.given[to]; done {
		return nil
	}
	return b.loaded
}

// Taken records that another control VM has what Given returned.
func (b *Book) Taken(by netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.given[by] = struct{}{}
}

// lists returns the flows of all agents, and the version of the book.
func (b *Book) lists() ([]*pb.OpenFlows, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]*pb.OpenFlows, 0, len(b.agents))
	for agent, h := range b.agents {
		out = append(out, &pb.OpenFlows{
			Agent: agent, Incarnation: h.start.Incarnation, Born: h.start.Born, Flows: allToWire(h.list()),
		})
	}
	return out, b.version
}

func (h *held) list() []passthrough.OpenFlow {
	out := make([]passthrough.OpenFlow, 0, len(h.flows))
	for f, acknowledged := range h.flows {
		out = append(out, passthrough.OpenFlow{Flow: f, Acknowledged: acknowledged})
	}
	return out
}
