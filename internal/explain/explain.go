// Package explain merges the logs of all processes into the timeline of one flow and gives the likely cause of its end.
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

// Line is a parsed log line.
type Line struct {
	Timestamp time.Time
	Node      string
	Event     string
	Fields    []string // key=value, without time, node and event
}

// maxLineBytes limits the length of a log line. A longer line makes reading the file fail.
const maxLineBytes = 1 << 20

// contextWindow is the time before the first and after the last line of a flow in which the timeline also shows context
// events of the same processes.
const contextWindow = 3 * time.Second

// contextEvents are the events that belong to no flow but can affect flows of the same process.
var contextEvents = map[string]bool{
	"start": true, "stopping": true, "stop": true, "declaration_in_force": true, "roster_changed": true,
	"control_lost": true, "control_regained": true, "upstream_announced": true, "upstream_gone": true,
	"log_lines_omitted": true, "isolated": true,
}

// Read parses all files of a folder whose names end in .log and returns their lines sorted by time.
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
		more, err := parseLog(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, fmt.Errorf("log %s: %w", path, err)
		}
		lines = append(lines, more...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Timestamp.Before(lines[j].Timestamp) })
	return lines, nil
}

// parseLog parses a log. It skips lines without a time and an event, such as those of a stack trace.
func parseLog(r io.Reader) ([]Line, error) {
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
		text = text[i:] // log collectors may add a prefix
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
				l.Timestamp = at
			case "node":
				l.Node = value
			case "event":
				l.Event = value
			default:
				l.Fields = append(l.Fields, key+"="+value)
			}
		}
	}
	return l, d.Err() == nil && !l.Timestamp.IsZero() && l.Event != ""
}

func (l Line) field(key string) string {
	for _, f := range l.Fields {
		if strings.HasPrefix(f, key+"=") {
			return f[len(key)+1:]
		}
	}
	return ""
}

// matchesFlow reports whether the line is about the flow id, which is a flow or the address and port of its caller.
func (l Line) matchesFlow(id string) bool {
	flow := l.field("flow")
	return flow == id || strings.HasPrefix(flow, id+">")
}

// FlowTimeline returns the lines of a flow, together with the context events and the agent silences that the same
// processes logged around that time.
func FlowTimeline(lines []Line, id string) []Line {
	nodes := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if !l.matchesFlow(id) {
			continue
		}
		nodes[l.Node] = true
		if first.IsZero() {
			first = l.Timestamp
		}
		last = l.Timestamp
	}
	var out []Line
	for _, l := range lines {
		near := nodes[l.Node] && contextEvents[l.Event] && l.Timestamp.After(first.Add(-contextWindow)) &&
			l.Timestamp.Before(last.Add(contextWindow))
		if l.matchesFlow(id) || near || nodes[l.Node] && l.silentDuring(first, last) {
			out = append(out, l)
		}
	}
	return out
}

// silentDuring reports whether the line records a silence of an agent that overlaps the time between first and last.
func (l Line) silentDuring(first, last time.Time) bool {
	reported, ok := l.lastReport()
	return ok && reported.Before(last) && l.Timestamp.After(first)
}

// lastReport returns the time of the agent's last report if the line is an agent_silent event.
func (l Line) lastReport() (time.Time, bool) {
	if l.Event != "agent_silent" {
		return time.Time{}, false
	}
	age, err := strconv.Atoi(l.field("age_ms"))
	if err != nil {
		return time.Time{}, false
	}
	return l.Timestamp.Add(-time.Duration(age) * time.Millisecond), true
}

// causes maps the reason in a flow's last line to the cause that Cause returns.
var causes = map[string]string{
	"upstream_started_anew": "the upstream that held the flow has ended or was replaced, and its agent has reset the flow",
	"upstream_failing":      "the agent that was chosen has an upstream that fails requests, and another agent was asked",
	"agent_unreachable":     "the agent that held the flow neither reported nor answered: its VM was down, frozen or cut off; the caller was told",
	"no_route":              "no declaration in force has a route for the address; the caller got a reset, and nothing was run",
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
	silences := silencePeriods(timeline)
	for _, l := range timeline {
		switch {
		case !l.matchesFlow(id):
		case l.Event == "flow_ended":
			cause = "the flow was ended by its upstream or its caller"
		case l.Event == "flow_unanswered":
			cause = unansweredCause(l, silences)
		case l.Event == "flow_opened":
			cause = "the flow was opened; whatever delayed it happened at the upstream or on the way back"
		case causes[l.field("reason")] != "":
			cause = causes[l.field("reason")]
		}
	}
	return cause
}

// silenceThresholdMs is the age in milliseconds of its last report at which an agent counts as silent. It is the sum of
// three intervals of 400 ms: agents' reports, exchanges between control VMs and roster fetches.
const silenceThresholdMs = 1200

// silencePeriod is a period in which an entry received no report of an agent: from the agent's last report until the entry
// logged the silence.
type silencePeriod struct {
	agent           string
	start, loggedAt time.Time
}

func silencePeriods(timeline []Line) []silencePeriod {
	var out []silencePeriod
	for _, l := range timeline {
		if start, ok := l.lastReport(); ok {
			out = append(out, silencePeriod{agent: l.field("agent"), start: start, loggedAt: l.Timestamp})
		}
	}
	return out
}

// unansweredCause returns why the agent that holds a flow did not answer its packets. The caller's last retransmission may
// precede the silence threshold, so silences logged after the line count too.
func unansweredCause(l Line, silences []silencePeriod) string {
	agent := l.field("agent")
	age, err := strconv.Atoi(l.field("age_ms"))
	if err == nil && age >= silenceThresholdMs {
		return fmt.Sprintf("agent %s had not reported for %d ms: its process or VM was down, frozen or cut off", agent, age)
	}
	for _, s := range silences {
		if s.agent == agent && s.start.Before(l.Timestamp) && s.loggedAt.After(l.Timestamp) {
			return fmt.Sprintf("agent %s did not report from %s to %s: its process or VM was down, frozen or cut off", agent,
				s.start.Format(timeOfDayFormat), s.loggedAt.Format(timeOfDayFormat))
		}
	}
	return fmt.Sprintf("agent %s reported until then, but its upstream did not answer in time: it was overloaded, stuck or gone", agent)
}

// timeOfDayFormat is the format of times in a cause.
const timeOfDayFormat = "15:04:05.000"

// Write writes a timeline with times in seconds relative to its first line.
func Write(w io.Writer, timeline []Line) error {
	for _, l := range timeline {
		_, err := fmt.Fprintf(w, "%9.4f  %-24s %-22s %s\n", l.Timestamp.Sub(timeline[0].Timestamp).Seconds(), l.Node, l.Event,
			strings.Join(l.Fields, " "))
		if err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}
