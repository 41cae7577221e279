package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plantainseam/plantainseam/internal/agent"
	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/entry"
	"github.com/plantainseam/plantainseam/internal/metrics"
)

// gauge registers a value that is read at each scrape.
func gauge(r *prometheus.Registry, subsystem, name, help string, read func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help,
	}, read))
}

// total registers a counter that is read at each scrape.
func total(r *prometheus.Registry, subsystem, name, help string, labels prometheus.Labels, read func() uint64) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help, ConstLabels: labels,
	}, func() float64 { return float64(read()) }))
}

func registerEntryMetrics(r *prometheus.Registry, e *entry.Entry, c *configuration) {
	const subsystem = "entry"
	gauge(r, subsystem, "revision", "Configuration revision in force.", func() float64 { return float64(c.revision()) })
	counts := map[string]func(entry.Counters) uint64{
		"forwarded":       func(c entry.Counters) uint64 { return c.Forwarded },
		"malformed":       func(c entry.Counters) uint64 { return c.Malformed },
		"oversized":       func(c entry.Counters) uint64 { return c.Oversized },
		"unknown-service": func(c entry.Counters) uint64 { return c.UnknownService },
		"no-home":         func(c entry.Counters) uint64 { return c.NoHome },
		"send-failed":     func(c entry.Counters) uint64 { return c.SendFailed },
	}
	for outcome, read := range counts {
		total(r, subsystem, "packets_total", "Packets from the fabric by outcome.", prometheus.Labels{"outcome": outcome},
			func() uint64 { return read(e.Counters()) })
	}
}

func registerAgentMetrics(r *prometheus.Registry, u *upstreamRole) {
	const subsystem = "agent"
	gauge(r, subsystem, "revision", "Configuration revision in force.", func() float64 { return float64(u.config.revision()) })
	gauge(r, subsystem, "flows", "Established flows.", func() float64 { return float64(len(u.agent.Flows())) })
	gauge(r, subsystem, "redirects", "Redirect entries.", func() float64 { return float64(u.agent.Stats().Redirects) })
	gauge(r, subsystem, "unsealed_buckets", "Home buckets that not every member has sealed.", func() float64 {
		return float64(u.agent.Stats().Unsealed)
	})
	gauge(r, subsystem, "waiting_requests", "Callers that wait for an answer.", func() float64 {
		return float64(u.gate.Stats().Waiting)
	})
	gauge(r, subsystem, "account_mismatches", "Services whose account equation does not hold.", func() float64 {
		return float64(len(u.counter.Check()))
	})
	counts := map[string]func(agent.Counters) uint64{
		"delivered":  func(c agent.Counters) uint64 { return c.Delivered },
		"forwarded":  func(c agent.Counters) uint64 { return c.Forwarded },
		"reset":      func(c agent.Counters) uint64 { return c.Resets },
		"message":    func(c agent.Counters) uint64 { return c.Messages },
		"overflow":   func(c agent.Counters) uint64 { return c.Overflow },
		"to-callers": func(c agent.Counters) uint64 { return c.ToCallers },
	}
	for outcome, read := range counts {
		total(r, subsystem, "packets_total", "Packets by outcome.", prometheus.Labels{"outcome": outcome},
			func() uint64 { return read(u.agent.Counters()) })
	}
}

func registerControlMetrics(r *prometheus.Registry, c *controlRole) {
	const subsystem = "control"
	gauge(r, subsystem, "revision", "Newest committed configuration revision.", func() float64 {
		return float64(c.state.Config().Revision)
	})
	gauge(r, subsystem, "leader", "1 on the leader of the catalog log.", func() float64 {
		if c.catalog.Status().Role == consensus.Leader {
			return 1
		}
		return 0
	})
	gauge(r, subsystem, "term", "Term of the catalog log.", func() float64 { return float64(c.catalog.Status().Term) })
	gauge(r, subsystem, "commit_index", "Commit index of the catalog log.", func() float64 {
		return float64(c.catalog.Status().Commit)
	})
}
