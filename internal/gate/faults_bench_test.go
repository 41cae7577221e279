package gate_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plantainseam/plantainseam/internal/gate"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/standin/httpcall"
	"github.com/plantainseam/plantainseam/standin/upstream"
)

// faultCounts compares the replies that callers received with the runs of the upstreams. lost counts answers to
// requests that did not run and replies without a result code, doubled keyed requests that ran more than once, cut
// truncated answers with code 0, falseNotRun refusals of requests that ran, and unknown requests without a definite
// outcome after all retries.
type faultCounts struct {
	mu                                       sync.Mutex
	lost, doubled, cut, falseNotRun, unknown int
	answered, refused                        int
	problems                                 []string
	codes                                    map[string]int // replies by code, "" for a lost connection
}

func (counts *faultCounts) add(counter *int, format string, args ...any) {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	*counter++
	if format != "" && len(counts.problems) < 10 {
		counts.problems = append(counts.problems, fmt.Sprintf(format, args...))
	}
}

// faultyUpstream returns a function that draws a behaviour per request: 4% each are shed, crash after the run, are
// truncated, and are answered late.
func faultyUpstream(seed uint64) func(*http.Request, string) upstream.Behaviour {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	return func(*http.Request, string) upstream.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		b := upstream.Behaviour{Delay: time.Duration(random.IntN(4)) * time.Millisecond}
		switch p := random.IntN(100); {
		case p < 4:
			b.Shed = true
		case p < 8:
			b.Crash = true
		case p < 12:
			b.Cut = true
		case p < 16:
			b.Delay = time.Duration(300+random.IntN(500)) * time.Millisecond
		}
		if random.IntN(20) == 0 {
			b.Size = 200 << 10
		}
		return b
	}
}

// runCaller acts as one caller that sends n requests and retries those without a definite outcome.
func runCaller(c *cluster, counts *faultCounts, number, n int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	for i := range n {
		body := fmt.Sprintf("match-%d-%d", number, i)
		method, key := "POST", body
		if random.IntN(3) == 0 {
			method, key = "GET", ""
		}
		deadline := time.Now().Add(600 * time.Millisecond).Format(time.RFC3339Nano)
		definite := false
		for try := 0; try < 4 && !definite; try++ {
			host := model.HostID(fmt.Sprint("host-", random.IntN(len(c.service.Members))))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			if random.IntN(15) == 0 {
				// The caller loses its connection at some point.
				ctx, cancel = context.WithTimeout(context.Background(), time.Duration(random.IntN(20))*time.Millisecond)
			}
			r := c.send(ctx, host, method, key, body, gate.HeaderDeadline, deadline)
			cancel()
			definite = checkReply(c, counts, r, method, body)
			if !definite && method == "GET" {
				// Each send of a GET is a separate request and gets its own body, so that its runs are counted
				// separately.
				body += "'"
			}
		}
		if !definite {
			counts.add(&counts.unknown, "")
		}
		if runs := c.runs(body); method == "POST" && runs > 1 {
			counts.add(&counts.doubled, "%s ran %d times", body, runs)
		}
	}
}

// checkReply compares one reply with the runs of its body, counts the result, and tells whether the outcome is
// definite.
func checkReply(c *cluster, counts *faultCounts, r httpcall.Reply, method, body string) bool {
	runs := c.runs(body)
	counts.mu.Lock()
	counts.codes[r.Code]++
	counts.mu.Unlock()
	switch {
	case r.Err != nil:
		return false
	case r.Code == "0":
		whole := r.Body == "ran "+body || r.Body == strings.Repeat("x", 200<<10)
		if !whole {
			counts.add(&counts.cut, "%s answered with %d bytes", body, len(r.Body))
		}
		if runs == 0 {
			counts.add(&counts.lost, "%s %s was answered and did not run", method, body)
		}
		counts.add(&counts.answered, "")
		return true
	case strings.HasPrefix(r.Code, "30"):
		if runs > 0 {
			counts.add(&counts.falseNotRun, "%s %s was told %s and ran", method, body, r.Code)
		}
		counts.add(&counts.refused, "")
		return true
	case r.Code == "":
		counts.add(&counts.lost, "%s %s got status %d without a result code", method, body, r.Status)
	}
	return false
}

func BenchmarkRequestFaults(b *testing.B) {
	const callers, each, seed = 24, 60, 20261204
	for range b.N {
		c := newCluster(3, seed, faultyUpstream(seed), nil)
		c.log.Lose(0.1, seed)
		c.peers.SetShare(0.1)
		counts := &faultCounts{codes: map[string]int{}}
		stop := make(chan struct{})
		var faults, all sync.WaitGroup
		faults.Go(func() { injectFaults(c, stop, seed) })
		for i := range callers {
			all.Go(func() { runCaller(c, counts, i, each, seed) })
		}
		all.Wait()
		close(stop)
		faults.Wait()
		for _, n := range c.nodes {
			for _, m := range n.account.Check() {
				b.Error(m.Error())
			}
		}
		c.close()
		b.Logf("replies by code: %v", counts.codes)
		for _, p := range counts.problems {
			b.Error(p)
		}
		b.ReportMetric(float64(counts.lost), "lost")
		b.ReportMetric(float64(counts.doubled), "doubled")
		b.ReportMetric(float64(counts.cut), "cut")
		b.ReportMetric(float64(counts.falseNotRun), "false-not-run")
		b.ReportMetric(1000*float64(counts.unknown)/(callers*each), "unknown/1000")
		b.ReportMetric(float64(counts.answered), "answered")
		b.ReportMetric(float64(counts.refused), "refused")
	}
}

// injectFaults injects one fault every 400 ms: it restarts an agent, takes the quorum from the log for 200 ms, or
// drains a host for 200 ms.
func injectFaults(c *cluster, stop chan struct{}, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	for {
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		host := model.HostID(fmt.Sprint("host-", random.IntN(len(c.service.Members))))
		switch random.IntN(4) {
		case 0:
			c.log.FailWith(noQuorum)
			time.Sleep(200 * time.Millisecond)
			c.log.Lose(0.1, seed)
		case 1:
			c.node(host).gate.SetLocal(request.LocalState{Draining: true})
			time.Sleep(200 * time.Millisecond)
			c.node(host).gate.SetLocal(request.LocalState{})
		default:
			c.restart(host)
		}
	}
}
