package account

import (
	"net/netip"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// OverflowCaller is the caller name of the overflow row in messages.
const OverflowCaller = "overflow"

// Encode converts a report to protobuf messages. Starts are totals with code CodeStarted.
func (r Report) Encode() ([]*memberpb.AccountTotal, []*memberpb.CallerTotal) {
	totals := make([]*memberpb.AccountTotal, 0, len(r.Totals))
	for k, n := range r.Totals {
		totals = append(totals, &memberpb.AccountTotal{
			Service: uint32(k.Service),
			Unit:    k.Unit.String(),
			Code:    uint32(k.Code),
			Intent:  k.Intent,
			Count:   n,
		})
	}
	callers := make([]*memberpb.CallerTotal, 0, len(r.Callers))
	for k, c := range r.Callers {
		name := OverflowCaller
		if k.Caller.IsValid() {
			name = k.Caller.String()
		}
		callers = append(callers, &memberpb.CallerTotal{
			Service:    uint32(k.Row.Service),
			Caller:     name,
			Unit:       k.Row.Unit.String(),
			Code:       uint32(k.Row.Code),
			Count:      c.Count,
			LastUnixMs: c.LastEnd.UnixMilli(),
			Intent:     k.Row.Intent,
		})
	}
	return totals, callers
}

// Decode converts protobuf messages to a report. An unknown unit or a malformed caller address is an error.
func Decode(sequence uint64, totals []*memberpb.AccountTotal, callers []*memberpb.CallerTotal) (Report, error) {
	r := Report{Sequence: sequence, Totals: map[Row]uint64{}, Callers: map[CallerRow]CallerCount{}}
	for _, t := range totals {
		u, err := ParseUnit(t.Unit)
		if err != nil {
			return Report{}, err
		}
		r.Totals[Row{model.ServiceID(t.Service), u, result.Code(t.Code), t.Intent}] = t.Count
	}
	for _, c := range callers {
		u, err := ParseUnit(c.Unit)
		if err != nil {
			return Report{}, err
		}
		k := CallerRow{Row: Row{model.ServiceID(c.Service), u, result.Code(c.Code), c.Intent}}
		if c.Caller != OverflowCaller {
			if k.Caller, err = netip.ParseAddr(c.Caller); err != nil {
				return Report{}, err
			}
		}
		r.Callers[k] = CallerCount{Count: c.Count, LastEnd: time.UnixMilli(c.LastUnixMs)}
	}
	return r, nil
}
