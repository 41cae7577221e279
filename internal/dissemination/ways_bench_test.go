package dissemination_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// BenchmarkWays compares, in model time, three ways to bring one change to all nodes: a long poll at the control VMs, a
// tree with one relay per failure domain, and gossip that pushes digests to a few random peers and pulls what is missing
// (the pattern "Lazy Dissemination" of the GOSSIPKIT paper, section 3.2.3). It guards the
// decision in docs/decisions/0007-dissemination.md: the chosen way has to stay below 11 s at the target size.
func BenchmarkWays(b *testing.B) {
	for _, nodes := range []int{10, 64, 770, 6670} {
		m := spread{nodes: nodes, servers: 3, domains: 4}
		if nodes > 100 {
			m.servers, m.domains = 7, 7
		}
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				m.random = rand.New(rand.NewPCG(11, uint64(nodes)))
				direct, tree, gossip := m.mean(m.direct), m.mean(m.tree), m.mean(m.gossip)
				b.ReportMetric(direct.ms, "ms-to-all")
				b.ReportMetric(direct.idle, "B/s/node-idle")
				b.ReportMetric(direct.server, "B/change/server")
				b.ReportMetric(tree.ms, "baseline-tree-ms-to-all")
				b.ReportMetric(tree.idle, "baseline-tree-B/s/node-idle")
				b.ReportMetric(tree.server, "baseline-tree-B/change/server")
				b.ReportMetric(gossip.ms, "baseline-gossip-ms-to-all")
				b.ReportMetric(gossip.idle, "baseline-gossip-B/s/node-idle")
				b.ReportMetric(gossip.server, "baseline-gossip-B/change/server")
				if direct.ms > 11_000 {
					b.Fatalf("a change takes %.0f ms to reach %d nodes", direct.ms, nodes)
				}
			}
		})
	}
}

// Parameters of the model. Sizes and the time per answer are measured by the other benchmarks of this package.
const (
	rounds       = 20    // changes per mean
	betweenMin   = 3.0   // ms one way between failure domains
	betweenMax   = 4.0   // ms
	within       = 0.5   // ms one way within a failure domain
	lossShare    = 0.01  // of messages
	retransmit   = 200.0 // ms until TCP sends a lost segment again
	answerTime   = 0.05  // ms that a server takes for one answer
	deltaBytes   = 394.0 // one change at the target size
	callBytes    = 700.0 // headers of one twirp call and its answer
	pollSeconds  = 10.0  // an idle long poll is renewed this often
	gossipPeriod = 200.0 // ms between digests of one node
	gossipFanout = 3     // peers per period
	digestBytes  = 64.0  // one digest with its UDP and IP headers
	relayDead    = 0.01  // share of changes during which a relay is dead
	relayTimeout = 3_000 // ms until its nodes turn to another one
	millisPerSec = 1000.0
)

type spread struct {
	nodes, servers, domains int
	random                  *rand.Rand
}

// cost is what one change costs: the time until all nodes have it, the traffic of a node without changes, and what one
// control VM sends.
type cost struct{ ms, idle, server float64 }

func (m *spread) mean(way func() cost) cost {
	var sum cost
	for range rounds {
		c := way()
		sum.ms += c.ms / rounds
		sum.idle += c.idle / rounds
		sum.server += c.server / rounds
	}
	return sum
}

// hop returns the delay of one message over TCP.
func (m *spread) hop(low, high float64) float64 {
	d := low + m.random.Float64()*(high-low)
	for m.random.Float64() < lossShare {
		d += retransmit
	}
	return d
}

func (m *spread) direct() cost {
	last := 0.0
	for i := range m.nodes {
		queued := float64(i/m.servers) * answerTime
		last = math.Max(last, queued+m.hop(betweenMin, betweenMax))
	}
	return cost{last, callBytes / pollSeconds, float64(m.nodes) / float64(m.servers) * (deltaBytes + callBytes)}
}

func (m *spread) tree() cost {
	last := 0.0
	perDomain := m.nodes / m.domains
	for range m.domains {
		at := m.hop(betweenMin, betweenMax)
		if m.random.Float64() < relayDead {
			at += relayTimeout
		}
		for i := range perDomain {
			last = math.Max(last, at+float64(i)*answerTime+m.hop(within, within))
		}
	}
	relays := math.Ceil(float64(m.domains) / float64(m.servers))
	return cost{last, callBytes / pollSeconds, relays * (deltaBytes + callBytes)}
}

// gossip gives the change to one node; each node that has it sends its digest to random peers once a period, and a peer
// that lacks it pulls. A lost message waits for the next period, since digests are not sent again.
func (m *spread) gossip() cost {
	has := make([]bool, m.nodes)
	has[0] = true
	informed, elapsed := 1, m.hop(betweenMin, betweenMax)
	for informed < m.nodes {
		next := append([]bool(nil), has...)
		for node := range m.nodes {
			if !has[node] {
				continue
			}
			for range gossipFanout {
				peer := m.random.IntN(m.nodes)
				if !next[peer] && m.random.Float64() >= 3*lossShare { // digest, pull and answer
					next[peer] = true
					informed++
				}
			}
		}
		has = next
		elapsed += gossipPeriod
	}
	elapsed += 3 * betweenMax
	return cost{elapsed, gossipFanout * digestBytes * millisPerSec / gossipPeriod, deltaBytes + callBytes}
}
