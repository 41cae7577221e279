package daemon

import (
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// Limits on the lists in one announcement.
const (
	maxCallerRows  = 100 // a row takes about 50 bytes
	maxOpenCallers = 256
)

// reporter splits the account's rows over successive announcements and repeats rows until they are acknowledged.
type reporter struct {
	counter              *account.Counter
	pendingSequence      uint64        // sequence of the report in the latest announcement
	acknowledgedSequence atomic.Uint64 // newest report that the control VMs acknowledged
}

// next returns the report for the next announcement.
func (r *reporter) next() account.Report {
	report := r.counter.Report(r.acknowledgedSequence.Load(), maxCallerRows)
	r.pendingSequence = report.Sequence
	return report
}

// fullyAcknowledged reports whether the control VMs have acknowledged the whole account.
func (r *reporter) fullyAcknowledged() bool {
	return r.counter.AllEndsAcknowledged(r.acknowledgedSequence.Load())
}

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
	req.OpenCallers = openCallers(flows, r.isDraining)
	reach := r.agent.Reachability()
	req.Reachable = hostNames(reach.Reachable)
	req.Unreachable = hostNames(reach.Unreachable)
	return req
}

// Acknowledged implements announce.Source.
func (r *upstreamRole) Acknowledged(uint64) {
	r.report.acknowledgedSequence.Store(r.report.pendingSequence)
}

// addWork adds the number of open flows and running requests of each service. It takes them from the same report as the
// totals, so that the totals of an announcement without open work include the end of the last flow and request. A flow
// counts as open while it is in flows or in flight in the report.
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

// openCallers lists the callers that have flows of draining services, at most maxOpenCallers.
func openCallers(flows []model.FlowKey, isDraining func(model.ServiceID) bool) []*memberpb.OpenCaller {
	var out []*memberpb.OpenCaller
	seen := map[serviceCaller]bool{}
	for _, key := range flows {
		caller := serviceCaller{key.Service, key.Caller.Addr().String()}
		if seen[caller] || len(seen) >= maxOpenCallers || !isDraining(key.Service) {
			continue
		}
		seen[caller] = true
		out = append(out, &memberpb.OpenCaller{Service: uint32(key.Service), Caller: caller.address})
	}
	return out
}

// serviceCaller identifies a caller of one service.
type serviceCaller struct {
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
