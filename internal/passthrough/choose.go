package passthrough

import "slices"

// candidates is how many of a flow's highest-ranked peers a new flow may be placed on. Four keep the balance within a few
// per cent of the least loaded choice and let a packet of an unknown flow find its upstream in a few hops.
const candidates = 4

// freshMs is the age in milliseconds up to which a peer is taken for alive: five report intervals.
const freshMs = 2000

// lostMs is the silence from which on an agent is not asked for flows any more: twice as long as it takes to exclude it from
// new ones, and longer than its process needs to restart. If it only was frozen, its flows were silent as long, and their
// callers are better off with a reset.
const lostMs = 4000

// Costs of a placement, in units of one open flow per slot.
const (
	busyCost   = 1.0 // a flow whose request is being worked on
	remoteCost = 0.5 // an upstream in another failure domain
	coldFactor = 2.0 // load of an upstream that has just started
)

// loadOf returns the placement cost of a peer with extra flows that its record does not show yet.
func loadOf(p *Peer, extra float64, domain string) float64 {
	slots := float64(max(p.Slots, 1))
	load := (float64(p.Flows) + extra + busyCost*float64(p.Busy)) / slots
	if p.Cold {
		load *= coldFactor
	}
	if p.Domain != domain {
		load += remoteCost
	}
	return load
}

// chooser picks upstreams for new flows.
type chooser struct {
	domain string
	buf    []ranked
}

// choose returns the peer for a new flow of the service, or nil. Peers in tried are left out. avoid tells which peers
// are not answering, and extra how many flows were placed on a peer since its record was made.
func (c *chooser) choose(r *Roster, f Flow, service string, tried []Endpoint,
	avoid func(*Peer) bool, extra func(*Peer) float64) *Peer {
	usable := func(p *Peer) bool {
		return p.Service == service && p.Active && !slices.Contains(tried, p.Tunnel)
	}
	c.buf = r.rank(f, c.buf, func(p *Peer) bool { return usable(p) && p.AgeMs < freshMs && !avoid(p) })
	if len(c.buf) == 0 {
		c.buf = r.rank(f, c.buf, usable)
	}
	var best *Peer
	var lowest float64
	for i, k := range c.buf {
		if i == candidates {
			break
		}
		load := loadOf(k.peer, extra(k.peer), c.domain)
		if best == nil || load < lowest {
			best, lowest = k.peer, load
		}
	}
	return best
}

// place is the position of a peer in the order of a search: agents that were heard lately come first, since one that does
// not answer ends the search, and among them those of the route's services, since only a flow that was opened under an
// older declaration is elsewhere.
func place(p *Peer, route *Route) int {
	at := 0
	if p.AgeMs >= freshMs {
		at += 2
	}
	if route == nil || !route.Allows(p.Service) {
		at++
	}
	return at
}

// rankedFirst is how many agents a search visits by rank alone. A flow is placed on one of the candidates highest-ranked
// agents, and few are added or return during its life. The rest is visited failure domain by failure domain: a packet of a
// flow that is lost visits all agents, and a hop to another domain takes several milliseconds.
const rankedFirst = 2 * candidates

// next returns the peer to ask for an established flow after the visited ones, or nil.
func (c *chooser) next(r *Roster, f Flow, route *Route, visited []Endpoint) *Peer {
	if len(visited) >= MaxVisited {
		return nil
	}
	nearFirst := len(visited) >= rankedFirst
	seen := visitedSet(visited)
	var best *Peer
	var bestHash uint64
	bestPlace := 0
	for i := range r.Peers {
		p := &r.Peers[i]
		if p.AgeMs >= lostMs || seen(p.Tunnel) {
			continue
		}
		at, hash := 2*place(p, route), rankHash(f, p.Tunnel)
		if nearFirst && p.Domain != c.domain {
			at++
		}
		if best == nil || at < bestPlace || at == bestPlace && hash > bestHash {
			best, bestHash, bestPlace = p, hash, at
		}
	}
	return best
}

// mapFrom is the number of visited agents from which on a map is faster than a list.
const mapFrom = 32

// visitedSet returns a function that reports whether an agent was visited.
func visitedSet(visited []Endpoint) func(Endpoint) bool {
	if len(visited) < mapFrom {
		return func(e Endpoint) bool { return slices.Contains(visited, e) }
	}
	set := make(map[Endpoint]struct{}, len(visited))
	for _, v := range visited {
		set[v] = struct{}{}
	}
	return func(e Endpoint) bool {
		_, ok := set[e]
		return ok
	}
}

// order returns all agents in the order in which next visits them.
func (c *chooser) order(r *Roster, f Flow, route *Route) []Endpoint {
	out := make([]Endpoint, 0, len(r.Peers))
	for at := range 4 {
		c.buf = r.rank(f, c.buf, func(p *Peer) bool { return place(p, route) == at })
		for _, k := range c.buf {
			out = append(out, k.peer.Tunnel)
		}
	}
	return out
}
