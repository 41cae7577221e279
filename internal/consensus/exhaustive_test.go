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

// search explores every order of a few events in a small group, up to depth steps after the first election. A state that
// several orders reach is explored once. The invariants of testGroup must hold in every state. From a sample of the states,
// all faults are repaired, and every acknowledged declaration must then still be in force.
type search struct {
	members    int
	depth      int
	proposals  int // proposed commands, which declare versions 1, 2, ...
	crashes    int // power losses, each followed by a restart
	diskLosses int // lost disks; the VM returns with a new identity
	isolations int // times that all links of a member are blocked until the end
	timeouts   int // times that the clock of a member advances past its election timeout
}

// event is one step of a schedule.
type event struct {
	kind string
	arg  int
}

// simulation is a group after a schedule of events.
type simulation struct {
	*testGroup
	budget         search // events that may still be used, by kind
	proposed       int
	acknowledged   map[uint64]uint64 // entry index of each acknowledged version
	unacknowledged map[uint64]proposal
	replaced       map[MemberID]MemberID // new identity of each member whose disk was lost
}

// proposal is a command that its proposer has not applied yet.
type proposal struct {
	proposer MemberID
	starts   uint64 // testMember.starts of the proposer at the time
	index    uint64
	term     uint64
}

func (s *search) initial() *simulation {
	g := newGroup(s.members)
	g.settle()
	w := &simulation{
		testGroup: g, budget: *s,
		acknowledged: map[uint64]uint64{}, unacknowledged: map[uint64]proposal{}, replaced: map[MemberID]MemberID{},
	}
	return w
}

func (s *search) replay(path []event) *simulation {
	w := s.initial()
	for _, e := range path {
		w.apply(e)
	}
	return w
}

