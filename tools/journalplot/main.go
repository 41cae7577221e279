// Journalplot draws the journal of measured runs: the score of each site over its whole runs, and the worth of each of
// its standard days.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"time"

	"github.com/jessevdk/go-flags"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

type options struct {
	Journal string `long:"journal" default:"journal" description:"folder of the journal's entries"`
	Out     string `long:"out" default:"docs/plots" description:"folder for the pictures"`
}

// Size of a picture.
const (
	width  = 9 * vg.Inch
	height = 4.5 * vg.Inch
	// legendRoom leaves the right quarter of a picture to the legend.
	legendRoom = 1.3
)

// entry is the part of a journal entry that is drawn.
type entry struct {
	ID    string   `json:"id"`
	At    []string `json:"at"`
	Cmd   string   `json:"cmd"`
	Site  string   `json:"site"`
	Score *float64 `json:"score"`
	Days  []day    `json:"days"`
}

type day struct {
	Name  string  `json:"name"`
	Worth float64 `json:"G"`
}

// round is one whole run of a site's standard days.
type round struct {
	at    time.Time
	score float64
	worth map[string]float64 // by day
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "journalplot:", err)
		os.Exit(1)
	}
}

func run(o options, out io.Writer) error {
	sites, err := read(o.Journal)
	if err != nil {
		return err
	}
	if len(sites) == 0 {
		return fmt.Errorf("no whole run of a site in %s", o.Journal)
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return fmt.Errorf("create folder for pictures: %w", err)
	}
	for _, site := range sortedKeys(sites) {
		path := filepath.Join(o.Out, site+".png")
		if err := draw(site, sites[site], path); err != nil {
			return fmt.Errorf("draw %s: %w", site, err)
		}
		if _, err := fmt.Fprintf(out, "%s: %d runs\n", path, len(sites[site])); err != nil {
			return err
		}
	}
	return nil
}

// read returns the whole runs of each site, oldest first.
func read(folder string) (map[string][]round, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", folder, err)
	}
	sites := map[string][]round{}
	for _, path := range files {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read entry: %w", err)
		}
		var e entry
		if err := json.Unmarshal(content, &e); err != nil {
			return nil, fmt.Errorf("entry %s: %w", path, err)
		}
		if e.Cmd != "score" || e.Score == nil || e.Site == "" || len(e.At) == 0 {
			continue // other commands, and runs that did not finish
		}
		at, err := time.Parse(time.RFC3339, e.At[0])
		if err != nil {
			return nil, fmt.Errorf("entry %s: %w", path, err)
		}
		r := round{at: at, score: *e.Score, worth: map[string]float64{}}
		for _, d := range e.Days {
			r.worth[d.Name] = d.Worth
		}
		sites[e.Site] = append(sites[e.Site], r)
	}
	for _, rounds := range sites {
		sort.Slice(rounds, func(i, j int) bool { return rounds[i].at.Before(rounds[j].at) })
	}
	return sites, nil
}

// standard returns the names of the days that at least two runs played. Days drawn for one run have names of their own.
func standard(rounds []round) []string {
	runs := map[string]int{}
	for _, r := range rounds {
		for name := range r.worth {
			runs[name]++
		}
	}
	var out []string
	for name, n := range runs {
		if n > 1 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func draw(site string, rounds []round, path string) error {
	p := plot.New()
	p.Title.Text = site
	p.X.Label.Text = "whole runs, oldest first"
	p.Y.Label.Text = "worth of a day, score of the site"
	var series []any
	var scores plotter.XYs
	for i, r := range rounds {
		scores = append(scores, plotter.XY{X: float64(i + 1), Y: r.score})
	}
	series = append(series, "score", scores)
	for _, name := range standard(rounds) {
		var points plotter.XYs
		for i, r := range rounds {
			if worth, ok := r.worth[name]; ok {
				points = append(points, plotter.XY{X: float64(i + 1), Y: worth})
			}
		}
		series = append(series, name, points)
	}
	if err := plotutil.AddLinePoints(p, series...); err != nil {
		return err
	}
	p.X.Max = legendRoom * float64(len(rounds))
	return p.Save(width, height, path)
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
