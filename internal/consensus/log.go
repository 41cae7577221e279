package consensus

import "github.com/plantainseam/plantainseam/internal/result"

// position identifies an entry. Two logs with an entry at the same position are equal up to it.
type position struct {
	index uint64
	term  uint64
}

// memberConfig is a membership and the index of the entry or snapshot that holds it.
type memberConfig struct {
	index      uint64
	membership Membership
}

// memLog is the part of the log in memory: the entries after base, the last snapshot, and the indexes up to which entries
// were submitted for storage, synced, committed and applied. Invariants: base.index <= snapshot.Index,
// applied <= commit <= last and stable <= submitted <= last.
type memLog struct {
	base      position // position of the entry before entries[0]
	entries   []Entry
	snapshot  Snapshot
	submitted uint64 // last entry passed to the adapter for storage
	stable    uint64 // last entry known to be synced
	commit    uint64
	applying  uint64 // last entry passed to the adapter for application
	applied   uint64
	configs   []memberConfig // by ascending index; the last one is in force
}

func newMemLog(s State) (*memLog, error) {
	l := &memLog{snapshot: s.Snapshot, base: position{s.Snapshot.Index, s.Snapshot.Term}}
	entries := s.Entries
	if len(entries) > 0 && entries[0].Index <= s.Snapshot.Index {
		// The term before the first entry is unknown, so the first entry becomes the base.
		l.base = position{entries[0].Index, entries[0].Term}
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Index != l.base.index+1 {
		return nil, result.Errorf(result.StoreCorrupt, "entries begin at %d after base %d", entries[0].Index, l.base.index)
	}
	l.entries = entries
	if l.last() < s.Snapshot.Index {
		return nil, result.Errorf(result.StoreCorrupt, "entries end at %d before snapshot %d", l.last(), s.Snapshot.Index)
	}
	l.applying, l.applied = s.Snapshot.Index, s.Snapshot.Index
	l.commit = max(s.Snapshot.Index, min(s.Hard.Commit, l.last()))
	l.submitted, l.stable = l.last(), l.last()
	l.configs = []memberConfig{{s.Snapshot.Index, s.Snapshot.Membership}}
	for _, e := range l.entries {
		if e.Index > s.Snapshot.Index {
			l.addConfig(e)
		}
	}
	return l, nil
}

func (l *memLog) last() uint64 { return l.base.index + uint64(len(l.entries)) }

func (l *memLog) lastPosition() position {
	term, _ := l.term(l.last())
	return position{l.last(), term}
}

// term returns the term of an entry that is in memory or is the base.
func (l *memLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.index:
		return l.base.term, true
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.base.index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base.index-1].Term, true
}

// matches reports whether the log is known to hold the entry at p.
func (l *memLog) matches(p position) bool {
	term, ok := l.term(p.index)
	return ok && term == p.term
}

// lastTime returns the time of the last entry.
func (l *memLog) lastTime() int64 {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Time
	}
	return l.snapshot.Time
}

// slice returns the entries from first to last, both included, cut off at limit bytes but with at least one entry.
func (l *memLog) slice(first, last uint64, limit int) []Entry {
	if first <= l.base.index || first > last {
		return nil
	}
	selected := l.entries[first-l.base.index-1 : last-l.base.index]
	size := 0
	for i, e := range selected {
		size += e.Size()
		if i > 0 && size > limit {
			return selected[:i:i]
		}
	}
	return selected[:len(selected):len(selected)]
}

func (l *memLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.addConfig(e)
}

func (l *memLog) addConfig(e Entry) {
	if e.Kind == EntryMembership && e.Membership != nil {
		l.configs = append(l.configs, memberConfig{e.Index, *e.Membership})
	}
}

// truncate removes the entries from index first on. first must be greater than commit.
func (l *memLog) truncate(first uint64) {
	kept := first - l.base.index - 1
	// Copies: the goroutine that stores the removed entries may still read them, so later appends must not overwrite them.
	l.entries = append([]Entry(nil), l.entries[:kept]...)
	l.submitted = min(l.submitted, first-1)
	l.stable = min(l.stable, first-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= first {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// install replaces the log by a received snapshot.
func (l *memLog) install(s Snapshot) {
	*l = memLog{
		base:      position{s.Index, s.Term},
		snapshot:  s,
		submitted: s.Index,
		stable:    s.Index,
		commit:    s.Index,
		applying:  s.Index,
		applied:   l.applied,
		configs:   []memberConfig{{s.Index, s.Membership}},
	}
}

// compact records a snapshot and drops the entries before firstKept.
func (l *memLog) compact(s Snapshot, firstKept uint64) {
	l.snapshot = s
	for len(l.configs) > 1 && l.configs[1].index <= s.Index {
		l.configs = l.configs[1:]
	}
	if firstKept <= l.base.index+1 {
		return
	}
	term, _ := l.term(firstKept - 1)
	dropped := firstKept - 1 - l.base.index
	l.entries = append([]Entry(nil), l.entries[dropped:]...)
	l.base = position{firstKept - 1, term}
}

func (l *memLog) config() memberConfig { return l.configs[len(l.configs)-1] }

// configAt returns the membership in force after the entry at index.
func (l *memLog) configAt(index uint64) Membership {
	membership := l.configs[0].membership
	for _, c := range l.configs {
		if c.index <= index {
			membership = c.membership
		}
	}
	return membership
}

// timeAt returns the time of an entry in memory.
func (l *memLog) timeAt(index uint64) int64 {
	if index <= l.base.index {
		return l.snapshot.Time
	}
	return l.entries[index-l.base.index-1].Time
}
