package roster

import (
	"sync"
	"time"
)

// Times of the store.
const (
	// Interval is the time between two reports of a process. Five missed reports (2 s) exclude an upstream from new flows.
	Interval = 400 * time.Millisecond
	// expiry is how long a silent process is kept. It covers a freeze of several seconds, during which its flows must not
	// be taken for lost.
	expiry = 12 * time.Second
	// leavingExpiry is how long a process that stops without an upstream is kept, so that the news reaches all control VMs.
	leavingExpiry = 3 * time.Second
	// settling is how long a new store collects before it is taken for complete: a process reports within Interval, or
	// callTimeout later if its control VM does not answer, and every process passes on what it knows of the others.
	settling = 1200 * time.Millisecond
	// quietAfter is how long no unknown process may have reported before new flows are placed by the store: processes that
	// start together report within a few retries (retryInterval) of each other. Flows placed earlier would crowd the first.
	quietAfter = 250 * time.Millisecond
)

type key struct {
	kind    Kind
	address uint32
}

type kept struct {
	record Record
	heard  time.Time
}

// Store holds the records that a control VM knows. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	records map[key]kept
	started time.Time
	grown   time.Time // when an unknown agent reported last
}

// NewStore returns an empty store.
func NewStore(now time.Time) *Store {
	return &Store{records: map[key]kept{}, started: now, grown: now}
}

// Put stores records. The one that was heard last holds.
func (s *Store) Put(now time.Time, records ...Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		k := key{r.Kind, addressBits(r.Address)}
		heard := now.Add(-r.Age)
		old, ok := s.records[k]
		if ok && old.heard.After(heard) {
			continue
		}
		if !ok && r.Kind == KindAgent {
			s.grown = now
		}
		s.records[k] = kept{r, heard}
	}
}

// List returns all records that have not expired.
func (s *Store) List(now time.Time) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(s.records))
	for k, v := range s.records {
		age := now.Sub(v.heard)
		if age > expiry || v.record.Leaving && v.record.State == StateVacant && age > leavingExpiry {
			delete(s.records, k)
			continue
		}
		v.record.Age = age
		out = append(out, v.record)
	}
	return out
}

// Settled reports whether the store has collected for long enough to know every live process.
func (s *Store) Settled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.started) >= settling
}

// Quiet reports whether no unknown agent has reported for a while, or the store is settled.
func (s *Store) Quiet(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.grown) >= quietAfter || now.Sub(s.started) >= settling
}
