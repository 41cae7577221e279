package entry

import (
	"math"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainseam/plantainseam/internal/udp"
)

const (
	rounds        = 5                      // per forwarder, alternating so that both see the same machine load
	roundDuration = 800 * time.Millisecond // of one round
	maxInFlight   = 64                     // packets between sender and sink; they fit into the socket buffers
	callerPorts   = 256                    // number of different source ports
	payloadSize   = 1000                   // bytes of TCP payload per packet
	stallTimeout  = 50 * time.Millisecond  // without progress, after which packets in flight count as lost
)

// BenchmarkEntryForward compares an entry VM with one traffic goroutine and a plain UDP relay that forwards the same
// packets unchanged. Both use loopback sockets in the same process.
func BenchmarkEntryForward(b *testing.B) {
	sink, received := benchSink(b)
	e := benchEntry(b, udp.LocalAddr(sink))
	relay := benchRelay(b, udp.LocalAddr(sink))
	b.ReportAllocs()
	packets := make([][]byte, callerPorts)
	for i := range packets {
		packets[i] = outerPacket(uint16(20000+i), payloadSize)
	}
	for range b.N {
		var entryTime, relayTime time.Duration
		var entryCount, relayCount uint64
		for range rounds {
			count, took := benchSend(b, e.Addr(), packets, received)
			entryCount, entryTime = entryCount+count, entryTime+took
			count, took = benchSend(b, relay, packets, received)
			relayCount, relayTime = relayCount+count, relayTime+took
		}
		perEntry := float64(entryTime.Nanoseconds()) / float64(entryCount)
		perRelay := float64(relayTime.Nanoseconds()) / float64(relayCount)
		b.ReportMetric(perEntry, "ns/packet")
		b.ReportMetric(1e9/perEntry, "packets/s")
		b.ReportMetric(perRelay, "baseline-relay-ns/packet")
		b.ReportMetric(perEntry/perRelay, "ratio-to-relay")
		allocs, bytes := forwardAllocs(b, e, packets[0])
		b.ReportMetric(allocs, "allocs/op")
		b.ReportMetric(bytes, "B/op")
	}
}

// forwardAllocs returns the allocations and allocated bytes of receiving, forwarding and sending one packet.
func forwardAllocs(t testing.TB, e *Entry, packet []byte) (allocs, bytes float64) {
	t.Helper()
	const runs = 1000
	conn := benchSocket(t)
	w, err := newWorker(e, conn)
	if err != nil {
		t.Fatal(err)
	}
	from := benchSocket(t)
	to := udp.LocalAddr(conn)
	var before, after runtime.MemStats
	allocs = testing.AllocsPerRun(runs, func() {
		_, _ = from.WriteToUDPAddrPort(packet, to)
		_ = w.forwardBatch()
	})
	runtime.ReadMemStats(&before)
	for range runs {
		_, _ = from.WriteToUDPAddrPort(packet, to)
		_ = w.forwardBatch()
	}
	runtime.ReadMemStats(&after)
	if w.count.forwarded.Load() == 0 {
		t.Fatal("no packet was forwarded")
	}
	return allocs, math.Floor(float64(after.TotalAlloc-before.TotalAlloc) / runs)
}

// benchSend sends packets in turn with a bounded number in flight and returns how many arrived at the sink.
func benchSend(b *testing.B, to netip.AddrPort, packets [][]byte, received *atomic.Uint64) (uint64, time.Duration) {
	b.Helper()
	conn := benchSocket(b)
	first := received.Load()
	start := time.Now()
	progress, seen := start, first
	var sent uint64
	for time.Since(start) < roundDuration {
		now := received.Load()
		if now != seen {
			seen, progress = now, time.Now()
		}
		if sent-(now-first) >= maxInFlight {
			if time.Since(progress) > stallTimeout {
				sent = now - first
			}
			runtime.Gosched()
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(packets[sent%callerPorts], to); err != nil {
			b.Fatal(err)
		}
		sent++
	}
	return received.Load() - first, time.Since(start)
}

func benchSocket(t testing.TB) *net.UDPConn {
	t.Helper()
	return listenUDP(t, loopback)
}

func listenUDP(t testing.TB, addr netip.AddrPort) *net.UDPConn {
	t.Helper()
	conns, err := udp.Listen(addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { udp.Close(conns) })
	return conns[0]
}

// benchSink returns a socket that discards packets and the number of packets that it has received.
func benchSink(b *testing.B) (*net.UDPConn, *atomic.Uint64) {
	b.Helper()
	conn := benchSocket(b)
	received := &atomic.Uint64{}
	go func() {
		buf := make([]byte, 65536)
		for {
			if _, _, err := conn.ReadFromUDPAddrPort(buf); err != nil {
				return
			}
			received.Add(1)
		}
	}()
	return conn, received
}

// benchRelay starts a relay that forwards every packet unchanged, and returns its address.
func benchRelay(b *testing.B, to netip.AddrPort) netip.AddrPort {
	b.Helper()
	conn := benchSocket(b)
	go func() {
		buf := make([]byte, 65536)
		for {
			size, _, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(buf[:size], to)
		}
	}()
	return udp.LocalAddr(conn)
}

// benchEntry starts an entry VM whose only upstream is at the given address.
func benchEntry(t testing.TB, upstream netip.AddrPort) *Entry {
	t.Helper()
	e := newTestEntry(t, Config{})
	applyConfig(e, 1, upstream)
	return e
}
