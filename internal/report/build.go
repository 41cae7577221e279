package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
)

// Build makes the report of the newest service with the name. It depends only on the catalog, so that every control VM
// makes the same report from the same state.
func Build(c *catalog.Catalog, name string) (*Report, error) {
	svc := c.LatestService(name)
	if svc == nil {
		return nil, result.Errorf(result.PlanUnknownService, "no service %q", name)
	}
	r := &Report{Format: Format}
	r.add(Record{Service: &Service{
		ID:            svc.Id,
		Name:          svc.Name,
		Frontend:      svc.Frontend,
		Kind:          model.Kind(svc.Kind).String(),
		CreatedUnixMs: svc.CreatedUnixMs,
		ClosedUnixMs:  svc.ClosedUnixMs,
		Revision:      uint64(c.Revision()),
	}})
	changes := c.Changes(svc.Id)
	for _, ch := range changes {
		r.add(Record{Change: changeOf(ch)})
	}
	callers := mergeCallers(svc.Callers)
	for _, row := range callers {
		r.add(Record{Caller: &row})
	}
	sums := sumUp(svc.Totals, callers)
	for _, u := range unknowns(svc, changes, sums) {
		r.add(Record{Unknown: &u})
	}
	for _, s := range sums {
		r.add(Record{Sum: &s})
	}
	for _, d := range sortedByIntent(svc.ByIntent) {
		r.add(Record{During: &During{
			Intent: d.Intent, Unit: d.Unit, Code: d.Code, Outcome: Outcome(d.Code), Count: d.Count,
		}})
	}
	for _, t := range totals(sums) {
		r.add(Record{Total: &t})
	}
	return r, nil
}

// sortedByIntent returns the rows in an order that does not depend on how the catalog was restored.
func sortedByIntent(rows []*catalogpb.IntentTotal) []*catalogpb.IntentTotal {
	return slices.SortedFunc(slices.Values(rows), func(a, b *catalogpb.IntentTotal) int {
		return cmp.Or(cmp.Compare(a.Intent, b.Intent), cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Code, b.Code))
	})
}

func changeOf(ch *catalogpb.Change) *Change {
	return &Change{
		AtUnixMs:        ch.AtUnixMs,
		Revision:        ch.Revision,
		Text:            ch.Text,
		Host:            ch.Host,
		Intent:          ch.Intent,
		Operator:        ch.Operator,
		Plan:            ch.Plan,
		ConfirmedBy:     ch.ConfirmedBy,
		ConfirmedUnixMs: ch.ConfirmedUnixMs,
	}
}

// started is the code of totals that count starts and not ends.
const started = uint32(account.CodeStarted)

// Outcome returns the name of a result code as the report prints it.
func Outcome(code uint32) string {
	switch code {
	case 0:
		return "completed"
	case started:
		return "started"
	}
	return result.Code(code).String()
}

type callerKey struct {
	caller, unit string
	code         uint32
	intent       uint64
}

// mergeCallers joins the rows of all hosts and incarnations.
func mergeCallers(rows []*catalogpb.CallerTotal) []Caller {
	merged := map[callerKey]*Caller{}
	for _, row := range rows {
		key := callerKey{row.Caller, row.Unit, row.Code, row.Intent}
		m := merged[key]
		if m == nil {
			m = &Caller{Caller: row.Caller, Unit: row.Unit, Code: row.Code, Outcome: Outcome(row.Code), Intent: row.Intent}
			merged[key] = m
		}
		m.Count += row.Count
		m.LastUnixMs = max(m.LastUnixMs, row.LastUnixMs)
	}
	out := make([]Caller, 0, len(merged))
	for _, m := range merged {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Caller) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Intent, b.Intent))
	})
	return out
}

type sumKey struct {
	unit string
	code uint32
}

