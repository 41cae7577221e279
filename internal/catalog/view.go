package catalog

import (
	"slices"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// The methods in this file return references into the catalog's state. Callers must not modify the returned values and
// must copy anything they use after the next Apply.

// Revision returns the newest configuration revision.
func (c *Catalog) Revision() model.Revision { return model.Revision(c.revision) }

// Index returns the index of the last applied log entry.
func (c *Catalog) Index() uint64 { return c.index }

// Service returns an open service by name, or nil.
func (c *Catalog) Service(name string) *catalogpb.Service { return c.services[c.serviceByName[name]] }

// ServiceByID returns an open or closed service, or nil.
func (c *Catalog) ServiceByID(id uint32) *catalogpb.Service { return c.services[id] }

// LatestService returns the open service with a name, else the most recently created closed one, or nil.
func (c *Catalog) LatestService(name string) *catalogpb.Service {
	if svc := c.Service(name); svc != nil {
		return svc
	}
	var latest *catalogpb.Service
	for _, svc := range c.services {
		if svc.Name == name && svc.Id > latest.GetId() {
			latest = svc
		}
	}
	return latest
}

// ServiceByFrontend returns the open service with a frontend address, or nil.
func (c *Catalog) ServiceByFrontend(address string) *catalogpb.Service {
	return c.services[c.serviceByFrontend[address]]
}

// ServicesOf returns the open services that a host may carry, by ascending id.
func (c *Catalog) ServicesOf(host string) []*catalogpb.Service {
	var out []*catalogpb.Service
	for _, id := range c.servicesByHost[host] {
		out = append(out, c.services[id])
	}
	return out
}

// Host returns a host, or nil.
func (c *Catalog) Host(host string) *catalogpb.Host { return c.hosts[host] }

// Hosts calls f for each host in no particular order.
func (c *Catalog) Hosts(f func(h *catalogpb.Host)) {
	for _, h := range c.hosts {
		f(h)
	}
}

// Control returns the control members, sorted by id.
func (c *Catalog) Control() []*catalogpb.ControlMember { return c.control }

// Keys returns the tunnel key ring.
func (c *Catalog) Keys() *catalogpb.KeyRing { return c.keys }

// Intent returns an intent, or nil.
func (c *Catalog) Intent(id uint64) *intentpb.Intent { return c.intents[id] }

// Intents returns the intents by ascending id. With openOnly it omits finished intents.
func (c *Catalog) Intents(openOnly bool) []*intentpb.Intent {
	var out []*intentpb.Intent
	for _, id := range sortedKeys(c.intents) {
		if in := c.intents[id]; !openOnly || !finished(in.State) {
			out = append(out, in)
		}
	}
	return out
}

// RunningIntents returns the intents in state running, by ascending id.
func (c *Catalog) RunningIntents() []*intentpb.Intent {
	ids := map[uint64]bool{}
	for _, id := range c.intentByClaim {
		ids[id] = true
	}
	var out []*intentpb.Intent
	for _, id := range sortedKeys(ids) {
		if in := c.intents[id]; in.GetState() == intentpb.State_STATE_RUNNING {
			out = append(out, in)
		}
	}
	return out
}

// Claimant returns the id of the intent that claims an object, or 0.
func (c *Catalog) Claimant(object string) uint64 { return c.intentByClaim[object] }

// Changes returns the recorded changes of a service, oldest first. Service 0 selects the changes of all services.
func (c *Catalog) Changes(service uint32) []*catalogpb.Change {
	if service == 0 {
		return slices.Clone(c.changes)
	}
	var out []*catalogpb.Change
	for _, ch := range c.changes {
		if ch.Service == service {
			out = append(out, ch)
		}
	}
	return out
}
