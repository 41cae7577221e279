package store

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/onsi/gomega"
)

// The decoder must not panic, accept data that the encoder cannot produce, or report a damaged record as an incomplete
// one.
func FuzzDecodeRecord(f *testing.F) {
	whole, _ := appendRecord(nil, firstInChain, recordEntry, []byte("payload"))
	f.Add(whole, uint32(firstInChain))
	f.Add(whole[:headerSize+2], uint32(firstInChain))
	f.Add(whole[:3], uint32(firstInChain))
	f.Add(whole, uint32(1))
	f.Add(make([]byte, 64), uint32(firstInChain))
	f.Fuzz(func(t *testing.T, data []byte, chain uint32) {
		g := NewWithT(t)
		rec, err := decodeRecord(data, chain)
		if err != nil {
			g.Expect(errors.Is(err, errTorn) || errors.Is(err, errDamaged)).To(BeTrue())
			return
		}
		again, next := appendRecord(nil, chain, rec.kind, rec.payload)
		g.Expect(bytes.Equal(again, data[:rec.size])).To(BeTrue())
		g.Expect(next).To(Equal(rec.chain))
		for n := range rec.size {
			_, err := decodeRecord(data[:n], chain)
			g.Expect(err).To(MatchError(errTorn))
		}
	})
}

// Every flipped bit must be reported as damage, not be accepted or reported as an interrupted write.
func TestEveryFlippedBitIsDamage(t *testing.T) {
	g := NewWithT(t)
	whole, _ := appendRecord(nil, 7, recordHard, []byte("payload"))
	for bit := range len(whole) * 8 {
		data := bytes.Clone(whole)
		data[bit/8] ^= 1 << (bit % 8)
		_, err := decodeRecord(data, 7)
		g.Expect(err).To(MatchError(errDamaged), "bit %d", bit)
	}
}
