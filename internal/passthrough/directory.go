package passthrough

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The directory tells which agent holds a flow, so that an entry that does not know the holder needs two hops in place of
// a search, however many agents there are. It is spread over the agents: each flow has directoryCopies directory nodes,
// chosen by rendezvous hashing of the flow's bucket among the agents that report. Holders register their flows with them,
// again when the nodes change, and repeat that now and then. The directory is a hint: a packet that reaches the wrong
// agent is searched for as before, and no flow is reset because the directory does not list it.
const (
	// directoryCopies is the number of directory nodes of a flow: one may be lost or restart at any time.
	directoryCopies = 2
	// directoryBuckets bounds the work after a change of the agents: nodes are chosen once per bucket and not per flow.
	directoryBuckets = 4096
	// directorySeed makes the choice of directory nodes independent of the ranks by which flows are placed.
	directorySeed = 0x53
	// registerAfterMs is the age of a flow at its registration. Most flows with a single request end earlier, and a
	// younger flow is found by rank.
	registerAfterMs = 200
	// registrationRefreshMs is the interval of repeated registrations. They reach directory nodes that have restarted
	// in between without leaving the roster, and make up for lost ones.
	registrationRefreshMs = 10_000
	// registrationTTLMs is how long a directory node keeps a registration that is not repeated: the agent of the holder
	// may have restarted and not have seen a packet of the flow since.
	registrationTTLMs = 3 * registrationRefreshMs
	// maxDirectoryFlows bounds the flows that a directory node knows: 100,000 take about 8 MB.
	maxDirectoryFlows = 100_000
	// maxRegistrationFlows is the number of flows in one Registration, which then fits into one packet of the network.
	maxRegistrationFlows = 96
)

// directoryNodes is the pair of directory nodes of a bucket, highest rank first. The second one is zero if there is only
// one agent.
type directoryNodes [directoryCopies]Endpoint

// directoryMap chooses the directory nodes of flows by a roster.
type directoryMap struct {
	members []Endpoint
	digest  uint64
	chosen  map[uint16]directoryNodes // by bucket; filled on demand
}

// last returns the index of the last node, or -1 if there is none.
func (n directoryNodes) last() int {
	for i, e := range n {
		if e == (Endpoint{}) {
			return i - 1
		}
	}
	return len(n) - 1
}

// update replaces the members by the reporting agents of the roster. It reports whether they have changed.
func (m *directoryMap) update(r *Roster) bool {
	var digest uint64
	count := 0
	for i := range r.Peers {
		if p := &r.Peers[i]; p.keepsDirectory() {
			digest += memberHash(0, p.Tunnel)
			count++
		}
	}
	if digest == m.digest && count == len(m.members) {
		return false
	}
	m.members = make([]Endpoint, 0, count)
	for i := range r.Peers {
		if p := &r.Peers[i]; p.keepsDirectory() {
			m.members = append(m.members, p.Tunnel)
		}
	}
	m.digest, m.chosen = digest, make(map[uint16]directoryNodes)
	return true
}

// keepsDirectory reports whether the agent may be a directory node.
func (p *Peer) keepsDirectory() bool { return !p.Leaving && !p.Silent() }

// nodes returns the directory nodes of a flow.
func (m *directoryMap) nodes(f Flow) directoryNodes {
	bucket := uint16(flowHash(f, directorySeed) % directoryBuckets)
	if n, ok := m.chosen[bucket]; ok {
		return n
	}
	var best directoryNodes
	var hashes [directoryCopies]uint64
	for _, e := range m.members {
		h := memberHash(bucket, e)
		for i := range best {
			if best[i] == (Endpoint{}) || h > hashes[i] {
				copy(best[i+1:], best[i:])
				copy(hashes[i+1:], hashes[i:])
				best[i], hashes[i] = e, h
				break
			}
		}
	}
	if m.chosen != nil {
		m.chosen[bucket] = best
	}
	return best
}

// memberHash returns the weight of an agent for a bucket.
func memberHash(bucket uint16, e Endpoint) uint64 {
	var b [2 + endpointSize]byte
	binary.BigEndian.PutUint16(b[:], bucket)
	putEndpoint(b[2:], e)
	return xxhash.Sum64(b[:])
}

// FlowLocated notifies an entry which agent holds a flow according to the directory.
type FlowLocated struct {
	Flow   Flow
	Holder Endpoint // zero if the flow is not listed; agents search for it then
}

// Registration notifies a directory node of flows that the sending agent's upstream holds.
type Registration struct {
	Node  Endpoint
	Flows []Flow
}

