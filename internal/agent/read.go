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

// maxDatagram is the longest UDP payload in bytes.
const maxDatagram = 65507

// inbound is a verified packet for the packet goroutine.
type inbound struct {
	proto   uint16
	header  tunnel.Header
	payload []byte
}

// inboundPool recycles inbound packets and their payload buffers.
var inboundPool = sync.Pool{New: func() any { return &inbound{} }}

// readBatchSize is the number of packets per receive system call.
const readBatchSize = 32

// reader receives and verifies packets and queues them for the packet goroutine. Forged packets are dropped here, so
// that they use no time of the packet goroutine.
type reader struct {
	agent *Agent
	batch *udp.Batch
	codec *tunnel.Codec
}

func newReader(a *Agent, conn *net.UDPConn) (*reader, error) {
	batch, err := udp.NewBatch(conn, readBatchSize, maxDatagram, 0)
	if err != nil {
		return nil, err
	}
	return &reader{agent: a, batch: batch, codec: tunnel.NewCodec(&a.keys)}, nil
}

// run reads until the socket is closed.
func (r *reader) run() {
	defer r.agent.readersDone.Done()
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

// handle verifies and queues one packet.
func (r *reader) handle(data []byte) {
	count := &r.agent.counters
	count.received.Add(1)
	in := inboundPool.Get().(*inbound)
	proto, payload, code := r.codec.Open(data, &in.header)
	if code != result.OK {
		count.countDrop(code)
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

// senderPrefixLen is the length in bytes of the fixed part of the sender in front of a message between agents: the
// incarnation (8 bytes) and the length of the host name (1 byte). The host name follows.
const senderPrefixLen = 9

// appendSender appends the encoded sender of a message to b.
func appendSender(b []byte, ref model.HostRef) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(ref.Incarnation))
	b = append(b, uint8(len(ref.Host)))
	return append(b, ref.Host...)
}

// splitSender splits a received message into its sender and the encoded message.
func splitSender(b []byte) (model.HostRef, []byte, bool) {
	if len(b) < senderPrefixLen {
		return model.HostRef{}, nil, false
	}
	end := senderPrefixLen + int(b[8])
	if end == senderPrefixLen || len(b) < end {
		return model.HostRef{}, nil, false
	}
	ref := model.HostRef{
		Host:        model.HostID(b[senderPrefixLen:end]),
		Incarnation: model.Incarnation(binary.BigEndian.Uint64(b[:8])),
	}
	return ref, b[end:], true
}

// fabricOutput sends packets to the fabric. The output goroutine of the TCP stack and the packet goroutine, which sends
// resets, both call Send, so a mutex guards the buffer.
type fabricOutput struct {
	conn     *net.UDPConn
	to       netip.AddrPort
	counters *counters

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
		o.counters.sentToCallers.Add(1)
	}
	return err
}
