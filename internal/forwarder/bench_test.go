package forwarder

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/declared"
	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/roster"
)

// benchCodec parses every packet as one of a single flow.
type benchCodec struct{}

var benchFlow = passthrough.Flow{
	Caller: passthrough.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 4000},
	Front:  passthrough.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
}

func (benchCodec) Caller(b []byte) (passthrough.Segment, error) {
	return passthrough.Segment{Flow: benchFlow, Ack: true, Data: len(b)}, nil
}
func (c benchCodec) Host(b []byte) (passthrough.Segment, error)         { return c.Caller(b) }
func (benchCodec) Clean([]byte)                                         {}
func (benchCodec) AppendReset(buf []byte, _ passthrough.Segment) []byte { return buf }
func benchDeclaration([]byte) (*passthrough.Table, error) {
	route := passthrough.NewRoute("r", []passthrough.Target{{Service: "s", Weight: 1}})
	return &passthrough.Table{Version: 1, Routes: map[passthrough.Endpoint]*passthrough.Route{benchFlow.Front: route}}, nil
}

func benchSocket(b *testing.B) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addrPort(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// sendEach sends packets one after the other and waits for each at the sink.
func sendEach(b *testing.B, to netip.AddrPort, sink *net.UDPConn) {
	source := benchSocket(b)
	packet, in := make([]byte, 600), make([]byte, maxDatagram)
	packet[0] = 1
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := source.WriteToUDPAddrPort(packet, to); err != nil {
			b.Fatal(err)
		}
		if _, _, err := sink.ReadFromUDPAddrPort(in); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPacketForward compares an entry with its sockets to a bare UDP relay of the same packets.
func BenchmarkPacketForward(b *testing.B) {
	var perPacket [2]float64
	b.Run("relay", func(b *testing.B) {
		relay, sink := benchSocket(b), benchSocket(b)
		go func() {
			buf := make([]byte, maxDatagram)
			for {
				n, _, err := relay.ReadFromUDPAddrPort(buf)
				if err != nil {
					return
				}
				_, _ = relay.WriteToUDPAddrPort(buf[:n], addrPort(sink)) // a lost packet blocks the sink's read
			}
		}()
		sendEach(b, addrPort(relay), sink)
		perPacket[0] = float64(b.Elapsed().Nanoseconds()) / float64(b.N)
		b.ReportMetric(perPacket[0], "ns/packet")
	})
	b.Run("entry", func(b *testing.B) {
		sink, free := benchSocket(b), benchSocket(b)
		tunnel := addrPort(free)
		_ = free.Close() // its port is used next
		e, err := NewEntry(Config{Tunnel: tunnel, Domain: "d", Codec: benchCodec{}, ParseDeclaration: benchDeclaration,
			Logger: log.NewNopLogger(), FlowLog: log.NewNopLogger()})
		if err != nil {
			b.Fatal(err)
		}
		packed, err := declared.Pack(nil)
		if err != nil {
			b.Fatal(err)
		}
		at := addrPort(sink)
		e.update(roster.View{Settled: true, Version: 1, Declaration: packed, Records: []roster.Record{{
			Kind: roster.KindAgent, Address: at.Addr(), TunnelPort: at.Port(), Service: "s", State: roster.StateActive,
		}}})
		e.machine.HandleFlowHeld(0, passthrough.EndpointOf(at), passthrough.FlowHeld{Flow: benchFlow})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = e.Run(ctx) }()
		sendEach(b, tunnel, sink)
		perPacket[1] = float64(b.Elapsed().Nanoseconds()) / float64(b.N)
		b.ReportMetric(perPacket[1], "ns/packet")
		if perPacket[0] > 0 {
			b.ReportMetric(perPacket[0]/perPacket[1], "ratio-to-relay")
		}
	})
}
