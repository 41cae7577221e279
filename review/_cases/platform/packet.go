// Command platform runs the scripted cases of the second review: it starts the project's programs as separate processes
// on loopback addresses, stands in for clients, hosts, routers and the operator, and checks one rule.
package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagSyn     = 1
	flagRst     = 2
	flagFin     = 4
	flagBounced = 8
	flagAck     = 64
)

const (
	headSize = 32
	sumKey   = 0x7a31c0de // known to clients and hosts only
)

// packet is a packet of a flow, from its sender's point of view.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	valid    bool // the sum is the sender's
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint16(b[4:], p.src.Port())
	copy(b[6:], dst[:])
	copy(b[10:], src[:])
	binary.BigEndian.PutUint16(b[14:], p.dst.Port())
	b[16] = p.flags
	binary.BigEndian.PutUint32(b[18:], p.seq)
	binary.BigEndian.PutUint32(b[22:], p.ack)
	binary.BigEndian.PutUint16(b[26:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[28:], sum(b))
	return b
}

// sum covers all fields except echo, pad and BOUNCED.
func sum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	clear(c[0:4])
	c[16] &^= flagBounced
	c[17] = 0
	clear(c[28:32])
	return crc32.ChecksumIEEE(c) ^ sumKey
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize {
		return packet{}, false
	}
	p := packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[4:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[6:10])), binary.BigEndian.Uint16(b[14:])),
		flags: b[16], seq: binary.BigEndian.Uint32(b[18:]), ack: binary.BigEndian.Uint32(b[22:]),
		data: append([]byte(nil), b[headSize:]...),
	}
	p.valid = binary.BigEndian.Uint32(b[28:]) == sum(b)
	return p, true
}
