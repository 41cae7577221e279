package forwarder

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/declared"
	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/roster"
)

// testCodec reads packets of two bytes: the port of the caller, and 'S' for a packet that opens a flow.
type testCodec struct{ benchCodec }

func (testCodec) Caller(b []byte) (passthrough.Segment, error) {
	f := benchFlow
	f.Caller.Port = uint16(b[0])
	return passthrough.Segment{Flow: f, Syn: b[1] == 'S', Ack: b[1] != 'S', Data: len(b)}, nil
}

// startedEntry is an entry that has just started, and the socket of the only agent.
func startedEntry(t *testing.T) (*Entry, *net.UDPConn, roster.Record) {
	g := gomega.NewWithT(t)
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = sink.Close() })
	e, err := NewEntry(Config{
		Name: "entry", Domain: "d", Tunnel: netip.MustParseAddrPort("127.0.0.1:0"), Codec: testCodec{}, Read: benchRead,
		Logger: log.NewNopLogger(), FlowLog: log.NewNopLogger(),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = e.conn.Close() })
	at := addrPort(sink)
	return e, sink, roster.Record{
		Kind: roster.KindAgent, Address: at.Addr(), TunnelPort: at.Port(), FailureDomain: "d", Service: "s",
		State: roster.StateActive, Slots: 3,
	}
}

func (e *Entry) take(packets ...string) {
	for _, p := range packets {
		e.handle([]byte(p), netip.AddrPort{}, nil)
	}
}

// received returns the packets that the agent has got so far, by the port of their caller. Loopback delivers before a
// send returns.
func received(t *testing.T, sink *net.UDPConn) map[byte]int {
	out := map[byte]int{}
	buf := make([]byte, maxDatagram)
	for {
		_ = sink.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		n, _, err := sink.ReadFromUDP(buf)
		if err != nil {
			return out
		}
		d, err := passthrough.Decode(buf[:n])
		if err != nil {
			t.Fatal(err)
		}
		out[d.Packet[0]]++
	}
}

func view(t *testing.T, settled, quiet bool, records ...roster.Record) roster.View {
	packed, err := declared.Pack([]byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	return roster.View{Records: records, Settled: settled, Quiet: quiet, Version: 1, Declaration: packed}
}

// A caller repeats an opening packet after 200 and 600 ms only. What arrives before the entry can decide must not be lost,
// and must be sent once: the newest copy of each flow.
func TestPacketsWaitForTheRoster(t *testing.T) {
	g := gomega.NewWithT(t)
	e, sink, agent := startedEntry(t)
	var repeat func()
	e.later = func(_ time.Duration, f func()) { repeat = f }
	e.take("\x01S", "\x01S", "\x02A")
	e.update(view(t, false, false))
	e.take("\x03S")
	g.Expect(received(t, sink)).To(gomega.BeEmpty())
	e.update(view(t, false, true, agent))
	g.Expect(received(t, sink)).To(gomega.Equal(map[byte]int{1: 1, 3: 1}))
	e.update(view(t, true, true, agent))
	g.Expect(received(t, sink)).To(gomega.Equal(map[byte]int{2: 1}))
	g.Expect(e.waiting).To(gomega.BeNil())
	repeat()
	g.Expect(received(t, sink)).To(gomega.Equal(map[byte]int{2: 1}))
}

// A flow whose holder has answered meanwhile must not be searched for again.
func TestAnsweredFlowsDoNotWait(t *testing.T) {
	g := gomega.NewWithT(t)
	e, sink, agent := startedEntry(t)
	e.update(view(t, false, true, agent))
	e.take("\x02A")
	g.Expect(received(t, sink)).To(gomega.Equal(map[byte]int{2: 1}))
	s, _ := testCodec{}.Caller([]byte("\x02A"))
	e.internal(passthrough.AppendFlowHeld(nil, passthrough.FlowHeld{Flow: s.Flow}), addrPort(sink))
	e.update(view(t, true, true, agent))
	g.Expect(received(t, sink)).To(gomega.BeEmpty())
}

// Waiting packets must not outlast their callers, nor take more memory than stated.
func TestWaitingIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWaiting()
	opening, _ := testCodec{}.Caller([]byte("\x01S"))
	data, _ := testCodec{}.Caller([]byte("\x02A"))
	w.keep(0, opening, []byte("\x01S"))
	w.keep(0, data, []byte("\x02A"))
	g.Expect(w.established(searchPatienceMs)).To(gomega.HaveLen(1))
	g.Expect(w.established(searchPatienceMs + 1)).To(gomega.BeEmpty())
	g.Expect(w.takeOpening(openingPatienceMs + 1)).To(gomega.BeEmpty())
	w.forget(data.Flow)
	g.Expect(w.bytes).To(gomega.BeZero())
	packet := make([]byte, 1232)
	for port := range 1000 {
		data.Flow.Caller.Port = uint16(port)
		w.keep(0, data, packet)
	}
	g.Expect(w.bytes).To(gomega.And(gomega.BeNumerically("<=", maxWaitingBytes), gomega.BeNumerically(">", maxWaitingBytes-len(packet))))
}

// After a loss of all power a process may work by the declaration of a control VM that has no leader yet, but not for long:
// a control VM that is cut off would lead callers by an old declaration. What a leader has confirmed stays.
func TestUnconfirmedDeclarationIsDropped(t *testing.T) {
	for _, c := range []struct {
		name      string
		confirmed bool
		late      bool
		first     bool // in force when the view arrives
		after     bool // in force when provisionalFor has passed
	}{
		{"no leader", false, false, true, false},
		{"leader", true, false, true, true},
		{"no leader, long after the start", false, true, false, false},
		{"leader, long after the start", true, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e, _, agent := startedEntry(t)
			if c.late {
				e.started = e.started.Add(-2 * provisionalFor)
			}
			v := view(t, true, true, agent)
			v.Current = c.confirmed
			e.update(v)
			g.Expect(e.Ready()).To(gomega.Equal(c.first))
			e.started = e.started.Add(-2 * provisionalFor)
			e.sweep()
			g.Expect(e.Ready()).To(gomega.Equal(c.after))
		})
	}
}

// A view of a control VM without a leader that brings a newer declaration must be used: it is committed. One that brings
// none must not end the trust in what a leader has confirmed.
func TestConfirmedDeclarationStaysWithoutALeader(t *testing.T) {
	g := gomega.NewWithT(t)
	e, _, agent := startedEntry(t)
	v := view(t, true, true, agent)
	v.Current = true
	e.update(v)
	v.Current, v.Declaration = false, nil
	e.update(v)
	e.started = e.started.Add(-2 * provisionalFor)
	e.sweep()
	g.Expect(e.Ready()).To(gomega.BeTrue())
}
