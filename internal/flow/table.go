package flow

import (
	"math/bits"
	"net/netip"

	"encoding/binary"
)

// packed is a flow key without the pointers and padding of model.FlowKey. IPv4 flows use only lo.
type packed struct {
	hi, lo uint64
	tail   uint32 // IPv6 only: port and service index
	v4     bool
}

// key6 is the stored form of an IPv6 flow key.
type key6 struct {
	hi, lo uint64
	tail   uint32
}

// pack returns the key of a caller's flow in the service with the given index.
func pack(service uint16, caller netip.AddrPort) packed {
	addr, tail := caller.Addr().Unmap(), uint32(caller.Port())<<16|uint32(service)
	if addr.Is4() {
		a := addr.As4()
		return packed{lo: uint64(binary.BigEndian.Uint32(a[:]))<<32 | uint64(tail), v4: true}
	}
	a := addr.As16()
	return packed{hi: binary.BigEndian.Uint64(a[:8]), lo: binary.BigEndian.Uint64(a[8:]), tail: tail}
}

// service returns the index of the key's service.
func (k packed) service() uint16 {
	if k.v4 {
		return uint16(k.lo)
	}
	return uint16(k.tail)
}

// caller returns the caller's address and port.
func (k packed) caller() netip.AddrPort {
	if k.v4 {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(k.lo>>32))
		return netip.AddrPortFrom(netip.AddrFrom4(a), uint16(k.lo>>16))
	}
	var a [16]byte
	binary.BigEndian.PutUint64(a[:8], k.hi)
	binary.BigEndian.PutUint64(a[8:], k.lo)
	return netip.AddrPortFrom(netip.AddrFrom16(a), uint16(k.tail>>16))
}

// hash mixes the key with a secret seed.
func (k packed) hash(seed uint64) uint64 {
	h := mix(k.lo^seed, 0x9e3779b97f4a7c15)
	if !k.v4 {
		h = mix(k.hi^h, uint64(k.tail)^0xd6e8feb86659fd93)
	}
	return h
}

func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a, b)
	return hi ^ lo
}

// store maps flow keys to small values. IPv4 and IPv6 keys have tables of their own, so that an IPv4 flow costs 8 bytes
// of key.
type store[V any] struct {
	seed uint64
	v4   table[uint64, V]
	v6   table[key6, V]
}

func (s *store[V]) get(k packed) (V, bool) {
	if k.v4 {
		return s.v4.get(k.hash(s.seed), k.lo)
	}
	return s.v6.get(k.hash(s.seed), key6{k.hi, k.lo, k.tail})
}

func (s *store[V]) put(k packed, v V) {
	if k.v4 {
		s.v4.put(k.hash(s.seed), k.lo, v, s.hash4)
		return
	}
	s.v6.put(k.hash(s.seed), key6{k.hi, k.lo, k.tail}, v, s.hash6)
}

func (s *store[V]) delete(k packed) {
	if k.v4 {
		s.v4.delete(k.hash(s.seed), k.lo, s.hash4)
		return
	}
	s.v6.delete(k.hash(s.seed), key6{k.hi, k.lo, k.tail}, s.hash6)
}

func (s *store[V]) len() int { return s.v4.n + s.v6.n }

// slots returns the number of positions that scan visits.
func (s *store[V]) slots() int { return len(s.v4.ctrl) + len(s.v6.ctrl) }

// scan calls visit for the entries in n positions from the given one and returns the next position. The callback may
// change the value but must not add or delete entries.
func (s *store[V]) scan(from, n int, visit func(packed, *V)) int {
	total := s.slots()
	if total == 0 {
		return 0
	}
	pos := from % total
	for range min(n, total) {
		if i := pos - len(s.v4.ctrl); i < 0 {
			if s.v4.ctrl[pos] != 0 {
				visit(packed{lo: s.v4.keys[pos], v4: true}, &s.v4.vals[pos])
			}
		} else if s.v6.ctrl[i] != 0 {
			k := s.v6.keys[i]
			visit(packed{hi: k.hi, lo: k.lo, tail: k.tail}, &s.v6.vals[i])
		}
		if pos++; pos == total {
			pos = 0
		}
	}
	return pos
}

// each calls visit for every entry under the rules of scan.
func (s *store[V]) each(visit func(packed, *V)) { s.scan(0, s.slots(), visit) }

func (s *store[V]) hash4(k uint64) uint64 { return packed{lo: k, v4: true}.hash(s.seed) }

func (s *store[V]) hash6(k key6) uint64 {
	return packed{hi: k.hi, lo: k.lo, tail: k.tail}.hash(s.seed)
}

// table is an open-addressing hash table with linear probing. It holds no pointers per entry, which keeps the garbage
// collector from scanning it, and deletes by shifting back, so that it needs no tombstones.
type table[K comparable, V any] struct {
	n    int
	ctrl []uint8 // 0 for an empty slot, else 0x80 and 7 bits of the hash
	keys []K
	vals []V
}

const minSlots = 64 // slots of the first allocation

func tagOf(hash uint64) uint8 { return 0x80 | uint8(hash>>57) }

func (t *table[K, V]) get(hash uint64, k K) (v V, ok bool) {
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

func (t *table[K, V]) put(hash uint64, k K, v V, rehash func(K) uint64) {
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

func (t *table[K, V]) grow(rehash func(K) uint64) {
	old := *t
	size := max(minSlots, 2*len(old.ctrl))
	*t = table[K, V]{ctrl: make([]uint8, size), keys: make([]K, size), vals: make([]V, size)}
	for i, c := range old.ctrl {
		if c != 0 {
			t.put(rehash(old.keys[i]), old.keys[i], old.vals[i], rehash)
		}
	}
}

func (t *table[K, V]) delete(hash uint64, k K, rehash func(K) uint64) {
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
	// Every following entry whose probe sequence passes the hole moves into it.
	for j := (i + 1) & mask; t.ctrl[j] != 0; j = (j + 1) & mask {
		ideal := rehash(t.keys[j]) & mask
		if (j-ideal)&mask >= (j-i)&mask {
			t.ctrl[i], t.keys[i], t.vals[i] = t.ctrl[j], t.keys[j], t.vals[j]
			i = j
		}
	}
	t.ctrl[i] = 0
}
