package tunnel

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"hash"
)

// MinSecretLen is the shortest accepted secret in bytes. It is the output length of SHA-256, below which RFC 2104
// discourages HMAC keys.
const MinSecretLen = sha256.Size

// Key is a secret that all processes of a deployment share.
type Key struct {
	ID     uint8
	Secret []byte
}

// KeyRing holds the key that signs packets and, during key rotation, a secondary key that is only accepted. It is
// immutable.
type KeyRing struct {
	current      Key
	secondary    Key
	hasSecondary bool
}

// NewKeyRing returns a key ring that signs with current and also accepts the key in others, of which there may be at
// most one.
func NewKeyRing(current Key, others ...Key) (*KeyRing, error) {
	if len(others) > 1 {
		return nil, fmt.Errorf("key ring has %d keys, the limit is 2", 1+len(others))
	}
	r := &KeyRing{current: current}
	if len(others) == 1 {
		r.secondary = others[0]
		r.hasSecondary = true
	}
	if len(current.Secret) < MinSecretLen || r.hasSecondary && len(r.secondary.Secret) < MinSecretLen {
		return nil, fmt.Errorf("tunnel key is shorter than %d bytes", MinSecretLen)
	}
	if r.hasSecondary && r.secondary.ID == current.ID {
		return nil, fmt.Errorf("both tunnel keys have id %d", current.ID)
	}
	return r, nil
}

// macState computes the MACs for the keys of a ring without allocation. It must be used by one goroutine only.
type macState struct {
	ring      *KeyRing
	current   hash.Hash
	secondary hash.Hash
	sum       [sha256.Size]byte
}

// setRing creates the hashes for the keys of ring, unless it is the current ring.
func (m *macState) setRing(ring *KeyRing) {
	if m.ring == ring {
		return
	}
	m.ring = ring
	m.current = hmac.New(sha256.New, ring.current.Secret)
	m.secondary = nil
	if ring.hasSecondary {
		m.secondary = hmac.New(sha256.New, ring.secondary.Secret)
	}
}

// hashFor returns the HMAC hash for a key id, or nil if the ring has no such key.
func (m *macState) hashFor(id uint8) hash.Hash {
	if id == m.ring.current.ID {
		return m.current
	}
	if m.secondary != nil && id == m.ring.secondary.ID {
		return m.secondary
	}
	return nil
}

// compute returns the truncated MAC over the packet except for the MAC field at off. The result is valid until the next
// call.
func (m *macState) compute(h hash.Hash, packet []byte, off int) []byte {
	h.Reset()
	h.Write(packet[:off])
	h.Write(packet[off+MACLen:])
	return h.Sum(m.sum[:0])[:MACLen]
}
