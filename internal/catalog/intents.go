package catalog

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// MaxRemaining is the maximum number of callers that an overdue drain lists.
const MaxRemaining = 1024

// ServiceObject returns the object name of a service in dependencies and claims.
func ServiceObject(name string) string { return "service/" + name }

// FrontendObject returns the object name of a frontend address in dependencies and claims.
func FrontendObject(address string) string { return "frontend/" + address }

// HostObject returns the object name of a host in dependencies and claims.
func HostObject(host string) string { return "host/" + host }

// ControlObject and KeysObject are the object names of the control members and the key ring in dependencies and claims.
const (
	ControlObject = "control"
	KeysObject    = "keys"
)

// Version returns the log index at which an object last changed, or 0 if it does not exist.
func (c *Catalog) Version(object string) uint64 {
	kind, name, _ := strings.Cut(object, "/")
	switch kind {
	case "service":
		return c.services[c.serviceByName[name]].GetVersion()
	case "frontend":
		return c.services[c.serviceByFrontend[name]].GetVersion()
	case "host":
		return c.hosts[name].GetVersion()
	case ControlObject:
		return c.controlVersion
	case KeysObject:
		return c.keys.GetVersion()
	}
	return 0
}

func finished(s intentpb.State) bool {
	return s == intentpb.State_STATE_DONE || s == intentpb.State_STATE_ABORTED || s == intentpb.State_STATE_REFUSED
}

// IntentByKey returns the intent that an operator submitted with an idempotency key, or nil. If that intent has a
// different spec, it returns result.IntentKeyReused.
func (c *Catalog) IntentByKey(operator, key string, spec *intentpb.Spec) (*intentpb.Intent, error) {
	in := c.intents[c.intentByKey[operatorKey{operator, key}]]
	if in == nil {
		return nil, nil
	}
	if !proto.Equal(in.Spec, spec) {
		return nil, result.Errorf(result.IntentKeyReused, "key %q of %s belongs to intent %d", key, operator, in.Id)
	}
	return in, nil
}

// submit records an intent with its plan or its refusal. A repeated command with the same operator and key returns the
// intent of the first one.
func (c *Catalog) submit(cmd *catalogpb.Submit) (*intentpb.Intent, error) {
	if cmd.Operator == "" || cmd.Key == "" || cmd.Spec.GetWant() == nil {
		return nil, result.Errorf(result.IntentMalformed, "an intent needs an operator, a key and a purpose")
	}
	if in, err := c.IntentByKey(cmd.Operator, cmd.Key, cmd.Spec); in != nil || err != nil {
		return in, err
	}
	if cmd.Plan != nil && !c.ensureOpenIntentCapacity() {
		return nil, result.Errorf(result.IntentConflict, "%d plans are running; finish or abort some", MaxOpenIntents)
	}
	c.lastIntentID++
	in := &intentpb.Intent{
		Id:              c.lastIntentID,
		Operator:        cmd.Operator,
		Key:             cmd.Key,
		Spec:            cmd.Spec,
		State:           intentpb.State_STATE_PLANNED,
		Plan:            cmd.Plan,
		SubmittedUnixMs: c.lastUnixMs,
	}
	if cmd.Plan == nil {
		in.State = intentpb.State_STATE_REFUSED
		in.Code = cmd.Code
		in.Detail = cmd.Detail
		in.FinishedUnixMs = c.lastUnixMs
	}
	c.intents[in.Id] = in
	c.intentByKey[operatorKey{in.Operator, in.Key}] = in.Id
	c.trimIntents()
	return in, nil
}

// ensureOpenIntentCapacity aborts the oldest unconfirmed intent if MaxOpenIntents intents are open. It returns false if
// all open intents are confirmed.
func (c *Catalog) ensureOpenIntentCapacity() bool {
	open, oldest := 0, (*intentpb.Intent)(nil)
	for id, in := range c.intents {
		if finished(in.State) {
			continue
		}
		open++
		if in.State == intentpb.State_STATE_PLANNED && (oldest == nil || id < oldest.Id) {
			oldest = in
		}
	}
	if open < MaxOpenIntents {
		return true
	}
	if oldest == nil {
		return false
	}
	oldest.Detail = "ended unconfirmed to make room for a newer plan"
	c.finish(oldest, intentpb.State_STATE_ABORTED)
	return true
}

