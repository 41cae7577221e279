// Package udp opens the sockets of the data path.
package udp

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBuffer is the requested size of the socket buffers in bytes. The kernel grants at most net.core.rmem_max, and
// a burst of new flows overflows the default of about 200 KB.
const socketBuffer = 4 << 20

// Listen opens count sockets on one address. With more than one, the kernel spreads senders over them (SO_REUSEPORT).
// Port 0 chooses a free port that all of them share.
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

// LocalAddr returns the address of a socket.
func LocalAddr(conn *net.UDPConn) netip.AddrPort {
	a := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes sockets.
func Close(conns []*net.UDPConn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// reusePort sets SO_REUSEPORT before bind.
func reusePort(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return failed
}
