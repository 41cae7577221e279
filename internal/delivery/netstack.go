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

// nicID is the identifier of the stack's only network interface.
const nicID = 1

// Config sets the limits and timeouts of a Netstack. Zero fields take the values of DefaultConfig.
type Config struct {
	MTU             int           // longest IP packet in bytes; the stack announces a matching MSS
	MaxFlows        int           // flows in any state
	MaxHalfOpen     int           // flows whose handshake is not complete
	HalfOpenTimeout time.Duration // maximum duration of a handshake
	ProbeIdle       time.Duration // idle time before the first keep-alive probe
	ProbeInterval   time.Duration // time between keep-alive probes
	SilenceTimeout  time.Duration // time without a packet of the caller after which a flow is reset
	TimeWait        time.Duration // time in TIME-WAIT, and in FIN-WAIT-2 while the caller's FIN is missing
	SweepInterval   time.Duration // time between searches for silent and ended flows
	SendBuffer      int           // bytes per flow
	ReceiveBuffer   int           // bytes per flow
}

// DefaultConfig returns the values used in production. A silent flow is reset after 52 s plus at most one sweep
// interval, which is below the specified 60 s and allows four lost probes.
func DefaultConfig() Config {
	return Config{
		MTU:             1500 - tunnel.MaxOverhead,
		MaxFlows:        2000,
		MaxHalfOpen:     256,
		HalfOpenTimeout: 10 * time.Second,
		ProbeIdle:       20 * time.Second,
		ProbeInterval:   8 * time.Second,
		SilenceTimeout:  52 * time.Second,
		TimeWait:        5 * time.Second,
		SweepInterval:   time.Second,
		SendBuffer:      64 << 10,
		ReceiveBuffer:   64 << 10,
	}
}

// withDefaults replaces zero fields by the values of DefaultConfig.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.MTU, d.MTU)
	setDefault(&c.MaxFlows, d.MaxFlows)
	setDefault(&c.MaxHalfOpen, d.MaxHalfOpen)
	setDefault(&c.HalfOpenTimeout, d.HalfOpenTimeout)
	setDefault(&c.ProbeIdle, d.ProbeIdle)
	setDefault(&c.ProbeInterval, d.ProbeInterval)
	setDefault(&c.SilenceTimeout, d.SilenceTimeout)
	setDefault(&c.TimeWait, d.TimeWait)
	setDefault(&c.SweepInterval, d.SweepInterval)
	setDefault(&c.SendBuffer, d.SendBuffer)
	setDefault(&c.ReceiveBuffer, d.ReceiveBuffer)
	return c
}

// setDefault sets *v to d if it is zero.
func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Netstack implements Delivery with the gVisor userspace TCP stack. It accepts connections to every address, because
// the flow state machine has already decided that this host owns the flow.
type Netstack struct {
	cfg     Config
	handler Handler
	output  Output
	stack   *stack.Stack
	link    *channel.Endpoint

	mu         sync.Mutex
	closed     bool
	flows      map[model.FlowKey]*flow
	tuples     map[connTuple]*flow // detects packets of another service under a reused address
	halfOpen   int
	endedFlows []*flow // flows whose endpoint has hung up, not yet processed by sweepLoop

	sweepEnded chan struct{} // signals sweepLoop that endedFlows is not empty
	cancel     context.CancelFunc
	loopsDone  sync.WaitGroup // outputLoop and sweepLoop
	handshakes sync.WaitGroup // handshakes in progress
}

var _ Delivery = (*Netstack)(nil)

// connTuple identifies a connection in the TCP stack.
type connTuple struct {
	caller, frontend netip.AddrPort
}

// flow is one TCP connection. Its fields are guarded by Netstack.mu.
type flow struct {
	key       model.FlowKey
	tuple     connTuple
	ep        tcpip.Endpoint // nil while half-open
	createdAt time.Time
	lastSeen  time.Time   // arrival of the caller's last packet
	endCode   result.Code // reason for the end of the flow; OK until setEndCode
	removed   bool

	handshaking bool // completeHandshake is running, which removes the flow if it fails
}

