package forwarder

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/openflows"
	"github.com/plantainseam/plantainseam/internal/passthrough"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// flowReport returns the flow report to a control VM, or nil while no upstream is known.
func (a *Agent) flowReport(to netip.AddrPort) *pb.FlowReport {
	a.mu.Lock()
	last, ok := a.tracker.Last()
	a.mu.Unlock()
	if !ok {
		return nil
	}
	return a.reporter.Next(openflows.Incarnation{ID: last.Incarnation(), Born: last.Born}, to)
}

func (a *Agent) flowChanges(whole bool) ([]passthrough.OpenFlow, []passthrough.Flow) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.FlowChanges(whole)
}

// flowAnswer processes the answer of a control VM to a flow report.
func (a *Agent) flowAnswer(from netip.AddrPort, response *pb.SyncResponse) {
	a.resetOrphans(a.reporter.HandleResponse(from, response))
}

// resetOrphans resets flows of an earlier incarnation of the upstream at their callers.
func (a *Agent) resetOrphans(orphans []passthrough.OpenFlow) {
	if len(orphans) == 0 {
		return
	}
	_ = a.cfg.Logger.Log("event", "orphans_reset", "flows", len(orphans))
	var out []byte
	for _, o := range orphans {
		a.mu.Lock()
		s, d := a.machine.ResetOrphan(o)
		a.mu.Unlock()
		out = a.execute(s, d, nil, out[:0])
	}
}
