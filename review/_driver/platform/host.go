package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Ports of a machine of platform/standin.
const (
	portPackets   = 18172
	portOutbound  = 18173
	portReadiness = 18174
	portReports   = 18176
	portApp       = 18177
)

const heartbeat = 400 * time.Millisecond // heartbeatMs of the settings

// flow is a flow from the caller's point of view.
type flow struct{ caller, front netip.AddrPort }

// host is an upstream process: it accepts flows, runs each request once, and returns packets of flows that it does not hold.
type host struct {
	w           *world
	id, service string
	machine     string
	ip          netip.Addr
	born        int64
	conn        *net.UDPConn
	ctx         context.Context
	cancel      context.CancelFunc

	mu       sync.Mutex
	seqs     map[flow]uint32 // own sequence number of accepted flows
	open     map[flow]bool   // the caller has confirmed the flow
	ran      map[string]bool
	draining bool
	sequence int
}

func (w *world) startHost(machine, id, service string, ip netip.Addr) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portApp)))
	if err != nil {
		return nil, err
	}
	h := &host{
		w: w, id: id, service: service, machine: machine, ip: ip, born: time.Now().UnixMilli(), conn: conn,
		seqs: map[flow]uint32{}, open: map[flow]bool{}, ran: map[string]bool{},
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	w.add(h)
	w.r.note("host %s of %s starts on %s", id, service, machine)
	go h.receive()
	go h.report()
	return h, nil
}

func (h *host) stop() {
	h.cancel()
	_ = h.conn.Close()
	h.w.remove(h)
}

func (h *host) holds(f flow) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open[f]
}

func (h *host) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h.take(append([]byte(nil), buf[:n]...))
	}
}

func (h *host) take(b []byte) {
	p, ok := decode(b)
	if !ok || !p.valid {
		h.w.violate("UNASKED", "host %s got a packet that no caller wrote so", h.id)
		return
	}
	f := flow{p.src, p.dst}
	h.mu.Lock()
	defer h.mu.Unlock()
	seq, held := h.seqs[f]
	switch {
	case p.has(flagSyn):
		if !held {
			seq = uint32(time.Now().UnixNano())
			h.seqs[f] = seq
		}
		h.send(packet{src: p.dst, dst: p.src, flags: flagSyn | flagAck, seq: seq, ack: p.seq + 1})
	case !held || !h.open[f] && p.ack != seq+1:
		b[16] |= flagBounced
		b[17] = 0
		_, _ = h.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(h.ip, portOutbound)) // the caller repeats a lost packet
	case p.has(flagFin):
		delete(h.seqs, f)
		delete(h.open, f)
		h.send(packet{src: p.dst, dst: p.src, flags: flagFin | flagAck, seq: seq + 1, ack: p.seq + 1})
	default:
		if !h.open[f] {
			h.open[f] = true
			h.w.r.note("flow %s to %s is open at host %s", f.caller, f.front, h.id)
		}
		if len(p.data) > 0 {
			h.run(p, seq)
		}
	}
}

// run answers a request. The caller holds mu.
func (h *host) run(p packet, seq uint32) {
	id := string(p.data)
	if !h.ran[id] {
		h.ran[id] = true
		h.w.r.note("request %s runs at host %s", id, h.id)
	}
	h.send(packet{src: p.dst, dst: p.src, flags: flagAck, seq: seq + 1, ack: p.seq + uint32(len(p.data)), data: []byte("answer to " + id)})
}

func (h *host) send(p packet) {
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(h.ip, portOutbound)) // the caller repeats a lost packet
}

func (h *host) report() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for h.ctx.Err() == nil {
		h.reportOnce()
		select {
		case <-h.ctx.Done():
		case <-ticker.C:
		}
	}
}

// fields returns the fields of the next status report.
func (h *host) fields() map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	return map[string]any{
		"service": h.service, "address": netip.AddrPortFrom(h.ip, portApp).String(), "zone": "z", "version": "v1", "concurrency": 3,
		"state": state, "warmupLeftMs": 0, "sequence": h.sequence, "born": h.born,
	}
}

func (h *host) reportOnce() {
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	_, _ = call(ctx, http.MethodPut, h.reportURL(h.id), h.fields()) // the next report follows soon
}

func (h *host) reportURL(id string) string {
	return fmt.Sprintf("http://%s/api/instances/%s", netip.AddrPortFrom(h.ip, portReports), id)
}

// call sends a JSON body and returns the status.
func call(ctx context.Context, method, url string, body any) (int, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, nil
}
