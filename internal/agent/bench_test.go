package agent_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/standin/caller"
	"github.com/plantainseam/plantainseam/standin/fabric"
	"github.com/plantainseam/plantainseam/standin/site"
)

const (
	benchFlows   = 300                    // long flows that are open during a benchmark
	benchCallers = 6                      // machines of the callers
	benchPause   = 100 * time.Millisecond // between two lines of a flow
	benchSeed    = 42
	benchStep    = 500 * time.Millisecond // of traffic between two changes
	lossWatch    = 20 * time.Second       // that the other flows are watched after a loss; the lost member is asked for 15 s
	lossPatience = 29 * time.Second       // for an answer or reset; a caller's retransmissions are up to 13 s apart
)

// benchFaults are those of a good path, so that reordering and retransmission occur.
var benchFaults = fabric.Faults{Loss: 0.001, Reorder: 0.005, ReorderBy: 2 * time.Millisecond}

// longFlow is a flow that asks a line now and then until it is told to stop.
type longFlow struct {
	*caller.Terminal
	stop chan struct{}
	done chan struct{}
	err  error // valid after done is closed
}

// run asks lines until the flow stops or breaks.
func (f *longFlow) run() {
	defer close(f.done)
	for f.err == nil {
		select {
		case <-f.stop:
			f.err = f.Check()
			return
		case <-time.After(benchPause):
			f.err = f.Check()
		}
	}
}

// finish stops the flow and closes it in order: the upstream must have answered everything and ended its side.
func (f *longFlow) finish() {
	close(f.stop)
	<-f.done
	if f.err == nil {
		f.err = f.Finish()
	}
}

// traffic is a set of long flows.
type traffic struct {
	hosts  []*caller.Host
	wait   time.Duration
	open   []*longFlow
	broken []*longFlow
	total  int
}

// startTraffic opens the flows. Each waits for an answer for the given time.
func startTraffic(b *testing.B, s *site.Site, wait time.Duration) *traffic {
	b.Helper()
	g := NewWithT(b)
	tr := &traffic{wait: wait}
	for i := range benchCallers {
		host, err := s.Caller(fmt.Sprintf("10.1.1.%d", i+1))
		g.Expect(err).NotTo(HaveOccurred())
		tr.hosts = append(tr.hosts, host)
	}
	s.Fabric.SetFaults(benchFaults)
	tr.add(b, benchFlows)
	return tr
}

// add opens further flows.
func (tr *traffic) add(b *testing.B, count int) {
	b.Helper()
	for i, host := range tr.hosts {
		share := (count + i) / len(tr.hosts)
		for _, line := range openLines(b, host, share, tr.wait) {
			f := &longFlow{Terminal: line, stop: make(chan struct{}), done: make(chan struct{})}
			go f.run()
			tr.open = append(tr.open, f)
		}
	}
	tr.total += count
}

// finish ends the flows of one upstream, or of all if server is empty.
func (tr *traffic) finish(server string) {
	var own, rest []*longFlow
	for _, f := range tr.open {
		if server == "" || f.Server == server {
			own = append(own, f)
			continue
		}
		rest = append(rest, f)
	}
	each(len(own), func(i int) { own[i].finish() })
	for _, f := range own {
		if f.err != nil {
			tr.broken = append(tr.broken, f)
		}
	}
	tr.open = rest
}

// log prints why flows broke.
func (tr *traffic) log(b *testing.B) {
	b.Helper()
	for _, f := range tr.broken {
		b.Logf("broken: %s at %s: %v", f.Caller(), f.Server, f.err)
	}
}

// benchSite starts entry VMs e1 to e3 and upstreams u1 to u4.
func benchSite(b *testing.B) *site.Site {
	b.Helper()
	s := newSite(b, site.Options{Seed: benchSeed})
	for i := 1; i <= 4; i++ {
		addUpstream(b, s, model.HostID(fmt.Sprintf("u%d", i)))
	}
	return s
}

