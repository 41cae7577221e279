package planner

import (
	"fmt"
	"slices"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// Action is what the leader does next for a running plan.
type Action uint8

// Actions.
const (
	Wait           Action = iota + 1 // nothing to do; Reason says what the plan waits for
	Advance                          // propose that the step is carried out
	Overdue                          // propose the list of callers that remain at the deadline
	AddControl                       // add the control VM to the logs, then Advance
	PromoteControl                   // make the control VM a voter
	RemoveControl                    // remove the control VM from the logs, then Advance
)

// Next is the next action of a running plan.
type Next struct {
	Action  Action
	Reason  string
	Callers []string // Overdue only: callers known to have open work
	Work    uint64   // Overdue only: flows and requests open
}

// NextStep returns the next action of a running intent. It depends only on the view, so that any new leader continues
// where the last one stopped.
func NextStep(v View, in *intentpb.Intent) Next {
	if in.State != intentpb.State_STATE_RUNNING || int(in.Step) >= len(in.Plan.Steps) {
		return Next{Action: Wait, Reason: "not running"}
	}
	step := in.Plan.Steps[in.Step]
	switch step.Kind {
	case intentpb.StepKind_STEP_AWAIT_IN_FORCE:
		return v.awaited(in, step, v.notInForce(in, step))
	case intentpb.StepKind_STEP_AWAIT_IDLE:
		return v.awaited(in, step, v.notIdle(in, step))
	case intentpb.StepKind_STEP_AWAIT_TIME:
		return v.awaitTime(in)
	case intentpb.StepKind_STEP_ADD_CONTROL:
		return Next{Action: AddControl}
	case intentpb.StepKind_STEP_AWAIT_CAUGHT_UP:
		return v.awaitCaughtUp(step)
	case intentpb.StepKind_STEP_REMOVE_CONTROL:
		return Next{Action: RemoveControl}
	}
	return Next{Action: Advance}
}

func (v View) awaited(in *intentpb.Intent, step *intentpb.Step, reason string) Next {
	if reason == "" {
		return Next{Action: Advance}
	}
	deadline := in.Plan.DeadlineUnixMs
	if deadline == 0 || in.Overdue || v.Now.UnixMilli() < deadline {
		return Next{Action: Wait, Reason: reason}
	}
	next := Next{Action: Overdue, Reason: reason}
	svc := v.Catalog.Service(step.Service)
	for _, host := range v.drained(in, step) {
		l := v.load(host, svc.GetId())
		next.Work += l.Flows + l.Requests()
		next.Callers = append(next.Callers, v.Fleet.OpenCallers(host, svc.GetId())...)
	}
	return next
}

// drained returns the hosts whose work a step waits for.
func (v View) drained(in *intentpb.Intent, step *intentpb.Step) []string {
	if len(step.Hosts) > 0 {
		return step.Hosts
	}
	if svc := v.Catalog.Service(step.Service); svc != nil && in.Spec.GetClose() != nil {
		return svc.Rights
	}
	return nil
}

// needed returns the newest revision that the plan's steps have produced.
func needed(in *intentpb.Intent) model.Revision {
	var newest uint64
	for _, s := range in.Plan.Steps[:in.Step] {
		newest = max(newest, s.Revision)
	}
	return model.Revision(newest)
}

// notInForce names a VM that does not have the plan's newest revision yet, or returns "". Entries count until they are
// lost. A member without a lease takes no new flows and is not waited for, unless it is one of the hosts that the step
// drains: those must know it, or be lost.
func (v View) notInForce(in *intentpb.Intent, step *intentpb.Step) string {
	want := needed(in)
	affected := v.members(in, step)
	drained := v.drained(in, step)
	waiting := ""
	v.Catalog.Hosts(func(h *catalogpb.Host) {
		if h.Lost || h.Retired || (waiting != "" && waiting < h.Host) {
			return
		}
		must := h.Entry || isRotation(in) || slices.Contains(drained, h.Host)
		may := affected[h.Host] && v.Fleet.Leased(v.Now, h.Host)
		if !must && !may {
			return
		}
		if have, _ := v.Fleet.InForce(h.Host); have < want {
			waiting = h.Host
		}
	})
	if waiting == "" {
		return ""
	}
	return fmt.Sprintf("revision %d is not in force at %s", want, waiting)
}

// members returns the members of every service that the plan touches.
func (v View) members(in *intentpb.Intent, step *intentpb.Step) map[string]bool {
	services := []*catalogpb.Service{v.Catalog.Service(step.Service), v.Catalog.Service(in.Spec.GetCreate().GetName())}
	for _, host := range step.Hosts {
		services = append(services, v.Catalog.ServicesOf(host)...)
	}
	hosts := map[string]bool{}
	for _, svc := range services {
		for _, m := range svc.GetMembers() {
			hosts[m.Host] = true
		}
	}
	return hosts
}

// notIdle names a host that still has work, or returns "". Only an announcement made with the plan's revision in force
// counts, since an older one may precede new work. A lost host has no work that could be waited for.
func (v View) notIdle(in *intentpb.Intent, step *intentpb.Step) string {
	want := needed(in)
	svc := v.Catalog.Service(step.Service)
	for _, host := range v.drained(in, step) {
		h := v.Catalog.Host(host)
		if h == nil || h.Lost || h.Retired || (svc != nil && !slices.Contains(h.Carries, svc.Name)) {
			continue
		}
		have, known := v.Fleet.InForce(host)
		if !known || have < want || !v.Fleet.Leased(v.Now, host) {
			return fmt.Sprintf("%s has not announced revision %d", host, want)
		}
		if l := v.load(host, svc.GetId()); !l.Idle() {
			return fmt.Sprintf("%s has %d flows and %d requests open", host, l.Flows, l.Requests())
		}
	}
	return ""
}

func (v View) awaitTime(in *intentpb.Intent) Next {
	stop := in.Spec.GetClose().GetStopUnixMs()
	if in.Now || v.Now.UnixMilli() >= stop {
		return Next{Action: Advance}
	}
	return Next{Action: Wait, Reason: fmt.Sprintf("new flows stop in %d s", (stop-v.Now.UnixMilli()+999)/1000)}
}

func (v View) awaitCaughtUp(step *intentpb.Step) Next {
	for _, m := range v.Control {
		if m.Voter && m.CaughtUp && slices.Contains(step.Hosts, m.ID) {
			return Next{Action: Advance}
		}
	}
	return Next{Action: PromoteControl, Reason: fmt.Sprintf("%v has not caught up", step.Hosts)}
}

// Drained says whether a host that is leaving has no work left and is sent none: its drain is in force at every entry
// and at the host, and its work is zero.
func Drained(v View, host string) bool {
	h := v.Catalog.Host(host)
	if h == nil || h.Retired {
		return true
	}
	if !h.Leaving && !h.Draining {
		return false
	}
	var want model.Revision
	for _, svc := range v.Catalog.ServicesOf(host) {
		want = max(want, model.Revision(svc.Generation))
	}
	behind := false
	v.Catalog.Hosts(func(o *catalogpb.Host) {
		if (o.Entry && !o.Lost) || o.Host == host {
			have, _ := v.Fleet.InForce(o.Host)
			behind = behind || have < want
		}
	})
	return !behind && v.load(host, 0).Idle()
}
