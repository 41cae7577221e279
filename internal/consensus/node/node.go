// Package node runs a member of one replicated log. One goroutine owns the consensus state, one writes to disk, and one
// calls the state machine, so that neither a slow disk nor a slow state machine delays heartbeats.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Config configures a node. Fields whose comment describes no zero value are required.
type Config struct {
	Log       string             // name of the log
	Consensus consensus.Config   // Incarnation is drawn at random if it is 0
	Bootstrap []consensus.Member // members of a new log; see Start

	Store        consensus.Store
	StateMachine consensus.StateMachine
	Transport    Transport
	Clock        Clock      // nil selects SystemClock
	Logger       log.Logger // nil disables logging

	SnapshotEntries int // entries between snapshots; 0 selects DefaultSnapshotEntries
	SnapshotBytes   int // bytes of commands between snapshots; 0 selects DefaultSnapshotBytes
	MaxPendingBytes int // limit of the bytes of proposals without an outcome; 0 selects DefaultMaxPendingBytes
}

// Default limits.
const (
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 8 << 20
	DefaultMaxPendingBytes = 8 << 20
)

const (
	ticksPerHeartbeat = 4
	inboxLength       = 64  // queued calls of Step
	proposalQueue     = 256 // queued calls of Propose, and limit of those in one batch
)

// Node is a member of one log.
type Node struct {
	cfg    Config
	core   *consensus.Core // owned by the loop goroutine
	logger log.Logger
	clock  Clock

	inbox         chan []consensus.Message
	proposals     chan proposal
	readCalls     chan readCall
	adminRequests chan adminRequest
	persisted     chan persistReport
	applied       chan applyReport

	persistJobs *queue[persistJob]
	applyJobs   *queue[applyJob]

	pending        pendingProposals // owned by the loop goroutine
	reads          pendingReads     // owned by the loop goroutine
	snapshot       snapshotTrigger  // owned by the loop goroutine
	lastLeadership leadership       // owned by the loop goroutine

	status      atomic.Pointer[consensus.Status]
	subscribers subscribers

	done    chan struct{}
	stop    sync.Once
	failure atomic.Pointer[error]
	workers sync.WaitGroup
}

// Start loads the store and runs the node until Stop is called or the store or the state machine fails. cfg.Bootstrap is
// the initial membership of a new log and must contain this member; it is ignored if the store is not blank. A member that
// joins an existing log starts with a blank store and without cfg.Bootstrap. Stop closes the store.
func Start(cfg Config) (*Node, error) {
	cfg = withDefaults(cfg)
	state, err := load(cfg)
	if err != nil {
		return nil, err
	}
	core, err := consensus.New(cfg.Consensus, state, cfg.Clock.Now())
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg:           cfg,
		core:          core,
		logger:        cfg.Logger,
		clock:         cfg.Clock,
		inbox:         make(chan []consensus.Message, inboxLength),
		proposals:     make(chan proposal, proposalQueue),
		readCalls:     make(chan readCall, proposalQueue),
		adminRequests: make(chan adminRequest),
		persisted:     make(chan persistReport, 1),
		applied:       make(chan applyReport, 1),
		persistJobs:   newQueue[persistJob](),
		applyJobs:     newQueue[applyJob](),
		pending:       newPendingProposals(cfg.MaxPendingBytes),
		reads:         newPendingReads(cfg.Consensus.Incarnation, cfg.Consensus.Election),
		snapshot:      snapshotTrigger{maxEntries: cfg.SnapshotEntries, maxBytes: cfg.SnapshotBytes},
		done:          make(chan struct{}),
	}
	n.publish()
	if state.Snapshot.Index > 0 {
		n.applyJobs.push(applyJob{restore: &state.Snapshot})
	}
	n.startWorkers()
	cfg.Transport.Register(cfg.Log, n.receive)
	return n, nil
}

