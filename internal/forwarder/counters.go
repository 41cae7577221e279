package forwarder

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plantainseam/plantainseam/internal/metrics"
	"github.com/plantainseam/plantainseam/internal/passthrough"
)

// counters are the metrics of an entry or agent.
type counters struct {
	packets *prometheus.CounterVec
	resets  *prometheus.CounterVec
	faults  *prometheus.CounterVec
	opening prometheus.Histogram // entries
	search  prometheus.Histogram // entries
	bounces prometheus.Counter   // agents
}

func newCounters() *counters {
	return &counters{
		packets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "packets_total", Help: "Packets by decision.",
		}, []string{"reason"}),
		resets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "resets_total", Help: "Resets sent to callers.",
		}, []string{"reason"}),
		faults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "packet_faults_total", Help: "Packets that could not be read or sent.",
		}, []string{"fault"}),
		opening: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metrics.Namespace, Name: "flow_open_seconds", Buckets: metrics.LatencyBuckets,
			Help: "Time from the first packet of a new flow until an agent tells that its upstream has answered.",
		}),
		search: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metrics.Namespace, Name: "flow_search_seconds", Buckets: metrics.LatencyBuckets,
			Help: "Time from the first packet of an unknown flow until its holder is found.",
		}),
		bounces: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "returned_packets_total", Help: "Packets that the upstream did not accept.",
		}),
	}
}

func (c *counters) addDecision(d passthrough.Decision) {
	c.packets.WithLabelValues(string(d.Reason)).Inc()
	if d.Verdict == passthrough.SendReset {
		c.resets.WithLabelValues(string(d.Reason)).Inc()
	}
}

// addResolution records how long a caller waited for the holder of its flow.
func (c *counters) addResolution(a passthrough.Resolution) {
	seconds := float64(a.ElapsedMs) / 1000
	switch {
	case a.Found:
		c.search.Observe(seconds)
	case a.Opened:
		c.opening.Observe(seconds)
	}
}

func (c *counters) addFault(fault string) { c.faults.WithLabelValues(fault).Inc() }

// Register adds the metrics of the entry.
func (e *Entry) Register(r prometheus.Registerer) {
	r.MustRegister(e.counts.packets, e.counts.resets, e.counts.faults, e.counts.opening, e.counts.search)
}

// Register adds the metrics of the agent.
func (a *Agent) Register(r prometheus.Registerer) {
	r.MustRegister(a.counts.packets, a.counts.resets, a.counts.faults, a.counts.bounces)
}