// sumUp adds the hosts' totals and what the caller rows show of them.
func sumUp(rows []*catalogpb.Total, callers []Caller) []Sum {
	sums := map[sumKey]*Sum{}
	at := func(unit string, code uint32) *Sum {
		key := sumKey{unit, code}
		if sums[key] == nil {
			sums[key] = &Sum{Unit: unit, Code: code, Outcome: Outcome(code)}
		}
		return sums[key]
	}
	for _, row := range rows {
		at(row.Unit, row.Code).Count += row.Count
	}
	for _, row := range callers {
		at(row.Unit, row.Code).Listed += row.Count
	}
	var out []Sum
	for _, s := range sums {
		s.Count = max(s.Count, s.Listed) // caller rows may be newer than the total of a host that was lost
		s.Unlisted = s.Count - s.Listed
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Sum) int { return cmp.Or(cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Code, b.Code)) })
	return out
}

// class says in which part of a Total a code counts.
type class uint8

const (
	classNormal class = iota + 1
	classRefused
	classBroken
	classUnknown
)

func classOf(unit string, code uint32) class {
	u, err := account.ParseUnit(unit)
	if err != nil {
		return classUnknown
	}
	c := result.Code(code)
	switch account.ClassOf(u, c) {
	case account.Answered:
		return classNormal
	case account.Refused:
		return classRefused
	}
	if c == result.RequestOutcomeUnknown || c == result.FlowOwnerLost {
		return classUnknown
	}
	return classBroken
}

func totals(sums []Sum) []Total {
	byUnit := map[string]*Total{}
	for _, s := range sums {
		if byUnit[s.Unit] == nil {
			byUnit[s.Unit] = &Total{Unit: s.Unit}
		}
		byUnit[s.Unit].add(s)
	}
	var out []Total
	for _, unit := range slices.Sorted(maps.Keys(byUnit)) {
		byUnit[unit].settle()
		out = append(out, *byUnit[unit])
	}
	return out
}

func (t *Total) add(s Sum) {
	if s.Code == started {
		t.Issued += s.Count
		return
	}
	switch classOf(s.Unit, s.Code) {
	case classNormal:
		t.Normal += s.Count
	case classRefused:
		t.Refused += s.Count
	case classUnknown:
		t.Unknown += s.Count
	default:
		t.Broken += s.Count
	}
}

// settle compares the starts with the ends. Work that was started and whose end was never reported is unknown.
func (t *Total) settle() {
	ended := t.Normal + t.Refused + t.Broken + t.Unknown
	if ended > t.Issued {
		t.Excess = ended - t.Issued
		return
	}
	t.Unreported = t.Issued - ended
	t.Unknown += t.Unreported
}

// unknowns states every gap in what the report knows.
func unknowns(svc *catalogpb.Service, changes []*catalogpb.Change, sums []Sum) []Unknown {
	var out []Unknown
	for _, t := range totals(sums) {
		if t.Unreported > 0 {
			out = append(out, Unknown{Text: fmt.Sprintf("the ends of these %ss were not reported", t.Unit), Count: t.Unreported})
		}
		if t.Excess > 0 {
			out = append(out, Unknown{Text: fmt.Sprintf("the account is wrong: these ends of %ss have no start", t.Unit), Count: t.Excess})
		}
	}
	for _, s := range sums {
		if s.Code == started {
			continue
		}
		if classOf(s.Unit, s.Code) == classUnknown && s.Count > 0 {
			out = append(out, Unknown{Text: fmt.Sprintf("the outcome of these %ss is unknown (%s)", s.Unit, s.Outcome), Count: s.Count})
		}
		if s.Unlisted > 0 {
			out = append(out, Unknown{Text: fmt.Sprintf("the callers of these %ss are not listed (%s)", s.Unit, s.Outcome), Count: s.Unlisted})
		}
	}
	for _, ch := range changes {
		if ch.Uncertain {
			text := fmt.Sprintf("%s; work that ended there after its last announcement is not in the sums", ch.Text)
			out = append(out, Unknown{Text: text, Host: ch.Host})
		}
	}
	if svc.ChangesDropped > 0 {
		out = append(out, Unknown{Text: "older changes are no longer in the history", Count: svc.ChangesDropped})
	}
	if svc.CallersDropped {
		out = append(out, Unknown{Text: fmt.Sprintf("only the first %d rows of callers were kept", catalog.MaxCallers)})
	}
	if !svc.Closed {
		out = append(out, Unknown{Text: "the service is open; this report is preliminary"})
	}
	return out
}
