package gate_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/plantainseam/plantainseam/internal/gate"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/standin/upstream"
)

const (
	overloadHosts    = 2
	overloadSlots    = 3
	overloadService  = 20 * time.Millisecond // mean service time; uniform between half and 1.5 times the mean
	overloadDeadline = 200 * time.Millisecond
	overloadTime     = 4 * time.Second
)

// limitedUpstream returns the behaviour of an upstream process that runs overloadSlots requests at once, queues the
// others itself and skips cancelled ones.
func limitedUpstream(seed uint64) func(*http.Request, string) upstream.Behaviour {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 4))
	slots := map[string]chan struct{}{}
	return func(r *http.Request, _ string) upstream.Behaviour {
		mu.Lock()
		local := r.Context().Value(http.LocalAddrContextKey).(fmt.Stringer).String()
		if slots[local] == nil {
			slots[local] = make(chan struct{}, overloadSlots)
		}
		slot := slots[local]
		d := overloadService/2 + time.Duration(random.Int64N(int64(overloadService)))
		mu.Unlock()
		select {
		case slot <- struct{}{}:
		case <-r.Context().Done():
			return upstream.Behaviour{}
		}
		time.Sleep(d)
		<-slot
		return upstream.Behaviour{}
	}
}

// measuredCapacity is the rate of answers per second when each slot of each upstream is always taken, without a gate.
// It is lower than slots divided by the service time, because sleeps and HTTP take time too.
var measuredCapacity = sync.OnceValue(func() float64 {
	const seed, length = 20261204, 2 * time.Second
	behave := limitedUpstream(seed)
	var all sync.WaitGroup
	var answers atomic.Int64
	for range overloadHosts {
		u := upstream.New(behave)
		defer u.Close()
		for range overloadSlots {
			all.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for begin := time.Now(); time.Since(begin) < length; {
					resp, err := client.Get(u.URL)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					answers.Add(1)
				}
			})
		}
	}
	all.Wait()
	return float64(answers.Load()) / length.Seconds()
})

// overload offers load times the capacity for overloadTime. It returns goodput divided by capacity, and the 99th
// percentile of the latency of answered requests in milliseconds.
func overload(b *testing.B, load float64, admission bool) (ratio, p99 float64) {
	const seed = 20261204
	c := newCluster(overloadHosts, seed, limitedUpstream(seed), func(cfg *request.Config) { cfg.NoAdmission = !admission })
	defer c.close()
	capacity := measuredCapacity()
	random := rand.New(rand.NewPCG(seed, 5))
	// Let every gate measure the service time of its upstream before the load begins.
	for i := range 40 {
		c.send(context.Background(), model.HostID(fmt.Sprint("host-", i%overloadHosts)), "GET", "", "warm")
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	times := hdrhistogram.New(1, 10_000_000, 3)
	good := 0
	codes := map[string]int{}
	begin := time.Now()
	next := begin
	for i := 0; next.Sub(begin) < overloadTime; i++ {
		next = next.Add(time.Duration(random.ExpFloat64() / (load * capacity) * float64(time.Second)))
		time.Sleep(time.Until(next))
		host := model.HostID(fmt.Sprint("host-", random.IntN(overloadHosts)))
		method, key := "GET", ""
		if random.IntN(4) == 0 {
			method, key = "POST", fmt.Sprint("k", i)
		}
		all.Go(func() {
			start := time.Now()
			deadline := start.Add(overloadDeadline)
			ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(time.Second))
			defer cancel()
			r := c.send(ctx, host, method, key, "x", gate.HeaderDeadline, deadline.Format(time.RFC3339Nano))
			took := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			codes[r.Code]++
			// Answers after the end of the load are not counted, because the capacity in the ratio covers overloadTime
			// only.
			inTime := took <= overloadDeadline && time.Since(begin) <= overloadTime
			if r.Err == nil && r.Code == "0" && inTime {
				good++
				_ = times.RecordValue(took.Microseconds())
			}
		})
	}
	all.Wait()
	b.Logf("load %g, admission %t: replies by code: %v", load, admission, codes)
	return float64(good) / (capacity * overloadTime.Seconds()), float64(times.ValueAtQuantile(99)) / 1000
}

func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{1, 1.5, 3} {
		b.Run(fmt.Sprintf("load=%gx", load), func(b *testing.B) {
			for range b.N {
				ratio, p99 := overload(b, load, true)
				baseRatio, baseP99 := overload(b, load, false)
				b.ReportMetric(measuredCapacity(), "capacity/s")
				b.ReportMetric(ratio, "goodput-ratio")
				b.ReportMetric(p99, "p99-ms")
				b.ReportMetric(baseRatio, "baseline-goodput-ratio")
				b.ReportMetric(baseP99, "baseline-p99-ms")
			}
		})
	}
}
