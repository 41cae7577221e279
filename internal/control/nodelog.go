package control

import (
	"context"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/internal/result"
)

// NodeLog implements Log and Members with the consensus nodes of this VM. Control VMs are named by their consensus.MemberID, which is the
// same in every log of a VM.
type NodeLog struct {
	catalog   *node.Node
	otherLogs []*node.Node // logs whose members change together with the catalog's
	applied   chan struct{}
}

// NewNodeLog returns a NodeLog over the catalog and the other logs of this VM. Applied and the transfer of the leadership
// need Run.
func NewNodeLog(catalog *node.Node, others ...*node.Node) *NodeLog {
	return &NodeLog{catalog: catalog, otherLogs: others, applied: make(chan struct{}, 1)}
}

// Run reports applied commands until ctx ends, and hands the leadership of the other logs to the leader of the catalog:
// only the leader of a log can change its members, and a plan changes those of all logs.
func (l *NodeLog) Run(ctx context.Context) error {
	updates, cancel := l.catalog.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case u := <-updates:
			l.notify()
			l.transferOtherLogs(ctx, u.Leader)
		}
	}
}

func (l *NodeLog) notify() {
	select {
	case l.applied <- struct{}{}:
	default:
	}
}

// transferOtherLogs transfers the leadership of the other logs that this VM leads to the leader of the catalog.
func (l *NodeLog) transferOtherLogs(ctx context.Context, leader consensus.MemberID) {
	for _, n := range l.otherLogs {
		s := n.Status()
		if s.Role != consensus.Leader || leader == "" || leader == s.ID {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, RequestTimeout)
		_ = n.TransferLeadership(bounded, leader) // tried again after the next update
		cancel()
	}
}

// Propose commits a command of the catalog.
func (l *NodeLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return l.catalog.Propose(ctx, command)
}

// Read waits until the local catalog is current.
func (l *NodeLog) Read(ctx context.Context) error { return l.catalog.Read(ctx) }

// Leader returns the RPC address of the catalog's leader.
func (l *NodeLog) Leader() string {
	m, _ := l.catalog.Leader()
	return m.Address
}

// Leading says whether this VM leads the catalog.
func (l *NodeLog) Leading() bool { return l.catalog.Status().Role == consensus.Leader }

// Applied receives a value after commands were applied.
func (l *NodeLog) Applied() <-chan struct{} { return l.applied }

func (l *NodeLog) nodes() []*node.Node {
	return append(append([]*node.Node(nil), l.otherLogs...), l.catalog)
}

// Status returns the members of the catalog. A member is a voter, or reachable, only if it is so in every log. Only the
// leader of a log knows which members are reachable.
func (l *NodeLog) Status() []planner.ControlStatus {
	var out []planner.ControlStatus
	for _, m := range l.catalog.Status().Membership.Members {
		s := planner.ControlStatus{ID: string(m.ID), Address: m.Address, Voter: true, Reachable: true, CaughtUp: true}
		for _, n := range l.nodes() {
			status := n.Status()
			s.Voter = s.Voter && status.Membership.Voter(m.ID)
			s.Reachable = s.Reachable && memberActive(status, m.ID)
			s.Unsettled = s.Unsettled || status.Role != consensus.Leader
		}
		s.CaughtUp = s.Voter && s.Reachable
		out = append(out, s)
	}
	return out
}

func memberActive(s consensus.Status, id consensus.MemberID) bool {
	if s.ID == id {
		return true
	}
	for _, p := range s.Progress {
		if p.ID == id {
			return p.Active
		}
	}
	return false
}

// Add makes a control VM a learner of every log.
func (l *NodeLog) Add(ctx context.Context, id, address string) error {
	for _, n := range l.nodes() {
		if _, known := n.Status().Membership.Find(consensus.MemberID(id)); known {
			continue
		}
		change := consensus.Change{Kind: consensus.AddLearner, ID: consensus.MemberID(id), Name: id, Address: address}
		if err := n.ChangeMember(ctx, change); err != nil {
			return err
		}
	}
	return nil
}

// Promote makes a learner that has caught up a voter of every log.
func (l *NodeLog) Promote(ctx context.Context, id string) error {
	for _, n := range l.nodes() {
		m, known := n.Status().Membership.Find(consensus.MemberID(id))
		if !known {
			return result.Errorf(result.MemberNotCaughtUp, "%s is not a member", id)
		}
		if !m.Learner {
			continue
		}
		if err := n.ChangeMember(ctx, consensus.Change{Kind: consensus.Promote, ID: m.ID}); err != nil {
			return err
		}
	}
	return nil
}

// Remove removes a control VM from every log, and from the catalog last, since a leader that removes itself stops
// leading.
func (l *NodeLog) Remove(ctx context.Context, id string) error {
	for _, n := range l.nodes() {
		if _, known := n.Status().Membership.Find(consensus.MemberID(id)); !known {
			continue
		}
		if err := n.ChangeMember(ctx, consensus.Change{Kind: consensus.Remove, ID: consensus.MemberID(id)}); err != nil {
			return err
		}
	}
	return nil
}
