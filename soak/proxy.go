package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// wire is what the proxy does with the connections to a core process.
type wire string

// Kinds of wires.
const (
	wireGood     wire = "good"
	wireSlow     wire = "slow"     // every piece of data is late
	wireSilent   wire = "silent"   // open connections and new ones hang
	wireHalf     wire = "half"     // calls arrive, answers do not
	wireRefusing wire = "refusing" // open connections are reset and new ones closed
)

// slowness is the delay of a slow wire: many times that between failure domains, less than the timeouts of calls.
const slowness = 120 * time.Millisecond

// proxy stands between the system's processes and one core process.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort
	machine  string

	partition *partition

	mu      sync.Mutex
	changed *sync.Cond
	state   wire
	open    map[net.Conn]struct{}
	closed  bool
}

func newProxy(m *standin.Machine, c *partition) (*proxy, error) {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(m.IP, standin.CallPort).String())
	if err != nil {
		return nil, fmt.Errorf("proxy of %s: %w", m.Name, err)
	}
	p := &proxy{
		listener: listener, target: netip.AddrPortFrom(m.Bind, standin.CallPort), state: wireGood, open: map[net.Conn]struct{}{},
		machine: m.Name, partition: c,
	}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// set changes the wire.
func (p *proxy) set(w wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = w
	p.changed.Broadcast()
	if w == wireRefusing {
		p.resetAll()
	}
}

// resetAll resets open connections. The caller holds mu.
func (p *proxy) resetAll() {
	for c := range p.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // an ordinary close is a fault as well
		}
		_ = c.Close()
	}
	clear(p.open)
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
	_ = p.listener.Close()
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(c)
		}
	}
}

func (p *proxy) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	if !p.keep(caller) {
		return
	}
	process, err := net.Dial("tcp4", p.target.String())
	if err != nil {
		return // the process is down
	}
	defer func() { _ = process.Close() }()
	if !p.keep(process) {
		return
	}
	calls, from, err := firstCall(caller)
	if err != nil {
		return // the caller has given up
	}
	go func() {
		p.pump(process, caller, from, false)
		_ = caller.Close()
	}()
	p.pump(prefixed{caller, calls}, process, from, true)
}

// prefixed is a connection whose first bytes were read already.
type prefixed struct {
	net.Conn
	in io.Reader
}

// Read implements net.Conn.
func (c prefixed) Read(b []byte) (int, error) { return c.in.Read(b) }

// keep remembers a connection for resets. It reports whether the wire takes connections.
func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.state == wireRefusing {
		return false
	}
	p.open[c] = struct{}{}
	return true
}

// pump copies data as the wire allows until an end closes.
// Data between control VMs that are cut off from each other is lost, and its connection stays silent.
func (p *proxy) pump(from, to net.Conn, caller string, calls bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if p.partition.blocked(caller, p.machine) {
				_, _ = io.Copy(io.Discard, from) // until an end gives up
				return
			}
			if !p.pass(calls) {
				_ = to.Close() // a connection that has lost data never goes on
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			return
		}
	}
}

// pass waits as long as the wire demands and reports whether the data goes on. What a silent wire has held up is lost.
func (p *proxy) pass(calls bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.state {
	case wireSlow:
		p.mu.Unlock()
		time.Sleep(slowness)
		p.mu.Lock()
		return true
	case wireSilent:
	case wireHalf:
		if calls {
			return true
		}
	default:
		return true
	}
	held := p.state
	for p.state == held && !p.closed {
		p.changed.Wait()
	}
	return false
}
