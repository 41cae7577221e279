package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gopkg.in/yaml.v3"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// experiment is a load that is played several times with one parameter varied. Times are in milliseconds.
type experiment struct {
	Name      string    `yaml:"name"`
	Parameter string    `yaml:"parameter"` // callers, edges, sides, loss, work_ms, cold_ms or failing
	Values    []float64 `yaml:"values"`
	Seconds   int       `yaml:"seconds"` // of load, for each value
	Edges     int       `yaml:"edges"`
	Sides     int       `yaml:"sides"`
	Cores     int       `yaml:"cores"`
	Callers   int       `yaml:"callers"`
	Loss      float64   `yaml:"loss"`
	Model     struct {
		WorkMs float64 `yaml:"work_ms"`
		Slots  int     `yaml:"slots"`
		ColdMs float64 `yaml:"cold_ms"`
		ColdX  float64 `yaml:"cold_x"`
	} `yaml:"upstream"`
	Failing   int     `yaml:"failing"`    // upstreams that reset a part of their requests
	FailShare float64 `yaml:"fail_share"` // this part
}

// parameters are the ways to vary an experiment.
var parameters = map[string]func(e *experiment, v float64){
	"callers": func(e *experiment, v float64) { e.Callers = int(v) },
	"edges":   func(e *experiment, v float64) { e.Edges = int(v) },
	"sides":   func(e *experiment, v float64) { e.Sides = int(v) },
	"loss":    func(e *experiment, v float64) { e.Loss = v },
	"work_ms": func(e *experiment, v float64) { e.Model.WorkMs = v },
	"cold_ms": func(e *experiment, v float64) { e.Model.ColdMs = v },
	"failing": func(e *experiment, v float64) { e.Failing = int(v) },
}

// mostProcesses bounds the processes of an experiment.
const mostProcesses = 200

// readExperiment reads and checks a description. Errors name the field.
func readExperiment(path string) (*experiment, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	var e experiment
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&e); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	vary := parameters[e.Parameter]
	switch {
	case e.Name == "" || strings.ContainsAny(e.Name, "/ "):
		return nil, fmt.Errorf("experiment %s: name: %q is no file name", path, e.Name)
	case vary == nil:
		return nil, fmt.Errorf("experiment %s: parameter: %q is not known", path, e.Parameter)
	case len(e.Values) == 0 || e.Seconds <= 0:
		return nil, fmt.Errorf("experiment %s: values and seconds are needed", path)
	}
	for _, v := range e.Values {
		one := e
		vary(&one, v)
		if one.Edges < 1 || one.Sides < 3 || one.Cores < 1 || one.Callers < 1 || one.Edges+one.Sides+one.Cores > mostProcesses ||
			one.Failing < 0 || one.Failing > one.Sides {
			return nil, fmt.Errorf("experiment %s: %s = %v: needs 1 edge, 3 sides, 1 core and 1 caller, at most %d processes, "+
				"and no more failing upstreams than sides", path, e.Parameter, v, mostProcesses)
		}
	}
	return &e, nil
}

// outcome is what one value of the parameter gave.
type outcome struct {
	value    float64
	perS     float64 // answers a second
	p50, p99 time.Duration
	ratio    float64 // busiest upstream over the mean, first service
	failed   int     // flows refused, reset by the system or their host, or timed out
}

// runExperiment plays all values and writes a table and a picture into the folder.
func runExperiment(e *experiment, daemon, folder string, out io.Writer) error {
	var outcomes []outcome
	for _, v := range e.Values {
		one := *e
		parameters[e.Parameter](&one, v)
		o, err := one.play(daemon)
		if err != nil {
			return fmt.Errorf("%s = %v: %w", e.Parameter, v, err)
		}
		o.value = v
		outcomes = append(outcomes, o)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("folder for results: %w", err)
	}
	text := e.table(outcomes)
	if _, err := io.WriteString(out, text); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, e.Name+".md"), []byte(text), 0o644); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return e.draw(outcomes, filepath.Join(folder, e.Name+".png"))
}

