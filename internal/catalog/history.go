package catalog

import (
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// recordChange adds a change to the history, once for each affected service. in is nil for a change that no operator
// requested.
func (c *Catalog) recordChange(in *intentpb.Intent, host, text string, services ...uint32) {
	if len(services) == 0 {
		services = []uint32{0}
	}
	for _, id := range services {
		ch := &catalogpb.Change{
			Index:    c.index,
			AtUnixMs: c.lastUnixMs,
			Revision: c.revision,
			Service:  id,
			Host:     host,
			Text:     text,
		}
		if in != nil {
			ch.Intent = in.Id
			ch.Operator = in.Operator
			ch.Plan = in.GetPlan().GetNumber()
			ch.ConfirmedBy = in.ConfirmedBy
			ch.ConfirmedUnixMs = in.ConfirmedUnixMs
		}
		c.changes = append(c.changes, ch)
	}
	c.trimChanges()
}

// recordUncertainChange records a loss or restart of a host. Flows and requests that ended there after the host's last
// report may be missing from the account.
func (c *Catalog) recordUncertainChange(host, text string, services ...uint32) {
	c.recordChange(nil, host, text, services...)
	added := min(max(1, len(services)), len(c.changes))
	for _, ch := range c.changes[len(c.changes)-added:] {
		ch.Uncertain = true
	}
}

// trimChanges drops the oldest changes above MaxChanges. Each affected service counts its dropped changes, so that its
// report can state that the list of changes is incomplete.
func (c *Catalog) trimChanges() {
	excess := len(c.changes) - MaxChanges
	for i := 0; i < excess; i++ {
		if svc := c.services[c.changes[i].Service]; svc != nil {
			svc.ChangesDropped++
		}
		c.changes[i] = nil
		c.changesDropped++
	}
	if excess > 0 {
		c.changes = c.changes[excess:]
	}
}

// trimIntents drops the oldest finished intents above MaxIntents. Operators can then reuse the idempotency keys of the
// dropped intents.
func (c *Catalog) trimIntents() {
	if len(c.intents) <= MaxIntents {
		return
	}
	for _, id := range sortedKeys(c.intents) {
		in := c.intents[id]
		if !finished(in.State) {
			continue
		}
		delete(c.intents, id)
		delete(c.intentByKey, operatorKey{in.Operator, in.Key})
		c.intentsDropped++
		if len(c.intents) <= MaxIntents {
			return
		}
	}
}

// trimClosedServices drops the oldest closed services above MaxClosedServices. Service ids are never reused.
func (c *Catalog) trimClosedServices() {
	var closed []uint32
	for _, id := range sortedKeys(c.services) {
		if c.services[id].Closed {
			closed = append(closed, id)
		}
	}
	for len(closed) > MaxClosedServices {
		delete(c.services, closed[0])
		delete(c.accounts, closed[0])
		closed = closed[1:]
	}
}
