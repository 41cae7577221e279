package upstream_test

import (
	"fmt"
	"iter"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/upstream"
)

// Times of the model, in milliseconds.
const (
	modelStep     = 50
	modelInterval = 770               // between two announcements
	modelSilence  = 3 * modelInterval // SilenceTimeout
	modelFollow   = 4 * modelInterval // by then a live process must be followed
	// modelHeal is the same after another writer was followed: it has to fall silent first.
	modelHeal = modelSilence + modelFollow
)

// modelHost is an upstream process with the flows that it holds.
type modelHost struct {
	id       string
	born     int64
	sequence int64
	draining bool
	flows    map[passthrough.Flow]bool
	nextMs   int64 // time of the next announcement
	sinceMs  int64 // when the process started, or last changed its state
}

// model is an agent with an upstream, whose announcements may be mixed with late ones and with those of another writer.
type model struct {
	t       *rapid.T
	now     int64
	tracker *upstream.Tracker
	machine *passthrough.Agent
	host    *modelHost // nil while none runs
	hosts   int
	flows   int
	late    []upstream.Announcement // announcements that were delayed
	oddMs   int64                   // time of the last announcement of another writer
	agentMs int64                   // start of the agent
	ended   int                     // flows that ended with their process
	trace   []string
}

func (m *model) at() time.Time { return start.Add(time.Duration(m.now) * time.Millisecond) }

func (m *model) note(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%6d ", m.now)+fmt.Sprintf(format, args...))
}

func (m *model) startAgent() {
	m.tracker = &upstream.Tracker{SilenceTimeout: modelSilence * time.Millisecond}
	m.machine = passthrough.NewAgent(passthrough.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 1}, "d")
	m.machine.SetTable(&passthrough.Table{Version: 1, IdleTimeout: 15000, Routes: map[passthrough.Endpoint]*passthrough.Route{
		modelFront: passthrough.NewRoute("r", []passthrough.Target{{Service: "s", Weight: 1}}),
	}})
	m.agentMs = m.now
}

// modelFront is the address that callers use.
var modelFront = passthrough.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 80}

func (m *model) startHost() {
	m.hosts++
	m.host = &modelHost{
		id: fmt.Sprintf("i-%d", m.hosts/2), born: 1_000_000 + m.now, flows: map[passthrough.Flow]bool{}, sinceMs: m.now,
		nextMs: m.now + int64(rapid.IntRange(0, modelInterval).Draw(m.t, "first announcement")),
	}
	m.note("%s/%d starts", m.host.id, m.host.born)
}

// announce passes an announcement to the agent, as package forwarder does.
func (m *model) announce(a upstream.Announcement) {
	earlier, _ := m.tracker.Last()
	e := m.machine.Evidence()
	m.tracker.Evidence = upstream.Evidence{
		Returned: e.Returned, Closed: e.Closed, Held: e.Held, SpokeAt: start.Add(time.Duration(e.SpokeMs) * time.Millisecond),
	}
	outcome := m.tracker.Announce(m.at(), a)
	m.machine.SetUpstream(m.now, m.tracker.Upstream(m.at()), outcome == upstream.Restarted)
	orphans := m.machine.TakeOrphans()
	if a.Born < earlier.Born {
		orphans = nil
	}
	if outcome.Followed() {
		m.machine.NoteAnnouncement(m.now)
	}
	m.note("%s/%d announces itself (%d, draining %t): %s, %d flows end", a.ID, a.Born, a.Sequence, a.Draining, outcome, len(orphans))
	m.ended += len(orphans)
	for _, o := range orphans {
		if m.host != nil && m.host.flows[o.Flow] {
			m.fail("flow %v of the live process %s/%d is reset", o.Flow, m.host.id, m.host.born)
		}
	}
}

// next returns the next announcement of the host.
func (h *modelHost) next() upstream.Announcement {
	h.sequence++
	return upstream.Announcement{ID: h.id, Born: h.born, Sequence: h.sequence, Service: "s", Slots: 3, Draining: h.draining}
}

// packet delivers a caller's packet through the agent to the host, and the host's answer or the returned packet back.
func (m *model) packet(s passthrough.Segment) {
	if m.machine.FromPeer(m.now, s, passthrough.Forward{}).Verdict != passthrough.ToHost || m.host == nil {
		return
	}
	answer := s
	switch {
	case s.Opens():
		m.host.flows[s.Flow] = true
		answer.Ack, answer.AckNo = true, 1
	case m.host.flows[s.Flow]:
		answer.AckNo, answer.Data = s.Seq+uint32(s.Data), 100
	default:
		answer.Bounced = true
	}
	m.machine.FromHost(m.now, answer)
}

// flowsOfHost returns the flows that the live process holds, in a fixed order.
func (m *model) flowsOfHost() iter.Seq[passthrough.Flow] {
	return func(yield func(passthrough.Flow) bool) {
		for n := 1; n <= m.flows; n++ {
			if f := m.flow(n); m.host != nil && m.host.flows[f] && !yield(f) {
				return
			}
		}
	}
}

