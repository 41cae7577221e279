package openflows

import (
	"net/netip"
	"sync"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Start names a start of an upstream.
type Start struct {
	Incarnation uint64
	Born        int64 // Unix milliseconds
}

// Reporter makes the flow reports of an agent and takes the answers of control VMs. It is safe for concurrent use.
type Reporter struct {
	changes Changes

	mu        sync.Mutex
	start     Start
	number    uint64         // of the last report
	confirmed bool           // the control VM in use holds the last report
	from      netip.AddrPort // control VM that gave the orphans
	orphans   uint32         // given by it
	told      map[passthrough.Flow]struct{}
}

// Changes returns the flows that have opened and ended since the last call, or with whole all open ones.
type Changes func(whole bool) (opened []passthrough.OpenFlow, ended []passthrough.Flow)

// NewReporter returns a reporter. Its reports are numbered from a number that names the start of the process, because
// control VMs hold reports of earlier ones.
func NewReporter(changes Changes, process uint64) *Reporter {
	return &Reporter{changes: changes, number: process >> numberBits << numberBits}
}

// numberBits is the part of a number that counts the reports of one process.
const numberBits = 32

// Next returns the next report, to the control VM at the address or, without a valid one, to several.
func (r *Reporter) Next(start Start, to netip.AddrPort) *pb.FlowReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if start != r.start {
		r.start, r.confirmed, r.orphans, r.told = start, false, 0, nil
	}
	whole := !r.confirmed
	report := &pb.FlowReport{Incarnation: start.Incarnation, Born: start.Born}
	if !whole {
		report.From = r.number
	}
	if to == r.from {
		report.Orphans = r.orphans
	}
	opened, ended := r.changes(whole)
	if whole || len(opened)+len(ended) > 0 {
		r.number++
	}
	report.Number, report.Opened = r.number, allToWire(opened)
	for _, f := range ended {
		report.Ended = append(report.Ended, toWire(passthrough.OpenFlow{Flow: f}))
	}
	r.confirmed = false
	return report
}

// Answer processes what a control VM answered to a report. It returns the orphans that are new.
func (r *Reporter) Answer(from netip.AddrPort, response *pb.SyncResponse) []passthrough.OpenFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = response.GetFlows() == r.number
	if from != r.from {
		r.from, r.orphans = from, 0
	}
	r.orphans += uint32(len(response.GetOrphans()))
	var out []passthrough.OpenFlow
	for _, m := range response.GetOrphans() {
		o := fromWire(m)
		if _, known := r.told[o.Flow]; known {
			continue
		}
		if r.told == nil {
			r.told = map[passthrough.Flow]struct{}{}
		}
		r.told[o.Flow] = struct{}{}
		out = append(out, o)
	}
	return out
}
