package routing

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/model"
)

// serviceTable holds the buckets of one service. Buckets share candidate lists, because a service with n active
// upstreams has at most n*(n-1) of them; one list per bucket would need 20 MB for 1,100 services.
type serviceTable struct {
	seed    uint64
	members []model.Member
	weights []int // slots of each member

	hasHome bool
	lists   [][]model.HostID
	list    [Buckets]uint16 // index into lists
}

// Candidates returns the candidates of a bucket.
func (t *serviceTable) Candidates(bucket uint32) []model.HostID {
	return t.lists[t.list[bucket%Buckets]]
}

// matches reports whether the table was built from the same inputs.
func (t *serviceTable) matches(svc *model.Service, weights []int) bool {
	return t.seed == svc.Seed && slices.Equal(t.members, svc.Members) && slices.Equal(t.weights, weights)
}

// memberWeights returns the slots of each member. A change of slots moves homes, therefore the catalog must give the
// service a new generation for it. A member that has not announced itself weighs as one slot.
func memberWeights(s *model.Snapshot, svc *model.Service) []int {
	weights := make([]int, len(svc.Members))
	for i, m := range svc.Members {
		weights[i] = 1
		if up := s.Upstreams[m.Host]; up != nil && up.Slots > 0 {
			weights[i] = up.Slots
		}
	}
	return weights
}

// scored is a member with its rendezvous score in one bucket; a lower cost ranks higher.
type scored struct {
	member int
	cost   uint64
}

// rank builds the table of one service.
func rank(svc *model.Service, weights []int) *serviceTable {
	t := &serviceTable{seed: svc.Seed, members: svc.Members, weights: weights}
	hashes := make([]uint64, len(svc.Members))
	for i, m := range svc.Members {
		hashes[i] = xxhash.Sum64String(string(m.Host))
		t.hasHome = t.hasHome || m.State == model.UpstreamActive || m.State == model.UpstreamDraining
	}
	equal := equalWeights(weights)
	index := map[[MaxCandidates]int16]uint16{}
	order := make([]scored, len(svc.Members))
	for b := range t.list {
		for i := range order {
			order[i] = scored{member: i, cost: cost(svc.Seed, hashes[i], uint32(b), weights[i], equal)}
		}
		slices.SortFunc(order, t.compare)
		key := t.pick(order)
		n, ok := index[key]
		if !ok {
			n = uint16(len(t.lists))
			index[key] = n
			t.lists = append(t.lists, t.hosts(key))
		}
		t.list[b] = n
	}
	return t
}

// compare orders by cost. Equal costs are ordered by host, so that every process ranks them alike.
func (t *serviceTable) compare(a, b scored) int {
	switch {
	case a.cost < b.cost:
		return -1
	case a.cost > b.cost:
		return 1
	case t.members[a.member].Host < t.members[b.member].Host:
		return -1
	}
	return 1
}

// pick selects the candidates of one bucket as member numbers plus one; zero means none.
func (t *serviceTable) pick(order []scored) (key [MaxCandidates]int16) {
	home := t.homeOf(order)
	n := 0
	add := func(i int) {
		if n < MaxCandidates {
			key[n] = int16(order[i].member) + 1
			n++
		}
	}
	if home < len(order) {
		add(home)
	}
	for i := 0; i < home; i++ {
		add(i)
	}
	for i := home + 1; i < len(order); i++ {
		if t.state(order[i]) == model.UpstreamActive {
			add(i)
			break
		}
	}
	return key
}

// homeOf returns the position of the home, or len(order) when there is none.
func (t *serviceTable) homeOf(order []scored) int {
	for _, state := range []model.UpstreamState{model.UpstreamActive, model.UpstreamDraining} {
		for i, o := range order {
			if t.state(o) == state {
				return i
			}
		}
	}
	return len(order)
}

func (t *serviceTable) state(o scored) model.UpstreamState { return t.members[o.member].State }

// hosts converts a key of pick.
func (t *serviceTable) hosts(key [MaxCandidates]int16) []model.HostID {
	var hosts []model.HostID
	for _, m := range key {
		if m != 0 {
			hosts = append(hosts, t.members[m-1].Host)
		}
	}
	return hosts
}

func equalWeights(weights []int) bool {
	for _, w := range weights {
		if w != weights[0] {
			return false
		}
	}
	return true
}

// cost returns the weighted rendezvous cost -log2(u)/weight, where u is the hash as a fraction of 2^64. With equal
// weights the order of costs is the inverse order of hashes, and the logarithm is not needed.
func cost(seed, host uint64, bucket uint32, weight int, equal bool) uint64 {
	var buf [20]byte
	binary.LittleEndian.PutUint64(buf[:], seed)
	binary.LittleEndian.PutUint64(buf[8:], host)
	binary.LittleEndian.PutUint32(buf[16:], bucket)
	h := xxhash.Sum64(buf[:])
	if equal {
		return ^h
	}
	return negLog2(h) / uint64(weight)
}

// negLog2 returns -log2(h/2^64) with 48 fractional bits. It uses integers only: floating-point logarithms may differ in
// the last bit between processor architectures, and the homes of a bucket must not.
func negLog2(h uint64) uint64 {
	const fraction = 48
	if h == 0 {
		h = 1
	}
	zeros := bits.LeadingZeros64(h)
	m := h << zeros // mantissa in [1,2) with 63 fractional bits
	var log uint64  // log2 of the mantissa
	for i := 0; i < fraction; i++ {
		hi, lo := bits.Mul64(m, m)
		log <<= 1
		if hi>>63 != 0 {
			log |= 1
			m = hi
		} else {
			m = hi<<1 | lo>>63
		}
	}
	return uint64(zeros+1)<<fraction - log
}
