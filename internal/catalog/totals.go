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

// accountRows indexes the account rows of one service.
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

// addTotals stores cumulative counts. It keeps the larger of the stored and the reported count, so that resent and
// reordered commands have no effect. Closed services still accept counts, since the last reports arrive after the close.
func (c *Catalog) addTotals(cmd *catalogpb.Totals) error {
	for _, h := range cmd.Hosts {
		if h.Incarnation < c.hosts[h.Host].GetIncarnation() {
			continue // its rows were merged when the newer incarnation announced itself
		}
		for _, t := range h.Totals {
			if svc := c.services[t.Service]; svc != nil {
				increase := c.accountOf(svc).addTotal(svc, h, t)
				c.attributeToIntent(svc, h.Host, t, increase)
			}
		}
		for _, t := range h.Callers {
			if svc := c.services[t.Service]; svc != nil {
				c.accountOf(svc).addCaller(svc, h, t)
			}
		}
	}
	return nil
}

// mergeEndedIncarnation merges the rows of an ended incarnation into rows without a host, which hold the counts of all
// ended incarnations. The size of an account thus depends on the number of hosts and not on the number of restarts.
func (c *Catalog) mergeEndedIncarnation(ended *catalogpb.Host, services []uint32) {
	for _, id := range services {
		svc := c.services[id]
		totals, callers := svc.Totals, svc.Callers
		svc.Totals, svc.Callers = nil, nil
		c.accounts[id] = newAccountRows(svc)
		for _, t := range totals {
			if t.Host == ended.Host && t.Incarnation == ended.Incarnation {
				t.Host, t.Incarnation = "", 0
			}
			c.accounts[id].putTotal(svc, t)
		}
		for _, t := range callers {
			if t.Host == ended.Host && t.Incarnation == ended.Incarnation {
				t.Host, t.Incarnation = "", 0
			}
			c.accounts[id].putCaller(svc, t)
		}
	}
}

// putTotal adds a row, or adds its count to the existing row with the same key.
func (r *accountRows) putTotal(svc *catalogpb.Service, t *catalogpb.Total) {
	key := totalKey{t.Host, t.Incarnation, t.Unit, t.Code, t.Intent}
	if row := r.totals[key]; row != nil {
		row.Count += t.Count
		return
	}
	r.totals[key] = t
	svc.Totals = append(svc.Totals, t)
}

// putCaller adds a row, or adds its count to the existing row with the same key.
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

func (c *Catalog) accountOf(svc *catalogpb.Service) *accountRows {
	if c.accounts[svc.Id] == nil {
		c.accounts[svc.Id] = newAccountRows(svc)
	}
	return c.accounts[svc.Id]
}

// attributeToIntent counts newly reported ends of flows and requests for the intent that claims the service or the host.
func (c *Catalog) attributeToIntent(svc *catalogpb.Service, host string, t *memberpb.AccountTotal, increase uint64) {
	intent := c.Claimant(ServiceObject(svc.Name))
	if intent == 0 {
		intent = c.Claimant(HostObject(host))
	}
	if intent == 0 || increase == 0 || t.Code == uint32(account.CodeStarted) {
		return
	}
	c.accountOf(svc).addIntent(svc, intentKey{intent, t.Unit, t.Code}, increase)
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

// addTotal stores a cumulative count and returns its increase.
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
	increase := t.Count - row.Count
	row.Count = t.Count
	return increase
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

// sortAccount sorts the account rows of a service, so that equal states have equal snapshots.
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
