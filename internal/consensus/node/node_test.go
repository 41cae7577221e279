package node_test

import (
	"context"
	"encoding/binary"
	"fmt"
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

// network connects the members of a test in memory. It drops messages to and from isolated members.
type network struct {
	mu       sync.Mutex
	handlers map[consensus.MemberID]map[string]node.Handler
	isolated map[consensus.MemberID]bool
}

func newNetwork() *network {
	return &network{handlers: map[consensus.MemberID]map[string]node.Handler{}, isolated: map[consensus.MemberID]bool{}}
}

func (n *network) isolate(id consensus.MemberID, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = on
}

// memoryTransport is the Transport of one member of a network.
type memoryTransport struct {
	network *network
	id      consensus.MemberID
}

func (t memoryTransport) Register(log string, h node.Handler) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if t.network.handlers[t.id] == nil {
		t.network.handlers[t.id] = map[string]node.Handler{}
	}
	t.network.handlers[t.id][log] = h
}

func (t memoryTransport) Send(log string, to consensus.Member, messages []consensus.Message) {
	t.network.mu.Lock()
	h := t.network.handlers[to.ID][log]
	lost := t.network.isolated[to.ID] || t.network.isolated[t.id]
	t.network.mu.Unlock()
	if h == nil || lost {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // drops the messages if the inbox is full
	_ = h(ctx, messages)
}

// counter is a state machine that adds numbers. Apply blocks while the test holds block.
type counter struct {
	block sync.Mutex
	mu    sync.Mutex
	sum   uint64
	count uint64
}

func (c *counter) Apply(_ uint64, _ time.Time, command []byte) []byte {
	c.block.Lock()
	defer c.block.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum += binary.BigEndian.Uint64(command)
	c.count++
	return binary.BigEndian.AppendUint64(nil, c.sum)
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.sum), c.count), nil
}

func (c *counter) Restore(data []byte) error {
	if len(data) != 16 {
		return fmt.Errorf("snapshot of %d bytes", len(data))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum, c.count = binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	return nil
}

func (c *counter) total() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum
}

func add(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// member is a member of a cluster with its data directory.
type member struct {
	path     string
	identity store.Identity
	dir      *store.Directory
	disk     *slowStore
	machine  *counter
	node     *node.Node
}

type cluster struct {
	g       *WithT
	network *network
	members []*member
	first   []consensus.Member
	logger  log.Logger
}

const testLog = "catalog"

func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{g: NewWithT(t), network: newNetwork()}
	for i := range size {
		m := c.create(t, fmt.Sprintf("control-%d", i+1))
		c.first = append(c.first, consensus.Member{ID: m.identity.ID, Name: m.identity.Name})
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		c.start(m)
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
	})
	return c
}

func (c *cluster) create(t *testing.T, name string) *member {
	m := &member{path: t.TempDir()}
	var err error
	m.identity, err = store.Create(m.path, name, testLog)
	c.g.Expect(err).NotTo(HaveOccurred())
	return m
}

func (c *cluster) start(m *member) { c.g.Expect(c.tryStart(m)).To(Succeed()) }

func (c *cluster) tryStart(m *member) error {
	var err error
	m.dir, err = store.Open(m.path, m.identity.ID)
	c.g.Expect(err).NotTo(HaveOccurred())
	l, err := m.dir.Log(testLog)
	c.g.Expect(err).NotTo(HaveOccurred())
	m.machine = &counter{}
	m.disk = &slowStore{Store: l}
	bootstrap := c.first
	if _, ok := (consensus.Membership{Members: c.first}).Find(m.identity.ID); !ok {
		bootstrap = nil
	}
	started, err := node.Start(node.Config{
		Log: testLog,
		Consensus: consensus.Config{
			ID: m.identity.ID, Seed: 1, RetainEntries: 16,
			Heartbeat: 25 * time.Millisecond, Election: 300 * time.Millisecond, Retransmit: 100 * time.Millisecond,
		},
		Bootstrap: bootstrap, Store: m.disk, StateMachine: m.machine, Transport: memoryTransport{c.network, m.identity.ID},
		Logger: c.logger, SnapshotEntries: 100,
	})
	if err != nil {
		_ = l.Close()
		_ = m.dir.Close()
		return err
	}
	m.node = started
	return nil
}

func (c *cluster) stop(m *member) {
	if m.node == nil {
		return
	}
	m.node.Stop()
	m.node = nil
	c.g.Expect(m.dir.Close()).To(Succeed())
}

func (c *cluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	_ = cancel // released by the timeout
	return ctx
}

// leader waits until a running member other than except is leader.
func (c *cluster) leader(except *member) *member {
	var found *member
	c.g.Eventually(func() bool {
		for _, m := range c.members {
			if m != except && m.node != nil && m.node.Status().Role == consensus.Leader {
				found = m
				return true
			}
		}
		return false
	}, "20s", "5ms").Should(BeTrue())
	return found
}

// propose proposes n, and retries as long as NotLeader shows that the command was not appended.
func (c *cluster) propose(except *member, n uint64) {
	for {
		_, err := c.leader(except).node.Propose(c.ctx(), add(n))
		if result.CodeOf(err) == result.NotLeader {
			continue
		}
		c.g.Expect(err).NotTo(HaveOccurred())
		return
	}
}

// Three members must replicate all commands, and a restarted member must recover its state.
func TestThreeMembers(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 250 {
		c.propose(nil, uint64(i))
	}
	restarted := c.members[0]
	c.stop(restarted)
	c.propose(nil, 1)
	c.start(restarted)
	for _, m := range c.members {
		c.g.Expect(m.node.Read(c.ctx())).To(Succeed())
		c.g.Expect(m.machine.total()).To(Equal(uint64(249*250/2 + 1)))
	}
}

// A partitioned former leader must neither confirm a read nor acknowledge a proposal.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.propose(nil, 1)
	old := c.leader(nil)
	c.network.isolate(old.identity.ID, true)

	ctx, cancel := context.WithTimeout(c.ctx(), 500*time.Millisecond)
	defer cancel()
	read := make(chan error, 1)
	go func() { read <- old.node.Read(ctx) }()
	_, err := old.node.Propose(c.ctx(), add(100))
	c.g.Expect(result.CodeOf(err)).To(Equal(result.ProposalLost))
	c.g.Expect(result.CodeOf(<-read)).To(Equal(result.NoQuorum))

	c.propose(old, 2)
	c.network.isolate(old.identity.ID, false)
	c.g.Expect(old.node.Read(c.ctx())).To(Succeed())
	c.g.Expect(old.machine.total()).To(Equal(uint64(3)))
}
