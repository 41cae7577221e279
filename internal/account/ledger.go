package account

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// MaxLost bounds the lost incarnations that are kept apart for late reports. Older ones are folded into one sum; 1,800
// restarts a day fill the limit in about half a day, far longer than a partition is expected to last.
const MaxLost = 1000

// MaxCallerRows bounds the caller rows of a ledger; a row takes about 150 bytes.
const MaxCallerRows = 500_000

// Ledger merges the cumulative reports of all hosts. It is not safe for concurrent use.
type Ledger struct {
	hosts  map[model.HostRef]*incarnation
	lost   []model.HostRef                    // oldest first
	rows   int                                // caller rows of all incarnations and the folded sum
	folded *incarnation                       // sum of incarnations that take no more reports
	closed map[model.HostID]model.Incarnation // highest folded incarnation per host
}

type incarnation struct {
	sequence uint64
	totals   map[Row]uint64
	callers  map[CallerRow]CallerCount
	lost     bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		hosts:  map[model.HostRef]*incarnation{},
		folded: newIncarnation(),
		closed: map[model.HostID]model.Incarnation{},
	}
}

func newIncarnation() *incarnation {
	return &incarnation{totals: map[Row]uint64{}, callers: map[CallerRow]CallerCount{}}
}

func (l *Ledger) of(ref model.HostRef) *incarnation {
	in, ok := l.hosts[ref]
	if !ok {
		in = newIncarnation()
		l.hosts[ref] = in
	}
	return in
}

// Merge replaces the rows of an incarnation by those of a report. A report whose sequence is not higher than the last
// one of the same incarnation is ignored, so resends and reordering change nothing. It tells whether it was used.
func (l *Ledger) Merge(ref model.HostRef, r Report) bool {
	if l.isClosed(ref) {
		return false
	}
	in := l.of(ref)
	if r.Sequence <= in.sequence {
		return false
	}
	in.sequence = r.Sequence
	for k, n := range r.Totals {
		in.totals[k] = max(in.totals[k], n)
	}
	for k, c := range r.Callers {
		old, known := in.callers[k]
		if !known && l.rows >= MaxCallerRows {
			// Callers states the count in the overflow row, as the difference to the total.
			continue
		}
		if !known {
			l.rows++
		}
		if c.Count > old.Count {
			in.callers[k] = c
		}
	}
	return true
}

// Lost marks an incarnation that will not report any more. Its unreported ends count as unknown. A report that still
// arrives, for example after a partition, replaces them by the actual ends.
func (l *Ledger) Lost(ref model.HostRef) {
	if l.isClosed(ref) {
		return
	}
	in := l.of(ref)
	if in.lost {
		return
	}
	in.lost = true
	l.lost = append(l.lost, ref)
	if len(l.lost) > MaxLost {
		l.fold(l.lost[0])
		l.lost = l.lost[1:]
	}
}

func (l *Ledger) isClosed(ref model.HostRef) bool {
	last, ok := l.closed[ref.Host]
	return ok && ref.Incarnation <= last
}

// fold adds a lost incarnation, with its unreported ends as unknown, to the folded sum and forgets it. It folds every
// earlier incarnation of the host too, so that one number per host tells which reports to ignore.
func (l *Ledger) fold(last model.HostRef) {
	if l.isClosed(last) {
		return
	}
	for ref, in := range l.hosts {
		if ref.Host != last.Host || ref.Incarnation > last.Incarnation {
			continue
		}
		in.lost = true
		in.addTo(l.folded.totals)
		before := len(l.folded.callers)
		for k, c := range in.callers {
			addCaller(l.folded.callers, k, c)
		}
		l.rows += len(l.folded.callers) - before - len(in.callers)
		delete(l.hosts, ref)
	}
	l.closed[last.Host] = last.Incarnation
}

// addTo adds the totals of an incarnation, stating the unreported ends of a lost one as unknown.
func (in *incarnation) addTo(out map[Row]uint64) {
	for k, n := range in.totals {
		out[k] += n
	}
	if !in.lost {
		return
	}
	for k, n := range in.unreported() {
		out[Row{Service: k.service, Unit: k.unit, Code: lostCode(k.unit)}] += n
	}
}

func addCaller(out map[CallerRow]CallerCount, k CallerRow, c CallerCount) {
	sum := out[k]
	sum.Count += c.Count
	if c.Last.After(sum.Last) {
		sum.Last = c.Last
	}
	out[k] = sum
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
	l.folded.addTo(out)
	for _, in := range l.hosts {
		in.addTo(out)
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
	held := map[Row]uint64{}
	collect := func(in *incarnation) {
		for k, c := range in.callers {
			if k.Row.Service == service {
				addCaller(out, k, c)
				held[k.Row] += c.Count
			}
		}
	}
	collect(l.folded)
	for _, in := range l.hosts {
		collect(in)
	}
	for row, n := range l.Totals() {
		if row.Service != service || row.Code == CodeStarted || n <= held[row] {
			continue
		}
		addCaller(out, CallerRow{Caller: netip.Addr{}, Row: row}, CallerCount{Count: n - held[row]})
	}
	return out
}
