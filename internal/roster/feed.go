package roster

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Constants of the feed.
const (
	// refreshPause is the least time between two looks at the store, which cost 0.1 us a record.
	refreshPause = 20 * time.Millisecond
	// silentReports is how many missed reports make a process silent for others. Reports to another control VM and the
	// exchange with that one take two intervals.
	silentReports = 3
	// mostMissed bounds the count of missed reports that is told: forwarding makes no difference beyond it.
	mostMissed = 10
	// tombstones is how long a removal is remembered; a process asks every Interval and is told everything after a pause.
	tombstones = 30 * time.Second
	// exactLoads is the number of records up to which every change of a load is told.
	exactLoads = 100
	// loadTolerance is the part of a load by which it has to change in larger rosters. Placement compares four upstreams; a
	// difference of an eighth between them is below the target for balance (1.10 of the mean) when loads are spread evenly.
	loadTolerance = 8
)

// Position names what a process has been told: a feed, and a number of changes of it. The zero value is nothing.
type Position struct {
	Feed   uint64
	Change uint64
}

// feed numbers the changes of a roster that matter to entries and agents, so that an answer holds only what is new to the
// process that asks. It is safe for concurrent use.
type feed struct {
	mu        sync.Mutex
	id        uint64
	change    uint64 // number of the last change
	floor     uint64 // removals up to this change are forgotten
	refreshed time.Time
	told      map[key]told
	removed   map[key]removal
}

// told is a record as it was told last.
type told struct {
	record Record
	missed int
	change uint64
}

type removal struct {
	change uint64
	at     time.Time
}

func newFeed() *feed {
	return &feed{id: rand.Uint64() | 1, told: map[key]told{}, removed: map[key]removal{}}
}

// news is what a process does not know yet.
type news struct {
	position Position
	whole    bool // records is the whole roster
	records  []Record
	removed  []key
}

// since returns the news after a position. list returns the roster.
func (f *feed) since(now time.Time, p Position, list func(time.Time) []Record) news {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refreshed.IsZero() || now.Sub(f.refreshed) >= refreshPause {
		f.refresh(now, list(now))
	}
	n := news{position: Position{f.id, f.change}, whole: p.Feed != f.id || p.Change < f.floor || p.Change > f.change}
	for _, t := range f.told {
		if n.whole || t.change > p.Change {
			n.records = append(n.records, t.record)
		}
	}
	if n.whole {
		return n
	}
	for k, r := range f.removed {
		if r.change > p.Change {
			n.removed = append(n.removed, k)
		}
	}
	return n
}

// refresh numbers what has changed in the roster. The caller holds mu.
func (f *feed) refresh(now time.Time, records []Record) {
	f.refreshed = now
	listed := make(map[key]struct{}, len(records))
	for _, r := range records {
		if r.Kind == KindEntry {
			continue // nobody looks up entries
		}
		r.Process, r.Sequence = 0, 0 // of use to control VMs only
		k := key{r.Kind, addressBits(r.Address)}
		listed[k] = struct{}{}
		old, known := f.told[k]
		missed := missedReports(r.Age)
		if known && missed == old.missed && !matters(old.record, r, len(records)) {
			continue
		}
		f.change++
		f.told[k] = told{r, missed, f.change}
		delete(f.removed, k)
	}
	for k := range f.told {
		if _, ok := listed[k]; !ok {
			f.change++
			delete(f.told, k)
			f.removed[k] = removal{f.change, now}
		}
	}
	for k, r := range f.removed {
		if now.Sub(r.at) > tombstones {
			f.floor = max(f.floor, r.change)
			delete(f.removed, k)
		}
	}
}

// missedReports returns how many reports a process has missed, 0 for one that is not silent.
func missedReports(age time.Duration) int {
	if n := int(age / Interval); n >= silentReports {
		return min(n, mostMissed)
	}
	return 0
}

// matters reports whether a record differs from what was told in a way that changes decisions. n is the size of the roster.
func matters(before, now Record, n int) bool {
	if load := int(now.Flows) - int(before.Flows); n <= exactLoads && load != 0 || max(load, -load) > tolerated(before.Flows) {
		return true
	}
	if load := int(now.Busy) - int(before.Busy); n <= exactLoads && load != 0 || max(load, -load) > tolerated(before.Busy) {
		return true
	}
	if (before.Warmup > 0) != (now.Warmup > 0) {
		return true
	}
	before.Flows, before.Busy, before.Age, before.Version, before.Warmup = now.Flows, now.Busy, now.Age, now.Version, now.Warmup
	return before != now
}

func tolerated(load uint32) int { return 1 + int(load)/loadTolerance }
