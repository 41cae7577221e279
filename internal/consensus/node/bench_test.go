package node_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/consensus/store"
)

const (
	benchMembers   = 3
	benchProposers = 256
	benchPhase     = 5 * time.Second // duration of a measurement
	benchCommand   = 128             // bytes
	benchRounds    = 15              // leader losses per measurement
)

// benchNode is a member with the default settings, a loopback port and its own data directory.
type benchNode struct {
	server *server
	node   *node.Node
	close  func()
}

// discard is a state machine that ignores all commands.
type discard struct{}

func (discard) Apply(uint64, time.Time, []byte) []byte { return nil }
func (discard) Snapshot() ([]byte, error)              { return nil, nil }
func (discard) Restore([]byte) error                   { return nil }

// benchCluster starts a cluster whose members are connected by twirp over loopback.
func benchCluster(b *testing.B) []*benchNode {
	g := NewWithT(b)
	var first []consensus.Member
	var servers []*server
	var paths []string
	for i := range benchMembers {
		path := filepath.Join(b.TempDir(), "data")
		identity, err := store.Create(path, fmt.Sprintf("control-%d", i+1), testLog)
		g.Expect(err).NotTo(HaveOccurred())
		s := serve(b, identity.ID, "127.0.0.1:0", 0)
		first = append(first, consensus.Member{ID: identity.ID, Name: identity.Name, Address: s.address})
		servers, paths = append(servers, s), append(paths, path)
	}
	var nodes []*benchNode
	for i, s := range servers {
		nodes = append(nodes, startBenchNode(b, s, paths[i], first, i))
	}
	return nodes
}

func startBenchNode(b *testing.B, s *server, path string, first []consensus.Member, i int) *benchNode {
	g := NewWithT(b)
	dir, err := store.Open(path, first[i].ID)
	g.Expect(err).NotTo(HaveOccurred())
	l, err := dir.Log(testLog)
	g.Expect(err).NotTo(HaveOccurred())
	n, err := node.Start(node.Config{
		Log: testLog, Consensus: consensus.Config{ID: first[i].ID, Seed: 1}, Bootstrap: first,
		Store: l, StateMachine: discard{}, Transport: s.transport,
	})
	g.Expect(err).NotTo(HaveOccurred())
	var once sync.Once
	stop := func() {
		once.Do(func() {
			s.stop()
			n.Stop()
			_ = dir.Close()
		})
	}
	b.Cleanup(stop)
	return &benchNode{server: s, node: n, close: stop}
}

// benchLeader returns the first member that leads and commits a command, or nil after 20 s.
func benchLeader(nodes []*benchNode) *benchNode {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for _, n := range nodes {
			if n.node.Status().Role != consensus.Leader {
				continue
			}
			if _, err := n.node.Propose(ctx, make([]byte, benchCommand)); err == nil {
				return n
			}
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// syncRate returns the rate of synced appends of one command to a single file, in syncs per second.
func syncRate(b *testing.B) float64 {
	f, err := os.Create(filepath.Join(b.TempDir(), "baseline"))
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	n := 0
	start := time.Now()
	for time.Since(start) < benchPhase/2 {
		_, _ = f.Write(make([]byte, benchCommand))
		_ = f.Sync()
		n++
	}
	return float64(n) / time.Since(start).Seconds()
}

// BenchmarkCommit measures the commit rate of three members over loopback twirp, with each commit synced by a quorum.
func BenchmarkCommit(b *testing.B) {
	for range b.N {
		baseline := syncRate(b)
		nodes := benchCluster(b)
		leader := benchLeader(nodes)
		var commits atomic.Int64
		var group sync.WaitGroup
		start := time.Now()
		for range benchProposers {
			group.Add(1)
			go func() {
				defer group.Done()
				for time.Since(start) < benchPhase {
					if _, err := leader.node.Propose(context.Background(), make([]byte, benchCommand)); err == nil {
						commits.Add(1)
					}
				}
			}()
		}
		group.Wait()
		rate := float64(commits.Load()) / time.Since(start).Seconds()
		b.ReportMetric(rate, "commits/s")
		b.ReportMetric(baseline, "baseline-syncs/s")
		b.ReportMetric(rate/baseline, "ratio-to-fsync")
		b.ReportMetric(serialRate(leader), "serial-commits/s")
	}
}

// serialRate returns the rate of one proposer, the inverse of the latency of a commit.
func serialRate(leader *benchNode) float64 {
	start := time.Now()
	n := 0
	for time.Since(start) < benchPhase/2 {
		if _, err := leader.node.Propose(context.Background(), make([]byte, benchCommand)); err == nil {
			n++
		}
	}
	return float64(n) / time.Since(start).Seconds()
}

// BenchmarkLeaderLoss measures the time from the stop of the leader to the next commit, with the default timeouts.
func BenchmarkLeaderLoss(b *testing.B) {
	for range b.N {
		var times []float64
		for range benchRounds {
			times = append(times, leaderLoss(b))
		}
		sort.Float64s(times)
		b.ReportMetric(times[len(times)/2], "ms-to-writable")
		b.ReportMetric(times[len(times)-1], "max-ms-to-writable")
	}
}

func leaderLoss(b *testing.B) float64 {
	nodes := benchCluster(b)
	leader := benchLeader(nodes)
	var rest []*benchNode
	for _, n := range nodes {
		if n != leader {
			rest = append(rest, n)
		}
	}
	leader.server.stop() // the others receive no more messages
	start := time.Now()
	if benchLeader(rest) == nil {
		b.Fatal("no leader")
	}
	elapsed := time.Since(start)
	for _, n := range nodes {
		n.close()
	}
	return float64(elapsed.Milliseconds())
}

// BenchmarkRead measures the rate of quorum-confirmed reads on the leader and on a follower.
func BenchmarkRead(b *testing.B) {
	for range b.N {
		nodes := benchCluster(b)
		leader := benchLeader(nodes)
		follower := nodes[0]
		if follower == leader {
			follower = nodes[1]
		}
		b.ReportMetric(readRate(leader, benchProposers), "leader-reads/s")
		b.ReportMetric(readRate(leader, 1), "leader-serial-reads/s")
		b.ReportMetric(readRate(follower, benchProposers), "follower-reads/s")
		b.ReportMetric(readRate(follower, 1), "follower-serial-reads/s")
	}
}

func readRate(n *benchNode, readers int) float64 {
	var reads atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	for range readers {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(start) < benchPhase/2 {
				if n.node.Read(context.Background()) == nil {
					reads.Add(1)
				}
			}
		}()
	}
	group.Wait()
	return float64(reads.Load()) / time.Since(start).Seconds()
}
