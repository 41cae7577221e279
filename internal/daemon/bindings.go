package daemon

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
)

// proposer is the bindings log as its server sees it.
type proposer struct{ log *node.Node }

// Propose implements binding.Proposer.
func (p *proposer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return p.log.Propose(ctx, command)
}

// Leader returns the RPC address of the leader, or "".
func (p *proposer) Leader() string {
	leader, _ := p.log.Leader()
	return leader.Address
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
