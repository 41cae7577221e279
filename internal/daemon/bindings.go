package daemon

import (
	"context"
	"time"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/model"
)

// bindingsProposer lets the bindings server propose commands to the bindings log.
type bindingsProposer struct{ log *node.Node }

// Propose implements binding.Proposer.
func (p *bindingsProposer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return p.log.Propose(ctx, command)
}

// Leader implements binding.Proposer.
func (p *bindingsProposer) Leader() string {
	leader, _ := p.log.Leader()
	return leader.Address
}

// endedIncarnationInterval is the period of the check for ended incarnations of agents.
const endedIncarnationInterval = time.Second

// endedIncarnations returns the latest ended incarnation of each upstream: its current incarnation if the host was
// declared lost, else the one before.
func endedIncarnations(s *model.Snapshot) map[model.HostID]model.Incarnation {
	out := map[model.HostID]model.Incarnation{}
	for host, up := range s.Upstreams {
		out[host] = up.Ref.Incarnation - 1
	}
	for _, svc := range s.Services {
		for _, m := range svc.Members {
			if up := s.Upstreams[m.Host]; up != nil && m.State == model.UpstreamLost {
				out[m.Host] = up.Ref.Incarnation
			}
		}
	}
	return out
}

// reportEndedIncarnations records in the bindings log which incarnations of agents have ended. Retries of a key that
// such an incarnation owns are then answered with "outcome unknown" at once instead of waiting for the owner. Only the
// leader of the log proposes these commands, and a new leader repeats them; they are idempotent.
func (r *controlRole) reportEndedIncarnations(ctx context.Context) error {
	ticker := time.NewTicker(endedIncarnationInterval)
	defer ticker.Stop()
	reported := map[model.HostID]model.Incarnation{} // by this VM since it became leader
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if r.bindings.Status().Role != consensus.Leader {
			clear(reported)
			continue
		}
		r.proposeEndedIncarnations(ctx, reported)
	}
}

// proposeEndedIncarnations proposes the ended incarnations that are not in reported, and adds them to it.
func (r *controlRole) proposeEndedIncarnations(ctx context.Context, reported map[model.HostID]model.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, endedIncarnationInterval)
	defer cancel()
	for host, last := range endedIncarnations(r.state.Config()) {
		if last <= reported[host] {
			continue
		}
		if _, err := r.bindings.Propose(ctx, binding.LostCommand(host, last)); err != nil {
			return // retried at the next tick
		}
		reported[host] = last
	}
}