// NewNetstack starts a TCP stack. Close releases it.
func NewNetstack(cfg Config, handler Handler, out Output) (*Netstack, error) {
	cfg = cfg.withDefaults()
	n := &Netstack{
		cfg:        cfg,
		handler:    handler,
		output:     out,
		link:       channel.New(2*cfg.MaxFlows, uint32(cfg.MTU), ""),
		flows:      map[model.FlowKey]*flow{},
		tuples:     map[connTuple]*flow{},
		sweepEnded: make(chan struct{}, 1),
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
	n.loopsDone.Add(2)
	go n.outputLoop(ctx)
	go n.sweepLoop(ctx)
	return n, nil
}

// configure sets up the network interface, the routes, the buffer sizes and the handler of new connections.
func (n *Netstack) configure() error {
	s := n.stack
	bufferRange := func(size int) (int, int, int) { return min(4096, size), size, size }
	sendMin, sendDefault, sendMax := bufferRange(n.cfg.SendBuffer)
	recvMin, recvDefault, recvMax := bufferRange(n.cfg.ReceiveBuffer)
	sack := tcpip.TCPSACKEnabled(true)
	moderateReceiveBuffer := tcpip.TCPModerateReceiveBufferOption(false)
	timeWait := tcpip.TCPTimeWaitTimeoutOption(n.cfg.TimeWait)
	// When the stack retransmits the FIN of a connection in LAST-ACK, it wrongly enters FIN-WAIT-2 and stays there for
	// the linger timeout, although both sides have closed. The default of 60 s would delay every drain.
	linger := tcpip.TCPLingerTimeoutOption(n.cfg.TimeWait)
	options := []tcpip.SettableTransportProtocolOption{
		&tcpip.TCPSendBufferSizeRangeOption{Min: sendMin, Default: sendDefault, Max: sendMax},
		&tcpip.TCPReceiveBufferSizeRangeOption{Min: recvMin, Default: recvDefault, Max: recvMax},
		&sack, &moderateReceiveBuffer, &timeWait, &linger,
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
	forwarder := tcp.NewForwarder(s, n.cfg.ReceiveBuffer, n.cfg.MaxHalfOpen, n.completeHandshake)
	s.SetTransportProtocolHandler(tcp.ProtocolNumber, forwarder.HandlePacket)
	return nil
}

// Deliver implements Delivery. Its errors carry the codes FlowWrongService, FlowUnknown, FlowTableFull,
// FlowHalfOpenFull and TunnelMalformed.
func (n *Netstack) Deliver(key model.FlowKey, packet []byte) error {
	inner, code := tunnel.ParseInner(packet)
	if code != result.OK || inner.Caller != key.Caller {
		return result.Errorf(result.TunnelMalformed, "packet does not match its flow %s", key)
	}
	if err := n.findOrCreateFlow(key, inner); err != nil {
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

// findOrCreateFlow returns nil if the stack has the flow of a packet, or if the packet is a SYN and a half-open flow
// could be created for it.
func (n *Netstack) findOrCreateFlow(key model.FlowKey, inner tunnel.Inner) error {
	syn := inner.Flags.Contains(header.TCPFlagSyn) && !inner.Flags.Contains(header.TCPFlagAck)
	now := time.Now()
	t := connTuple{caller: inner.Caller, frontend: inner.Frontend}
	n.mu.Lock()
	defer n.mu.Unlock()
	if f := n.tuples[t]; f != nil {
		if f.key != key {
			return result.Errorf(result.FlowWrongService, "packet of flow %s matches the connection of flow %s", key, f.key)
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
	f := &flow{key: key, tuple: t, createdAt: now, lastSeen: now}
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

// outputLoop sends the packets of the stack until ctx is done and the queue is empty.
func (n *Netstack) outputLoop(ctx context.Context) {
	defer n.loopsDone.Done()
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

// send passes one packet to the output and returns buf for reuse. TCP retransmits a packet that could not be sent.
func (n *Netstack) send(buf []byte, pkt *stack.PacketBuffer) []byte {
	buf = buf[:0]
	for _, part := range pkt.AsSlices() {
		buf = append(buf, part...)
	}
	pkt.DecRef()
	_ = n.output.Send(buf)
	return buf
}
