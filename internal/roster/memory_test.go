package roster_test

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/roster"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// withUpstream is an agent whose upstream is in the state and was started as the incarnation.
func withUpstream(last byte, state roster.State, incarnation uint64) roster.Record {
	r := agent(last, 0)
	r.State, r.Incarnation = state, incarnation
	return r
}

// list gives a store the list of a control VM, as another control VM does.
func list(t *testing.T, store *roster.Store, control uint32, agents ...roster.Record) {
	remembered := &pb.Remembered{Control: control}
	for _, a := range agents {
		remembered.Agents = append(remembered.Agents, roster.ToWire(a))
	}
	server := roster.NewServer(store, declarations{7}, func() time.Time { return start })
	if _, err := server.Exchange(context.Background(), &pb.ExchangeRequest{Remembered: remembered}); err != nil {
		t.Fatal(err)
	}
}

// After a common loss of power a roster is complete as soon as everybody who was there before has reported. Taken for
// complete too early, flows that live would be reset; too late, callers wait for upstreams that are long back.
func TestRememberedAgentsSettleTheRoster(t *testing.T) {
	active, draining, vacant := roster.StateActive, roster.StateDraining, roster.StateVacant
	first, second := withUpstream(1, active, 11), withUpstream(2, active, 12)
	leaving := withUpstream(3, draining, 13)
	empty := withUpstream(4, vacant, 0)
	unheard := withUpstream(3, roster.StateNone, 0)
	anew1, anew2 := withUpstream(1, active, 21), withUpstream(2, active, 22)
	for _, c := range []struct {
		name     string
		lists    [][]roster.Record
		reported []roster.Record
		settled  bool
	}{
		{"all have reported", [][]roster.Record{{first, second}, {first, second}}, []roster.Record{first, second}, true},
		{"the list of a minority", [][]roster.Record{{first, second}}, []roster.Record{first, second}, false},
		{"one has not reported", [][]roster.Record{{first, second}, {first, second}}, []roster.Record{first}, false},
		{"one is known to one list only", [][]roster.Record{{first, second}, {first}}, []roster.Record{first}, false},
		{"one has not heard its upstream", [][]roster.Record{{first, second}, {first, second}},
			[]roster.Record{first, withUpstream(2, roster.StateNone, 0)}, false},
		{"one had no upstream", [][]roster.Record{{first, empty}, {first, empty}}, []roster.Record{first}, true},
		{"one was not known to have an upstream, and is not yet", [][]roster.Record{{first, unheard}, {first, unheard}},
			[]roster.Record{first, unheard}, false},
		{"lists without agents", [][]roster.Record{{}, {}}, []roster.Record{first}, false},
		{"a draining upstream is missing and the others went on", [][]roster.Record{{first, second, leaving}, {first, second, leaving}},
			[]roster.Record{first, second, unheard}, false},
		{"a draining upstream is missing and one other went on", [][]roster.Record{{first, second, leaving}, {first, second, leaving}},
			[]roster.Record{first, anew2, unheard}, false},
		{"a draining upstream is missing and all others are new", [][]roster.Record{{first, second, leaving}, {first, second, leaving}},
			[]roster.Record{anew1, anew2, unheard}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := roster.NewStore(start, func() int { return 2 })
			for i, l := range c.lists {
				list(t, store, uint32(i+1), l...)
			}
			store.Put(start, c.reported...)
			g.Expect(store.Settled(start.Add(10 * time.Millisecond))).To(gomega.Equal(c.settled))
		})
	}
}

// An agent whose upstream is gone swallows packets. After a common loss of power nobody should search one that was vacant
// or unknown before, nor one whose draining upstream went with all others; an agent that merely restarts must be asked.
// (Found on khuree-swatch-grown trouble-1: nine such agents were removed in silence and no caller was told for 6 s.)
func TestRememberedVacancy(t *testing.T) {
	g := gomega.NewWithT(t)
	store := roster.NewStore(start, func() int { return 1 })
	list(t, store, 1, withUpstream(1, roster.StateActive, 11), withUpstream(2, roster.StateActive, 12),
		withUpstream(3, roster.StateDraining, 13), withUpstream(4, roster.StateVacant, 0))
	store.Put(start, withUpstream(1, roster.StateActive, 21), withUpstream(2, roster.StateActive, 22),
		withUpstream(3, roster.StateNone, 0), withUpstream(4, roster.StateNone, 0), withUpstream(5, roster.StateNone, 0))
	states := func(after time.Duration) map[byte]roster.State {
		out := map[byte]roster.State{}
		for _, r := range store.List(start.Add(after)) {
			out[r.Address.As4()[3]] = r.State
		}
		return out
	}
	active, none, vacant := roster.StateActive, roster.StateNone, roster.StateVacant
	g.Expect(states(time.Millisecond)).To(gomega.Equal(map[byte]roster.State{1: active, 2: active, 3: none, 4: vacant, 5: none}))
	g.Expect(store.Settled(start)).To(gomega.BeTrue())
	settled := map[byte]roster.State{1: active, 2: active, 3: vacant, 4: vacant, 5: vacant}
	g.Expect(states(time.Second)).To(gomega.Equal(settled))
	g.Expect(states(5 * time.Second)).To(gomega.Equal(settled)) // they have been silent since

	// Agents that restart later may have an upstream that nobody knew.
	for last := byte(3); last <= 5; last++ {
		store.Put(start.Add(3*time.Second), withUpstream(last, roster.StateNone, 0))
	}
	g.Expect(states(4 * time.Second)).To(gomega.Equal(map[byte]roster.State{1: active, 2: active, 3: none, 4: none, 5: none}))
}

