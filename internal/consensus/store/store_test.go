package store_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/store"
	"github.com/plantainseam/plantainseam/internal/result"
)

// memory is an in-memory consensus.Store.
type memory struct{ state consensus.State }

func (m *memory) Load() (consensus.State, error) { return m.state, nil }

func (m *memory) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard != nil {
		m.state.Hard = *hard
	}
	if len(entries) == 0 {
		return nil
	}
	var kept []consensus.Entry
	for _, e := range m.state.Entries {
		if e.Index < entries[0].Index {
			kept = append(kept, e)
		}
	}
	m.state.Entries = append(kept, entries...)
	return nil
}

func (m *memory) Compact(s consensus.Snapshot, firstKept uint64) error {
	m.state.Snapshot = s
	for len(m.state.Entries) > 0 && m.state.Entries[0].Index < firstKept {
		m.state.Entries = m.state.Entries[1:]
	}
	return nil
}

func (m *memory) Reset(s consensus.Snapshot) error {
	m.state.Snapshot, m.state.Entries = s, nil
	return nil
}

func (m *memory) Close() error { return nil }

// reopenableStore is a store under test with a function that reopens it, as after a restart.
type reopenableStore struct {
	consensus.Store
	reopen func() consensus.Store
}

func memoryStore(*testing.T) reopenableStore {
	m := &memory{}
	return reopenableStore{m, func() consensus.Store { return m }}
}

func durableStore(t *testing.T) reopenableStore {
	path := create(t)
	l, closeLog := open(t, path)
	t.Cleanup(func() { closeLog() })
	return reopenableStore{l, func() consensus.Store {
		closeLog()
		l, closeLog = open(t, path)
		return l
	}}
}

func create(t testing.TB) string {
	path := filepath.Join(t.TempDir(), "data")
	_, err := store.Create(path, "control-1", "catalog", "bindings")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return path
}

// open opens the log "catalog" and loads it.
func open(t testing.TB, path string) (consensus.Store, func()) {
	g := NewWithT(t)
	d, err := store.Open(path, "")
	g.Expect(err).NotTo(HaveOccurred())
	l, err := d.Log("catalog")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = l.Load()
	g.Expect(err).NotTo(HaveOccurred())
	return l, func() {
		_ = l.Close()
		_ = d.Close()
	}
}

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Time: int64(index), Kind: consensus.EntryCommand, Command: fmt.Appendf(nil, "command %d.%d", term, index)}
}

func entries(first, last, term uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := first; i <= last; i++ {
		out = append(out, entry(i, term))
	}
	return out
}

func snapshot(index, term uint64) consensus.Snapshot {
	s := consensus.Bootstrap([]consensus.Member{{ID: "a", Name: "a", Address: "127.0.0.1:1"}, {ID: "b", Learner: true}})
	s.Index, s.Term, s.Time, s.Data = index, term, int64(index), []byte("state")
	return s
}

// contract lists the requirements on every Store. In each case, a restart must not lose, add or reorder state.
var contract = []struct {
	name string
	run  func(g *WithT, s consensus.Store)
	want consensus.State
}{
	{"blank", func(*WithT, consensus.Store) {}, consensus.State{}},
	{"last hard state is kept", func(g *WithT, s consensus.Store) {
		g.Expect(s.Append(&consensus.HardState{Term: 1, Vote: "a"}, nil)).To(Succeed())
		g.Expect(s.Append(&consensus.HardState{Term: 2, Vote: "b"}, nil)).To(Succeed())
	}, consensus.State{Hard: consensus.HardState{Term: 2, Vote: "b"}}},
	{"entries after a received snapshot", func(g *WithT, s consensus.Store) {
		g.Expect(s.Append(nil, entries(1, 3, 1))).To(Succeed())
		g.Expect(s.Reset(snapshot(9, 2))).To(Succeed())
		g.Expect(s.Append(nil, entries(10, 11, 2))).To(Succeed())
	}, consensus.State{Snapshot: snapshot(9, 2), Entries: entries(10, 11, 2)}},
	{"entries of a later term replace the last ones", func(g *WithT, s consensus.Store) {
		g.Expect(s.Append(nil, entries(1, 6, 1))).To(Succeed())
		g.Expect(s.Append(nil, entries(4, 5, 2))).To(Succeed())
	}, consensus.State{Entries: append(entries(1, 3, 1), entries(4, 5, 2)...)}},
	{"all entries replaced", func(g *WithT, s consensus.Store) {
		g.Expect(s.Append(nil, entries(1, 6, 1))).To(Succeed())
		g.Expect(s.Append(nil, entries(1, 1, 2))).To(Succeed())
	}, consensus.State{Entries: entries(1, 1, 2)}},
	{"received snapshot removes longer entries, and a membership entry keeps its members", func(g *WithT, s consensus.Store) {
		g.Expect(s.Append(&consensus.HardState{Term: 3}, entries(1, 20, 1))).To(Succeed())
		g.Expect(s.Reset(snapshot(9, 2))).To(Succeed())
		g.Expect(s.Append(nil, []consensus.Entry{memberEntry()})).To(Succeed())
	}, consensus.State{Hard: consensus.HardState{Term: 3}, Snapshot: snapshot(9, 2), Entries: []consensus.Entry{memberEntry()}}},
}

