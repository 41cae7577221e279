package passthrough

import "slices"

// maxCandidates is the number of a flow's highest-ranked peers among which a new flow is placed. Four keep the load
// within a few per cent of a choice among all peers, and a packet of an unknown flow finds its upstream within a few
// hops.
const maxCandidates = 4

// silentAfterMs is the age of an agent's last report from which on the agent counts as silent: five report intervals.
const silentAfterMs = 2000

// lostAfterMs is the age of an agent's last report from which on searches skip the agent: twice silentAfterMs, and
// longer than its process takes to restart. If the agent was only frozen, its flows were silent for as long, and a
// reset serves their callers better.
const lostAfterMs = 4000

// Placement costs in units of one open flow per slot.
const (
	busyCost   = 1.0 // a flow with an unanswered request
	remoteCost = 0.5 // an upstream in another failure domain
	coldFactor = 2.0 // multiplier for an upstream that started recently
)

// loadOf returns the placement cost of a peer. extra is the number of flows that its record does not include yet.
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

// chooser selects upstreams for new flows and the agents that a search visits.
type chooser struct {
	domain string
	buf    []ranked
}

// choose returns the peer for a new flow of the service, or nil. It never returns a peer in tried, and one that is
// silent, failing or accepted by avoid only if there is no other. extra returns the number of flows placed on a peer
// since its record was made.
func (c *chooser) choose(r *Roster, f Flow, service string, tried []Endpoint,
	avoid func(*Peer) bool, extra func(*Peer) float64) *Peer {
	usable := func(p *Peer) bool {
		return p.Service == service && p.Active && !slices.Contains(tried, p.Tunnel)
	}
	c.buf = r.rank(f, c.buf, func(p *Peer) bool { return usable(p) && !p.Silent() && !r.excludes(p) && !avoid(p) })
	if len(c.buf) == 0 {
		c.buf = r.rank(f, c.buf, usable)
	}
	var best *Peer
	var lowest float64
	for i, k := range c.buf {
		if i == maxCandidates {
			break
		}
		load := loadOf(k.peer, extra(k.peer), c.domain)
		if best == nil || load < lowest {
			best, lowest = k.peer, load
		}
	}
	return best
}

// rankedSearchSize is the number of agents of a service that a search visits by rank alone. A flow is placed on one of
// the maxCandidates highest-ranked agents of its service, and few agents join or return during the life of a flow.
const rankedSearchSize = 2 * maxCandidates

// Classes of agents in the order in which a search visits them. The holder of a flow is nearly always in the first class, or
// in the second one if its route has moved to another service. A packet of a lost flow visits all agents: those of classRest
// by failure domain, since a hop to another domain takes several milliseconds, and silent agents last, since an agent that
// does not answer ends the search.
const (
	classRoute  = iota // highest-ranked agents of the services of the route
	classOthers        // highest-ranked agents of other services
	classRest          // other agents that are not silent
	classSilent        // silent agents
)

// classify calls use with each peer and its class, in the order of the peers' ranks for the flow.
func (c *chooser) classify(r *Roster, f Flow, route *Route, use func(p *Peer, class int)) {
	c.buf = r.rank(f, c.buf, func(*Peer) bool { return true })
	seen := map[string]int{}
	for _, k := range c.buf {
		p := k.peer
		class := classRest
		switch {
		case p.Silent():
			class = classSilent
		case seen[p.Service] >= rankedSearchSize:
		case route != nil && route.Allows(p.Service):
			class = classRoute
		default:
			class = classOthers
		}
		seen[p.Service]++
		use(p, class)
	}
}

// next returns the peer of a section that a search for the holder of a flow visits after the visited ones, and its class,
// or nil.
func (c *chooser) next(r *Roster, f Flow, route *Route, visited []Endpoint, section Section) (*Peer, int) {
	if len(visited) >= MaxVisited {
		return nil, 0
	}
	seen := visitedSet(visited)
	if section.Count > 0 {
		return c.nextInSection(r, seen, section), classRest
	}
	var best *Peer
	lowest := 0
	c.classify(r, f, route, func(p *Peer, class int) {
		if p.AgeMs >= lostAfterMs || seen(p.Tunnel) {
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
	return best, lowest / 2
}

// nextInSection returns the peer that a chain of a sweep visits next, or nil: those of the same failure domain first, and
// silent ones last.
func (c *chooser) nextInSection(r *Roster, seen func(Endpoint) bool, section Section) *Peer {
	var best *Peer
	lowest := 0
	for i := range r.Peers {
		p := &r.Peers[i]
		if p.AgeMs >= lostAfterMs || !section.contains(p.Tunnel) || seen(p.Tunnel) {
			continue
		}
		at := 0
		if p.Domain != c.domain {
			at++
		}
		if p.Silent() {
			at += 2
		}
		if best == nil || at < lowest {
			best, lowest = p, at
		}
	}
	return best
}

// visitedMapThreshold is the number of visited agents from which on a map is faster than a list.
const visitedMapThreshold = 32

// visitedSet returns a function that reports whether an agent was visited.
func visitedSet(visited []Endpoint) func(Endpoint) bool {
	if len(visited) < visitedMapThreshold {
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

// order returns all agents in the order of a search: by class, then by rank.
func (c *chooser) order(r *Roster, f Flow, route *Route) []Endpoint {
	var classes [classSilent + 1][]Endpoint
	c.classify(r, f, route, func(p *Peer, class int) { classes[class] = append(classes[class], p.Tunnel) })
	return slices.Concat(classes[:]...)
}
