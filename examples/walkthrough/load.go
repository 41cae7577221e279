package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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

// tally counts what callers saw.
type tally struct {
	flows, brokenFlows                              atomic.Int64
	issued, answered, refused, unknown, lost, wrong atomic.Int64
	images, cutImages                               atomic.Int64

	mu       sync.Mutex
	keys     []string // idempotency keys of answered requests
	failures []string
}

func (t *tally) fail(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failures) < 20 {
		t.failures = append(t.failures, fmt.Sprintf(format, args...))
	}
}

// load runs the callers until ctx ends; each then finishes what it has begun.
func (d *deployment) load(ctx context.Context, seed uint64, t *tally) (*sync.WaitGroup, error) {
	var wg sync.WaitGroup
	kinds := []struct {
		count int
		run   func(context.Context, *caller.Host, *rand.Rand, *tally)
	}{{terminals, d.terminal}, {browsers, d.browser}, {studios, d.studio}}
	number := 10
	for _, kind := range kinds {
		for range kind.count {
			number++
			host, err := d.newCaller(number)
			if err != nil {
				return nil, err
			}
			rng := rand.New(rand.NewPCG(seed, uint64(number)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				kind.run(ctx, host, rng, t)
			}()
		}
	}
	return &wg, nil
}

// onlyConn is a client that may open one connection; a second dial means that the flow was broken.
func onlyConn(h *caller.Host, t *tally) *http.Client {
	var dials atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			t.brokenFlows.Add(1)
			t.fail("%s had to connect again to %s", h.Addr(), address)
		}
		t.flows.Add(1)
		return h.DialContext(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 1}}
}

// terminal keeps one connection open, reads pages and sends keyed requests.
func (d *deployment) terminal(ctx context.Context, h *caller.Host, rng *rand.Rand, t *tally) {
	client := onlyConn(h, t)
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		if rng.IntN(3) == 0 {
			d.keyed(client, h, n, t)
		} else {
			d.page(client, h, n, t)
		}
		pause(ctx, think+time.Duration(rng.Int64N(int64(think))))
	}
}

// browser opens a connection, reads a few pages and closes it.
func (d *deployment) browser(ctx context.Context, h *caller.Host, rng *rand.Rand, t *tally) {
	for visit := 0; ctx.Err() == nil; visit++ {
		client := onlyConn(h, t)
		for n := range pagesPerVisit {
			d.page(client, h, visit*pagesPerVisit+n, t)
		}
		client.CloseIdleConnections()
		pause(ctx, think+time.Duration(rng.Int64N(int64(think))))
	}
}

// page reads a page, which may be asked for again when it was refused.
func (d *deployment) page(client *http.Client, h *caller.Host, n int, t *tally) {
	path := fmt.Sprintf("/page/%s/%d", h.Addr(), n)
	d.request(client, http.MethodGet, path, "", nil, t)
}

// keyed sends a request that must not run twice.
func (d *deployment) keyed(client *http.Client, h *caller.Host, n int, t *tally) {
	key := fmt.Sprintf("%s-%s-%d", d.plan.name, h.Addr(), n)
	if d.request(client, http.MethodPost, "/order/"+key, key, []byte("body of "+key), t) {
		t.mu.Lock()
		t.keys = append(t.keys, key)
		t.mu.Unlock()
	}
}

// request sends one request, again if it was refused, and checks that the answer is whole and its own.
func (d *deployment) request(client *http.Client, method, path, key string, body []byte, t *tally) bool {
	for range resends {
		t.issued.Add(1)
		status, answer, err := send(client, method, "http://"+d.plan.requests.frontend.String()+path, key, body)
		switch {
		case err != nil:
			t.lost.Add(1)
			t.fail("%s %s: %v", method, path, err)
			return false
		case status == http.StatusOK && strings.Contains(answer, " "+path+" "+strconv.Itoa(len(body))+"\n"):
			t.answered.Add(1)
			return true
		case status == http.StatusOK:
			t.wrong.Add(1)
			t.fail("%s %s: answer %.80q", method, path, answer)
			return false
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			t.refused.Add(1)
			time.Sleep(think)
		default:
			t.unknown.Add(1)
			t.fail("%s %s: status %d: %.120s", method, path, status, answer)
			return false
		}
	}
	return false
}

func send(client *http.Client, method, url, key string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

// studio fetches images over the stream service.
func (d *deployment) studio(ctx context.Context, h *caller.Host, rng *rand.Rand, t *tally) {
	for n := 0; ctx.Err() == nil; n++ {
		client := onlyConn(h, t)
		path := fmt.Sprintf("/image/%s/%d", h.Addr(), n)
		body := bytes.Repeat([]byte("x"), imageLines)
		t.images.Add(1)
		status, answer, err := send(client, http.MethodPost, "http://"+d.plan.images.frontend.String()+path, "", body)
		if err != nil || status != http.StatusOK || !strings.Contains(answer, " "+path+" "+strconv.Itoa(len(body))+"\n") {
			t.cutImages.Add(1)
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
