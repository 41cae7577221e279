// Package metrics serves the Prometheus metrics of a process, and optionally pprof, on a separate port.
package metrics

import (
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Namespace prefixes every metric name.
const Namespace = "plantainseam"

// LatencyBuckets are the upper bounds in seconds of latency histograms: from a hop within a failure domain (1 ms) to the
// longest time limit of a request (6 s).
var LatencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 6}

// readHeaderTimeout bounds how long a scraper may take to send its request.
const readHeaderTimeout = 5 * time.Second

// NewRegistry returns a registry with the Go runtime and process collectors.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// NewServer returns an HTTP server for /metrics, and for /debug/pprof/ when withPprof is set.
func NewServer(r *prometheus.Registry, withPprof bool) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	if withPprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
}
