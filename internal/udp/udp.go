// Package udp opens the UDP sockets of the data path and sends and receives datagrams in batches.
package udp

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBuffer is the requested size of the socket buffers in bytes. The default of about 200 KB overflows in a burst
// of new flows. The kernel grants at most net.core.rmem_max.
const socketBuffer = 4 << 20

// Listen opens count sockets on the same address. If count is more than 1, the kernel distributes the senders over the
// sockets (SO_REUSEPORT). Port 0 chooses a free port that all sockets share.
func Listen(addr netip.AddrPort, count int) ([]*net.UDPConn, error) {
	config := net.ListenConfig{}
	if count > 1 {
		config.Control = reusePort
	}
	conns := make([]*net.UDPConn, 0, count)
	for range count {
		packetConn, err := config.ListenPacket(context.Background(), "udp", addr.String())
		if err != nil {
			Close(conns)
			return nil, fmt.Errorf("tunnel socket %s: %w", addr, err)
		}
		conn := packetConn.(*net.UDPConn)
		_ = conn.SetReadBuffer(socketBuffer)
		_ = conn.SetWriteBuffer(socketBuffer)
		conns = append(conns, conn)
		addr = LocalAddr(conn)
	}
	return conns, nil
}

// LocalAddr returns the local address of a socket, with an IPv4-mapped IPv6 address converted to IPv4.
func LocalAddr(conn *net.UDPConn) netip.AddrPort {
	a := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes the given sockets.
func Close(conns []*net.UDPConn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// reusePort sets SO_REUSEPORT on a socket that is not bound yet.
func reusePort(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
