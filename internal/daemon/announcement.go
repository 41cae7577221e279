package daemon

import (
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// Bounds of one announcement.
const (
	maxCallerRows  = 100 // one row takes about 50 bytes
	maxOpenCallers = 256
)

// reporter cuts the account into announcements.
type reporter struct {
	counter      *account.Counter
	pending      uint64        // sequence of the report in the announcement in flight
	acknowledged atomic.Uint64 // newest report that the control VMs have
}

func (r *reporter) next() account.Report {
	report := r.counter.Report(r.acknowledged.Load(), maxCallerRows)
	r.pending = report.Sequence
	return report
}

// settled tells whether the control VMs have the whole account.
func (r *reporter) settled() bool { return r.counter.AllEndsAcknowledged(r.acknowledged.Load()) }

// Announcement implements announce.Source.
func (r *upstreamRole) Announcement() *memberpb.AnnounceRequest {
	p := r.process
	up := p.settings.Upstream
	req := &memberpb.AnnounceRequest{
		Host:           string(p.ref.Host),
		Incarnation:    uint64(p.ref.Incarnation),
		FailureDomain:  string(p.settings.FailureDomain),
		Tunnel:         p.settings.Tunnel.Listen.String(),
		Rpc:            p.settings.RPC.String(),
		Carries:        up.Carries,
		Slots:          uint32(up.Slots),
		MaxConnections: uint32(up.MaxConnections),
		Revision:       uint64(r.config.revision()),
		Leaving:        r.leaving.Load(),
		Cold:           r.health.cold(),
	}
	flows := r.agent.Flows()
	report := r.report.next()
	req.Totals, req.Callers = report.Encode()
	addWork(req, flows, report)
	req.OpenCallers = openCallers(flows, r.drains)
	reach := r.agent.Reachability()
	req.Reachable = hostNames(reach.Reachable)
	req.Unreachable = hostNames(reach.Unreachable)
	return req
}

// Acknowledged implements announce.Source.
func (r *upstreamRole) Acknowledged(uint64) { r.report.acknowledged.Store(r.report.pending) }

// addWork adds the open flows and requests of each service. Open work is counted from the same report as the totals: a
// drain that is found complete then has its last end in the account. A flow counts from its first sign to its last one.
func addWork(req *memberpb.AnnounceRequest, flows []model.FlowKey, report account.Report) {
	open := map[model.ServiceID]int64{}
	for _, key := range flows {
		open[key.Service]++
	}
	for id, n := range report.InFlight(account.UnitFlow) {
		open[id] = max(open[id], n)
	}
	running := report.InFlight(account.UnitRequest)
	loads := map[model.ServiceID]*memberpb.ServiceLoad{}
	load := func(id model.ServiceID) *memberpb.ServiceLoad {
		if loads[id] == nil {
			loads[id] = &memberpb.ServiceLoad{Service: uint32(id)}
			req.Loads = append(req.Loads, loads[id])
		}
		return loads[id]
	}
	for id, n := range open {
		load(id).OpenFlows = uint32(max(0, n))
		req.OpenFlows += load(id).OpenFlows
	}
	for id, n := range running {
		load(id).RunningRequests = uint32(max(0, n))
		req.RunningRequests += load(id).RunningRequests
	}
}

// openCallers lists the callers with flows of the services that drain.
func openCallers(flows []model.FlowKey, drains func(model.ServiceID) bool) []*memberpb.OpenCaller {
	var out []*memberpb.OpenCaller
	seen := map[memberCaller]bool{}
	for _, key := range flows {
		caller := memberCaller{key.Service, key.Caller.Addr().String()}
		if seen[caller] || len(seen) >= maxOpenCallers || !drains(key.Service) {
			continue
		}
		seen[caller] = true
		out = append(out, &memberpb.OpenCaller{Service: uint32(key.Service), Caller: caller.address})
	}
	return out
}

type memberCaller struct {
	service model.ServiceID
	address string
}

func hostNames(hosts []model.HostID) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, string(h))
	}
	return out
}
