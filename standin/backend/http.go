package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Headers and paths of the stand-in.
const (
	KeyHeader  = "Idempotency-Key"
	ServedBy   = "Served-By"
	HealthPath = "/healthz"
	LoadPath   = "/load"
)

// Behaviour is how an HTTP server answers.
type Behaviour struct {
	Delay      time.Duration // time that a run takes
	Cold       bool          // health says not ready and requests are refused without a run
	Shed       bool          // requests are refused with 503 without a run
	ReportLoad *float64      // misreported load; nil reports the true one
	Truncate   bool          // the connection is closed in the middle of the answer
}

// Load is the body of the load endpoint.
type Load struct {
	Running int     `json:"running"`
	Slots   int     `json:"slots"`
	Load    float64 `json:"load"`
}

// HTTP is an upstream process that counts its runs.
type HTTP struct {
	name     string
	slots    int
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	behaviour Behaviour
	runs      map[string]int // by idempotency key
	running   int
	peak      int
	finished  int
	cancelled int
}

// NewHTTP starts a server on a loopback port.
func NewHTTP(name string, slots int) (*HTTP, error) { return ListenHTTP("127.0.0.1:0", name, slots) }

// ListenHTTP starts a server on the given address.
func ListenHTTP(address, name string, slots int) (*HTTP, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("http server: %w", err)
	}
	h := &HTTP{name: name, slots: slots, listener: listener, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc(HealthPath, h.health)
	mux.HandleFunc(LoadPath, h.load)
	mux.HandleFunc("/", h.serve)
	h.server = &http.Server{Handler: mux}
	go func() { _ = h.server.Serve(listener) }()
	return h, nil
}

// Addr is the address of the server.
func (h *HTTP) Addr() netip.AddrPort { return h.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set replaces the behaviour of later requests.
func (h *HTTP) Set(b Behaviour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.behaviour = b
}

// Runs returns how often the request with an idempotency key was run.
func (h *HTTP) Runs(key string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[key]
}

// Total returns the number of runs that began.
func (h *HTTP) Total() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.finished + h.cancelled + h.running
}

// Finished returns the number of runs whose answer was written, and of those whose caller went away.
func (h *HTTP) Finished() (finished, cancelled int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.finished, h.cancelled
}

// Peak returns the highest number of simultaneous runs.
func (h *HTTP) Peak() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peak
}

func (h *HTTP) current() Behaviour {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.behaviour
}

func (h *HTTP) health(w http.ResponseWriter, _ *http.Request) {
	if h.current().Cold {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (h *HTTP) load(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	report := Load{Running: h.running, Slots: h.slots, Load: float64(h.running) / float64(h.slots)}
	if h.behaviour.ReportLoad != nil {
		report.Load = *h.behaviour.ReportLoad
	}
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (h *HTTP) serve(w http.ResponseWriter, r *http.Request) {
	b := h.current()
	w.Header().Set(ServedBy, h.name)
	if b.Cold || b.Shed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h.begin(r.Header.Get(KeyHeader))
	complete := false
	defer func() { h.end(complete) }()
	complete = h.run(w, r, b, body)
}

// run takes its time and writes the answer. It returns false when the caller went away.
func (h *HTTP) run(w http.ResponseWriter, r *http.Request, b Behaviour, body []byte) bool {
	timer := time.NewTimer(b.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	answer := fmt.Sprintf("%s %s %s %d\n", h.name, r.Method, r.URL.Path, len(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if b.Truncate {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := io.WriteString(w, answer)
	return err == nil
}

func (h *HTTP) begin(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[key]++
	h.running++
	h.peak = max(h.peak, h.running)
}

func (h *HTTP) end(complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	if complete {
		h.finished++
		return
	}
	h.cancelled++
}

// Close stops the server and its connections.
func (h *HTTP) Close() { _ = h.server.Close() }