func memberEntry() consensus.Entry {
	m := snapshot(1, 1).Membership
	return consensus.Entry{Index: 10, Term: 2, Kind: consensus.EntryMembership, Membership: &m}
}

func TestContract(t *testing.T) {
	for kind, newStore := range map[string]func(*testing.T) reopenableStore{"memory": memoryStore, "durable": durableStore} {
		for _, c := range contract {
			t.Run(kind+"/"+c.name, func(t *testing.T) {
				g := NewWithT(t)
				s := newStore(t)
				c.run(g, s)
				for range 2 {
					got, err := s.reopen().Load()
					g.Expect(err).NotTo(HaveOccurred())
					for i := range got.Entries {
						if len(got.Entries[i].Command) == 0 {
							got.Entries[i].Command = nil
						}
					}
					g.Expect(got).To(BeEquivalentTo(c.want))
				}
			})
		}
	}
}

// Compaction must remove segments, so that the log does not grow without bound, and must keep the entries after the
// snapshot.
func TestCompactionRemovesSegments(t *testing.T) {
	g := NewWithT(t)
	path := create(t)
	l, closeLog := open(t, path)
	big := make([]byte, 1<<20)
	for i := uint64(1); i <= 40; i++ {
		e := entry(i, 1)
		e.Command = big
		g.Expect(l.Append(nil, []consensus.Entry{e})).To(Succeed())
	}
	g.Expect(l.Compact(snapshot(35, 1), 30)).To(Succeed())
	closeLog()
	files, err := filepath.Glob(filepath.Join(path, "catalog", "*.log"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(files)).To(BeNumerically("<", 5))
	l, closeLog = open(t, path)
	defer closeLog()
	state, err := l.Load()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(state.Snapshot).To(Equal(snapshot(35, 1)))
	g.Expect(state.Entries[0].Index).To(BeNumerically("<=", 30))
	g.Expect(state.Entries[len(state.Entries)-1].Index).To(Equal(uint64(40)))
}

// damageCases are changes to the files of a log with a snapshot at index 1 and the entries 2 to 4.
var damageCases = []struct {
	name string
	run  func(g *WithT, log string)
	code result.Code // OK if the log is loaded without its last entry
}{
	{"last record torn in its payload", func(g *WithT, log string) { truncateTail(g, newestFile(g, log, "*.log"), 5) }, result.OK},
	{"last record torn in its header", func(g *WithT, log string) {
		truncateTail(g, newestFile(g, log, "*.log"), entryRecordSize-7)
	}, result.OK},
	{"last record torn to one byte", func(g *WithT, log string) {
		truncateTail(g, newestFile(g, log, "*.log"), entryRecordSize-1)
	}, result.OK},
	{"bit flipped in the last payload", func(g *WithT, log string) { flipBit(g, newestFile(g, log, "*.log"), 3) }, result.StoreCorrupt},
	{"bit flipped in the last length", func(g *WithT, log string) {
		flipBit(g, newestFile(g, log, "*.log"), entryRecordSize-5)
	}, result.StoreCorrupt},
	{"bit flipped in an earlier record", func(g *WithT, log string) {
		flipBit(g, newestFile(g, log, "*.log"), 2*entryRecordSize+3)
	}, result.StoreCorrupt},
	{"zeros after the last record", func(g *WithT, log string) {
		f, err := os.OpenFile(newestFile(g, log, "*.log"), os.O_WRONLY|os.O_APPEND, 0o600)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = f.Write(make([]byte, 64))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.Close()).To(Succeed())
	}, result.StoreCorrupt},
	{"empty segment", func(g *WithT, log string) { g.Expect(os.Truncate(newestFile(g, log, "*.log"), 0)).To(Succeed()) }, result.StoreCorrupt},
	{"segment missing", func(g *WithT, log string) { g.Expect(os.Remove(newestFile(g, log, "*.log"))).To(Succeed()) }, result.StoreCorrupt},
	{"log directory missing", func(g *WithT, log string) { g.Expect(os.RemoveAll(log)).To(Succeed()) }, result.StoreCorrupt},
	{"snapshot damaged", func(g *WithT, log string) { flipBit(g, newestFile(g, log, "*.snapshot"), 2) }, result.StoreCorrupt},
	{"snapshot cut off", func(g *WithT, log string) { truncateTail(g, newestFile(g, log, "*.snapshot"), 1) }, result.StoreCorrupt},
	{"snapshot missing", func(g *WithT, log string) { g.Expect(os.Remove(newestFile(g, log, "*.snapshot"))).To(Succeed()) }, result.StoreCorrupt},
	{"identity damaged", func(g *WithT, log string) { flipBit(g, filepath.Join(filepath.Dir(log), "identity"), 30) }, result.StoreCorrupt},
	{"identity missing", func(g *WithT, log string) {
		g.Expect(os.Remove(filepath.Join(filepath.Dir(log), "identity"))).To(Succeed())
	}, result.StoreIdentity},
	{"log of another identity", func(g *WithT, log string) {
		other := filepath.Join(filepath.Dir(log), "other")
		_, err := store.Create(other, "control-1", "catalog")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.RemoveAll(log)).To(Succeed())
		g.Expect(os.Rename(filepath.Join(other, "catalog"), log)).To(Succeed())
	}, result.StoreIdentity},
}

