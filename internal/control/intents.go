package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/membership"
	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// IntentsServer implements intentpb.Intents.
type IntentsServer struct {
	control *Control
}

// NewIntentsServer returns the server for operators.
func NewIntentsServer(c *Control) *IntentsServer {
	return &IntentsServer{control: c}
}

// begin limits the duration of the call, checks the operator and waits until the state is current.
func (s *IntentsServer) begin(ctx context.Context) (context.Context, context.CancelFunc, string, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	operator, err := operatorName(ctx)
	if err == nil && !s.control.cfg.Log.Leading() {
		err = result.Errorf(result.NotLeader, "leader is %q", s.control.cfg.Log.Leader())
	}
	if err == nil {
		err = s.control.cfg.Log.Read(ctx)
	}
	return ctx, cancel, operator, err
}

func (s *IntentsServer) reply(in *intentpb.Intent, err error) (*intentpb.IntentResponse, error) {
	res := &intentpb.IntentResponse{Intent: in}
	if err == nil {
		return res, nil
	}
	res.Code = uint32(result.CodeOf(err))
	res.Detail = detailOf(err)
	if result.CodeOf(err) == result.NotLeader {
		res.Leader = s.control.cfg.Log.Leader()
	}
	return res, nil
}

// Plan records an intent and its plan. A resend returns the first answer, also when that was a refusal other than
// result.MembersUnsettled.
func (s *IntentsServer) Plan(ctx context.Context, req *intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
	ctx, cancel, operator, err := s.begin(ctx)
	defer cancel()
	if err != nil {
		return s.reply(nil, err)
	}
	in, err := s.plan(ctx, operator, req)
	if err == nil && in.GetCode() != 0 {
		err = result.Errorf(result.Code(in.Code), "%s", in.Detail)
	}
	return s.reply(in, err)
}

func (s *IntentsServer) plan(ctx context.Context, operator string, req *intentpb.PlanRequest) (*intentpb.Intent, error) {
	cmd := &catalogpb.Submit{Operator: operator, Key: req.Key, Spec: req.Spec}
	var first *intentpb.Intent
	var keyErr, planErr error
	err := s.control.runAsLeader(ctx, func(v planner.View, _ *membership.Table) {
		holder, err := v.Catalog.IntentByKey(operator, req.Key, req.Spec)
		if holder != nil || err != nil {
			first, keyErr = cloneIntent(holder), err
			return
		}
		cmd.Plan, planErr = planner.Plan(v, req.Spec)
		if planErr == nil {
			planErr = v.Catalog.CheckClaims(cmd.Plan)
		}
	})
	if err != nil {
		return nil, err
	}
	if first != nil || keyErr != nil {
		return first, keyErr
	}
	if result.CodeOf(planErr) == result.MembersUnsettled {
		return nil, planErr // not kept under the key: the same call succeeds once the leaders are settled
	}
	if planErr != nil {
		cmd.Plan = nil
		cmd.Code, cmd.Detail = uint32(result.CodeOf(planErr)), detailOf(planErr)
	}
	res, err := s.control.propose(ctx, &catalogpb.Command{Do: &catalogpb.Command_Submit{Submit: cmd}})
	return res.GetIntent(), err
}

// Confirm starts a plan. When the state has changed, the answer is result.PlanOutdated with a new plan to confirm.
func (s *IntentsServer) Confirm(ctx context.Context, req *intentpb.ConfirmRequest) (*intentpb.IntentResponse, error) {
	ctx, cancel, operator, err := s.begin(ctx)
	defer cancel()
	if err != nil {
		return s.reply(nil, err)
	}
	in, err := s.confirm(ctx, operator, req)
	if result.CodeOf(err) == result.PlanOutdated && in.GetState() == intentpb.State_STATE_PLANNED && in.Plan.GetNumber() == req.Plan {
		in, err = s.replan(ctx, in, err)
	}
	return s.reply(in, err)
}

// confirm plans again before it proposes the confirmation: the catalog checks only its own objects, and the load of the
// hosts is known only from announcements.
func (s *IntentsServer) confirm(ctx context.Context, operator string, req *intentpb.ConfirmRequest) (*intentpb.Intent, error) {
	var in *intentpb.Intent
	var planErr error
	err := s.control.runAsLeader(ctx, func(v planner.View, _ *membership.Table) {
		in = cloneIntent(v.Catalog.Intent(req.Intent))
		if in.GetState() != intentpb.State_STATE_PLANNED || v.Catalog.CheckClaims(in.Plan) != nil {
			return // the catalog refuses the confirmation with the reason
		}
		_, planErr = planner.Plan(v, in.Spec)
	})
	if err != nil || planErr != nil {
		return in, firstError(err, planErr)
	}
	cmd := &catalogpb.Confirm{Intent: req.Intent, Number: req.Plan, Operator: operator}
	res, err := s.control.propose(ctx, &catalogpb.Command{Do: &catalogpb.Command_Confirm{Confirm: cmd}})
	return res.GetIntent(), err
}

