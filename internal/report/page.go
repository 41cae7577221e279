package report

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the svg format
)

// plottedCallers is the number of callers in the plot of callers, those with most ends first.
const plottedCallers = 15

// Size of a plot and the width of its bars.
const (
	plotWidth  = 17 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 14 // points
)

var page = template.Must(template.New("report").Funcs(template.FuncMap{"time": timeText, "number": number}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Closing report of {{.Service.Name}}</title>
<style>
body { font: 10pt sans-serif; margin: 2em; }
table { border-collapse: collapse; margin-bottom: 1.5em; }
th, td { border: 1px solid #999; padding: 2px 6px; text-align: left; }
tr { page-break-inside: avoid; }
@media print { @page { size: A4; margin: 15mm; } body { margin: 0; } }
</style></head><body>
<h1>Closing report of {{.Service.Name}}</h1>
<p>Service {{.Service.ID}}, {{.Service.Kind}} at {{.Service.Frontend}}, created {{time .Service.CreatedUnixMs}}, closed {{time .Service.ClosedUnixMs}}, revision {{.Service.Revision}}.</p>
<h2>Totals</h2>
<table><tr><th>unit</th><th>issued</th><th>normal</th><th>refused</th><th>broken</th><th>unknown</th><th>of these unreported</th></tr>
{{range .Records}}{{with .Total}}<tr><td>{{.Unit}}</td><td>{{.Issued}}</td><td>{{.Normal}}</td><td>{{.Refused}}</td><td>{{.Broken}}</td><td>{{.Unknown}}</td><td>{{.Unreported}}</td></tr>
{{end}}{{end}}</table>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}<h2>Sums</h2>
<table><tr><th>unit</th><th>outcome</th><th>count</th><th>with caller</th><th>without caller</th></tr>
{{range .Records}}{{with .Sum}}<tr><td>{{.Unit}}</td><td>{{.Outcome}}</td><td>{{.Count}}</td><td>{{.Listed}}</td><td>{{.Unlisted}}</td></tr>
{{end}}{{end}}</table>
<h2>Ended while an intent was carried out</h2>
<table><tr><th>intent</th><th>unit</th><th>outcome</th><th>count</th></tr>
{{range .Records}}{{with .During}}<tr><td>{{.Intent}}</td><td>{{.Unit}}</td><td>{{.Outcome}}</td><td>{{.Count}}</td></tr>
{{end}}{{end}}</table>
<h2>Unknown</h2>
<table><tr><th>what</th><th>count</th></tr>
{{range .Records}}{{with .Unknown}}<tr><td>{{.Text}}</td><td>{{number .Count}}</td></tr>
{{end}}{{end}}</table>
<h2>Changes</h2>
<table><tr><th>time</th><th>revision</th><th>change</th><th>intent</th><th>operator</th><th>plan</th><th>confirmed by</th><th>confirmed at</th></tr>
{{range .Records}}{{with .Change}}<tr><td>{{time .AtUnixMs}}</td><td>{{.Revision}}</td><td>{{.Text}}</td><td>{{number .Intent}}</td><td>{{.Operator}}</td><td>{{.Plan}}</td><td>{{.ConfirmedBy}}</td><td>{{time .ConfirmedUnixMs}}</td></tr>
{{end}}{{end}}</table>
<h2>Callers</h2>
<table><tr><th>caller</th><th>unit</th><th>outcome</th><th>intent</th><th>count</th><th>last</th></tr>
{{range .Records}}{{with .Caller}}<tr><td>{{.Caller}}</td><td>{{.Unit}}</td><td>{{.Outcome}}</td><td>{{number .Intent}}</td><td>{{.Count}}</td><td>{{time .LastUnixMs}}</td></tr>
{{end}}{{end}}</table>
<h2>Signatures</h2>
<table><tr><th>role</th><th>name</th><th>public key</th></tr>
{{range .Signatures}}<tr><td>{{.Role}}</td><td>{{.Name}}</td><td>{{.PublicKey}}</td></tr>
{{end}}</table>
<p>Last hash {{.Head}}</p>
</body></html>
`))

// WritePage prints the report as one HTML page with plots, for printing.
func (r *Report) WritePage(w io.Writer) error {
	plots, err := r.plots()
	if err != nil {
		return fmt.Errorf("plot report: %w", err)
	}
	return page.Execute(w, struct {
		Service    Service
		Records    []Record
		Signatures []Signature
		Plots      []template.HTML
		Head       string
	}{r.ServiceRecord(), r.Records, r.Signatures, plots, r.head()})
}

// bar is one bar of a plot.
type bar struct {
	label string
	value uint64
}

func (r *Report) plots() ([]template.HTML, error) {
	var outcomes []bar
	callers := map[string]uint64{}
	for _, rec := range r.Records {
		if rec.Sum != nil && rec.Sum.Code != started {
			outcomes = append(outcomes, bar{clean(rec.Sum.Unit + " " + rec.Sum.Outcome), rec.Sum.Count})
		}
		if rec.Caller != nil {
			callers[clean(rec.Caller.Caller)] += rec.Caller.Count
		}
	}
	var top []bar
	for caller, count := range callers {
		top = append(top, bar{caller, count})
	}
	slices.SortFunc(top, func(a, b bar) int { return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.label, b.label)) })
	top = top[:min(len(top), plottedCallers)]
	var out []template.HTML
	for _, p := range []struct {
		title string
		bars  []bar
	}{{"Ends by outcome", outcomes}, {"Callers with most ends", top}} {
		if len(p.bars) == 0 {
			continue
		}
		svg, err := barPlot(p.title, p.bars)
		if err != nil {
			return nil, err
		}
		out = append(out, svg)
	}
	return out, nil
}

func barPlot(title string, bars []bar) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "count"
	p.Y.Min = 0
	values := make(plotter.Values, len(bars))
	labels := make([]string, len(bars))
	for i, b := range bars {
		values[i] = float64(b.value)
		labels[i] = b.label
	}
	chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return "", err
	}
	p.Add(chart)
	p.NominalX(labels...)
	p.X.Tick.Label.Rotation = 0.4 // radians, so that long labels do not overlap
	p.X.Tick.Label.XAlign = -0.9
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := writer.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, found := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !found {
		return "", fmt.Errorf("the plot has no svg element")
	}
	return template.HTML(append([]byte("<svg"), svg...)), nil // made by the plot library, which escapes its texts
}
