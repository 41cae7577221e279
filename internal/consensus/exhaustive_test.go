package consensus

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"reflect"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/plantainseam/plantainseam/internal/declared"
)

// search visits every order of a few events that a small group can meet, up to a number of steps after a leader is known.
// States that were reached in another order are visited once. In each state the invariants of group hold; from some, all
// faults are repaired and what was acknowledged must still be there.
type search struct {
	members int
	depth   int
	propose int // commands, versions 1, 2, ... of declarations
	crashes int // losses of power with restart
	wipes   int // lost disks; the VM comes back under another identity
	cuts    int // times that two members lose all others and each other's links to them, until the end
	expire  int // times that the clock of one member passes an election timeout
}

// event is one step of a schedule.
type event struct {
	kind string
	arg  int
}

// world is a group after a schedule.
type world struct {
	*group
	left     search // budgets that remain
	proposed int
	acked    map[uint64]uint64 // index by version, once committed at the member that proposed it
	waiting  map[uint64]proposal
	replaced map[MemberID]MemberID // new identity of a wiped member
}

// proposal is a command whose proposer has not committed it yet.
type proposal struct {
	by     MemberID
	starts uint64
	index  uint64
	term   uint64
}

func (s *search) root() *world {
	g := newGroup(s.members)
	g.settle()
	w := &world{
		group: g, left: *s, acked: map[uint64]uint64{}, waiting: map[uint64]proposal{}, replaced: map[MemberID]MemberID{},
	}
	return w
}

func (s *search) replay(path []event) *world {
	w := s.root()
	for _, e := range path {
		w.apply(e)
	}
	return w
}

// events returns what may happen next. Identical messages are interchangeable, so only the first of each kind is taken.
func (w *world) events() []event {
	var out []event
	known := map[uint64]bool{}
	for i, m := range w.messages {
		if sum := digestOf(m); !known[sum] {
			known[sum] = true
			out = append(out, event{"deliver", i})
		}
	}
	for i, id := range w.order {
		p := w.peers[id]
		if p.core == nil {
			if w.replaced[id] == "" {
				out = append(out, event{"restart", i})
			}
			continue
		}
		if len(p.unsynced) > 0 {
			out = append(out, event{"sync", i})
		}
		if w.left.crashes > 0 {
			out = append(out, event{"crash", i})
		}
		if w.left.wipes > 0 {
			out = append(out, event{"wipe", i})
		}
		if w.left.cuts > 0 {
			out = append(out, event{"cut", i})
		}
		if w.left.expire > 0 {
			out = append(out, event{"expire", i})
		}
		if p.core.role == Leader {
			if w.left.propose > 0 {
				out = append(out, event{"propose", i})
			}
			for old, fresh := range w.replaced {
				if c, ok := w.nextChange(p.core, old, fresh); ok && c.ID != "" {
					out = append(out, event{"replace", i})
				}
			}
		}
	}
	return out
}

// nextChange returns the next step by which the leader replaces a wiped member, as package group does: the old identity
// goes, the new one joins as a learner and is promoted.
func (w *world) nextChange(c *Core, old, fresh MemberID) (Change, bool) {
	membership := c.log.config().membership
	if _, ok := membership.Find(old); ok {
		return Change{Kind: Remove, ID: old}, true
	}
	member, ok := membership.Find(fresh)
	switch {
	case !ok:
		return Change{Kind: AddLearner, ID: fresh, Name: string(fresh)}, true
	case member.Learner:
		return Change{Kind: Promote, ID: fresh}, true
	}
	return Change{}, false
}

