package catalog

import (
	"cmp"
	"slices"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

type totalKey struct {
	host        string
	incarnation uint64
	unit        string
	code        uint32
	intent      uint64
}

type callerKey struct {
	totalKey
	caller string
}

type intentKey struct {
	intent uint64
	unit   string
	code   uint32
}

// accountRows indexes the account of one service.
type accountRows struct {
	totals   map[totalKey]*catalogpb.Total
	callers  map[callerKey]*catalogpb.CallerTotal
	byIntent map[intentKey]*catalogpb.IntentTotal
}

func newAccountRows(svc *catalogpb.Service) *accountRows {
	r := &accountRows{
		totals:   map[totalKey]*catalogpb.Total{},
		callers:  map[callerKey]*catalogpb.CallerTotal{},
		byIntent: map[intentKey]*catalogpb.IntentTotal{},
	}
	for _, t := range svc.ByIntent {
		r.byIntent[intentKey{t.Intent, t.Unit, t.Code}] = t
	}
	for _, t := range svc.Totals {
		r.totals[totalKey{t.Host, t.Incarnation, t.Unit, t.Code, t.Intent}] = t
	}
	for _, t := range svc.Callers {
		r.callers[callerKey{totalKey{t.Host, t.Incarnation, t.Unit, t.Code, t.Intent}, t.Caller}] = t
	}
	return r
}

// addTotals stores cumulative counts. The larger of the stored and the given count is kept, so that a resent or
// overtaken command changes nothing. Closed services still take counts, since the last ones arrive after the close.
func (c *Catalog) addTotals(cmd *catalogpb.Totals) error {
	for _, h := range cmd.Hosts {
		if h.Incarnation < c.hosts[h.Host].GetIncarnation() {
			continue // its rows were folded when the newer incarnation announced itself
		}
		for _, t := range h.Totals {
			if svc := c.services[t.Service]; svc != nil {
				more := c.rowsOf(svc).addTotal(svc, h, t)
				c.attribute(svc, h.Host, t, more)
			}
		}
		for _, t := range h.Callers {
			if svc := c.services[t.Service]; svc != nil {
				c.rowsOf(svc).addCaller(svc, h, t)
			}
		}
	}
	return nil
}

// foldTotals joins the rows of an ended incarnation with those of earlier ones, so that an account grows with the hosts
// and not with their restarts.
func (c *Catalog) foldTotals(ended *catalogpb.Host, services []uint32) {
	for _, id := range services {
		svc := c.services[id]
		totals, callers := svc.Totals, svc.Callers
		svc.Totals, svc.Callers = nil, nil
		c.rows[id] = newAccountRows(svc)
		for _, t := range totals {
			if t.Host == ended.Host && t.Incarnation == ended.Incarnation {
				t.Host, t.Incarnation = "", 0
			}
			c.rows[id].putTotal(svc, t)
		}
		for _, t := range callers {
			if t.Host == ended.Host && t.Incarnation == ended.Incarnation {
				t.Host, t.Incarnation = "", 0
			}
			c.rows[id].putCaller(svc, t)
		}
	}
}

// putTotal adds a row, or its count to the row with the same key.
func (r *accountRows) putTotal(svc *catalogpb.Service, t *catalogpb.Total) {
	key := totalKey{t.Host, t.Incarnation, t.Unit, t.Code, t.Intent}
	if row := r.totals[key]; row != nil {
		row.Count += t.Count
		return
	}
	r.totals[key] = t
	svc.Totals = append(svc.Totals, t)
}

// putCaller adds a row, or its count to the row with the same key.
func (r *accountRows) putCaller(svc *catalogpb.Service, t *catalogpb.CallerTotal) {
	key := callerKey{totalKey{t.Host, t.Incarnation, t.Unit, t.Code, t.Intent}, t.Caller}
	if row := r.callers[key]; row != nil {
		row.Count += t.Count
		row.LastUnixMs = max(row.LastUnixMs, t.LastUnixMs)
		return
	}
	r.callers[key] = t
	svc.Callers = append(svc.Callers, t)
}

func (c *Catalog) rowsOf(svc *catalogpb.Service) *accountRows {
	if c.rows[svc.Id] == nil {
		c.rows[svc.Id] = newAccountRows(svc)
	}
	return c.rows[svc.Id]
}

// attribute counts newly reported ends for the intent that holds the service or the host.
func (c *Catalog) attribute(svc *catalogpb.Service, host string, t *memberpb.AccountTotal, more uint64) {
	intent := c.Claimant(ServiceObject(svc.Name))
	if intent == 0 {
		intent = c.Claimant(HostObject(host))
	}
	if intent == 0 || more == 0 || t.Code == uint32(account.CodeStarted) {
		return
	}
	c.rowsOf(svc).addIntent(svc, intentKey{intent, t.Unit, t.Code}, more)
}

func (r *accountRows) addIntent(svc *catalogpb.Service, key intentKey, count uint64) {
	row := r.byIntent[key]
	if row == nil {
		row = &catalogpb.IntentTotal{Intent: key.intent, Unit: key.unit, Code: key.code}
		r.byIntent[key] = row
		svc.ByIntent = append(svc.ByIntent, row)
	}
	row.Count += count
}

// addTotal stores a cumulative count and returns by how much it has grown.
func (r *accountRows) addTotal(svc *catalogpb.Service, h *catalogpb.HostTotals, t *memberpb.AccountTotal) uint64 {
	key := totalKey{h.Host, h.Incarnation, t.Unit, t.Code, t.Intent}
	row := r.totals[key]
	if row == nil {
		row = &catalogpb.Total{Host: h.Host, Incarnation: h.Incarnation, Unit: t.Unit, Code: t.Code, Intent: t.Intent}
		r.totals[key] = row
		svc.Totals = append(svc.Totals, row)
	}
	if t.Count <= row.Count {
		return 0
	}
	more := t.Count - row.Count
	row.Count = t.Count
	return more
}

func (r *accountRows) addCaller(svc *catalogpb.Service, h *catalogpb.HostTotals, t *memberpb.CallerTotal) {
	key := callerKey{totalKey{h.Host, h.Incarnation, t.Unit, t.Code, t.Intent}, t.Caller}
	row := r.callers[key]
	if row == nil && len(svc.Callers) >= MaxCallers {
		svc.CallersDropped = true
		return
	}
	if row == nil {
		row = &catalogpb.CallerTotal{
			Host: h.Host, Incarnation: h.Incarnation, Caller: t.Caller, Unit: t.Unit, Code: t.Code, Intent: t.Intent,
		}
		r.callers[key] = row
		svc.Callers = append(svc.Callers, row)
	}
	row.Count = max(row.Count, t.Count)
	row.LastUnixMs = max(row.LastUnixMs, t.LastUnixMs)
}

// sortAccount orders the rows of a service, so that equal states have equal snapshots.
func sortAccount(svc *catalogpb.Service) {
	slices.SortFunc(svc.Totals, func(a, b *catalogpb.Total) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Unit, b.Unit),
			cmp.Compare(a.Code, b.Code), cmp.Compare(a.Intent, b.Intent))
	})
	slices.SortFunc(svc.ByIntent, func(a, b *catalogpb.IntentTotal) int {
		return cmp.Or(cmp.Compare(a.Intent, b.Intent), cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Code, b.Code))
	})
	slices.SortFunc(svc.Callers, func(a, b *catalogpb.CallerTotal) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Intent, b.Intent))
	})
}
