package flow_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/standin/flownet"
)

// soloMachine returns a machine that is the only member of a service.
func soloMachine(tb testing.TB, maxFlows int) flow.Machine {
	n := flownet.New(tb, 1, "h1")
	n.Change(func(s *model.Snapshot, _ *model.Service) {
		s.Upstreams["h1"] = &model.Upstream{Ref: n.Agents["h1"].Ref, Slots: 3, MaxConnections: maxFlows}
	})
	n.ApplyAll()
	return n.Agents["h1"].Machine
}

func benchKey(i int) model.FlowKey {
	addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return model.FlowKey{Service: flownet.ServiceID, Caller: netip.AddrPortFrom(addr, uint16(1024+i%50000))}
}

// establish opens n flows.
func establish(tb testing.TB, m flow.Machine, n int) {
	var out []flow.Action
	for i := range n {
		p := flow.Packet{Key: benchKey(i), Flags: flow.FlagSYN, Generation: 1}
		if out = m.Packet(flownet.Start, p, out[:0]); out[0].Kind != flow.ActionDeliver {
			tb.Fatalf("flow %d: action %d, code %s", i, out[0].Kind, out[0].Code)
		}
		m.Established(p.Key)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// bytesPerFlow measures the heap that n owned flows need. Small tables are measured together, because the heap changes
// by a few kilobytes for other reasons.
func bytesPerFlow(tb testing.TB, n int) float64 {
	machines := make([]flow.Machine, max(1, 100000/n))
	for i := range machines {
		machines[i] = soloMachine(tb, n)
	}
	before := heapInUse()
	for _, m := range machines {
		establish(tb, m, n)
	}
	after := heapInUse()
	runtime.KeepAlive(machines)
	return float64(after-before) / float64(n*len(machines))
}

// BenchmarkFlowTable reports the memory and the packet cost of owned and of redirected flows.
func BenchmarkFlowTable(b *testing.B) {
	small := bytesPerFlow(b, 1000)
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			perFlow := bytesPerFlow(b, n)
			m := soloMachine(b, n)
			establish(b, m, n)
			benchPackets(b, m, n)
			b.ReportMetric(perFlow, "B/flow")
			if n == 100000 {
				b.ReportMetric(perFlow/small, "growth")
			}
		})
	}
	b.Run("redirects=100000", func(b *testing.B) {
		before := heapInUse()
		m, n := redirecting(b, 100000)
		after := heapInUse()
		benchPackets(b, m, n)
		b.ReportMetric(float64(after-before)/float64(n), "B/flow")
	})
}

