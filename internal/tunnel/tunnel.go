// Package tunnel encodes and decodes the Geneve packets (RFC 8926) that carry callers' IP packets between the fabric,
// entry VMs and agents, and the messages between agents. Packets between the system's own processes carry routing
// options and a truncated HMAC-SHA-256 over header, options and payload.
//
// The Geneve layer of gopacket has no serializer, reads four of the five bits of an option's length, allocates per
// option, and panics on some short packets, so the fixed layout is read and written here with encoding/binary. The
// tests decode the output with gopacket as an independent check.
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

	// MaxHeader is the longest header written here.
	MaxHeader = BaseLen + routeOption + assignmentOption + macOption
	// MaxPlainHeader is the longest header that Geneve permits, which a fabric may send.
	MaxPlainHeader = BaseLen + 63*4
	// MaxOverhead adds the UDP header and an IPv6 header without extensions.
	MaxOverhead = MaxHeader + 8 + 40
	// MaxPacket is the longest payload.
	MaxPacket = 65535 - MaxOverhead

	tagLen           = 8
	optionHeaderLen  = 4
	routeData        = 16
	assignmentData   = tagLen + 8
	macData          = 4 + MACLen
	routeOption      = optionHeaderLen + routeData
	assignmentOption = optionHeaderLen + assignmentData
	macOption        = optionHeaderLen + macData
)

// Option class and types. The class is in the experimental range of RFC 8926; all types have the critical bit, so that
// a receiver that does not know them drops the packet. Type 0x82 carried a list of hosts and is not reused, so that no
// version reads another option as that list.
const (
	optionClass    uint16 = 0xFF53
	kindRoute      uint8  = 0x81
	kindAssignment uint8  = 0x83
	kindMAC        uint8  = 0x8F

	criticalBit uint8 = 0x80
)

// HostTag stands for a host in a routing header. Tags keep the header's length bounded, which host names would not.
type HostTag uint64

// TagOf returns the tag of a host.
func TagOf(h model.HostID) HostTag { return HostTag(xxhash.Sum64String(string(h))) }

// Header is the routing header of a packet between the system's processes.
type Header struct {
	Service    model.ServiceID
	Generation model.Revision
	Hops       uint8 // times that agents forwarded the packet
	Assigned   bool  // the home chose the receiver as the owner of a new flow
	Assigner   HostTag
	Assignment uint64 // runs of assigner and assignee, set when Assigned
}

// frame is a decoded outer packet. Its slices point into the packet.
type frame struct {
	proto   uint16
	options []byte
	payload []byte
}

// decodeFrame checks the fixed header and the length of the options.
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

// nextOption splits the first option from b.
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

// DecodePlain returns the IP packet inside a packet of the fabric. Options that are not critical are skipped; a critical
// one is an error, since this end knows none from the fabric.
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

// ProtoOf returns the protocol type for an IP packet by its version field.
func ProtoOf(packet []byte) uint16 {
	if len(packet) > 0 && packet[0]>>4 == 6 {
		return ProtoIPv6
	}
	return ProtoIPv4
}

// EncodePlain writes a header without options in front of the payload that starts at buf[at:] and returns the start of
// the packet. At least BaseLen bytes must be free before at.
func EncodePlain(buf []byte, at int) int {
	start := at - BaseLen
	putBase(buf[start:at], 0, ProtoOf(buf[at:]), false)
	return start
}

// putBase writes the fixed header.
func putBase(b []byte, optionsLen int, proto uint16, critical bool) {
	b[0] = uint8(optionsLen / 4)
	b[1] = 0
	if critical {
		b[1] = 0x40
	}
	binary.BigEndian.PutUint16(b[2:4], proto)
	binary.BigEndian.PutUint32(b[4:8], 0)
}

// putOption writes an option header and returns the bytes of its data.
func putOption(b []byte, kind uint8, dataLen int) []byte {
	binary.BigEndian.PutUint16(b[0:2], optionClass)
	b[2] = kind
	b[3] = uint8(dataLen / 4)
	return b[optionHeaderLen : optionHeaderLen+dataLen]
}