// The list must survive the process and must not be taken from a damaged file.
func TestMemoryFile(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	memory := func(store *roster.Store) *roster.Memory {
		return &roster.Memory{
			Directory: dir, Store: store, Self: netip.AddrFrom4([4]byte{10, 0, 0, 200}), Logger: log.NewNopLogger(),
		}
	}
	old := roster.NewStore(time.Now().Add(-time.Minute), noQuorum)
	old.Put(time.Now(), withUpstream(1, roster.StateActive, 11), withUpstream(2, roster.StateVacant, 0))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		memory(old).Run(ctx)
	}()
	path := filepath.Join(dir, "agents")
	g.Eventually(func() error { _, err := os.Stat(path); return err }, time.Minute, 10*time.Millisecond).Should(gomega.Succeed())
	cancel()
	<-done

	restarted := func() bool {
		store := roster.NewStore(start, func() int { return 1 })
		memory(store).Load()
		store.Put(start, withUpstream(1, roster.StateActive, 21))
		return store.Settled(start)
	}
	g.Expect(restarted()).To(gomega.BeTrue())
	whole, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	whole[len(whole)-1] ^= 1
	g.Expect(os.WriteFile(path, whole, 0o600)).To(gomega.Succeed())
	g.Expect(restarted()).To(gomega.BeFalse())
}

// A roster that may lack agents must not replace the list: after the next loss of power nobody would wait for the rest.
func TestIncompleteRosterIsNotWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	store := roster.NewStore(time.Now().Add(time.Hour), noQuorum)
	store.Put(time.Now(), agent(1, 0))
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	(&roster.Memory{Directory: dir, Store: store, Self: netip.AddrFrom4([4]byte{10, 0, 0, 200}), Logger: log.NewNopLogger()}).Run(ctx)
	g.Expect(filepath.Glob(filepath.Join(dir, "*"))).To(gomega.BeEmpty())
}

// Once one control VM knows all live processes, those that it tells know them too. (Found on seomra-iarratas-grown trouble-1:
// three control VMs had settled rosters after 0.3 s and gave no list any more, so the other two waited for 1.2 s, and half of
// the agents with them.) A control VM that does not hear its leader may be cut off and lack processes.
func TestSettledRosterSettlesOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	exchange := func(current bool) *roster.Store {
		whole := roster.NewStore(start.Add(-time.Minute), noQuorum)
		whole.Put(start, withUpstream(1, roster.StateActive, 11), withUpstream(2, roster.StateActive, 12))
		d := &switchable{}
		d.current.Store(current)
		response, err := roster.NewServer(whole, d, func() time.Time { return start }).Exchange(t.Context(), &pb.ExchangeRequest{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		store := roster.NewStore(start, noQuorum)
		store.Follow(start, netip.AddrFrom4([4]byte{10, 0, 0, 200}), response)
		return store
	}
	told := exchange(true)
	g.Expect(told.Settled(start)).To(gomega.BeTrue())
	g.Expect(told.List(start)).To(gomega.HaveLen(2))
	g.Expect(exchange(false).Settled(start)).To(gomega.BeFalse())
}

// An upstream that failed requests before a loss of power may hold flows afterwards. Taken for vacant because another list
// says so, it would not be waited for, and its flows would be reset.
func TestRememberedFailingAgentIsActive(t *testing.T) {
	g := gomega.NewWithT(t)
	first, failing, gone := withUpstream(1, roster.StateActive, 11), withUpstream(2, roster.StateFailing, 12), withUpstream(2, roster.StateVacant, 0)
	now := start
	store := roster.NewStore(start, func() int { return 2 })
	list(t, store, 1, first, failing)
	list(t, store, 2, first, gone)
	store.Put(now, first)
	g.Expect(store.Settled(now)).To(gomega.BeFalse())
	store.Put(now, withUpstream(2, roster.StateActive, 12))
	g.Expect(store.Settled(now)).To(gomega.BeTrue())
}

// A failing upstream takes new flows where no other can, so placement has to know it.
func TestFailingAgentIsAPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	peers := roster.Peers([]roster.Record{withUpstream(1, roster.StateFailing, 11), withUpstream(2, roster.StateActive, 12)})
	g.Expect(peers).To(gomega.HaveLen(2))
	g.Expect(peers[0].Active && peers[0].Failing).To(gomega.BeTrue())
	g.Expect(peers[1].Active && !peers[1].Failing).To(gomega.BeTrue())
}
