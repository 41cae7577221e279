package tunnel_test

import (
	"bytes"
	"testing"

	"github.com/google/gopacket/layers"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// Guards against a panic on arbitrary bytes at the port of an agent, and against their acceptance. Open must accept
// only packets that are signed with the key of the codec.
func FuzzOpen(f *testing.F) {
	c := codec(f, 1)
	packet := segment(f, false, layers.TCP{SYN: true}, "")
	valid := seal(c, fullHeader(), packet)
	f.Add(valid)
	f.Add(plain(packet))
	f.Add([]byte{0x3F, 0x40, 0x08, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var h tunnel.Header
		_, payload, code := c.Open(data, &h)
		if code != result.OK {
			return
		}
		again := seal(c, h, payload)
		if string(again) != string(data) {
			t.Fatalf("opened a packet that was not signed here: %x", data)
		}
	})
}

// Guards against a panic of the decoders of the entry VM on arbitrary bytes, and against slices beyond the packet.
func FuzzPlain(f *testing.F) {
	f.Add(plain(segment(f, false, layers.TCP{SYN: true}, "x")))
	f.Add(plain(segment(f, true, layers.TCP{ACK: true}, "")))
	f.Add([]byte{0x02, 0, 0x08, 0, 0, 0, 0, 0, 0xFF, 0x53, 0x01, 0x01, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		packet, code := tunnel.DecodePlain(data)
		if code != result.OK {
			return
		}
		inner, code := tunnel.ParseInner(packet)
		if code != result.OK {
			return
		}
		answer, err := tunnel.Reset(packet)
		if err != nil {
			t.Fatalf("no reset for a packet that was accepted: %v", err)
		}
		if answer == nil {
			return
		}
		back, code := tunnel.ParseInner(answer)
		if code != result.OK || back.Frontend != inner.Caller || back.Caller != inner.Frontend {
			t.Fatalf("reset %+v does not answer %+v", back, inner)
		}
	})
}

// Guards against a panic of the decoder of routing options, which FuzzOpen does not reach because of the MAC, and
// against a header that changes when it is encoded and decoded again.
func FuzzRouting(f *testing.F) {
	c := codec(f, 1)
	packet := segment(f, false, layers.TCP{SYN: true}, "")
	outer := seal(c, fullHeader(), packet)
	f.Add(outer[tunnel.BaseLen : len(outer)-len(packet)-24])
	f.Add([]byte{0xFF, 0x53, 0x81, 0x1F})
	f.Add(append(bytes.Clone(outer[tunnel.BaseLen:len(outer)-len(packet)-24]), 0xFF, 0x53, 0x82, 1, 0, 0, 0, 0))
	f.Fuzz(func(t *testing.T, options []byte) {
		var h tunnel.Header
		if !tunnel.DecodeRouting(options, &h) {
			return
		}
		var again tunnel.Header
		if _, _, code := c.Open(seal(c, h, packet), &again); code != result.OK || again != h {
			t.Fatalf("header %+v reads as %+v (%s) when sent on", h, again, code)
		}
	})
}
