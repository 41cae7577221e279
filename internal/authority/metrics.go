package authority

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/metrics"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/roster"
)

// spreadCheckInterval is how often the versions in the roster are compared with the latest one. Processes report every 400 ms.
const spreadCheckInterval = 100 * time.Millisecond

// liveAge is the age from which a process no longer counts as alive: five missed reports, the same limit as for new flows.
const liveAge = 5 * roster.Interval

// instruments holds the metrics of a control VM.
type instruments struct {
	declare    *prometheus.HistogramVec
	read       prometheus.Histogram
	leaderless prometheus.Histogram
	spread     prometheus.Histogram

	version, leading, voters, settled, agents, ratio *prometheus.Desc
}

func newInstruments() *instruments {
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metrics.Namespace, Name: name, Help: help, Buckets: metrics.LatencyBuckets,
		})
	}
	gauge := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(metrics.Namespace, "", name), help, labels, nil)
	}
	return &instruments{
		declare: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metrics.Namespace, Name: "declaration_seconds", Buckets: metrics.LatencyBuckets,
			Help: "Time to answer a declaration, by the number of its result code; 0 is an acknowledgement.",
		}, []string{"code"}),
		read:       histogram("declaration_read_seconds", "Time to confirm which declaration is the newest."),
		leaderless: histogram("leaderless_seconds", "Time without a known leader, for each such span."),
		spread:     histogram("declaration_spread_seconds", "Time from applying a declaration until every live process has it in force."),
		version:    gauge("declaration_version", "Newest declaration applied here."),
		leading:    gauge("leading", "1 at the leader of the group."),
		voters:     gauge("group_voters", "Voting members of the group."),
		settled:    gauge("roster_settled", "1 once the roster is known to include every live process."),
		agents:     gauge("agents", "Agents in the roster.", "state"),
		ratio:      gauge("load_ratio", "Flows for each slot on the busiest active upstream over the mean.", "service"),
	}
}

// Register adds the metrics of the control VM.
func (a *Authority) Register(r prometheus.Registerer) {
	r.MustRegister(a.instruments.declare, a.instruments.read, a.instruments.leaderless, a.instruments.spread, a)
}

// Describe implements prometheus.Collector.
func (a *Authority) Describe(out chan<- *prometheus.Desc) {
	i := a.instruments
	for _, d := range []*prometheus.Desc{i.version, i.leading, i.voters, i.settled, i.agents, i.ratio} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (a *Authority) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	version, _ := a.machine.Latest()
	gauge(a.instruments.version, float64(version))
	leading, settled, voters := 0.0, 0.0, 0
	if a.store.Settled(time.Now()) {
		settled = 1
	}
	gauge(a.instruments.settled, settled)
	if status, ok := a.group.Status(); ok {
		voters = status.Membership.Voters()
		if status.Role == consensus.Leader {
			leading = 1
		}
	}
	gauge(a.instruments.leading, leading)
	gauge(a.instruments.voters, float64(voters))
	records := a.store.List(time.Now())
	for state, n := range agentStates(records) {
		gauge(a.instruments.agents, float64(n), state)
	}
	for service, ratio := range loadRatios(records) {
		gauge(a.instruments.ratio, ratio, service)
	}
}

// agentStates counts the agents by the state of their upstreams.
func agentStates(records []roster.Record) map[string]int {
	names := map[roster.State]string{
		roster.StateNone: "unheard", roster.StateActive: "active", roster.StateDraining: "draining", roster.StateVacant: "vacant",
		roster.StateFailing: "failing",
	}
	out := map[string]int{}
	for _, name := range names {
		out[name] = 0
	}
	for _, r := range records {
		if r.Kind == roster.KindAgent {
			out[names[r.State]]++
		}
	}
	return out
}

// loadRatios returns, by service, the flows per slot of the busiest active upstream divided by the mean of all active upstreams.
func loadRatios(records []roster.Record) map[string]float64 {
	type load struct{ most, flows, slots float64 }
	loads := map[string]load{}
	for _, r := range records {
		if r.Kind != roster.KindAgent || r.State != roster.StateActive || r.Slots == 0 {
			continue
		}
		l := loads[r.Service]
		l.most = max(l.most, float64(r.Flows)/float64(r.Slots))
		l.flows += float64(r.Flows)
		l.slots += float64(r.Slots)
		loads[r.Service] = l
	}
	out := map[string]float64{}
	for service, l := range loads {
		if l.flows > 0 {
			out[service] = l.most * l.slots / l.flows
		}
	}
	return out
}

// spreadTimer measures the time from applying a declaration until it is in force at every live process.
type spreadTimer struct {
	version uint64
	since   time.Time
	done    bool
}

// update evaluates the roster at a time. It returns the elapsed time, once for each version, when the latest declaration is in
// force at every live process.
func (s *spreadTimer) update(now time.Time, held uint64, records []roster.Record) (time.Duration, bool) {
	if held != s.version {
		*s = spreadTimer{version: held, since: now}
	}
	if s.done || held == 0 {
		return 0, false
	}
	for _, r := range records {
		forwards := r.Kind == roster.KindEntry || r.Kind == roster.KindAgent
		if forwards && !r.Leaving && r.Age < liveAge && r.Version < held {
			return 0, false
		}
	}
	s.done = true
	return now.Sub(s.since), true
}

// measureSpread records the time until each declaration is in force at every live process, until ctx is done.
func (a *Authority) measureSpread(ctx context.Context) {
	ticker := time.NewTicker(spreadCheckInterval)
	defer ticker.Stop()
	var s spreadTimer
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			held, _ := a.machine.Latest()
			if s.done && held == s.version {
				continue
			}
			if span, ok := s.update(now, held, a.store.List(now)); ok {
				a.instruments.spread.Observe(span.Seconds())
				_ = a.cfg.Logger.Log("event", "declaration_everywhere", "version", held, "ms", span.Milliseconds())
			}
		}
	}
}

// codeLabel returns the value of the metric label "code" for an error.
func codeLabel(err error) string { return strconv.Itoa(int(result.CodeOf(err))) }
