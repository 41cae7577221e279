package delivery

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv6"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// nicID is the number of the stack's only interface.
const nicID = 1

// Config sets the limits of a Netstack. Zero fields take the values of DefaultConfig.
type Config struct {
	MTU             int           // longest IP packet in bytes; the stack announces a matching MSS
	MaxFlows        int           // flows in any state
	MaxHalfOpen     int           // flows whose handshake is not complete
	HalfOpenTimeout time.Duration // after which an incomplete handshake is abandoned
	ProbeIdle       time.Duration // silence after which the first keep-alive probe is sent
	ProbeInterval   time.Duration // between probes
	SilentAfter     time.Duration // silence after which a flow is ended with a reset
	TimeWait        time.Duration // for which an ended flow answers late segments, or awaits the caller's FIN
	SweepInterval   time.Duration // between searches for silent and ended flows
	SendBuffer      int           // bytes per flow
	ReceiveBuffer   int           // bytes per flow
}

// DefaultConfig returns the values used in production. A silent flow ends after 52 s plus at most one sweep, which is
// below the promised 60 s and leaves four probes that may be lost.
func DefaultConfig() Config {
	return Config{
		MTU:             1500 - tunnel.MaxOverhead,
		MaxFlows:        2000,
		MaxHalfOpen:     256,
		HalfOpenTimeout: 10 * time.Second,
		ProbeIdle:       20 * time.Second,
		ProbeInterval:   8 * time.Second,
		SilentAfter:     52 * time.Second,
		TimeWait:        5 * time.Second,
		SweepInterval:   time.Second,
		SendBuffer:      64 << 10,
		ReceiveBuffer:   64 << 10,
	}
}

// withDefaults replaces zero fields.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.MTU, d.MTU)
	setDefault(&c.MaxFlows, d.MaxFlows)
	setDefault(&c.MaxHalfOpen, d.MaxHalfOpen)
	setDefault(&c.HalfOpenTimeout, d.HalfOpenTimeout)
	setDefault(&c.ProbeIdle, d.ProbeIdle)
	setDefault(&c.ProbeInterval, d.ProbeInterval)
	setDefault(&c.SilentAfter, d.SilentAfter)
	setDefault(&c.TimeWait, d.TimeWait)
	setDefault(&c.SweepInterval, d.SweepInterval)
	setDefault(&c.SendBuffer, d.SendBuffer)
	setDefault(&c.ReceiveBuffer, d.ReceiveBuffer)
	return c
}

// setDefault sets a zero value.
func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Netstack is a Delivery on the gVisor userspace TCP stack. It accepts connections to every address, since the flow
// state machine decides beforehand which flows belong here.
type Netstack struct {
	cfg     Config
	handler Handler
	out     Output
	stack   *stack.Stack
	link    *channel.Endpoint

	mu       sync.Mutex
	closed   bool
	flows    map[model.FlowKey]*flow
	tuples   map[tuple]*flow // finds a flow of another service under a reused address
	halfOpen int
	ended    []*flow // flows whose endpoint reported its end, for the sweeper

	wake    chan struct{} // the sweeper has work in ended
	cancel  context.CancelFunc
	loops   sync.WaitGroup // output and sweeper
	accepts sync.WaitGroup // handshakes in progress
}

var _ Delivery = (*Netstack)(nil)

// tuple is a flow as the stack sees it.
type tuple struct {
	caller, frontend netip.AddrPort
}

// flow is one TCP connection. Fields are guarded by Netstack.mu.
type flow struct {
	key      model.FlowKey
	tuple    tuple
	ep       tcpip.Endpoint // nil while half-open
	started  time.Time
	lastSeen time.Time   // arrival of the caller's last packet
	code     result.Code // why it ends; OK until a reason is known
	removed  bool

	accepting bool // a goroutine completes the handshake, and removes the flow if that fails
}