func (m *model) flow(n int) passthrough.Flow {
	return passthrough.Flow{
		Caller: passthrough.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(n + 1)}, Front: modelFront,
	}
}

// step advances the model.
func (m *model) step() {
	m.now += modelStep
	if m.now%1000 == 0 {
		m.machine.Expire(m.now)
	}
	h := m.host
	if h == nil {
		return
	}
	if m.now >= h.nextMs {
		h.nextMs = m.now + modelInterval
		a := h.next()
		m.announce(a)
		if rapid.IntRange(0, 9).Draw(m.t, "copied") == 0 {
			m.late = append(m.late, a)
		}
	}
	// While another writer has been at work lately, or the agent has just started, the live process may wait to be followed.
	calm := m.now-max(h.sinceMs, m.agentMs) >= modelFollow && m.now-m.oddMs >= modelHeal
	last, known := m.tracker.Last()
	if calm && (!known || last.ID != h.id || last.Born != h.born || m.tracker.Upstream(m.at()).Active == h.draining) {
		m.fail("the live process %s/%d is not followed: %+v", h.id, h.born, last)
	}
}

func (m *model) fail(format string, args ...any) {
	for _, line := range m.trace {
		m.t.Log(line)
	}
	m.t.Fatalf(format, args...)
}

// event makes one random event.
func (m *model) event() {
	switch kind := rapid.SampledFrom([]string{"open", "open", "use", "use", "use", "odd", "odd", "late", "reset", "crash", "end", "drain", "agent"}).Draw(m.t, "event"); kind {
	case "open":
		m.flows++
		f := m.flow(m.flows)
		m.packet(passthrough.Segment{Flow: f, Syn: true})
		for range 2 {
			m.packet(passthrough.Segment{Flow: f, Ack: true, AckNo: 1, Data: 10})
		}
	case "use":
		if m.flows > 0 {
			f := m.flow(rapid.IntRange(1, m.flows).Draw(m.t, "flow"))
			m.packet(passthrough.Segment{Flow: f, Ack: true, AckNo: 1, Data: 10, Seq: uint32(m.now)})
		}
	case "odd":
		if m.host == nil || m.now-m.agentMs < modelFollow {
			return // a valid announcement of another process is the first that the agent hears
		}
		m.oddMs = m.now
		for i := range rapid.IntRange(1, 5).Draw(m.t, "copies") {
			born := 1_000_000 + m.now + int64(rapid.IntRange(-5000, 5000).Draw(m.t, "born"))
			if born == m.host.born {
				continue // the same incarnation
			}
			m.announce(upstream.Announcement{
				ID: rapid.SampledFrom([]string{"odd", m.host.id}).Draw(m.t, "id"), Born: born, Sequence: int64(i + 1), Service: "s", Slots: 1,
				Draining: rapid.Bool().Draw(m.t, "draining"),
			})
		}
	case "late":
		if len(m.late) > 0 {
			m.announce(m.late[len(m.late)-1])
			m.late = m.late[:len(m.late)-1]
		}
	case "reset":
		for f := range m.flowsOfHost() {
			if rapid.IntRange(0, 3).Draw(m.t, "is reset") == 0 {
				delete(m.host.flows, f)
				m.machine.FromHost(m.now, passthrough.Segment{Flow: f, Rst: true})
			}
		}
	case "crash", "end":
		for f := range m.flowsOfHost() {
			if m.flows%3 > 0 { // some processes close or reset their flows when they end
				m.machine.FromHost(m.now, passthrough.Segment{Flow: f, Rst: m.flows%3 == 1, Fin: m.flows%3 == 2, Ack: true})
			}
		}
		if m.host != nil && kind == "end" {
			m.tracker.End(m.host.id)
			m.machine.SetUpstream(m.now, m.tracker.Upstream(m.at()), false)
		}
		m.host = nil
		m.note("the process ends (%s)", kind)
		for range rapid.IntRange(1, 60).Draw(m.t, "down") {
			m.step()
		}
		m.startHost()
	case "drain":
		if m.host != nil && !m.host.draining {
			m.host.draining, m.host.sinceMs = true, m.now
		}
	case "agent":
		m.note("the agent restarts")
		m.startAgent()
	}
}

// Processes crash, end and start again, announcements arrive late, another writer sends valid announcements of other incarnations,
// and the agent restarts, in random order. No flow that the live process holds may be reset, and the live process must be followed
// within a few of its announcements. Guards against one report that was taken for a new incarnation, so that all flows of a live
// upstream were reset.
func TestFlowsEndWithTheirProcessOnly(t *testing.T) {
	ended := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, oddMs: -modelHeal}
		m.startAgent()
		m.startHost()
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			m.event()
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				m.step()
			}
		}
		ended += m.ended
	})
	if ended == 0 {
		t.Fatal("no process that held flows ended")
	}
}
