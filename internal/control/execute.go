package control

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// stepPlans starts the next action of every running plan. An intent has at most one proposal in flight. The catalog
// ignores a step that was carried out before, so that no step is repeated after a lost answer or by a new leader.
func (c *Control) stepPlans(ctx context.Context) {
	type work struct {
		intent uint64
		run    func(ctx context.Context) error
	}
	var todo []work
	c.withView(func(v planner.View) {
		for _, in := range v.Catalog.RunningIntents() {
			if c.proposalInFlight[in.Id] {
				continue
			}
			next := planner.NextStep(v, in)
			if next.Kind == planner.Wait {
				c.waitReasons[in.Id] = next.Reason
				continue
			}
			todo = append(todo, work{in.Id, c.action(in, next)})
		}
	})
	for _, w := range todo {
		c.proposalInFlight[w.intent] = true
		c.startWork(ctx, workStep, w.intent, w.run)
	}
}

// action returns the function that carries out one step. The function does not refer to the intent, which belongs to the
// catalog.
func (c *Control) action(in *intentpb.Intent, next planner.NextAction) func(ctx context.Context) error {
	id, number, index := in.Id, in.Plan.Number, in.Step
	replace := in.Spec.GetReplace()
	if next.Kind == planner.ReportOverdue {
		cmd := &catalogpb.Overdue{Intent: id, Callers: next.Callers, Work: next.OpenWork}
		return func(ctx context.Context) error {
			_, err := c.propose(ctx, &catalogpb.Command{Do: &catalogpb.Command_Overdue{Overdue: cmd}})
			c.cfg.Event("drain-overdue", id, "", next.Reason)
			return err
		}
	}
	if next.Kind == planner.PromoteControl { // the next tick finds the voter and advances the plan
		return func(ctx context.Context) error { return c.cfg.Members.Promote(ctx, replace.GetNew()) }
	}
	advance := &catalogpb.Advance{Intent: id, Number: number, Step: index}
	text := in.Plan.Steps[index].Text
	return func(ctx context.Context) error {
		if err := c.changeControlVMs(ctx, next.Kind, replace); err != nil {
			return err
		}
		_, err := c.propose(ctx, &catalogpb.Command{Do: &catalogpb.Command_Advance{Advance: advance}})
		if err == nil {
			c.cfg.Event("plan-step", id, "", text)
			level.Info(c.cfg.Logger).Log("event", "plan-step", "intent", id, "plan", number, "step", index, "text", text)
		}
		return err
	}
}

func (c *Control) changeControlVMs(ctx context.Context, action planner.ActionKind, replace *intentpb.ReplaceControl) error {
	if c.cfg.Members == nil && (action == planner.AddControl || action == planner.RemoveControl) {
		return result.Errorf(result.Internal, "the control VMs of this log cannot be changed")
	}
	switch action {
	case planner.AddControl:
		return c.cfg.Members.Add(ctx, replace.New, replace.Address)
	case planner.RemoveControl:
		return c.cfg.Members.Remove(ctx, replace.Old)
	}
	return nil
}

// checkLeases proposes the lost, returned and forgotten hosts that the lease table finds.
func (c *Control) checkLeases(ctx context.Context) {
	if c.checkingLeases {
		return
	}
	var cmds []*catalogpb.Command
	c.withView(func(v planner.View) {
		verdict := c.table.Check(v.Now, v.Catalog)
		if len(verdict.Lost) > 0 {
			cmds = append(cmds, &catalogpb.Command{Do: &catalogpb.Command_Lost{Lost: &catalogpb.DeclareLost{Hosts: verdict.Lost}}})
		}
		if len(verdict.Return) > 0 {
			cmds = append(cmds, &catalogpb.Command{Do: &catalogpb.Command_Return{Return: &catalogpb.Return{Hosts: verdict.Return}}})
		}
		if len(verdict.Forget) > 0 {
			cmds = append(cmds, &catalogpb.Command{Do: &catalogpb.Command_Forget{Forget: &catalogpb.Forget{Hosts: verdict.Forget}}})
		}
		for _, l := range verdict.Lost {
			c.cfg.Event("host-lost", 0, l.Host, "")
		}
	})
	if len(cmds) == 0 {
		return
	}
	c.checkingLeases = true
	c.startWork(ctx, workLeases, 0, func(ctx context.Context) error {
		for _, cmd := range cmds {
			if _, err := c.propose(ctx, cmd); err != nil {
				return err
			}
		}
		return nil
	})
}

// syncControl records the control VMs in the catalog when the log's members have changed.
func (c *Control) syncControl(ctx context.Context) {
	if c.cfg.Members == nil || c.syncingControl {
		return
	}
	set := &catalogpb.SetControl{}
	same := false
	c.withView(func(v planner.View) {
		known := map[string]string{}
		for _, m := range v.Catalog.Control() {
			known[m.Id] = m.Address
		}
		same = len(known) == len(v.Control)
		for _, m := range v.Control {
			set.Members = append(set.Members, &catalogpb.ControlMember{Id: m.ID, Address: m.Address})
			same = same && known[m.ID] == m.Address
		}
	})
	if same {
		return
	}
	c.syncingControl = true
	c.startWork(ctx, workSyncControl, 0, func(ctx context.Context) error {
		_, err := c.propose(ctx, &catalogpb.Command{Do: &catalogpb.Command_SetControl{SetControl: set}})
		return err
	})
}
