package tunnel_test

import (
	"bytes"
	"encoding/binary"
	"net"
	"sync/atomic"
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	. "github.com/onsi/gomega"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// key returns a key whose secret is derived from its id.
func key(id uint8) tunnel.Key {
	return tunnel.Key{ID: id, Secret: bytes.Repeat([]byte{id}, tunnel.MinSecretLen)}
}

// codec returns a codec with the given keys. It signs with the first key.
func codec(t testing.TB, ids ...uint8) *tunnel.Codec {
	t.Helper()
	var others []tunnel.Key
	for _, id := range ids[1:] {
		others = append(others, key(id))
	}
	ring, err := tunnel.NewKeyRing(key(ids[0]), others...)
	if err != nil {
		t.Fatal(err)
	}
	var p atomic.Pointer[tunnel.KeyRing]
	p.Store(ring)
	return tunnel.NewCodec(&p)
}

// segment returns a caller's TCP packet.
func segment(t testing.TB, v6 bool, tcp layers.TCP, payload string) []byte {
	t.Helper()
	tcp.SrcPort, tcp.DstPort = 40000, 80
	src, dst := net.ParseIP("10.1.0.1").To4(), net.ParseIP("10.9.0.1").To4()
	var network interface {
		gopacket.NetworkLayer
		gopacket.SerializableLayer
	} = &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: src, DstIP: dst}
	if v6 {
		network = &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolTCP,
			SrcIP: net.ParseIP("fd00::1"), DstIP: net.ParseIP("fd00::9")}
	}
	if err := tcp.SetNetworkLayerForChecksum(network); err != nil {
		t.Fatal(err)
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, network, &tcp, gopacket.Payload(payload)); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// fullHeader returns a header that is encoded with every option.
func fullHeader() tunnel.Header {
	return tunnel.Header{Service: 7, Generation: 1 << 40, Hops: 3, Assigned: true, Assigner: tunnel.TagOf("u1"),
		Assignment: 99}
}

// seal returns the outer packet that carries a caller's packet.
func seal(c *tunnel.Codec, h tunnel.Header, packet []byte) []byte {
	buf := append(make([]byte, tunnel.MaxHeader), packet...)
	return buf[c.Seal(buf, tunnel.MaxHeader, &h):]
}

// Guards against a routing header that changes between Seal and Open or violates RFC 8926.
func TestSealOpen(t *testing.T) {
	for name, h := range map[string]tunnel.Header{
		"all options":   fullHeader(),
		"highest tag":   {Service: 1, Generation: 2, Assigned: true, Assigner: 1 << 63, Assignment: 1<<64 - 1},
		"no assignment": {Service: 1, Generation: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := codec(t, 1)
			packet := segment(t, false, layers.TCP{SYN: true}, "")
			outer := seal(c, h, packet)
			var got tunnel.Header
			proto, payload, code := c.Open(outer, &got)
			g.Expect(code).To(Equal(result.OK))
			g.Expect(proto).To(Equal(tunnel.ProtoIPv4))
			g.Expect(payload).To(Equal(packet))
			g.Expect(got).To(Equal(h))

			var independent layers.Geneve
			g.Expect(independent.DecodeFromBytes(outer, gopacket.NilDecodeFeedback)).To(Succeed())
			g.Expect(independent.Protocol).To(Equal(layers.EthernetTypeIPv4))
			g.Expect(independent.CriticalOption).To(BeTrue())
			g.Expect(independent.Payload).To(Equal(packet))
			last := independent.Options[len(independent.Options)-1]
			g.Expect(last.Data).To(HaveLen(4+tunnel.MACLen), "the MAC is the last option")
		})
	}
}