// NewNetstack starts a stack. Close releases it.
func NewNetstack(cfg Config, handler Handler, out Output) (*Netstack, error) {
	cfg = cfg.withDefaults()
	n := &Netstack{
		cfg:     cfg,
		handler: handler,
		out:     out,
		link:    channel.New(2*cfg.MaxFlows, uint32(cfg.MTU), ""),
		flows:   map[model.FlowKey]*flow{},
		tuples:  map[tuple]*flow{},
		wake:    make(chan struct{}, 1),
	}
	n.stack = stack.New(stack.Options{
		NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol, ipv6.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
	})
	if err := n.configure(); err != nil {
		n.stack.Destroy()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.loops.Add(2)
	go n.outputLoop(ctx)
	go n.sweepLoop(ctx)
	return n, nil
}

// configure sets interface, routes, buffer bounds and the acceptor of new connections.
func (n *Netstack) configure() error {
	s := n.stack
	buffers := func(size int) (int, int, int) { return min(4096, size), size, size }
	sendMin, sendDefault, sendMax := buffers(n.cfg.SendBuffer)
	recvMin, recvDefault, recvMax := buffers(n.cfg.ReceiveBuffer)
	sack := tcpip.TCPSACKEnabled(true)
	moderate := tcpip.TCPModerateReceiveBufferOption(false)
	timeWait := tcpip.TCPTimeWaitTimeoutOption(n.cfg.TimeWait)
	// The stack enters FIN-WAIT-2 by mistake when it sends the FIN of a connection in LAST-ACK again, and stays there
	// for the linger time although both sides have ended. Its default of 60 s would delay every drain.
	linger := tcpip.TCPLingerTimeoutOption(n.cfg.TimeWait)
	options := []tcpip.SettableTransportProtocolOption{
		&tcpip.TCPSendBufferSizeRangeOption{Min: sendMin, Default: sendDefault, Max: sendMax},
		&tcpip.TCPReceiveBufferSizeRangeOption{Min: recvMin, Default: recvDefault, Max: recvMax},
		&sack, &moderate, &timeWait, &linger,
	}
	for _, o := range options {
		if err := s.SetTransportProtocolOption(tcp.ProtocolNumber, o); err != nil {
			return fmt.Errorf("netstack option %T: %s", o, err)
		}
	}
	if err := s.CreateNIC(nicID, n.link); err != nil {
		return fmt.Errorf("netstack interface: %s", err)
	}
	if err := s.SetPromiscuousMode(nicID, true); err != nil {
		return fmt.Errorf("netstack promiscuous mode: %s", err)
	}
	if err := s.SetSpoofing(nicID, true); err != nil {
		return fmt.Errorf("netstack spoofing: %s", err)
	}
	s.SetRouteTable([]tcpip.Route{
		{Destination: header.IPv4EmptySubnet, NIC: nicID},
		{Destination: header.IPv6EmptySubnet, NIC: nicID},
	})
	forwarder := tcp.NewForwarder(s, n.cfg.ReceiveBuffer, n.cfg.MaxHalfOpen, n.accept)
	s.SetTransportProtocolHandler(tcp.ProtocolNumber, forwarder.HandlePacket)
	return nil
}

// Deliver implements Delivery. Its errors carry the codes FlowWrongService, FlowUnknown, FlowTableFull,
// FlowHalfOpenFull and TunnelMalformed.
func (n *Netstack) Deliver(key model.FlowKey, packet []byte) error {
	inner, code := tunnel.ParseInner(packet)
	if code != result.OK || inner.Caller != key.Caller {
		return result.Errorf(result.TunnelMalformed, "packet of flow %s does not match it", key)
	}
	if err := n.admit(key, inner); err != nil {
		return err
	}
	proto := header.IPv4ProtocolNumber
	if inner.Caller.Addr().Is6() {
		proto = header.IPv6ProtocolNumber
	}
	buf := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	n.link.InjectInbound(proto, buf)
	buf.DecRef()
	return nil
}

// admit finds or creates the flow of a packet.
func (n *Netstack) admit(key model.FlowKey, inner tunnel.Inner) error {
	syn := inner.Flags.Contains(header.TCPFlagSyn) && !inner.Flags.Contains(header.TCPFlagAck)
	now := time.Now()
	t := tuple{caller: inner.Caller, frontend: inner.Frontend}
	n.mu.Lock()
	defer n.mu.Unlock()
	if f := n.tuples[t]; f != nil {
		if f.key != key {
			return result.Errorf(result.FlowWrongService, "packet of flow %s, connection of flow %s", key, f.key)
		}
		f.lastSeen = now
		return nil
	}
	switch {
	case !syn:
		return result.Errorf(result.FlowUnknown, "flow %s has no connection", key)
	case n.closed || len(n.flows) >= n.cfg.MaxFlows || n.flows[key] != nil:
		return result.Errorf(result.FlowTableFull, "flow %s: %d of %d flows", key, len(n.flows), n.cfg.MaxFlows)
	case n.halfOpen >= n.cfg.MaxHalfOpen:
		return result.Errorf(result.FlowHalfOpenFull, "flow %s: %d half-open flows", key, n.halfOpen)
	}
	f := &flow{key: key, tuple: t, started: now, lastSeen: now}
	n.flows[key] = f
	n.tuples[t] = f
	n.halfOpen++
	return nil
}

// Flows implements Delivery.
func (n *Netstack) Flows() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.flows)
}

// outputLoop sends the stack's packets until ctx ends and the queue is empty.
func (n *Netstack) outputLoop(ctx context.Context) {
	defer n.loops.Done()
	buf := make([]byte, 0, n.cfg.MTU)
	for {
		pkt := n.link.ReadContext(ctx)
		if pkt == nil {
			break
		}
		buf = n.send(buf, pkt)
	}
	for pkt := n.link.Read(); pkt != nil; pkt = n.link.Read() {
		buf = n.send(buf, pkt)
	}
}

// send hands one packet to the output. A packet that cannot be sent is lost, and TCP sends it again.
func (n *Netstack) send(buf []byte, pkt *stack.PacketBuffer) []byte {
	buf = buf[:0]
	for _, part := range pkt.AsSlices() {
		buf = append(buf, part...)
	}
	pkt.DecRef()
	_ = n.out.Send(buf)
	return buf
}