// events returns the events that may follow. Identical messages are interchangeable, so only the first of them is included.
func (w *simulation) events() []event {
	var out []event
	seen := map[uint64]bool{}
	for i, m := range w.messages {
		if sum := digestOf(m); !seen[sum] {
			seen[sum] = true
			out = append(out, event{"deliver", i})
		}
	}
	for i, id := range w.ids {
		p := w.members[id]
		if p.core == nil {
			if w.replaced[id] == "" {
				out = append(out, event{"restart", i})
			}
			continue
		}
		if len(p.unsynced) > 0 {
			out = append(out, event{"sync", i})
		}
		if w.budget.crashes > 0 {
			out = append(out, event{"crash", i})
		}
		if w.budget.diskLosses > 0 {
			out = append(out, event{"lose disk", i})
		}
		if w.budget.isolations > 0 {
			out = append(out, event{"isolate", i})
		}
		if w.budget.timeouts > 0 {
			out = append(out, event{"election timeout", i})
		}
		if p.core.role == Leader {
			if w.budget.proposals > 0 {
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

// nextChange returns the next membership change by which the leader replaces a member that lost its disk, as package group
// does: it removes the old identity, adds the new one as a learner and promotes it.
func (w *simulation) nextChange(c *Core, old, fresh MemberID) (Change, bool) {
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

func (w *simulation) apply(e event) {
	if e.kind == "deliver" {
		w.deliver(e.arg)
		w.recordAcknowledged()
		return
	}
	id := w.ids[e.arg]
	p := w.members[id]
	switch e.kind {
	case "sync":
		w.sync(id)
	case "restart":
		w.start(id)
		w.collect(id)
	case "crash":
		w.budget.crashes--
		w.crash(id, 0)
	case "lose disk":
		w.budget.diskLosses--
		w.crash(id, 0)
		fresh := id + "x"
		w.replaced[id] = fresh
		w.add(fresh)
		w.start(fresh)
	case "isolate":
		w.budget.isolations--
		w.isolate(id, true, true)
	case "election timeout":
		w.budget.timeouts--
		p.clock = p.clock.Add(3 * testConfig.Election)
		p.core.Tick(p.clock)
		w.collect(id)
	case "propose":
		w.budget.proposals--
		w.proposed++
		version := uint64(w.proposed)
		index, term, err := p.core.Propose(p.clock, [][]byte{declared.Command(version, nil)})
		w.collect(id)
		if err == nil {
			w.unacknowledged[version] = proposal{proposer: id, starts: p.starts, index: index, term: term}
		}
	case "replace":
		for old, fresh := range w.replaced {
			if c, ok := w.nextChange(p.core, old, fresh); ok {
				_ = w.change(id, c) // the change may be refused
			}
		}
	}
	w.recordAcknowledged()
}

// recordAcknowledged moves the proposals that their proposers have applied to the acknowledged ones.
func (w *simulation) recordAcknowledged() {
	for version, pending := range w.unacknowledged {
		p := w.members[pending.proposer]
		if p.core == nil || p.starts != pending.starts || p.applied < pending.index {
			continue
		}
		delete(w.unacknowledged, version)
		if e, ok := w.committed[pending.index]; ok && e.Term == pending.term {
			w.acknowledged[version] = pending.index
		}
	}
}

// writeDigest hashes a value and everything it refers to, without addresses, so that equal states have equal digests.
func writeDigest(h hash.Hash64, v reflect.Value) {
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
		writeDigest(h, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			writeDigest(h, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		number(uint64(v.Len()))
		for i := range v.Len() {
			writeDigest(h, v.Index(i))
		}
	case reflect.Map:
		sum := uint64(v.Len())
		for entries := v.MapRange(); entries.Next(); {
			one := fnv.New64a()
			writeDigest(one, entries.Key())
			writeDigest(one, entries.Value())
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
		// Only settings, which are the same in all states, have these kinds.
	default:
		panic("no digest of " + v.Kind().String())
	}
}

func digestOf(values ...any) uint64 {
	h := fnv.New64a()
	for _, v := range values {
		writeDigest(h, reflect.ValueOf(v))
	}
	return h.Sum64()
}

// stateHash returns a hash of the state that does not depend on the order of the messages in transit.
func (w *simulation) stateHash() uint64 {
	sum := digestOf(w.budget.proposals, w.budget.crashes, w.budget.diskLosses, w.budget.isolations, w.budget.timeouts,
		w.blocked, w.replaced, w.acknowledged)
	for i, id := range w.ids {
		p := w.members[id]
		sum += digestOf(i, id, p.clock.Sub(w.now), p.disk, p.unsynced, p.applied, p.starts)
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

// extraDepth extends the search beyond that of CI; each step takes about five times as long as the one before.
var extraDepth = flag.Int("deeper", 0, "steps that TestEveryOrderOfAFewEvents takes beyond those of CI")

// recoveryCheckInterval is the number of states per recovery check, which one in this many states gets.
const recoveryCheckInterval = 16

// checkRecovery ends all faults after a schedule, once with all members and once with each member lost, and checks that
// every acknowledged declaration is in force.
func (s *search) checkRecovery(t *testing.T, path []event) {
	for lost := -1; lost < s.members; lost++ {
		w := s.replay(path)
		if lost >= 0 && len(w.replaced) > 0 {
			return // the member without its disk is already the one that is lost
		}
		w.messages = nil // the worst case: no message in transit arrives
		for i, id := range w.ids {
			if i == lost {
				w.crash(id, 0)
			} else if w.replaced[id] == "" {
				w.start(id)
			}
		}
		leader := w.settle()
		for range 6 {
			for old, fresh := range w.replaced {
				if c, ok := w.nextChange(w.members[leader].core, old, fresh); ok {
					_ = w.change(leader, c) // retried in the next iteration
					leader = w.settle()
				}
			}
		}
		if message := w.missingDeclaration(leader); message != "" || len(w.failures) > 0 {
			t.Errorf("after %v and the loss of member %d: %s %v", path, lost+1, message, w.failures)
			return
		}
	}
}

// missingDeclaration describes an acknowledged declaration that is not in force at the leader, or returns "".
func (w *simulation) missingDeclaration(leader MemberID) string {
	machine := declared.New(nil)
	for index := uint64(BootstrapIndex + 1); index <= w.members[leader].applied; index++ {
		if e := w.committed[index]; e.Kind == EntryCommand {
			machine.Apply(index, time.Time{}, e.Command)
		}
	}
	held, _ := machine.Latest()
	for version, index := range w.acknowledged {
		if held < version || index > w.members[leader].applied {
			return fmt.Sprintf("version %d was acknowledged at %d, and %d is in force at %d", version, index, held, w.members[leader].applied)
		}
	}
	return ""
}

// reachedState is a state and the schedule that leads to it.
type reachedState struct {
	hash uint64
	path []event
}

// successors returns the states after each event that may follow the schedule.
func (s *search) successors(t *testing.T, path []event) []reachedState {
	var out []reachedState
	for _, e := range s.replay(path).events() {
		longer := append(path[:len(path):len(path)], e)
		w := s.replay(longer)
		if len(w.failures) > 0 {
			t.Errorf("after %v: %v", longer, w.failures)
		}
		out = append(out, reachedState{w.stateHash(), longer})
	}
	return out
}

// run explores all states and returns their number and the number of recovery checks.
func (s *search) run(t *testing.T) (states, recoveries int) {
	seen := map[uint64]bool{}
	level := [][]event{nil}
	for range s.depth + *extraDepth {
		reached := make([][]reachedState, len(level))
		inParallel(len(level), func(i int) { reached[i] = s.successors(t, level[i]) })
		var next, checked [][]event
		for _, group := range reached {
			for _, f := range group {
				if seen[f.hash] {
					continue
				}
				seen[f.hash] = true
				next = append(next, f.path)
				if f.hash%recoveryCheckInterval == 0 {
					checked = append(checked, f.path)
				}
			}
		}
		inParallel(len(checked), func(i int) { s.checkRecovery(t, checked[i]) })
		recoveries += len(checked)
		level = next
	}
	return len(seen), recoveries
}

// inParallel calls do for each number below n, on as many goroutines as there are processors.
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

// Every order of a few declarations, power losses, lost disks, isolated members and election timeouts must leave one leader
// per term, one history and all acknowledged declarations. Random schedules (TestSchedules) are longer but do not cover
// every order.
func TestEveryOrderOfAFewEvents(t *testing.T) {
	for _, s := range []search{
		{members: 3, depth: 7, proposals: 2, crashes: 1, timeouts: 1},
		{members: 3, depth: 7, proposals: 1, diskLosses: 1, timeouts: 1},
		{members: 3, depth: 7, proposals: 2, isolations: 1, timeouts: 2},
		{members: 5, depth: 4, proposals: 2, crashes: 1, isolations: 1, timeouts: 1},
	} {
		t.Run(fmt.Sprintf("%d members, %d declarations, %d crashes, %d lost disks, %d isolations",
			s.members, s.proposals, s.crashes, s.diskLosses, s.isolations),
			func(t *testing.T) {
				states, recoveries := s.run(t)
				t.Logf("%d states, %d recovery checks", states, recoveries)
			})
	}
}
