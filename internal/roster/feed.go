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

// feed numbers the changes of a roster that matter to entries and agents, or to other control VMs, so that an answer holds
// only what is new to the process that asks. It is safe for concurrent use.
type feed struct {
	controls bool // for other control VMs

	mu        sync.Mutex
	id        uint64
	change    uint64 // number of the last change
	floor     uint64 // removals up to this change are forgotten
	refreshed time.Time
	settled   bool // the roster was settled at that time
	told      map[key]told
	removed   map[key]removal
}

// told is a record as it was told last.
type told struct {
	record Record
	missed int
	change uint64
	at     time.Time
}

// sameSilence reports whether a process has not been heard since the record was told, or is not silent now and then.
func (t told) sameSilence(now time.Time, missed int, age time.Duration) bool {
	if missed == 0 || t.missed != missed {
		return missed == t.missed
	}
	return now.Add(-age).Sub(t.at.Add(-t.record.Age)) < refreshPause
}

type removal struct {
	change uint64
	at     time.Time
}

func newFeed(controls bool) *feed {
	return &feed{controls: controls, id: rand.Uint64() | 1, told: map[key]told{}, removed: map[key]removal{}}
}

// news is what a process does not know yet.
type news struct {
	position Position
	whole    bool // records is the whole roster
	settled  bool // with the news, the process knows all live processes
	records  []Record
	removed  []key
}

// listing returns the records of a feed, and whether the roster is settled with them.
type listing func(now time.Time) (records []Record, settled bool)

// since returns the news after a position.
func (f *feed) since(now time.Time, p Position, list listing) news {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refreshed.IsZero() || now.Sub(f.refreshed) >= refreshPause {
		records, settled := list(now)
		f.refresh(now, records)
		f.settled = settled
	}
	n := news{position: Position{f.id, f.change}, settled: f.settled, whole: p.Feed != f.id || p.Change < f.floor || p.Change > f.change}
	for _, t := range f.told {
		if n.whole || t.change > p.Change {
			if t.missed > 0 {
				t.record.Age += now.Sub(t.at)
			}
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
		if !f.controls {
			if r.Kind == KindEntry {
				continue // nobody looks up entries
			}
			r.Process, r.Sequence = 0, 0 // of use to control VMs only
		}
		k := key{r.Kind, addressBits(r.Address)}
		listed[k] = struct{}{}
		old, known := f.told[k]
		missed := missedReports(r.Age)
		if known && old.sameSilence(now, missed, r.Age) && !f.matters(old.record, r, len(records)) {
			continue
		}
		f.change++
		f.told[k] = told{r, missed, f.change, now}
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
// Versions matter to control VMs only.
func (f *feed) matters(before, now Record, n int) bool {
	if loadMatters(before.Flows, now.Flows, n) || loadMatters(before.Busy, now.Busy, n) {
		return true
	}
	if (before.Warmup > 0) != (now.Warmup > 0) {
		return true
	}
	before.Flows, before.Busy, before.Age, before.Warmup = now.Flows, now.Busy, now.Age, now.Warmup
	before.Sequence = now.Sequence
	if !f.controls {
		before.Version = now.Version
	}
	return before != now
}

func loadMatters(before, now uint32, n int) bool {
	change := max(before, now) - min(before, now)
	return change > 0 && (n <= exactLoads || change > tolerated(before))
}

func tolerated(load uint32) uint32 { return 1 + load/loadTolerance }
