package delivery

import (
	"context"
	"net"
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// keepaliveCount is the number of unanswered probes after which the stack closes a connection. It is never reached:
// sweepLoop ends silent flows after SilenceTimeout, because the stack would close them without sending a reset.
const keepaliveCount = 1 << 20

// abortRetryInterval is the time between attempts of Close to end handshakes in progress.
const abortRetryInterval = 10 * time.Millisecond

// Conn is the connection passed to Handler.Established. It has the half-close methods of net.TCPConn.
type Conn struct {
	*gonet.TCPConn
	ep tcpip.Endpoint
}

var _ net.Conn = (*Conn)(nil)

// Abort ends the connection with a reset, so that the caller cannot take a partial answer for a complete one.
func (c *Conn) Abort() { c.ep.Abort() }

// completeHandshake completes the handshake of a new connection. The stack calls it in a goroutine per half-open flow.
func (n *Netstack) completeHandshake(r *tcp.ForwarderRequest) {
	f := n.beginHandshake(tupleOf(r.ID()))
	if f == nil {
		r.Complete(false)
		return
	}
	defer n.handshakes.Done()
	wq := &waiter.Queue{}
	ep, err := r.CreateEndpoint(wq)
	r.Complete(false)
	if err != nil {
		n.remove(f)
		return
	}
	n.enableKeepalive(ep)
	ended := waiter.NewFunctionEntry(waiter.EventHUp, func(waiter.EventMask) { n.queueEnded(f) })
	wq.EventRegister(&ended)
	conn := &Conn{TCPConn: gonet.NewTCPConn(wq, ep), ep: ep}
	if !n.markEstablished(f, ep) {
		conn.Abort()
		_ = conn.Close()
		n.remove(f)
		return
	}
	n.handler.Established(f.key, conn)
}

// beginHandshake returns the half-open flow of a connection request and registers its handshake. It returns nil if
// there is no such flow or the Netstack is closed.
func (n *Netstack) beginHandshake(t connTuple) *flow {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.tuples[t]
	if f == nil || f.ep != nil || n.closed {
		return nil
	}
	n.handshakes.Add(1)
	f.handshaking = true
	return f
}

// markEstablished turns a half-open flow into an established one. It returns false if the flow has ended meanwhile.
func (n *Netstack) markEstablished(f *flow, ep tcpip.Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.removed || f.endCode != result.OK || n.closed {
		return false
	}
	f.ep = ep
	f.lastSeen = time.Now()
	n.halfOpen--
	return true
}

// enableKeepalive enables keep-alive probes on a connection.
func (n *Netstack) enableKeepalive(ep tcpip.Endpoint) {
	idle := tcpip.KeepaliveIdleOption(n.cfg.ProbeIdle)
	interval := tcpip.KeepaliveIntervalOption(n.cfg.ProbeInterval)
	_ = ep.SetSockOpt(&idle)
	_ = ep.SetSockOpt(&interval)
	_ = ep.SetSockOptInt(tcpip.KeepaliveCountOption, keepaliveCount)
	ep.SocketOptions().SetKeepAlive(true)
}

// Abort implements Delivery.
func (n *Netstack) Abort(key model.FlowKey, code result.Code) {
	n.mu.Lock()
	f := n.flows[key]
	if f == nil {
		n.mu.Unlock()
		return
	}
	ep := n.setEndCode(f, code)
	n.mu.Unlock()
	n.abortFlow(f, ep)
}

// setEndCode records the reason for the end of a flow, unless there is one, and returns the flow's endpoint. The caller
// must hold mu.
func (n *Netstack) setEndCode(f *flow, code result.Code) tcpip.Endpoint {
	if f.endCode == result.OK {
		f.endCode = code
	}
	return f.ep
}

// abortFlow aborts the endpoint of a flow. A half-open flow ends without a reset, because its caller retransmits the
// SYN and the next owner of the flow answers it. The caller must not hold mu, which the endpoint's callback takes.
func (n *Netstack) abortFlow(f *flow, ep tcpip.Endpoint) {
	if ep != nil {
		ep.Abort()
		return
	}
	proto := header.IPv4ProtocolNumber
	if f.tuple.caller.Addr().Is6() {
		proto = header.IPv6ProtocolNumber
	}
	found, ok := n.stack.FindTransportEndpoint(proto, tcp.ProtocolNumber, endpointID(f.tuple), nicID).(tcpip.Endpoint)
	if !ok {
		n.removeUnlessHandshaking(f)
		return
	}
	// The shutdown makes the handshake fail, so that completeHandshake returns.
	_ = found.Shutdown(tcpip.ShutdownRead | tcpip.ShutdownWrite)
}

// removeUnlessHandshaking removes a half-open flow without an endpoint. It leaves the flow to completeHandshake if that
// is running.
func (n *Netstack) removeUnlessHandshaking(f *flow) {
	n.mu.Lock()
	accepting := f.handshaking
	n.mu.Unlock()
	if !accepting {
		n.remove(f)
	}
}

// queueEnded queues a flow whose endpoint has hung up for sweepLoop. The endpoint calls it with its own lock held.
func (n *Netstack) queueEnded(f *flow) {
	n.mu.Lock()
	n.endedFlows = append(n.endedFlows, f)
	n.mu.Unlock()
	select {
	case n.sweepEnded <- struct{}{}:
	default:
	}
}

// remove removes a flow and reports its end to the handler. Further calls for the same flow have no effect.
func (n *Netstack) remove(f *flow) {
	n.mu.Lock()
	if f.removed {
		n.mu.Unlock()
		return
	}
	f.removed = true
	delete(n.flows, f.key)
	delete(n.tuples, f.tuple)
	if f.ep == nil {
		n.halfOpen--
	}
	code := f.endCode
	n.mu.Unlock()
	n.handler.Closed(f.key, code)
}

// sweepLoop removes ended flows when they are queued, and searches for silent ones every SweepInterval.
func (n *Netstack) sweepLoop(ctx context.Context) {
	defer n.loopsDone.Done()
	ticker := time.NewTicker(n.cfg.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.sweepEnded:
			n.mu.Lock()
			ended := n.endedFlows
			n.endedFlows = nil
			n.mu.Unlock()
			n.removeEnded(ended)
		case now := <-ticker.C:
			n.sweep(now)
		}
	}
}