func withDefaults(cfg Config) Config {
	if cfg.Clock == nil {
		cfg.Clock = SystemClock{}
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	cfg.Logger = log.With(cfg.Logger, "log", cfg.Log)
	if cfg.Consensus.Incarnation == 0 {
		cfg.Consensus.Incarnation = rand.Uint64()
	}
	if cfg.Consensus.Heartbeat <= 0 {
		cfg.Consensus.Heartbeat = consensus.DefaultHeartbeat
	}
	if cfg.Consensus.Election <= 0 {
		cfg.Consensus.Election = consensus.DefaultElection
	}
	if cfg.SnapshotEntries <= 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	if cfg.SnapshotBytes <= 0 {
		cfg.SnapshotBytes = DefaultSnapshotBytes
	}
	if cfg.MaxPendingBytes <= 0 {
		cfg.MaxPendingBytes = DefaultMaxPendingBytes
	}
	return cfg
}

// load reads the stored state. It stores the initial membership in a blank store.
func load(cfg Config) (consensus.State, error) {
	state, err := cfg.Store.Load()
	if err != nil {
		_ = cfg.Logger.Log("event", "store_refused", "code", int(result.CodeOf(err)), "error", err)
		return consensus.State{}, err
	}
	if state.Torn != "" {
		_ = cfg.Logger.Log("event", "torn_record_dropped", "code", int(result.StoreTorn), "detail", state.Torn)
	}
	if !state.Blank() || len(cfg.Bootstrap) == 0 {
		return state, nil
	}
	first := consensus.Bootstrap(cfg.Bootstrap)
	if _, ok := first.Membership.Find(cfg.Consensus.ID); !ok {
		// A blank store whose identity is not in the initial membership replaces a lost one and must be added as a member.
		return consensus.State{}, result.Errorf(result.StoreIdentity, "identity %s is not in the initial membership", cfg.Consensus.ID)
	}
	if err := cfg.Store.Reset(first); err != nil {
		return consensus.State{}, err
	}
	return consensus.State{Snapshot: first}, nil
}

func (n *Node) startWorkers() {
	p := &persister{store: n.cfg.Store, jobs: n.persistJobs, send: n.sendAll, reports: n.persisted, done: n.done}
	a := &applier{machine: n.cfg.StateMachine, jobs: n.applyJobs, reports: n.applied, done: n.done}
	for _, run := range []func(){p.run, a.run, n.run} {
		n.workers.Add(1)
		go func() {
			defer n.workers.Done()
			run()
		}()
	}
}

// Stop stops the node, waits for its goroutines and closes the store. Pending calls return ProposalLost or NoQuorum.
func (n *Node) Stop() {
	n.cfg.Transport.Register(n.cfg.Log, nil)
	n.stop.Do(func() { close(n.done) })
	n.workers.Wait()
	_ = n.cfg.Store.Close()
}

// Done returns a channel that is closed when the node stops. Err then returns the failure, if any.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the failure that stopped the node, or nil.
func (n *Node) Err() error {
	if err := n.failure.Load(); err != nil {
		return *err
	}
	return nil
}

func (n *Node) fail(err error) {
	_ = n.logger.Log("event", "log_failed", "code", int(result.CodeOf(err)), "error", err)
	n.failure.Store(&err)
	n.stop.Do(func() { close(n.done) })
}

func (n *Node) receive(ctx context.Context, messages []consensus.Message) error {
	select {
	case n.inbox <- messages: // a free slot is used even if ctx is done
		return nil
	default:
	}
	select {
	case n.inbox <- messages:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return errStopped
	}
}

var errStopped = errors.New("node is stopped")

// Propose appends a command and returns the result of applying it. It returns NotLeader with the name of the leader if this
// member is not the leader and the command was not appended, and ProposalLost if it is unknown whether the command is or
// will be applied.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	p := proposal{ctx: ctx, command: data, reply: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, result.Errorf(result.NoQuorum, "not proposed: %w", ctx.Err())
	case <-n.done:
		return nil, result.Errorf(result.NotLeader, "%w", errStopped)
	}
	return n.await(ctx, p.reply)
}

func (n *Node) await(ctx context.Context, reply <-chan outcome) ([]byte, error) {
	select {
	case o := <-reply:
		return o.response, o.err
	case <-ctx.Done():
		return nil, result.Errorf(result.ProposalLost, "%w", ctx.Err())
	case <-n.done:
		return nil, result.Errorf(result.ProposalLost, "%w", errStopped)
	}
}

// Read returns when the local state includes every entry that was committed before the call. It returns NoQuorum if no
// quorum confirms this before ctx is done.
func (n *Node) Read(ctx context.Context) error {
	call := readCall{ctx: ctx, reply: make(chan struct{}, 1)}
	select {
	case n.readCalls <- call:
	case <-ctx.Done():
		return result.Errorf(result.NoQuorum, "%w", ctx.Err())
	case <-n.done:
		return result.Errorf(result.NoQuorum, "%w", errStopped)
	}
	select {
	case <-call.reply:
		return nil
	case <-ctx.Done():
		return result.Errorf(result.NoQuorum, "read not confirmed: %w", ctx.Err())
	case <-n.done:
		return result.Errorf(result.NoQuorum, "%w", errStopped)
	}
}

// ChangeMember changes the membership and returns when the change is committed. It returns the errors of Propose and of
// consensus.Core.ChangeMember.
func (n *Node) ChangeMember(ctx context.Context, change consensus.Change) error {
	c := adminRequest{change: &change, reply: make(chan outcome, 1)}
	return n.submitAdmin(ctx, c)
}

// TransferLeadership starts a transfer of leadership to another voter and returns without waiting for it. Leader returns
// the new leader once the transfer is complete.
func (n *Node) TransferLeadership(ctx context.Context, to consensus.MemberID) error {
	c := adminRequest{transfer: to, reply: make(chan outcome, 1)}
	return n.submitAdmin(ctx, c)
}

func (n *Node) submitAdmin(ctx context.Context, c adminRequest) error {
	select {
	case n.adminRequests <- c:
	case <-ctx.Done():
		return result.Errorf(result.NoQuorum, "not proposed: %w", ctx.Err())
	case <-n.done:
		return result.Errorf(result.NotLeader, "%w", errStopped)
	}
	_, err := n.await(ctx, c.reply)
	return err
}

// Status returns the status of the member after the last event that it processed.
func (n *Node) Status() consensus.Status { return *n.status.Load() }

// Leader returns the current leader, if this member knows one.
func (n *Node) Leader() (consensus.Member, bool) {
	s := n.Status()
	return s.Membership.Find(s.Leader)
}

// Subscribe returns a channel that receives an update after each change, and a function that cancels the subscription. A
// slow receiver misses intermediate updates but always receives the latest one.
func (n *Node) Subscribe() (<-chan Update, func()) { return n.subscribers.add() }

// now returns the current time of the node's clock.
func (n *Node) now() time.Time { return n.clock.Now() }
