// Package openflows stores on control VMs which flows the upstreams hold. A flow ends with its upstream process, and
// after a power loss no other process knows of the flow. Its caller would notice only with its next request, which is
// then lost unless it may be retried. Each agent therefore reports the open flows of its upstream, control VMs store
// them on disk, and an agent whose upstream has restarted receives the flows of the earlier incarnation and resets
// them.
//
// This state is only a hint: a search finds out that an unknown flow is lost, as without this package. Only the agent
// beside the upstream resets a flow, and only after the upstream has announced a later incarnation than the one that
// held the flow.
package openflows

import (
	"net/netip"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

const (
	// maxFlows bounds the flows that a control VM stores: about 5 MB of memory, and 1.3 MB for each write of the file.
	maxFlows = 50_000
	// flowTTL is how long a control VM keeps the flows of an agent that no longer reports to it, and orphans that no
	// agent requests. Callers give up idle flows after 15 s by default.
	flowTTL = 15 * time.Second
)

// Registry holds the open flows that a control VM knows. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	agents  map[uint32]*agentFlows
	orphans map[uint32]*orphanList
	flows   int    // total of agents
	version uint64 // number of changes of agents

	loaded       []*pb.OpenFlows                            // content of the file at the start of this control VM
	sentLoadedTo map[netip.AddrPort]struct{}                // control VMs that have received loaded
	replicas     map[netip.AddrPort]map[uint32]replicaState // by control VM and agent
}

// agentFlows holds the open flows of one incarnation of an agent's upstream.
type agentFlows struct {
	incarnation   Incarnation
	lastReport    uint64 // number of the last report; 0 if the flows are from before the start of this control VM
	reportedAt    time.Time
	flows         map[passthrough.Flow]uint32 // acknowledgement numbers
	isReplica     bool                        // the agent reports to another control VM
	recentReports []*pb.FlowReport            // the last reports, oldest first
}

// orphanList holds the flows of earlier incarnations of an agent's upstream, in the order in which they were added.
type orphanList struct {
	addedAt time.Time
	flows   []passthrough.OpenFlow
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		agents: map[uint32]*agentFlows{}, orphans: map[uint32]*orphanList{},
		sentLoadedTo: map[netip.AddrPort]struct{}{}, replicas: map[netip.AddrPort]map[uint32]replicaState{},
	}
}

// Report processes a report of an agent. It returns the number of the last report that is included, or 0 if the agent
// has to report all flows, and the orphans that the agent has not received yet.
func (reg *Registry) Report(now time.Time, agent uint32, r *pb.FlowReport) (number uint64, orphans []*pb.OpenFlow) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	h := reg.beginIncarnation(now, agent, Incarnation{r.GetIncarnation(), r.GetBorn()})
	if h == nil {
		return 0, nil
	}
	reg.applyReport(now, h, r)
	h.isReplica = false
	return h.lastReport, reg.orphansAfter(agent, r.GetOrphans())
}

// applyReport applies a report. After a gap it clears the report number, so that the agent reports all flows. The
// caller holds mu.
func (reg *Registry) applyReport(now time.Time, h *agentFlows, r *pb.FlowReport) {
	h.reportedAt = now
	switch {
	case r.GetFrom() == 0:
		reg.flows -= len(h.flows)
		h.flows = make(map[passthrough.Flow]uint32, len(r.GetOpened()))
		reg.addFlows(h, allFromWire(r.GetOpened()))
		h.lastReport, h.recentReports = r.GetNumber(), nil
	case r.GetNumber() == h.lastReport: // nothing new
	case r.GetFrom() == h.lastReport:
		reg.addFlows(h, allFromWire(r.GetOpened()))
		reg.removeFlows(h, allFromWire(r.GetEnded()))
		h.lastReport = r.GetNumber()
		h.recentReports = append(h.recentReports[max(0, len(h.recentReports)-maxRecentReports+1):], r)
	default:
		h.lastReport, h.recentReports = 0, nil
	}
}

