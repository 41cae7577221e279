// Package group runs the replicated log of a control VM whose group forms itself from a few given addresses: it creates
// the data directory, finds the other founders, joins an existing group, and keeps the membership in step with the
// machines that live.
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
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Phase is the state of a control VM towards the group.
type Phase uint32

// Phases.
const (
	PhaseForming Phase = 1 // waits for the other founders of a new group
	PhaseJoining Phase = 2 // waits to be added to an existing group
	PhaseMember  Phase = 3 // has a log of the group
)

// logName is the name of the replicated log.
const logName = "declared"

// Times of the group.
const (
	// step is the interval of the group's own decisions.
	step = 150 * time.Millisecond
	// reopenPause is the time between attempts to open a data directory whose disk refuses writes.
	reopenPause = 500 * time.Millisecond
	// callTimeout bounds calls between control VMs, as in package roster.
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

// Config holds what a group member needs.
type Config struct {
	Name      string         // of the VM
	Self      netip.AddrPort // own RPC address
	DataDir   string
	Founder   bool // the whole system starts for the first time
	Seeds     []netip.AddrPort
	Tolerated int // machines that may be lost at once, with their disks
	Silence   time.Duration
	Machine   consensus.StateMachine
	Controls  func() []netip.AddrPort // RPC addresses of control VMs that are known to live
	Logger    log.Logger
	Seed      uint64 // for election timeouts
	// Leaderless, if not nil, is told how long this member knew no leader, when it hears of one.
	Leaderless func(time.Duration)
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
	asked    map[consensus.MemberID]consensus.Member // asked to join, by identity
	silent   map[consensus.MemberID]time.Time        // since when the leader does not hear a member
	seeds    []netip.AddrPort
	changed  time.Time // when this member began to lead, or last heard from a VM that wants to join
}

// New returns a group member that is started by Run.
func New(cfg Config) *Group {
	return &Group{
		cfg: cfg, clients: clients{}, seeds: cfg.Seeds,
		asked: map[consensus.MemberID]consensus.Member{}, silent: map[consensus.MemberID]time.Time{},
	}
}

// SetSeeds replaces the seeds after a reload.
func (g *Group) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Run keeps the member running until ctx is done. A member whose disk refuses writes is opened again.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := g.runOnce(ctx); err != nil && ctx.Err() == nil {
			_ = g.cfg.Logger.Log("event", "group_member_ended", "code", int(result.CodeOf(err)), "error", err)
		}
		pause(ctx, reopenPause)
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
		founders, err = g.found(ctx, directory.Identity())
		if err != nil {
			return err
		}
	}
	logStore, err := directory.Log(logName)
	if err != nil {
		return err
	}
	n, err := node.Start(node.Config{
		Log: logName,
		Consensus: consensus.Config{
			ID: directory.Identity().ID, Seed: g.cfg.Seed,
			MaxCommandBytes: maxCommandBytes, MaxMessageBytes: maxMessageBytes, MaxInflightBytes: 2 * maxMessageBytes,
			RetainEntries: retainEntries,
		},
		Bootstrap: founders, Store: logStore, StateMachine: g.cfg.Machine, Transport: twirp, Logger: g.cfg.Logger,
		SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes,
	})
	if err != nil {
		return err
	}
	defer n.Stop()
	g.set(func() {
		g.node, g.twirp, g.phase, g.identity = n, twirp, PhaseMember, directory.Identity()
		if blank && len(founders) == 0 {
			g.phase = PhaseJoining
		}
	})
	defer g.set(func() { g.node, g.twirp = nil, nil })
	_ = g.cfg.Logger.Log("event", "group_member_started", "identity", directory.Identity().ID, "blank", blank,
		"founders", len(founders))
	updates, unsubscribe := n.Subscribe()
	defer unsubscribe()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.noteLeaders(ctx, updates)
	return g.maintain(ctx, n)
}

// noteLeaders tells how long no leader was known, until ctx is done.
func (g *Group) noteLeaders(ctx context.Context, updates <-chan node.Update) {
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
			if heard && g.cfg.Leaderless != nil {
				g.cfg.Leaderless(time.Since(since))
			}
			since, known = time.Now(), heard
		}
	}
}

