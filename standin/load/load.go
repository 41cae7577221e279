// Package load runs callers against a fabric and counts what they see: terminals that keep one connection open all the
// time, browsers that come and go, and studios that fetch images.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainseam/plantainseam/standin/backend"
	"github.com/plantainseam/plantainseam/standin/caller"
)

// Load of one deployment.
const (
	terminals     = 24 // callers that keep one connection open all the time
	browsers      = 8  // callers that open a connection for a few pages
	studios       = 4  // callers that fetch images
	pagesPerVisit = 5
	imageLines    = 4000
	think         = 40 * time.Millisecond
	patience      = 30 * time.Second // of one request
	resends       = 3                // of a request that was refused
)

// Target is what the callers use.
type Target struct {
	Network  caller.Network
	Prefix   byte           // callers have addresses 10.PREFIX.100.0 and up
	Requests netip.AddrPort // frontend of the request service
	Images   netip.AddrPort // frontend of the image service
}

// Tally counts what callers saw.
type Tally struct {
	Flows, BrokenFlows                              atomic.Int64
	Issued, Answered, Refused, Unknown, Lost, Wrong atomic.Int64
	Images, CutImages                               atomic.Int64

	mu       sync.Mutex
	keys     []string       // idempotency keys of answered requests
	refusals map[string]int // refused requests by result
	failures []string
}

// maxFailures bounds the failures that are kept for the reader.
const maxFailures = 20

// Clean tells whether every flow and request was served as promised.
func (t *Tally) Clean() bool {
	faults := t.BrokenFlows.Load() + t.Lost.Load() + t.Unknown.Load() + t.Wrong.Load() + t.CutImages.Load()
	complete := t.Issued.Load() == t.Answered.Load()+t.Refused.Load()
	return faults == 0 && complete && t.Answered.Load() > 0 && t.Images.Load() > 0
}

// Keys returns the idempotency keys of answered requests.
func (t *Tally) Keys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.keys...)
}

// Runs says how the runs of answered keyed requests differ from one.
type Runs struct{ Doubled, Missing int }

// CheckRuns compares the answered keyed requests with what the upstream processes ran.
func (t *Tally) CheckRuns(backends []*backend.HTTP) Runs {
	var r Runs
	for _, key := range t.Keys() {
		runs := 0
		for _, b := range backends {
			runs += b.Runs(key)
		}
		switch {
		case runs == 0:
			r.Missing++
		case runs > 1:
			r.Doubled++
		}
	}
	return r
}

// Imbalance returns the highest number of finished runs of an upstream process over the mean, and 0 without runs.
func Imbalance(backends []*backend.HTTP) float64 {
	peak, sum := 0, 0
	for _, b := range backends {
		finished, _ := b.Finished()
		peak = max(peak, finished)
		sum += finished
	}
	if sum == 0 {
		return 0
	}
	return float64(peak) * float64(len(backends)) / float64(sum)
}

// Write prints the counts.
func (t *Tally) Write(w io.Writer, runs Runs) {
	fmt.Fprintf(w, "  flows: opened %d, broken %d\n", t.Flows.Load(), t.BrokenFlows.Load())
	fmt.Fprintf(w, "  requests: issued %d = answered %d + refused as not run %d + unknown %d + lost %d + wrong %d\n",
		t.Issued.Load(), t.Answered.Load(), t.Refused.Load(), t.Unknown.Load(), t.Lost.Load(), t.Wrong.Load())
	fmt.Fprintf(w, "  keyed requests: answered %d, run twice %d, answered without a run %d\n", len(t.Keys()), runs.Doubled, runs.Missing)
	fmt.Fprintf(w, "  images: asked for %d, truncated or missing %d\n", t.Images.Load(), t.CutImages.Load())
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, result := range slices.Sorted(maps.Keys(t.refusals)) {
		fmt.Fprintf(w, "  refused with %s: %d\n", result, t.refusals[result])
	}
	for _, f := range t.failures {
		fmt.Fprintf(w, "  ! %s\n", f)
	}
}

// refuse counts a refused request.
func (t *Tally) refuse(result string) {
	t.Refused.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusals == nil {
		t.refusals = map[string]int{}
	}
	t.refusals[result]++
}

func (t *Tally) fail(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failures) < maxFailures {
		t.failures = append(t.failures, fmt.Sprintf(format, args...))
	}
}

// load is a running load.
type load struct{ target Target }