// Guards against damaged or forged packets that are accepted or refused with the wrong code.
func TestOpenRefuses(t *testing.T) {
	c := codec(t, 1)
	packet := segment(t, false, layers.TCP{ACK: true}, "data")
	headerLen := len(seal(c, fullHeader(), packet)) - len(packet)
	cases := map[string]struct {
		change func(b []byte) []byte
		want   result.Code
	}{
		"empty":                    {func([]byte) []byte { return nil }, result.TunnelMalformed},
		"shorter than the header":  {func(b []byte) []byte { return b[:7] }, result.TunnelMalformed},
		"options cut off":          {func(b []byte) []byte { return b[:40] }, result.TunnelMalformed},
		"payload cut off":          {func(b []byte) []byte { return b[:len(b)-1] }, result.TunnelForged},
		"payload extended":         {func(b []byte) []byte { return append(b, 0) }, result.TunnelForged},
		"other version":            {func(b []byte) []byte { b[0] |= 0x40; return b }, result.TunnelMalformed},
		"control packet":           {func(b []byte) []byte { b[1] |= 0x80; return b }, result.TunnelMalformed},
		"no options":               {func(b []byte) []byte { b[0] = 0; return b }, result.TunnelMalformed},
		"one option missing":       {func(b []byte) []byte { b[0] -= 6; return b }, result.TunnelMalformed},
		"service changed":          {func(b []byte) []byte { b[15]++; return b }, result.TunnelForged},
		"generation changed":       {func(b []byte) []byte { b[23]++; return b }, result.TunnelForged},
		"hops changed":             {func(b []byte) []byte { b[24]++; return b }, result.TunnelForged},
		"payload changed":          {func(b []byte) []byte { b[len(b)-1]++; return b }, result.TunnelForged},
		"MAC changed":              {func(b []byte) []byte { b[headerLen-1]++; return b }, result.TunnelForged},
		"unknown key":              {func(b []byte) []byte { b[headerLen-20] = 9; return b }, result.TunnelForged},
		"last option is no MAC":    {func(b []byte) []byte { b[headerLen-22] = 0x81; return b }, result.TunnelMalformed},
		"plain packet without MAC": {func([]byte) []byte { return plain(packet) }, result.TunnelMalformed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var h tunnel.Header
			_, _, code := c.Open(tc.change(seal(c, fullHeader(), packet)), &h)
			g.Expect(code).To(Equal(tc.want))
		})
	}
}

// Guards against accepting a verified header with a missing or repeated option, an assignment that does not match the
// flag of the route option, or a critical option of another version.
func TestDecodeRoutingRefuses(t *testing.T) {
	option := func(kind, flags byte, dataLen int) []byte {
		b := append([]byte{0xFF, 0x53, kind, byte(dataLen / 4)}, make([]byte, dataLen)...)
		if kind == 0x81 && dataLen == 16 {
			b[4+13] = flags
		}
		return b
	}
	route, assigned, assignment := option(0x81, 0, 16), option(0x81, 1, 16), option(0x83, 0, 16)
	for name, tc := range map[string]struct {
		options [][]byte
		want    bool
	}{
		"route":                     {[][]byte{route}, true},
		"assigned":                  {[][]byte{assigned, assignment}, true},
		"option that is optional":   {[][]byte{route, option(0x02, 0, 8)}, true},
		"no option":                 {nil, false},
		"no route":                  {[][]byte{assignment}, false},
		"two routes":                {[][]byte{route, route}, false},
		"two assignments":           {[][]byte{assigned, assignment, assignment}, false},
		"assigned, no assignment":   {[][]byte{assigned}, false},
		"assignment, not assigned":  {[][]byte{route, assignment}, false},
		"unknown flag":              {[][]byte{option(0x81, 2, 16)}, false},
		"short route":               {[][]byte{option(0x81, 0, 12)}, false},
		"short assignment":          {[][]byte{assigned, option(0x83, 0, 12)}, false},
		"withdrawn list of hosts":   {[][]byte{route, option(0x82, 0, 8)}, false},
		"critical option of others": {[][]byte{route, {0, 1, 0x81, 0}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var h tunnel.Header
			NewWithT(t).Expect(tunnel.DecodeRouting(bytes.Join(tc.options, nil), &h)).To(Equal(tc.want))
		})
	}
}

