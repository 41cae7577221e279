package daemon

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/consensus/store"
	"github.com/plantainseam/plantainseam/internal/control"
	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/pki"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/internal/timeline"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
	"github.com/plantainseam/plantainseam/rpc/configpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// Names of the replicated logs. Bindings have a separate log, so that a burst of keyed requests does not delay
// configuration changes.
const (
	catalogLog  = "catalog"
	bindingsLog = "bindings"
)

// InitData creates the data directory of a control VM and returns its identity.
func InitData(s *settings.Settings) (string, error) {
	identity, err := store.Create(s.DataDir, string(s.Host), catalogLog, bindingsLog)
	return string(identity.ID), err
}

// controlRole is the control role of a process.
type controlRole struct {
	process   *process
	directory *store.Directory
	transport *node.Twirp
	catalog   *node.Node
	bindings  *node.Node
	state     *control.State
	log       *control.NodeLog
	control   *control.Control
	server    *dissemination.Server
}

func newControlRole(p *process) (*controlRole, error) {
	key, err := pki.LoadSigningKey(p.settings.Control.SigningKey)
	if err != nil {
		return nil, result.Errorf(result.SettingsBadValue, "control.signing_key: %w", err)
	}
	r := &controlRole{process: p, state: control.NewState(), server: dissemination.NewServer()}
	if err := r.startLogs(); err != nil {
		r.stop()
		return nil, err
	}
	r.log = control.NewNodeLog(r.catalog, r.bindings)
	r.control = control.New(control.Config{
		Log:       r.log,
		Members:   r.log,
		State:     r.state,
		Server:    r.server,
		Logger:    p.logger,
		SystemKey: key,
		Event:     r.recordEvent,
	})
	r.serve()
	registerControlMetrics(p.registry, r)
	return r, nil
}

// startLogs opens the data directory and starts this VM's member of each log.
func (r *controlRole) startLogs() error {
	p := r.process
	directory, err := store.Open(p.settings.DataDir, consensus.MemberID(expectedIdentity(p.settings)))
	if err != nil {
		return err
	}
	r.directory = directory
	r.transport = node.NewTwirp(node.TwirpConfig{
		ID:            directory.Identity().ID,
		Address:       p.settings.RPC.String(),
		Scheme:        p.scheme(),
		NewConnection: func() node.Connection { return p.transport() },
		Logger:        p.logger,
	})
	if r.catalog, err = r.startLog(catalogLog, r.state); err != nil {
		return err
	}
	r.bindings, err = r.startLog(bindingsLog, binding.NewTable(0))
	return err
}

func (r *controlRole) startLog(name string, machine consensus.StateMachine) (*node.Node, error) {
	p := r.process
	log, err := r.directory.Log(name)
	if err != nil {
		return nil, err
	}
	return node.Start(node.Config{
		Log:          name,
		Consensus:    consensus.Config{ID: r.directory.Identity().ID, Seed: uint64(p.ref.Incarnation)},
		Bootstrap:    bootstrapMembers(p.settings),
		Store:        log,
		StateMachine: machine,
		Transport:    r.transport,
		Logger:       p.logger,
	})
}

// expectedIdentity returns the identity that the settings name for this VM, or "" if they name none.
func expectedIdentity(s *settings.Settings) string {
	for _, server := range s.Control.Servers {
		if server.Name == s.Host {
			return server.Identity
		}
	}
	return ""
}

// bootstrapMembers returns the initial membership of a new log, or nil for a VM that joins an existing one.
func bootstrapMembers(s *settings.Settings) []consensus.Member {
	if !s.Control.Bootstrap {
		return nil
	}
	var out []consensus.Member
	for _, server := range s.Control.Servers {
		out = append(out, consensus.Member{
			ID:      consensus.MemberID(server.Identity),
			Name:    string(server.Name),
			Address: server.RPC.String(),
		})
	}
	return out
}

// serve registers the RPC handlers of the role.
func (r *controlRole) serve() {
	mux := r.process.mux
	mux.Handle(intentpb.IntentsPathPrefix, intentpb.NewIntentsServer(control.NewIntentsServer(r.control)))
	mux.Handle(memberpb.MembershipPathPrefix, memberpb.NewMembershipServer(control.NewMembershipServer(r.control)))
	mux.Handle(configpb.ConfigurationPathPrefix, configpb.NewConfigurationServer(r.server))
	mux.Handle(r.transport.PathPrefix(), r.transport.Handler())
	bindings := binding.NewServer(&bindingsProposer{log: r.bindings})
	mux.Handle(bindpb.BindingsPathPrefix, bindpb.NewBindingsServer(bindings))
}

// recordEvent records an event of the control role in the time line.
func (r *controlRole) recordEvent(kind string, intent uint64, host, detail string) {
	r.process.events.Record(timeline.Event{
		Kind: timeline.Kind(kind), Intent: intent, Host: model.HostID(host), Detail: detail,
	})
}

func (r *controlRole) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.control.Run(ctx) })
	group.Go(func() error { return waitForLogFailure(ctx, r.catalog) })
	group.Go(func() error { return waitForLogFailure(ctx, r.bindings) })
	group.Go(func() error { return r.recordLeaderChanges(ctx) })
	group.Go(func() error { return r.reportEndedIncarnations(ctx) })
	group.Go(func() error { return r.log.Run(ctx) })
	err := group.Wait()
	r.stop()
	return err
}

// waitForLogFailure waits until a log stops, for example after a disk error, and returns the error. It returns nil when
// ctx ends.
func waitForLogFailure(ctx context.Context, n *node.Node) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.Done():
		if err := n.Err(); err != nil {
			return err
		}
		return errors.New("a replicated log stopped without an error")
	}
}

// recordLeaderChanges records changes of the catalog log's leader in the time line.
func (r *controlRole) recordLeaderChanges(ctx context.Context) error {
	updates, unsubscribe := r.catalog.Subscribe()
	defer unsubscribe()
	var leader consensus.MemberID
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-updates:
			if u.Leader == leader {
				continue
			}
			leader = u.Leader
			r.process.events.Record(timeline.Event{Kind: timeline.KindLeader, Detail: string(leader)})
		}
	}
}

// leave transfers the leadership of both logs, so that the other members need not wait for an election timeout.
func (r *controlRole) leave(ctx context.Context) {
	for _, n := range []*node.Node{r.catalog, r.bindings} {
		transferLeadership(ctx, n)
	}
}

// reload implements role; control VMs have no tunnel keys.
func (r *controlRole) reload([]settings.TunnelKey) error { return nil }

// transferLeadership transfers leadership to another reachable voter if this member is the leader.
func transferLeadership(ctx context.Context, n *node.Node) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status := n.Status()
	if status.Role != consensus.Leader {
		return
	}
	for _, p := range status.Progress {
		if p.ID != status.ID && p.Active && status.Membership.Voter(p.ID) {
			if n.TransferLeadership(ctx, p.ID) == nil {
				waitForLeader(ctx, n, status.ID)
				return
			}
		}
	}
}

// waitForLeader waits until another member is the leader or ctx ends.
func waitForLeader(ctx context.Context, n *node.Node, self consensus.MemberID) {
	updates, unsubscribe := n.Subscribe()
	defer unsubscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-updates:
			if u.Leader != "" && u.Leader != self {
				return
			}
		}
	}
}

func (r *controlRole) stop() {
	for _, n := range []*node.Node{r.catalog, r.bindings} {
		if n != nil {
			n.Stop()
		}
	}
	if r.transport != nil {
		r.transport.Close()
	}
	if r.directory != nil {
		_ = r.directory.Close()
	}
}
