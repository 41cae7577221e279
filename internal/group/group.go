// Package group runs the replicated log of a control VM. It creates the data directory, forms a new group with the other
// founders among the seeds or joins an existing group, and adjusts the membership to the machines that are alive.
package group

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/consensus/store"
	"github.com/plantainseam/plantainseam/internal/durable"
	"github.com/plantainseam/plantainseam/internal/quorum"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Phase is the progress of a control VM in becoming a member of the group.
type Phase uint32

// Phases of a control VM.
const (
	PhaseForming Phase = 1 // waits for the other founders of a new group
	PhaseJoining Phase = 2 // waits to be added to an existing group
	PhaseMember  Phase = 3 // has a log of the group
)

// logName is the name of the replicated log.
const logName = "declared"

// Intervals and timeouts of the group.
const (
	// maintainInterval is the time between two membership checks, and between two rounds of calls to the other seeds.
	maintainInterval = 150 * time.Millisecond
	// reopenInterval is the time between attempts to open a data directory whose disk refuses writes.
	reopenInterval = 500 * time.Millisecond
	// callTimeout bounds one call between control VMs, as in package roster.
	callTimeout = 500 * time.Millisecond
)

// Sizes of the log. A declaration of 1,100 addresses has about 200 KB.
const (
	maxCommandBytes = 1 << 20
	maxMessageBytes = 2 << 20
	snapshotEntries = 64
	snapshotBytes   = 4 << 20
	retainEntries   = 8
)

// Config configures a Group.
type Config struct {
	Name            string         // of the VM
	Self            netip.AddrPort // own RPC address
	DataDir         string
	Founder         bool // the whole system starts for the first time, so a seed may form a new group
	Seeds           []netip.AddrPort
	ToleratedLosses int // number of machines that may be lost at once, with their disks
	SilenceTimeout  time.Duration
	StateMachine    consensus.StateMachine
	Declared        func() bool             // whether the state machine holds a declaration
	Controls        func() []netip.AddrPort // RPC addresses of the control VMs in the roster
	Logger          log.Logger
	Seed            uint64                                // random seed for election timeouts
	WrapStore       func(consensus.Store) consensus.Store // injects disk faults in tests; nil otherwise
	// ObserveLeaderless, if not nil, is called when this member learns of a leader, with the time that it knew none.
	ObserveLeaderless func(time.Duration)
}

// Group is a member of the group of control VMs.
type Group struct {
	cfg     Config
	clients clients

	mu       sync.Mutex
	phase    Phase
	identity store.Identity
	founders []consensus.Member
	node     *node.Node
	twirp    *node.Twirp
	seeds    []netip.AddrPort
	planner  quorum.Planner
}

// New returns a group member. Run starts it.
func New(cfg Config) *Group {
	return &Group{
		cfg: cfg, clients: clients{}, seeds: cfg.Seeds,
		planner: quorum.Planner{ToleratedLosses: cfg.ToleratedLosses, SilenceTimeout: cfg.SilenceTimeout},
	}
}

