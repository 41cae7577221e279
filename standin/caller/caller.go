// Package caller stands in for a caller's machine: a userspace TCP stack whose IP packets go to a fabric. Its dialer
// fits net/http, so that tests use the standard client over real TCP.
package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv6"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
)

const (
	nicID     = 1
	queueSize = 4096 // packets that wait to be sent
	mtu       = 1500
)

// Network is the part of the fabric that a caller uses.
type Network interface {
	Send(packet []byte) error
	Attach(addr netip.Addr, receive func(packet []byte))
}

// Host is a caller's machine with one address.
type Host struct {
	addr   netip.Addr
	stack  *stack.Stack
	link   *channel.Endpoint
	cancel context.CancelFunc
	loop   sync.WaitGroup
}

// New starts the stack of a caller and attaches it to the network.
func New(addr netip.Addr, network Network) (*Host, error) {
	h := &Host{addr: addr, link: channel.New(queueSize, mtu, "")}
	h.stack = stack.New(stack.Options{
		NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol, ipv6.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
	})
	if err := h.configure(); err != nil {
		h.stack.Destroy()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.loop.Add(1)
	go h.send(ctx, network)
	network.Attach(addr, h.receive)
	return h, nil
}

// configure sets interface, address and routes.
func (h *Host) configure() error {
	sack := tcpip.TCPSACKEnabled(true)
	if err := h.stack.SetTransportProtocolOption(tcp.ProtocolNumber, &sack); err != nil {
		return fmt.Errorf("caller: %s", err)
	}
	if err := h.stack.CreateNIC(nicID, h.link); err != nil {
		return fmt.Errorf("caller: %s", err)
	}
	address := tcpip.ProtocolAddress{
		Protocol:          h.protocol(),
		AddressWithPrefix: tcpip.AddrFromSlice(h.addr.AsSlice()).WithPrefix(),
	}
	if err := h.stack.AddProtocolAddress(nicID, address, stack.AddressProperties{}); err != nil {
		return fmt.Errorf("caller: %s", err)
	}
	h.stack.SetRouteTable([]tcpip.Route{
		{Destination: header.IPv4EmptySubnet, NIC: nicID},
		{Destination: header.IPv6EmptySubnet, NIC: nicID},
	})
	return nil
}

func (h *Host) protocol() tcpip.NetworkProtocolNumber {
	if h.addr.Is4() {
		return header.IPv4ProtocolNumber
	}
	return header.IPv6ProtocolNumber
}

// Addr is the caller's address.
func (h *Host) Addr() netip.Addr { return h.addr }

// send hands the stack's packets to the network.
func (h *Host) send(ctx context.Context, network Network) {
	defer h.loop.Done()
	for {
		pkt := h.link.ReadContext(ctx)
		if pkt == nil {
			return
		}
		view := pkt.ToView()
		_ = network.Send(view.AsSlice())
		view.Release()
		pkt.DecRef()
	}
}

// receive hands a packet of the network to the stack.
func (h *Host) receive(packet []byte) {
	pkt := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	h.link.InjectInbound(h.protocol(), pkt)
	pkt.DecRef()
}

// DialContext connects to an IP address and port.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	return h.Dial(ctx, to)
}

// Dial is DialContext with a parsed address; the connection's type gives access to half-close.
func (h *Host) Dial(ctx context.Context, to netip.AddrPort) (*gonet.TCPConn, error) {
	remote := tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFromSlice(to.Addr().AsSlice()), Port: to.Port()}
	conn, err := gonet.DialContextTCP(ctx, h.stack, remote, h.protocol())
	if err != nil {
		return nil, fmt.Errorf("caller %s to %s: %w", h.addr, to, err)
	}
	return conn, nil
}

// Client returns an HTTP client whose connections start at this host.
func (h *Host) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: h.DialContext}}
}

// Close ends all connections with a reset and stops the stack.
func (h *Host) Close() {
	h.stack.Close()
	h.cancel()
	h.loop.Wait()
	h.link.Close()
	h.stack.Wait()
}
