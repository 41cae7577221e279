package agent

import (
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/flow/wire"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// packetLoop is the state of the packet goroutine, which is the only goroutine that uses it and the flow machine.
type packetLoop struct {
	agent         *Agent
	machine       flow.Machine
	view          *view
	codec         *tunnel.Codec
	local         flow.Local
	draining      bool
	lastMessage   map[model.HostID]time.Time // time of the latest message of each agent
	expectedSince map[model.HostID]time.Time // time since which an agent shares a service with this one
	actions       []flow.Action
	events        []event
	buf           []byte // outgoing packet, with space for the tunnel header in front
	start         time.Time
}

func newPacketLoop(a *Agent) *packetLoop {
	return &packetLoop{
		agent:         a,
		machine:       a.cfg.Machine,
		view:          a.view.Load(),
		codec:         tunnel.NewCodec(&a.keys),
		lastMessage:   map[model.HostID]time.Time{},
		expectedSince: map[model.HostID]time.Time{},
		buf:           make([]byte, tunnel.MaxHeader+maxDatagram),
		start:         time.Now(),
	}
}

// now returns the time that is passed to the flow machine. It is monotonic, also when the wall clock is set: the
// machine measures ages in unsigned seconds and would take a new half-open flow for an expired one if time went back.
func (l *packetLoop) now() time.Time { return l.start.Add(time.Since(l.start)) }

// command runs f on the packet goroutine and waits until it returns. It does nothing once the agent is closed.
func (a *Agent) command(f func(l *packetLoop, now time.Time)) {
	done := make(chan struct{})
	run := func(l *packetLoop, now time.Time) {
		defer close(done)
		f(l, now)
	}
	select {
	case a.commands <- run:
		<-done
	case <-a.stopped:
	}
}

// run handles packets, connection events, commands and ticks until the agent is closed. It also handles the queued
// connection events before each tick, so that the flow machine knows which flows have ended.
func (l *packetLoop) run() {
	defer l.agent.packetLoopDone.Done()
	ticker := time.NewTicker(flow.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.agent.stopped:
			return
		case <-l.agent.events.ready:
			l.handleEvents(l.now())
		case f := <-l.agent.commands:
			f(l, l.now())
		case in := <-l.agent.inbound:
			l.handle(l.now(), in)
			inboundPool.Put(in)
		case <-ticker.C:
			// The time in the channel is when the tick became due, which may be before the last packet was handled.
			now := l.now()
			l.handleEvents(now)
			l.actions = l.machine.Tick(now, l.actions[:0])
			l.execute(now)
		}
	}
}

// install activates a configuration. It ends the flows of removed services, because entry VMs no longer forward their
// packets and another service may get the address.
func (l *packetLoop) install(v *view) {
	l.view = v
	l.agent.view.Store(v)
	for _, key := range l.agent.openFlows.keys() {
		if v.snapshot.Services[key.Service] == nil {
			l.agent.delivery.Abort(key, result.FlowServiceClosing)
		}
	}
}

// setLocal passes the state of the host to the flow machine.
func (l *packetLoop) setLocal(local flow.Local) {
	l.local = local
	local.AcceptNew = local.AcceptNew && !l.draining
	l.machine.SetLocal(local)
}

// drain refuses new flows permanently.
func (l *packetLoop) drain() {
	l.draining = true
	l.setLocal(l.local)
}

// handleEvents reports established and ended connections to the flow machine.
func (l *packetLoop) handleEvents(now time.Time) {
	l.events = l.agent.events.takeAll(l.events)
	for _, e := range l.events {
		if e.established {
			l.machine.Established(e.key)
			continue
		}
		l.machine.Closed(now, e.key)
	}
}

// handle passes a verified packet to the flow machine.
func (l *packetLoop) handle(now time.Time, in *inbound) {
	if in.proto == tunnel.ProtoPeer {
		l.handleMessage(now, in.payload)
		return
	}
	packet, code := l.decode(in)
	if code != result.OK {
		l.agent.counters.countDrop(code)
		return
	}
	l.actions = l.machine.Packet(now, packet, l.actions[:0])
	l.execute(now)
}

// handleMessage passes a message of another agent to the flow machine.
func (l *packetLoop) handleMessage(now time.Time, payload []byte) {
	from, encoded, ok := splitSender(payload)
	if !ok {
		l.agent.counters.countDrop(result.TunnelMalformed)
		return
	}
	message, err := wire.Decode(encoded)
	if err != nil {
		l.agent.counters.countDrop(result.TunnelMalformed)
		return
	}
	l.agent.counters.agentMessages.Add(1)
	l.lastMessage[from.Host] = now
	l.actions = l.machine.Message(now, from, message, l.actions[:0])
	l.execute(now)
}

// decode converts a packet for the flow machine. It refuses a packet whose destination is not the frontend of the
// service in its header. A packet of a service that is not in the current configuration is passed on, because the flow
// machine may hold it until a newer configuration arrives; deliver checks the service again.
func (l *packetLoop) decode(in *inbound) (flow.Packet, result.Code) {
	inner, code := tunnel.ParseInner(in.payload)
	if code != result.OK {
		return flow.Packet{}, code
	}
	svc := l.view.snapshot.Services[in.header.Service]
	if svc != nil && !sameAddress(svc.Frontend, inner.Frontend) {
		return flow.Packet{}, result.FlowWrongService
	}
	packet := flow.Packet{
		Key:        model.FlowKey{Service: in.header.Service, Caller: inner.Caller},
		Flags:      flowFlags(inner.Flags),
		Generation: in.header.Generation,
		Hops:       in.header.Hops,
		Assigned:   in.header.Assigned,
		Raw:        in.payload,
	}
	if packet.Assigned {
		packet.Assigner = l.view.hostByTag[in.header.Assigner]
		packet.Assignment = in.header.Assignment
	}
	return packet, result.OK
}

// deliverable returns true if the service of a packet is in the configuration, is registered at this host and has the
// packet's destination as its frontend, and the packet comes from the caller in its flow key.
func (l *packetLoop) deliverable(p *flow.Packet) bool {
	svc := l.view.snapshot.Services[p.Key.Service]
	if svc == nil {
		return false
	}
	if _, ok := l.agent.cfg.Upstream(svc); !ok {
		return false
	}
	inner, code := tunnel.ParseInner(p.Raw)
	return code == result.OK && sameAddress(svc.Frontend, inner.Frontend) && inner.Caller == p.Key.Caller
}

// sameAddress compares two addresses and treats an IPv4-mapped IPv6 address as IPv4.
func sameAddress(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && a.Addr().Unmap() == b.Addr().Unmap()
}

// requestConfig requests a newer configuration.
func (l *packetLoop) requestConfig() {
	if l.agent.cfg.RequestConfig != nil {
		l.agent.cfg.RequestConfig()
	}
}

// flowFlags converts TCP flags to those of the flow machine. FlagSYN stands for a SYN without ACK.
func flowFlags(f header.TCPFlags) flow.Flags {
	var flags flow.Flags
	if f.Contains(header.TCPFlagSyn) && !f.Contains(header.TCPFlagAck) {
		flags |= flow.FlagSYN
	}
	if f.Contains(header.TCPFlagRst) {
		flags |= flow.FlagRST
	}
	if f.Contains(header.TCPFlagFin) {
		flags |= flow.FlagFIN
	}
	return flags
}
