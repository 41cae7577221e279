package routing

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/model"
)

// serviceTable holds the homes of one service. They are stored as indexes of 2 bytes, because host names would need 16
// bytes per bucket, 4.5 MB for 1,100 services.
type serviceTable struct {
	seed    uint64
	members []model.Member
	weights []int // slots of each member

	hasHome bool
	homes   [Buckets]uint16 // index into members, valid if hasHome
}

// home returns the home of a bucket. The table must have homes.
func (t *serviceTable) home(bucket uint32) model.HostID {
	return t.members[t.homes[bucket%Buckets]].Host
}

// matches reports whether the table was built from the same inputs.
func (t *serviceTable) matches(svc *model.Service, weights []int) bool {
	return t.seed == svc.Seed && slices.Equal(t.members, svc.Members) && slices.Equal(t.weights, weights)
}

// memberWeights returns the slots of each member. A change of slots moves homes, so the catalog must give the service a
// new generation when slots change. A member that has not announced itself counts as one slot.
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

// rank builds the table of one service. The home of a bucket is the eligible member with the lowest cost. Of equal
// costs the lower host name wins, so that every process derives the same home.
func rank(svc *model.Service, weights []int) *serviceTable {
	t := &serviceTable{seed: svc.Seed, members: svc.Members, weights: weights}
	members := eligible(svc.Members)
	if len(members) == 0 {
		return t
	}
	t.hasHome = true
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(string(svc.Members[m].Host))
	}
	// The form of the cost depends on the weights of all members, not only of the eligible ones. Otherwise a state
	// change of one member could switch the form, and costs that tie in only one form could move a bucket between
	// other hosts.
	equal := equalWeights(weights)
	for b := range t.homes {
		var home int
		var lowest uint64
		for i, m := range members {
			c := cost(svc.Seed, hashes[i], uint32(b), weights[m], equal)
			if i == 0 || c < lowest || c == lowest && svc.Members[m].Host < svc.Members[home].Host {
				home, lowest = m, c
			}
		}
		t.homes[b] = uint16(home)
	}
	return t
}

// eligible returns the indexes of the members that may be homes: the active ones or, if there are none, the draining
// ones.
func eligible(members []model.Member) []int {
	for _, state := range []model.UpstreamState{model.UpstreamActive, model.UpstreamDraining} {
		var found []int
		for i, m := range members {
			if m.State == state {
				found = append(found, i)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return nil
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
// the last bit between processor architectures, but the home of a bucket must be the same on all of them.
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
