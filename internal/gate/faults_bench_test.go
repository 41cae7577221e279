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

// verdict sums what callers were told against what ran.
type verdict struct {
	mu                                       sync.Mutex
	lost, doubled, cut, falseNotRun, unknown int
	answered, refused                        int
	problems                                 []string
	codes                                    map[string]int // replies by code, "" for a lost connection
}

func (v *verdict) note(counter *int, format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	*counter++
	if format != "" && len(v.problems) < 10 {
		v.problems = append(v.problems, fmt.Sprintf(format, args...))
	}
}

// faultyUpstream draws a behaviour per request: 4% each shed, crash after the run, truncate, and answer late.
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

// drive is one caller that sends n requests and retries those without a definite outcome.
func drive(c *cluster, v *verdict, number, n int, seed uint64) {
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
			definite = judge(c, v, r, method, body)
			if !definite && method == "GET" {
				// Sends of one GET are separate requests; each has a name of its own.
				body += "'"
			}
		}
		if !definite {
			v.note(&v.unknown, "")
		}
		if runs := c.runs(body); method == "POST" && runs > 1 {
			v.note(&v.doubled, "%s ran %d times", body, runs)
		}
	}
}

// judge compares one reply with the runs and tells whether the outcome is definite.
func judge(c *cluster, v *verdict, r httpcall.Reply, method, body string) bool {
	runs := c.runs(body)
	v.mu.Lock()
	v.codes[r.Code]++
	v.mu.Unlock()
	switch {
	case r.Err != nil:
		return false
	case r.Code == "0":
		whole := r.Body == "ran "+body || r.Body == strings.Repeat("x", 200<<10)
		if !whole {
			v.note(&v.cut, "%s answered with %d bytes", body, len(r.Body))
		}
		if runs == 0 {
			v.note(&v.lost, "%s %s was answered and did not run", method, body)
		}
		v.note(&v.answered, "")
		return true
	case strings.HasPrefix(r.Code, "30"):
		if runs > 0 {
			v.note(&v.falseNotRun, "%s %s was told %s and ran", method, body, r.Code)
		}
		v.note(&v.refused, "")
		return true
	case r.Code == "":
		v.note(&v.lost, "%s %s got status %d without a result code", method, body, r.Status)
	}
	return false
}

func BenchmarkRequestFaults(b *testing.B) {
	const callers, each, seed = 24, 60, 20261204
	for range b.N {
		c := newCluster(3, seed, faultyUpstream(seed), nil)
		c.log.Lose(0.1, seed)
		c.peers.SetShare(0.1)
		v := &verdict{codes: map[string]int{}}
		stop := make(chan struct{})
		var chaos, all sync.WaitGroup
		chaos.Go(func() { restartAgents(c, stop, seed) })
		for i := range callers {
			all.Go(func() { drive(c, v, i, each, seed) })
		}
		all.Wait()
		close(stop)
		chaos.Wait()
		for _, n := range c.nodes {
			for _, m := range n.account.Check() {
				b.Error(m.Error())
			}
		}
		c.close()
		b.Logf("replies by code: %v", v.codes)
		for _, p := range v.problems {
			b.Error(p)
		}
		b.ReportMetric(float64(v.lost), "lost")
		b.ReportMetric(float64(v.doubled), "doubled")
		b.ReportMetric(float64(v.cut), "cut")
		b.ReportMetric(float64(v.falseNotRun), "false-not-run")
		b.ReportMetric(1000*float64(v.unknown)/(callers*each), "unknown/1000")
		b.ReportMetric(float64(v.answered), "answered")
		b.ReportMetric(float64(v.refused), "refused")
	}
}

// restartAgents restarts an agent every 400 ms, or takes the log away for 200 ms, or drains a host for 200 ms.
func restartAgents(c *cluster, stop chan struct{}, seed uint64) {
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
