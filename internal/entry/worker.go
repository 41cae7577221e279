package entry

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// bufferLen holds the longest UDP payload behind the room for the routing header.
const bufferLen = tunnel.MaxHeader + 65536

// worker is one traffic goroutine. Its counters are read by others.
type worker struct {
	entry *Entry
	conn  *net.UDPConn
	codec *tunnel.Codec
	count struct {
		forwarded, malformed, oversized, unknownService, noHome, sendFailed atomic.Uint64
	}
}

func newWorker(e *Entry, conn *net.UDPConn) *worker {
	return &worker{entry: e, conn: conn, codec: tunnel.NewCodec(&e.keys)}
}

// run forwards packets until the socket is closed.
func (w *worker) run() {
	defer w.entry.wg.Done()
	buf := make([]byte, bufferLen)
	for {
		size, _, err := w.conn.ReadFromUDPAddrPort(buf[tunnel.MaxHeader:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		w.handle(buf, size)
	}
}

// handle forwards one packet of the fabric that starts at buf[tunnel.MaxHeader:].
func (w *worker) handle(buf []byte, size int) {
	out, to, code := w.forward(buf, size)
	if code != result.OK {
		w.drop(code)
		return
	}
	if _, err := w.conn.WriteToUDPAddrPort(out, to); err != nil {
		w.count.sendFailed.Add(1)
		return
	}
	w.count.forwarded.Add(1)
}

// forward replaces the fabric's header by a routing header in place. It does not allocate.
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
	routes := w.entry.state.Load().services[inner.Frontend]
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

// drop counts a packet that was not forwarded.
func (w *worker) drop(code result.Code) {
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
