package roster

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// rememberedInterval is the time between two calls to a control VM that is in no list any more.
	rememberedInterval = 2 * time.Second
	// maxRemembered bounds those control VMs. A group has at most 7 members.
	maxRemembered = 16
)

// Contacts decides which control VMs a control VM calls. The invariant: two control VMs that have heard of each other, or of one
// that both can reach, call each other again after any length of silence, whatever seeds their settings named at the start. So a
// control VM calls those in its roster, the members of its group and the seeds in every round, and the others that it has called
// before from time to time. It is not safe for concurrent use.
type Contacts struct {
	self       netip.AddrPort
	remembered map[netip.AddrPort]contact
}

// contact is a control VM that was listed before.
type contact struct {
	listedAt time.Time
	calledAt time.Time
}

// NewContacts returns the contacts of the control VM at the given address.
func NewContacts(self netip.AddrPort) *Contacts {
	return &Contacts{self: self, remembered: map[netip.AddrPort]contact{}}
}

// Due returns the control VMs to call now: all in the lists, and those of earlier lists whose turn it is.
func (c *Contacts) Due(now time.Time, lists ...[]netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, at := range slices.Concat(lists...) {
		if at == c.self || !at.IsValid() || slices.Contains(out, at) {
			continue
		}
		out = append(out, at)
		c.remembered[at] = contact{now, now}
	}
	listed := len(out)
	for at, known := range c.remembered {
		if now.Sub(known.calledAt) >= rememberedInterval {
			c.remembered[at] = contact{known.listedAt, now}
			out = append(out, at)
		}
	}
	c.forget(listed)
	return out
}

// All returns the control VMs in the lists and those of earlier lists.
func (c *Contacts) All(lists ...[]netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, at := range slices.Concat(lists...) {
		if at != c.self && at.IsValid() && !slices.Contains(out, at) {
			out = append(out, at)
		}
	}
	for at := range c.remembered {
		if !slices.Contains(out, at) {
			out = append(out, at)
		}
	}
	return out
}

// forget removes the control VMs that have been in no list for longest, so that at most maxRemembered remain beside the listed
// ones.
func (c *Contacts) forget(listed int) {
	for len(c.remembered) > listed+maxRemembered {
		var oldest netip.AddrPort
		for at, known := range c.remembered {
			if !oldest.IsValid() || known.listedAt.Before(c.remembered[oldest].listedAt) {
				oldest = at
			}
		}
		delete(c.remembered, oldest)
	}
}
