package account

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Ledger merges the cumulative reports of all hosts. It is not safe for concurrent use.
type Ledger struct {
	hosts map[model.HostRef]*incarnation
}

type incarnation struct {
	sequence uint64
	totals   map[Row]uint64
	callers  map[CallerRow]CallerCount
	lost     bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{hosts: map[model.HostRef]*incarnation{}}
}

func (l *Ledger) of(ref model.HostRef) *incarnation {
	in, ok := l.hosts[ref]
	if !ok {
		in = &incarnation{totals: map[Row]uint64{}, callers: map[CallerRow]CallerCount{}}
		l.hosts[ref] = in
	}
	return in
}

// Merge replaces the rows of an incarnation by those of a report. A report whose sequence is not higher than the last
// one of the same incarnation is ignored, so resends and reordering change nothing. It tells whether it was used.
func (l *Ledger) Merge(ref model.HostRef, r Report) bool {
	in := l.of(ref)
	if r.Sequence <= in.sequence {
		return false
	}
	in.sequence = r.Sequence
	for k, n := range r.Totals {
		in.totals[k] = max(in.totals[k], n)
	}
	for k, c := range r.Callers {
		if c.Count > in.callers[k].Count {
			in.callers[k] = c
		}
	}
	return true
}

// Lost marks an incarnation that will not report any more. Its unreported ends count as unknown. A report that still
// arrives, for example after a partition, replaces them by the actual ends.
func (l *Ledger) Lost(ref model.HostRef) {
	l.of(ref).lost = true
}

// lostCode is the code of an end that was never reported.
func lostCode(u Unit) result.Code {
	if u == UnitFlow {
		return result.FlowOwnerLost
	}
	return result.RequestOutcomeUnknown
}

// Totals returns the sums over all hosts, with the unreported ends of lost incarnations stated as unknown.
func (l *Ledger) Totals() map[Row]uint64 {
	out := map[Row]uint64{}
	for _, in := range l.hosts {
		for k, n := range in.totals {
			out[k] += n
		}
		if !in.lost {
			continue
		}
		for k, n := range in.unreported() {
			out[Row{Service: k.service, Unit: k.unit, Code: lostCode(k.unit)}] += n
		}
	}
	return out
}

// unreported returns starts minus ends.
func (in *incarnation) unreported() map[sumKey]uint64 {
	open := map[sumKey]int64{}
	for k, n := range in.totals {
		s := sumKey{k.Service, k.Unit}
		if k.Code == CodeStarted {
			open[s] += int64(n)
		} else {
			open[s] -= int64(n)
		}
	}
	out := map[sumKey]uint64{}
	for s, n := range open {
		if n > 0 {
			out[s] = uint64(n)
		}
	}
	return out
}

// Sums returns the terms of the account equation of a service over all hosts.
func (l *Ledger) Sums(service model.ServiceID, u Unit) Sums {
	var s Sums
	for k, n := range l.Totals() {
		if k.Service != service || k.Unit != u {
			continue
		}
		if k.Code == CodeStarted {
			s.Issued += n
			s.InFlight += int64(n)
			continue
		}
		s.InFlight -= int64(n)
		switch ClassOf(u, k.Code) {
		case Answered:
			s.Answered += n
		case Refused:
			s.Refused += n
		default:
			s.Unknown += n
		}
	}
	return s
}

// Callers returns the counts per caller of a service, summed over hosts. The zero address is the overflow row; rows
// that a report has not carried yet appear under it too, so that the callers of a code always sum to its total.
func (l *Ledger) Callers(service model.ServiceID) map[CallerRow]CallerCount {
	out := map[CallerRow]CallerCount{}
	add := func(k CallerRow, c CallerCount) {
		sum := out[k]
		sum.Count += c.Count
		if c.Last.After(sum.Last) {
			sum.Last = c.Last
		}
		out[k] = sum
	}
	held := map[Row]uint64{}
	for _, in := range l.hosts {
		for k, c := range in.callers {
			if k.Row.Service == service {
				add(k, c)
				held[k.Row] += c.Count
			}
		}
	}
	for row, n := range l.Totals() {
		if row.Service != service || row.Code == CodeStarted || n <= held[row] {
			continue
		}
		add(CallerRow{Caller: netip.Addr{}, Row: row}, CallerCount{Count: n - held[row]})
	}
	return out
}
