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

// singleMemberMachine returns a machine whose host is the only member of a service.
func singleMemberMachine(tb testing.TB, maxFlows int) flow.Machine {
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

// establishFlows opens n flows and completes their handshakes.
func establishFlows(tb testing.TB, m flow.Machine, n int) {
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

// bytesPerFlow returns the heap bytes per flow of a machine that owns n flows. Small machines are measured together,
// because the heap changes by a few kilobytes for other reasons.
func bytesPerFlow(tb testing.TB, n int) float64 {
	machines := make([]flow.Machine, max(1, 100000/n))
	for i := range machines {
		machines[i] = singleMemberMachine(tb, n)
	}
	before := heapInUse()
	for _, m := range machines {
		establishFlows(tb, m, n)
	}
	after := heapInUse()
	runtime.KeepAlive(machines)
	return float64(after-before) / float64(n*len(machines))
}

// BenchmarkFlowTable reports the memory per flow and the time per packet of owned and redirected flows.
func BenchmarkFlowTable(b *testing.B) {
	small := bytesPerFlow(b, 1000)
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			perFlow := bytesPerFlow(b, n)
			m := singleMemberMachine(b, n)
			establishFlows(b, m, n)
			benchPackets(b, m, n)
			b.ReportMetric(perFlow, "B/flow")
			if n == 100000 {
				b.ReportMetric(perFlow/small, "growth")
			}
		})
	}
	b.Run("redirects=100000", func(b *testing.B) {
		before := heapInUse()
		m, n := newHomeWithRedirects(b, 100000)
		after := heapInUse()
		benchPackets(b, m, n)
		b.ReportMetric(float64(after-before)/float64(n), "B/flow")
	})
}

// benchPackets reports the time per packet for packets of the first n flows.
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

