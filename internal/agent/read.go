package agent

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/internal/udp"
)

// maxDatagram is the longest UDP payload.
const maxDatagram = 65507

// inbound is a verified packet on its way to the packet goroutine.
type inbound struct {
	proto   uint16
	header  tunnel.Header
	payload []byte
}

// inboundPool recycles packets with their buffers.
var inboundPool = sync.Pool{New: func() any { return &inbound{} }}

// readBatch is the number of packets per system call.
const readBatch = 32

// reader verifies packets and hands them to the packet goroutine. Verification is done here so that forged packets cost
// the packet goroutine nothing.
type reader struct {
	agent *Agent
	batch *udp.Batch
	codec *tunnel.Codec
}

func newReader(a *Agent, conn *net.UDPConn) (*reader, error) {
	batch, err := udp.NewBatch(conn, readBatch, maxDatagram, 0)
	if err != nil {
		return nil, err
	}
	return &reader{agent: a, batch: batch, codec: tunnel.NewCodec(&a.keys)}, nil
}

// run reads until the socket is closed.
func (r *reader) run() {
	defer r.agent.readers.Done()
	for {
		received, err := r.batch.Receive()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		for i := range received {
			buf, size, _ := r.batch.Packet(i)
			r.handle(buf[:size])
		}
	}
}

// handle verifies one packet.
func (r *reader) handle(data []byte) {
	count := &r.agent.count
	count.received.Add(1)
	in := inboundPool.Get().(*inbound)
	proto, payload, code := r.codec.Open(data, &in.header)
	if code != result.OK {
		count.drop(code)
		inboundPool.Put(in)
		return
	}
	in.proto = proto
	in.payload = append(in.payload[:0], payload...)
	select {
	case r.agent.inbound <- in:
	default:
		count.overflow.Add(1)
		inboundPool.Put(in)
	}
}

// A message between agents starts with the sender's incarnation (8 bytes) and host name (length byte and text).
const peerPrefix = 9

// putSender appends the sender of a message.
func putSender(b []byte, ref model.HostRef) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(ref.Incarnation))
	b = append(b, uint8(len(ref.Host)))
	return append(b, ref.Host...)
}

// splitSender reads the sender and returns the encoded message.
func splitSender(b []byte) (model.HostRef, []byte, bool) {
	if len(b) < peerPrefix {
		return model.HostRef{}, nil, false
	}
	end := peerPrefix + int(b[8])
	if end == peerPrefix || len(b) < end {
		return model.HostRef{}, nil, false
	}
	ref := model.HostRef{
		Host:        model.HostID(b[peerPrefix:end]),
		Incarnation: model.Incarnation(binary.BigEndian.Uint64(b[:8])),
	}
	return ref, b[end:], true
}

// fabricOutput sends the delivery's packets to the fabric. The delivery calls Send from one goroutine and the packet
// goroutine sends resets, so a mutex guards the buffer.
type fabricOutput struct {
	conn  *net.UDPConn
	to    netip.AddrPort
	count *counters

	mu  sync.Mutex
	buf [tunnel.BaseLen + 65536]byte
}

// Send implements delivery.Output.
func (o *fabricOutput) Send(packet []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := copy(o.buf[tunnel.BaseLen:], packet)
	start := tunnel.EncodePlain(o.buf[:], tunnel.BaseLen)
	_, err := o.conn.WriteToUDPAddrPort(o.buf[start:tunnel.BaseLen+size], o.to)
	if err == nil {
		o.count.toCallers.Add(1)
	}
	return err
}
