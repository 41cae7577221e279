package request_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/standin/gatenet"
)

// Outcomes of a dispatch in scripts; see gatenet.New. A run that is not listed is answered.
const (
	shed     = "0"
	notSent  = "1"
	broken   = "2"  // the connection breaks, and the request may run later
	truncate = "50" // runs, and the answer is truncated
)

// script runs steps of the form "verb:agent:arguments" and returns the codes that the callers got, "-" for none.
//
//	send:0:key:body:seconds  caller sends to agent 0 with a deadline in seconds; "get" as the key sends an unkeyed
//	                         GET, "put" is the key of an idempotent request
//	deliver:bind:0           the oldest message of that kind from agent 0 arrives; newest: the latest one; again: a copy
//	lose:bind:0              the sender of the message gives up; the message may still arrive
//	crash:0  lost:0  drain:0  nopeers:0  cancel:n  wait:1s  restore
func script(w *gatenet.World, steps string) []string {
	var codes []string
	var callers []pendingSend
	find := func(what, agent string, newest bool) *gatenet.Message {
		var found *gatenet.Message
		for _, m := range w.Bag {
			if m.What == what && string(m.From.Ref.Host) == "h"+agent && (found == nil || newest) {
				found = m
			}
		}
		if found == nil {
			w.T.Fatalf("no %s of h%s is in transit; steps: %s", what, agent, steps)
		}
		return found
	}
	for _, step := range strings.Fields(steps) {
		f := strings.Split(step, ":")
		number := func() int { n, _ := strconv.Atoi(f[1]); return n }
		switch f[0] {
		case "send":
			s := &gatenet.Send{Key: f[2], Body: f[3], Tag: f[2] + f[3], Idempotent: f[2] == "put"}
			if f[2] == "get" {
				s = &gatenet.Send{Tag: fmt.Sprint("get-", len(codes)), Idempotent: true}
			}
			if len(f) > 4 {
				seconds, _ := strconv.Atoi(f[4])
				s.Deadline = time.Unix(1_800_000_000, 0).Add(time.Duration(seconds) * time.Second)
			}
			n := len(codes)
			codes = append(codes, "-")
			a, id := w.CallerThen(number(), s, func(act request.Action) { codes[n] = strconv.Itoa(int(act.Code)) })
			callers = append(callers, pendingSend{a, id, s})
		case "deliver", "newest":
			m := find(f[1], f[2], f[0] == "newest")
			w.Remove(m)
			m.Deliver()
		case "again":
			find(f[1], f[2], false).Deliver()
		case "lose":
			find(f[1], f[2], false).Lose()
		case "crash":
			w.Crash(number())
		case "lost":
			a := w.Agents[number()]
			w.Table.Apply(0, w.Now, binding.LostCommand(a.Ref.Host, a.Ref.Incarnation))
		case "drain":
			w.Handle(w.Agents[number()], request.LocalState{Draining: true})
		case "nopeers":
			w.Peers(number(), false)
		case "cancel":
			c := callers[number()]
			c.send.Left = true
			w.Handle(c.agent, request.Cancelled{ID: c.id})
		case "wait":
			d, _ := time.ParseDuration(f[1])
			(&schedule{World: w, log: func(string, ...any) {}}).advance(d)
		case "restore":
			snapshot, _ := w.Table.Snapshot()
			w.Table = binding.NewTable(0)
			_ = w.Table.Restore(snapshot)
		default:
			w.T.Fatalf("unknown step %s", step)
		}
	}
	return codes
}

// Parts of scripts.
const (
	run0  = "send:0:k:a deliver:bind:0 deliver:bind-answer:0 deliver:dispatch:0 "
	join1 = "send:1:k:a deliver:bind:1 deliver:bind-answer:1 deliver:join:1 "
)

