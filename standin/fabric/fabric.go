// Package fabric stands in for the platform's fabric: it hands each IP packet of a caller to a random entry VM inside
// Geneve, hands the agents' replies to the callers, and can lose, duplicate, delay and reorder packets.
package fabric

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// maxDelayed bounds the packets that wait for their delay; further ones are lost, as in a full device queue.
const maxDelayed = 1 << 16

// socketBuffer is the requested size of the socket buffers in bytes.
const socketBuffer = 4 << 20

// Faults are applied to every packet in both directions. Shares are between 0 and 1.
type Faults struct {
	Loss      float64
	Duplicate float64
	Reorder   float64       // share of packets that are held back by ReorderBy
	ReorderBy time.Duration // later packets overtake a packet that is held back this long
	Delay     time.Duration
	Jitter    time.Duration // added to Delay, uniformly distributed
}

// Counters are totals since the start.
type Counters struct {
	ToEntries, ToCallers, Lost, Duplicated, Reordered, NoEntry, NoCaller, Malformed uint64
}

// Fabric is the stand-in. Its methods may be called by several goroutines.
type Fabric struct {
	conn *net.UDPConn

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	entries []netip.AddrPort
	callers map[netip.Addr]func([]byte)
	cut     map[netip.AddrPort]bool
	closed  bool

	delayed atomic.Int64
	count   struct {
		toEntries, toCallers, lost, duplicated, reordered, noEntry, noCaller, malformed atomic.Uint64
	}
	done chan struct{}
}

// New opens the fabric's socket. All random choices come from the seed.
func New(listen netip.AddrPort, seed uint64) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("fabric: %w", err)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	f := &Fabric{
		conn:    conn,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		callers: map[netip.Addr]func([]byte){},
		cut:     map[netip.AddrPort]bool{},
		done:    make(chan struct{}),
	}
	go f.receive()
	return f, nil
}

// Addr is the address that agents reply to.
func (f *Fabric) Addr() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetEntries replaces the live entry VMs.
func (f *Fabric) SetEntries(entries ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append([]netip.AddrPort(nil), entries...)
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Attach registers the receiver of packets to a caller's address. The receiver must not keep the packet.
func (f *Fabric) Attach(addr netip.Addr, receive func(packet []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[addr] = receive
}

// Cut loses every packet from and to a caller's port, as a device that lost the connection's state does.
func (f *Fabric) Cut(caller netip.AddrPort) { f.setCut(caller, true) }

// Restore ends Cut.
func (f *Fabric) Restore(caller netip.AddrPort) { f.setCut(caller, false) }

func (f *Fabric) setCut(caller netip.AddrPort, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cut {
		f.cut[caller] = true
		return
	}
	delete(f.cut, caller)
}

// Send takes a caller's IP packet. The packet is copied.
func (f *Fabric) Send(packet []byte) error {
	inner, code := tunnel.ParseInner(packet)
	if code != result.OK {
		f.count.malformed.Add(1)
		return nil
	}
	buf := make([]byte, tunnel.BaseLen+len(packet))
	copy(buf[tunnel.BaseLen:], packet)
	tunnel.EncodePlain(buf, tunnel.BaseLen)
	f.schedule(inner.Caller, func() { f.toEntry(buf) })
	return nil
}

// toEntry sends an outer packet to a random live entry VM.
func (f *Fabric) toEntry(buf []byte) {
	f.mu.Lock()
	if len(f.entries) == 0 {
		f.mu.Unlock()
		f.count.noEntry.Add(1)
		return
	}
	to := f.entries[f.rng.IntN(len(f.entries))]
	f.mu.Unlock()
	if _, err := f.conn.WriteToUDPAddrPort(buf, to); err == nil {
		f.count.toEntries.Add(1)
	}
}

// receive handles the agents' replies.
func (f *Fabric) receive() {
	defer close(f.done)
	buf := make([]byte, 65536)
	for {
		size, _, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if f.isClosed() {
				return
			}
			continue
		}
		f.reply(buf[:size])
	}
}

// reply schedules one outer packet of an agent.
func (f *Fabric) reply(data []byte) {
	packet, code := tunnel.DecodePlain(data)
	if code != result.OK {
		f.count.malformed.Add(1)
		return
	}
	inner, code := tunnel.ParseInner(packet)
	if code != result.OK {
		f.count.malformed.Add(1)
		return
	}
	owned := append([]byte(nil), packet...)
	f.schedule(inner.Frontend, func() { f.toCaller(inner.Frontend.Addr(), owned) })
}

// toCaller hands a packet to the caller's stack.
func (f *Fabric) toCaller(addr netip.Addr, packet []byte) {
	f.mu.Lock()
	receive := f.callers[addr]
	f.mu.Unlock()
	if receive == nil {
		f.count.noCaller.Add(1)
		return
	}
	f.count.toCallers.Add(1)
	receive(packet)
}

// schedule applies the faults to one packet of a caller's flow.
func (f *Fabric) schedule(caller netip.AddrPort, send func()) {
	f.mu.Lock()
	if f.closed || f.cut[caller] || f.rng.Float64() < f.faults.Loss {
		f.mu.Unlock()
		f.count.lost.Add(1)
		return
	}
	wait := f.faults.Delay
	if f.faults.Jitter > 0 {
		wait += time.Duration(f.rng.Int64N(int64(f.faults.Jitter)))
	}
	if f.rng.Float64() < f.faults.Reorder {
		wait += f.faults.ReorderBy
		f.count.reordered.Add(1)
	}
	twice := f.rng.Float64() < f.faults.Duplicate
	f.mu.Unlock()
	f.after(wait, send)
	if twice {
		f.count.duplicated.Add(1)
		f.after(wait, send)
	}
}

// after runs send once the delay is over.
func (f *Fabric) after(wait time.Duration, send func()) {
	if wait <= 0 {
		send()
		return
	}
	if f.delayed.Add(1) > maxDelayed {
		f.delayed.Add(-1)
		f.count.lost.Add(1)
		return
	}
	time.AfterFunc(wait, func() {
		f.delayed.Add(-1)
		if !f.isClosed() {
			send()
		}
	})
}

// Counters returns the totals.
func (f *Fabric) Counters() Counters {
	return Counters{
		ToEntries:  f.count.toEntries.Load(),
		ToCallers:  f.count.toCallers.Load(),
		Lost:       f.count.lost.Load(),
		Duplicated: f.count.duplicated.Load(),
		Reordered:  f.count.reordered.Load(),
		NoEntry:    f.count.noEntry.Load(),
		NoCaller:   f.count.noCaller.Load(),
		Malformed:  f.count.malformed.Load(),
	}
}

func (f *Fabric) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// Close stops the fabric; delayed packets are lost.
func (f *Fabric) Close() error {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	err := f.conn.Close()
	<-f.done
	return err
}
