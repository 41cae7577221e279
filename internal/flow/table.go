package flow

import (
	"math/bits"
	"net/netip"

	"encoding/binary"
)

// flowKey is a flow key without the pointers and padding of model.FlowKey. An IPv4 key uses only lo, which then holds
// the address, the port and the service index.
type flowKey struct {
	hi, lo      uint64
	portService uint32 // IPv6 only: port and service index
	v4          bool
}

// key6 is the stored form of an IPv6 flow key.
type key6 struct {
	hi, lo      uint64
	portService uint32
}

// packKey returns the key of a caller's flow in the service with the given index.
func packKey(service uint16, caller netip.AddrPort) flowKey {
	addr, portService := caller.Addr().Unmap(), uint32(caller.Port())<<16|uint32(service)
	if addr.Is4() {
		a := addr.As4()
		return flowKey{lo: uint64(binary.BigEndian.Uint32(a[:]))<<32 | uint64(portService), v4: true}
	}
	a := addr.As16()
	return flowKey{hi: binary.BigEndian.Uint64(a[:8]), lo: binary.BigEndian.Uint64(a[8:]), portService: portService}
}

// service returns the index of the key's service.
func (k flowKey) service() uint16 {
	if k.v4 {
		return uint16(k.lo)
	}
	return uint16(k.portService)
}

// caller returns the caller's address and port.
func (k flowKey) caller() netip.AddrPort {
	if k.v4 {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(k.lo>>32))
		return netip.AddrPortFrom(netip.AddrFrom4(a), uint16(k.lo>>16))
	}
	var a [16]byte
	binary.BigEndian.PutUint64(a[:8], k.hi)
	binary.BigEndian.PutUint64(a[8:], k.lo)
	return netip.AddrPortFrom(netip.AddrFrom16(a), uint16(k.portService>>16))
}

// hash returns the hash of the key under a secret seed.
func (k flowKey) hash(seed uint64) uint64 {
	h := mix(k.lo^seed, 0x9e3779b97f4a7c15)
	if !k.v4 {
		h = mix(k.hi^h, uint64(k.portService)^0xd6e8feb86659fd93)
	}
	return h
}

func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a, b)
	return hi ^ lo
}

// flowMap maps flow keys to small values. IPv4 and IPv6 keys are in separate tables, so that the key of an IPv4 flow
// takes only 8 bytes.
type flowMap[V any] struct {
	seed uint64
	v4   hashTable[uint64, V]
	v6   hashTable[key6, V]
}

func (s *flowMap[V]) get(k flowKey) (V, bool) {
	if k.v4 {
		return s.v4.get(k.hash(s.seed), k.lo)
	}
	return s.v6.get(k.hash(s.seed), key6{k.hi, k.lo, k.portService})
}

func (s *flowMap[V]) put(k flowKey, v V) {
	if k.v4 {
		s.v4.put(k.hash(s.seed), k.lo, v, s.hash4)
		return
	}
	s.v6.put(k.hash(s.seed), key6{k.hi, k.lo, k.portService}, v, s.hash6)
}

func (s *flowMap[V]) delete(k flowKey) {
	if k.v4 {
		s.v4.delete(k.hash(s.seed), k.lo, s.hash4)
		return
	}
	s.v6.delete(k.hash(s.seed), key6{k.hi, k.lo, k.portService}, s.hash6)
}

func (s *flowMap[V]) len() int { return s.v4.n + s.v6.n }

// slots returns the number of slots of both tables.
func (s *flowMap[V]) slots() int { return len(s.v4.ctrl) + len(s.v6.ctrl) }

