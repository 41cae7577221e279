package udp

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Batch receives and sends several datagrams per system call (recvmmsg, sendmmsg) without allocation. ReadBatch of
// golang.org/x/net allocates two objects per datagram for the sender's address, which the data path does not use. A
// Batch must be used by one goroutine only.
type Batch struct {
	raw      syscall.RawConn
	is4      bool
	headroom int

	bufs       [][]byte
	recvMsgs   []mmsghdr
	recvIovecs []unix.Iovec
	received   int
	errno      syscall.Errno
	recvFunc   func(fd uintptr) bool

	sendMsgs      []mmsghdr
	sendIovecs    []unix.Iovec
	destinations4 []unix.RawSockaddrInet4
	destinations6 []unix.RawSockaddrInet6
	queued        int
	sent          int
	sendFunc      func(fd uintptr) bool
}

// mmsghdr has the layout of the kernel's struct mmsghdr.
type mmsghdr struct {
	hdr    unix.Msghdr
	length uint32
	_      [4]byte
}

// NewBatch returns a batch of size datagrams of at most length bytes, each with headroom free bytes in front.
func NewBatch(conn *net.UDPConn, size, length, headroom int) (*Batch, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("batch of %s: %w", conn.LocalAddr(), err)
	}
	b := &Batch{
		raw:           raw,
		is4:           LocalAddr(conn).Addr().Is4(),
		headroom:      headroom,
		bufs:          make([][]byte, size),
		recvMsgs:      make([]mmsghdr, size),
		recvIovecs:    make([]unix.Iovec, size),
		sendMsgs:      make([]mmsghdr, size),
		sendIovecs:    make([]unix.Iovec, size),
		destinations4: make([]unix.RawSockaddrInet4, size),
		destinations6: make([]unix.RawSockaddrInet6, size),
	}
	for i := range b.bufs {
		b.bufs[i] = make([]byte, headroom+length)
		b.recvIovecs[i].Base = &b.bufs[i][headroom]
		b.recvIovecs[i].SetLen(length)
		b.recvMsgs[i].hdr.Iov = &b.recvIovecs[i]
		b.recvMsgs[i].hdr.SetIovlen(1)
		b.sendMsgs[i].hdr.Iov = &b.sendIovecs[i]
		b.sendMsgs[i].hdr.SetIovlen(1)
	}
	b.recvFunc = b.recvmmsg
	b.sendFunc = b.sendmmsg
	return b, nil
}

// Receive waits for at least one datagram and returns the number of received datagrams.
func (b *Batch) Receive() (int, error) {
	if err := b.raw.Read(b.recvFunc); err != nil {
		return 0, err
	}
	if b.errno != 0 {
		return 0, b.errno
	}
	return b.received, nil
}

// recvmmsg receives the available datagrams. It returns false if there are none.
func (b *Batch) recvmmsg(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&b.recvMsgs[0])), uintptr(len(b.recvMsgs)),
		unix.MSG_DONTWAIT, 0, 0)
	b.received, b.errno = int(n), errno
	return errno != unix.EAGAIN
}

// Packet returns the buffer of datagram i and the datagram's length. The datagram starts after the headroom in the
// buffer. truncated is true if the datagram was longer than the buffer.
func (b *Batch) Packet(i int) (buf []byte, length int, truncated bool) {
	return b.bufs[i], int(b.recvMsgs[i].length), b.recvMsgs[i].hdr.Flags&unix.MSG_TRUNC != 0
}

// Queue queues a datagram for Flush. The data must not change until then. At most as many datagrams as the size of the
// batch may be queued.
func (b *Batch) Queue(data []byte, to netip.AddrPort) {
	i := b.queued
	b.queued++
	b.sendIovecs[i].Base = unsafe.SliceData(data)
	b.sendIovecs[i].SetLen(len(data))
	hdr := &b.sendMsgs[i].hdr
	if b.is4 {
		name := &b.destinations4[i]
		name.Family = unix.AF_INET
		putPort(&name.Port, to.Port())
		name.Addr = to.Addr().Unmap().As4()
		hdr.Name = (*byte)(unsafe.Pointer(name))
		hdr.Namelen = unix.SizeofSockaddrInet4
		return
	}
	name := &b.destinations6[i]
	name.Family = unix.AF_INET6
	putPort(&name.Port, to.Port())
	name.Addr = to.Addr().As16()
	hdr.Name = (*byte)(unsafe.Pointer(name))
	hdr.Namelen = unix.SizeofSockaddrInet6
}

// putPort stores a port in network byte order.
func putPort(field *uint16, port uint16) {
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(field))[:], port)
}

// Flush sends the queued datagrams and returns the number of datagrams sent. It skips datagrams that the kernel
// refuses.
func (b *Batch) Flush() int {
	sent := 0
	for next := 0; next < b.queued; {
		b.sent = next
		if err := b.raw.Write(b.sendFunc); err != nil {
			break
		}
		if b.errno != 0 {
			next++
			continue
		}
		sent += b.sent - next
		next = b.sent
	}
	b.queued = 0
	return sent
}

// sendmmsg sends the queued datagrams from index b.sent. It returns false if the socket buffer is full.
func (b *Batch) sendmmsg(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&b.sendMsgs[b.sent])),
		uintptr(b.queued-b.sent), unix.MSG_DONTWAIT, 0, 0)
	b.errno = errno
	if errno == unix.EAGAIN {
		return false
	}
	if errno == 0 {
		b.sent += int(n)
	}
	return true
}
