package account

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// MaxLostIncarnations bounds the lost incarnations that are kept separately for late reports. Older incarnations are
// folded into one sum. 1,800 restarts a day fill the limit in about half a day, far longer than a partition is expected
// to last.
const MaxLostIncarnations = 1000

// MaxCallerRows bounds the caller rows of a ledger; a row takes about 150 bytes.
const MaxCallerRows = 500_000

// Ledger merges the cumulative reports of all hosts. It is not safe for concurrent use.
type Ledger struct {
	hosts      map[model.HostRef]*hostAccount
	lostOrder  []model.HostRef                    // lost incarnations that are not folded, oldest first
	callerRows int                                // caller rows of all incarnations and the folded sum
	folded     *hostAccount                       // sum of the incarnations whose reports are no longer accepted
	foldedUpTo map[model.HostID]model.Incarnation // highest folded incarnation per host
}

type hostAccount struct {
	sequence uint64
	totals   map[Row]uint64
	callers  map[CallerRow]CallerCount
	lost     bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		hosts:      map[model.HostRef]*hostAccount{},
		folded:     newHostAccount(),
		foldedUpTo: map[model.HostID]model.Incarnation{},
	}
}

func newHostAccount() *hostAccount {
	return &hostAccount{totals: map[Row]uint64{}, callers: map[CallerRow]CallerCount{}}
}

func (l *Ledger) incarnationOf(ref model.HostRef) *hostAccount {
	in, ok := l.hosts[ref]
	if !ok {
		in = newHostAccount()
		l.hosts[ref] = in
	}
	return in
}

// Merge replaces the rows of an incarnation by the rows of a report and returns whether it accepted the report. A report
// whose sequence is not higher than the last sequence of the same incarnation is ignored, so that resends and reordering
// change nothing.
func (l *Ledger) Merge(ref model.HostRef, r Report) bool {
	if l.isFolded(ref) {
		return false
	}
	in := l.incarnationOf(ref)
	if r.Sequence <= in.sequence {
		return false
	}
	in.sequence = r.Sequence
	for k, n := range r.Totals {
		in.totals[k] = max(in.totals[k], n)
	}
	for k, c := range r.Callers {
		old, known := in.callers[k]
		if !known && l.callerRows >= MaxCallerRows {
			// Callers includes the count in the overflow row, as the difference to the total.
			continue
		}
		if !known {
			l.callerRows++
		}
		if c.Count > old.Count {
			in.callers[k] = c
		}
	}
	return true
}

// MarkLost marks an incarnation as lost. Its unreported ends count as unknown. A late report, for example after a
// partition, replaces them by the actual ends.
func (l *Ledger) MarkLost(ref model.HostRef) {
	if l.isFolded(ref) {
		return
	}
	in := l.incarnationOf(ref)
	if in.lost {
		return
	}
	in.lost = true
	l.lostOrder = append(l.lostOrder, ref)
	if len(l.lostOrder) > MaxLostIncarnations {
		l.fold(l.lostOrder[0])
		l.lostOrder = l.lostOrder[1:]
	}
}

func (l *Ledger) isFolded(ref model.HostRef) bool {
	last, ok := l.foldedUpTo[ref.Host]
	return ok && ref.Incarnation <= last
}

// fold adds a lost incarnation, with its unreported ends as unknown, to the folded sum and deletes it. It folds every
// earlier incarnation of the host too, so that the highest folded incarnation per host is enough to reject reports.
func (l *Ledger) fold(last model.HostRef) {
	if l.isFolded(last) {
		return
	}
	for ref, in := range l.hosts {
		if ref.Host != last.Host || ref.Incarnation > last.Incarnation {
			continue
		}
		in.lost = true
		in.addTotalsTo(l.folded.totals)
		before := len(l.folded.callers)
		for k, c := range in.callers {
			addCaller(l.folded.callers, k, c)
		}
		l.callerRows += len(l.folded.callers) - before - len(in.callers)
		delete(l.hosts, ref)
	}
	l.foldedUpTo[last.Host] = last.Incarnation
}

// addTotalsTo adds the totals of an incarnation to out. The unreported ends of a lost incarnation count as unknown.
func (in *hostAccount) addTotalsTo(out map[Row]uint64) {
	for k, n := range in.totals {
		out[k] += n
	}
	if !in.lost {
		return
	}
	for k, n := range in.unreported() {
		out[Row{Service: k.service, Unit: k.unit, Code: unreportedEndCode(k.unit)}] += n
	}
}

func addCaller(out map[CallerRow]CallerCount, k CallerRow, c CallerCount) {
	sum := out[k]
	sum.Count += c.Count
	if c.LastEnd.After(sum.LastEnd) {
		sum.LastEnd = c.LastEnd
	}
	out[k] = sum
}

// unreportedEndCode returns the result code under which unreported ends of a lost incarnation are counted.
func unreportedEndCode(u Unit) result.Code {
	if u == UnitFlow {
		return result.FlowOwnerLost
	}
	return result.RequestOutcomeUnknown
}

// Totals returns the sums over all hosts. The unreported ends of lost incarnations count as unknown.
func (l *Ledger) Totals() map[Row]uint64 {
	out := map[Row]uint64{}
	l.folded.addTotalsTo(out)
	for _, in := range l.hosts {
		in.addTotalsTo(out)
	}
	return out
}

// unreported returns starts minus ends by service and unit, where positive.
func (in *hostAccount) unreported() map[sumKey]uint64 {
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

// Callers returns the counts per caller of a service, summed over hosts. The zero address is the overflow row. It also
// counts the ends whose caller rows are not reported yet, so that the callers of a code always sum to its total.
func (l *Ledger) Callers(service model.ServiceID) map[CallerRow]CallerCount {
	out := map[CallerRow]CallerCount{}
	attributed := map[Row]uint64{}
	collect := func(in *hostAccount) {
		for k, c := range in.callers {
			if k.Row.Service == service {
				addCaller(out, k, c)
				attributed[k.Row] += c.Count
			}
		}
	}
	collect(l.folded)
	for _, in := range l.hosts {
		collect(in)
	}
	for row, n := range l.Totals() {
		if row.Service != service || row.Code == CodeStarted || n <= attributed[row] {
			continue
		}
		addCaller(out, CallerRow{Caller: netip.Addr{}, Row: row}, CallerCount{Count: n - attributed[row]})
	}
	return out
}
