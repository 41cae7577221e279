package main

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times of clients, as the platform's pages give them.
var synCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	openTimeout   = 1400 * time.Millisecond
	firstRepeat   = 200 * time.Millisecond
	longestRepeat = 1600 * time.Millisecond
	requestTime   = 1200 * time.Millisecond
)

// outcome is what a client saw of one request on a flow of its own.
type outcome struct {
	flow   flowID
	sent   time.Time // when the client sent the first opening packet
	ended  time.Time
	answer string // empty if there was none
	why    string // how it ended otherwise
}

// client opens flows from one address. It hands all its packets to one entry, as a router with a single entry does.
type client struct {
	ip     netip.Addr
	entry  netip.AddrPort
	conn   *net.UDPConn
	record *record

	mu    sync.Mutex
	flows map[netip.AddrPort]chan packet
	port  uint16
}

func newClient(s *site, entry *machine) (*client, error) {
	ip := netip.AddrFrom4([4]byte{127, s.network, 9, 1})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portPackets)))
	if err != nil {
		return nil, fmt.Errorf("%w: client: %w", errCannotRun, err)
	}
	c := &client{ip: ip, entry: entry.addrPort(portPackets), conn: conn, record: s.record, flows: map[netip.AddrPort]chan packet{}, port: 2000}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok || !p.valid && p.flags&flagRst == 0 {
			continue
		}
		c.mu.Lock()
		in := c.flows[p.dst]
		c.mu.Unlock()
		if in != nil {
			select {
			case in <- p:
			default:
			}
		}
	}
}

// request opens a flow, sends one request on it and closes it.
func (c *client) request(front netip.AddrPort) outcome {
	c.mu.Lock()
	c.port++
	own := netip.AddrPortFrom(c.ip, c.port)
	in := make(chan packet, 16)
	c.flows[own] = in
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, own)
		c.mu.Unlock()
	}()
	o := outcome{flow: flowID{own, front}, sent: time.Now()}
	hostSeq, why := c.open(own, front, in, o.sent)
	if why == "" {
		o.answer, why = c.ask(own, front, hostSeq, in)
	}
	o.why, o.ended = why, time.Now()
	return o
}

func (c *client) open(own, front netip.AddrPort, in <-chan packet, started time.Time) (uint32, string) {
	copies := synCopies
	for time.Since(started) < openTimeout {
		if len(copies) > 0 && time.Since(started) >= copies[0] {
			c.write(packet{src: own, dst: front, flags: flagSyn, seq: uint32(own.Port()), ack: uint32(len(synCopies) - len(copies))})
			copies = copies[1:]
		}
		wait := openTimeout - time.Since(started)
		if len(copies) > 0 {
			wait = min(wait, copies[0]-time.Since(started))
		}
		select {
		case p := <-in:
			if p.flags&flagRst != 0 {
				return 0, "refused"
			}
			if p.flags&flagSyn != 0 {
				return p.seq, ""
			}
		case <-time.After(max(wait, 0)):
		}
	}
	return 0, "not opened"
}

func (c *client) ask(own, front netip.AddrPort, hostSeq uint32, in <-chan packet) (answer, why string) {
	started, repeat := time.Now(), firstRepeat
	for time.Since(started) < requestTime {
		c.write(packet{src: own, dst: front, flags: flagAck, seq: uint32(own.Port()) + 1, ack: hostSeq + 1, data: []byte(own.String())})
		timer := time.After(repeat)
		repeat = min(2*repeat, longestRepeat)
		for waiting := true; waiting; {
			select {
			case <-timer:
				waiting = false
			case p := <-in:
				switch {
				case p.flags&flagRst != 0:
					return "", "reset"
				case len(p.data) > 0:
					c.write(packet{src: own, dst: front, flags: flagFin | flagAck, seq: uint32(own.Port()) + 2, ack: hostSeq + 2})
					return string(p.data), ""
				}
			}
		}
	}
	return "", "timed out"
}

// clientFlow is an open flow of a client, for several requests.
type clientFlow struct {
	c       *client
	id      flowID
	hostSeq uint32
	holder  string // host that answered the first request

	mu      sync.Mutex
	seq     uint32
	reset   time.Time
	answers chan string
	done    chan struct{}
}

// openFlow opens a flow and sends a first request on it. It returns the reason if that fails.
func (c *client) openFlow(front netip.AddrPort) (*clientFlow, string) {
	c.mu.Lock()
	c.port++
	own := netip.AddrPortFrom(c.ip, c.port)
	in := make(chan packet, 64)
	c.flows[own] = in
	c.mu.Unlock()
	hostSeq, why := c.open(own, front, in, time.Now())
	if why != "" {
		return nil, why
	}
	f := &clientFlow{
		c: c, id: flowID{own, front}, hostSeq: hostSeq, seq: uint32(own.Port()) + 1, answers: make(chan string, 64), done: make(chan struct{}),
	}
	go f.receive(in)
	answer, why := f.request()
	if answer == "" {
		f.close()
		return nil, why
	}
	f.holder, _, _ = strings.Cut(answer, " ")
	return f, ""
}

func (f *clientFlow) close() {
	f.mu.Lock()
	f.c.write(packet{src: f.id.client, dst: f.id.front, flags: flagFin | flagAck, seq: f.seq, ack: f.hostSeq + 2})
	f.mu.Unlock()
	close(f.done)
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.id.client)
}

func (f *clientFlow) receive(in <-chan packet) {
	for {
		select {
		case <-f.done:
			return
		case p := <-in:
			switch {
			case p.flags&flagRst != 0 && !p.valid && p.seq-(f.hostSeq+1)+76_800 <= 2*76_800: // a reset of the system
				f.mu.Lock()
				if f.reset.IsZero() {
					f.reset = time.Now()
				}
				f.mu.Unlock()
			case len(p.data) > 0:
				select {
				case f.answers <- string(p.data):
				default:
				}
			}
		}
	}
}

// request sends a request, repeats it until there is an answer, and records both.
func (f *clientFlow) request() (answer, why string) {
	sent := time.Now()
	answer, why = f.exchange()
	f.c.record.note("request on flow %s sent at %.4f: run and answered by %q %s", f.id.client, f.c.record.at(sent), answer, why)
	return answer, why
}

func (f *clientFlow) exchange() (answer, why string) {
	f.mu.Lock()
	seq := f.seq
	data := []byte(fmt.Sprintf("%s/%d", f.id.client, seq))
	f.seq += uint32(len(data))
	f.mu.Unlock()
	started, repeat := time.Now(), firstRepeat
	for time.Since(started) < requestTime {
		f.c.write(packet{src: f.id.client, dst: f.id.front, flags: flagAck, seq: seq, ack: f.hostSeq + 1, data: data})
		select {
		case answer := <-f.answers:
			return answer, ""
		case <-time.After(repeat):
			repeat = min(2*repeat, longestRepeat)
		}
		if _, reset := f.resetAt(); reset {
			return "", "reset"
		}
	}
	return "", "timed out"
}

// resetAt returns when the system reset the flow, if it did.
func (f *clientFlow) resetAt() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reset, !f.reset.IsZero()
}

func (c *client) write(p packet) { _, _ = c.conn.WriteToUDPAddrPort(p.encode(), c.entry) }
