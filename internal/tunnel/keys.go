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

// Key is a shared secret of all processes of a deployment.
type Key struct {
	ID     uint8
	Secret []byte
}

// KeyRing holds the key that packets are signed with and, during rotation, one more that is still accepted. It is
// immutable.
type KeyRing struct {
	current  Key
	other    Key
	hasOther bool
}

// NewKeyRing returns a ring with one key, or with two during rotation.
func NewKeyRing(current Key, others ...Key) (*KeyRing, error) {
	if len(others) > 1 {
		return nil, fmt.Errorf("key ring has %d keys, the limit is 2", 1+len(others))
	}
	r := &KeyRing{current: current}
	if len(others) == 1 {
		r.other = others[0]
		r.hasOther = true
	}
	if len(current.Secret) < MinSecretLen || r.hasOther && len(r.other.Secret) < MinSecretLen {
		return nil, fmt.Errorf("tunnel key is shorter than %d bytes", MinSecretLen)
	}
	if r.hasOther && r.other.ID == current.ID {
		return nil, fmt.Errorf("both tunnel keys have id %d", current.ID)
	}
	return r, nil
}

// macs computes MACs without allocation. It is used by one goroutine.
type macs struct {
	ring    *KeyRing
	current hash.Hash
	other   hash.Hash
	sum     [sha256.Size]byte
}

// use switches to ring when it differs from the ring in use.
func (m *macs) use(ring *KeyRing) {
	if m.ring == ring {
		return
	}
	m.ring = ring
	m.current = hmac.New(sha256.New, ring.current.Secret)
	m.other = nil
	if ring.hasOther {
		m.other = hmac.New(sha256.New, ring.other.Secret)
	}
}

// forID returns the hash of a key id, or nil when the ring has no such key.
func (m *macs) forID(id uint8) hash.Hash {
	if id == m.ring.current.ID {
		return m.current
	}
	if m.other != nil && id == m.ring.other.ID {
		return m.other
	}
	return nil
}

// compute returns the truncated MAC over the packet without the MAC field at off. The result is valid until the next
// call.
func (m *macs) compute(h hash.Hash, packet []byte, off int) []byte {
	h.Reset()
	h.Write(packet[:off])
	h.Write(packet[off+MACLen:])
	return h.Sum(m.sum[:0])[:MACLen]
}