// benchPackets reports the cost of a packet of one of the first n flows.
func benchPackets(b *testing.B, m flow.Machine, n int) {
	packets := make([]flow.Packet, 1024)
	for i := range packets {
		packets[i] = flow.Packet{Key: benchKey(i * 7919 % n), Generation: 1}
	}
	out := make([]flow.Action, 0, 4)
	const batch = 1 << 17 // packets per iteration; one alone is too short to measure
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		for i := range batch {
			out = m.Packet(flownet.Start, packets[i%len(packets)], out[:0])
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/packet")
}

// redirecting returns a home that has redirects for n flows, which another member registered.
func redirecting(tb testing.TB, n int) (flow.Machine, int) {
	net := flownet.New(tb, 1, "h1", "h2")
	net.State("h2", model.UpstreamDraining) // h1 becomes the home of every bucket
	net.ApplyAll()
	m, from := net.Agents["h1"].Machine, net.Agents["h2"].Ref
	for i := 0; i < n; i += flow.MaxCallers {
		msg := flow.Register{Service: flownet.ServiceID, Generation: 2, HomeIncarnation: 1, Sequence: uint32(1000 + i)}
		for j := i; j < min(n, i+flow.MaxCallers); j++ {
			msg.Callers = append(msg.Callers, benchKey(j).Caller)
		}
		m.Message(net.Now, from, msg, nil)
	}
	if got := m.Stats().Redirects; got != n {
		tb.Fatalf("%d redirects, want %d", got, n)
	}
	return m, n
}

// Guards against allocations in the path of known flows, which would load the collector with every packet.
func TestKnownPacketsDoNotAllocate(t *testing.T) {
	owning := soloMachine(t, 1000)
	establish(t, owning, 1000)
	home, _ := redirecting(t, 1000)
	for kind, m := range map[flow.ActionKind]flow.Machine{flow.ActionDeliver: owning, flow.ActionForward: home} {
		p := flow.Packet{Key: benchKey(17), Generation: 1}
		out := make([]flow.Action, 0, 4)
		allocs := testing.AllocsPerRun(1000, func() { out = m.Packet(flownet.Start, p, out[:0]) })
		if allocs != 0 || out[0].Kind != kind {
			t.Fatalf("a packet allocates %v times; action %d, want %d", allocs, out[0].Kind, kind)
		}
	}
}

// workload is a service in BenchmarkBalance.
type workload struct {
	name     string
	rate     float64       // new flows a second over all hosts
	lifetime time.Duration // mean
	sigma    float64       // of the lognormal work of a flow
}

// BenchmarkBalance reports peak/mean of the work over seven upstreams of which one starts cold and one misreports its
// load, and as the baseline the same flows placed by plain hashing.
func BenchmarkBalance(b *testing.B) {
	for _, w := range []workload{
		{name: "khuree", rate: 220, lifetime: 40 * time.Second, sigma: 0.8},
		{name: "comhar", rate: 70, lifetime: 120 * time.Second, sigma: 1.0},
	} {
		b.Run(w.name, func(b *testing.B) {
			var balanced, plain float64
			for range b.N {
				balanced, plain = newBalance(b, w).run()
			}
			b.ReportMetric(balanced, "peak/mean")
			b.ReportMetric(plain, "baseline-peak/mean")
		})
	}
}

// balance is a run of one workload.
type balance struct {
	*flownet.Network
	workload
	rng     *rand.Rand
	hosts   []model.HostID
	live    []*worker
	next    int
	elapsed time.Duration
	due     float64 // new flows
}

// worker is a flow with the work that it gives its upstream.
type worker struct {
	*flownet.Caller
	work float64
	home model.HostID
	end  time.Time
}

func newBalance(tb testing.TB, w workload) *balance {
	hosts := []model.HostID{"u1", "u2", "u3", "u4", "u5", "u6", "u7"}
	return &balance{
		Network: flownet.New(tb, 3, hosts...), workload: w, hosts: hosts, rng: rand.New(rand.NewPCG(20261204, 1)),
	}
}

// run fills the service for four lifetimes and measures for one more. The first host is cold for half a lifetime. The
// last host always reports no load.
func (x *balance) run() (balanced, plain float64) {
	x.SetLocal(x.hosts[0], flow.Local{AcceptNew: true, Cold: true})
	warm, measure, end := x.lifetime/2, 4*x.lifetime, 5*x.lifetime
	sum, sumPlain := map[model.HostID]float64{}, map[model.HostID]float64{}
	for x.elapsed = 0; x.elapsed < end; x.elapsed += flow.TickInterval {
		x.step(x.elapsed < warm)
		if x.elapsed >= measure {
			for _, f := range x.live {
				sum[f.Owner.Host] += f.work
				sumPlain[f.home] += f.work
			}
		}
	}
	return x.peak(sum), x.peak(sumPlain)
}

// step starts and ends flows and reports loads for one tick.
func (x *balance) step(cold bool) {
	for x.due += x.rate * flow.TickInterval.Seconds() * 2 * x.rng.Float64(); x.due >= 1; x.due-- {
		x.arrive()
	}
	kept := x.live[:0]
	for _, f := range x.live {
		if x.Now.Before(f.end) {
			kept = append(kept, f)
			continue
		}
		x.Close(f.Caller)
	}
	x.live = kept
	if x.elapsed%(500*time.Millisecond) == 0 {
		x.report(cold)
	}
	x.Flush()
	x.Tick()
}

func (x *balance) arrive() {
	c := &flownet.Caller{Key: benchKey(x.next)}
	x.next++
	entry := x.next % len(x.Entries)
	x.Send(c, entry, flow.FlagSYN)
	x.Flush()
	x.Update(c)
	if !c.Established {
		x.T.Fatalf("flow %s is not accepted", c.Key)
	}
	x.Send(c, entry, 0)
	x.Flush()
	home, _ := x.Tables[x.Newest()].Home(flownet.ServiceID, routing.Bucket(99, c.Key.Caller))
	life := time.Duration(x.rng.ExpFloat64() * float64(x.lifetime))
	x.live = append(x.live, &worker{
		Caller: c, work: math.Exp(x.rng.NormFloat64() * x.sigma), home: home, end: x.Now.Add(life),
	})
}

// report sets the hosts' loads from the work of their flows.
func (x *balance) report(cold bool) {
	load := map[model.HostID]float64{}
	for _, f := range x.live {
		load[f.Owner.Host] += f.work / 1000
	}
	load[x.hosts[len(x.hosts)-1]] = 0
	for i, h := range x.hosts {
		x.SetLocal(h, flow.Local{AcceptNew: true, Load: load[h], Cold: cold && i == 0})
	}
}

// peak returns the highest over the mean work of the hosts.
func (x *balance) peak(work map[model.HostID]float64) float64 {
	total, highest := 0.0, 0.0
	for _, h := range x.hosts {
		total += work[h]
		highest = max(highest, work[h])
	}
	return highest / (total / float64(len(x.hosts)))
}
