package openflows

import (
	"net/netip"
	"sync"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Incarnation identifies an incarnation of an upstream.
type Incarnation struct {
	ID   uint64
	Born int64 // Unix milliseconds
}

// Reporter builds the flow reports of an agent and processes the responses of control VMs. It is safe for concurrent
// use.
type Reporter struct {
	changes Changes

	mu           sync.Mutex
	incarnation  Incarnation
	lastReport   uint64                        // number of the last report
	acknowledged bool                          // the control VM in use holds the last report
	orphanSource netip.AddrPort                // control VM that sent the last response
	orphanCount  uint32                        // orphans received from orphanSource
	returned     map[passthrough.Flow]struct{} // orphans that HandleResponse has returned
}

// Changes returns the flows that have opened and ended since the last call, or with whole all open flows.
type Changes func(whole bool) (opened []passthrough.OpenFlow, ended []passthrough.Flow)

// NewReporter returns a reporter. The numbers of its reports start at a value that depends on the process, because
// control VMs hold reports of earlier processes.
func NewReporter(changes Changes, process uint64) *Reporter {
	return &Reporter{changes: changes, lastReport: process >> sequenceBits << sequenceBits}
}

// sequenceBits is the number of low bits of a report number that count the reports of one process.
const sequenceBits = 32

// Next returns the next report. to is the control VM that receives it, or invalid if several receive it.
func (r *Reporter) Next(incarnation Incarnation, to netip.AddrPort) *pb.FlowReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation != r.incarnation {
		r.incarnation, r.acknowledged, r.orphanCount, r.returned = incarnation, false, 0, nil
	}
	whole := !r.acknowledged
	report := &pb.FlowReport{Incarnation: incarnation.ID, Born: incarnation.Born}
	if !whole {
		report.From = r.lastReport
	}
	if to == r.orphanSource {
		report.Orphans = r.orphanCount
	}
	opened, ended := r.changes(whole)
	if whole || len(opened)+len(ended) > 0 {
		r.lastReport++
	}
	report.Number, report.Opened = r.lastReport, allToWire(opened)
	for _, f := range ended {
		report.Ended = append(report.Ended, toWire(passthrough.OpenFlow{Flow: f}))
	}
	r.acknowledged = false
	return report
}

// HandleResponse processes the response of a control VM to a report. It returns the orphans that it has not returned
// before.
func (r *Reporter) HandleResponse(from netip.AddrPort, response *pb.SyncResponse) []passthrough.OpenFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acknowledged = response.GetFlows() == r.lastReport
	if from != r.orphanSource {
		r.orphanSource, r.orphanCount = from, 0
	}
	r.orphanCount += uint32(len(response.GetOrphans()))
	var out []passthrough.OpenFlow
	for _, m := range response.GetOrphans() {
		o := fromWire(m)
		if _, known := r.returned[o.Flow]; known {
			continue
		}
		if r.returned == nil {
			r.returned = map[passthrough.Flow]struct{}{}
		}
		r.returned[o.Flow] = struct{}{}
		out = append(out, o)
	}
	return out
}