func (g *Group) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

// open opens the data directory, or creates it. A directory without an identity was not completed and holds nothing.
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

// setAside moves a damaged data directory away, so that the next attempt creates a new one. The VM then joins the group
// under a new identity, as if it had lost its disk: under the old one it might vote without what it had acknowledged.
// Any other error is returned as it is.
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

// running returns the node, or an error while there is none.
func (g *Group) running() (*node.Node, error) {
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

// Current reports whether this member leads or hears a leader.
func (g *Group) Current() bool {
	n, err := g.running()
	return err == nil && n.Status().Leader != ""
}

// Quorum returns how many members form a majority, or 0 while that is not known.
func (g *Group) Quorum() int {
	status, ok := g.Status()
	if !ok || status.Membership.Voters() == 0 {
		return 0
	}
	return status.Membership.Quorum()
}

// Read returns when the state machine includes everything that was committed before the call.
func (g *Group) Read(ctx context.Context) error {
	n, err := g.running()
	if err != nil {
		return err
	}
	return n.Read(ctx)
}

// Status returns the state of the log; ok is false while it does not run.
func (g *Group) Status() (consensus.Status, bool) {
	n, err := g.running()
	if err != nil {
		return consensus.Status{}, false
	}
	return n.Status(), true
}

// Leave hands leadership to another member before this process stops.
func (g *Group) Leave(ctx context.Context) {
	n, err := g.running()
	if err != nil {
		return
	}
	status := n.Status()
	for _, p := range status.Progress {
		if p.ID != status.ID && p.Active && status.Membership.Voter(p.ID) {
			if n.TransferLeadership(ctx, p.ID) == nil {
				return
			}
		}
	}
}

// Propose commits a command at the leader, which may be another control VM, and returns the answer's result code.
func (g *Group) Propose(ctx context.Context, version uint64, command []byte) error {
	n, err := g.running()
	if err != nil {
		return err
	}
	status := n.Status()
	if status.Role == consensus.Leader {
		return g.proposeHere(ctx, n, command)
	}
	leader, ok := n.Leader()
	if !ok {
		return result.Errorf(result.NotLeader, "the leader is not known")
	}
	response, err := g.clients.group(leader.Address).Declare(ctx, &pb.DeclareRequest{Version: version, Declaration: command})
	if err != nil {
		return result.Errorf(result.ProposalLost, "leader %s: %w", leader.Name, err)
	}
	if response.GetCode() != 0 {
		return result.Errorf(result.Code(response.GetCode()), "%s", response.GetDetail())
	}
	return nil
}

// proposeHere commits a command as leader, once the group can lose the tolerated number of disks.
func (g *Group) proposeHere(ctx context.Context, n *node.Node, command []byte) error {
	membership := n.Status().Membership
	g.mu.Lock()
	ready := g.enoughVoters(membership, time.Now())
	g.mu.Unlock()
	if !ready {
		return result.Errorf(result.DeclarationUnsettled, "%d voting members, %d wanted", membership.Voters(), g.wanted())
	}
	_, err := n.Propose(ctx, command)
	return err
}

// enoughVoters reports whether the members that are known to exist vote. Fewer than wanted are accepted only after nobody
// has asked to join for a while: there are no more control VMs then. The caller holds mu.
func (g *Group) enoughVoters(m consensus.Membership, now time.Time) bool {
	joining := len(g.asked) > 0 || m.Voters() < len(m.Members)
	quiet := now.Sub(g.changed)
	if m.Voters() >= g.wanted() {
		return !joining || quiet >= joinPatience
	}
	return !joining && !g.changed.IsZero() && quiet >= joinPatience
}

// joinPatience is how long the leader waits for control VMs that may still ask to join: a member asks every half second,
// and all machines of a site start within 0.3 s of each other.
const joinPatience = 3 * time.Second

// wanted is the number of voters that keeps a majority when the tolerated number is lost.
func (g *Group) wanted() int { return 2*g.cfg.Tolerated + 1 }
