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

// leaderlessTimeout is how long a voter waits for a leader before it asks to join again. It covers several elections.
const leaderlessTimeout = 2 * time.Second

// maintain periodically changes the membership as leader, or asks to join otherwise, until the log fails or ctx is done.
func (g *Group) maintain(ctx context.Context, n *node.Node) error {
	ticker := time.NewTicker(maintainInterval)
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
			g.locked(func() { g.phase = PhaseMember })
		}
		if status.Role == consensus.Leader {
			g.locked(func() {
				if g.quietSince.IsZero() {
					g.quietSince = now
				}
			})
			g.changeMembership(ctx, n, status, now)
			continue
		}
		g.locked(func() {
			clear(g.silentSince)
			g.quietSince = time.Time{}
		})
		if (!voter || now.Sub(heard) > leaderlessTimeout) && now.Sub(askedAt) > leaderlessTimeout/4 {
			askedAt = now
			g.askToJoin(ctx)
		}
	}
}

// askToJoin sends a join request to every known control VM in parallel, and to the leader that an answer names.
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
			response, err := g.clients.client(target.String()).Join(ctx, request)
			if err == nil && response.GetLeader() != "" && response.GetLeader() != target.String() {
				// After a failure, the next round sends the request again.
				_, _ = g.clients.client(response.GetLeader()).Join(ctx, request)
			}
		}()
	}
}

// changeMembership makes at most one membership change, as leader.
func (g *Group) changeMembership(ctx context.Context, n *node.Node, status consensus.Status, now time.Time) {
	change, why := g.nextChange(status, now)
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := n.ChangeMember(ctx, *change)
	switch result.CodeOf(err) {
	case result.MemberNotCaughtUp, result.MemberChangeBusy:
		return // the next check retries
	}
	_ = g.cfg.Logger.Log("event", "membership_change", "kind", changeName(change.Kind), "identity", change.ID, "why", why,
		"voters", status.Membership.Voters(), "code", int(result.CodeOf(err)), "error", err)
}

func changeName(k consensus.ChangeKind) string {
	return map[consensus.ChangeKind]string{
		consensus.AddLearner: "add", consensus.Promote: "promote", consensus.Remove: "remove",
	}[k]
}

// nextChange returns the next membership change and its reason, or nil. In this order: it promotes a learner if there are too
// few voters, removes a member whose machine asked to join under another identity, adds a machine that asked to join, removes
// a silent learner or a silent voter that a learner can replace or that is not needed, and promotes a learner.
func (g *Group) nextChange(status consensus.Status, now time.Time) (*consensus.Change, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateSilence(status, now)
	ready := g.readyLearner(status)
	if ready != "" && status.Membership.Voters() < g.wantedVoters() {
		return &consensus.Change{Kind: consensus.Promote, ID: ready}, "too few voters"
	}
	for id, m := range g.joinRequests {
		if _, ok := status.Membership.Find(id); ok {
			delete(g.joinRequests, id)
			continue
		}
		for _, old := range status.Membership.Members {
			if old.Address == m.Address && old.ID != id {
				return &consensus.Change{Kind: consensus.Remove, ID: old.ID}, "its machine has a new data directory"
			}
		}
		delete(g.joinRequests, id)
		return &consensus.Change{Kind: consensus.AddLearner, ID: id, Name: m.Name, Address: m.Address}, "asked to join"
	}
	for _, m := range status.Membership.Members {
		since, silent := g.silentSince[m.ID]
		if !silent || now.Sub(since) < g.cfg.SilenceTimeout {
			continue
		}
		if m.Learner {
			return &consensus.Change{Kind: consensus.Remove, ID: m.ID}, "silent learner"
		}
		if ready != "" || status.Membership.Voters() > g.wantedVoters() {
			return &consensus.Change{Kind: consensus.Remove, ID: m.ID}, "silent and replaceable"
		}
	}
	if ready != "" {
		return &consensus.Change{Kind: consensus.Promote, ID: ready}, "caught up"
	}
	return nil, ""
}

// readyLearner returns a learner that is not silent, or "".
func (g *Group) readyLearner(status consensus.Status) consensus.MemberID {
	for _, m := range status.Membership.Members {
		if _, silent := g.silentSince[m.ID]; m.Learner && !silent && m.ID != status.ID {
			return m.ID
		}
	}
	return ""
}

// updateSilence records the start of the silence of each member that the leader does not hear.
func (g *Group) updateSilence(status consensus.Status, now time.Time) {
	for _, p := range status.Progress {
		if p.Active || p.ID == status.ID {
			delete(g.silentSince, p.ID)
		} else if _, ok := g.silentSince[p.ID]; !ok {
			g.silentSince[p.ID] = now
		}
	}
}
