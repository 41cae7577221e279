package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/roster"
	"github.com/plantainseam/plantainseam/internal/udp"
)

// expiryInterval is how often idle flows are looked for.
const expiryInterval = time.Second

// Entry is an entry VM.
type Entry struct {
	*link
	machine *passthrough.Entry
	conn    *net.UDPConn
	counts  *counters
	waiting *waiting // guarded by mu; nil once the roster is settled
	later   func(time.Duration, func())
	silent  map[passthrough.Endpoint]bool // agents that get no new flow because they do not report; guarded by mu
	alone   isolation                     // guarded by mu
}

// NewEntry opens the socket of an entry.
func NewEntry(cfg Config) (*Entry, error) {
	conns, err := udp.Listen(cfg.arrival(), 1)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	e := &Entry{
		link: newLink(cfg), conn: conns[0], counts: newCounters(),
		machine: passthrough.NewEntry(passthrough.EndpointOf(cfg.Tunnel), cfg.Domain),
		waiting: newWaiting(), silent: map[passthrough.Endpoint]bool{},
		later: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
	e.client = roster.NewClient(roster.ClientConfig{
		Seeds: cfg.Seeds, RPCPort: cfg.RPCPort, Domain: cfg.Domain, Logger: cfg.Logger,
		Self: e.record, Held: e.version, Update: e.update,
	})
	return e, nil
}

func (e *Entry) record() roster.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := roster.Record{
		Kind: roster.KindEntry, Address: e.cfg.Tunnel.Addr(), TunnelPort: e.cfg.Tunnel.Port(), FailureDomain: e.cfg.Domain,
		Flows: uint32(e.machine.Flows()), Leaving: e.leaving,
	}
	if e.table != nil {
		r.Version = e.table.Version
	}
	e.number(&r)
	return r
}

func (e *Entry) update(v roster.View) {
	t := e.adopt(v)
	e.mu.Lock()
	e.alone.heardControl(e.now())
	if t != nil {
		e.machine.SetTable(t)
	}
	// A control VM that has just started does not know every agent. What this entry knows of the others stays.
	if v.Settled || !e.settled {
		e.settled = v.Settled
		peers := roster.Peers(v.Records)
		e.noteRoster(peers, v)
		e.noteSilence(peers)
		e.machine.SetRoster(e.now(), newRoster(peers, v))
	}
	due := e.due(v)
	e.mu.Unlock()
	e.replay(due)
}

// due returns the waiting packets that can be decided about now. The caller holds mu.
func (e *Entry) due(v roster.View) []waitingPacket {
	if e.waiting == nil || e.table == nil {
		return nil
	}
	var out []waitingPacket
	if v.Settled || v.Quiet {
		out = e.waiting.takeOpening(e.now())
	}
	if e.settled {
		rest := e.waiting
		e.waiting = nil
		out = append(out, rest.established(e.now())...)
		e.later(repeatMs*time.Millisecond, func() { e.repeat(rest) })
	}
	return out
}

// repeat sends the packets of established flows whose holders are still not known a second time.
func (e *Entry) repeat(rest *waiting) {
	e.mu.Lock()
	var due []waitingPacket
	for _, p := range rest.established(e.now()) {
		if !e.machine.HolderKnown(p.segment.Flow) {
			due = append(due, p)
		}
	}
	e.mu.Unlock()
	e.replay(due)
}

// replay decides about waiting packets.
func (e *Entry) replay(due []waitingPacket) {
	if len(due) == 0 {
		return
	}
	_ = e.cfg.Logger.Log("event", "waiting_packets_sent", "packets", len(due))
	out := make([]byte, 0, maxDatagram)
	for _, p := range due {
		out = e.forward(p.segment, p.content, out[:0])
	}
}

// Ready reports whether the entry may receive callers' packets.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	is, begins := e.alone.isolated(e.now())
	if begins {
		_ = e.cfg.Logger.Log("event", "isolated", "control_silent_ms", e.now()-e.alone.controlMs, "unanswered", e.alone.questions,
			"agents_silent_ms", e.now()-e.alone.questionMs)
	}
	return e.table != nil && !e.leaving && !is
}

// Leave makes the entry not ready. It goes on forwarding.
func (e *Entry) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.client.Wake()
}

