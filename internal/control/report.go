package control

import (
	"context"

	"github.com/plantainseam/plantainseam/internal/membership"
	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/internal/report"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// systemName is the name in the system's signature.
const systemName = "plantainseam"

// Report returns the closing report of a service with the system's signature. The operator signs it with their own key
// outside the system.
func (s *IntentsServer) Report(ctx context.Context, req *intentpb.ReportRequest) (*intentpb.ReportResponse, error) {
	ctx, cancel, _, err := s.begin(ctx)
	defer cancel()
	res := &intentpb.ReportResponse{}
	if err == nil {
		res.Json, err = s.report(ctx, req.Service)
	}
	if err != nil {
		r, _ := s.reply(nil, err)
		res.Code, res.Detail, res.Leader = r.Code, r.Detail, r.Leader
	}
	return res, nil
}

func (s *IntentsServer) report(ctx context.Context, service string) ([]byte, error) {
	if s.control.cfg.SystemKey == nil {
		return nil, result.Errorf(result.ReportUnsigned, "the settings name no system key")
	}
	var r *report.Report
	var buildErr error
	err := s.control.runAsLeader(ctx, func(v planner.View, _ *membership.Table) { r, buildErr = report.Build(v.Catalog, service) })
	if err != nil || buildErr != nil {
		return nil, firstError(err, buildErr)
	}
	if err := r.Sign(report.RoleSystem, systemName, s.control.cfg.SystemKey); err != nil {
		return nil, err
	}
	return r.Encode()
}
