// Package tunnel encodes and decodes the Geneve packets (RFC 8926) that carry callers' IP packets between the fabric,
// entry VMs and agents, and the messages between agents. Packets from entry VMs and agents carry a truncated
// HMAC-SHA-256 over header, options and payload; if they carry a caller's packet, they also have routing options.
//
// The package encodes and decodes the headers with encoding/binary, because the Geneve layer of gopacket has no
// serializer, reads four of the five bits of an option's length, allocates per option, and panics on some short
// packets. The tests use gopacket as an independent decoder.
package tunnel

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Protocol types of the Geneve payload.
const (
	ProtoIPv4 uint16 = 0x0800
	ProtoIPv6 uint16 = 0x86DD
	// ProtoPeer marks a message between agents. It is the IEEE 802 local experimental EtherType 1.
	ProtoPeer uint16 = 0x88B5
)

// Sizes in bytes.
const (
	BaseLen = 8  // Geneve header without options
	MACLen  = 16 // truncated HMAC-SHA-256

	// MaxHeader is the length of the longest header that this package writes.
	MaxHeader = BaseLen + routeOptionLen + assignmentOptionLen + macOptionLen
	// MaxPlainHeader is the length of the longest Geneve header, which a fabric may send.
	MaxPlainHeader = BaseLen + 63*4
	// MaxOverhead is MaxHeader plus the lengths of a UDP header and of an IPv6 header without extensions.
	MaxOverhead = MaxHeader + 8 + 40
	// MaxPacket is the length of the longest payload.
	MaxPacket = 65535 - MaxOverhead

	tagLen              = 8
	optionHeaderLen     = 4
	routeDataLen        = 16
	assignmentDataLen   = tagLen + 8
	macDataLen          = 4 + MACLen
	routeOptionLen      = optionHeaderLen + routeDataLen
	assignmentOptionLen = optionHeaderLen + assignmentDataLen
	macOptionLen        = optionHeaderLen + macDataLen
)

// Option class and types. The class is in the experimental range of RFC 8926. All types have the critical bit, so that
// a receiver that does not know them drops the packet. Type 0x82 must not be reused: earlier versions decode it as a
// list of hosts.
const (
	optionClass    uint16 = 0xFF53
	kindRoute      uint8  = 0x81
	kindAssignment uint8  = 0x83
	kindMAC        uint8  = 0x8F

	criticalBit uint8 = 0x80
)

// HostTag is the hash of a host name. It identifies a host in a routing header of bounded length.
type HostTag uint64

// TagOf returns the tag of a host.
func TagOf(h model.HostID) HostTag { return HostTag(xxhash.Sum64String(string(h))) }

// Header is the routing header of a caller's packet that an entry VM or agent forwards.
type Header struct {
	Service    model.ServiceID
	Generation model.Revision
	Hops       uint8   // number of times that agents have forwarded the packet
	Assigned   bool    // the home agent has chosen the receiver as the owner of a new flow
	Assigner   HostTag // home agent, set if Assigned
	Assignment uint64  // identifies the incarnations of assigner and assignee, set if Assigned
}

// frame is a decoded Geneve packet. Its slices point into the packet.
type frame struct {
	proto   uint16
	options []byte
	payload []byte
}

// decodeFrame decodes the fixed header and checks the length of the options.
func decodeFrame(data []byte) (frame, result.Code) {
	if len(data) < BaseLen {
		return frame{}, result.TunnelMalformed
	}
	if data[0]>>6 != 0 || data[1]&0x80 != 0 {
		return frame{}, result.TunnelMalformed
	}
	end := BaseLen + int(data[0]&0x3F)*4
	if len(data) < end {
		return frame{}, result.TunnelMalformed
	}
	f := frame{
		proto:   binary.BigEndian.Uint16(data[2:4]),
		options: data[BaseLen:end],
		payload: data[end:],
	}
	return f, result.OK
}

// option is one decoded Geneve option.
type option struct {
	class uint16
	kind  uint8
	data  []byte
}

// nextOption decodes the first option in b and returns it with the rest of b.
func nextOption(b []byte) (option, []byte, bool) {
	if len(b) < optionHeaderLen {
		return option{}, nil, false
	}
	length := optionHeaderLen + int(b[3]&0x1F)*4
	if len(b) < length {
		return option{}, nil, false
	}
	o := option{
		class: binary.BigEndian.Uint16(b[0:2]),
		kind:  b[2],
		data:  b[optionHeaderLen:length],
	}
	return o, b[length:], true
}

// DecodePlain returns the IP packet inside a packet from the fabric. It skips options that are not critical. No
// critical option of the fabric is known, so a packet with one is refused.
func DecodePlain(data []byte) ([]byte, result.Code) {
	f, code := decodeFrame(data)
	if code != result.OK {
		return nil, code
	}
	for rest := f.options; len(rest) > 0; {
		o, next, ok := nextOption(rest)
		if !ok || o.kind&criticalBit != 0 {
			return nil, result.TunnelMalformed
		}
		rest = next
	}
	if f.proto != ProtoIPv4 && f.proto != ProtoIPv6 {
		return nil, result.TunnelMalformed
	}
	return f.payload, result.OK
}

// ProtoOf returns the protocol type of an IP packet according to its version field.
func ProtoOf(packet []byte) uint16 {
	if len(packet) > 0 && packet[0]>>4 == 6 {
		return ProtoIPv6
	}
	return ProtoIPv4
}

// EncodePlain writes a header without options in front of the IP packet at buf[at:] and returns the start of the outer
// packet. At least BaseLen bytes must be free before at.
func EncodePlain(buf []byte, at int) int {
	start := at - BaseLen
	putFixedHeader(buf[start:at], 0, ProtoOf(buf[at:]), false)
	return start
}

// putFixedHeader writes the Geneve header without its options.
func putFixedHeader(b []byte, optionsLen int, proto uint16, critical bool) {
	b[0] = uint8(optionsLen / 4)
	b[1] = 0
	if critical {
		b[1] = 0x40
	}
	binary.BigEndian.PutUint16(b[2:4], proto)
	binary.BigEndian.PutUint32(b[4:8], 0)
}

// putOption writes an option header and returns the slice for the option's data.
func putOption(b []byte, kind uint8, dataLen int) []byte {
	binary.BigEndian.PutUint16(b[0:2], optionClass)
	b[2] = kind
	b[3] = uint8(dataLen / 4)
	return b[optionHeaderLen : optionHeaderLen+dataLen]
}