// Guards against a header that is longer than the space that the callers' segment size leaves for it.
func TestHeaderSize(t *testing.T) {
	g := NewWithT(t)
	c := codec(t, 1)
	h := fullHeader()
	g.Expect(seal(c, h, nil)).To(HaveLen(tunnel.MaxHeader))
	g.Expect(tunnel.MaxHeader).To(Equal(72))
	g.Expect(tunnel.MaxOverhead).To(Equal(120))
	h.Assigned = false
	g.Expect(seal(c, h, nil)).To(HaveLen(52))
}

// plain returns the packet as the fabric sends it.
func plain(packet []byte) []byte {
	buf := append(make([]byte, tunnel.BaseLen), packet...)
	return buf[tunnel.EncodePlain(buf, tunnel.BaseLen):]
}

// Guards against packet loss while processes receive a new key one after the other.
func TestKeyRotation(t *testing.T) {
	packet := segment(t, false, layers.TCP{ACK: true}, "")
	for name, tc := range map[string]struct {
		sender, receiver []uint8
		want             result.Code
	}{
		"receiver rotated first": {[]uint8{1}, []uint8{2, 1}, result.OK},
		"sender rotated first":   {[]uint8{2, 1}, []uint8{1, 2}, result.OK},
		"old key withdrawn":      {[]uint8{1}, []uint8{2}, result.TunnelForged},
	} {
		t.Run(name, func(t *testing.T) {
			var h tunnel.Header
			_, _, code := codec(t, tc.receiver...).Open(seal(codec(t, tc.sender...), fullHeader(), packet), &h)
			NewWithT(t).Expect(code).To(Equal(tc.want))
		})
	}
	g := NewWithT(t)
	_, err := tunnel.NewKeyRing(key(1), key(1))
	g.Expect(err).To(MatchError(ContainSubstring("both tunnel keys have id 1")))
	_, err = tunnel.NewKeyRing(tunnel.Key{ID: 1, Secret: []byte("short")})
	g.Expect(err).To(MatchError(ContainSubstring("shorter than 32 bytes")))
	_, err = tunnel.NewKeyRing(key(1), key(2), key(3))
	g.Expect(err).To(MatchError(ContainSubstring("limit is 2")))
}

// Guards against a message between agents that is decoded as a caller's packet.
func TestSealPeer(t *testing.T) {
	g := NewWithT(t)
	c := codec(t, 1)
	buf := append(make([]byte, tunnel.MaxHeader), "message"...)
	var h tunnel.Header
	proto, payload, code := c.Open(buf[c.SealPeer(buf, tunnel.MaxHeader):], &h)
	g.Expect(code).To(Equal(result.OK))
	g.Expect(proto).To(Equal(tunnel.ProtoPeer))
	g.Expect(string(payload)).To(Equal("message"))
}

// Guards against allocations in the forwarding path, because garbage collection would limit the packet rate.
func TestSealAndOpenDoNotAllocate(t *testing.T) {
	g := NewWithT(t)
	c := codec(t, 1, 2)
	packet := segment(t, false, layers.TCP{ACK: true}, "data")
	buf := append(make([]byte, tunnel.MaxHeader), packet...)
	h := fullHeader()
	var got tunnel.Header
	allocs := testing.AllocsPerRun(100, func() {
		start := c.Seal(buf, tunnel.MaxHeader, &h)
		_, payload, _ := c.Open(buf[start:], &got)
		_, _ = tunnel.ParseInner(payload)
	})
	g.Expect(allocs).To(BeZero())
}

