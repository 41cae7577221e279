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
	benchFlows       = 300                    // open long flows during a benchmark
	benchCallerHosts = 6                      // hosts of the callers
	lineInterval     = 100 * time.Millisecond // between two requests of a flow
	benchSeed        = 42
	changeInterval   = 500 * time.Millisecond // between two changes
	lossObservation  = 20 * time.Second       // after the loss; agents query the lost member for 15 s
	lossTimeout      = 29 * time.Second       // for an answer or a reset; a caller's retransmissions are up to 13 s apart
)

// benchFaults are the faults of a good network path. They cause some reordering and retransmission.
var benchFaults = fabric.Faults{Loss: 0.001, Reorder: 0.005, ReorderBy: 2 * time.Millisecond}

// longFlow is a flow that sends a request every lineInterval until it is stopped.
type longFlow struct {
	*caller.Terminal
	stop chan struct{}
	done chan struct{}
	err  error // valid after done is closed
}

// checkUntilStopped sends requests and checks the answers until the flow is stopped or breaks.
func (f *longFlow) checkUntilStopped() {
	defer close(f.done)
	for f.err == nil {
		select {
		case <-f.stop:
			f.err = f.Check()
			return
		case <-time.After(lineInterval):
			f.err = f.Check()
		}
	}
}

// finish stops the flow and closes it in order: the upstream must have answered all requests and closed its side.
func (f *longFlow) finish() {
	close(f.stop)
	<-f.done
	if f.err == nil {
		f.err = f.Finish()
	}
}

// traffic is a set of long flows.
type traffic struct {
	hosts         []*caller.Host
	answerTimeout time.Duration
	open          []*longFlow
	broken        []*longFlow
	total         int
}

// startTraffic opens benchFlows flows from all caller hosts. Each request waits for its answer at most for the given
// time.
func startTraffic(b *testing.B, s *site.Site, answerTimeout time.Duration) *traffic {
	b.Helper()
	g := NewWithT(b)
	tr := &traffic{answerTimeout: answerTimeout}
	for i := range benchCallerHosts {
		host, err := s.Caller(fmt.Sprintf("10.1.1.%d", i+1))
		g.Expect(err).NotTo(HaveOccurred())
		tr.hosts = append(tr.hosts, host)
	}
	s.Fabric.SetFaults(benchFaults)
	tr.openFlows(b, benchFlows)
	return tr
}

// openFlows opens further flows.
func (tr *traffic) openFlows(b *testing.B, count int) {
	b.Helper()
	for i, host := range tr.hosts {
		share := (count + i) / len(tr.hosts)
		for _, line := range openLines(b, host, share, tr.answerTimeout) {
			f := &longFlow{Terminal: line, stop: make(chan struct{}), done: make(chan struct{})}
			go f.checkUntilStopped()
			tr.open = append(tr.open, f)
		}
	}
	tr.total += count
}

// finish ends the flows of one upstream, or of all upstreams if server is empty.
func (tr *traffic) finish(server string) {
	var selected, rest []*longFlow
	for _, f := range tr.open {
		if server == "" || f.Server == server {
			selected = append(selected, f)
			continue
		}
		rest = append(rest, f)
	}
	forEachConcurrently(len(selected), func(i int) { selected[i].finish() })
	for _, f := range selected {
		if f.err != nil {
			tr.broken = append(tr.broken, f)
		}
	}
	tr.open = rest
}