// replan replaces an outdated plan and returns the intent together with the cause.
func (s *IntentsServer) replan(ctx context.Context, in *intentpb.Intent, cause error) (*intentpb.Intent, error) {
	cmd := &catalogpb.Replan{Intent: in.Id, Number: in.Plan.Number}
	var planErr error
	err := s.control.runAsLeader(ctx, func(v planner.View, _ *membership.Table) { cmd.Plan, planErr = planner.Plan(v, in.Spec) })
	if err != nil || planErr != nil {
		return in, firstError(err, planErr)
	}
	res, err := s.control.propose(ctx, &catalogpb.Command{Do: &catalogpb.Command_Replan{Replan: cmd}})
	if err != nil {
		return in, err
	}
	return res.Intent, cause
}

// Get returns an intent with the reason why it waits.
func (s *IntentsServer) Get(ctx context.Context, req *intentpb.IntentRequest) (*intentpb.IntentResponse, error) {
	ctx, cancel, _, err := s.begin(ctx)
	defer cancel()
	var in *intentpb.Intent
	if err == nil {
		err = s.control.runAsLeader(ctx, func(v planner.View, _ *membership.Table) { in = s.control.withWaiting(v.Catalog.Intent(req.Intent)) })
	}
	if err == nil && in == nil {
		err = result.Errorf(result.IntentUnknown, "no intent %d", req.Intent)
	}
	return s.reply(in, err)
}

// List returns the intents and the revision in force at each VM.
func (s *IntentsServer) List(ctx context.Context, req *intentpb.ListRequest) (*intentpb.ListResponse, error) {
	ctx, cancel, _, err := s.begin(ctx)
	defer cancel()
	res := &intentpb.ListResponse{}
	if err == nil {
		err = s.control.runAsLeader(ctx, func(v planner.View, _ *membership.Table) {
			for _, in := range v.Catalog.Intents(req.OpenOnly) {
				res.Intents = append(res.Intents, s.control.withWaiting(in))
			}
			res.Revision = uint64(v.Catalog.Revision())
			v.Catalog.Hosts(func(h *catalogpb.Host) { res.InForce = append(res.InForce, inForce(v, h)) })
		})
	}
	if err != nil {
		r, _ := s.reply(nil, err)
		res.Code, res.Detail, res.Leader = r.Code, r.Detail, r.Leader
	}
	sortInForce(res.InForce)
	return res, nil
}

// Pause stops a plan between two steps.
func (s *IntentsServer) Pause(ctx context.Context, req *intentpb.IntentRequest) (*intentpb.IntentResponse, error) {
	return s.setState(ctx, req.Intent, intentpb.State_STATE_PAUSED, false)
}

// Resume continues a paused plan; with Now it also ends a wait for a time.
func (s *IntentsServer) Resume(ctx context.Context, req *intentpb.IntentRequest) (*intentpb.IntentResponse, error) {
	return s.setState(ctx, req.Intent, intentpb.State_STATE_RUNNING, req.Now)
}

// Abort ends a plan and restores drained hosts and stopped services.
func (s *IntentsServer) Abort(ctx context.Context, req *intentpb.IntentRequest) (*intentpb.IntentResponse, error) {
	return s.setState(ctx, req.Intent, intentpb.State_STATE_ABORTED, false)
}

func (s *IntentsServer) setState(ctx context.Context, id uint64, state intentpb.State, now bool) (*intentpb.IntentResponse, error) {
	ctx, cancel, operator, err := s.begin(ctx)
	defer cancel()
	if err != nil {
		return s.reply(nil, err)
	}
	cmd := &catalogpb.SetState{Intent: id, State: state, Operator: operator, Now: now}
	res, err := s.control.propose(ctx, &catalogpb.Command{Do: &catalogpb.Command_SetState{SetState: cmd}})
	return s.reply(res.GetIntent(), err)
}

// withWaiting returns a copy of an intent with the reason why it waits. It must run in Run's goroutine.
func (c *Control) withWaiting(in *intentpb.Intent) *intentpb.Intent {
	out := cloneIntent(in)
	if out.GetState() == intentpb.State_STATE_RUNNING {
		out.Waiting = c.waitReasons[out.Id]
	}
	return out
}

func inForce(v planner.View, h *catalogpb.Host) *intentpb.InForce {
	revision, _ := v.Fleet.InForce(h.Host)
	return &intentpb.InForce{
		Host:     h.Host,
		Revision: uint64(revision),
		Entry:    h.Entry,
		Leased:   v.Fleet.Leased(v.Now, h.Host),
	}
}

func cloneIntent(in *intentpb.Intent) *intentpb.Intent {
	if in == nil {
		return nil
	}
	return proto.Clone(in).(*intentpb.Intent)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