var faultCases = []struct {
	name     string // the failure that the case guards against
	steps    string
	outcomes string // of dispatches, in order
	codes    string // per send
	runs     int
}{
	{"retry at another agent runs again", run0 + join1 + "deliver:join-answer:1", "", "0 0", 1},
	{"retry during the run runs again", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 " + join1 + "deliver:dispatch:0 deliver:join-answer:1", "", "0 0", 1},
	{"retry that overtakes the first send runs again", "send:0:k:a send:1:k:a deliver:bind:1 deliver:bind:0 deliver:bind-answer:1 deliver:bind-answer:0 deliver:dispatch:1 deliver:join:0 deliver:join-answer:0", "", "0 0", 1},
	{"repeated bind dispatches twice", "send:0:k:a again:bind:0 deliver:bind:0 deliver:bind-answer:0 deliver:dispatch:0", "", "0", 1},
	{"two sends to one agent run twice", "send:0:k:a send:0:k:a deliver:bind:0 deliver:bind-answer:0 deliver:dispatch:0 send:0:k:a", "", "0 0 0", 1},
	{"owner crashed after dispatch: retry runs again", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 crash:0 " + join1 + "deliver:join-answer:1 deliver:dispatch:0", "", "- 3201", 1},
	{"owner crashed before its bind answer: retry runs", "send:0:k:a deliver:bind:0 crash:0 lost:0 send:1:k:a deliver:bind:1 deliver:bind-answer:1", "", "- 3201", 0},
	{"owner crashed before its bind: key stays blocked", "send:0:k:a crash:0 send:1:k:a deliver:bind:1 deliver:bind-answer:1 deliver:dispatch:1 deliver:bind:0", "", "- 0", 1},
	{"owner crashed after the run, before the finish", run0 + "crash:0 " + join1 + "deliver:join-answer:1", "", "0 3201", 1},
	{"owner crashed after the finish", run0 + "deliver:finish:0 crash:0 " + join1 + "deliver:join-answer:1", "", "0 3202", 1},
	{"joining agent crashed", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 " + join1 + "crash:1 deliver:dispatch:0 send:2:k:a deliver:bind:2 deliver:bind-answer:2 deliver:join:2 deliver:join-answer:2", "", "0 - 0", 1},
	{"owner and joining agent crashed", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 " + join1 + "crash:0 crash:1 deliver:dispatch:0 send:2:k:a deliver:bind:2 deliver:bind-answer:2 deliver:join:2 deliver:join-answer:2", "", "- - 3201", 1},
	{"new incarnation of the owner runs the key again", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 crash:0 send:0:k:a deliver:bind:0 deliver:bind-answer:0", "", "- 3201", 0},
	{"owner declared lost wrongly: retry runs; its finish is ignored", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 lost:0 send:1:k:a deliver:bind:1 deliver:bind-answer:1 deliver:dispatch:0 deliver:finish:0 send:2:k:a deliver:bind:2 deliver:bind-answer:2 deliver:join:2 deliver:join-answer:2", "", "0 3201 0", 1},
	{"delayed release of an earlier attempt frees a running one", "send:0:k:a lose:bind:0 send:0:k:a newest:bind:0 deliver:bind-answer:0 deliver:release:0 " + join1 + "deliver:dispatch:0 deliver:join-answer:1", "", "3102 0 0", 1},
	{"bind that arrives after its release blocks the key", "send:0:k:a lose:bind:0 deliver:release:0 deliver:bind:0 deliver:release-answer:0 " + join1 + "deliver:release:0 deliver:join-answer:1 wait:200ms deliver:bind:1 deliver:bind-answer:1 deliver:dispatch:1", "", "3102 0", 1},
	{"release for a join frees a later attempt", "send:0:k:a lose:bind:0 deliver:release:0 deliver:bind:0 deliver:release-answer:0 " + join1 + "send:0:k:a deliver:bind:0 deliver:bind-answer:0 deliver:release:0 send:2:k:a deliver:bind:2 deliver:bind-answer:2 deliver:join:2 deliver:dispatch:0 deliver:join-answer:2", "", "3102 - 0 0", 1},
	{"join gets the answer of another body", "send:0:k:a deliver:bind:0 send:1:k:a deliver:bind:1 deliver:bind-answer:1 cancel:0 deliver:bind-answer:0 deliver:release:0 send:0:k:b deliver:bind:0 deliver:bind-answer:0 deliver:dispatch:0 deliver:join:1 deliver:join-answer:1 wait:200ms deliver:bind:1 deliver:bind-answer:1", "", "3006 3101 0", 1},
	{"key used for another body", run0 + "send:0:k:b send:1:k:b deliver:bind:1 deliver:bind-answer:1", "", "0 3101 3101", 1},
	{"restart of the log forgets a binding", "send:0:k:a deliver:bind:0 restore deliver:bind-answer:0 deliver:dispatch:0 " + join1 + "restore deliver:join-answer:1", "", "0 0", 1},
	{"connection broken: told not run, runs later", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 deliver:dispatch:0 " + join1 + "deliver:join-answer:1 deliver:dispatch:0", broken, "3201 3201", 1},
	{"truncated answer passed on as whole", run0 + "send:0:k:a", truncate, "3203 3203", 1},
	{"upstream sheds: handed over while still bound here", run0 + "deliver:release:0 deliver:release-answer:0 deliver:hand-over:0 deliver:bind:1 deliver:bind-answer:1 deliver:dispatch:1 deliver:hand-over-answer:0", shed, "0", 1},
	{"upstream refuses and no other agent: not told so", "nopeers:0 " + run0, notSent, "3008", 0},
	{"refused after a release although another send ran", run0 + "send:1:k:a deliver:release:0 nopeers:0 deliver:bind:1 deliver:bind-answer:1 deliver:dispatch:1 deliver:release-answer:0 deliver:bind:0 deliver:bind-answer:0 deliver:join:0 deliver:join-answer:0", shed, "0 0", 1},
	{"refusal of a hand-over passed on although another send ran", "drain:0 send:0:k:a deliver:hand-over:0 deliver:bind:1 deliver:bind-answer:1 deliver:dispatch:1 deliver:release:1 send:2:k:a deliver:bind:2 deliver:bind-answer:2 deliver:dispatch:2 deliver:hand-over-answer:0 deliver:hand-over:0 deliver:hand-over-answer:0", notSent, "0 0", 1},
	{"refusal of a joined run passed on although another send ran", "nopeers:0 send:0:k:a deliver:bind:0 deliver:bind-answer:0 " + join1 + "deliver:dispatch:0 deliver:release:0 send:2:k:a deliver:bind:2 deliver:bind-answer:2 deliver:dispatch:2 deliver:join-answer:1 wait:200ms deliver:bind:1 deliver:bind-answer:1 deliver:join:1 deliver:join-answer:1", notSent, "3008 0 0", 1},
	{"keyed idempotent request sent again after an unknown outcome", "send:0:put:a deliver:bind:0 deliver:bind-answer:0 deliver:dispatch:0 deliver:dispatch:0", broken, "3201", 1},
	{"idempotent request sent again after an unknown outcome ends as not run", "nopeers:0 send:0:get: deliver:dispatch:0 deliver:dispatch:0 ", broken + " " + notSent, "3201", 0},
	{"cancel while binding leaves the key bound", "send:0:k:a cancel:0 deliver:bind:0 deliver:bind-answer:0 deliver:release:0 send:1:k:a deliver:bind:1 deliver:bind-answer:1 deliver:dispatch:1", "", "3006 0", 1},
	{"cancel during dispatch: retry finds no run", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 cancel:0 wait:1s send:0:k:a wait:10s deliver:dispatch:0", "", "3201 0", 1},
	{"cancel during dispatch: run is never ended", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 cancel:0 wait:6s deliver:dispatch:0 send:0:k:a", broken, "3201 3201", 0},
	{"cancel of an unkeyed dispatch", "send:0:get: cancel:0 deliver:dispatch:0", broken, "3201", 0},
	{"cancel while joining ends the run", "send:0:k:a deliver:bind:0 deliver:bind-answer:0 " + join1 + "cancel:1 deliver:dispatch:0", "", "0 3201", 1},
	{"deadline while binding: the key is dispatched", "send:0:k:a:5 wait:9s deliver:bind:0 deliver:bind-answer:0", "", "3003", 0},
	{"deadline long past: told not run without a record", "send:0:k:a:5 wait:70s deliver:bind:0 deliver:bind-answer:0", "", "3102", 0},
	{"deadline while queued", "send:0:get::5 send:0:k:a:5 deliver:bind:0 deliver:bind-answer:0 wait:9s deliver:dispatch:0 deliver:release:0", broken, "3201 3003", 0},
	{"deadline while dispatched: told not run", "send:0:k:a:5 deliver:bind:0 deliver:bind-answer:0 wait:9s deliver:dispatch:0 send:0:k:a:5", "", "3201 0", 1},
	{"deadline while joining", "send:0:k:a:5 deliver:bind:0 deliver:bind-answer:0 send:1:k:a:5 deliver:bind:1 deliver:bind-answer:1 wait:9s deliver:dispatch:0", "", "3201 3201", 1},
	{"deadline while handed over: told not run", "drain:0 send:0:k:a:5 wait:9s deliver:hand-over:0 deliver:bind:1 deliver:bind-answer:1", "", "3201", 0},
	{"expiry permits a second run", "send:0:k:a:5 deliver:bind:0 deliver:bind-answer:0 deliver:dispatch:0 deliver:finish:0 crash:0 wait:70s send:1:k:a:5 deliver:bind:1 deliver:bind-answer:1", "", "0 3102", 1},
	{"retry after the deadline runs again", "send:0:k:a:5 deliver:bind:0 deliver:bind-answer:0 deliver:dispatch:0 deliver:finish:0 wait:30s send:1:k:a:5 deliver:bind:1 deliver:bind-answer:1 deliver:join:1 deliver:join-answer:1", "", "0 0", 1},
	{"drain: new work at a leaving host", "drain:0 send:0:k:a deliver:hand-over:0 deliver:bind:1 deliver:bind-answer:1 deliver:dispatch:1 deliver:hand-over-answer:0", "", "0", 1},
	{"drain without another agent", "nopeers:0 drain:0 send:0:k:a deliver:bind:0 deliver:bind-answer:0", "", "3004", 0},
	{"hand-over lost, arrives later: runs twice", "drain:0 send:0:k:a lose:hand-over:0 deliver:bind:0 deliver:bind-answer:0 deliver:release:0 deliver:release-answer:0 newest:hand-over:0 deliver:bind:2 deliver:bind-answer:2 deliver:dispatch:2 deliver:hand-over-answer:0 deliver:hand-over:0 deliver:bind:1 deliver:bind-answer:1 deliver:join:1", "", "0", 1},
	{"hand-over meets a late bind of its own sender", "send:0:k:a lose:bind:0 deliver:release:0 deliver:release-answer:0 deliver:bind:0 drain:0 send:0:k:a deliver:hand-over:0 deliver:bind:1 deliver:bind-answer:1 deliver:join:1 deliver:release:0 deliver:join-answer:1 wait:200ms deliver:bind:1 deliver:bind-answer:1 deliver:dispatch:1 deliver:hand-over-answer:0", "", "3102 0", 1},
	{"queue full: accepted without bound", "nopeers:0 send:0:get: send:0:get: send:0:get: send:0:get:", "", "- - - 3001", 0},
}

// Each row guards against the failure that its name states.
func TestFaultCases(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			outcomes := strings.Split(strings.ReplaceAll(c.outcomes, " ", ""), "")
			next := func(n int) int {
				if len(outcomes) == 0 || outcomes[0] == "" {
					return n - 1
				}
				o, _ := strconv.Atoi(outcomes[0])
				outcomes = outcomes[1:]
				return o
			}
			w := gatenet.New(3, next, t)
			codes := script(w, c.steps)
			g.Expect(strings.Join(codes, " ")).To(Equal(c.codes))
			runs := 0
			for _, n := range w.Runs {
				runs += n
			}
			g.Expect(runs).To(Equal(c.runs))
		})
	}
}
