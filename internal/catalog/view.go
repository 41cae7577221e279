package catalog

import (
	"slices"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// The values that the methods of this file return belong to the catalog: callers read them and copy what they keep
// beyond the next Apply.

// Revision returns the newest configuration revision.
func (c *Catalog) Revision() model.Revision { return model.Revision(c.revision) }

// Index returns the last applied log index.
func (c *Catalog) Index() uint64 { return c.index }

// Service returns an open service by name, or nil.
func (c *Catalog) Service(name string) *catalogpb.Service { return c.services[c.byName[name]] }

// ServiceByID returns a service, also a closed one, or nil.
func (c *Catalog) ServiceByID(id uint32) *catalogpb.Service { return c.services[id] }

// LatestService returns the newest service that has or had the name, closed or not, or nil.
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

// FrontendHolder returns the open service with a frontend address, or nil.
func (c *Catalog) FrontendHolder(address string) *catalogpb.Service {
	return c.services[c.byFrontend[address]]
}

// ServicesOf returns the open services that a host may carry, by ascending id.
func (c *Catalog) ServicesOf(host string) []*catalogpb.Service {
	var out []*catalogpb.Service
	for _, id := range c.rightsOf[host] {
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

// Intents returns the intents by ascending id; with openOnly those that have not ended.
func (c *Catalog) Intents(openOnly bool) []*intentpb.Intent {
	var out []*intentpb.Intent
	for _, id := range sortedKeys(c.intents) {
		if in := c.intents[id]; !openOnly || !finished(in.State) {
			out = append(out, in)
		}
	}
	return out
}

// Running returns the intents whose plan is being carried out, by ascending id.
func (c *Catalog) Running() []*intentpb.Intent {
	ids := map[uint64]bool{}
	for _, id := range c.claims {
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

// Claimant returns the intent that claims an object, or 0.
func (c *Catalog) Claimant(object string) uint64 { return c.claims[object] }

// Changes returns the recorded changes of a service, oldest first; 0 returns all.
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