// SetSeeds replaces the seeds, for example after a configuration reload.
func (g *Group) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Run runs the member until ctx is done. After a failure, such as a disk that refuses writes, it opens the data directory
// again.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := g.runOnce(ctx); err != nil && ctx.Err() == nil {
			_ = g.cfg.Logger.Log("event", "group_member_ended", "code", int(result.CodeOf(err)), "error", err)
		}
		pause(ctx, reopenInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (g *Group) directory() string { return filepath.Join(g.cfg.DataDir, "group") }

// runOnce opens the data directory and runs the member until it fails or ctx is done.
func (g *Group) runOnce(ctx context.Context) error {
	directory, blank, err := g.open()
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }()
	twirp := node.NewTwirp(node.TwirpConfig{
		ID: directory.Identity().ID, Address: g.cfg.Self.String(), Logger: g.cfg.Logger, BatchBytes: maxMessageBytes,
	})
	defer twirp.Close()
	var founders []consensus.Member
	if blank {
		founders, err = g.bootstrapMembers(ctx, directory.Identity())
		if err != nil {
			return err
		}
	}
	var logStore consensus.Store
	if logStore, err = directory.Log(logName); err != nil {
		return err
	}
	if g.cfg.WrapStore != nil {
		logStore = g.cfg.WrapStore(logStore)
	}
	n, err := node.Start(node.Config{
		Log: logName,
		Consensus: consensus.Config{
			ID: directory.Identity().ID, Seed: g.cfg.Seed,
			MaxCommandBytes: maxCommandBytes, MaxMessageBytes: maxMessageBytes, MaxInflightBytes: 2 * maxMessageBytes,
			RetainEntries: retainEntries,
		},
		Bootstrap: founders, Store: logStore, StateMachine: g.cfg.StateMachine, Transport: twirp, Logger: g.cfg.Logger,
		SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes,
	})
	if err != nil {
		return err
	}
	defer n.Stop()
	g.locked(func() {
		g.node, g.twirp, g.phase, g.identity = n, twirp, PhaseMember, directory.Identity()
		if blank && len(founders) == 0 {
			g.phase = PhaseJoining
		}
	})
	defer g.locked(func() { g.node, g.twirp = nil, nil })
	_ = g.cfg.Logger.Log("event", "group_member_started", "identity", directory.Identity().ID, "blank", blank,
		"founders", len(founders))
	updates, unsubscribe := n.Subscribe()
	defer unsubscribe()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.observeLeaders(ctx, updates)
	return g.maintain(ctx, n)
}

// observeLeaders reports each period without a known leader to ObserveLeaderless, until ctx is done.
func (g *Group) observeLeaders(ctx context.Context, updates <-chan node.Update) {
	since, known := time.Now(), false
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-updates:
			heard := u.Leader != ""
			if heard == known {
				continue
			}
			if heard && g.cfg.ObserveLeaderless != nil {
				g.cfg.ObserveLeaderless(time.Since(since))
			}
			since, known = time.Now(), heard
		}
	}
}

// locked calls change with mu held.
func (g *Group) locked(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

// open opens the data directory and reports whether its log is blank. It first creates the directory if there is none. A
// directory without an identity is left from an interrupted creation; it holds no data and is replaced.
func (g *Group) open() (*store.Directory, bool, error) {
	path := g.directory()
	if _, err := os.Stat(filepath.Join(path, "identity")); errors.Is(err, os.ErrNotExist) {
		if err := os.RemoveAll(path); err != nil {
			return nil, false, result.Errorf(result.StoreWriteFailed, "remove incomplete data directory: %w", err)
		}
		if _, err := store.Create(path, g.cfg.Name, logName); err != nil {
			return nil, false, fmt.Errorf("create data directory: %w", err)
		}
		if err := durable.SyncDirectory(g.cfg.DataDir); err != nil {
			return nil, false, result.Errorf(result.StoreWriteFailed, "sync %s: %w", g.cfg.DataDir, err)
		}
	}
	directory, err := store.Open(path, "")
	if err != nil {
		return nil, false, g.setAside(err)
	}
	blank, err := isBlank(directory)
	if err != nil {
		return nil, false, g.setAside(errors.Join(err, directory.Close()))
	}
	return directory, blank, nil
}

// setAside renames the data directory if err is StoreCorrupt, so that the next attempt creates a new one. The VM then joins
// the group under a new identity, as if it had lost its disk: under the old identity it might vote without entries that it
// had acknowledged. It returns err, joined with the errors of the renaming.
func (g *Group) setAside(err error) error {
	if result.CodeOf(err) != result.StoreCorrupt {
		return err
	}
	aside := g.directory() + ".damaged"
	if removeErr := os.RemoveAll(aside); removeErr != nil {
		return errors.Join(err, removeErr)
	}
	if renameErr := os.Rename(g.directory(), aside); renameErr != nil {
		return errors.Join(err, renameErr)
	}
	return errors.Join(err, durable.SyncDirectory(g.cfg.DataDir))
}

func isBlank(d *store.Directory) (bool, error) {
	l, err := d.Log(logName)
	if err != nil {
		return false, err
	}
	state, err := l.Load()
	if err != nil {
		return false, errors.Join(err, l.Close())
	}
	return state.Blank(), l.Close()
}

// runningNode returns the node of the log, or NoQuorum while the log does not run.
func (g *Group) runningNode() (*node.Node, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return nil, result.Errorf(result.NoQuorum, "the replicated log does not run")
	}
	return g.node, nil
}

