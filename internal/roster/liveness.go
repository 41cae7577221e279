package roster

import (
	"net/netip"
	"slices"
	"time"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// peerLiveness holds the processes that another control VM reports as alive.
type peerLiveness struct {
	answeredAt time.Time
	position   Position         // feed position of its last response
	alive      map[key]struct{} // processes that report to it and are not silent
}

// lastHeard returns when any control VM last heard a process. A response from a control VM counts as a report from every
// process in its alive set, since its feed lists a process that falls silent. The caller holds mu.
func (s *Store) lastHeard(k key, r storedRecord) time.Time {
	at := r.heardAt
	for _, c := range s.peers {
		if _, alive := c.alive[k]; alive && c.answeredAt.After(at) {
			at = c.answeredAt
		}
	}
	return at
}

// ApplyExchange stores the records and the liveness in a response from the control VM at the given address.
func (s *Store) ApplyExchange(now time.Time, from netip.Addr, response *pb.ExchangeResponse) {
	records := fromWire(response.GetRecords())
	s.put(now, false, fromWire(response.GetOthers()))
	s.put(now, false, records)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.peers[addressBits(from)]
	if c == nil {
		c = &peerLiveness{alive: map[key]struct{}{}}
		s.peers[addressBits(from)] = c
	}
	if !response.GetPartial() {
		for k := range c.alive {
			s.removeAlive(c, k, c.answeredAt)
		}
	}
	for _, m := range response.GetRemoved() {
		s.removeAlive(c, key{Kind(m.GetKind()), m.GetAddress()}, c.answeredAt)
	}
	for _, r := range records {
		k := key{r.Kind, addressBits(r.Address)}
		if missedReports(r.Age) == 0 {
			c.alive[k] = struct{}{}
		} else {
			s.removeAlive(c, k, now.Add(-r.Age))
		}
	}
	c.answeredAt, c.position = now, Position{response.GetFeed(), response.GetPosition()}
	if response.GetSettled() && s.collecting(now) {
		s.settledByPeer = true
		s.completeness.noteComplete(now)
	}
	s.completeness.noteAnswer(now, from, response.GetSettled())
}

// peerPosition returns the feed position of the last response from a control VM, or the zero value if there is none.
func (s *Store) peerPosition(of netip.Addr) Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.peers[addressBits(of)]; c != nil {
		return c.position
	}
	return Position{}
}

// removeAlive removes a process, last heard at the given time, from the alive set of a control VM. The caller holds mu.
func (s *Store) removeAlive(c *peerLiveness, k key, heard time.Time) {
	if _, claimed := c.alive[k]; !claimed {
		return
	}
	delete(c.alive, k)
	if r, ok := s.records[k]; ok && heard.After(r.heardAt) {
		r.heardAt = heard
		s.records[k] = r
	}
}

// directRecords returns the records of the processes that report to this control VM, and whether the roster is settled. The
// ages ignore what other control VMs report: otherwise two control VMs could keep a dead process alive for each other.
func (s *Store) directRecords(now time.Time) (records []Record, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled = s.settled(now)
	var out []Record
	for _, r := range s.list(now) {
		if k := s.records[key{r.Kind, addressBits(r.Address)}]; k.direct {
			r.Age, r.firstSequence = now.Sub(k.heardAt), k.firstSequence
			out = append(out, r)
		}
	}
	return out, settled
}

// indirectRecords returns records of processes that do not report to this control VM: all of them, or only those that the
// control VMs at the given addresses reported as alive.
func (s *Store) indirectRecords(now time.Time, all bool, addresses []uint32) []Record {
	if !all && len(addresses) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.list(now), func(r Record) bool {
		k := key{r.Kind, addressBits(r.Address)}
		return !all && !s.aliveAtAny(k, addresses) || s.records[k].direct
	})
}

// aliveAtAny reports whether any of the control VMs at the addresses reported a process as alive. The caller holds mu.
func (s *Store) aliveAtAny(k key, addresses []uint32) bool {
	return slices.ContainsFunc(addresses, func(a uint32) bool {
		c := s.peers[a]
		if c == nil {
			return false
		}
		_, alive := c.alive[k]
		return alive
	})
}
