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

// probeCount exceeds the probes that fit into SilentAfter: the sweeper ends a silent flow, because the stack's own
// limit closes a connection without sending a reset.
const probeCount = 1 << 20

// abortInterval is the time between attempts to end handshakes when the delivery closes.
const abortInterval = 10 * time.Millisecond

// Conn is the connection given to Handler.Established. It has the half-close methods of net.TCPConn.
type Conn struct {
	*gonet.TCPConn
	ep tcpip.Endpoint
}

var _ net.Conn = (*Conn)(nil)

// Abort ends the connection with a reset, so that the caller cannot take what it received for a complete answer.
func (c *Conn) Abort() { c.ep.Abort() }

// accept completes the handshake of a new connection. The stack calls it in a goroutine per half-open flow.
func (n *Netstack) accept(r *tcp.ForwarderRequest) {
	f := n.beginAccept(tupleOf(r.ID()))
	if f == nil {
		r.Complete(false)
		return
	}
	defer n.accepts.Done()
	wq := &waiter.Queue{}
	ep, err := r.CreateEndpoint(wq)
	r.Complete(false)
	if err != nil {
		n.remove(f)
		return
	}
	n.setProbes(ep)
	ended := waiter.NewFunctionEntry(waiter.EventHUp, func(waiter.EventMask) { n.endpointEnded(f) })
	wq.EventRegister(&ended)
	conn := &Conn{TCPConn: gonet.NewTCPConn(wq, ep), ep: ep}
	if !n.establish(f, ep) {
		conn.Abort()
		_ = conn.Close()
		n.remove(f)
		return
	}
	n.handler.Established(f.key, conn)
}

// beginAccept returns the half-open flow of a connection request, or nil when there is none.
func (n *Netstack) beginAccept(t tuple) *flow {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.tuples[t]
	if f == nil || f.ep != nil || n.closed {
		return nil
	}
	n.accepts.Add(1)
	f.accepting = true
	return f
}

// establish moves a flow out of the half-open table. It returns false when the flow was ended meanwhile.
func (n *Netstack) establish(f *flow, ep tcpip.Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.removed || f.code != result.OK || n.closed {
		return false
	}
	f.ep = ep
	f.lastSeen = time.Now()
	n.halfOpen--
	return true
}

// setProbes enables keep-alive probes on a connection.
func (n *Netstack) setProbes(ep tcpip.Endpoint) {
	idle := tcpip.KeepaliveIdleOption(n.cfg.ProbeIdle)
	interval := tcpip.KeepaliveIntervalOption(n.cfg.ProbeInterval)
	_ = ep.SetSockOpt(&idle)
	_ = ep.SetSockOpt(&interval)
	_ = ep.SetSockOptInt(tcpip.KeepaliveCountOption, probeCount)
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
	ep := n.markEnding(f, code)
	n.mu.Unlock()
	n.end(f, ep)
}

// markEnding records why a flow ends and returns its endpoint. It needs mu.
func (n *Netstack) markEnding(f *flow, code result.Code) tcpip.Endpoint {
	if f.code == result.OK {
		f.code = code
	}
	return f.ep
}

// end aborts the endpoint of a flow. A half-open one is ended without a reset: its caller retransmits the SYN and is
// answered by the flow's next owner. It must be called without mu, since the endpoint calls back.
func (n *Netstack) end(f *flow, ep tcpip.Endpoint) {
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
		n.removeIdle(f)
		return
	}
	// A shutdown fails the handshake, which lets accept return.
	_ = found.Shutdown(tcpip.ShutdownRead | tcpip.ShutdownWrite)
}

// removeIdle removes a half-open flow without an endpoint. While a handshake is about to start, accept will remove it.
func (n *Netstack) removeIdle(f *flow) {
	n.mu.Lock()
	accepting := f.accepting
	n.mu.Unlock()
	if !accepting {
		n.remove(f)
	}
}

// endpointEnded notes a flow for the sweeper. The endpoint calls it with its lock held.
func (n *Netstack) endpointEnded(f *flow) {
	n.mu.Lock()
	n.ended = append(n.ended, f)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// remove forgets a flow and reports its end once.
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
	code := f.code
	n.mu.Unlock()
	n.handler.Closed(f.key, code)
}

// sweepLoop removes ended flows at once and looks for silent ones at every interval.
func (n *Netstack) sweepLoop(ctx context.Context) {
	defer n.loops.Done()
	ticker := time.NewTicker(n.cfg.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
			n.mu.Lock()
			ended := n.ended
			n.ended = nil
			n.mu.Unlock()
			n.removeEnded(ended)
		case now := <-ticker.C:
			n.sweep(now)
		}
	}
}

// removeEnded removes those flows whose endpoint has no state left.
func (n *Netstack) removeEnded(flows []*flow) {
	for _, f := range flows {
		n.mu.Lock()
		ep := f.ep
		n.mu.Unlock()
		if ep != nil && stateless(ep) {
			n.remove(f)
		}
	}
}

// sweep removes ended flows and ends those that were silent or half-open for too long.
func (n *Netstack) sweep(now time.Time) {
	var gone, silent []*flow
	n.mu.Lock()
	for _, f := range n.flows {
		switch {
		case f.ep == nil && (f.code != result.OK || now.Sub(f.started) > n.cfg.HalfOpenTimeout):
			silent = append(silent, f)
		case f.ep == nil:
		case stateless(f.ep):
			gone = append(gone, f)
		case tcp.EndpointState(f.ep.State()) != tcp.StateTimeWait && now.Sub(f.lastSeen) > n.cfg.SilentAfter:
			silent = append(silent, f)
		}
	}
	for _, f := range silent {
		n.markEnding(f, result.FlowSilent)
	}
	n.mu.Unlock()
	for _, f := range gone {
		n.remove(f)
	}
	for _, f := range silent {
		n.mu.Lock()
		ep := f.ep
		n.mu.Unlock()
		n.end(f, ep)
	}
}

// Close implements Delivery. Open flows are ended with a reset.
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
		n.accepts.Wait()
		close(done)
	}()
	n.abortUntil(done)
	n.stack.Close()
	n.cancel()
	n.loops.Wait()
	for _, f := range n.open() {
		n.remove(f)
	}
	n.link.Close()
	n.stack.Wait()
	return nil
}

// abortUntil ends all flows until no handshake is in progress. It repeats this, because an endpoint that is about to be
// created cannot be ended yet.
func (n *Netstack) abortUntil(done <-chan struct{}) {
	ticker := time.NewTicker(abortInterval)
	defer ticker.Stop()
	for {
		for _, f := range n.open() {
			n.Abort(f.key, result.FlowOwnerLost)
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// open returns the flows in the table.
func (n *Netstack) open() []*flow {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := make([]*flow, 0, len(n.flows))
	for _, f := range n.flows {
		open = append(open, f)
	}
	return open
}

// stateless says whether an endpoint has left the stack.
func stateless(ep tcpip.Endpoint) bool {
	state := tcp.EndpointState(ep.State())
	return state == tcp.StateClose || state == tcp.StateError
}

// tupleOf converts the stack's name of a connection.
func tupleOf(id stack.TransportEndpointID) tuple {
	return tuple{
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
func endpointID(t tuple) stack.TransportEndpointID {
	return stack.TransportEndpointID{
		LocalAddress:  tcpip.AddrFromSlice(t.frontend.Addr().AsSlice()),
		LocalPort:     t.frontend.Port(),
		RemoteAddress: tcpip.AddrFromSlice(t.caller.Addr().AsSlice()),
		RemotePort:    t.caller.Port(),
	}
}
