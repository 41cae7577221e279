package roster

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

type noDeclarations struct{}

func (noDeclarations) Latest() (uint64, []byte) { return 0, nil }
func (noDeclarations) Current() bool            { return true }

func feedAgent(i int, flows uint32) Record {
	return Record{
		Kind: KindAgent, Address: netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), TunnelPort: 8000,
		FailureDomain: "d", Service: "s", State: StateActive, Slots: 3, Flows: flows, Incarnation: uint64(i),
	}
}

// A process that receives only changes must end with the same roster as one that receives all records: the same processes,
// states and silent processes, and loads within the tolerance. Responses may get lost, and the process may pause for long.
func TestReplicaFollowsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		store := NewStore(now, func() int { return 0 })
		server := NewServer(store, noDeclarations{}, func() time.Time { return now })
		var r replica
		agents := rapid.IntRange(1, 6).Draw(t, "agents")
		many := rapid.Bool().Draw(t, "many")
		if many { // beyond exactLoads
			for i := 1000; i < 1000+exactLoadRecords; i++ {
				store.Put(now, feedAgent(i, 1))
			}
		}
		ask := func(lost bool) {
			response, err := server.Sync(context.Background(), &pb.SyncRequest{Feed: r.position.Feed, Position: r.position.Change})
			if err != nil {
				t.Fatal(err)
			}
			if !lost {
				r.apply(now, response)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{10, 50, 400, 1300, 5000, 40000}).Draw(t, "pause")) * time.Millisecond)
			for i := range agents {
				switch rapid.IntRange(0, 3).Draw(t, "report") {
				case 0:
					continue // silent
				case 1:
					a := feedAgent(i, uint32(rapid.IntRange(0, 50).Draw(t, "flows")))
					a.State = State(rapid.IntRange(0, 3).Draw(t, "state"))
					a.Warmup = time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second
					store.Put(now, a)
				default:
					store.Put(now, feedAgent(i, 7))
				}
			}
			ask(rapid.Bool().Draw(t, "lost"))
		}
		now = now.Add(minRefreshInterval)
		ask(false)
		want := map[netip.Addr]Record{}
		for _, w := range store.List(now) {
			want[w.Address] = w
		}
		got := r.list(now)
		if len(got) != len(want) {
			t.Fatalf("%d records, want %d", len(got), len(want))
		}
		for _, g := range got {
			w := want[g.Address]
			if g.State != w.State || g.Service != w.Service || g.Leaving != w.Leaving || (g.Warmup > 0) != (w.Warmup > 0) ||
				min(missedReports(g.Age), maxMissedReports) != missedReports(w.Age) {
				t.Fatalf("got %+v, want %+v", g, w)
			}
			if off := max(g.Flows, w.Flows) - min(g.Flows, w.Flows); off > 0 && (len(want) <= exactLoadRecords || off > loadThreshold(g.Flows)) {
				t.Fatalf("%d records: got %d flows, want %d", len(want), g.Flows, w.Flows)
			}
		}
	})
}

// A process whose position is older than the retained tombstones must get the whole roster. Otherwise it would keep agents
// that were removed long ago.
func TestLongPauseGetsTheWholeRoster(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := newFeed(false)
	list := func(agents ...int) listRecords {
		return func(time.Time) ([]Record, bool) {
			var out []Record
			for _, i := range agents {
				out = append(out, feedAgent(i, 1))
			}
			return out, true
		}
	}
	first := f.changesSince(now, Position{}, list(1, 2))
	if !first.full || len(first.records) != 2 {
		t.Fatalf("first answer: %+v", first)
	}
	now = now.Add(time.Second)
	if n := f.changesSince(now, first.position, list(1)); n.full || len(n.records) != 0 || len(n.removed) != 1 {
		t.Fatalf("after a removal: %+v", n)
	}
	now = now.Add(2 * tombstoneRetention)
	if n := f.changesSince(now, first.position, list(1)); !n.full || len(n.records) != 1 {
		t.Fatalf("after a long pause: %+v", n)
	}
}

// A response may call the roster settled only if it contains all records. Otherwise the process takes the flows of the missing
// agents for lost and resets them: with soak seed 327, all processes were killed, and an agent whose settled roster held only
// itself reset a flow of another upstream.
func TestCompleteRosterHoldsAllRecords(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := NewStore(now, func() int { return 1 })
	store.remember(netip.AddrFrom4([4]byte{10, 0, 0, 200}), []*pb.Record{ToWire(feedAgent(1, 0)), ToWire(feedAgent(2, 0))}, true)
	server := NewServer(store, noDeclarations{}, func() time.Time { return now })
	settled := 0
	for range 5 {
		for i := 1; i <= 2; i++ {
			now = now.Add(minRefreshInterval / 4)
			response, err := server.Sync(context.Background(), &pb.SyncRequest{Self: ToWire(feedAgent(i, 0))})
			if err != nil {
				t.Fatal(err)
			}
			exchanged, err := server.Exchange(context.Background(), &pb.ExchangeRequest{Unsettled: true})
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range []struct {
				settled bool
				records int
			}{
				{response.GetSettled(), len(response.GetRecords())},
				{exchanged.GetSettled(), len(exchanged.GetRecords()) + len(exchanged.GetOthers())},
			} {
				if a.settled && a.records < 2 {
					t.Fatalf("a roster with %d of 2 records is called settled", a.records)
				}
				if a.settled {
					settled++
				}
			}
		}
	}
	if settled == 0 {
		t.Fatal("the roster was never called settled")
	}
}

// BenchmarkRosterAnswer measures the cost of one Sync call at a control VM at the target size of docs/CAPACITY.md: 5,900
// agents with 1,070 flows each, of which 7 begin and 7 end a second, and one report of each process per Interval.
func BenchmarkRosterAnswer(b *testing.B) {
	const agents, flows, change = 5900, 1070, 3
	now := time.Unix(1_000_000, 0)
	store := NewStore(now.Add(-time.Minute), func() int { return 0 })
	server := NewServer(store, noDeclarations{}, func() time.Time { return now })
	loads := make([]uint32, agents)
	for i := range agents {
		loads[i] = flows
		store.Put(now, feedAgent(i, flows))
	}
	var r replica
	bytes, answers, at := 0, 0, 0
	b.ResetTimer()
	for range b.N {
		// Between two calls of the same process every agent reports once.
		for range agents / 100 {
			now = now.Add(Interval / (agents / 100))
			for range 100 {
				at = (at + 1) % agents
				loads[at] += uint32(answers+at)%(2*change+1) - change
				store.Put(now, feedAgent(at, loads[at]))
			}
		}
		response, err := server.Sync(context.Background(), &pb.SyncRequest{Feed: r.position.Feed, Position: r.position.Change})
		if err != nil {
			b.Fatal(err)
		}
		r.apply(now, response)
		if answers++; answers > 1 {
			bytes += proto.Size(response)
		}
	}
	if answers > 1 {
		b.ReportMetric(float64(bytes)/float64(answers-1)/Interval.Seconds(), "B/s/process")
	}
	b.ReportMetric(float64(proto.Size(&pb.SyncResponse{Records: wireRecords(store.List(now))}))/Interval.Seconds(), "B/s/process-whole")
}