// replan replaces the plan of an intent that is not confirmed yet.
func (c *Catalog) replan(cmd *catalogpb.Replan) (*intentpb.Intent, error) {
	in, err := c.openIntent(cmd.Intent)
	if err != nil {
		return in, err
	}
	if in.State != intentpb.State_STATE_PLANNED {
		return in, result.Errorf(result.IntentNotPlanned, "intent %d is %s", in.Id, StateName(in.State))
	}
	if in.Plan.GetNumber() != cmd.Number || cmd.Plan == nil {
		return in, nil // a concurrent replan was applied first
	}
	cmd.Plan.Number = cmd.Number + 1
	in.Plan = cmd.Plan
	return in, nil
}

// openIntent returns an intent, or an error if it does not exist or is finished.
func (c *Catalog) openIntent(id uint64) (*intentpb.Intent, error) {
	in := c.intents[id]
	if in == nil {
		return nil, result.Errorf(result.IntentUnknown, "no intent %d", id)
	}
	if finished(in.State) {
		return in, result.Errorf(result.IntentFinished, "intent %d is %s", id, StateName(in.State))
	}
	return in, nil
}

// confirm starts a plan if the objects it depends on are unchanged and no other running plan claims any of its objects.
// Resending the confirmation of the same plan succeeds without effect.
func (c *Catalog) confirm(cmd *catalogpb.Confirm) (*intentpb.Intent, error) {
	in := c.intents[cmd.Intent]
	if in == nil {
		return nil, result.Errorf(result.IntentUnknown, "no intent %d", cmd.Intent)
	}
	if in.ConfirmedBy != "" && in.Plan.GetNumber() == cmd.Number && in.ConfirmedBy == cmd.Operator {
		return in, nil
	}
	if in.ConfirmedBy != "" && !finished(in.State) {
		return in, result.Errorf(result.IntentNotPlanned, "plan %d of intent %d was confirmed by %s", in.Plan.Number, in.Id, in.ConfirmedBy)
	}
	if finished(in.State) {
		return in, result.Errorf(result.IntentFinished, "intent %d is %s", in.Id, StateName(in.State))
	}
	if cmd.Operator == "" {
		return in, result.Errorf(result.IntentMalformed, "a confirmation needs an operator")
	}
	if err := c.CheckClaims(in.Plan); err != nil {
		return in, err
	}
	if err := c.CheckPlan(in.Plan, cmd.Number); err != nil {
		return in, err
	}
	in.State = intentpb.State_STATE_RUNNING
	in.ConfirmedBy = cmd.Operator
	in.ConfirmedUnixMs = c.lastUnixMs
	for _, object := range in.Plan.Claims {
		c.intentByClaim[object] = in.Id
	}
	return in, nil
}

// CheckClaims returns result.IntentConflict if a running or paused plan claims an object of the plan. The error names
// that plan's intent.
func (c *Catalog) CheckClaims(plan *intentpb.Plan) error {
	for _, object := range plan.GetClaims() {
		if id := c.intentByClaim[object]; id != 0 {
			holder := c.intents[id]
			return result.Errorf(result.IntentConflict, "%s is held by intent %d of %s, confirmed by %s at %d ms",
				object, id, holder.Operator, holder.ConfirmedBy, holder.ConfirmedUnixMs)
		}
	}
	return nil
}

// CheckPlan returns result.PlanOutdated if the plan has a different number or an object it depends on has changed.
func (c *Catalog) CheckPlan(plan *intentpb.Plan, number uint32) error {
	if plan.GetNumber() != number {
		return result.Errorf(result.PlanOutdated, "plan %d was replaced by plan %d", number, plan.GetNumber())
	}
	for _, d := range plan.Depends {
		if c.Version(d.Object) != d.Version {
			return result.Errorf(result.PlanOutdated, "%s has changed since the plan was made", d.Object)
		}
	}
	return nil
}

