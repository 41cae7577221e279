package forwarder

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/passthrough"
)

// An entry that is isolated from all other processes must become not ready, since callers' packets are lost there. An
// entry that has lost only the control VMs, or whose agents have nothing to answer, must stay ready.
func TestIsolation(t *testing.T) {
	type step struct {
		at     int64 // ms
		do     func(i *isolation, now int64)
		is     bool
		begins bool
	}
	ask := func(n int) func(i *isolation, now int64) {
		return func(i *isolation, now int64) {
			for range n {
				i.notePacket(now, passthrough.Decision{Reason: passthrough.ReasonPlaced})
			}
		}
	}
	known := func(i *isolation, now int64) {
		i.notePacket(now, passthrough.Decision{Reason: passthrough.ReasonKnown})
	}
	control := func(i *isolation, now int64) { i.noteControlAnswer(now) }
	agent := func(i *isolation, _ int64) { i.noteAgentMessage() }
	none := func(*isolation, int64) {}
	for name, steps := range map[string][]step{
		"cut off from all":           {{0, control, false, false}, {100, ask(5), false, false}, {499, none, false, false}, {700, none, true, true}, {1100, none, true, false}},
		"no control VM answers":      {{0, control, false, false}, {100, ask(9), false, false}, {120, agent, false, false}, {5000, none, false, false}},
		"agents are silent":          {{0, control, false, false}, {100, ask(9), false, false}, {600, control, false, false}, {1200, none, false, false}},
		"few questions":              {{0, control, false, false}, {100, ask(4), false, false}, {3000, none, false, false}},
		"flows with known holders":   {{0, control, false, false}, {100, ask(4), false, false}, {200, known, false, false}, {3000, none, false, false}},
		"questions after a freeze":   {{0, control, false, false}, {9000, ask(9), false, false}, {9399, none, false, false}, {9400, none, true, true}},
		"a control VM answers again": {{0, control, false, false}, {100, ask(5), false, false}, {700, none, true, true}, {1200, control, false, false}, {1300, ask(9), false, false}},
		"an agent answers again":     {{0, control, false, false}, {100, ask(5), false, false}, {700, none, true, true}, {1200, agent, false, false}, {1300, ask(9), false, false}, {1600, none, false, false}},
		"callers are tried again":    {{0, control, false, false}, {100, ask(5), false, false}, {700, none, true, true}, {5699, none, true, false}, {5700, none, false, false}, {5700, ask(5), false, false}, {6100, none, true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var i isolation
			for n, s := range steps {
				s.do(&i, s.at)
				is, begins := i.isolated(s.at)
				g.Expect(is).To(gomega.Equal(s.is), "step %d", n)
				g.Expect(begins).To(gomega.Equal(s.begins), "step %d", n)
			}
		})
	}
}

// The isolation must affect the readiness that the fabric queries.
func TestIsolatedEntryIsNotReady(t *testing.T) {
	g := gomega.NewWithT(t)
	e, sink, agent := newStartedEntry(t)
	v := view(t, true, true, agent)
	v.Current = true
	e.update(v)
	g.Expect(e.Ready()).To(gomega.BeTrue())
	e.isolation.controlMs -= controlSilenceMs
	for _, p := range []string{"\x01S", "\x02S", "\x03S", "\x04S", "\x05S"} {
		e.handleAll(p)
	}
	e.isolation.firstUnansweredMs -= agentSilenceMs
	g.Expect(e.Ready()).To(gomega.BeFalse())
	e.handleInternal(passthrough.AppendFlowNotHeld(nil, benchFlow), addrPort(sink))
	g.Expect(e.Ready()).To(gomega.BeTrue())
}
