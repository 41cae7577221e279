// Package account keeps exact counts of flow and request starts and ends. A Counter counts on one host and reports
// cumulative totals of the host's incarnation; a Ledger merges the reports of all hosts.
package account

import (
	"fmt"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Unit is the kind of work that is counted.
type Unit uint8

// Units.
const (
	UnitFlow Unit = iota + 1
	UnitRequest
)

// String returns the name used in messages.
func (u Unit) String() string {
	switch u {
	case UnitFlow:
		return "flow"
	case UnitRequest:
		return "request"
	}
	return fmt.Sprintf("unit(%d)", uint8(u))
}

// ParseUnit reads the name of a unit.
func ParseUnit(s string) (Unit, error) {
	switch s {
	case "flow":
		return UnitFlow, nil
	case "request":
		return UnitRequest, nil
	}
	return 0, fmt.Errorf("unit %q is neither flow nor request", s)
}

// CodeStarted marks totals of starts. It is not a result code; every other code of a total is the result code of an end.
const CodeStarted result.Code = math.MaxUint32

// Class groups the codes of ends into the terms of the account equation: issued = answered + refused + unknown + in
// flight.
type Class uint8

// Classes of an end.
const (
	Answered Class = iota + 1 // a flow closed normally, or a request with its complete answer
	Refused                   // a flow that was not accepted, or a request that was not run
	Unknown                   // a broken flow, or a request whose outcome or answer the caller does not know
)

// ClassOf returns the class of the result code of an end.
func ClassOf(u Unit, code result.Code) Class {
	if code == result.OK {
		return Answered
	}
	if u == UnitRequest {
		if code > 3000 && code < 3200 {
			return Refused
		}
		return Unknown
	}
	switch code {
	case result.FlowTableFull, result.FlowHalfOpenFull, result.FlowServiceClosing, result.FlowUpstreamRefused,
		result.FlowLeaseExpired, result.FlowUnknownService, result.FlowWrongService, result.FlowHoldQueueFull:
		return Refused
	}
	return Unknown
}

// Row identifies a total by service, unit, result code and the intent in progress (0 for none).
type Row struct {
	Service model.ServiceID
	Unit    Unit
	Code    result.Code
	Intent  uint64
}

// CallerRow identifies the count of a caller. The zero Caller is the overflow row, which sums the callers without a row.
type CallerRow struct {
	Caller netip.Addr
	Row    Row
}

// CallerCount is the number of ends of a caller and the time of the latest end.
type CallerCount struct {
	Count   uint64
	LastEnd time.Time
}

// Sums are the terms of the account equation for one service and unit.
type Sums struct {
	Issued, Answered, Refused, Unknown uint64
	InFlight                           int64 // counted separately; negative after an end without a start
}

// Mismatch is a violation of the account equation.
type Mismatch struct {
	Service model.ServiceID
	Unit    Unit
	Sums    Sums
}

// Error describes the mismatch with result.AccountMismatch.
func (m Mismatch) Error() string {
	s := m.Sums
	return fmt.Sprintf("%s: service %d, %s: issued %d, answered %d, refused %d, unknown %d, in flight %d",
		result.AccountMismatch, m.Service, m.Unit, s.Issued, s.Answered, s.Refused, s.Unknown, s.InFlight)
}

type sumKey struct {
	service model.ServiceID
	unit    Unit
}

type callerState struct {
	CallerCount
	changedIn uint64 // sequence of the first report after the latest change
}

// DefaultCallerRows bounds the caller rows of a host; a row takes about 150 bytes.
const DefaultCallerRows = 20_000

// Counter counts on one host. It is safe for concurrent use.
type Counter struct {
	mu       sync.Mutex
	maxRows  int
	sequence uint64
	totals   map[Row]uint64
	sums     map[sumKey]*Sums
	callers  map[CallerRow]*callerState
}

// NewCounter returns an empty counter with at most maxRows caller rows (DefaultCallerRows if 0), overflow rows excluded.
func NewCounter(maxRows int) *Counter {
	if maxRows == 0 {
		maxRows = DefaultCallerRows
	}
	return &Counter{
		maxRows: maxRows,
		totals:  map[Row]uint64{},
		sums:    map[sumKey]*Sums{},
		callers: map[CallerRow]*callerState{},
	}
}

func (c *Counter) sumsOf(service model.ServiceID, u Unit) *Sums {
	k := sumKey{service, u}
	s, ok := c.sums[k]
	if !ok {
		s = &Sums{}
		c.sums[k] = s
	}
	return s
}

// Start counts the start of a flow or request.
func (c *Counter) Start(service model.ServiceID, u Unit, intent uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sumsOf(service, u)
	s.Issued++
	s.InFlight++
	c.totals[Row{service, u, CodeStarted, intent}]++
}

// End counts the end of a flow or request. Intent is the intent in progress for the service or host, 0 for none.
func (c *Counter) End(service model.ServiceID, u Unit, caller netip.Addr, code result.Code, intent uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sumsOf(service, u)
	s.InFlight--
	switch ClassOf(u, code) {
	case Answered:
		s.Answered++
	case Refused:
		s.Refused++
	default:
		s.Unknown++
	}
	row := Row{service, u, code, intent}
	c.totals[row]++
	c.countCaller(CallerRow{caller.Unmap(), row}, at)
}

func (c *Counter) countCaller(k CallerRow, at time.Time) {
	st, ok := c.callers[k]
	if !ok && len(c.callers) >= c.maxRows {
		k.Caller = netip.Addr{}
		st, ok = c.callers[k]
	}
	if !ok {
		st = &callerState{}
		c.callers[k] = st
	}
	st.Count++
	if at.After(st.LastEnd) {
		st.LastEnd = at
	}
	st.changedIn = c.sequence + 1
}

// Check returns the services and units whose equation does not hold.
func (c *Counter) Check() []Mismatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Mismatch
	for k, s := range c.sums {
		ends := s.Answered + s.Refused + s.Unknown
		if s.InFlight < 0 || s.Issued != ends+uint64(s.InFlight) {
			out = append(out, Mismatch{k.service, k.unit, *s})
		}
	}
	return out
}

