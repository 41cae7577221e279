package group

import (
	"context"
	"errors"
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// leaderless is how long a member waits for a leader before it asks others to be added: several elections.
const leaderless = 2 * time.Second

// maintain runs the membership decisions of this member until the log fails or ctx is done.
func (g *Group) maintain(ctx context.Context, n *node.Node) error {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	heard := time.Now()
	var askedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.Done():
			if err := n.Err(); err != nil {
				return err
			}
			return errors.New("the replicated log ended")
		case <-ticker.C:
		}
		now := time.Now()
		status := n.Status()
		if status.Leader != "" {
			heard = now
		}
		voter := status.Membership.Voter(status.ID)
		if voter {
			g.set(func() { g.phase = PhaseMember })
		}
		if status.Role == consensus.Leader {
			g.set(func() {
				if g.changed.IsZero() {
					g.changed = now
				}
			})
			g.lead(ctx, n, status, now)
			continue
		}
		g.set(func() {
			clear(g.silent)
			g.changed = time.Time{}
		})
		if (!voter || now.Sub(heard) > leaderless) && now.Sub(askedAt) > leaderless/4 {
			askedAt = now
			g.askToJoin(ctx)
		}
	}
}

// askToJoin asks every control VM in turn until one is the leader.
func (g *Group) askToJoin(ctx context.Context) {
	g.mu.Lock()
	request := &pb.JoinRequest{Identity: string(g.identity.ID), Name: g.identity.Name, Address: g.cfg.Self.String()}
	g.mu.Unlock()
	targets := g.seedList()
	for _, c := range g.cfg.Controls() {
		if !contains(targets, c) {
			targets = append(targets[:len(targets):len(targets)], c)
		}
	}
	for _, target := range targets {
		if target == g.cfg.Self {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			response, err := g.clients.group(target.String()).Join(ctx, request)
			if err == nil && response.GetLeader() != "" && response.GetLeader() != target.String() {
				// A failure is repeated with the next round of requests.
				_, _ = g.clients.group(response.GetLeader()).Join(ctx, request)
			}
		}()
	}
}

// lead makes at most one membership change.
func (g *Group) lead(ctx context.Context, n *node.Node, status consensus.Status, now time.Time) {
	change, why := g.nextChange(status, now)
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := n.ChangeMember(ctx, *change)
	switch result.CodeOf(err) {
	case result.MemberNotCaughtUp, result.MemberChangeBusy:
		return // tried again at the next step
	}
	_ = g.cfg.Logger.Log("event", "membership_change", "kind", changeName(change.Kind), "identity", change.ID, "why", why,
		"voters", status.Membership.Voters(), "code", int(result.CodeOf(err)), "error", err)
}

func changeName(k consensus.ChangeKind) string {
	return map[consensus.ChangeKind]string{
		consensus.AddLearner: "add", consensus.Promote: "promote", consensus.Remove: "remove",
	}[k]
}

// nextChange decides about the membership. In this order: a learner becomes a voter where too few vote, a member whose
// machine came back with another identity is removed, a machine that asked is added, a silent voter is removed where
// another member can take its place or there are more voters than needed, a learner becomes a voter, and a silent learner
// is removed.
func (g *Group) nextChange(status consensus.Status, now time.Time) (*consensus.Change, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteSilence(status, now)
	ready := g.readyLearner(status)
	if ready != "" && status.Membership.Voters() < g.wanted() {
		return &consensus.Change{Kind: consensus.Promote, ID: ready}, "too few voters"
	}
	for id, m := range g.asked {
		if _, ok := status.Membership.Find(id); ok {
			delete(g.asked, id)
			continue
		}
		for _, old := range status.Membership.Members {
			if old.Address == m.Address && old.ID != id {
				return &consensus.Change{Kind: consensus.Remove, ID: old.ID}, "its machine has a new data directory"
			}
		}
		delete(g.asked, id)
		return &consensus.Change{Kind: consensus.AddLearner, ID: id, Name: m.Name, Address: m.Address}, "asked to join"
	}
	for _, m := range status.Membership.Members {
		since, silent := g.silent[m.ID]
		if !silent || now.Sub(since) < g.cfg.Silence {
			continue
		}
		if m.Learner {
			return &consensus.Change{Kind: consensus.Remove, ID: m.ID}, "silent learner"
		}
		if ready != "" || status.Membership.Voters() > g.wanted() {
			return &consensus.Change{Kind: consensus.Remove, ID: m.ID}, "silent and replaceable"
		}
	}
	if ready != "" {
		return &consensus.Change{Kind: consensus.Promote, ID: ready}, "caught up"
	}
	return nil, ""
}

// readyLearner returns a learner that the leader hears, or "".
func (g *Group) readyLearner(status consensus.Status) consensus.MemberID {
	for _, m := range status.Membership.Members {
		if _, silent := g.silent[m.ID]; m.Learner && !silent && m.ID != status.ID {
			return m.ID
		}
	}
	return ""
}

// noteSilence records since when each other member is not heard.
func (g *Group) noteSilence(status consensus.Status, now time.Time) {
	for _, p := range status.Progress {
		if p.Active || p.ID == status.ID {
			delete(g.silent, p.ID)
		} else if _, ok := g.silent[p.ID]; !ok {
			g.silent[p.ID] = now
		}
	}
}
