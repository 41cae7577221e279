package binding

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
)

// Server serves bindpb.Bindings on a control VM.
type Server struct {
	proposer Proposer
}

// NewServer returns a server that proposes to the `bindings` log.
func NewServer(p Proposer) *Server { return &Server{proposer: p} }

// propose appends a command and decodes its result into the response. If that fails it returns the code and, if known,
// the leader. A failure is a response and not a twirp error, so that the client can go on with the leader.
func (s *Server) propose(ctx context.Context, cmd *bindpb.Command, into proto.Message) (result.Code, string) {
	command, err := proto.Marshal(cmd)
	if err != nil {
		return result.RequestMalformed, ""
	}
	out, err := s.proposer.Propose(ctx, command)
	if err != nil {
		return result.CodeOf(err), s.proposer.Leader()
	}
	if err := proto.Unmarshal(out, into); err != nil {
		return result.Internal, ""
	}
	return result.OK, ""
}

// Bind proposes a Bind command.
func (s *Server) Bind(ctx context.Context, r *bindpb.BindRequest) (*bindpb.BindResponse, error) {
	resp := &bindpb.BindResponse{}
	code, leader := s.propose(ctx, &bindpb.Command{Kind: &bindpb.Command_Bind{Bind: r}}, resp)
	if code != result.OK {
		return &bindpb.BindResponse{Code: uint32(code), Leader: leader}, nil
	}
	return resp, nil
}

// Finish proposes a Finish command.
func (s *Server) Finish(ctx context.Context, r *bindpb.FinishRequest) (*bindpb.FinishResponse, error) {
	resp := &bindpb.FinishResponse{}
	code, leader := s.propose(ctx, &bindpb.Command{Kind: &bindpb.Command_Finish{Finish: r}}, resp)
	if code != result.OK {
		return &bindpb.FinishResponse{Code: uint32(code), Leader: leader}, nil
	}
	return resp, nil
}

// Release proposes a Release command.
func (s *Server) Release(ctx context.Context, r *bindpb.ReleaseRequest) (*bindpb.ReleaseResponse, error) {
	resp := &bindpb.ReleaseResponse{}
	code, leader := s.propose(ctx, &bindpb.Command{Kind: &bindpb.Command_Release{Release: r}}, resp)
	if code != result.OK {
		return &bindpb.ReleaseResponse{Code: uint32(code), Leader: leader}, nil
	}
	return resp, nil
}
