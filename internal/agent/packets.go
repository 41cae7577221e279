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

// packetLoop is the packet goroutine. It is the only user of the flow machine and of its own fields.
type packetLoop struct {
	agent    *Agent
	machine  flow.Machine
	view     *view
	codec    *tunnel.Codec
	local    flow.Local
	draining bool
	heard    map[model.HostID]time.Time // latest message of each agent
	joined   map[model.HostID]time.Time // since when an agent is expected to send messages
	actions  []flow.Action
	events   []event
	buf      []byte // outgoing packets, with room for the header in front
	start    time.Time
}

func newPacketLoop(a *Agent) *packetLoop {
	return &packetLoop{
		agent:   a,
		machine: a.cfg.Machine,
		view:    a.view.Load(),
		codec:   tunnel.NewCodec(&a.keys),
		heard:   map[model.HostID]time.Time{},
		joined:  map[model.HostID]time.Time{},
		buf:     make([]byte, tunnel.MaxHeader+maxDatagram),
		start:   time.Now(),
	}
}

// now returns the time for the machine. It never goes back, not even when the wall clock is set: the machine measures
// ages in unsigned seconds, and with an earlier time it would take a new half-open flow for an expired one.
func (l *packetLoop) now() time.Time { return l.start.Add(time.Since(l.start)) }

// command runs f on the packet goroutine and waits for its end. It does nothing once the agent is closed.
func (a *Agent) command(f func(l *packetLoop, now time.Time)) {
	done := make(chan struct{})
	run := func(l *packetLoop, now time.Time) {
		defer close(done)
		f(l, now)
	}
	select {
	case a.commands <- run:
		<-done
	case <-a.stop:
	}
}

// run is the loop. Events of the delivery go first, so that the machine knows the flows that have ended before it sees
// further packets of them.
func (l *packetLoop) run() {
	defer l.agent.packets.Done()
	ticker := time.NewTicker(flow.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.agent.stop:
			return
		case <-l.agent.events.ready:
			l.handleEvents(l.now())
		case f := <-l.agent.commands:
			f(l, l.now())
		case in := <-l.agent.inbound:
			l.handle(l.now(), in)
			inboundPool.Put(in)
		case <-ticker.C:
			// The time in the channel is that of the tick, which may be before the last packet's.
			now := l.now()
			l.handleEvents(now)
			l.actions = l.machine.Tick(now, l.actions[:0])
			l.execute(now)
		}
	}
}

// install puts a configuration into use. Flows of a service that was withdrawn are ended, because entry VMs do not
// forward their packets any more and another service may get the address.
func (l *packetLoop) install(v *view) {
	l.view = v
	l.agent.view.Store(v)
	for _, key := range l.agent.flows.keys() {
		if v.snapshot.Services[key.Service] == nil {
			l.agent.delivery.Abort(key, result.FlowServiceClosing)
		}
	}
}

// setLocal passes the host's state to the machine.
func (l *packetLoop) setLocal(local flow.Local) {
	l.local = local
	local.AcceptNew = local.AcceptNew && !l.draining
	l.machine.SetLocal(local)
}

// drain stops new flows for good.
func (l *packetLoop) drain() {
	l.draining = true
	l.setLocal(l.local)
}

// handleEvents tells the machine about connections that were established or ended.
func (l *packetLoop) handleEvents(now time.Time) {
	l.events = l.agent.events.take(l.events)
	for _, e := range l.events {
		if e.established {
			l.machine.Established(e.key)
			continue
		}
		l.machine.Closed(now, e.key)
	}
}

// handle passes one verified packet to the machine.
func (l *packetLoop) handle(now time.Time, in *inbound) {
	if in.proto == tunnel.ProtoPeer {
		l.handleMessage(now, in.payload)
		return
	}
	packet, code := l.decode(in)
	if code != result.OK {
		l.agent.count.drop(code)
		return
	}
	l.actions = l.machine.Packet(now, packet, l.actions[:0])
	l.execute(now)
}

// handleMessage passes a message of another agent to the machine.
func (l *packetLoop) handleMessage(now time.Time, payload []byte) {
	from, encoded, ok := splitSender(payload)
	if !ok {
		l.agent.count.drop(result.TunnelMalformed)
		return
	}
	message, err := wire.Decode(encoded)
	if err != nil {
		l.agent.count.drop(result.TunnelMalformed)
		return
	}
	l.agent.count.messages.Add(1)
	l.heard[from.Host] = now
	l.actions = l.machine.Message(now, from, message, l.actions[:0])
	l.execute(now)
}

// decode refuses a packet whose destination is not the frontend of the service in its header. A packet of a service that
// this configuration does not have yet goes to the machine, which may hold it; deliver checks it again.
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
		Flags:      flagsOf(inner.Flags),
		Generation: in.header.Generation,
		Hops:       in.header.Hops,
		Assigned:   in.header.Assigned,
		Raw:        in.payload,
	}
	if packet.Assigned {
		packet.Assigner = l.view.hosts[in.header.Assigner]
		packet.Assignment = in.header.Assignment
	}
	return packet, result.OK
}

// deliverable checks a packet against this agent's own registration: its service is known, has the packet's destination
// as frontend, and is carried by this host.
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

// sameAddress compares addresses in either form of IPv4.
func sameAddress(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && a.Addr().Unmap() == b.Addr().Unmap()
}

// fetch asks for a newer configuration.
func (l *packetLoop) fetch() {
	if l.agent.cfg.Fetch != nil {
		l.agent.cfg.Fetch()
	}
}

// flagsOf converts TCP flags.
func flagsOf(f header.TCPFlags) flow.Flags {
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