func (w *world) apply(e event) {
	if e.kind == "deliver" {
		w.deliver(e.arg)
		w.note()
		return
	}
	id := w.order[e.arg]
	p := w.peers[id]
	switch e.kind {
	case "sync":
		w.sync(id)
	case "restart":
		w.start(id)
		w.collect(id)
	case "crash":
		w.left.crashes--
		w.crash(id, 0)
	case "wipe":
		w.left.wipes--
		w.crash(id, 0)
		fresh := id + "x"
		w.replaced[id] = fresh
		w.add(fresh)
		w.start(fresh)
	case "cut":
		w.left.cuts--
		w.isolate(id, true, true)
	case "expire":
		w.left.expire--
		p.clock = p.clock.Add(3 * testConfig.Election)
		p.core.Tick(p.clock)
		w.collect(id)
	case "propose":
		w.left.propose--
		w.proposed++
		version := uint64(w.proposed)
		index, term, err := p.core.Propose(p.clock, [][]byte{declared.Command(version, nil)})
		w.collect(id)
		if err == nil {
			w.waiting[version] = proposal{by: id, starts: p.starts, index: index, term: term}
		}
	case "replace":
		for old, fresh := range w.replaced {
			if c, ok := w.nextChange(p.core, old, fresh); ok {
				_ = w.change(id, c) // a refusal is one of the outcomes
			}
		}
	}
	w.note()
}

// note records which proposals their proposers would acknowledge now.
func (w *world) note() {
	for version, waits := range w.waiting {
		p := w.peers[waits.by]
		if p.core == nil || p.starts != waits.starts || p.index < waits.index {
			continue
		}
		delete(w.waiting, version)
		if e, ok := w.committed[waits.index]; ok && e.Term == waits.term {
			w.acked[version] = waits.index
		}
	}
}

// digest adds a value with everything that it refers to, but no addresses, so that equal states give equal sums.
func digest(h hash.Hash64, v reflect.Value) {
	var b [8]byte
	number := func(n uint64) {
		binary.BigEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:])
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			number(0)
			return
		}
		digest(h, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			digest(h, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		number(uint64(v.Len()))
		for i := range v.Len() {
			digest(h, v.Index(i))
		}
	case reflect.Map:
		sum := uint64(v.Len())
		for entries := v.MapRange(); entries.Next(); {
			one := fnv.New64a()
			digest(one, entries.Key())
			digest(one, entries.Value())
			sum += one.Sum64()
		}
		number(sum)
	case reflect.String:
		number(uint64(v.Len()))
		_, _ = h.Write([]byte(v.String()))
	case reflect.Bool:
		if v.Bool() {
			number(1)
			return
		}
		number(0)
	case reflect.Int, reflect.Int64, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint, reflect.Int32:
		if v.CanInt() {
			number(uint64(v.Int()))
			return
		}
		number(v.Uint())
	case reflect.Func, reflect.Float64:
		// Settings only.
	default:
		panic("no digest of " + v.Kind().String())
	}
}

func digestOf(values ...any) uint64 {
	h := fnv.New64a()
	for _, v := range values {
		digest(h, reflect.ValueOf(v))
	}
	return h.Sum64()
}

// hash identifies the state. The order of messages under way does not matter.
func (w *world) hash() uint64 {
	sum := digestOf(w.left.propose, w.left.crashes, w.left.wipes, w.left.cuts, w.left.expire, w.cut, w.replaced, w.acked)
	for i, id := range w.order {
		p := w.peers[id]
		sum += digestOf(i, id, p.clock.Sub(w.now), p.disk, p.unsynced, p.index, p.starts)
		if p.core != nil {
			core := *p.core
			core.random = nil
			sum += digestOf(i, core)
		}
	}
	for _, m := range w.messages {
		sum += digestOf(m)
	}
	return sum
}

// deeper lets the search go further than in CI; each step takes about five times as long as the one before.
var deeper = flag.Int("deeper", 0, "steps that TestEveryOrderOfAFewEvents takes beyond those of CI")

// repairEvery is the share of states from which all faults are repaired: one in so many.
const repairEvery = 16