// Run forwards packets until ctx is done.
func (e *Entry) Run(ctx context.Context) error {
	go e.client.Run(ctx)
	go e.expire(ctx)
	go func() {
		<-ctx.Done()
		_ = e.conn.Close()
	}()
	in := make([]byte, maxDatagram)
	out := make([]byte, 0, maxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(in)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			e.counts.add("socket_error")
			continue
		}
		out = e.handle(in[:n], from, out[:0])
	}
}

// handle processes one datagram. It returns the buffer for the next call.
func (e *Entry) handle(b []byte, from netip.AddrPort, out []byte) []byte {
	if passthrough.IsInternal(b) {
		e.internal(b, from)
		return out
	}
	s, err := e.cfg.Codec.Caller(b)
	if err != nil {
		e.counts.add("malformed")
		return out
	}
	return e.forward(s, b, out)
}

// forward decides about a packet of a caller and carries the decision out.
func (e *Entry) forward(s passthrough.Segment, b, out []byte) []byte {
	e.mu.Lock()
	d := e.machine.Packet(e.now(), s)
	e.alone.sent(e.now(), d)
	if e.waiting != nil && waits(d, e.settled) {
		e.waiting.keep(e.now(), s, b)
	}
	e.mu.Unlock()
	e.counts.decision(d)
	switch d.Verdict {
	case passthrough.ToPeer:
		out = passthrough.AppendForward(out, d.Forward, b)
		e.logPeer(s, d)
		if d.Unanswered {
			e.logUnanswered(s, d)
		}
		e.send(out, d.Peer.AddrPort())
		if d.Probe {
			e.send(passthrough.AppendProbe(out[:0], e.machine.Self), d.Peer.AddrPort())
		}
	case passthrough.ToSeveral:
		e.logRefusal(s, d)
		out = passthrough.AppendForward(out, d.Forward, b)
		for _, peer := range d.Peers {
			e.send(out, peer.AddrPort())
		}
	case passthrough.SendReset:
		out = e.cfg.Codec.AppendReset(out, s)
		e.logRefusal(s, d)
		e.send(out, callerAddress(s, e.cfg.Tunnel))
	case passthrough.Drop:
		e.logRefusal(s, d)
	}
	return out
}

// callerAddress returns where packets for a caller are sent.
func callerAddress(s passthrough.Segment, tunnel netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(s.Flow.Caller.IP), tunnel.Port())
}

func (e *Entry) send(b []byte, to netip.AddrPort) {
	if _, err := e.conn.WriteToUDPAddrPort(b, to); err != nil {
		e.counts.add("send_error")
	}
}

func (e *Entry) internal(b []byte, from netip.AddrPort) {
	d, err := passthrough.Decode(b)
	if err != nil {
		e.counts.add("malformed")
		return
	}
	if d.Invite == nil {
		e.mu.Lock()
		e.alone.heardAgent()
		e.machine.HandleSignOfLife(passthrough.EndpointOf(from))
		e.mu.Unlock()
	}
	switch {
	case d.Stopping:
		e.mu.Lock()
		e.machine.HandleStopping(e.now(), passthrough.EndpointOf(from))
		e.mu.Unlock()
	case d.FlowHeld != nil:
		e.holds(passthrough.EndpointOf(from), *d.FlowHeld)
	case d.FlowNotHeld != nil:
		e.mu.Lock()
		e.machine.HandleFlowNotHeld(e.now(), passthrough.EndpointOf(from), *d.FlowNotHeld)
		e.mu.Unlock()
	case d.Invite != nil:
		e.client.Invite(d.Invite.AddrPort())
	}
}

// holds processes the word of an agent that its upstream holds a flow.
func (e *Entry) holds(from passthrough.Endpoint, h passthrough.FlowHeld) {
	e.mu.Lock()
	answer := e.machine.HandleFlowHeld(e.now(), from, h)
	if e.waiting != nil {
		e.waiting.forget(h.Flow)
	}
	e.mu.Unlock()
	e.counts.answer(answer)
	if answer.Found {
		e.logFound(h.Flow, from, answer)
	}
}

func (e *Entry) expire(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.sweep()
		}
	}
}

// sweep forgets what is too old.
func (e *Entry) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.Expire(e.now())
	if e.dropProvisional() {
		e.machine.SetTable(nil)
	}
}
