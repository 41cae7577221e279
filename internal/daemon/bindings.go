package daemon

import (
	"context"
	"time"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/model"
)

// bindingsProposer is the bindings log as its server sees it.
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

// ownerInterval is how often ended runs of agents are looked for.
const ownerInterval = time.Second

// lostOwners returns for each upstream the latest run that will give no more answers: the one before the present run,
// or the present one when the host was declared lost.
func lostOwners(s *model.Snapshot) map[model.HostID]model.Incarnation {
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

// releaseOwners tells the bindings log which runs of agents have ended, so that retries of their keys are answered with
// "outcome unknown" at once and do not wait for an owner that is gone. Only the leader of the log does so, and a new
// leader repeats it; the command is idempotent.
func (r *controlRole) releaseOwners(ctx context.Context) error {
	ticker := time.NewTicker(ownerInterval)
	defer ticker.Stop()
	told := map[model.HostID]model.Incarnation{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if r.bindings.Status().Role != consensus.Leader {
			clear(told)
			continue
		}
		r.tellLost(ctx, told)
	}
}

// tellLost proposes what the log has not been told by this leader.
func (r *controlRole) tellLost(ctx context.Context, told map[model.HostID]model.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, ownerInterval)
	defer cancel()
	for host, last := range lostOwners(r.state.Config()) {
		if last <= told[host] {
			continue
		}
		if _, err := r.bindings.Propose(ctx, binding.LostCommand(host, last)); err != nil {
			return // tried again at the next tick
		}
		told[host] = last
	}
}