// located is a directory node's knowledge of a flow.
type located struct {
	holder       Endpoint
	registeredMs int64
}

// directory is the part of the directory that an agent keeps.
type directory struct {
	flows map[Flow]located
}

// register records the holder of a flow.
func (d *directory) register(now int64, f Flow, holder Endpoint) {
	if d.flows == nil {
		d.flows = make(map[Flow]located)
	}
	if _, known := d.flows[f]; !known && len(d.flows) >= maxDirectoryFlows {
		return
	}
	d.flows[f] = located{holder: holder, registeredMs: now}
}

// remove removes a flow if the agent is still listed as its holder.
func (d *directory) remove(f Flow, holder Endpoint) {
	if l, ok := d.flows[f]; ok && l.holder == holder {
		delete(d.flows, f)
	}
}

// expire removes registrations that have not been repeated.
func (d *directory) expire(now int64) {
	for f, l := range d.flows {
		if now-l.registeredMs > registrationTTLMs {
			delete(d.flows, f)
		}
	}
}

// HandleRegistration processes a Registration of another agent.
func (a *Agent) HandleRegistration(now int64, from Endpoint, flows []Flow) {
	for _, f := range flows {
		a.directory.register(now, f, from)
	}
}

// HandleFlowNotHeld processes an agent's message that its upstream does not hold a flow.
func (a *Agent) HandleFlowNotHeld(from Endpoint, f Flow) { a.directory.remove(f, from) }

// Registrations returns the flows to register with other agents: those that were not registered with the present
// directory nodes, or not for a while. It must be called every few hundred milliseconds.
func (a *Agent) Registrations(now int64) []Registration {
	byNode := map[Endpoint][]Flow{}
	for k, f := range a.flows {
		if !f.counts() || f.halfOpen || now-f.heldMs < registerAfterMs {
			continue
		}
		nodes := a.directoryMap.nodes(k)
		if f.registeredWith == nodes && now-f.registeredMs < registrationRefreshMs {
			continue
		}
		f.registeredWith, f.registeredMs = nodes, now
		for _, n := range nodes {
			switch n {
			case Endpoint{}:
			case a.Self:
				a.directory.register(now, k, a.Self)
			default:
				byNode[n] = append(byNode[n], k)
			}
		}
	}
	var out []Registration
	for node, flows := range byNode {
		for part := range slices.Chunk(flows, maxRegistrationFlows) {
			out = append(out, Registration{Node: node, Flows: part})
		}
	}
	slices.SortFunc(out, func(a, b Registration) int { return compareEndpoints(a.Node, b.Node) })
	return out
}

func compareEndpoints(a, b Endpoint) int {
	return cmp.Or(slices.Compare(a.IP[:], b.IP[:]), cmp.Compare(a.Port, b.Port))
}

// locate forwards a packet to the holder of its flow if the directory lists it. Agents that the packet has visited are
// not asked again.
func (a *Agent) locate(now int64, s Segment, h Forward) (Decision, bool) {
	l, ok := a.directory.flows[s.Flow]
	if !ok || now-l.registeredMs > registrationTTLMs || l.holder == a.Self || slices.Contains(h.Visited, l.holder) ||
		a.roster.Find(l.holder) == nil {
		return Decision{}, false
	}
	next := Forward{Entry: h.Entry, Version: h.Version, Inconclusive: h.Inconclusive, Located: true, Visited: h.Visited}
	return Decision{
		Verdict: ToPeer, Reason: ReasonLocated, Peer: l.holder, Forward: next,
		FlowLocated: &FlowLocated{Flow: s.Flow, Holder: l.holder}, NotifyEntry: h.Entry,
	}, true
}

// denyFlow adds to a decision the notice that the upstream does not hold a flow, for the entry that expected it here and
// for the directory nodes that may have named this agent.
func (a *Agent) denyFlow(d *Decision, f Flow, h Forward) {
	d.FlowNotHeld, d.NotifyEntry = true, h.Entry
	a.directory.remove(f, a.Self)
	if h.Located {
		d.NotifyNodes = a.directoryMap.nodes(f)
	}
}

// nextDirectoryNode returns the directory node of a flow that follows those that the packet has visited, or a zero
// Endpoint.
func (a *Agent) nextDirectoryNode(f Flow, visited []Endpoint) Endpoint {
	for _, n := range a.directoryMap.nodes(f) {
		if n != (Endpoint{}) && !slices.Contains(visited, n) {
			return n
		}
	}
	return Endpoint{}
}