// BenchmarkPlannedChange counts the flows that break while upstreams are added, drained and removed, and entry VMs come
// and go, with some processes behind in their configuration. The target is 0.
func BenchmarkPlannedChange(b *testing.B) {
	for range b.N {
		s := benchSite(b)
		tr := startTraffic(b, s, patience)
		start := time.Now()
		for round := range 3 {
			plannedRound(b, s, tr, round)
		}
		tr.finish("")
		tr.log(b)
		b.ReportMetric(float64(len(tr.broken)), "broken-flows")
		b.ReportMetric(float64(tr.total), "flows")
		b.ReportMetric(time.Since(start).Seconds(), "s/changes")
	}
}

// plannedRound adds an upstream and an entry VM, loses another entry VM, and replaces the oldest upstream. Flows are
// opened in between.
func plannedRound(b *testing.B, s *site.Site, tr *traffic, round int) {
	b.Helper()
	g := NewWithT(b)
	added := model.HostID(fmt.Sprintf("u%d", 5+round))
	leaving := model.HostID(fmt.Sprintf("u%d", 1+round))
	behindEntry := model.HostID(fmt.Sprintf("e%d", 3+round))
	behindAgent := model.HostID(fmt.Sprintf("u%d", 4+round))
	s.SetStale(behindEntry, true)
	s.SetStale(behindAgent, true)
	addUpstream(b, s, added)
	time.Sleep(benchStep)
	tr.add(b, benchFlows/10)
	noticed, err := s.KillEntry(model.HostID(fmt.Sprintf("e%d", 1+round)))
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(benchStep)
	noticed()
	_, err = s.AddEntry(model.HostID(fmt.Sprintf("e%d", 4+round)))
	g.Expect(err).NotTo(HaveOccurred())
	s.SetStale(behindAgent, false)
	s.SetStale(behindEntry, false)

	s.SetStale(behindEntry, true)
	s.SetMember(lines, leaving, model.UpstreamDraining)
	s.SetMember(pages, leaving, model.UpstreamDraining)
	time.Sleep(benchStep)
	s.SetStale(behindEntry, false)
	tr.add(b, benchFlows/10)
	tr.finish(string(leaving))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	g.Expect(s.Agent(leaving).Drain(ctx)).To(BeEmpty())
	s.RemoveMember(lines, leaving)
	s.RemoveMember(pages, leaving)
	g.Expect(s.StopAgent(leaving)).To(Succeed())
	time.Sleep(benchStep)
}

// BenchmarkUnplannedLoss kills one agent without notice. Flows owned by it break, because their TCP state is in the
// process; no other flow may break.
func BenchmarkUnplannedLoss(b *testing.B) {
	for range b.N {
		s := benchSite(b)
		tr := startTraffic(b, s, lossPatience)
		time.Sleep(benchStep)
		const lost = "u2"
		owned := byServer(allLines(tr.open))[lost]
		s.CrashAgent(lost)
		time.Sleep(benchStep)
		s.SetMember(lines, lost, model.UpstreamLost)
		s.SetMember(pages, lost, model.UpstreamLost)
		time.Sleep(benchStep)
		tr.add(b, benchFlows/10)
		time.Sleep(lossWatch)
		tr.finish("")
		brokenOwned, told, other := 0, 0, 0
		for _, f := range tr.broken {
			if f.Server != lost {
				other++
				b.Logf("broken: %s at %s: %v", f.Caller(), f.Server, f.err)
				continue
			}
			brokenOwned++
			if strings.Contains(f.err.Error(), "connection reset") {
				told++
			}
		}
		b.ReportMetric(float64(owned), "owned-flows")
		b.ReportMetric(float64(brokenOwned)/float64(owned), "broken-per-owned")
		b.ReportMetric(float64(told)/float64(owned), "reset-per-owned")
		b.ReportMetric(float64(other), "other-broken-flows")
	}
}

// allLines returns the lines of long flows.
func allLines(flows []*longFlow) []*caller.Terminal {
	out := make([]*caller.Terminal, len(flows))
	for i, f := range flows {
		out[i] = f.Terminal
	}
	return out
}
