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

// slowStore blocks appends while it is held.
type slowStore struct {
	consensus.Store
	hold sync.Mutex
}

func (s *slowStore) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	s.hold.Lock()
	defer s.hold.Unlock()
	return s.Store.Append(hard, entries)
}

// electionTimeouts is how long the slow cases last, in the longest election timeouts of the test clusters.
const electionTimeouts = 3 * 600 * time.Millisecond

// Guards against a disk that answers late and thereby costs the leader its heartbeats.
func TestSlowDiskKeepsLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.propose(nil, 1)
	leader := c.leader(nil)
	term := leader.node.Status().Term
	leader.disk.hold.Lock()
	answer := make(chan error, 1)
	go func() {
		_, err := leader.node.Propose(c.ctx(), add(2))
		answer <- err
	}()
	for _, m := range c.members {
		if m != leader {
			c.g.Eventually(m.machine.total, "20s").Should(Equal(uint64(3)), "the other two commit")
		}
	}
	time.Sleep(electionTimeouts)
	leader.disk.hold.Unlock()
	c.g.Expect(<-answer).To(Succeed())
	c.g.Expect(leader.node.Status().Term).To(Equal(term))
}

// Guards against a state machine that works for long and thereby costs the leader its heartbeats.
func TestSlowStateMachineKeepsLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.propose(nil, 1)
	leader := c.leader(nil)
	term := leader.node.Status().Term
	leader.machine.hold.Lock()
	answer := make(chan error, 1)
	go func() {
		_, err := leader.node.Propose(c.ctx(), add(2))
		answer <- err
	}()
	time.Sleep(electionTimeouts)
	c.g.Expect(leader.node.Status().Term).To(Equal(term))
	leader.machine.hold.Unlock()
	c.g.Expect(<-answer).To(Succeed())
}

// Guards against a repair that loses entries or the quorum when a second VM is lost just afterwards, and against a
// member that missed hundreds of entries and does not catch up.
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

// Guards against a lost disk that starts blank under the settings of the first members.
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
		StateMachine: &counter{}, Transport: port{c.network, fresh.identity.ID},
	})
	c.g.Expect(result.CodeOf(err)).To(Equal(result.StoreIdentity))
	c.g.Expect(l.Close()).To(Succeed())
}

// Guards against a torn record that goes unreported and against a corrupt one that is accepted at the start.
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

// Guards against a follower that accepts a proposal or does not name the leader, against a lost update of the applied
// index, and against a transfer that has no effect.
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
