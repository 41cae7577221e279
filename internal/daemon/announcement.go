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

func (r *reporter) next() ([]*memberpb.AccountTotal, []*memberpb.CallerTotal) {
	report := r.counter.Report(r.acknowledged.Load(), maxCallerRows)
	r.pending = report.Sequence
	return report.Encode()
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
	req.Totals, req.Callers = r.report.next()
	r.addWork(req)
	reach := r.agent.Reachability()
	req.Reachable = hostNames(reach.Reachable)
	req.Unreachable = hostNames(reach.Unreachable)
	return req
}

// Acknowledged implements announce.Source.
func (r *upstreamRole) Acknowledged(uint64) { r.report.acknowledged.Store(r.report.pending) }

// addWork adds the open flows and requests, and the callers that have them.
func (r *upstreamRole) addWork(req *memberpb.AnnounceRequest) {
	loads := map[model.ServiceID]*memberpb.ServiceLoad{}
	load := func(id model.ServiceID) *memberpb.ServiceLoad {
		if loads[id] == nil {
			loads[id] = &memberpb.ServiceLoad{Service: uint32(id)}
			req.Loads = append(req.Loads, loads[id])
		}
		return loads[id]
	}
	seen := map[memberCaller]bool{}
	for _, key := range r.agent.Flows() {
		load(key.Service).OpenFlows++
		req.OpenFlows++
		caller := memberCaller{key.Service, key.Caller.Addr().String()}
		if !seen[caller] && len(seen) < maxOpenCallers {
			seen[caller] = true
			req.OpenCallers = append(req.OpenCallers, &memberpb.OpenCaller{Service: uint32(key.Service), Caller: caller.address})
		}
	}
	for _, id := range r.peers.services() {
		running := r.counter.Sums(id, account.UnitRequest).InFlight
		load(id).RunningRequests = uint32(max(0, running))
		req.RunningRequests += load(id).RunningRequests
	}
	if !r.leaving.Load() && !r.drained.Load() {
		req.OpenCallers = nil // needed for drains only
	}
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
