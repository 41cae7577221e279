// Package entry is the entry role: it forwards callers' packets from the fabric to the home agents of their buckets. It
// keeps no flow state, so that a packet may take any entry VM.
package entry

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/internal/udp"
)

// Config sets up an entry VM.
type Config struct {
	Listen  netip.AddrPort // UDP address that the fabric sends to; port 0 chooses one
	Sockets int            // traffic goroutines, each with its own socket; 1 if zero
	MTU     int            // longest packet of the callers in bytes; tunnel.MaxPacket if zero
	Keys    *tunnel.KeyRing
}

// Counters are totals since the start, over all traffic goroutines.
type Counters struct {
	Forwarded      uint64
	Malformed      uint64 // outer or inner packet could not be decoded
	Oversized      uint64 // longer than the MTU
	UnknownService uint64 // no service has the destination
	NoHome         uint64 // the service has no reachable upstream for the bucket
	SendFailed     uint64
}

// Entry is a running entry VM. Apply and SetKeys may be called by one control goroutine while traffic flows.
type Entry struct {
	mtu     int
	conns   []*net.UDPConn
	keys    atomic.Pointer[tunnel.KeyRing]
	state   atomic.Pointer[state]
	workers []*worker
	wg      sync.WaitGroup
}

// New opens the sockets and starts the traffic goroutines. Until the first Apply every packet is dropped.
func New(cfg Config) (*Entry, error) {
	if cfg.Keys == nil {
		return nil, errors.New("entry has no tunnel keys")
	}
	e := &Entry{mtu: cfg.MTU}
	if e.mtu == 0 {
		e.mtu = tunnel.MaxPacket
	}
	e.keys.Store(cfg.Keys)
	e.state.Store(&state{})
	conns, err := udp.Listen(cfg.Listen, max(1, cfg.Sockets))
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	e.conns = conns
	for _, conn := range conns {
		w, err := newWorker(e, conn)
		if err != nil {
			udp.Close(conns)
			return nil, fmt.Errorf("entry: %w", err)
		}
		e.workers = append(e.workers, w)
	}
	for _, w := range e.workers {
		e.wg.Add(1)
		go w.run()
	}
	return e, nil
}

// Addr is the address that the fabric sends to.
func (e *Entry) Addr() netip.AddrPort { return udp.LocalAddr(e.conns[0]) }

// Apply publishes a configuration with its bucket table. An older revision is ignored.
func (e *Entry) Apply(s *model.Snapshot, t *routing.Table) {
	if s.Revision < e.state.Load().revision {
		return
	}
	e.state.Store(buildState(s, t))
}

// Revision returns the revision in force.
func (e *Entry) Revision() model.Revision { return e.state.Load().revision }

// SetKeys replaces the tunnel keys.
func (e *Entry) SetKeys(keys *tunnel.KeyRing) { e.keys.Store(keys) }

// Counters returns the totals.
func (e *Entry) Counters() Counters {
	var sum Counters
	for _, w := range e.workers {
		sum.Forwarded += w.count.forwarded.Load()
		sum.Malformed += w.count.malformed.Load()
		sum.Oversized += w.count.oversized.Load()
		sum.UnknownService += w.count.unknownService.Load()
		sum.NoHome += w.count.noHome.Load()
		sum.SendFailed += w.count.sendFailed.Load()
	}
	return sum
}

// Close stops the traffic goroutines. No flow depends on this VM.
func (e *Entry) Close() error {
	udp.Close(e.conns)
	e.wg.Wait()
	return nil
}
