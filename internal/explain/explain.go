// Package explain merges the logs of all processes into the time line of one flow and names the likely cause of its end.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one line of a log.
type Line struct {
	At     time.Time
	Node   string
	Event  string
	Fields []string // key=value, without time, node and event
}

// maxLineBytes bounds a line; longer ones are an error of the file.
const maxLineBytes = 1 << 20

// context is how long before the first and after the last line of a flow other decisions of the same processes are shown.
const context = 3 * time.Second

// contextEvents are the lines without a flow that explain what happens to flows.
var contextEvents = map[string]bool{
	"start": true, "stopping": true, "stop": true, "declaration_in_force": true, "roster_changed": true,
	"control_lost": true, "control_regained": true, "upstream_announced": true, "upstream_gone": true,
	"log_lines_omitted": true, "isolated": true,
}

// Read reads all files of a folder whose names end in .log.
func Read(folder string) ([]Line, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("list logs in %s: %w", folder, err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no file in %s ends in .log", folder)
	}
	var lines []Line
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		more, err := parse(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, fmt.Errorf("log %s: %w", path, err)
		}
		lines = append(lines, more...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	return lines, nil
}

// parse reads the lines of a log. What is no line of ours, such as a stack trace, is passed over.
func parse(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parseLine(text string) (Line, bool) {
	if i := strings.Index(text, "time="); i > 0 {
		text = text[i:] // whoever collects logs may put a name in front
	}
	d := logfmt.NewDecoder(strings.NewReader(text))
	l := Line{}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "time":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return l, false
				}
				l.At = at
			case "node":
				l.Node = value
			case "event":
				l.Event = value
			default:
				l.Fields = append(l.Fields, key+"="+value)
			}
		}
	}
	return l, d.Err() == nil && !l.At.IsZero() && l.Event != ""
}

func (l Line) field(key string) string {
	for _, f := range l.Fields {
		if strings.HasPrefix(f, key+"=") {
			return f[len(key)+1:]
		}
	}
	return ""
}

// about reports whether the line names the flow. id is a flow, or the address and port of its caller.
func (l Line) about(id string) bool {
	flow := l.field("flow")
	return flow == id || strings.HasPrefix(flow, id+">")
}

// Flow returns the time line of a flow: its own lines, and other decisions of the processes that it touched.
func Flow(lines []Line, id string) []Line {
	nodes := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if !l.about(id) {
			continue
		}
		nodes[l.Node] = true
		if first.IsZero() {
			first = l.At
		}
		last = l.At
	}
	var out []Line
	for _, l := range lines {
		near := nodes[l.Node] && contextEvents[l.Event] && l.At.After(first.Add(-context)) && l.At.Before(last.Add(context))
		if l.about(id) || near || nodes[l.Node] && l.silentDuring(first, last) {
			out = append(out, l)
		}
	}
	return out
}

// silentDuring reports whether the line says that an agent was silent at some time between first and last.
func (l Line) silentDuring(first, last time.Time) bool {
	since, ok := l.silentSince()
	return ok && since.Before(last) && l.At.After(first)
}

// silentSince returns when the agent that the line calls silent reported last.
func (l Line) silentSince() (time.Time, bool) {
	if l.Event != "agent_silent" {
		return time.Time{}, false
	}
	age, err := strconv.Atoi(l.field("age_ms"))
	if err != nil {
		return time.Time{}, false
	}
	return l.At.Add(-time.Duration(age) * time.Millisecond), true
}

// causes tells what a reason in a flow's last line means.
var causes = map[string]string{
	"upstream_started_anew": "the upstream that held the flow has ended or was replaced, and its agent has reset the flow",
	"upstream_failing":      "the agent that was chosen has an upstream that fails requests, and another agent was asked",
	"agent_unreachable":     "the agent that held the flow neither reported nor answered: its VM was down, frozen or cut off; the caller was told",
	"no_route":              "no declaration in force leads the address anywhere; the caller got a reset, and nothing was run",
	"no_declaration":        "the process had just started and held no declaration; the packet was dropped",
	"no_upstream":           "no upstream took the flow; the caller got a reset, and nothing was run",
	"held_nowhere":          "every upstream returned the packet: the one that held the flow has ended or was replaced",
	"roster_unsettled":      "the control VMs had just started and did not know every agent; the packet was dropped",
	"ask_many":              "the agent that held the flow did not answer: its process or VM was down, frozen or cut off",
	"search":                "an entry looked for the agent that holds the flow, after the fabric had moved it",
	"passed_on":             "an upstream returned the packet and another agent was asked",
	"placed_again":          "the first agent left the opening packet unanswered, and another one was chosen",
}

// Cause returns the likely cause of the flow's end in one sentence.
func Cause(timeline []Line, id string) string {
	cause := "no line names this flow: its opening packet reached no entry, or its lines were left out of the log"
	silences := silencesOf(timeline)
	for _, l := range timeline {
		switch {
		case !l.about(id):
		case l.Event == "flow_ended":
			cause = "the flow was ended by its upstream or its caller"
		case l.Event == "flow_unanswered":
			cause = unanswered(l, silences)
		case l.Event == "flow_opened":
			cause = "the flow was opened; whatever delayed it happened at the upstream or on the way back"
		case causes[l.field("reason")] != "":
			cause = causes[l.field("reason")]
		}
	}
	return cause
}

// silentAfterMs is the age in milliseconds of an agent's report from which on the agent counts as silent. Reports, exchanges
// between control VMs and fetches of rosters, 400 ms apart each, add up to that.
const silentAfterMs = 1200

// silence is a time in which an entry heard nothing of an agent.
type silence struct {
	agent        string
	since, noted time.Time
}

func silencesOf(timeline []Line) []silence {
	var out []silence
	for _, l := range timeline {
		if since, ok := l.silentSince(); ok {
			out = append(out, silence{agent: l.field("agent"), since: since, noted: l.At})
		}
	}
	return out
}

// unanswered tells why the packets of a flow whose holder is known had no effect. The caller's last repeat may come before
// the agent's silence is long enough to stand out; a silence that is noted later tells.
func unanswered(l Line, silences []silence) string {
	agent := l.field("agent")
	age, err := strconv.Atoi(l.field("age_ms"))
	if err == nil && age >= silentAfterMs {
		return fmt.Sprintf("agent %s had not reported for %d ms: its process or VM was down, frozen or cut off", agent, age)
	}
	for _, s := range silences {
		if s.agent == agent && s.since.Before(l.At) && s.noted.After(l.At) {
			return fmt.Sprintf("agent %s did not report from %s to %s: its process or VM was down, frozen or cut off", agent,
				s.since.Format(clockFormat), s.noted.Format(clockFormat))
		}
	}
	return fmt.Sprintf("agent %s reported until then, but its upstream did not answer in time: it was overloaded, stuck or gone", agent)
}

// clockFormat is how times of day stand in a cause.
const clockFormat = "15:04:05.000"

// Write writes a time line with times relative to its first line.
func Write(w io.Writer, timeline []Line) error {
	for _, l := range timeline {
		_, err := fmt.Fprintf(w, "%9.4f  %-24s %-22s %s\n", l.At.Sub(timeline[0].At).Seconds(), l.Node, l.Event,
			strings.Join(l.Fields, " "))
		if err != nil {
			return fmt.Errorf("write time line: %w", err)
		}
	}
	return nil
}
