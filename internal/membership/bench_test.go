package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainseam/plantainseam/internal/membership"
)

// Model of the benchmark: hosts probe each other every second, and an observer reports a peer unreachable after
// missedProbes probes in a row without an answer.
const (
	benchHosts   = 48
	benchDomains = 4
	benchSeconds = 3600
	missedProbes = 3
	peersProbed  = 8
)

// lossyFleet is a fleet that drops announcements and probes at random.
type lossyFleet struct {
	*fleet
	rnd    *rand.Rand
	loss   float64
	missed map[[2]int]int
}

// step simulates one second, in which dead hosts neither announce themselves nor answer probes. It returns the verdict.
func (l *lossyFleet) step(dead map[int]bool) membership.Verdict {
	var silent []string
	for i := range benchHosts {
		host := fmt.Sprintf("h%d", i)
		if dead[i] || l.rnd.Float64() < l.loss {
			silent = append(silent, host)
		}
		req := l.reqs[host]
		req.Reachable, req.Unreachable = nil, nil
		for d := 1; d <= peersProbed; d++ {
			peer := (i + d) % benchHosts
			answered := !dead[peer] && !dead[i] && l.rnd.Float64() >= l.loss && l.rnd.Float64() >= l.loss
			l.missed[[2]int{i, peer}]++
			if answered {
				l.missed[[2]int{i, peer}] = 0
			}
			name := fmt.Sprintf("h%d", peer)
			if l.missed[[2]int{i, peer}] >= missedProbes {
				req.Unreachable = append(req.Unreachable, name)
				continue
			}
			req.Reachable = append(req.Reachable, name)
		}
	}
	return l.tick(silent...)
}

// BenchmarkFailureDetection measures, in simulated time and with seed 7, the time to detect a dead host, and counts removals
// of live hosts in an hour. The baseline declares a host lost when its lease has lapsed, without observers.
func BenchmarkFailureDetection(b *testing.B) {
	for _, loss := range []float64{0, 0.05, 0.20} {
		b.Run(fmt.Sprintf("loss=%.0f%%", loss*100), func(b *testing.B) {
			for range b.N {
				detect, falseRemovals, baseline := detectionRun(loss)
				b.ReportMetric(float64(detect.Milliseconds()), "ms-to-detect")
				b.ReportMetric(float64(falseRemovals), "false-removals")
				b.ReportMetric(float64(baseline), "baseline-lease-only-false-removals")
			}
		})
	}
}

func detectionRun(loss float64) (detect time.Duration, falseRemovals, baseline int) {
	l := &lossyFleet{fleet: newFleet(benchHosts, benchDomains), rnd: rand.New(rand.NewPCG(7, 7)), loss: loss, missed: map[[2]int]int{}}
	lapsed := map[string]bool{}
	for range benchSeconds {
		v := l.step(nil)
		falseRemovals += len(v.Lost)
		for host := range l.reqs {
			leased := l.table.Leased(l.now, host)
			if !leased && !lapsed[host] {
				baseline++
			}
			lapsed[host] = !leased
		}
	}
	const deaths = 20
	for i := range deaths {
		victim := (i * 5) % benchHosts
		died := l.now
		for !l.cat.hosts[fmt.Sprintf("h%d", victim)].Lost {
			l.step(map[int]bool{victim: true})
		}
		detect += l.now.Sub(died)
		for l.cat.hosts[fmt.Sprintf("h%d", victim)].Lost {
			l.step(nil)
		}
	}
	return detect / deaths, falseRemovals, baseline
}
