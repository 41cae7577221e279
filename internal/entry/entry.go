// Package entry implements the entry VM, which forwards callers' packets from the fabric to the home agents of their
// buckets. It keeps no flow state, so that each packet of a flow may pass through another entry VM.
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

// Config configures an entry VM.
type Config struct {
	Listen  netip.AddrPort // UDP address that the fabric sends to; port 0 chooses one
	Sockets int            // traffic goroutines, each with its own socket; 1 if zero
	MTU     int            // length limit of callers' packets in bytes; tunnel.MaxPacket if zero
	Keys    *tunnel.KeyRing
}

// Counters are the totals of all traffic goroutines since the entry VM started.
type Counters struct {
	Forwarded      uint64
	Malformed      uint64 // the outer or inner packet could not be decoded
	Oversized      uint64 // the inner packet is longer than the MTU
	UnknownService uint64 // no service has the destination as its frontend
	NoHome         uint64 // the service has no reachable upstream for the bucket
	SendFailed     uint64
}

// Entry is a running entry VM. One control goroutine may call Apply and SetKeys while packets are forwarded.
type Entry struct {
	mtu         int
	conns       []*net.UDPConn
	keys        atomic.Pointer[tunnel.KeyRing]
	table       atomic.Pointer[forwardingTable]
	workers     []*worker
	workersDone sync.WaitGroup
}

// New opens the sockets and starts the traffic goroutines. They drop all packets until the first call of Apply.
func New(cfg Config) (*Entry, error) {
	if cfg.Keys == nil {
		return nil, errors.New("entry has no tunnel keys")
	}
	e := &Entry{mtu: cfg.MTU}
	if e.mtu == 0 {
		e.mtu = tunnel.MaxPacket
	}
	e.keys.Store(cfg.Keys)
	e.table.Store(&forwardingTable{})
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
		e.workersDone.Add(1)
		go w.run()
	}
	return e, nil
}

// Addr returns the UDP address that the fabric sends to.
func (e *Entry) Addr() netip.AddrPort { return udp.LocalAddr(e.conns[0]) }

// Apply installs a configuration with its bucket table. An older revision is ignored.
func (e *Entry) Apply(s *model.Snapshot, t *routing.Table) {
	if s.Revision < e.table.Load().revision {
		return
	}
	e.table.Store(buildTable(s, t))
}

// Revision returns the revision of the current configuration.
func (e *Entry) Revision() model.Revision { return e.table.Load().revision }

// SetKeys replaces the tunnel keys.
func (e *Entry) SetKeys(keys *tunnel.KeyRing) { e.keys.Store(keys) }

// Counters returns the totals since the entry VM started.
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

// Close closes the sockets and stops the traffic goroutines. Flows continue through other entry VMs.
func (e *Entry) Close() error {
	udp.Close(e.conns)
	e.workersDone.Wait()
	return nil
}
