package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// Times of callers.
const (
	openTimeout    = 1400 * time.Millisecond
	firstRepeat    = 200 * time.Millisecond
	longestRepeat  = 1600 * time.Millisecond
	requestTimeout = 5 * time.Second
	pause          = 300 * time.Millisecond // between two requests of a flow
	minFlowTime    = 20 * time.Second       // least life of a flow
	flowTimeSpread = 35 * time.Second       // the longest life is 55 s, less than maxFlowS
)

// world is what surrounds the system: hosts, callers and the routers between callers and entries.
type world struct {
	r   *record
	ctx context.Context

	mu         sync.Mutex
	hosts      []*host
	violations []string
	counts     map[string]int

	entries  []*standin.Machine
	misses   []int
	rotation []*standin.Machine
}

func newWorld(ctx context.Context, r *record, entries []*standin.Machine) *world {
	w := &world{r: r, ctx: ctx, counts: map[string]int{}, entries: entries, rotation: entries, misses: make([]int, len(entries))}
	go w.route()
	return w
}

func (w *world) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.r.note("%s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, text)
}

// broken returns the number of violations so far.
func (w *world) broken() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.violations)
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

func (w *world) add(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts = append(w.hosts, h)
}

func (w *world) remove(gone *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, h := range w.hosts {
		if h == gone {
			w.hosts = append(w.hosts[:i:i], w.hosts[i+1:]...)
			return
		}
	}
}

// holder returns the live host that holds a flow, or nil.
func (w *world) holder(f flow) *host {
	w.mu.Lock()
	hosts := append([]*host(nil), w.hosts...)
	w.mu.Unlock()
	for _, h := range hosts {
		if h.holds(f) {
			return h
		}
	}
	return nil
}

// route polls the readiness of the entries twice a second and keeps the rotation.
func (w *world) route() {
	for w.ctx.Err() == nil {
		for i, e := range w.entries {
			go w.poll(i, e)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (w *world) poll(i int, e *standin.Machine) {
	ctx, cancel := context.WithTimeout(w.ctx, 450*time.Millisecond)
	defer cancel()
	status, err := call(ctx, http.MethodGet, fmt.Sprintf("http://%s/api/readiness", netip.AddrPortFrom(e.IP, portReadiness)), nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.misses[i]++
	if err == nil && status == http.StatusOK {
		w.misses[i] = 0
	}
	var rotation []*standin.Machine
	for j, m := range w.entries {
		if w.misses[j] < 2 {
			rotation = append(rotation, m)
		}
	}
	if 2*len(rotation) < len(w.entries) {
		rotation = w.entries
	}
	w.rotation = rotation
}

// entry returns the entry to which the routers forward a flow's packets now: the flow's hash modulo the rotation.
func (w *world) entry(f flow) netip.AddrPort {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.caller.String() + f.front.String()))
	w.mu.Lock()
	defer w.mu.Unlock()
	return netip.AddrPortFrom(w.rotation[int(h.Sum32())%len(w.rotation)].IP, portPackets)
}

// caller is one client machine; each of its flows has a port of its own in the packets.
type caller struct {
	w    *world
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[netip.AddrPort]chan packet
	port  uint16
}

func (w *world) startCaller(ip netip.Addr, fronts []netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portPackets)))
	if err != nil {
		return err
	}
	c := &caller{w: w, ip: ip, conn: conn, flows: map[netip.AddrPort]chan packet{}, port: 40000}
	context.AfterFunc(w.ctx, func() { _ = conn.Close() })
	go c.receive()
	for _, front := range fronts {
		go func() {
			for w.ctx.Err() == nil {
				c.talk(front)
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	return nil
}

func (c *caller) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok || !p.valid && !(p.has(flagRst) && p.sum == 0) {
			c.w.violate("MIXED", "caller %s got a packet that no host wrote so", c.ip)
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

// talk opens a flow and sends requests on it, one after the other, until the flow ends or has lived for flowTime.
func (c *caller) talk(front netip.AddrPort) {
	in := make(chan packet, 32)
	c.mu.Lock()
	c.port++
	own := netip.AddrPortFrom(c.ip, c.port)
	c.flows[own] = in
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, own)
		c.mu.Unlock()
	}()
	f := flow{own, front}
	hostSeq, ok := c.open(f, in)
	if !ok {
		c.w.count("flows not opened")
		return
	}
	c.w.count("flows opened")
	seq, ack := uint32(1), hostSeq+1
	end := time.Now().Add(minFlowTime + rand.N(flowTimeSpread))
	for n := 0; time.Now().Before(end) && c.w.ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s/%d", own, n)
		if !c.request(f, seq, ack, id, in) {
			return
		}
		seq += uint32(len(id))
		time.Sleep(pause)
	}
	c.write(f, packet{flags: flagFin | flagAck, seq: seq, ack: ack})
}

func (c *caller) write(f flow, p packet) {
	p.src, p.dst = f.caller, f.front
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), c.w.entry(f)) // lost packets are repeated
}

func (c *caller) open(f flow, in <-chan packet) (hostSeq uint32, ok bool) {
	deadline := time.After(openTimeout)
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		c.write(f, packet{flags: flagSyn, seq: 0, ack: uint32(i)})
		copyAt := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-in:
				switch {
				case p.has(flagRst):
					return 0, false
				case p.has(flagSyn):
					c.write(f, packet{flags: flagAck, seq: 1, ack: p.seq + 1})
					return p.seq, true
				}
			case <-copyAt:
				waiting = false
			case <-deadline:
				return 0, false
			case <-c.w.ctx.Done():
				return 0, false
			}
		}
	}
	return 0, false
}

// request sends one request and waits for its answer. It reports whether the flow goes on.
func (c *caller) request(f flow, seq, ack uint32, id string, in <-chan packet) bool {
	c.w.r.note("request %s is sent to %s", id, f.front)
	deadline, repeat := time.After(requestTimeout), firstRepeat
	for {
		c.write(f, packet{flags: flagAck, seq: seq, ack: ack, data: []byte(id)})
		again := time.After(repeat)
		repeat = min(2*repeat, longestRepeat)
		for waiting := true; waiting; {
			select {
			case p := <-in:
				switch {
				case p.has(flagRst) && !p.valid:
					if int32(p.seq-ack) > resetWindow || int32(p.seq-ack) < -resetWindow {
						continue
					}
					c.reset(f, id)
					return false
				case p.has(flagRst), p.has(flagFin):
					c.w.count("flows ended by their host")
					return false
				case string(p.data) == "answer to "+id:
					c.w.r.note("request %s is answered", id)
					c.w.count("requests answered")
					return true
				}
			case <-again:
				waiting = false
			case <-deadline:
				c.w.r.note("request %s got no answer", id)
				c.w.count("requests unanswered")
				return false
			case <-c.w.ctx.Done():
				return false
			}
		}
	}
}

// reset judges a reset that the system has sent.
func (c *caller) reset(f flow, id string) {
	c.w.count("flows reset by the system")
	if h := c.w.holder(f); h != nil {
		c.w.violate("FLOW", "flow %s to %s got a reset during request %s although host %s on %s lives and holds it", f.caller, f.front, id, h.id, h.machine)
		return
	}
	c.w.r.note("flow %s to %s got a reset; no live host holds it", f.caller, f.front)
}
