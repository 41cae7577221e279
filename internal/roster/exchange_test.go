package roster

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// exchangeCluster simulates control VMs that fetch changes from each other.
type exchangeCluster struct {
	now     time.Time
	stores  []*Store
	servers []*Server
	cut     map[[2]int]bool
}

func address(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 9, 0, byte(i + 1)}) }

func newExchangeCluster(n int) *exchangeCluster {
	x := &exchangeCluster{now: time.Unix(1_000_000, 0), cut: map[[2]int]bool{}}
	for i := range n {
		x.stores, x.servers = append(x.stores, nil), append(x.servers, nil)
		x.restart(i)
	}
	return x
}

func (x *exchangeCluster) restart(i int) {
	x.stores[i] = NewStore(x.now, func() int { return 0 })
	x.servers[i] = NewServer(x.stores[i], noDeclarations{}, func() time.Time { return x.now })
}

// ask simulates an Exchange call of control VM i to j. If lost is set, the response does not arrive.
func (x *exchangeCluster) ask(i, j int, lost bool) {
	if i == j || x.cut[[2]int{i, j}] || x.cut[[2]int{j, i}] {
		return
	}
	p := x.stores[i].peerPosition(address(j))
	request := &pb.ExchangeRequest{Feed: p.Feed, Position: p.Change}
	for k := range x.stores {
		if x.cut[[2]int{i, k}] || x.cut[[2]int{k, i}] {
			request.Unreached = append(request.Unreached, addressBits(address(k)))
		}
	}
	response, err := x.servers[j].Exchange(context.Background(), request)
	if err != nil {
		panic(err)
	}
	if lost {
		return
	}
	x.stores[i].ApplyExchange(x.now, address(j), response)
}

// process simulates a process that reports to the control VM with index home.
type process struct {
	record Record
	home   int
}

func (p *process) report(x *exchangeCluster) {
	p.record.Sequence++
	x.stores[p.home].Put(x.now, p.record)
}

// Control VMs that exchange only changes must end with the same records as if each process reported to all of them: the live
// processes, their states and loads, and the silent ones. Responses get lost, control VMs restart, processes fall silent,
// restart and switch control VMs, and two control VMs lose contact while a third one reaches both.
func TestControlVMsFollowEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const controls = 3
		x := newExchangeCluster(controls)
		processes := make([]*process, 5)
		for i := range processes {
			processes[i] = &process{record: feedAgent(i, 0), home: i % controls}
			processes[i].record.Process = uint64(i + 1)
		}
		silent := map[int]bool{}
		round := func(t *rapid.T, lossy bool) {
			x.now = x.now.Add(Interval)
			for i, p := range processes {
				if !silent[i] {
					p.report(x)
				}
			}
			for i := range controls {
				for j := range controls {
					x.ask(i, j, lossy && rapid.Bool().Draw(t, "lost"))
				}
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			i := rapid.IntRange(0, len(processes)-1).Draw(t, "process")
			p := processes[i]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				p.home = (p.home + 1) % controls
			case 1:
				p.record.State = State(rapid.IntRange(0, 3).Draw(t, "state"))
			case 2:
				p.record.Flows = uint32(rapid.IntRange(0, 20).Draw(t, "flows"))
			case 3:
				silent[i] = !silent[i]
			case 4:
				p.record.Process, p.record.Sequence = p.record.Process+100, 0
			case 5:
				x.restart(rapid.IntRange(0, controls-1).Draw(t, "control"))
			case 6:
				x.cut = map[[2]int]bool{{0, 1}: len(x.cut) == 0}
			}
			for range rapid.IntRange(0, 4).Draw(t, "rounds") {
				round(t, true)
			}
		}
		// Enough rounds for silent processes to expire everywhere and for live ones to be known everywhere.
		for range int(2*expiry/Interval) + silentReports {
			round(t, false)
		}
		for c, s := range x.stores {
			got := map[netip.Addr]Record{}
			for _, r := range s.List(x.now) {
				got[r.Address] = r
			}
			for i, p := range processes {
				r, known := got[p.record.Address]
				if known == silent[i] {
					t.Fatalf("control VM %d: process %d known %t, silent %t", c, i, known, silent[i])
				}
				if silent[i] {
					continue
				}
				if r.State != p.record.State || missedReports(r.Age) > 0 {
					t.Fatalf("control VM %d has %+v, process %d is %+v", c, r, i, p.record)
				}
				if r.Flows != p.record.Flows {
					t.Fatalf("control VM %d has %d flows of process %d, want %d", c, r.Flows, i, p.record.Flows)
				}
			}
		}
	})
}