// Guards against accepting an inner packet with inconsistent lengths, which could reach another service than the one
// that it was checked for.
func TestParseInnerRefuses(t *testing.T) {
	v4 := func() []byte { return segment(t, false, layers.TCP{SYN: true}, "") }
	v6 := func() []byte { return segment(t, true, layers.TCP{SYN: true}, "") }
	fragment := func(b []byte, v uint16) []byte { binary.BigEndian.PutUint16(b[6:], v); return b }
	for name, packet := range map[string][]byte{
		"empty":                 nil,
		"version 5":             append([]byte{0x50}, v4()[1:]...),
		"IPv4 cut off":          v4()[:39],
		"IPv4 with trailer":     append(v4(), 0),
		"IPv4 header too short": append([]byte{0x44}, v4()[1:]...),
		"IPv4 first fragment":   fragment(v4(), 0x2000),
		"IPv4 later fragment":   fragment(v4(), 1),
		"UDP over IPv4":         append(append(v4()[:9:9], 17), v4()[10:]...),
		"IPv6 cut off":          v6()[:59],
		"IPv6 with trailer":     append(v6(), 0),
		"IPv6 extension header": append(append(v6()[:6:6], 0), v6()[7:]...),
		"TCP offset too small":  append(append(v4()[:32:32], 0x40), v4()[33:]...),
		"TCP offset too large":  append(append(v4()[:32:32], 0xF0), v4()[33:]...),
		"port zero":             append(append(v4()[:20:20], 0, 0), v4()[22:]...),
	} {
		t.Run(name, func(t *testing.T) {
			_, code := tunnel.ParseInner(packet)
			NewWithT(t).Expect(code).To(Equal(result.TunnelMalformed))
		})
	}
}

// Guards against a reset that the caller's stack ignores because of wrong sequence numbers or checksums (RFC 9293,
// section 3.10.7.1).
func TestReset(t *testing.T) {
	for name, tc := range map[string]struct {
		in        layers.TCP
		payload   string
		wantSeq   uint32
		wantAck   uint32
		wantACKed bool
	}{
		"segment with ACK":     {layers.TCP{ACK: true, Seq: 5, Ack: 900}, "abc", 900, 0, false},
		"SYN":                  {layers.TCP{SYN: true, Seq: 5}, "", 0, 6, true},
		"FIN and data, no ACK": {layers.TCP{FIN: true, Seq: 5}, "abc", 0, 9, true},
		"wrapped number":       {layers.TCP{SYN: true, Seq: 1<<32 - 1}, "", 0, 0, true},
	} {
		for _, v6 := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				packet := segment(t, v6, tc.in, tc.payload)
				answer, err := tunnel.Reset(packet)
				g.Expect(err).NotTo(HaveOccurred())
				inner, code := tunnel.ParseInner(answer)
				g.Expect(code).To(Equal(result.OK))
				sent, _ := tunnel.ParseInner(packet)
				g.Expect(inner.Caller).To(Equal(sent.Frontend))
				g.Expect(inner.Frontend).To(Equal(sent.Caller))

				first := layers.LayerTypeIPv4
				if v6 {
					first = layers.LayerTypeIPv6
				}
				decoded := gopacket.NewPacket(answer, first, gopacket.Default)
				tcp := decoded.Layer(layers.LayerTypeTCP).(*layers.TCP)
				g.Expect(tcp.RST).To(BeTrue())
				g.Expect(tcp.Seq).To(Equal(tc.wantSeq))
				g.Expect(tcp.ACK).To(Equal(tc.wantACKed))
				g.Expect(tcp.Ack).To(Equal(tc.wantAck))
				flow := decoded.NetworkLayer().NetworkFlow()
				valid := header.TCP(tcp.LayerContents()).IsChecksumValid(tcpip.AddrFromSlice(flow.Src().Raw()),
					tcpip.AddrFromSlice(flow.Dst().Raw()), 0, 0)
				g.Expect(valid).To(BeTrue())
				g.Expect(v6 || header.IPv4(answer).IsChecksumValid()).To(BeTrue())
			})
		}
	}
	g := NewWithT(t)
	answer, err := tunnel.Reset(segment(t, false, layers.TCP{RST: true}, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(BeNil(), "a reset is never answered")
}