// beginIncarnation returns the flows of an incarnation of an agent's upstream, and turns the flows of an earlier
// incarnation into orphans. It returns nil if a later incarnation is known. The caller holds mu.
func (reg *Registry) beginIncarnation(now time.Time, agent uint32, incarnation Incarnation) *agentFlows {
	h := reg.agents[agent]
	if h != nil && h.incarnation != incarnation {
		if incarnation.Born <= h.incarnation.Born {
			return nil
		}
		reg.flows -= len(h.flows)
		reg.addOrphans(now, agent, h.list())
		h = nil
	}
	if h == nil {
		h = &agentFlows{incarnation: incarnation, flows: map[passthrough.Flow]uint32{}}
		reg.agents[agent] = h
		reg.version++
	}
	return h
}

func (reg *Registry) addFlows(h *agentFlows, flows []passthrough.OpenFlow) {
	for _, o := range flows {
		if _, known := h.flows[o.Flow]; !known {
			if reg.flows >= maxFlows {
				return
			}
			reg.flows++
		}
		h.flows[o.Flow] = o.Acknowledged
		reg.version++
	}
}

func (reg *Registry) removeFlows(h *agentFlows, flows []passthrough.OpenFlow) {
	for _, o := range flows {
		if _, known := h.flows[o.Flow]; known {
			delete(h.flows, o.Flow)
			reg.flows--
			reg.version++
		}
	}
}

func (reg *Registry) addOrphans(now time.Time, agent uint32, flows []passthrough.OpenFlow) {
	o := reg.orphans[agent]
	if o == nil {
		o = &orphanList{}
		reg.orphans[agent] = o
	}
	o.addedAt = now
	o.flows = append(o.flows, flows...)
}

func (reg *Registry) orphansAfter(agent, n uint32) []*pb.OpenFlow {
	o := reg.orphans[agent]
	if o == nil || int(n) >= len(o.flows) {
		return nil
	}
	return allToWire(o.flows[n:])
}

// MergeLoaded merges the flows that a control VM loaded at its start.
func (reg *Registry) MergeLoaded(now time.Time, lists []*pb.OpenFlows) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, l := range lists {
		incarnation := Incarnation{l.GetIncarnation(), l.GetBorn()}
		h := reg.beginIncarnation(now, l.GetAgent(), incarnation)
		switch {
		case h == nil:
			if incarnation.Born < reg.agents[l.GetAgent()].incarnation.Born {
				reg.addOrphans(now, l.GetAgent(), allFromWire(l.GetFlows()))
			}
		case h.lastReport == 0: // no report since the start of this control VM
			h.reportedAt = now
			reg.addFlows(h, allFromWire(l.GetFlows()))
		}
	}
}

// Expire removes flows without recent reports and orphans that were not requested.
func (reg *Registry) Expire(now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for agent, h := range reg.agents {
		if now.Sub(h.reportedAt) > flowTTL {
			reg.flows -= len(h.flows)
			reg.version++
			delete(reg.agents, agent)
			reg.forgetReplicas(agent)
		}
	}
	for agent, o := range reg.orphans {
		if now.Sub(o.addedAt) > flowTTL {
			delete(reg.orphans, agent)
		}
	}
}

// Loaded returns the flows that this control VM loaded at its start, if the control VM at the address has not confirmed
// them yet.
func (reg *Registry) Loaded(to netip.AddrPort) []*pb.OpenFlows {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if _, done := reg.sentLoadedTo[to]; done {
		return nil
	}
	return reg.loaded
}

// ConfirmLoaded records that another control VM has received the result of Loaded.
func (reg *Registry) ConfirmLoaded(by netip.AddrPort) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.sentLoadedTo[by] = struct{}{}
}

// lists returns the flows of all agents and the version of the registry.
func (reg *Registry) lists() ([]*pb.OpenFlows, uint64) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	out := make([]*pb.OpenFlows, 0, len(reg.agents))
	for agent, h := range reg.agents {
		out = append(out, &pb.OpenFlows{
			Agent: agent, Incarnation: h.incarnation.ID, Born: h.incarnation.Born, Flows: allToWire(h.list()),
		})
	}
	return out, reg.version
}

func (h *agentFlows) list() []passthrough.OpenFlow {
	out := make([]passthrough.OpenFlow, 0, len(h.flows))
	for f, acknowledged := range h.flows {
		out = append(out, passthrough.OpenFlow{Flow: f, Acknowledged: acknowledged})
	}
	return out
}
