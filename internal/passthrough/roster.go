package passthrough

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is an agent as the roster knows it.
type Peer struct {
	Tunnel  Endpoint
	Domain  string // failure domain
	Service string
	Active  bool // its upstream takes new flows
	Slots   uint32
	Flows   uint32
	Busy    uint32
	Cold    bool
	AgeMs   int64 // since it was heard, as of the time of the roster
}

// Silent reports whether the agent has not been heard for so long that it gets no new flow while others can take it.
func (p *Peer) Silent() bool { return p.AgeMs >= freshMs }

// Roster is an immutable view of all agents.
type Roster struct {
	Peers   []Peer
	Settled bool // every live agent is in it
	Quiet   bool // no agent was added lately
	index   map[Endpoint]int
}

// NewRoster returns a roster of the peers.
func NewRoster(peers []Peer, settled bool) *Roster {
	r := &Roster{Peers: peers, Settled: settled, Quiet: settled, index: make(map[Endpoint]int, len(peers))}
	for i, p := range peers {
		r.index[p.Tunnel] = i
	}
	return r
}

// Find returns the peer with the tunnel address, or nil.
func (r *Roster) Find(tunnel Endpoint) *Peer {
	if i, ok := r.index[tunnel]; ok {
		return &r.Peers[i]
	}
	return nil
}

// Seeds of the flow hashes. The hash that splits a route must not be related to the one that ranks peers.
const (
	splitSeed = 0x51
	rankSeed  = 0x52
)

func flowHash(f Flow, seed byte) uint64 {
	var b [19]byte
	putFlow(b[:], f)
	b[12] = seed
	return xxhash.Sum64(b[:13])
}

// rankHash orders peers for a flow (rendezvous hashing).
func rankHash(f Flow, peer Endpoint) uint64 {
	var b [19]byte
	putFlow(b[:], f)
	b[12] = rankSeed
	copy(b[13:], peer.IP[:])
	binary.BigEndian.PutUint16(b[17:], peer.Port)
	return xxhash.Sum64(b[:])
}

// ranked is a peer with its rank for one flow.
type ranked struct {
	peer *Peer
	hash uint64
}

// rank returns the peers that keep accepts, highest hash first.
func (r *Roster) rank(f Flow, buf []ranked, keep func(*Peer) bool) []ranked {
	buf = buf[:0]
	for i := range r.Peers {
		p := &r.Peers[i]
		if keep(p) {
			buf = append(buf, ranked{p, rankHash(f, p.Tunnel)})
		}
	}
	slices.SortFunc(buf, func(a, b ranked) int {
		switch {
		case a.hash > b.hash:
			return -1
		case a.hash < b.hash:
			return 1
		}
		return 0
	})
	return buf
}