// play runs the real processes under the load.
func (e *experiment) play(daemon string) (outcome, error) {
	folder, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return outcome{}, fmt.Errorf("folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := newSoak(options{
		Seed: 1, Edges: e.Edges, Sides: e.Sides, Cores: e.Cores, Callers: e.Callers, Loss: e.Loss, Network: experimentNetwork,
		Daemon: daemon,
		Model: standin.Model{
			Work: milliseconds(e.Model.WorkMs), Slots: e.Model.Slots, Cold: milliseconds(e.Model.ColdMs), ColdX: e.Model.ColdX,
		},
	}, folder)
	if err != nil {
		return outcome{}, err
	}
	defer s.end()
	if err := s.surround(); err != nil {
		return outcome{}, err
	}
	for _, m := range s.site.Sides()[:e.Failing] {
		s.site.Host(m).Fail(e.FailShare)
	}
	started := time.Now()
	time.Sleep(time.Duration(e.Seconds) * time.Second)
	took := time.Since(started).Seconds()
	if v := s.site.Watch.Violations(); len(v) > 0 {
		return outcome{}, fmt.Errorf("%s: %s", v[0].Rule, v[0].What)
	}
	latencies := s.site.Watch.Latencies()
	slices.Sort(latencies)
	counts := s.site.Watch.Counts()
	return outcome{
		perS: float64(len(latencies)) / took, p50: percentile(latencies, 50), p99: percentile(latencies, 99),
		ratio: busiest(s.site.Hosts()), failed: counts["refused"] + counts["reset"] + counts["timed out"] + counts["reset by host"],
	}, nil
}

// experimentNetwork is the second byte of the loopback addresses of experiments, apart from that of soaks.
const experimentNetwork = 89

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// percentile returns a percentile of sorted values, 0 for none.
func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*p/100, len(sorted)-1)]
}

// busiest returns the answers of the busiest host over the mean, for the service with the most hosts.
func busiest(hosts []*standin.Host) float64 {
	answers := map[string][]int{}
	for _, h := range hosts {
		answers[h.Service] = append(answers[h.Service], h.Answered())
	}
	var most []int
	for _, a := range answers {
		if len(a) > len(most) {
			most = a
		}
	}
	sum := 0
	for _, a := range most {
		sum += a
	}
	if sum == 0 {
		return 0
	}
	return float64(slices.Max(most)) * float64(len(most)) / float64(sum)
}

func (e *experiment) table(outcomes []outcome) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s | answers/s | p50 ms | p99 ms | busiest/mean | failed flows |\n|---|---|---|---|---|---|\n", e.Parameter)
	for _, o := range outcomes {
		fmt.Fprintf(&b, "| %v | %.1f | %.1f | %.1f | %.2f | %d |\n", o.value, o.perS,
			o.p50.Seconds()*1000, o.p99.Seconds()*1000, o.ratio, o.failed)
	}
	return b.String()
}

// draw writes a picture of the latencies over the parameter.
func (e *experiment) draw(outcomes []outcome, path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = e.Name, e.Parameter, "ms"
	p.Legend.Top, p.Legend.Left = true, true
	var p50, p99 plotter.XYs
	for _, o := range outcomes {
		p50 = append(p50, plotter.XY{X: o.value, Y: o.p50.Seconds() * 1000})
		p99 = append(p99, plotter.XY{X: o.value, Y: o.p99.Seconds() * 1000})
	}
	if err := plotutil.AddLinePoints(p, "p50", p50, "p99", p99); err != nil {
		return fmt.Errorf("draw: %w", err)
	}
	if err := p.Save(6*vg.Inch, 4*vg.Inch, path); err != nil {
		return fmt.Errorf("draw: %w", err)
	}
	return nil
}
