package roster

import (
	"net/netip"
	"slices"
	"time"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// claims is what another control VM has told of the processes that report to it.
type claims struct {
	answered time.Time
	position Position         // of the last answer
	alive    map[key]struct{} // not silent
}

// heardAt returns when a process was heard last. A control VM that answers has heard those that report to it, unless it has
// called them silent. The caller holds mu.
func (s *Store) heardAt(k key, r kept) time.Time {
	at := r.heard
	for _, c := range s.claims {
		if _, alive := c.alive[k]; alive && c.answered.After(at) {
			at = c.answered
		}
	}
	return at
}

// Follow stores what the control VM at an address has answered.
func (s *Store) Follow(now time.Time, from netip.Addr, response *pb.ExchangeResponse) {
	records := fromWire(response.GetRecords())
	s.put(now, false, fromWire(response.GetOthers()))
	s.put(now, false, records)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.claims[addressBits(from)]
	if c == nil {
		c = &claims{alive: map[key]struct{}{}}
		s.claims[addressBits(from)] = c
	}
	if !response.GetPartial() {
		for k := range c.alive {
			s.withdraw(c, k, c.answered)
		}
	}
	for _, m := range response.GetRemoved() {
		s.withdraw(c, key{Kind(m.GetKind()), m.GetAddress()}, c.answered)
	}
	for _, r := range records {
		k := key{r.Kind, addressBits(r.Address)}
		if missedReports(r.Age) == 0 {
			c.alive[k] = struct{}{}
		} else {
			s.withdraw(c, k, now.Add(-r.Age))
		}
	}
	c.answered, c.position = now, Position{response.GetFeed(), response.GetPosition()}
	s.told = s.told || response.GetSettled()
}

// position returns what was told by the control VM at an address.
func (s *Store) position(of netip.Addr) Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.claims[addressBits(of)]; c != nil {
		return c.position
	}
	return Position{}
}

// withdraw ends the claim of a control VM that a process lives, which was heard last at the given time. The caller holds mu.
func (s *Store) withdraw(c *claims, k key, heard time.Time) {
	if _, claimed := c.alive[k]; !claimed {
		return
	}
	delete(c.alive, k)
	if r, ok := s.records[k]; ok && heard.After(r.heard) {
		r.heard = heard
		s.records[k] = r
	}
}

// reporting returns the records of the processes that report to this control VM, and whether the roster is settled with them
// and those that report to others. Their age does not depend on others, so
// that control VMs do not go on telling each other that a process lives.
func (s *Store) reporting(now time.Time) (records []Record, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled = s.settled(now)
	var out []Record
	for _, r := range s.list(now) {
		if k := s.records[key{r.Kind, addressBits(r.Address)}]; k.direct {
			r.Age, r.joined = now.Sub(k.heard), k.joined
			out = append(out, r)
		}
	}
	return out, settled
}

// elsewhere returns the records of processes that report to other control VMs: all, or those of the ones at the addresses.
func (s *Store) elsewhere(now time.Time, all bool, addresses []uint32) []Record {
	if !all && len(addresses) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.list(now), func(r Record) bool {
		k := key{r.Kind, addressBits(r.Address)}
		return !all && !s.claimed(k, addresses) || s.records[k].direct
	})
}

// claimed reports whether one of the control VMs at the addresses says that a process lives. The caller holds mu.
func (s *Store) claimed(k key, addresses []uint32) bool {
	return slices.ContainsFunc(addresses, func(a uint32) bool {
		c := s.claims[a]
		if c == nil {
			return false
		}
		_, alive := c.alive[k]
		return alive
	})
}