// removeEnded removes the flows whose endpoint is closed.
func (n *Netstack) removeEnded(flows []*flow) {
	for _, f := range flows {
		n.mu.Lock()
		ep := f.ep
		n.mu.Unlock()
		if ep != nil && isClosed(ep) {
			n.remove(f)
		}
	}
}

// sweep removes ended flows, and ends flows that have been silent or half-open for too long.
func (n *Netstack) sweep(now time.Time) {
	var ended, expired []*flow
	n.mu.Lock()
	for _, f := range n.flows {
		switch {
		case f.ep == nil && (f.endCode != result.OK || now.Sub(f.createdAt) > n.cfg.HalfOpenTimeout):
			expired = append(expired, f)
		case f.ep == nil:
		case isClosed(f.ep):
			ended = append(ended, f)
		case tcp.EndpointState(f.ep.State()) != tcp.StateTimeWait && now.Sub(f.lastSeen) > n.cfg.SilenceTimeout:
			expired = append(expired, f)
		}
	}
	for _, f := range expired {
		n.setEndCode(f, result.FlowSilent)
	}
	n.mu.Unlock()
	for _, f := range ended {
		n.remove(f)
	}
	for _, f := range expired {
		n.mu.Lock()
		ep := f.ep
		n.mu.Unlock()
		n.abortFlow(f, ep)
	}
}

// Close implements Delivery. Established flows end with a reset.
func (n *Netstack) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.mu.Unlock()
	done := make(chan struct{})
	go func() {
		n.handshakes.Wait()
		close(done)
	}()
	n.abortUntil(done)
	n.stack.Close()
	n.cancel()
	n.loopsDone.Wait()
	for _, f := range n.openFlows() {
		n.remove(f)
	}
	n.link.Close()
	n.stack.Wait()
	return nil
}

// abortUntil aborts all flows repeatedly until done is closed. An endpoint that is about to be created cannot be
// aborted before it exists.
func (n *Netstack) abortUntil(done <-chan struct{}) {
	ticker := time.NewTicker(abortRetryInterval)
	defer ticker.Stop()
	for {
		for _, f := range n.openFlows() {
			n.Abort(f.key, result.FlowOwnerLost)
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// openFlows returns the flows in any state.
func (n *Netstack) openFlows() []*flow {
	n.mu.Lock()
	defer n.mu.Unlock()
	openFlows := make([]*flow, 0, len(n.flows))
	for _, f := range n.flows {
		openFlows = append(openFlows, f)
	}
	return openFlows
}

// isClosed returns true if the stack no longer has state for an endpoint.
func isClosed(ep tcpip.Endpoint) bool {
	state := tcp.EndpointState(ep.State())
	return state == tcp.StateClose || state == tcp.StateError
}

// tupleOf converts the stack's identifier of a connection.
func tupleOf(id stack.TransportEndpointID) connTuple {
	return connTuple{
		caller:   addrPort(id.RemoteAddress, id.RemotePort),
		frontend: addrPort(id.LocalAddress, id.LocalPort),
	}
}

// addrPort converts a stack address.
func addrPort(a tcpip.Address, port uint16) netip.AddrPort {
	addr, _ := netip.AddrFromSlice(a.AsSlice())
	return netip.AddrPortFrom(addr, port)
}

// endpointID is the inverse of tupleOf.
func endpointID(t connTuple) stack.TransportEndpointID {
	return stack.TransportEndpointID{
		LocalAddress:  tcpip.AddrFromSlice(t.frontend.Addr().AsSlice()),
		LocalPort:     t.frontend.Port(),
		RemoteAddress: tcpip.AddrFromSlice(t.caller.Addr().AsSlice()),
		RemotePort:    t.caller.Port(),
	}
}
