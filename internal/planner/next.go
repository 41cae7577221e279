package planner

import (
	"fmt"
	"slices"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// ActionKind says what the leader does next for a running plan.
type ActionKind uint8

// Kinds of actions.
const (
	Wait           ActionKind = iota + 1 // nothing to do; Reason says what the plan waits for
	Advance                              // propose to carry out the current step
	ReportOverdue                        // propose to record the callers that still have open work at the deadline
	AddControl                           // add the control VM to the logs, then Advance
	PromoteControl                       // make the control VM a voter
	RemoveControl                        // remove the control VM from the logs, then Advance
)

// NextAction is the next action of a running plan.
type NextAction struct {
	Kind     ActionKind
	Reason   string
	Callers  []string // ReportOverdue only: callers known to have open work
	OpenWork uint64   // ReportOverdue only: number of open flows and requests
}

// NextStep returns the next action of a running intent. It depends only on the view and the intent, so that a new leader
// continues where the previous leader stopped.
func NextStep(v View, in *intentpb.Intent) NextAction {
	if in.State != intentpb.State_STATE_RUNNING || int(in.Step) >= len(in.Plan.Steps) {
		return NextAction{Kind: Wait, Reason: "not running"}
	}
	step := in.Plan.Steps[in.Step]
	switch step.Kind {
	case intentpb.StepKind_STEP_AWAIT_IN_FORCE:
		return v.advanceOrWait(in, step, v.inForceBlocker(in, step))
	case intentpb.StepKind_STEP_AWAIT_IDLE:
		return v.advanceOrWait(in, step, v.idleBlocker(in, step))
	case intentpb.StepKind_STEP_AWAIT_TIME:
		return v.awaitTime(in)
	case intentpb.StepKind_STEP_ADD_CONTROL:
		return NextAction{Kind: AddControl}
	case intentpb.StepKind_STEP_AWAIT_CAUGHT_UP:
		return v.awaitCaughtUp(step)
	case intentpb.StepKind_STEP_REMOVE_CONTROL:
		return NextAction{Kind: RemoveControl}
	}
	return NextAction{Kind: Advance}
}

// advanceOrWait advances a step without a blocker. Otherwise it waits; once the deadline has passed, it reports the
// remaining work, unless that is already recorded.
func (v View) advanceOrWait(in *intentpb.Intent, step *intentpb.Step, blocker string) NextAction {
	if blocker == "" {
		return NextAction{Kind: Advance}
	}
	deadline := in.Plan.DeadlineUnixMs
	if deadline == 0 || in.Overdue || v.Now.UnixMilli() < deadline {
		return NextAction{Kind: Wait, Reason: blocker}
	}
	next := NextAction{Kind: ReportOverdue, Reason: blocker}
	svc := v.Catalog.Service(step.Service)
	for _, host := range v.hostsToDrain(in, step) {
		l := v.load(host, svc.GetId())
		next.OpenWork += l.Flows + l.Requests()
		next.Callers = append(next.Callers, v.Fleet.OpenCallers(host, svc.GetId())...)
	}
	return next
}

// hostsToDrain returns the hosts that must finish their work before the step is complete.
func (v View) hostsToDrain(in *intentpb.Intent, step *intentpb.Step) []string {
	if len(step.Hosts) > 0 {
		return step.Hosts
	}
	if svc := v.Catalog.Service(step.Service); svc != nil && in.Spec.GetClose() != nil {
		return svc.Rights
	}
	return nil
}

// requiredRevision returns the newest revision that the completed steps of the plan have produced.
func requiredRevision(in *intentpb.Intent) model.Revision {
	var newest uint64
	for _, s := range in.Plan.Steps[:in.Step] {
		newest = max(newest, s.Revision)
	}
	return model.Revision(newest)
}

// inForceBlocker returns a message that names a VM without the required revision in force, or "" if no VM holds up the
// step. Every entry that is not lost must have the revision. A member without a lease takes no new flows and is not
// waited for, unless the step drains it: a draining host must have the revision in force, or be lost.
func (v View) inForceBlocker(in *intentpb.Intent, step *intentpb.Step) string {
	want := requiredRevision(in)
	affected := v.affectedMembers(in, step)
	drained := v.hostsToDrain(in, step)
	blocking := ""
	v.Catalog.Hosts(func(h *catalogpb.Host) {
		if h.Lost || h.Retired || (blocking != "" && blocking < h.Host) {
			return
		}
		required := h.Entry || isRotation(in) || slices.Contains(drained, h.Host)
		leasedMember := affected[h.Host] && v.Fleet.Leased(v.Now, h.Host)
		if !required && !leasedMember {
			return
		}
		if have, _ := v.Fleet.InForce(h.Host); have < want {
			blocking = h.Host
		}
	})
	if blocking == "" {
		return ""
	}
	return fmt.Sprintf("revision %d is not in force at %s", want, blocking)
}

// affectedMembers returns the members of the service of the step, of the service that the intent creates, and of every
// service of the step's hosts.
func (v View) affectedMembers(in *intentpb.Intent, step *intentpb.Step) map[string]bool {
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

// idleBlocker returns a message that names a draining host with open work, or "" if all draining hosts are idle. Only an
// announcement made with the required revision in force counts, since work may start after an older announcement. Lost
// hosts are not waited for.
func (v View) idleBlocker(in *intentpb.Intent, step *intentpb.Step) string {
	want := requiredRevision(in)
	svc := v.Catalog.Service(step.Service)
	for _, host := range v.hostsToDrain(in, step) {
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

// awaitTime waits until the requested stop of new flows, or until an operator ends the wait.
func (v View) awaitTime(in *intentpb.Intent) NextAction {
	stop := in.Spec.GetClose().GetStopUnixMs()
	if in.Now || v.Now.UnixMilli() >= stop {
		return NextAction{Kind: Advance}
	}
	return NextAction{Kind: Wait, Reason: fmt.Sprintf("new flows stop in %d s", (stop-v.Now.UnixMilli()+999)/1000)}
}

// awaitCaughtUp promotes the new control VM until it is a voter that has caught up.
func (v View) awaitCaughtUp(step *intentpb.Step) NextAction {
	for _, m := range v.Control {
		if m.Voter && m.CaughtUp && slices.Contains(step.Hosts, m.ID) {
			return NextAction{Kind: Advance}
		}
	}
	return NextAction{Kind: PromoteControl, Reason: fmt.Sprintf("%v has not caught up", step.Hosts)}
}

// IsDrained reports whether a leaving or draining host has no open work and gets no new work: the newest membership
// revision of its services is in force at every entry that is not lost and at the host itself. It is true for unknown
// and retired hosts.
func IsDrained(v View, host string) bool {
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