// logBroken logs the error of each broken flow.
func (tr *traffic) logBroken(b *testing.B) {
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

// BenchmarkPlannedChange counts the flows that break while upstreams are added, drained and removed and entry VMs join
// and fail. Some processes use an outdated configuration meanwhile. The target is 0.
func BenchmarkPlannedChange(b *testing.B) {
	for range b.N {
		s := benchSite(b)
		tr := startTraffic(b, s, testTimeout)
		start := time.Now()
		for round := range 3 {
			runPlannedChanges(b, s, tr, round)
		}
		tr.finish("")
		tr.logBroken(b)
		b.ReportMetric(float64(len(tr.broken)), "broken-flows")
		b.ReportMetric(float64(tr.total), "flows")
		b.ReportMetric(time.Since(start).Seconds(), "s/changes")
	}
}

// runPlannedChanges adds an upstream, replaces a killed entry VM by a new one, and drains and removes the oldest
// upstream. It opens flows in between.
func runPlannedChanges(b *testing.B, s *site.Site, tr *traffic, round int) {
	b.Helper()
	g := NewWithT(b)
	added := model.HostID(fmt.Sprintf("u%d", 5+round))
	leaving := model.HostID(fmt.Sprintf("u%d", 1+round))
	behindEntry := model.HostID(fmt.Sprintf("e%d", 3+round))
	behindAgent := model.HostID(fmt.Sprintf("u%d", 4+round))
	s.SetStale(behindEntry, true)
	s.SetStale(behindAgent, true)
	addUpstream(b, s, added)
	time.Sleep(changeInterval)
	tr.openFlows(b, benchFlows/10)
	noticed, err := s.KillEntry(model.HostID(fmt.Sprintf("e%d", 1+round)))
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(changeInterval)
	noticed()
	_, err = s.AddEntry(model.HostID(fmt.Sprintf("e%d", 4+round)))
	g.Expect(err).NotTo(HaveOccurred())
	s.SetStale(behindAgent, false)
	s.SetStale(behindEntry, false)

	s.SetStale(behindEntry, true)
	s.SetMember(linesID, leaving, model.UpstreamDraining)
	s.SetMember(pagesID, leaving, model.UpstreamDraining)
	time.Sleep(changeInterval)
	s.SetStale(behindEntry, false)
	tr.openFlows(b, benchFlows/10)
	tr.finish(string(leaving))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	g.Expect(s.Agent(leaving).Drain(ctx)).To(BeEmpty())
	s.RemoveMember(linesID, leaving)
	s.RemoveMember(pagesID, leaving)
	g.Expect(s.StopAgent(leaving)).To(Succeed())
	time.Sleep(changeInterval)
}

// BenchmarkUnplannedLoss kills one agent without notice. The flows that it owns break, because their TCP state is in
// the process; no other flow may break.
func BenchmarkUnplannedLoss(b *testing.B) {
	for range b.N {
		s := benchSite(b)
		tr := startTraffic(b, s, lossTimeout)
		time.Sleep(changeInterval)
		const lost = "u2"
		owned := countByServer(terminals(tr.open))[lost]
		s.CrashAgent(lost)
		time.Sleep(changeInterval)
		s.SetMember(linesID, lost, model.UpstreamLost)
		s.SetMember(pagesID, lost, model.UpstreamLost)
		time.Sleep(changeInterval)
		tr.openFlows(b, benchFlows/10)
		time.Sleep(lossObservation)
		tr.finish("")
		brokenOwned, resets, other := 0, 0, 0
		for _, f := range tr.broken {
			if f.Server != lost {
				other++
				b.Logf("broken: %s at %s: %v", f.Caller(), f.Server, f.err)
				continue
			}
			brokenOwned++
			if strings.Contains(f.err.Error(), "connection reset") {
				resets++
			}
		}
		b.ReportMetric(float64(owned), "owned-flows")
		b.ReportMetric(float64(brokenOwned)/float64(owned), "broken-per-owned")
		b.ReportMetric(float64(resets)/float64(owned), "reset-per-owned")
		b.ReportMetric(float64(other), "other-broken-flows")
	}
}

// terminals returns the terminals of long flows.
func terminals(flows []*longFlow) []*caller.Terminal {
	out := make([]*caller.Terminal, len(flows))
	for i, f := range flows {
		out[i] = f.Terminal
	}
	return out
}