// repair ends all faults but the loss of one member, each in turn, and checks that everything acknowledged is in force.
func (s *search) repair(t *testing.T, path []event) {
	for lost := -1; lost < s.members; lost++ {
		w := s.replay(path)
		if lost >= 0 && len(w.replaced) > 0 {
			return // the wiped member is the loss
		}
		w.messages = nil // the worst case: none of those under way arrives
		for i, id := range w.order {
			if i == lost {
				w.crash(id, 0)
			} else if w.replaced[id] == "" {
				w.start(id)
			}
		}
		leader := w.settle()
		for range 6 {
			for old, fresh := range w.replaced {
				if c, ok := w.nextChange(w.peers[leader].core, old, fresh); ok {
					_ = w.change(leader, c) // tried again after the next settling
					leader = w.settle()
				}
			}
		}
		if message := w.missing(leader); message != "" || len(w.failures) > 0 {
			t.Errorf("after %v and the loss of member %d: %s %v", path, lost+1, message, w.failures)
			return
		}
	}
}

// missing names a declaration that was acknowledged and is not in force at the leader.
func (w *world) missing(leader MemberID) string {
	machine := declared.New(nil)
	for index := uint64(BootstrapIndex + 1); index <= w.peers[leader].index; index++ {
		if e := w.committed[index]; e.Kind == EntryCommand {
			machine.Apply(index, time.Time{}, e.Command)
		}
	}
	held, _ := machine.Latest()
	for version, index := range w.acked {
		if held < version || index > w.peers[leader].index {
			return fmt.Sprintf("version %d was acknowledged at %d, and %d is in force at %d", version, index, held, w.peers[leader].index)
		}
	}
	return ""
}

// found is a state that a level has reached.
type found struct {
	hash uint64
	path []event
}

// successors returns the states after each event that may follow a schedule.
func (s *search) successors(t *testing.T, path []event) []found {
	var out []found
	for _, e := range s.replay(path).events() {
		longer := append(path[:len(path):len(path)], e)
		w := s.replay(longer)
		if len(w.failures) > 0 {
			t.Errorf("after %v: %v", longer, w.failures)
		}
		out = append(out, found{w.hash(), longer})
	}
	return out
}

// run visits all states and returns their number and that of the repaired ones.
func (s *search) run(t *testing.T) (states, repaired int) {
	seen := map[uint64]bool{}
	level := [][]event{nil}
	for range s.depth + *deeper {
		reached := make([][]found, len(level))
		inParallel(len(level), func(i int) { reached[i] = s.successors(t, level[i]) })
		var next, repair [][]event
		for _, group := range reached {
			for _, f := range group {
				if seen[f.hash] {
					continue
				}
				seen[f.hash] = true
				next = append(next, f.path)
				if f.hash%repairEvery == 0 {
					repair = append(repair, f.path)
				}
			}
		}
		inParallel(len(repair), func(i int) { s.repair(t, repair[i]) })
		repaired += len(repair)
		level = next
	}
	return len(seen), repaired
}

func inParallel(n int, do func(i int)) {
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range n {
		group.Go(func() error {
			do(i)
			return nil
		})
	}
	_ = group.Wait() // do reports its failures to the test
}

// Every order of two declarations, losses of power, lost disks, cuts and elections in a small group must keep one leader a
// term, one history and what was acknowledged. Random schedules (TestSchedules) reach further but not everywhere.
func TestEveryOrderOfAFewEvents(t *testing.T) {
	for _, s := range []search{
		{members: 3, depth: 7, propose: 2, crashes: 1, expire: 1},
		{members: 3, depth: 7, propose: 1, wipes: 1, expire: 1},
		{members: 3, depth: 7, propose: 2, cuts: 1, expire: 2},
		{members: 5, depth: 4, propose: 2, crashes: 1, cuts: 1, expire: 1},
	} {
		t.Run(fmt.Sprintf("%d members, %d declarations, %d crashes, %d wipes, %d cuts", s.members, s.propose, s.crashes, s.wipes, s.cuts),
			func(t *testing.T) {
				states, repaired := s.run(t)
				t.Logf("%d states, %d repaired", states, repaired)
			})
	}
}
