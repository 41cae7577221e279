package tunnel

import (
	"crypto/hmac"
	"encoding/binary"
	"sync/atomic"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// flagAssigned is the flag of the route option that corresponds to Header.Assigned.
const flagAssigned = 0x01

// Codec signs and verifies packets with the key ring that ring points to. It must be used by one goroutine only, but
// any goroutine may replace the ring at any time.
type Codec struct {
	ring *atomic.Pointer[KeyRing]
	macs macState
}

// NewCodec returns a codec that reads its keys from ring, which must not hold nil.
func NewCodec(ring *atomic.Pointer[KeyRing]) *Codec { return &Codec{ring: ring} }

// Seal writes the routing header and MAC in front of the caller's packet at buf[at:] and returns the start of the outer
// packet. At least MaxHeader bytes must be free before at.
func (c *Codec) Seal(buf []byte, at int, h *Header) int {
	length := routeOptionLen + macOptionLen
	if h.Assigned {
		length += assignmentOptionLen
	}
	start := at - BaseLen - length
	putFixedHeader(buf[start:], length, ProtoOf(buf[at:]), true)
	off := start + BaseLen
	putRoute(putOption(buf[off:], kindRoute, routeDataLen), h)
	off += routeOptionLen
	if h.Assigned {
		data := putOption(buf[off:], kindAssignment, assignmentDataLen)
		binary.BigEndian.PutUint64(data, uint64(h.Assigner))
		binary.BigEndian.PutUint64(data[tagLen:], h.Assignment)
		off += assignmentOptionLen
	}
	c.sign(buf[start:], off-start)
	return start
}

// SealPeer writes a header and the MAC in front of the message between agents at buf[at:] and returns the start of the
// outer packet. At least MaxHeader bytes must be free before at.
func (c *Codec) SealPeer(buf []byte, at int) int {
	start := at - BaseLen - macOptionLen
	putFixedHeader(buf[start:], macOptionLen, ProtoPeer, true)
	c.sign(buf[start:], BaseLen)
	return start
}

// sign writes the MAC option at packet[off:].
func (c *Codec) sign(packet []byte, off int) {
	c.macs.setRing(c.ring.Load())
	data := putOption(packet[off:], kindMAC, macDataLen)
	data[0] = c.macs.ring.current.ID
	data[1], data[2], data[3] = 0, 0, 0
	copy(data[4:], c.macs.compute(c.macs.current, packet, off+optionHeaderLen+4))
}

// Open verifies a packet from an entry VM or agent and decodes its routing header into h. It returns the protocol type
// and the payload, which points into data. Only packets with ProtoIPv4 and ProtoIPv6 have a routing header. The code is
// OK, TunnelMalformed or TunnelForged.
func (c *Codec) Open(data []byte, h *Header) (uint16, []byte, result.Code) {
	f, code := decodeFrame(data)
	if code != result.OK {
		return 0, nil, code
	}
	if code := c.verify(data, f); code != result.OK {
		return 0, nil, code
	}
	*h = Header{}
	options := f.options[:len(f.options)-macOptionLen]
	if f.proto == ProtoPeer {
		if len(options) != 0 {
			return 0, nil, result.TunnelMalformed
		}
		return f.proto, f.payload, result.OK
	}
	if f.proto != ProtoIPv4 && f.proto != ProtoIPv6 {
		return 0, nil, result.TunnelMalformed
	}
	if !decodeRouting(options, h) {
		return 0, nil, result.TunnelMalformed
	}
	return f.proto, f.payload, result.OK
}

// verify checks the MAC option, which must be the last option.
func (c *Codec) verify(data []byte, f frame) result.Code {
	if len(f.options) < macOptionLen {
		return result.TunnelMalformed
	}
	off := len(f.options) - macOptionLen
	o, _, ok := nextOption(f.options[off:])
	if !ok || o.class != optionClass || o.kind != kindMAC || len(o.data) != macDataLen {
		return result.TunnelMalformed
	}
	c.macs.setRing(c.ring.Load())
	key := c.macs.hashFor(o.data[0])
	if key == nil {
		return result.TunnelForged
	}
	want := c.macs.compute(key, data, BaseLen+off+optionHeaderLen+4)
	if !hmac.Equal(want, o.data[4:]) {
		return result.TunnelForged
	}
	return result.OK
}

// decodeRouting decodes the options of a verified packet. It returns false if an option occurs twice or is missing, or
// if a critical option is unknown.
func decodeRouting(options []byte, h *Header) bool {
	var route, assignment bool
	for rest := options; len(rest) > 0; {
		o, next, ok := nextOption(rest)
		if !ok {
			return false
		}
		rest = next
		switch {
		case o.class == optionClass && o.kind == kindRoute:
			if route || !decodeRoute(o.data, h) {
				return false
			}
			route = true
		case o.class == optionClass && o.kind == kindAssignment:
			if assignment || !decodeAssignment(o.data, h) {
				return false
			}
			assignment = true
		case o.kind&criticalBit != 0:
			return false
		}
	}
	return route && assignment == h.Assigned
}

// putRoute writes the data of the route option.
func putRoute(b []byte, h *Header) {
	binary.BigEndian.PutUint32(b[0:4], uint32(h.Service))
	binary.BigEndian.PutUint64(b[4:12], uint64(h.Generation))
	b[12] = h.Hops
	b[13] = 0
	if h.Assigned {
		b[13] = flagAssigned
	}
	b[14], b[15] = 0, 0
}

// decodeRoute decodes the data of the route option.
func decodeRoute(b []byte, h *Header) bool {
	if len(b) != routeDataLen || b[13]&^flagAssigned != 0 {
		return false
	}
	h.Service = model.ServiceID(binary.BigEndian.Uint32(b[0:4]))
	h.Generation = model.Revision(binary.BigEndian.Uint64(b[4:12]))
	h.Hops = b[12]
	h.Assigned = b[13]&flagAssigned != 0
	return true
}

// decodeAssignment decodes the data of the assignment option.
func decodeAssignment(b []byte, h *Header) bool {
	if len(b) != assignmentDataLen {
		return false
	}
	h.Assigner = HostTag(binary.BigEndian.Uint64(b))
	h.Assignment = binary.BigEndian.Uint64(b[tagLen:])
	return true
}
