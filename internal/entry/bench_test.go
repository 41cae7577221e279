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
	benchRounds    = 5                      // of each forwarder, alternating so that both see the same machine load
	benchRound     = 800 * time.Millisecond // per round
	benchInFlight  = 64                     // packets between sender and sink, below the socket buffers
	benchCallers   = 256                    // different source ports
	benchPayload   = 1000                   // bytes of TCP payload per packet
	stalledInFight = 50 * time.Millisecond  // after which missing packets are taken as lost
)

// BenchmarkEntryForward measures an entry VM with one traffic goroutine against a bare UDP relay that sends the same
// packets on unchanged. Both run over loopback sockets in the same process.
func BenchmarkEntryForward(b *testing.B) {
	sink, received := benchSink(b)
	e := benchEntry(b, udp.LocalAddr(sink))
	relay := benchRelay(b, udp.LocalAddr(sink))
	b.ReportAllocs()
	packets := make([][]byte, benchCallers)
	for i := range packets {
		packets[i] = outerPacket(uint16(20000+i), benchPayload)
	}
	for range b.N {
		var entryTime, relayTime time.Duration
		var entryCount, relayCount uint64
		for range benchRounds {
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
		_ = w.step()
	})
	runtime.ReadMemStats(&before)
	for range runs {
		_, _ = from.WriteToUDPAddrPort(packet, to)
		_ = w.step()
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
	for time.Since(start) < benchRound {
		now := received.Load()
		if now != seen {
			seen, progress = now, time.Now()
		}
		if sent-(now-first) >= benchInFlight {
			if time.Since(progress) > stalledInFight {
				sent = now - first
			}
			runtime.Gosched()
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(packets[sent%benchCallers], to); err != nil {
			b.Fatal(err)
		}
		sent++
	}
	return received.Load() - first, time.Since(start)
}

func benchSocket(t testing.TB) *net.UDPConn {
	t.Helper()
	return socketAt(t, loopback)
}

func socketAt(t testing.TB, addr netip.AddrPort) *net.UDPConn {
	t.Helper()
	conns, err := udp.Listen(addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { udp.Close(conns) })
	return conns[0]
}

// benchSink counts what it receives.
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

// benchRelay sends every packet on unchanged.
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
	publish(e, 1, upstream)
	return e
}
