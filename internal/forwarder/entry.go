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

// expiryInterval is the interval between two removals of idle flows.
const expiryInterval = time.Second

// Entry is the process of an entry VM: it forwards callers' packets to agents.
type Entry struct {
	*node
	machine      *passthrough.Entry
	conn         *net.UDPConn
	counts       *counters
	waiting      *waitingPackets // guarded by mu; nil once the control VM has collected reports
	afterFunc    func(time.Duration, func())
	silentAgents map[passthrough.Endpoint]bool // agents that receive no new flow because they do not report; guarded by mu
	isolation    isolation                     // guarded by mu
}

// NewEntry opens the socket of an entry.
func NewEntry(cfg Config) (*Entry, error) {
	conns, err := udp.Listen(cfg.listenAddress(), 1)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	e := &Entry{
		node: newNode(cfg), conn: conns[0], counts: newCounters(),
		machine: passthrough.NewEntry(passthrough.EndpointOf(cfg.Tunnel), cfg.Domain),
		waiting: newWaitingPackets(), silentAgents: map[passthrough.Endpoint]bool{},
		afterFunc: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
	e.client = roster.NewClient(roster.ClientConfig{
		Seeds: cfg.Seeds, RPCPort: cfg.RPCPort, Domain: cfg.Domain, Logger: cfg.Logger,
		Self: e.record, DeclaredVersion: e.version, Update: e.update,
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
	e.numberReport(&r)
	return r
}

func (e *Entry) update(v roster.View) {
	t := e.applyDeclaration(v)
	e.mu.Lock()
	e.isolation.noteControlAnswer(e.now())
	if t != nil {
		e.machine.SetTable(t)
	}
	if e.takesRoster(v) {
		peers := roster.Peers(v.Records)
		e.logRosterChange(peers, v)
		e.logSilence(peers)
		e.machine.SetRoster(e.now(), newRoster(peers, v))
	}
	due := e.takeDue(v)
	e.mu.Unlock()
	e.forwardWaiting(due)
}

// takeDue returns the waiting packets that can be forwarded now. The caller holds mu.
func (e *Entry) takeDue(v roster.View) []waitingPacket {
	if e.waiting == nil || e.table == nil {
		return nil
	}
	var out []waitingPacket
	if !v.Collecting || v.Quiet {
		out = e.waiting.takeOpening(e.now())
	}
	if e.collected {
		rest := e.waiting
		e.waiting = nil
		out = append(out, rest.established(e.now())...)
		e.afterFunc(resendDelayMs*time.Millisecond, func() { e.resend(rest) })
	}
	return out
}

// resend forwards the packets of established flows whose holders are still unknown a second time.
func (e *Entry) resend(rest *waitingPackets) {
	e.mu.Lock()
	var due []waitingPacket
	for _, p := range rest.established(e.now()) {
		if !e.machine.HolderKnown(p.segment.Flow) {
			due = append(due, p)
		}
	}
	e.mu.Unlock()
	e.forwardWaiting(due)
}

// forwardWaiting forwards waiting packets.
func (e *Entry) forwardWaiting(due []waitingPacket) {
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
	isolated, begins := e.isolation.isolated(e.now())
	if begins {
		_ = e.cfg.Logger.Log("event", "isolated", "control_silent_ms", e.now()-e.isolation.controlMs,
			"unanswered", e.isolation.unanswered, "agents_silent_ms", e.now()-e.isolation.firstUnansweredMs)
	}
	return e.table != nil && !e.leaving && !isolated
}

// Leave makes the entry not ready. The entry continues to forward.
func (e *Entry) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.client.Wake()
}

// Run forwards packets until ctx is done.
func (e *Entry) Run(ctx context.Context) error {
	go e.client.Run(ctx)
	go every(ctx, expiryInterval, e.expireOnce)
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
			e.counts.addFault("socket_error")
			continue
		}
		out = e.handle(in[:n], from, out[:0])
	}
}

// handle processes one datagram. It returns the buffer for the next call.
func (e *Entry) handle(b []byte, from netip.AddrPort, out []byte) []byte {
	if passthrough.IsInternal(b) {
		e.handleInternal(b, from)
		return out
	}
	s, err := e.cfg.Codec.Caller(b)
	if err != nil {
		e.counts.addFault("malformed")
		return out
	}
	return e.forward(s, b, out)
}

// forward decides about a packet of a caller and executes the decision.
func (e *Entry) forward(s passthrough.Segment, b, out []byte) []byte {
	e.mu.Lock()
	d := e.machine.Packet(e.now(), s)
	e.isolation.notePacket(e.now(), d)
	if e.waiting != nil && mustWait(d, e.collected) {
		e.waiting.add(e.now(), s, b)
	}
	e.mu.Unlock()
	e.counts.addDecision(d)
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
		if d.Peer != (passthrough.Endpoint{}) {
			out = passthrough.AppendForward(out[:0], d.PeerForward, b)
			e.send(out, d.Peer.AddrPort())
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

// callerAddress returns the address to which packets for a caller are sent.
func callerAddress(s passthrough.Segment, tunnel netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(s.Flow.Caller.IP), tunnel.Port())
}

func (e *Entry) send(b []byte, to netip.AddrPort) {
	if _, err := e.conn.WriteToUDPAddrPort(b, to); err != nil {
		e.counts.addFault("send_error")
	}
}

func (e *Entry) handleInternal(b []byte, from netip.AddrPort) {
	d, err := passthrough.Decode(b)
	if err != nil {
		e.counts.addFault("malformed")
		return
	}
	if d.Invite == nil {
		e.mu.Lock()
		e.isolation.noteAgentMessage()
		e.machine.HandleSignOfLife(passthrough.EndpointOf(from))
		e.mu.Unlock()
	}
	switch {
	case d.Stopping:
		e.mu.Lock()
		e.machine.HandleStopping(e.now(), passthrough.EndpointOf(from))
		e.mu.Unlock()
	case d.FlowHeld != nil:
		e.handleFlowHeld(passthrough.EndpointOf(from), *d.FlowHeld)
	case d.FlowNotHeld != nil:
		e.mu.Lock()
		e.machine.HandleFlowNotHeld(e.now(), passthrough.EndpointOf(from), *d.FlowNotHeld)
		e.mu.Unlock()
	case d.Located != nil:
		e.mu.Lock()
		e.machine.HandleFlowLocated(e.now(), *d.Located)
		e.mu.Unlock()
	case d.Invite != nil:
		e.client.Invite(d.Invite.AddrPort())
	}
}

// handleFlowHeld processes an agent's message that its upstream holds a flow.
func (e *Entry) handleFlowHeld(from passthrough.Endpoint, h passthrough.FlowHeld) {
	e.mu.Lock()
	answer := e.machine.HandleFlowHeld(e.now(), from, h)
	if e.waiting != nil {
		e.waiting.remove(h.Flow)
	}
	e.mu.Unlock()
	e.counts.addResolution(answer)
	if answer.Found {
		e.logFound(h.Flow, from, answer)
	}
}

// expireOnce removes expired state and a declaration that was not confirmed in time.
func (e *Entry) expireOnce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.Expire(e.now())
	if e.dropProvisional() {
		e.machine.SetTable(nil)
	}
}
