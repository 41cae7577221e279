package entry

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/internal/udp"
)

// batchSize is the number of packets per system call. With one packet per call, the calls take most of the time.
const batchSize = 32

// worker is the state of one traffic goroutine. Other goroutines read its counters.
type worker struct {
	entry *Entry
	codec *tunnel.Codec
	batch *udp.Batch
	count struct {
		forwarded, malformed, oversized, unknownService, noHome, sendFailed atomic.Uint64
	}
}

func newWorker(e *Entry, conn *net.UDPConn) (*worker, error) {
	batch, err := udp.NewBatch(conn, batchSize, tunnel.MaxPlainHeader+e.mtu, tunnel.MaxHeader)
	if err != nil {
		return nil, err
	}
	return &worker{entry: e, codec: tunnel.NewCodec(&e.keys), batch: batch}, nil
}

// run forwards packets until the socket is closed.
func (w *worker) run() {
	defer w.entry.workersDone.Done()
	for {
		err := w.forwardBatch()
		if errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// forwardBatch receives, forwards and sends one batch of packets.
func (w *worker) forwardBatch() error {
	received, err := w.batch.Receive()
	if err != nil {
		return err
	}
	queued := 0
	for i := range received {
		buf, size, truncated := w.batch.Packet(i)
		if truncated {
			w.countDrop(result.TunnelOversized)
			continue
		}
		out, to, code := w.forward(buf, size)
		if code != result.OK {
			w.countDrop(code)
			continue
		}
		w.batch.Queue(out, to)
		queued++
	}
	sent := w.batch.Flush()
	w.count.forwarded.Add(uint64(sent))
	w.count.sendFailed.Add(uint64(queued - sent))
	return nil
}

// forward replaces the fabric's header of the packet at buf[tunnel.MaxHeader:] by a routing header in place. It returns
// the new outer packet and its destination. It does not allocate.
func (w *worker) forward(buf []byte, size int) ([]byte, netip.AddrPort, result.Code) {
	end := tunnel.MaxHeader + size
	packet, code := tunnel.DecodePlain(buf[tunnel.MaxHeader:end])
	if code != result.OK {
		return nil, netip.AddrPort{}, code
	}
	if len(packet) > w.entry.mtu {
		return nil, netip.AddrPort{}, result.TunnelOversized
	}
	inner, code := tunnel.ParseInner(packet)
	if code != result.OK {
		return nil, netip.AddrPort{}, code
	}
	routes := w.entry.table.Load().services[inner.Frontend]
	if routes == nil {
		return nil, netip.AddrPort{}, result.FlowUnknownService
	}
	r := routes.buckets[routing.Bucket(routes.seed, inner.Caller)]
	if r == nil {
		return nil, netip.AddrPort{}, result.RequestNoUpstream
	}
	start := w.codec.Seal(buf[:end], end-len(packet), &r.header)
	return buf[start:end], r.to, result.OK
}

// countDrop counts a packet that was not forwarded.
func (w *worker) countDrop(code result.Code) {
	switch code {
	case result.TunnelOversized:
		w.count.oversized.Add(1)
	case result.FlowUnknownService:
		w.count.unknownService.Add(1)
	case result.RequestNoUpstream:
		w.count.noHome.Add(1)
	default:
		w.count.malformed.Add(1)
	}
}