// A process that falls silent must count as silent at every control VM at most one exchange later than at the control VM it
// reports to.
func TestSilenceIsToldToOthers(t *testing.T) {
	x := newExchangeCluster(2)
	p := &process{record: feedAgent(1, 3)}
	p.record.Process = 1
	recordAge := func() time.Duration {
		for _, r := range x.stores[1].List(x.now) {
			return r.Age
		}
		return expiry
	}
	for range 20 {
		p.report(x)
		x.ask(1, 0, false)
		x.now = x.now.Add(Interval)
	}
	if age := recordAge(); missedReports(age) > 0 {
		t.Fatalf("record of a live process has age %v", age)
	}
	for i := range 8 {
		x.now = x.now.Add(Interval)
		x.ask(1, 0, false)
		if missed := i + 2; missed > silentReports && missedReports(recordAge()) < silentReports {
			t.Fatalf("after %d missed reports the record has age %v", missed, recordAge())
		}
	}
}

// A process without a control VM in use sends the same report to all, so two control VMs may both have it as reporting to
// them. They must not keep it alive for each other once it is gone, and must not lose it while it reports to one of them.
func TestReportToSeveralControlVMs(t *testing.T) {
	for _, c := range []struct {
		name  string
		lives bool
	}{{"then gone", false}, {"then to one", true}} {
		t.Run(c.name, func(t *testing.T) {
			x := newExchangeCluster(2)
			p := &process{record: feedAgent(1, 3)}
			p.record.Process, p.record.Sequence = 1, 1
			for _, s := range x.stores {
				s.Put(x.now, p.record)
			}
			for range int(3 * expiry / Interval) {
				x.ask(0, 1, false)
				x.ask(1, 0, false)
				x.now = x.now.Add(Interval)
				if c.lives {
					p.report(x)
				}
			}
			for i, s := range x.stores {
				records := s.List(x.now)
				if lives := len(records) == 1 && missedReports(records[0].Age) == 0; lives != c.lives {
					t.Fatalf("control VM %d: %+v, lives %t", i, records, c.lives)
				}
			}
		})
	}
}

// BenchmarkExchange measures one exchange between two control VMs at the target size: a seventh of 5,900 agents report to the
// called control VM, with 1,070 flows each, of which 7 begin and 7 end a second.
func BenchmarkExchange(b *testing.B) {
	for _, agents := range []int{300, 5900} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			const controls, flows = 7, 1070
			x := newExchangeCluster(2)
			loads := make([]uint32, agents)
			for i := range agents {
				loads[i] = flows
				x.stores[i%controls%2].Put(x.now, feedAgent(i, flows))
			}
			x.ask(0, 1, false)
			bytes := 0
			b.ResetTimer()
			for n := range b.N {
				x.now = x.now.Add(exchangePeriod)
				for i := range agents {
					if i%controls != 1 {
						continue
					}
					loads[i] += uint32((i+n)%7) - 3
					x.stores[1].Put(x.now, feedAgent(i, loads[i]))
				}
				p := x.stores[0].peerPosition(address(1))
				response, err := x.servers[1].Exchange(b.Context(), &pb.ExchangeRequest{Feed: p.Feed, Position: p.Change})
				if err != nil {
					b.Fatal(err)
				}
				bytes += proto.Size(response)
				x.stores[0].ApplyExchange(x.now, address(1), response)
			}
			b.ReportMetric(float64(bytes)/float64(b.N)/exchangePeriod.Seconds(), "B/s")
		})
	}
}