// newHomeWithRedirects returns a home that has redirects for n flows of another member.
func newHomeWithRedirects(tb testing.TB, n int) (flow.Machine, int) {
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

// Guards against heap allocations for packets of known flows, which would load the garbage collector with every packet.
func TestKnownPacketsDoNotAllocate(t *testing.T) {
	owning := singleMemberMachine(t, 1000)
	establishFlows(t, owning, 1000)
	home, _ := newHomeWithRedirects(t, 1000)
	for kind, m := range map[flow.ActionKind]flow.Machine{flow.ActionDeliver: owning, flow.ActionForward: home} {
		p := flow.Packet{Key: benchKey(17), Generation: 1}
		out := make([]flow.Action, 0, 4)
		allocs := testing.AllocsPerRun(1000, func() { out = m.Packet(flownet.Start, p, out[:0]) })
		if allocs != 0 || out[0].Kind != kind {
			t.Fatalf("a packet allocates %v times; action %d, want %d", allocs, out[0].Kind, kind)
		}
	}
}

// workload describes the flows of a service in BenchmarkBalance.
type workload struct {
	name     string
	rate     float64       // new flows per second over all hosts
	lifetime time.Duration // mean lifetime of a flow
	sigma    float64       // standard deviation of the logarithm of a flow's work
}

// BenchmarkBalance reports the ratio of the highest to the mean work of seven upstreams, of which one starts cold and
// one always reports no load. The baseline is the same ratio for the same flows when each flow is placed on its home by
// hashing.
func BenchmarkBalance(b *testing.B) {
	for _, w := range []workload{
		{name: "khuree", rate: 220, lifetime: 40 * time.Second, sigma: 0.8},
		{name: "comhar", rate: 70, lifetime: 120 * time.Second, sigma: 1.0},
	} {
		b.Run(w.name, func(b *testing.B) {
			var balanced, plain float64
			for range b.N {
				balanced, plain = newBalanceRun(b, w).run()
			}
			b.ReportMetric(balanced, "peak/mean")
			b.ReportMetric(plain, "baseline-peak/mean")
		})
	}
}

// balanceRun is a simulation of one workload.
type balanceRun struct {
	*flownet.Network
	workload
	rng      *rand.Rand
	hosts    []model.HostID
	flows    []*weightedFlow
	next     int
	elapsed  time.Duration
	dueFlows float64 // new flows that are due in this tick, with the fraction of the next one
}

// weightedFlow is a flow with the work that it causes on its upstream.
type weightedFlow struct {
	*flownet.Caller
	work float64
	home model.HostID
	end  time.Time
}

func newBalanceRun(tb testing.TB, w workload) *balanceRun {
	hosts := []model.HostID{"u1", "u2", "u3", "u4", "u5", "u6", "u7"}
	return &balanceRun{
		Network: flownet.New(tb, 3, hosts...), workload: w, hosts: hosts, rng: rand.New(rand.NewPCG(20261204, 1)),
	}
}

// run simulates five mean lifetimes and measures during the last one. The first host is cold for half a lifetime, and
// the last host always reports no load.
func (r *balanceRun) run() (balanced, plain float64) {
	r.SetLocal(r.hosts[0], flow.Local{AcceptNew: true, Cold: true})
	warm, measure, end := r.lifetime/2, 4*r.lifetime, 5*r.lifetime
	sum, sumPlain := map[model.HostID]float64{}, map[model.HostID]float64{}
	for r.elapsed = 0; r.elapsed < end; r.elapsed += flow.TickInterval {
		r.step(r.elapsed < warm)
		if r.elapsed >= measure {
			for _, f := range r.flows {
				sum[f.Owner.Host] += f.work
				sumPlain[f.home] += f.work
			}
		}
	}
	return r.peakToMean(sum), r.peakToMean(sumPlain)
}

// step simulates one tick: it opens and closes flows and reports the loads every 500 ms.
func (r *balanceRun) step(cold bool) {
	for r.dueFlows += r.rate * flow.TickInterval.Seconds() * 2 * r.rng.Float64(); r.dueFlows >= 1; r.dueFlows-- {
		r.openFlow()
	}
	kept := r.flows[:0]
	for _, f := range r.flows {
		if r.Now.Before(f.end) {
			kept = append(kept, f)
			continue
		}
		r.Close(f.Caller)
	}
	r.flows = kept
	if r.elapsed%(500*time.Millisecond) == 0 {
		r.reportLoads(cold)
	}
	r.Flush()
	r.Tick()
}

// openFlow opens a flow with a random amount of work and a random lifetime.
func (r *balanceRun) openFlow() {
	c := &flownet.Caller{Key: benchKey(r.next)}
	r.next++
	entry := r.next % len(r.Entries)
	r.Send(c, entry, flow.FlagSYN)
	r.Flush()
	r.Update(c)
	if !c.Established {
		r.T.Fatalf("flow %s is not accepted", c.Key)
	}
	r.Send(c, entry, 0)
	r.Flush()
	home, _ := r.Tables[r.Newest()].Home(flownet.ServiceID, routing.Bucket(99, c.Key.Caller))
	life := time.Duration(r.rng.ExpFloat64() * float64(r.lifetime))
	r.flows = append(r.flows, &weightedFlow{
		Caller: c, work: math.Exp(r.rng.NormFloat64() * r.sigma), home: home, end: r.Now.Add(life),
	})
}

// reportLoads sets the hosts' loads from the work of their flows.
func (r *balanceRun) reportLoads(cold bool) {
	load := map[model.HostID]float64{}
	for _, f := range r.flows {
		load[f.Owner.Host] += f.work / 1000
	}
	load[r.hosts[len(r.hosts)-1]] = 0
	for i, h := range r.hosts {
		r.SetLocal(h, flow.Local{AcceptNew: true, Load: load[h], Cold: cold && i == 0})
	}
}

// peakToMean returns the ratio of the highest to the mean work of the hosts.
func (r *balanceRun) peakToMean(work map[model.HostID]float64) float64 {
	total, highest := 0.0, 0.0
	for _, h := range r.hosts {
		total += work[h]
		highest = max(highest, work[h])
	}
	return highest / (total / float64(len(r.hosts)))
}
