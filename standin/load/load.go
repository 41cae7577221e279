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
	// linger is how long callers' machines stay after their connections closed, so that a lost FIN is sent again.
	linger = time.Second
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

	// Keyed requests whose connection broke are sent again with the same key until an answer comes or time is up.
	Resent, ResentAnswered, ResentUnknown atomic.Int64

	mu       sync.Mutex
	keys     []string                // idempotency keys of answered requests
	sent     []string                // idempotency keys of all requests
	notRun   []string                // idempotency keys whose every send was refused as not run
	codes    map[string]int          // answers other than 200 by result code
	open     map[netip.AddrPort]bool // callers' ends of open flows
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

// Codes returns how many answers other than 200 carried each result code.
func (t *Tally) Codes() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.codes)
}

// Failures returns the first failures.
func (t *Tally) Failures() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.failures...)
}

// Open returns the callers' ends of the open flows, in order.
func (t *Tally) Open() []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.SortedFunc(maps.Keys(t.open), netip.AddrPort.Compare)
}

// Runs says how the runs of keyed requests differ from what callers were told.
type Runs struct {
	Doubled int // keys that ran more than once
	Missing int // answered keys that did not run
	NotRun  int // keys that ran although every send was refused as not run
}

// CheckRuns compares the keyed requests with what the upstream processes ran.
func (t *Tally) CheckRuns(backends []*backend.HTTP) Runs {
	runs := func(key string) int {
		n := 0
		for _, b := range backends {
			n += b.Runs(key)
		}
		return n
	}
	count := func(keys []string, fault func(runs int) bool) int {
		n := 0
		for _, key := range keys {
			if fault(runs(key)) {
				n++
			}
		}
		return n
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return Runs{
		Doubled: count(t.sent, func(n int) bool { return n > 1 }),
		Missing: count(t.keys, func(n int) bool { return n == 0 }),
		NotRun:  count(t.notRun, func(n int) bool { return n > 0 }),
	}
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
	fmt.Fprintf(w, "  keyed requests: answered %d, run twice %d, answered without a run %d, refused and run %d\n",
		len(t.Keys()), runs.Doubled, runs.Missing, runs.NotRun)
	fmt.Fprintf(w, "  images: asked for %d, truncated or missing %d\n", t.Images.Load(), t.CutImages.Load())
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, code := range slices.Sorted(maps.Keys(t.codes)) {
		fmt.Fprintf(w, "  answers with code PS%s: %d\n", code, t.codes[code])
	}
	for _, f := range t.failures {
		fmt.Fprintf(w, "  ! %s\n", f)
	}
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

// Kind is a kind of caller.
type Kind string

// Kinds of callers.
const (
	Terminals Kind = "terminals"
	Browsers  Kind = "browsers"
	Studios   Kind = "studios"
)

// Start runs the callers of the given kinds, or of all if none is given, until ctx ends. The returned function waits
// until each has finished what it had begun, and closes their machines.
func Start(ctx context.Context, target Target, seed uint64, t *Tally, only ...Kind) (wait func(), err error) {
	l := &load{target}
	var running sync.WaitGroup
	var hosts []*caller.Host
	wait = func() {
		running.Wait()
		time.Sleep(linger)
		for _, h := range hosts {
			h.Close()
		}
	}
	kinds := []struct {
		kind  Kind
		count int
		run   func(context.Context, *caller.Host, *rand.Rand, *Tally)
	}{{Terminals, terminals, l.terminal}, {Browsers, browsers, l.browser}, {Studios, studios, l.studio}}
	number := 0
	for _, kind := range kinds {
		if len(only) > 0 && !slices.Contains(only, kind.kind) {
			number += kind.count
			continue
		}
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

// onlyConn is a client that needs one connection; a second one means that the flow was broken. A dial that follows a
// failed dial breaks no flow.
func onlyConn(h *caller.Host, t *Tally) *http.Client {
	var established atomic.Bool
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if established.Swap(false) {
			t.BrokenFlows.Add(1)
			t.fail("%s had to connect again to %s", h.Addr(), address)
		}
		t.Flows.Add(1)
		conn, err := h.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		established.Store(true)
		return t.track(conn), nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 1}}
}

// trackedConn is listed as open until it is closed.
type trackedConn struct {
	net.Conn
	tally *Tally
	addr  netip.AddrPort
}

func (t *Tally) track(conn net.Conn) net.Conn {
	c := &trackedConn{conn, t, conn.LocalAddr().(*net.TCPAddr).AddrPort()}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[netip.AddrPort]bool{}
	}
	t.open[c.addr] = true
	return c
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tally.mu.Lock()
	delete(c.tally.open, c.addr)
	c.tally.mu.Unlock()
	return c.Conn.Close()
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
	path, body := "/order/"+key, []byte("body of "+key)
	end := l.request(client, http.MethodPost, path, key, body, t)
	if end == lost {
		end = l.resend(client, path, key, body, t)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = append(t.sent, key)
	switch end {
	case answered:
		t.keys = append(t.keys, key)
	case refused:
		t.notRun = append(t.notRun, key)
	}
}

// outcome is what a caller knows of a request.
type outcome int

const (
	answered outcome = iota
	refused          // not run
	unknown
	lost // no answer came
	wrong
)

// judge tells what an answer means.
func judge(status int, answer, path string, body []byte, err error) outcome {
	switch {
	case err != nil:
		return lost
	case status == http.StatusOK && strings.Contains(answer, " "+path+" "+strconv.Itoa(len(body))+"\n"):
		return answered
	case status == http.StatusOK:
		return wrong
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return refused
	}
	return unknown
}

// request sends one request, again if it was refused, and checks that the answer is whole and its own.
func (l *load) request(client *http.Client, method, path, key string, body []byte, t *Tally) outcome {
	end := refused
	for range resends {
		t.Issued.Add(1)
		status, answer, err := l.send(client, method, path, key, body, t)
		end = judge(status, answer, path, body, err)
		switch end {
		case lost:
			t.Lost.Add(1)
			t.fail("%s %s: %v", method, path, err)
		case answered:
			t.Answered.Add(1)
		case wrong:
			t.Wrong.Add(1)
			t.fail("%s %s: answer %.80q", method, path, answer)
		case unknown:
			t.Unknown.Add(1)
			t.fail("%s %s: status %d: %.120s", method, path, status, answer)
		case refused:
			t.Refused.Add(1)
			time.Sleep(think)
			continue
		}
		return end
	}
	return end
}

// resend sends a keyed request whose connection broke with the same key until its outcome is known or stated as unknown.
func (l *load) resend(client *http.Client, path, key string, body []byte, t *Tally) outcome {
	t.Resent.Add(1)
	until := time.Now().Add(patience)
	for time.Now().Before(until) {
		status, answer, err := l.send(client, http.MethodPost, path, key, body, t)
		switch judge(status, answer, path, body, err) {
		case answered:
			t.ResentAnswered.Add(1)
			return answered
		case unknown:
			t.ResentUnknown.Add(1)
			return unknown
		}
		t.fail("%s again: status %d, %v", path, status, err)
		time.Sleep(think)
	}
	return lost
}

// send sends a request of the request service and counts the code of an answer other than 200.
func (l *load) send(client *http.Client, method, path, key string, body []byte, t *Tally) (int, string, error) {
	status, code, answer, err := send(client, method, "http://"+l.target.Requests.String()+path, key, body)
	if err == nil && status != http.StatusOK {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.codes == nil {
			t.codes = map[string]int{}
		}
		t.codes[code]++
	}
	return status, answer, err
}

// send returns status, number of the result code, body and error.
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
	code, _, _ := strings.Cut(resp.Header.Get("Plantainseam-Result"), " ")
	return resp.StatusCode, code, string(answer), err
}

// Fresh opens new flows one after the other, asks for a page on each, and returns how many pages were answered.
func Fresh(target Target, count int, t *Tally) (int, error) {
	host, err := caller.New(netip.AddrFrom4([4]byte{10, target.Prefix, 99, 1}), target.Network)
	if err != nil {
		return 0, err
	}
	defer host.Close()
	l := &load{target}
	defer time.Sleep(linger)
	served := 0
	for n := range count {
		client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext}}
		path := fmt.Sprintf("/fresh/%d", n)
		status, answer, err := l.send(client, http.MethodGet, path, "", nil, t)
		if judge(status, answer, path, nil, err) == answered {
			served++
		}
		client.CloseIdleConnections()
	}
	return served, nil
}

// studio fetches images over the stream service.
func (l *load) studio(ctx context.Context, h *caller.Host, rng *rand.Rand, t *Tally) {
	for n := 0; ctx.Err() == nil; n++ {
		client := onlyConn(h, t)
		path := fmt.Sprintf("/image/%s/%d", h.Addr(), n)
		body := bytes.Repeat([]byte("x"), imageLines)
		t.Images.Add(1)
		status, _, answer, err := send(client, http.MethodPost, "http://"+l.target.Images.String()+path, "", body)
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
