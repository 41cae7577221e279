package forwarder

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plantainseam/plantainseam/internal/metrics"
	"github.com/plantainseam/plantainseam/internal/passthrough"
)

// counters counts the decisions about packets.
type counters struct {
	packets *prometheus.CounterVec
	faults  *prometheus.CounterVec
}

func newCounters() *counters {
	return &counters{
		packets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "packets_total", Help: "Packets by decision.",
		}, []string{"reason"}),
		faults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "packet_faults_total", Help: "Packets that could not be read or sent.",
		}, []string{"fault"}),
	}
}

func (c *counters) decision(d passthrough.Decision) {
	c.packets.WithLabelValues(string(d.Reason)).Inc()
}

func (c *counters) add(fault string) { c.faults.WithLabelValues(fault).Inc() }

// Register adds the metrics of the entry.
func (e *Entry) Register(r prometheus.Registerer) { r.MustRegister(e.counts.packets, e.counts.faults) }

// Register adds the metrics of the agent.
func (a *Agent) Register(r prometheus.Registerer) { r.MustRegister(a.counts.packets, a.counts.faults) }