// entryRecordSize is the size in bytes of each entry record in damageCases: 16 bytes of header and 21 of payload.
const entryRecordSize = 37

func newestFile(g *WithT, dir, pattern string) string {
	files, err := filepath.Glob(filepath.Join(dir, pattern))
	g.Expect(err).NotTo(HaveOccurred())
	return files[len(files)-1]
}

func truncateTail(g *WithT, path string, bytes int64) {
	info, err := os.Stat(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.Truncate(path, info.Size()-bytes)).To(Succeed())
}

// flipBit inverts one bit of the byte at the given distance from the end of the file, where 1 is the last byte.
func flipBit(g *WithT, path string, fromEnd int) {
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	data[len(data)-fromEnd] ^= 4
	g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
}

// Damaged files must be refused, but an incomplete last record must not keep a member from starting.
func TestDamage(t *testing.T) {
	for _, c := range damageCases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			path := create(t)
			l, closeLog := open(t, path)
			g.Expect(l.Reset(snapshot(1, 1))).To(Succeed())
			for i := uint64(2); i <= 4; i++ {
				g.Expect(l.Append(nil, []consensus.Entry{entry(i, 1)})).To(Succeed())
			}
			closeLog()
			c.run(g, filepath.Join(path, "catalog"))

			state, err := load(path)
			g.Expect(result.CodeOf(err)).To(Equal(c.code), "%v", err)
			if c.code != result.OK {
				return
			}
			g.Expect(state.Torn).NotTo(BeEmpty())
			g.Expect(state.Entries).To(Equal(entries(2, 3, 1)))
			state, err = load(path)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(state.Torn).To(BeEmpty())
		})
	}
}

func load(path string) (consensus.State, error) {
	d, err := store.Open(path, "")
	if err != nil {
		return consensus.State{}, err
	}
	defer d.Close()
	l, err := d.Log("catalog")
	if err != nil {
		return consensus.State{}, err
	}
	defer l.Close()
	return l.Load()
}

// A crash between storing a received snapshot and removing the entries that it replaces must leave a log that loads.
func TestCrashDuringReset(t *testing.T) {
	for name, old := range map[string][]consensus.Entry{"shorter log": entries(1, 5, 1), "contradicting log": entries(1, 30, 1)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			path := create(t)
			l, closeLog := open(t, path)
			g.Expect(l.Append(nil, old)).To(Succeed())
			log := filepath.Join(path, "catalog")
			segment, err := os.ReadFile(newestFile(g, log, "*.log"))
			g.Expect(err).NotTo(HaveOccurred())
			before := newestFile(g, log, "*.log")
			g.Expect(l.Reset(snapshot(9, 2))).To(Succeed())
			closeLog()
			g.Expect(os.Remove(newestFile(g, log, "*.log"))).To(Succeed())
			g.Expect(os.WriteFile(before, segment, 0o600)).To(Succeed())

			l, closeLog = open(t, path)
			g.Expect(l.Append(nil, entries(10, 12, 2))).To(Succeed())
			closeLog()
			state, err := load(path)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(state.Entries).To(Equal(entries(10, 12, 2)))
			g.Expect(state.Snapshot).To(Equal(snapshot(9, 2)))
		})
	}
}

// A member must not vote again after its disk was lost: a new directory has another identity, and a blank one is refused.
func TestIdentity(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "data")
	first, err := store.Create(path, "control-1", "catalog")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = store.Create(path, "control-1", "catalog")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreIdentity))

	d, err := store.Open(path, first.ID)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = store.Open(path, first.ID)
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreIdentity), "a second process must not use the directory")
	_, err = d.Log("unknown")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreIdentity))
	g.Expect(d.Close()).To(Succeed())

	g.Expect(os.RemoveAll(path)).To(Succeed())
	_, err = store.Open(path, first.ID)
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreIdentity))
	second, err := store.Create(path, "control-1", "catalog")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.ID).NotTo(Equal(first.ID))
	_, err = store.Open(path, first.ID)
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreIdentity))
}

// The store must refuse writes after a failed one, because the content of the file is then unknown.
func TestNoWriteAfterFailure(t *testing.T) {
	g := NewWithT(t)
	path := create(t)
	l, closeLog := open(t, path)
	defer closeLog()
	g.Expect(os.RemoveAll(filepath.Join(path, "catalog"))).To(Succeed())
	g.Expect(result.CodeOf(l.Reset(snapshot(5, 1)))).To(Equal(result.StoreWriteFailed))
	g.Expect(result.CodeOf(l.Append(nil, entries(6, 6, 1)))).To(Equal(result.StoreWriteFailed))
}
