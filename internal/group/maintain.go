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
			g.locked(func() { g.planner.Lead(now) })
			g.changeMembership(ctx, n, now)
			continue
		}
		g.locked(g.planner.Follow)
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

// maxChangesInSeries bounds the membership changes of one check. The removal of a lost voter and the promotion of its replacement
// follow each other at once, because the group has one voter less in between.
const maxChangesInSeries = 8

// changeMembership makes the membership changes that are due, as leader.
func (g *Group) changeMembership(ctx context.Context, n *node.Node, now time.Time) {
	for range maxChangesInSeries {
		status := n.Status()
		if status.Role != consensus.Leader || !g.changeMember(ctx, n, status, now) {
			return
		}
	}
}

// changeMember makes the next membership change, if there is one, and reports whether it was committed.
func (g *Group) changeMember(ctx context.Context, n *node.Node, status consensus.Status, now time.Time) bool {
	var change *consensus.Change
	var why string
	g.locked(func() { change, why = g.planner.Next(now, status) })
	if change == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := n.ChangeMember(ctx, *change)
	switch result.CodeOf(err) {
	case result.MemberNotCaughtUp, result.MemberChangeBusy:
		return false // the next check retries
	}
	_ = g.cfg.Logger.Log("event", "membership_change", "kind", changeName(change.Kind), "identity", change.ID, "why", why,
		"voters", status.Membership.Voters(), "silent", silentVoters(status), "code", int(result.CodeOf(err)), "error", err)
	return err == nil
}

// silentVoters returns the number of voters that the leader does not hear.
func silentVoters(status consensus.Status) int {
	n := 0
	for _, p := range status.Progress {
		if !p.Active && status.Membership.Voter(p.ID) {
			n++
		}
	}
	return n
}

func changeName(k consensus.ChangeKind) string {
	return map[consensus.ChangeKind]string{
		consensus.AddLearner: "add", consensus.Promote: "promote", consensus.Remove: "remove",
	}[k]
}
