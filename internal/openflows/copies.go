package openflows

import (
	"net/netip"
	"time"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

const (
	// recentReports is how many reports of an agent are kept to be copied. Agents report and control VMs exchange every 400 ms,
	// so that one or two are new; a copy that is further behind gets all flows.
	recentReports = 4
	// ownPrecedence is how long after a report of an agent itself copies of its reports are not taken: the agent may have
	// changed its control VM, and the older one still copies. It is more than four report intervals.
	ownPrecedence = 2 * time.Second
	// refreshAfter is when a copy that has not changed is confirmed: it must not expire, and its control VM may have lost it.
	refreshAfter = expiry / 3
)

// copied is what another control VM holds of an agent that reports here.
type copied struct {
	number uint64 // of the last report
	at     time.Time
}

// Outgoing returns the reports that another control VM lacks.
func (b *Book) Outgoing(now time.Time, to netip.AddrPort) []*pb.FlowCopy {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*pb.FlowCopy
	for agent, h := range b.agents {
		has := b.copies[to][agent]
		if h.copy || h.number == 0 || now.Sub(h.heard) >= ownPrecedence {
			continue
		}
		if has.number != h.number || now.Sub(has.at) >= refreshAfter {
			out = append(out, &pb.FlowCopy{Agent: agent, Reports: h.after(has.number)})
		}
	}
	return out
}

// after returns the reports that follow a number, or one with all flows; after the last one, an empty report.
func (h *held) after(number uint64) []*pb.FlowReport {
	if number == h.number {
		return []*pb.FlowReport{{Incarnation: h.start.Incarnation, Born: h.start.Born, From: number, Number: number}}
	}
	for i, r := range h.recent {
		if r.GetFrom() == number && number != 0 {
			return h.recent[i:]
		}
	}
	return []*pb.FlowReport{{
		Incarnation: h.start.Incarnation, Born: h.start.Born, Number: h.number, Opened: allToWire(h.list()),
	}}
}

// Copied records what another control VM holds, by its answer to Outgoing.
func (b *Book) Copied(now time.Time, by netip.AddrPort, copies []*pb.FlowCopy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	has := b.copies[by]
	if has == nil {
		has = map[uint32]copied{}
		b.copies[by] = has
	}
	for _, c := range copies {
		has[c.GetAgent()] = copied{c.GetNumber(), now}
	}
}

// uncopy forgets what other control VMs hold of an agent. The caller holds mu.
func (b *Book) uncopy(agent uint32) {
	for _, has := range b.copies {
		delete(has, agent)
	}
}

// Incoming takes over the copies of another control VM and returns what is held afterwards.
func (b *Book) Incoming(now time.Time, copies []*pb.FlowCopy) []*pb.FlowCopy {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*pb.FlowCopy
	for _, c := range copies {
		held := &pb.FlowCopy{Agent: c.GetAgent()}
		for _, r := range c.GetReports() {
			held.Number = b.take(now, c.GetAgent(), r)
		}
		out = append(out, held)
	}
	return out
}

// take processes a copied report and returns the number of the last one that is held. The caller holds mu.
func (b *Book) take(now time.Time, agent uint32, r *pb.FlowReport) uint64 {
	if h := b.agents[agent]; h != nil && !h.copy && h.number != 0 && now.Sub(h.heard) < ownPrecedence {
		return r.GetNumber() // the agent reports here
	}
	h := b.begin(now, agent, Start{r.GetIncarnation(), r.GetBorn()})
	if h == nil {
		return r.GetNumber() // of an earlier start
	}
	b.apply(now, h, r)
	h.copy = true
	return h.number
}
