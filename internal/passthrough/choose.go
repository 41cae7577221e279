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
	c.buf = r.rank(f, c.buf, func(p *Peer) bool { return usable(p) && !p.Silent() && !r.spares(p) && !avoid(p) })
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

// rankedFirst is how many agents of a service a search visits by rank alone. A flow is placed on one of the candidates
// highest-ranked agents of its service, and few are added or return during its life.
const rankedFirst = 2 * candidates

// Classes of agents in the order of a search. The holder of a flow is nearly always in the first one, or in the second if
// its route has moved to another service. A packet of a lost flow visits all agents: the rest is visited failure domain by
// failure domain, since a hop to another domain takes several milliseconds. An agent that does not answer ends the search.
const (
	classRoute  = iota // highest-ranked of the route's services
	classOthers        // highest-ranked of the other services
	classRest
	classSilent
)

// classify gives each peer its class, in the order of their ranks for the flow.
func (c *chooser) classify(r *Roster, f Flow, route *Route, use func(p *Peer, class int)) {
	c.buf = r.rank(f, c.buf, func(*Peer) bool { return true })
	seen := map[string]int{}
	for _, k := range c.buf {
		p := k.peer
		class := classRest
		switch {
		case p.Silent():
			class = classSilent
		case seen[p.Service] >= rankedFirst:
		case route != nil && route.Allows(p.Service):
			class = classRoute
		default:
			class = classOthers
		}
		seen[p.Service]++
		use(p, class)
	}
}

// next returns the peer to ask for an established flow after the visited ones, or nil.
func (c *chooser) next(r *Roster, f Flow, route *Route, visited []Endpoint) *Peer {
	if len(visited) >= MaxVisited {
		return nil
	}
	seen := visitedSet(visited)
	var best *Peer
	lowest := 0
	c.classify(r, f, route, func(p *Peer, class int) {
		if p.AgeMs >= lostMs || seen(p.Tunnel) {
			return
		}
		at := 2 * class
		if class == classRest && p.Domain != c.domain {
			at++
		}
		if best == nil || at < lowest {
			best, lowest = p, at
		}
	})
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

// order returns all agents in the order in which they are asked: by class and rank.
func (c *chooser) order(r *Roster, f Flow, route *Route) []Endpoint {
	var classes [classSilent + 1][]Endpoint
	c.classify(r, f, route, func(p *Peer, class int) { classes[class] = append(classes[class], p.Tunnel) })
	return slices.Concat(classes[:]...)
}
