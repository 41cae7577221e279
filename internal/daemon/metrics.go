package daemon

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/plantainseam/plantainseam/internal/agent"
	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/entry"
	"github.com/plantainseam/plantainseam/internal/gate"
	"github.com/plantainseam/plantainseam/internal/metrics"
	"github.com/plantainseam/plantainseam/internal/result"
)

// registerGauge registers a gauge that is read at each scrape.
func registerGauge(r *prometheus.Registry, subsystem, name, help string, read func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help,
	}, read))
}

// registerCounter registers a counter that is read at each scrape.
func registerCounter(r *prometheus.Registry, subsystem, name, help string, labels prometheus.Labels, read func() uint64) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help, ConstLabels: labels,
	}, func() float64 { return float64(read()) }))
}

func registerEntryMetrics(r *prometheus.Registry, e *entry.Entry, c *configuration) {
	const subsystem = "entry"
	registerGauge(r, subsystem, "revision", "Configuration revision in force.", func() float64 { return float64(c.revision()) })
	counts := map[string]func(entry.Counters) uint64{
		"forwarded":       func(c entry.Counters) uint64 { return c.Forwarded },
		"malformed":       func(c entry.Counters) uint64 { return c.Malformed },
		"oversized":       func(c entry.Counters) uint64 { return c.Oversized },
		"unknown-service": func(c entry.Counters) uint64 { return c.UnknownService },
		"no-home":         func(c entry.Counters) uint64 { return c.NoHome },
		"send-failed":     func(c entry.Counters) uint64 { return c.SendFailed },
	}
	for outcome, read := range counts {
		registerCounter(r, subsystem, "packets_total", "Packets from the fabric by outcome.", prometheus.Labels{"outcome": outcome},
			func() uint64 { return read(e.Counters()) })
	}
}

func registerAgentMetrics(r *prometheus.Registry, u *upstreamRole) {
	registerGateMetrics(r, u.gate)
	const subsystem = "agent"
	registerGauge(r, subsystem, "revision", "Configuration revision in force.", func() float64 { return float64(u.config.revision()) })
	registerGauge(r, subsystem, "flows", "Established flows.", func() float64 { return float64(len(u.agent.Flows())) })
	registerGauge(r, subsystem, "redirects", "Redirect entries.", func() float64 { return float64(u.agent.Stats().Redirects) })
	registerGauge(r, subsystem, "unsealed_buckets", "Home buckets that not every member has sealed.", func() float64 {
		return float64(u.agent.Stats().Unsealed)
	})
	registerGauge(r, subsystem, "account_mismatches", "Services whose account equation does not hold.", func() float64 {
		return float64(len(u.counter.Check()))
	})
	r.MustRegister(
		newCodeCollector(subsystem, "dropped_packets_total", "Dropped packets by result code.",
			func() map[result.Code]uint64 { return u.agent.Counters().Dropped }),
		newCodeCollector(subsystem, "ended_flows_total", "Established flows that ended, by result code.",
			func() map[result.Code]uint64 { return u.agent.Counters().EndedFlows }),
	)
	counts := map[string]func(agent.Counters) uint64{
		"delivered":  func(c agent.Counters) uint64 { return c.Delivered },
		"forwarded":  func(c agent.Counters) uint64 { return c.Forwarded },
		"reset":      func(c agent.Counters) uint64 { return c.ResetsSent },
		"message":    func(c agent.Counters) uint64 { return c.AgentMessages },
		"overflow":   func(c agent.Counters) uint64 { return c.Overflow },
		"to-callers": func(c agent.Counters) uint64 { return c.SentToCallers },
	}
	for outcome, read := range counts {
		registerCounter(r, subsystem, "packets_total", "Packets by outcome.", prometheus.Labels{"outcome": outcome},
			func() uint64 { return read(u.agent.Counters()) })
	}
}

// registerGateMetrics registers the metrics of the gate's connections and requests.
func registerGateMetrics(r *prometheus.Registry, g *gate.Gate) {
	const subsystem = "gate"
	gauges := []struct {
		name, help string
		read       func(gate.Stats) int
	}{
		{"connections", "Open connections of request services.", func(s gate.Stats) int { return s.Connections }},
		{"running_requests", "Requests at the local upstream.", func(s gate.Stats) int { return s.Running }},
		{"queued_requests", "Requests that wait for a slot.", func(s gate.Stats) int { return s.Queued }},
		{"elsewhere_requests", "Requests that another agent runs.", func(s gate.Stats) int { return s.AtOtherAgents }},
		{"unrecorded_keys", "Ended keyed requests that the bindings log has not recorded.", func(s gate.Stats) int { return s.Unrecorded }},
		{"retained_bytes", "Answers kept for retries, in bytes.", func(s gate.Stats) int { return s.RetainedBytes }},
		{"ejected_services", "Services whose local upstream is ejected.", func(s gate.Stats) int { return s.Ejected }},
	}
	for _, m := range gauges {
		registerGauge(r, subsystem, m.name, m.help, func() float64 { return float64(m.read(g.Stats())) })
	}
	counts := map[string]func(gate.Stats) uint64{
		"dispatched":         func(s gate.Stats) uint64 { return s.Dispatched },
		"handed-over":        func(s gate.Stats) uint64 { return s.HandedOver },
		"resent":             func(s gate.Stats) uint64 { return s.Resent },
		"joined":             func(s gate.Stats) uint64 { return s.Joined },
		"ejection":           func(s gate.Stats) uint64 { return s.Ejections },
		"refused-connection": func(s gate.Stats) uint64 { return s.RefusedConnections },
	}
	for event, read := range counts {
		registerCounter(r, subsystem, "events_total", "Events of requests.", prometheus.Labels{"event": event},
			func() uint64 { return read(g.Stats()) })
	}
}

// codeCollector exports counters labelled by result code. The codes that occur are not known in advance.
type codeCollector struct {
	description *prometheus.Desc
	read        func() map[result.Code]uint64
}

func newCodeCollector(subsystem, name, help string, read func() map[result.Code]uint64) codeCollector {
	full := prometheus.BuildFQName(metrics.Namespace, subsystem, name)
	return codeCollector{prometheus.NewDesc(full, help, []string{"code", "result"}, nil), read}
}

// Describe implements prometheus.Collector.
func (c codeCollector) Describe(out chan<- *prometheus.Desc) { out <- c.description }

// Collect implements prometheus.Collector.
func (c codeCollector) Collect(out chan<- prometheus.Metric) {
	for code, count := range c.read() {
		out <- prometheus.MustNewConstMetric(c.description, prometheus.CounterValue, float64(count),
			strconv.Itoa(int(code)), code.String())
	}
}

func registerControlMetrics(r *prometheus.Registry, c *controlRole) {
	const subsystem = "control"
	registerGauge(r, subsystem, "revision", "Newest committed configuration revision.", func() float64 {
		return float64(c.state.Config().Revision)
	})
	registerGauge(r, subsystem, "leader", "1 on the leader of the catalog log.", func() float64 {
		if c.catalog.Status().Role == consensus.Leader {
			return 1
		}
		return 0
	})
	registerGauge(r, subsystem, "term", "Term of the catalog log.", func() float64 { return float64(c.catalog.Status().Term) })
	registerGauge(r, subsystem, "commit_index", "Commit index of the catalog log.", func() float64 {
		return float64(c.catalog.Status().Commit)
	})
}
