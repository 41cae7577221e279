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

const headSize = 32

// resetWindow is how far the sequence number of a reset may be from the caller's last acknowledgement number.
const resetWindow = 76_800

// sumKey is the key of the checksums of these stand-ins.
const sumKey = 0x0ddba115

// packet is a packet of a flow, from its sender's point of view.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	sum      uint32
	valid    bool // the checksum is the sender's
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

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
	binary.BigEndian.PutUint32(b[28:], checksum(b))
	return b
}

// checksum covers all fields but echo, pad, BOUNCED and itself.
func checksum(b []byte) uint32 {
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
		data: append([]byte(nil), b[headSize:]...), sum: binary.BigEndian.Uint32(b[28:]),
	}
	p.valid = p.sum == checksum(b)
	return p, true
}
