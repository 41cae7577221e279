package control

import (
	"context"

	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// Report returns the closing report of a service.
func (s *IntentsServer) Report(ctx context.Context, req *intentpb.ReportRequest) (*intentpb.ReportResponse, error) {
	return &intentpb.ReportResponse{}, nil
}
