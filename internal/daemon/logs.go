package daemon

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
)

// proposer is a replicated log as servers see it.
type proposer struct{ log *node.Node }

// Propose implements binding.Proposer and control.Log.
func (p *proposer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return p.log.Propose(ctx, command)
}

// Leader returns the RPC address of the leader, or "".
func (p *proposer) Leader() string {
	leader, _ := p.log.Leader()
	return leader.Address
}

// catalogLogAdapter is the catalog log as the control role sees it.
type catalogLogAdapter struct {
	proposer
	applied chan struct{}
}

func newCatalogLog(n *node.Node) *catalogLogAdapter {
	l := &catalogLogAdapter{proposer: proposer{n}, applied: make(chan struct{}, 1)}
	updates, _ := n.Subscribe()
	go l.forward(updates)
	return l
}

// forward turns updates of the node into notifications until the node ends.
func (l *catalogLogAdapter) forward(updates <-chan node.Update) {
	for {
		select {
		case <-l.log.Done():
			return
		case <-updates:
		}
		select {
		case l.applied <- struct{}{}:
		default:
		}
	}
}

// Read implements control.Log.
func (l *catalogLogAdapter) Read(ctx context.Context) error { return l.log.Read(ctx) }

// Leading implements control.Log.
func (l *catalogLogAdapter) Leading() bool { return l.log.Status().Role == consensus.Leader }

// Applied implements control.Log.
func (l *catalogLogAdapter) Applied() <-chan struct{} { return l.applied }

// Timing of member changes.
const (
	promotePoll    = 200 * time.Millisecond
	promoteTimeout = 8 * time.Second
)

// members changes the membership of all logs together. The first log is that of the catalog, whose leader calls.
type members struct{ logs []*node.Node }

// Status implements control.Members. A member counts as a voter when it votes in every log.
func (m *members) Status() []planner.ControlStatus {
	status := m.logs[0].Status()
	progress := map[consensus.MemberID]consensus.MemberProgress{}
	for _, p := range status.Progress {
		progress[p.ID] = p
	}
	var out []planner.ControlStatus
	for _, member := range status.Membership.Members {
		p := progress[member.ID]
		self := member.ID == status.ID
		out = append(out, planner.ControlStatus{
			ID:        string(member.ID),
			Address:   member.Address,
			Voter:     m.votesEverywhere(member.ID),
			Reachable: self || p.Active,
			CaughtUp:  self || p.Match >= status.Commit,
		})
	}
	return out
}

func (m *members) votesEverywhere(id consensus.MemberID) bool {
	for _, log := range m.logs {
		if !log.Status().Membership.Voter(id) {
			return false
		}
	}
	return true
}

// Add implements control.Members: in each log the member is added without a vote and promoted once it has caught up.
func (m *members) Add(ctx context.Context, id, address string) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	for _, log := range m.logs {
		if err := addTo(ctx, log, consensus.MemberID(id), address); err != nil {
			return err
		}
	}
	return nil
}

func addTo(ctx context.Context, log *node.Node, id consensus.MemberID, address string) error {
	if err := lead(ctx, log); err != nil {
		return err
	}
	if _, known := log.Status().Membership.Find(id); !known {
		change := consensus.Change{Kind: consensus.AddLearner, ID: id, Name: string(id), Address: address}
		if err := log.ChangeMember(ctx, change); err != nil {
			return err
		}
	}
	for !log.Status().Membership.Voter(id) {
		err := log.ChangeMember(ctx, consensus.Change{Kind: consensus.Promote, ID: id})
		if err == nil {
			return nil
		}
		if !retryChange(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(promotePoll):
		}
	}
	return nil
}

// retryChange tells whether a member change may succeed a little later.
func retryChange(err error) bool {
	code := result.CodeOf(err)
	return code == result.MemberNotCaughtUp || code == result.MemberChangeBusy
}

// Remove implements control.Members. The catalog log comes last: this VM may be the one that is removed.
func (m *members) Remove(ctx context.Context, id string) error {
	for i := len(m.logs) - 1; i >= 0; i-- {
		log := m.logs[i]
		if err := lead(ctx, log); err != nil {
			return err
		}
		if _, known := log.Status().Membership.Find(consensus.MemberID(id)); !known {
			continue
		}
		if err := log.ChangeMember(ctx, consensus.Change{Kind: consensus.Remove, ID: consensus.MemberID(id)}); err != nil {
			return err
		}
	}
	return nil
}

// lead checks that this VM leads a log, because only the leader can change its members. joinLeaders sees to it that one
// VM leads both logs; until then the step of the plan is tried again.
func lead(ctx context.Context, log *node.Node) error {
	if log.Status().Role == consensus.Leader {
		return nil
	}
	leader, _ := log.Leader()
	return result.Errorf(result.NotLeader, "the log is led by %q", leader.Address)
}

// ownerInterval is how often restarted agents are looked for.
const ownerInterval = time.Second

// releaseOwners tells the bindings log which runs of agents have ended, so that retries of their keys are answered with
// "outcome unknown" at once. Only the leader of the bindings log does so; the command is idempotent.
func (r *controlRole) releaseOwners(ctx context.Context) error {
	ticker := time.NewTicker(ownerInterval)
	defer ticker.Stop()
	known := map[model.HostID]model.Incarnation{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for host, up := range r.state.Config().Upstreams {
			if known[host] == up.Ref.Incarnation {
				continue
			}
			if known[host] == 0 || r.proposeOwnerLost(ctx, up.Ref) == nil {
				known[host] = up.Ref.Incarnation
			}
		}
	}
}

// proposeOwnerLost ends the runs before the given one. A follower leaves it to the leader.
func (r *controlRole) proposeOwnerLost(ctx context.Context, now model.HostRef) error {
	lost := &bindpb.OwnerLost{Host: string(now.Host), Incarnation: uint64(now.Incarnation) - 1}
	command, err := proto.Marshal(&bindpb.Command{Kind: &bindpb.Command_Lost{Lost: lost}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, ownerInterval)
	defer cancel()
	_, err = r.bindings.Propose(ctx, command)
	var notLeader *node.NotLeaderError
	if errors.As(err, &notLeader) || result.CodeOf(err) == result.NotLeader {
		return nil
	}
	return err
}

// joinLeaders hands the leadership of the bindings log to the leader of the catalog log, because only a VM that leads
// both can replace a control VM.
func (r *controlRole) joinLeaders(ctx context.Context) error {
	ticker := time.NewTicker(ownerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		leader := r.catalog.Status().Leader
		status := r.bindings.Status()
		if status.Role != consensus.Leader || leader == "" || leader == status.ID {
			continue
		}
		_ = r.bindings.TransferLeadership(ctx, leader) // tried again at the next tick
	}
}