// advance executes the next step of a running plan. Repeating a completed step has no effect.
func (c *Catalog) advance(cmd *catalogpb.Advance) (*intentpb.Intent, error) {
	in := c.intents[cmd.Intent]
	if in == nil {
		return nil, result.Errorf(result.IntentUnknown, "no intent %d", cmd.Intent)
	}
	if in.Plan.GetNumber() == cmd.Number && cmd.Step < in.Step {
		return in, nil
	}
	if finished(in.State) {
		return in, result.Errorf(result.IntentFinished, "intent %d is %s", in.Id, StateName(in.State))
	}
	if in.State != intentpb.State_STATE_RUNNING || in.Plan.Number != cmd.Number || cmd.Step != in.Step {
		return in, result.Errorf(result.IntentNotPlanned, "step %d of plan %d cannot be carried out now", cmd.Step, cmd.Number)
	}
	step := in.Plan.Steps[in.Step]
	if err := c.applyStep(in, step); err != nil {
		return in, err
	}
	if c.revisionBumped {
		step.Revision = c.revision
	}
	step.DoneUnixMs = c.lastUnixMs
	in.Step++
	in.Now = false
	if int(in.Step) == len(in.Plan.Steps) {
		c.finish(in, intentpb.State_STATE_DONE)
	}
	return in, nil
}

func (c *Catalog) finish(in *intentpb.Intent, state intentpb.State) {
	in.State = state
	in.FinishedUnixMs = c.lastUnixMs
	for _, object := range in.Plan.GetClaims() {
		if c.intentByClaim[object] == in.Id {
			delete(c.intentByClaim, object)
		}
	}
	c.trimIntents()
}

// recordOverdue records, once per intent, which callers had open flows or requests when the deadline passed.
func (c *Catalog) recordOverdue(cmd *catalogpb.Overdue) (*intentpb.Intent, error) {
	in, err := c.openIntent(cmd.Intent)
	if err != nil || in.Overdue {
		return in, err
	}
	in.Overdue = true
	in.Remaining = sortedSet(cmd.Callers)
	in.RemainingDropped = cmd.Dropped
	in.RemainingWork = cmd.Work
	if excess := len(in.Remaining) - MaxRemaining; excess > 0 {
		in.Remaining = in.Remaining[:MaxRemaining]
		in.RemainingDropped += uint32(excess)
	}
	text := fmt.Sprintf("deadline passed with %d flows and requests open; none was interrupted", cmd.Work)
	c.recordChange(in, "", text, c.claimedServices(in)...)
	return in, nil
}

// setState pauses, resumes or aborts an intent. Repeating a command has no effect.
func (c *Catalog) setState(cmd *catalogpb.SetState) (*intentpb.Intent, error) {
	in := c.intents[cmd.Intent]
	if in != nil && cmd.State == intentpb.State_STATE_ABORTED && in.State == cmd.State {
		return in, nil
	}
	in, err := c.openIntent(cmd.Intent)
	if err != nil {
		return in, err
	}
	if cmd.State == intentpb.State_STATE_ABORTED {
		c.abort(in, cmd.Operator)
		return in, nil
	}
	if in.State == intentpb.State_STATE_PLANNED {
		return in, result.Errorf(result.IntentNotPlanned, "intent %d is not confirmed", in.Id)
	}
	switch cmd.State {
	case intentpb.State_STATE_PAUSED, intentpb.State_STATE_RUNNING:
	default:
		return in, result.Errorf(result.IntentMalformed, "an intent cannot be set to %s", StateName(cmd.State))
	}
	in.Now = in.Now || cmd.Now
	if in.State == cmd.State {
		return in, nil
	}
	in.State = cmd.State
	c.recordChange(in, "", fmt.Sprintf("plan set to %s by %s", StateName(cmd.State), cmd.Operator), c.claimedServices(in)...)
	return in, nil
}

func (c *Catalog) abort(in *intentpb.Intent, operator string) {
	services := c.claimedServices(in)
	for i := int(in.Step) - 1; i >= 0; i-- {
		c.undoStep(in.Plan.Steps[i])
	}
	c.finish(in, intentpb.State_STATE_ABORTED)
	c.recordChange(in, "", "plan aborted by "+operator, services...)
}

// claimedServices returns the services that the plan claims.
func (c *Catalog) claimedServices(in *intentpb.Intent) []uint32 {
	var ids []uint32
	for _, object := range in.GetPlan().GetClaims() {
		if name, ok := strings.CutPrefix(object, ServiceObject("")); ok && c.serviceByName[name] != 0 {
			ids = append(ids, c.serviceByName[name])
		}
	}
	return sortedSet(ids)
}

// StateName returns the lower-case name of an intent's state.
func StateName(s intentpb.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}
