package openflows

import (
	"net/netip"
	"time"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

const (
	// maxRecentReports is the number of reports of an agent that are kept for copying. Agents report and control VMs
	// exchange every 400 ms, so that one or two are new; a copy that lacks more receives all flows.
	maxRecentReports = 4
	// directPrecedence is how long after a report of an agent copies of its reports are ignored: the agent may have
	// changed its control VM while the earlier one still copies. It is more than four report intervals.
	directPrecedence = 2 * time.Second
	// refreshInterval is the interval after which an unchanged copy is sent again: it must not expire, and the other
	// control VM may have lost it.
	refreshInterval = flowTTL / 3
)

// replicaState is the state of another control VM's copy of an agent that reports to this one.
type replicaState struct {
	lastReport  uint64 // number of the last report in the copy
	confirmedAt time.Time
}

// OutgoingCopies returns the reports that another control VM lacks.
func (reg *Registry) OutgoingCopies(now time.Time, to netip.AddrPort) []*pb.FlowCopy {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []*pb.FlowCopy
	for agent, h := range reg.agents {
		replica := reg.replicas[to][agent]
		if h.isReplica || h.lastReport == 0 || now.Sub(h.reportedAt) >= directPrecedence {
			continue
		}
		if replica.lastReport != h.lastReport || now.Sub(replica.confirmedAt) >= refreshInterval {
			out = append(out, &pb.FlowCopy{Agent: agent, Reports: h.reportsAfter(replica.lastReport)})
		}
	}
	return out
}

// reportsAfter returns the recent reports after the one with the number, or a report of all flows if they are not kept.
// If there is no later report it returns an empty one.
func (h *agentFlows) reportsAfter(number uint64) []*pb.FlowReport {
	if number == h.lastReport {
		return []*pb.FlowReport{{Incarnation: h.incarnation.ID, Born: h.incarnation.Born, From: number, Number: number}}
	}
	for i, r := range h.recentReports {
		if r.GetFrom() == number && number != 0 {
			return h.recentReports[i:]
		}
	}
	return []*pb.FlowReport{{
		Incarnation: h.incarnation.ID, Born: h.incarnation.Born, Number: h.lastReport, Opened: allToWire(h.list()),
	}}
}

// ConfirmCopies records which reports another control VM holds, from its response to OutgoingCopies.
func (reg *Registry) ConfirmCopies(now time.Time, by netip.AddrPort, copies []*pb.FlowCopy) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	states := reg.replicas[by]
	if states == nil {
		states = map[uint32]replicaState{}
		reg.replicas[by] = states
	}
	for _, c := range copies {
		states[c.GetAgent()] = replicaState{c.GetNumber(), now}
	}
}

// forgetReplicas removes the states of other control VMs' copies of an agent. The caller holds mu.
func (reg *Registry) forgetReplicas(agent uint32) {
	for _, states := range reg.replicas {
		delete(states, agent)
	}
}

// HandleCopies applies the copies of another control VM and returns the number of the last report held for each agent.
func (reg *Registry) HandleCopies(now time.Time, copies []*pb.FlowCopy) []*pb.FlowCopy {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []*pb.FlowCopy
	for _, c := range copies {
		held := &pb.FlowCopy{Agent: c.GetAgent()}
		for _, r := range c.GetReports() {
			held.Number = reg.applyCopy(now, c.GetAgent(), r)
		}
		out = append(out, held)
	}
	return out
}

// applyCopy applies a copied report and returns the number of the last report that is held. The caller holds mu.
func (reg *Registry) applyCopy(now time.Time, agent uint32, r *pb.FlowReport) uint64 {
	if h := reg.agents[agent]; h != nil && !h.isReplica && h.lastReport != 0 && now.Sub(h.reportedAt) < directPrecedence {
		return r.GetNumber() // the agent reports to this control VM
	}
	h := reg.beginIncarnation(now, agent, Incarnation{r.GetIncarnation(), r.GetBorn()})
	if h == nil {
		return r.GetNumber() // report of an earlier incarnation
	}
	reg.applyReport(now, h, r)
	h.isReplica = true
	return h.lastReport
}