// scan calls visit for the entries in n slots, starting at slot from, and returns the slot to continue from. The
// callback may change the value but must not add or delete entries.
func (s *flowMap[V]) scan(from, n int, visit func(flowKey, *V)) int {
	total := s.slots()
	if total == 0 {
		return 0
	}
	pos := from % total
	for range min(n, total) {
		if i := pos - len(s.v4.ctrl); i < 0 {
			if s.v4.ctrl[pos] != 0 {
				visit(flowKey{lo: s.v4.keys[pos], v4: true}, &s.v4.vals[pos])
			}
		} else if s.v6.ctrl[i] != 0 {
			k := s.v6.keys[i]
			visit(flowKey{hi: k.hi, lo: k.lo, portService: k.portService}, &s.v6.vals[i])
		}
		if pos++; pos == total {
			pos = 0
		}
	}
	return pos
}

// each calls visit for every entry. The callback has the same restrictions as in scan.
func (s *flowMap[V]) each(visit func(flowKey, *V)) { s.scan(0, s.slots(), visit) }

func (s *flowMap[V]) hash4(k uint64) uint64 { return flowKey{lo: k, v4: true}.hash(s.seed) }

func (s *flowMap[V]) hash6(k key6) uint64 {
	return flowKey{hi: k.hi, lo: k.lo, portService: k.portService}.hash(s.seed)
}

// hashTable is an open-addressing hash table with linear probing. It holds no pointers in its entries, so that the
// garbage collector does not scan them. Deletion shifts entries back, so that the table needs no tombstones.
type hashTable[K comparable, V any] struct {
	n    int
	ctrl []uint8 // 0 for an empty slot, else 0x80 and 7 bits of the hash
	keys []K
	vals []V
}

const minSlots = 64 // number of slots of the first allocation

func tagOf(hash uint64) uint8 { return 0x80 | uint8(hash>>57) }

func (t *hashTable[K, V]) get(hash uint64, k K) (v V, ok bool) {
	if t.n == 0 {
		return v, false
	}
	mask, tag := uint64(len(t.ctrl)-1), tagOf(hash)
	for i := hash & mask; t.ctrl[i] != 0; i = (i + 1) & mask {
		if t.ctrl[i] == tag && t.keys[i] == k {
			return t.vals[i], true
		}
	}
	return v, false
}

func (t *hashTable[K, V]) put(hash uint64, k K, v V, rehash func(K) uint64) {
	if t.n*8 >= len(t.ctrl)*7 {
		t.grow(rehash)
	}
	mask, tag := uint64(len(t.ctrl)-1), tagOf(hash)
	i := hash & mask
	for ; t.ctrl[i] != 0; i = (i + 1) & mask {
		if t.ctrl[i] == tag && t.keys[i] == k {
			t.vals[i] = v
			return
		}
	}
	t.ctrl[i], t.keys[i], t.vals[i] = tag, k, v
	t.n++
}

func (t *hashTable[K, V]) grow(rehash func(K) uint64) {
	old := *t
	size := max(minSlots, 2*len(old.ctrl))
	*t = hashTable[K, V]{ctrl: make([]uint8, size), keys: make([]K, size), vals: make([]V, size)}
	for i, c := range old.ctrl {
		if c != 0 {
			t.put(rehash(old.keys[i]), old.keys[i], old.vals[i], rehash)
		}
	}
}

func (t *hashTable[K, V]) delete(hash uint64, k K, rehash func(K) uint64) {
	if t.n == 0 {
		return
	}
	mask, tag := uint64(len(t.ctrl)-1), tagOf(hash)
	i := hash & mask
	for ; ; i = (i + 1) & mask {
		if t.ctrl[i] == 0 {
			return
		}
		if t.ctrl[i] == tag && t.keys[i] == k {
			break
		}
	}
	t.n--
	// Move each following entry whose probe sequence includes the free slot into that slot.
	for j := (i + 1) & mask; t.ctrl[j] != 0; j = (j + 1) & mask {
		ideal := rehash(t.keys[j]) & mask
		if (j-ideal)&mask >= (j-i)&mask {
			t.ctrl[i], t.keys[i], t.vals[i] = t.ctrl[j], t.keys[j], t.vals[j]
			i = j
		}
	}
	t.ctrl[i] = 0
}
