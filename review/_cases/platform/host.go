package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// flowID is a flow from the client's point of view.
type flowID struct{ client, front netip.AddrPort }

// hostFlow is a host's state of a flow.
type hostFlow struct {
	seq  uint32
	open bool
	sent time.Time // when the host took the opening packet
}

// taken is an opening packet that a host took and the request that it ran on that flow.
type taken struct {
	flow    flowID
	service string
	host    string
	at      time.Time // when the host took the opening packet
	ran     time.Time // when it ran the request; zero if it did not
}

// host is a server process beside an agent. It follows the platform's pages: it answers opening packets while it lives,
// also while it drains, and returns packets of flows that it does not hold.
type host struct {
	id      string
	m       *machine
	born    int64
	conn    *net.UDPConn
	record  *record
	onTaken func(taken)

	mu       sync.Mutex
	flows    map[flowID]*hostFlow
	draining bool
	delayed  bool // reports are held up on their way
	sequence int
	stopped  chan struct{}
	drained  chan struct{} // closed when the draining was acknowledged
}

func startHost(id string, m *machine, r *record, onTaken func(taken)) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.addrPort(portApp)))
	if err != nil {
		return nil, fmt.Errorf("%w: host %s: %w", errCannotRun, id, err)
	}
	h := &host{
		id: id, m: m, born: time.Now().UnixMilli(), conn: conn, record: r, onTaken: onTaken, flows: map[flowID]*hostFlow{},
		stopped: make(chan struct{}), drained: make(chan struct{}),
	}
	r.note("host %s of %s starts on %s", id, m.service, m.name)
	go h.receive()
	go h.report()
	return h, nil
}

// drain makes the host announce that it leaves, at once and with every further report.
func (h *host) drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.reportOnce()
}

// leave says that the host is gone and ends it.
func (h *host) leave() {
	status, _, err := exchange(time.Second, http.MethodDelete, fmt.Sprintf("http://%s/api/instances/%s", h.m.address(portReports), h.id), nil)
	h.record.note("host %s says that it is gone: status %d, error %v", h.id, status, err)
	h.stop()
}

func (h *host) stop() {
	close(h.stopped)
	_ = h.conn.Close()
	h.record.note("host %s ends", h.id)
}

func (h *host) report() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		h.reportOnce()
		select {
		case <-h.stopped:
			return
		case <-ticker.C:
		}
	}
}

func (h *host) reportOnce() {
	h.mu.Lock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	sequence := h.sequence
	body, err := json.Marshal(h.reportFields(state))
	delayed := h.delayed
	h.mu.Unlock()
	if delayed {
		h.record.note("report %d of host %s is delayed", sequence, h.id)
		return
	}
	if err != nil {
		return // all values can be encoded
	}
	status, _, err := exchange(time.Second, http.MethodPut, fmt.Sprintf("http://%s/api/instances/%s", h.m.address(portReports), h.id), body)
	if state != "draining" || err != nil || status/100 != 2 {
		return // the next report repeats it
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.drained:
	default:
		close(h.drained)
		h.record.note("host %s gets the acknowledgement that it drains", h.id)
	}
}

// reportFields returns the content of a report. The caller holds mu.
func (h *host) reportFields(state string) map[string]any {
	return map[string]any{
		"service": h.m.service, "address": h.m.address(portApp), "zone": h.m.zone, "version": "v1", "concurrency": 3, "state": state,
		"warmupLeftMs": 0, "sequence": h.sequence, "born": h.born,
	}
}

func (h *host) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h.take(buf[:n])
	}
}

func (h *host) take(b []byte) {
	p, ok := decode(b)
	if !ok || !p.valid {
		h.record.note("host %s gets a packet that no client wrote so", h.id)
		return
	}
	id := flowID{p.src, p.dst}
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[id]
	switch {
	case p.flags&flagSyn != 0:
		if f == nil {
			f = &hostFlow{seq: uint32(time.Now().UnixNano()), sent: time.Now()}
			h.flows[id] = f
		}
		h.send(packet{src: p.dst, dst: p.src, flags: flagSyn | flagAck, seq: f.seq, ack: p.seq + 1})
	case f == nil || !f.open && p.ack != f.seq+1:
		b[16] |= flagBounced
		b[17] = 0
		_, _ = h.conn.WriteToUDPAddrPort(b, h.m.addrPort(portOutbound))
	case p.flags&flagFin != 0:
		h.send(packet{src: p.dst, dst: p.src, flags: flagFin | flagAck, seq: f.seq + 1, ack: p.seq + 1})
	default:
		if !f.open {
			f.open = true
		}
		if len(p.data) > 0 {
			h.run(id, f, p)
		}
	}
}

// run runs a request and answers it with the name of the host. The caller holds mu.
func (h *host) run(id flowID, f *hostFlow, p packet) {
	if h.onTaken != nil {
		h.onTaken(taken{flow: id, service: h.m.service, host: h.id, at: f.sent, ran: time.Now()})
	}
	answer := fmt.Sprintf("%s %s", h.id, h.m.service)
	h.send(packet{src: p.dst, dst: p.src, flags: flagAck, seq: f.seq + 1, ack: p.seq + uint32(len(p.data)), data: []byte(answer)})
}

func (h *host) send(p packet) {
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), h.m.addrPort(portOutbound)) // a lost packet is the client's to repeat
}