// Start runs the callers until ctx ends. The returned function waits until each has finished what it had begun, and
// closes their machines.
func Start(ctx context.Context, target Target, seed uint64, t *Tally) (wait func(), err error) {
	l := &load{target}
	var running sync.WaitGroup
	var hosts []*caller.Host
	wait = func() {
		running.Wait()
		for _, h := range hosts {
			h.Close()
		}
	}
	kinds := []struct {
		count int
		run   func(context.Context, *caller.Host, *rand.Rand, *Tally)
	}{{terminals, l.terminal}, {browsers, l.browser}, {studios, l.studio}}
	number := 0
	for _, kind := range kinds {
		for range kind.count {
			number++
			host, err := caller.New(netip.AddrFrom4([4]byte{10, target.Prefix, 100, byte(number)}), target.Network)
			if err != nil {
				return wait, err
			}
			hosts = append(hosts, host)
			rng := rand.New(rand.NewPCG(seed, uint64(number)))
			running.Add(1)
			go func() {
				defer running.Done()
				kind.run(ctx, host, rng, t)
			}()
		}
	}
	return wait, nil
}

// onlyConn is a client that may open one connection; a second dial means that the flow was broken.
func onlyConn(h *caller.Host, t *Tally) *http.Client {
	var dials atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			t.BrokenFlows.Add(1)
			t.fail("%s had to connect again to %s", h.Addr(), address)
		}
		t.Flows.Add(1)
		return h.DialContext(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 1}}
}

// terminal keeps one connection open, reads pages and sends keyed requests.
func (l *load) terminal(ctx context.Context, h *caller.Host, rng *rand.Rand, t *Tally) {
	client := onlyConn(h, t)
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		if rng.IntN(3) == 0 {
			l.keyed(client, h, n, t)
		} else {
			l.page(client, h, n, t)
		}
		pause(ctx, think+time.Duration(rng.Int64N(int64(think))))
	}
}

// browser opens a connection, reads a few pages and closes it.
func (l *load) browser(ctx context.Context, h *caller.Host, rng *rand.Rand, t *Tally) {
	for visit := 0; ctx.Err() == nil; visit++ {
		client := onlyConn(h, t)
		for n := range pagesPerVisit {
			l.page(client, h, visit*pagesPerVisit+n, t)
		}
		client.CloseIdleConnections()
		pause(ctx, think+time.Duration(rng.Int64N(int64(think))))
	}
}

// page reads a page, which may be asked for again when it was refused.
func (l *load) page(client *http.Client, h *caller.Host, n int, t *Tally) {
	path := fmt.Sprintf("/page/%s/%d", h.Addr(), n)
	l.request(client, http.MethodGet, path, "", nil, t)
}

// keyed sends a request that must not run twice.
func (l *load) keyed(client *http.Client, h *caller.Host, n int, t *Tally) {
	key := fmt.Sprintf("%s-%d", h.Addr(), n)
	if l.request(client, http.MethodPost, "/order/"+key, key, []byte("body of "+key), t) {
		t.mu.Lock()
		t.keys = append(t.keys, key)
		t.mu.Unlock()
	}
}

// request sends one request, again if it was refused, and checks that the answer is whole and its own.
func (l *load) request(client *http.Client, method, path, key string, body []byte, t *Tally) bool {
	for range resends {
		t.Issued.Add(1)
		status, answer, result, err := send(client, method, "http://"+l.target.Requests.String()+path, key, body)
		switch {
		case err != nil:
			t.Lost.Add(1)
			t.fail("%s %s: %v", method, path, err)
			return false
		case status == http.StatusOK && strings.Contains(answer, " "+path+" "+strconv.Itoa(len(body))+"\n"):
			t.Answered.Add(1)
			return true
		case status == http.StatusOK:
			t.Wrong.Add(1)
			t.fail("%s %s: answer %.80q", method, path, answer)
			return false
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			t.refuse(result)
			time.Sleep(think)
		default:
			t.Unknown.Add(1)
			t.fail("%s %s: status %d: %.120s", method, path, status, answer)
			return false
		}
	}
	return false
}

// send returns status, body and the Plantainseam-Result header of the answer.
func send(client *http.Client, method, url, key string, body []byte) (int, string, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), resp.Header.Get("Plantainseam-Result"), err
}

// studio fetches images over the stream service.
func (l *load) studio(ctx context.Context, h *caller.Host, rng *rand.Rand, t *Tally) {
	for n := 0; ctx.Err() == nil; n++ {
		client := onlyConn(h, t)
		path := fmt.Sprintf("/image/%s/%d", h.Addr(), n)
		body := bytes.Repeat([]byte("x"), imageLines)
		t.Images.Add(1)
		status, answer, _, err := send(client, http.MethodPost, "http://"+l.target.Images.String()+path, "", body)
		if err != nil || status != http.StatusOK || !strings.Contains(answer, " "+path+" "+strconv.Itoa(len(body))+"\n") {
			t.CutImages.Add(1)
			t.fail("image %s: status %d, %v", path, status, err)
		}
		client.CloseIdleConnections()
		pause(ctx, think+time.Duration(rng.Int64N(int64(think))))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
