package node_test

import (
	"bytes"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/consensus/store"
	"github.com/plantainseam/plantainseam/internal/result"
)

// slowStore blocks Append while the test holds block.
type slowStore struct {
	consensus.Store
	block sync.Mutex
}

func (s *slowStore) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	s.block.Lock()
	defer s.block.Unlock()
	return s.Store.Append(hard, entries)
}

// severalElectionTimeouts is the duration of the slow cases: three times the longest election timeout of the test
// clusters.
const severalElectionTimeouts = 3 * 600 * time.Millisecond

// A slow disk must not delay the leader's heartbeats and so cause an election.
func TestSlowDiskKeepsLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.propose(nil, 1)
	leader := c.leader(nil)
	term := leader.node.Status().Term
	leader.disk.block.Lock()
	done := make(chan error, 1)
	go func() {
		_, err := leader.node.Propose(c.ctx(), add(2))
		done <- err
	}()
	for _, m := range c.members {
		if m != leader {
			c.g.Eventually(m.machine.total, "20s").Should(Equal(uint64(3)), "the followers commit without the leader's disk")
		}
	}
	time.Sleep(severalElectionTimeouts)
	leader.disk.block.Unlock()
	c.g.Expect(<-done).To(Succeed())
	c.g.Expect(leader.node.Status().Term).To(Equal(term))
}

// A slow state machine must not delay the leader's heartbeats and so cause an election.
func TestSlowStateMachineKeepsLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.propose(nil, 1)
	leader := c.leader(nil)
	term := leader.node.Status().Term
	leader.machine.block.Lock()
	done := make(chan error, 1)
	go func() {
		_, err := leader.node.Propose(c.ctx(), add(2))
		done <- err
	}()
	time.Sleep(severalElectionTimeouts)
	c.g.Expect(leader.node.Status().Term).To(Equal(term))
	leader.machine.block.Unlock()
	c.g.Expect(<-done).To(Succeed())
}

// Replacing a lost member must lose neither entries nor the quorum when a second VM is lost just afterwards, and a new
// member that lacks hundreds of entries must catch up.
func TestReplaceMemberThenLoseAnother(t *testing.T) {
	c := newCluster(t, 3)
	c.propose(nil, 1)
	leader := c.leader(nil)
	lost := c.members[0]
	if lost == leader {
		lost = c.members[1]
	}
	c.stop(lost)
	for range 300 {
		c.propose(nil, 1)
	}
	leader = c.leader(nil)

	fresh := c.create(t, "control-4")
	c.members = append(c.members, fresh)
	c.start(fresh)
	id := fresh.identity.ID
	c.g.Expect(leader.node.ChangeMember(c.ctx(), consensus.Change{Kind: consensus.AddLearner, ID: id, Name: "control-4"})).To(Succeed())
	c.g.Eventually(fresh.machine.total, "20s").Should(Equal(uint64(301)))
	c.g.Expect(leader.node.ChangeMember(c.ctx(), consensus.Change{Kind: consensus.Remove, ID: lost.identity.ID})).To(Succeed())
	c.g.Expect(leader.node.ChangeMember(c.ctx(), consensus.Change{Kind: consensus.Promote, ID: id})).To(Succeed())

	c.stop(leader)
	c.propose(leader, 1)
	c.g.Expect(fresh.node.Read(c.ctx())).To(Succeed())
	c.g.Expect(fresh.machine.total()).To(Equal(uint64(302)))
}

// A member whose disk was lost must not bootstrap a blank store from the settings of the initial members.
func TestBlankDirectoryIsNotBootstrapped(t *testing.T) {
	c := newCluster(t, 1)
	fresh := c.create(t, "control-1")
	dir, err := store.Open(fresh.path, fresh.identity.ID)
	c.g.Expect(err).NotTo(HaveOccurred())
	defer dir.Close()
	l, err := dir.Log(testLog)
	c.g.Expect(err).NotTo(HaveOccurred())
	_, err = node.Start(node.Config{
		Log: testLog, Consensus: consensus.Config{ID: fresh.identity.ID}, Bootstrap: c.first, Store: l,
		StateMachine: &counter{}, Transport: memoryTransport{c.network, fresh.identity.ID},
	})
	c.g.Expect(result.CodeOf(err)).To(Equal(result.StoreIdentity))
	c.g.Expect(l.Close()).To(Succeed())
}

// At the start, a torn record must be reported and a corrupt one must be refused.
func TestDamagedLogAtStart(t *testing.T) {
	c := newCluster(t, 1)
	m := c.members[0]
	c.propose(nil, 1)
	c.stop(m)
	files, err := filepath.Glob(filepath.Join(m.path, testLog, "*.log"))
	c.g.Expect(err).NotTo(HaveOccurred())
	path := files[len(files)-1]
	data, err := os.ReadFile(path)
	c.g.Expect(err).NotTo(HaveOccurred())

	c.g.Expect(os.WriteFile(path, data[:len(data)-1], 0o600)).To(Succeed())
	var text bytes.Buffer
	c.logger = log.NewLogfmtLogger(log.NewSyncWriter(&text))
	c.start(m)
	c.stop(m)
	c.g.Expect(text.String()).To(ContainSubstring("event=torn_record_dropped code=4102"))

	data[len(data)-1] ^= 1
	c.g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	c.g.Expect(result.CodeOf(c.tryStart(m))).To(Equal(result.StoreCorrupt))
}

// A follower must refuse proposals and name the leader, subscribers must receive updates of the applied index, and a
// leadership transfer must take effect.
func TestLeaderNameTransferAndUpdates(t *testing.T) {
	c := newCluster(t, 3)
	c.propose(nil, 1)
	leader := c.leader(nil)
	follower := c.members[0]
	if follower == leader {
		follower = c.members[1]
	}
	c.g.Eventually(func() string { m, _ := follower.node.Leader(); return m.Name }, "20s").Should(Equal(leader.identity.Name))
	_, err := follower.node.Propose(c.ctx(), add(1))
	c.g.Expect(err).To(MatchError(ContainSubstring(leader.identity.Name)))

	updates, end := follower.node.Subscribe()
	defer end()
	c.g.Expect(leader.node.TransferLeadership(c.ctx(), follower.identity.ID)).To(Succeed())
	for u := range updates {
		if u.Role == consensus.Leader {
			break
		}
	}
	before := follower.node.Status().Applied
	c.propose(nil, 1)
	for u := range updates {
		if u.Applied > before {
			break
		}
	}
}
