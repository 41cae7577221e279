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

// Batch receives and sends several datagrams per system call (recvmmsg, sendmmsg) without allocation. The ReadBatch of
// golang.org/x/net does the same but allocates two objects per datagram for the sender's address, which the data path
// does not use. A Batch is used by one goroutine.
type Batch struct {
	raw  syscall.RawConn
	is4  bool
	room int

	bufs     [][]byte
	in       []mmsghdr
	inVec    []unix.Iovec
	received int
	errno    syscall.Errno
	receive  func(fd uintptr) bool

	out      []mmsghdr
	outVec   []unix.Iovec
	names4   []unix.RawSockaddrInet4
	names6   []unix.RawSockaddrInet6
	queued   int
	sent     int
	transmit func(fd uintptr) bool
}

// mmsghdr is struct mmsghdr of the kernel.
type mmsghdr struct {
	hdr    unix.Msghdr
	length uint32
	_      [4]byte
}

// NewBatch returns a batch of size datagrams of at most length bytes, each with room free bytes in front.
func NewBatch(conn *net.UDPConn, size, length, room int) (*Batch, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("batch of %s: %w", conn.LocalAddr(), err)
	}
	b := &Batch{
		raw:    raw,
		is4:    LocalAddr(conn).Addr().Is4(),
		room:   room,
		bufs:   make([][]byte, size),
		in:     make([]mmsghdr, size),
		inVec:  make([]unix.Iovec, size),
		out:    make([]mmsghdr, size),
		outVec: make([]unix.Iovec, size),
		names4: make([]unix.RawSockaddrInet4, size),
		names6: make([]unix.RawSockaddrInet6, size),
	}
	for i := range b.bufs {
		b.bufs[i] = make([]byte, room+length)
		b.inVec[i].Base = &b.bufs[i][room]
		b.inVec[i].SetLen(length)
		b.in[i].hdr.Iov = &b.inVec[i]
		b.in[i].hdr.SetIovlen(1)
		b.out[i].hdr.Iov = &b.outVec[i]
		b.out[i].hdr.SetIovlen(1)
	}
	b.receive = b.recvmmsg
	b.transmit = b.sendmmsg
	return b, nil
}

// Receive waits for datagrams and returns their number.
func (b *Batch) Receive() (int, error) {
	if err := b.raw.Read(b.receive); err != nil {
		return 0, err
	}
	if b.errno != 0 {
		return 0, b.errno
	}
	return b.received, nil
}

// recvmmsg returns false when the socket has nothing to read yet.
func (b *Batch) recvmmsg(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&b.in[0])), uintptr(len(b.in)),
		unix.MSG_DONTWAIT, 0, 0)
	b.received, b.errno = int(n), errno
	return errno != unix.EAGAIN
}

// Packet returns the buffer of datagram i, in which the datagram starts behind the free room, and the datagram's
// length. truncated says that it was longer than the buffer.
func (b *Batch) Packet(i int) (buf []byte, length int, truncated bool) {
	return b.bufs[i], int(b.in[i].length), b.in[i].hdr.Flags&unix.MSG_TRUNC != 0
}

// Queue adds a datagram to the ones that Flush sends. The data must stay unchanged until then. At most as many as the
// size of the batch may be queued.
func (b *Batch) Queue(data []byte, to netip.AddrPort) {
	i := b.queued
	b.queued++
	b.outVec[i].Base = unsafe.SliceData(data)
	b.outVec[i].SetLen(len(data))
	hdr := &b.out[i].hdr
	if b.is4 {
		name := &b.names4[i]
		name.Family = unix.AF_INET
		putPort(&name.Port, to.Port())
		name.Addr = to.Addr().Unmap().As4()
		hdr.Name = (*byte)(unsafe.Pointer(name))
		hdr.Namelen = unix.SizeofSockaddrInet4
		return
	}
	name := &b.names6[i]
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

// Flush sends the queued datagrams and returns how many could be sent. A datagram that the kernel refuses is skipped.
func (b *Batch) Flush() int {
	sent := 0
	for next := 0; next < b.queued; {
		b.sent = next
		if err := b.raw.Write(b.transmit); err != nil {
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

// sendmmsg sends the datagrams from b.sent on. It returns false when the socket buffer is full.
func (b *Batch) sendmmsg(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&b.out[b.sent])),
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
