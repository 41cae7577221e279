package group

import (
	"context"
	"time"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Introduce implements the Group service: it returns the identity, the phase and the known founders of this control VM.
func (g *Group) Introduce(context.Context, *pb.IntroduceRequest) (*pb.IntroduceResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	response := &pb.IntroduceResponse{Identity: string(g.identity.ID), Name: g.identity.Name, Phase: uint32(g.phase)}
	for _, f := range g.founders {
		response.Founders = append(response.Founders, &pb.Founder{Identity: string(f.ID), Name: f.Name, Address: f.Address})
	}
	return response, nil
}

// Join implements the Group service. The leader queues the request to join or leave and handles it at its next membership check.
func (g *Group) Join(_ context.Context, request *pb.JoinRequest) (*pb.JoinResponse, error) {
	n, err := g.runningNode()
	if err != nil {
		return &pb.JoinResponse{Code: uint32(result.CodeOf(err)), Detail: err.Error()}, nil
	}
	if n.Status().Role != consensus.Leader {
		leader, _ := n.Leader()
		return &pb.JoinResponse{Leader: leader.Address, Code: uint32(result.NotLeader)}, nil
	}
	member := consensus.Member{
		ID: consensus.MemberID(request.GetIdentity()), Name: request.GetName(), Address: request.GetAddress(),
	}
	if member.ID == "" || member.Address == "" {
		return &pb.JoinResponse{Code: uint32(result.StoreIdentity), Detail: "request names no identity or address"}, nil
	}
	if request.GetLeaving() {
		pending := false
		g.locked(func() { pending = g.planner.Leave(time.Now(), member.ID, n.Status()) })
		return &pb.JoinResponse{Pending: pending}, nil
	}
	if _, ok := n.Status().Membership.Find(member.ID); !ok {
		g.locked(func() { g.planner.Join(time.Now(), member) })
	}
	return &pb.JoinResponse{}, nil
}

// Declare implements the Group service: the leader commits a command that another control VM received.
func (g *Group) Declare(ctx context.Context, request *pb.DeclareRequest) (*pb.DeclareResponse, error) {
	n, err := g.runningNode()
	if err == nil {
		err = g.proposeAsLeader(ctx, n, request.GetDeclaration())
	}
	if err != nil {
		return &pb.DeclareResponse{Code: uint32(result.CodeOf(err)), Detail: err.Error()}, nil
	}
	return &pb.DeclareResponse{}, nil
}