// Transport returns the transport of the running log, or nil.
func (g *Group) Transport() *node.Twirp {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.twirp
}

// Current reports whether this member is the leader or hears one.
func (g *Group) Current() bool {
	n, err := g.runningNode()
	return err == nil && n.Status().Leader != ""
}

// Quorum returns the number of members that form a majority, or 0 while it is unknown.
func (g *Group) Quorum() int {
	status, ok := g.Status()
	if !ok || status.Membership.Voters() == 0 {
		return 0
	}
	return status.Membership.Quorum()
}

// Read returns once the state machine has applied every entry committed before the call.
func (g *Group) Read(ctx context.Context) error {
	n, err := g.runningNode()
	if err != nil {
		return err
	}
	return n.Read(ctx)
}

// Status returns the state of the log; ok is false while it does not run.
func (g *Group) Status() (consensus.Status, bool) {
	n, err := g.runningNode()
	if err != nil {
		return consensus.Status{}, false
	}
	return n.Status(), true
}

// Leave prepares the stop of the process, for a restart or for good. It transfers leadership to another voter, if this member
// leads, and asks the leader to remove this member if the group can do without: it is then not weakened if the process does not
// come back, and otherwise this member joins again. It returns when that is done, or when ctx is done.
func (g *Group) Leave(ctx context.Context) {
	n, err := g.runningNode()
	if err != nil {
		return
	}
	g.transferLeadership(ctx, n)
	for ctx.Err() == nil && g.leavePending(ctx, n) {
		pause(ctx, maintainInterval)
	}
}

func (g *Group) transferLeadership(ctx context.Context, n *node.Node) {
	status := n.Status()
	for _, p := range status.Progress {
		if p.ID != status.ID && p.Active && status.Membership.Voter(p.ID) {
			if n.TransferLeadership(ctx, p.ID) == nil {
				return
			}
		}
	}
}

// leavePending tells the leader that this member leaves, and reports whether it has to be asked again: the leader is about to
// remove this member, or a transfer of the leadership is under way.
func (g *Group) leavePending(ctx context.Context, n *node.Node) bool {
	status := n.Status()
	if status.Membership.Voters() <= g.planner.WantedVoters() && status.Membership.Voters() == len(status.Membership.Members) {
		return false // no other member can take its place
	}
	leader, ok := n.Leader()
	if !ok || status.Role == consensus.Leader {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := g.clients.client(leader.Address).Join(ctx, &pb.JoinRequest{
		Identity: string(status.ID), Name: g.cfg.Name, Address: g.cfg.Self.String(), Leaving: true,
	})
	return err == nil && (response.GetPending() || response.GetLeader() != "")
}

// Propose commits a command at the leader, which may be another control VM. An error carries the result code of the leader.
func (g *Group) Propose(ctx context.Context, version uint64, command []byte) error {
	n, err := g.runningNode()
	if err != nil {
		return err
	}
	status := n.Status()
	if status.Role == consensus.Leader {
		return g.proposeAsLeader(ctx, n, command)
	}
	leader, ok := n.Leader()
	if !ok {
		return result.Errorf(result.NotLeader, "the leader is not known")
	}
	response, err := g.clients.client(leader.Address).Declare(ctx, &pb.DeclareRequest{Version: version, Declaration: command})
	if err != nil {
		return result.Errorf(result.ProposalLost, "leader %s: %w", leader.Name, err)
	}
	if response.GetCode() != 0 {
		return result.Errorf(result.Code(response.GetCode()), "%s", response.GetDetail())
	}
	return nil
}

// proposeAsLeader commits a command at this member. While too few members vote to tolerate the configured loss of disks, it
// returns DeclarationUnsettled.
func (g *Group) proposeAsLeader(ctx context.Context, n *node.Node, command []byte) error {
	membership, first := n.Status().Membership, !g.cfg.Declared()
	g.mu.Lock()
	ready, wanted := g.planner.EnoughVoters(time.Now(), membership, first), g.planner.WantedVoters()
	g.mu.Unlock()
	if !ready {
		return result.Errorf(result.DeclarationUnsettled, "%d voting members, %d wanted", membership.Voters(), wanted)
	}
	_, err := n.Propose(ctx, command)
	return err
}
