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
	Failing bool // requests to its upstream fail
	Leaving bool // its process has said that it stops
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
	failing map[string]serviceHealth // of services with failing upstreams
}

// serviceHealth counts the upstreams of a service that take new flows.
type serviceHealth struct{ active, failing int }

// NewRoster returns a roster of the peers.
func NewRoster(peers []Peer, settled bool) *Roster {
	r := &Roster{Peers: peers, Settled: settled, Quiet: settled, index: make(map[Endpoint]int, len(peers))}
	for i, p := range peers {
		r.index[p.Tunnel] = i
	}
	r.countFailing()
	return r
}

func (r *Roster) countFailing() {
	for _, p := range r.Peers {
		if !p.Active || !p.Failing || p.Silent() {
			continue
		}
		if r.failing == nil {
			r.failing = map[string]serviceHealth{}
		}
		h := r.failing[p.Service]
		h.failing++
		r.failing[p.Service] = h
	}
	if r.failing == nil {
		return
	}
	for _, p := range r.Peers {
		if h, ok := r.failing[p.Service]; ok && p.Active && !p.Silent() {
			h.active++
			r.failing[p.Service] = h
		}
	}
}

// spares reports whether a peer gets no new flow because its upstream fails.
func (r *Roster) spares(p *Peer) bool {
	h := r.failing[p.Service]
	return p.Failing && float64(h.failing) <= mostFailingShare*float64(h.active)
}

// manyFail reports whether too many upstreams of a service fail for the one beside self to be passed over.
func (r *Roster) manyFail(self Endpoint, service string) bool {
	h := serviceHealth{failing: 1}
	for i := range r.Peers {
		p := &r.Peers[i]
		if p.Service != service || !p.Active || p.Silent() {
			continue
		}
		h.active++
		if p.Failing && p.Tunnel != self {
			h.failing++
		}
	}
	return float64(h.failing) > mostFailingShare*float64(h.active)
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
