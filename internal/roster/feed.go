package roster

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Constants of the feed.
const (
	// minRefreshInterval is the minimum time between two scans of the store. A scan costs 0.1 us a record.
	minRefreshInterval = 20 * time.Millisecond
	// silentReports is the number of missed reports after which a process counts as silent. Reports to another control VM
	// take up to two intervals to arrive here: one for the report and one for the exchange.
	silentReports = 3
	// maxMissedReports caps the published count of missed reports: forwarding does not distinguish higher counts.
	maxMissedReports = 10
	// tombstoneRetention is how long a removal is kept. A process that asks every Interval sees all of them; one that paused
	// for longer gets the whole roster.
	tombstoneRetention = 30 * time.Second
	// exactLoadRecords is the roster size up to which every change of a load is published.
	exactLoadRecords = 100
	// loadToleranceDivisor is the divisor of a load that gives the change to be exceeded in larger rosters. Placement
	// compares four upstreams; a difference of an eighth between them is below the target for balance (1.10 of the mean)
	// when loads are spread evenly.
	loadToleranceDivisor = 8
)

// Position identifies the last change that a client has received from a feed. The zero value stands for none.
type Position struct {
	Feed   uint64
	Change uint64
}

// feed numbers the changes of a roster that are relevant to entries and agents, or to other control VMs, so that a response
// contains only changes that the client has not received. It is safe for concurrent use.
type feed struct {
	forControls bool // clients are other control VMs instead of entries and agents

	mu        sync.Mutex
	id        uint64
	change    uint64 // number of the last change
	floor     uint64 // tombstones up to this change have been dropped
	refreshed time.Time
	settled   bool // whether the roster was settled at the last refresh
	published map[key]publishedRecord
	removed   map[key]removal
}

// publishedRecord is a record as last published.
type publishedRecord struct {
	record Record
	missed int
	change uint64
	at     time.Time
}

// sameSilence reports whether the published silence of a process still holds: it is not silent now and was not then, or it
// has missed the same number of reports and has not been heard since.
func (t publishedRecord) sameSilence(now time.Time, missed int, age time.Duration) bool {
	if missed == 0 || t.missed != missed {
		return missed == t.missed
	}
	return now.Add(-age).Sub(t.at.Add(-t.record.Age)) < minRefreshInterval
}

type removal struct {
	change uint64
	at     time.Time
}

func newFeed(controls bool) *feed {
	return &feed{forControls: controls, id: rand.Uint64() | 1, published: map[key]publishedRecord{}, removed: map[key]removal{}}
}

// delta is the content of a response: the changes since the position of a client.
type delta struct {
	position Position
	full     bool // records contains the whole roster
	settled  bool // with this delta, the client knows all live processes
	records  []Record
	removed  []key
}

// listRecords returns the records for a feed and whether the roster is settled.
type listRecords func(now time.Time) (records []Record, settled bool)

// changesSince returns the changes after a position, or the whole roster if the position is too old or of another feed.
func (f *feed) changesSince(now time.Time, p Position, list listRecords) delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refreshed.IsZero() || now.Sub(f.refreshed) >= minRefreshInterval {
		records, settled := list(now)
		f.refresh(now, records)
		f.settled = settled
	}
	n := delta{position: Position{f.id, f.change}, settled: f.settled, full: p.Feed != f.id || p.Change < f.floor || p.Change > f.change}
	for _, t := range f.published {
		if n.full || t.change > p.Change {
			if t.missed > 0 {
				t.record.Age += now.Sub(t.at)
			}
			n.records = append(n.records, t.record)
		}
	}
	if n.full {
		return n
	}
	for k, r := range f.removed {
		if r.change > p.Change {
			n.removed = append(n.removed, k)
		}
	}
	return n
}

// refresh assigns change numbers to the differences between records and the published state. The caller holds mu.
func (f *feed) refresh(now time.Time, records []Record) {
	f.refreshed = now
	listed := make(map[key]struct{}, len(records))
	for _, r := range records {
		if !f.forControls {
			if r.Kind == KindEntry {
				continue // entries and agents do not use the records of entries
			}
			r.Process, r.Sequence = 0, 0 // only control VMs use them
		}
		k := key{r.Kind, addressBits(r.Address)}
		listed[k] = struct{}{}
		old, known := f.published[k]
		missed := missedReports(r.Age)
		if known && old.sameSilence(now, missed, r.Age) && !f.significant(old.record, r, len(records)) {
			continue
		}
		f.change++
		f.published[k] = publishedRecord{r, missed, f.change, now}
		delete(f.removed, k)
	}
	for k := range f.published {
		if _, ok := listed[k]; !ok {
			f.change++
			delete(f.published, k)
			f.removed[k] = removal{f.change, now}
		}
	}
	for k, r := range f.removed {
		if now.Sub(r.at) > tombstoneRetention {
			f.floor = max(f.floor, r.change)
			delete(f.removed, k)
		}
	}
}

// missedReports returns the number of reports that a process of the given age has missed, capped at maxMissedReports, or 0
// if it is not silent.
func missedReports(age time.Duration) int {
	if n := int(age / Interval); n >= silentReports {
		return min(n, maxMissedReports)
	}
	return 0
}

// significant reports whether a record differs from the published one in a way that changes decisions of the clients. n is
// the size of the roster. Only control VMs use versions.
func (f *feed) significant(before, now Record, n int) bool {
	if loadSignificant(before.Flows, now.Flows, n) || loadSignificant(before.Busy, now.Busy, n) {
		return true
	}
	if (before.Warmup > 0) != (now.Warmup > 0) {
		return true
	}
	before.Flows, before.Busy, before.Age, before.Warmup = now.Flows, now.Busy, now.Age, now.Warmup
	before.Sequence = now.Sequence
	if !f.forControls {
		before.Version = now.Version
	}
	return before != now
}

// loadSignificant reports whether a change of a load is published in a roster of n records.
func loadSignificant(before, now uint32, n int) bool {
	change := max(before, now) - min(before, now)
	return change > 0 && (n <= exactLoadRecords || change > loadThreshold(before))
}

// loadThreshold returns the largest change of a load that large rosters do not publish.
func loadThreshold(load uint32) uint32 { return 1 + load/loadToleranceDivisor }
