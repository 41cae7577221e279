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

// testCodec parses packets of two bytes: the port of the caller, and 'S' for a packet that opens a flow.
type testCodec struct{ benchCodec }

func (testCodec) Caller(b []byte) (passthrough.Segment, error) {
	f := benchFlow
	f.Caller.Port = uint16(b[0])
	return passthrough.Segment{Flow: f, Syn: b[1] == 'S', Ack: b[1] != 'S', Data: len(b)}, nil
}

// newStartedEntry returns an entry that has just started, the socket of the only agent, and the record of that agent.
func newStartedEntry(t *testing.T) (*Entry, *net.UDPConn, roster.Record) {
	g := gomega.NewWithT(t)
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = sink.Close() })
	e, err := NewEntry(Config{
		Name: "entry", Domain: "d", Tunnel: netip.MustParseAddrPort("127.0.0.1:0"), Codec: testCodec{}, ParseDeclaration: benchDeclaration,
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

func (e *Entry) handleAll(packets ...string) {
	for _, p := range packets {
		e.handle([]byte(p), netip.AddrPort{}, nil)
	}
}

// receivedByCaller returns the number of packets that the agent has received, by the port of their caller. Loopback
// delivers before a send returns.
func receivedByCaller(t *testing.T, sink *net.UDPConn) map[byte]int {
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

// view returns a view of a control VM that still collects reports unless settled is set.
func view(t *testing.T, settled, quiet bool, records ...roster.Record) roster.View {
	packed, err := declared.Pack([]byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	return roster.View{Records: records, Settled: settled, Collecting: !settled, Quiet: quiet, Version: 1, Declaration: packed}
}

// A caller retransmits an opening packet only after 200 and 600 ms. Packets that arrive before the entry has a roster
// must not be lost, and the newest copy of each flow must be sent once.
func TestPacketsWaitForTheRoster(t *testing.T) {
	g := gomega.NewWithT(t)
	e, sink, agent := newStartedEntry(t)
	var repeat func()
	e.afterFunc = func(_ time.Duration, f func()) { repeat = f }
	e.handleAll("\x01S", "\x01S", "\x02A")
	e.update(view(t, false, false))
	e.handleAll("\x03S")
	g.Expect(receivedByCaller(t, sink)).To(gomega.BeEmpty())
	e.update(view(t, false, true, agent))
	g.Expect(receivedByCaller(t, sink)).To(gomega.Equal(map[byte]int{1: 1, 3: 1}))
	e.update(view(t, true, true, agent))
	g.Expect(receivedByCaller(t, sink)).To(gomega.Equal(map[byte]int{2: 1}))
	g.Expect(e.waiting).To(gomega.BeNil())
	repeat()
	g.Expect(receivedByCaller(t, sink)).To(gomega.Equal(map[byte]int{2: 1}))
}

// A waiting packet must not be forwarded again if the holder of its flow has answered meanwhile.
func TestAnsweredFlowsDoNotWait(t *testing.T) {
	g := gomega.NewWithT(t)
	e, sink, agent := newStartedEntry(t)
	e.update(view(t, false, true, agent))
	e.handleAll("\x02A")
	g.Expect(receivedByCaller(t, sink)).To(gomega.Equal(map[byte]int{2: 1}))
	s, _ := testCodec{}.Caller([]byte("\x02A"))
	e.handleInternal(passthrough.AppendFlowHeld(nil, passthrough.FlowHeld{Flow: s.Flow}), addrPort(sink))
	e.update(view(t, true, true, agent))
	g.Expect(receivedByCaller(t, sink)).To(gomega.BeEmpty())
}

// Waiting packets must expire when their callers give up, and must not take more memory than the limit.
func TestWaitingIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWaitingPackets()
	opening, _ := testCodec{}.Caller([]byte("\x01S"))
	data, _ := testCodec{}.Caller([]byte("\x02A"))
	w.add(0, opening, []byte("\x01S"))
	w.add(0, data, []byte("\x02A"))
	g.Expect(w.established(maxSearchWaitMs)).To(gomega.HaveLen(1))
	g.Expect(w.established(maxSearchWaitMs + 1)).To(gomega.BeEmpty())
	g.Expect(w.takeOpening(maxOpeningAgeMs + 1)).To(gomega.BeEmpty())
	opening.OpeningAgeMs = 600
	w.add(1000, opening, []byte("\x01S"))
	g.Expect(w.takeOpening(1000+maxOpeningAgeMs-600+1)).To(gomega.BeEmpty(), "the caller sent its first copy 600 ms earlier")
	w.add(1000, opening, []byte("\x01S"))
	g.Expect(w.takeOpening(1000 + maxOpeningAgeMs - 600)).To(gomega.HaveLen(1))
	w.remove(data.Flow)
	g.Expect(w.bytes).To(gomega.BeZero())
	packet := make([]byte, 1232)
	for port := range 1000 {
		data.Flow.Caller.Port = uint16(port)
		w.add(0, data, packet)
	}
	g.Expect(w.bytes).To(gomega.And(gomega.BeNumerically("<=", maxWaitingBytes), gomega.BeNumerically(">", maxWaitingBytes-len(packet))))
}

// After a power loss of all VMs a process may use the declaration of a control VM without a leader, but not for long: a
// partitioned control VM would direct callers by an old declaration. A declaration that a leader has confirmed stays.
func TestUnconfirmedDeclarationIsDropped(t *testing.T) {
	for _, c := range []struct {
		name      string
		confirmed bool
		late      bool
		first     bool // in force when the view arrives
		after     bool // in force after provisionalTTL
	}{
		{"no leader", false, false, true, false},
		{"leader", true, false, true, true},
		{"no leader, long after the start", false, true, false, false},
		{"leader, long after the start", true, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e, _, agent := newStartedEntry(t)
			if c.late {
				e.started = e.started.Add(-2 * provisionalTTL)
			}
			v := view(t, true, true, agent)
			v.Current = c.confirmed
			e.update(v)
			g.Expect(e.Ready()).To(gomega.Equal(c.first))
			e.started = e.started.Add(-2 * provisionalTTL)
			e.expireOnce()
			g.Expect(e.Ready()).To(gomega.Equal(c.after))
		})
	}
}

// A newer declaration from a control VM without a leader must be used: it is committed. A view without a declaration
// must not revoke a confirmed one.
func TestConfirmedDeclarationStaysWithoutALeader(t *testing.T) {
	g := gomega.NewWithT(t)
	e, _, agent := newStartedEntry(t)
	v := view(t, true, true, agent)
	v.Current = true
	e.update(v)
	v.Current, v.Declaration = false, nil
	e.update(v)
	e.started = e.started.Add(-2 * provisionalTTL)
	e.expireOnce()
	g.Expect(e.Ready()).To(gomega.BeTrue())
}
