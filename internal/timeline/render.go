package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/go-logfmt/logfmt"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteText writes one logfmt line per event.
func WriteText(w io.Writer, events []Event) error {
	enc := logfmt.NewEncoder(w)
	for _, e := range events {
		if err := enc.EncodeKeyvals(keyvals(e)...); err != nil {
			return fmt.Errorf("encode event %d of %s: %w", e.Sequence, e.Process, err)
		}
		if err := enc.EndRecord(); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return nil
}

// keyvals returns the set fields of an event.
func keyvals(e Event) []any {
	at := time.UnixMilli(e.Time.Wall).UTC().Format("2006-01-02T15:04:05.000Z")
	kv := []any{"time", at, "logical", e.Time.Logical, "process", e.Process.String(), "seq", e.Sequence, "kind", string(e.Kind)}
	if e.Service != 0 {
		kv = append(kv, "service", uint32(e.Service))
	}
	if e.Host != "" {
		kv = append(kv, "host", string(e.Host))
	}
	if e.Intent != 0 {
		kv = append(kv, "intent", e.Intent)
	}
	if e.Caller != "" {
		kv = append(kv, "caller", e.Caller)
	}
	if e.Code != 0 {
		kv = append(kv, "code", int(e.Code))
	}
	if e.Detail != "" {
		kv = append(kv, "detail", e.Detail)
	}
	return kv
}

// WriteJSON writes the events as one JSON array.
func WriteJSON(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(events)
}

// Size of the SVG picture.
const (
	pictureWidth  = 30 * vg.Centimeter
	pictureHeight = 16 * vg.Centimeter
)

// WriteSVG draws one row per process with a mark for each event, over seconds since the first event.
func WriteSVG(w io.Writer, events []Event) error {
	p := plot.New()
	p.Title.Text = "Events"
	p.X.Label.Text = "seconds since the first event"
	rows := processRows(events)
	p.NominalY(rows...)
	points := eventPoints(events, rows)
	if len(points) > 0 {
		marks, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("plot events: %w", err)
		}
		p.Add(marks, plotter.NewGrid())
	}
	out, err := p.WriterTo(pictureWidth, pictureHeight, "svg")
	if err != nil {
		return fmt.Errorf("draw events: %w", err)
	}
	_, err = out.WriteTo(w)
	return err
}

// processRows returns the names of all processes, sorted.
func processRows(events []Event) []string {
	seen := map[string]bool{}
	var rows []string
	for _, e := range events {
		name := e.Process.String()
		if !seen[name] {
			seen[name] = true
			rows = append(rows, name)
		}
	}
	sort.Strings(rows)
	return rows
}

func eventPoints(events []Event, rows []string) plotter.XYs {
	row := map[string]float64{}
	for i, name := range rows {
		row[name] = float64(i)
	}
	var points plotter.XYs
	for _, e := range events {
		seconds := float64(e.Time.Wall-events[0].Time.Wall) / 1000
		points = append(points, plotter.XY{X: seconds, Y: row[e.Process.String()]})
	}
	return points
}