// Sums returns the terms of the account equation of a service and unit.
func (c *Counter) Sums(service model.ServiceID, u Unit) Sums {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.sumsOf(service, u)
}

// Report is a cumulative snapshot of one host incarnation.
type Report struct {
	Sequence uint64
	Totals   map[Row]uint64
	Callers  map[CallerRow]CallerCount // rows that changed after the acknowledged sequence
}

// InFlight returns the open work of each service: starts minus ends in this report.
func (r Report) InFlight(u Unit) map[model.ServiceID]int64 {
	out := map[model.ServiceID]int64{}
	for k, n := range r.Totals {
		switch {
		case k.Unit != u:
		case k.Code == CodeStarted:
			out[k.Service] += int64(n)
		default:
			out[k.Service] -= int64(n)
		}
	}
	return out
}

// AllEndsAcknowledged reports whether the reports up to the acknowledged sequence include every end.
func (c *Counter) AllEndsAcknowledged(acknowledged uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, st := range c.callers {
		if st.changedIn > acknowledged {
			return false
		}
	}
	return true
}

// Report returns all totals and the caller rows that changed after the report with the given sequence, which is the
// newest report that the control VMs acknowledged. At most maxCallers rows are included; later reports include the
// remaining rows.
func (c *Counter) Report(acknowledged uint64, maxCallers int) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	r := Report{Sequence: c.sequence, Totals: make(map[Row]uint64, len(c.totals)), Callers: map[CallerRow]CallerCount{}}
	for k, n := range c.totals {
		r.Totals[k] = n
	}
	for k, st := range c.callers {
		if st.changedIn <= acknowledged {
			continue
		}
		if len(r.Callers) >= maxCallers {
			// Counts as changed until a report that includes it is acknowledged.
			st.changedIn = c.sequence + 1
			continue
		}
		r.Callers[k] = st.CallerCount
	}
	return r
}
