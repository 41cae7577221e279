package agent

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/flow/wire"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// execute carries out the actions of the flow machine in order.
func (l *packetLoop) execute(now time.Time) {
	for i := range l.actions {
		action := &l.actions[i]
		switch action.Kind {
		case flow.ActionDeliver:
			l.deliver(now, &action.Packet)
		case flow.ActionForward:
			l.forward(action.To, &action.Packet)
		case flow.ActionSend:
			l.send(action.To, action.Message)
		case flow.ActionReset:
			l.reset(action.Packet.Raw)
		case flow.ActionDrop:
			l.agent.counters.countDrop(action.Code)
		case flow.ActionFetch:
			l.requestConfig()
		case flow.ActionCloseLocal:
			l.agent.delivery.Abort(action.Packet.Key, action.Code)
		}
	}
}

// deliver passes a packet to the local TCP stack. If the stack refuses it for lack of space or of a connection, the
// flow machine must not keep the flow as owned. A SYN over the flow limit is answered with a reset; a SYN over the
// limit of half-open flows is dropped.
func (l *packetLoop) deliver(now time.Time, p *flow.Packet) {
	if !l.deliverable(p) {
		l.agent.counters.countDrop(result.FlowWrongService)
		l.machine.Closed(now, p.Key)
		return
	}
	err := l.agent.delivery.Deliver(p.Key, p.Raw)
	if err == nil {
		l.agent.counters.delivered.Add(1)
		return
	}
	code := result.CodeOf(err)
	l.agent.counters.countDrop(code)
	switch code {
	case result.FlowTableFull:
		l.machine.Closed(now, p.Key)
		l.reset(p.Raw)
	case result.FlowHalfOpenFull, result.FlowUnknown, result.FlowWrongService:
		l.machine.Closed(now, p.Key)
	}
}

// forward sends a packet to another agent. The flow machine has set the generation and counted the hop.
func (l *packetLoop) forward(to model.HostID, p *flow.Packet) {
	addr, ok := l.view.tunnelAddr(to)
	if !ok {
		l.agent.counters.countDrop(result.FlowOwnerLost)
		return
	}
	header := tunnel.Header{
		Service:    p.Key.Service,
		Generation: p.Generation,
		Hops:       p.Hops,
		Assigned:   p.Assigned,
	}
	if p.Assigned {
		header.Assigner = tunnel.TagOf(p.Assigner)
		header.Assignment = p.Assignment
	}
	end := tunnel.MaxHeader + copy(l.buf[tunnel.MaxHeader:], p.Raw)
	start := l.codec.Seal(l.buf[:end], tunnel.MaxHeader, &header)
	if _, err := l.agent.conns[0].WriteToUDPAddrPort(l.buf[start:end], addr); err != nil {
		l.agent.counters.countDrop(result.FlowOwnerLost)
		return
	}
	l.agent.counters.forwarded.Add(1)
}

// send sends a message to another agent. The flow machine retransmits lost messages.
func (l *packetLoop) send(to model.HostID, m flow.Message) {
	addr, ok := l.view.tunnelAddr(to)
	if !ok {
		return
	}
	encoded, err := wire.Encode(m)
	if err != nil {
		_ = l.agent.cfg.Logger.Log("event", "message-not-encoded", "to", to, "err", err)
		return
	}
	payload := appendSender(l.buf[tunnel.MaxHeader:tunnel.MaxHeader], l.agent.cfg.Ref)
	payload = append(payload, encoded...)
	end := tunnel.MaxHeader + len(payload)
	if end > len(l.buf) {
		_ = l.agent.cfg.Logger.Log("event", "message-too-long", "to", to, "bytes", len(payload))
		return
	}
	start := l.codec.SealPeer(l.buf[:end], tunnel.MaxHeader)
	_, _ = l.agent.conns[0].WriteToUDPAddrPort(l.buf[start:end], addr)
}

// reset answers a caller's packet with a TCP reset.
func (l *packetLoop) reset(raw []byte) {
	packet, err := tunnel.Reset(raw)
	if err != nil || packet == nil {
		return
	}
	if err := l.agent.fabricOutput.Send(packet); err == nil {
		l.agent.counters.resetsSent.Add(1)
	}
}
