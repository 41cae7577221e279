package passthrough

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is a roster's record of an agent.
type Peer struct {
	Tunnel  Endpoint
	Domain  string // failure domain
	Service string
	Active  bool // its upstream accepts new flows
	Failing bool // its upstream is failing
	Leaving bool // its process announced that it is stopping
	Slots   uint32
	Flows   uint32
	Busy    uint32 // flows with an unanswered request
	Cold    bool   // its upstream started recently
	AgeMs   int64  // age of its last report when the roster was made
}

// Silent reports whether the agent's last report is so old that the agent receives no new flow while others can take
// it.
func (p *Peer) Silent() bool { return p.AgeMs >= silentAfterMs }

// MaxWholeRosterMs is the age from which on a roster may lack agents that have started since: three intervals of 400 ms, those of
// reports, of exchanges between control VMs and of fetches of rosters.
const MaxWholeRosterMs = 1200

// Roster is an immutable view of all agents.
type Roster struct {
	Peers   []Peer
	Settled bool // contained every live agent when it arrived
	Quiet   bool // no agent was added recently
	index   map[Endpoint]int
	failing map[string]serviceHealth // services with failing upstreams
}

// serviceHealth counts the upstreams of a service that accept new flows, and the failing ones among them.
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

// Whole reports whether the roster, which arrived the given time ago, contains every live agent. Only then may a process conclude
// that a flow is held nowhere, after all of them have returned its packet.
func (r *Roster) Whole(ageMs int64) bool { return r.Settled && ageMs < MaxWholeRosterMs }

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

// excludes reports whether a peer receives no new flow because its upstream is failing.
func (r *Roster) excludes(p *Peer) bool {
	h := r.failing[p.Service]
	return p.Failing && float64(h.failing) <= maxFailingShare*float64(h.active)
}

// tooManyFailing reports whether too many upstreams of a service fail to exclude the one of the agent self.
func (r *Roster) tooManyFailing(self Endpoint, service string) bool {
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
	return float64(h.failing) > maxFailingShare*float64(h.active)
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

// rankHash returns the weight of a peer for a flow (rendezvous hashing).
func rankHash(f Flow, peer Endpoint) uint64 {
	var b [19]byte
	putFlow(b[:], f)
	b[12] = rankSeed
	copy(b[13:], peer.IP[:])
	binary.BigEndian.PutUint16(b[17:], peer.Port)
	return xxhash.Sum64(b[:])
}

// ranked is a peer with its rendezvous hash for one flow.
type ranked struct {
	peer *Peer
	hash uint64
}

// rank returns the peers for which keep returns true, highest hash first.
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
