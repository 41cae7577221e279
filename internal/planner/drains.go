package planner

import (
	"slices"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// declareRights plans the new set of hosts that may carry a service. Added hosts get the right in the first step;
// removed hosts are drained before their right is withdrawn.
func (b *builder) declareRights(want *intentpb.DeclareRights) error {
	svc, err := b.findService(want.Service)
	if err != nil {
		return err
	}
	if svc.Closing {
		return result.Errorf(result.IntentConflict, "%s is closing", svc.Name)
	}
	if err := b.setDeadline(want.DeadlineUnixMs); err != nil {
		return err
	}
	b.claim(catalog.ServiceObject(svc.Name))
	added, removed := difference(want.Hosts, svc.Rights), difference(svc.Rights, want.Hosts)
	for _, host := range append(slices.Clone(added), removed...) {
		b.claim(catalog.HostObject(host))
	}
	if len(added) > 0 {
		b.riskUnannounced(svc.Name, added)
		b.addStep(intentpb.StepKind_STEP_SET_RIGHTS, svc, added, commitEstimateMs, "let %s carry %s", formatHosts(added), svc.Name)
	}
	if len(removed) > 0 {
		if err := b.checkRemoval(svc, removed); err != nil {
			return err
		}
		b.addDrain(svc, removed)
		b.addStep(intentpb.StepKind_STEP_DROP_RIGHTS, svc, removed, commitEstimateMs, "withdraw the right of %s", formatHosts(removed))
	} else {
		b.affectedServices = append(b.affectedServices, svc)
	}
	b.addStep(intentpb.StepKind_STEP_AWAIT_IN_FORCE, svc, nil, inForceEstimateMs, "wait until every entry VM has the revision in force")
	return nil
}

// retireHost plans the drain of a host in all of its services and its removal.
func (b *builder) retireHost(want *intentpb.RetireHost) error {
	h := b.view.Catalog.Host(want.Host)
	if h == nil {
		return result.Errorf(result.PlanUnknownHost, "no host %q", want.Host)
	}
	if h.Retired {
		return result.Errorf(result.IntentConflict, "%s was retired by intent %d", want.Host, h.RetiredBy)
	}
	if err := b.setDeadline(want.DeadlineUnixMs); err != nil {
		return err
	}
	hosts := []string{want.Host}
	b.claim(catalog.HostObject(want.Host))
	for _, svc := range b.view.Catalog.ServicesOf(want.Host) {
		b.claim(catalog.ServiceObject(svc.Name))
		if err := b.checkRemoval(svc, hosts); err != nil {
			return err
		}
	}
	b.addDrain(nil, hosts)
	b.addStep(intentpb.StepKind_STEP_RETIRE, nil, hosts, commitEstimateMs, "remove %s; its announcements are refused until it is returned", want.Host)
	return nil
}

// returnHost plans to accept announcements of a retired host again.
func (b *builder) returnHost(want *intentpb.ReturnHost) error {
	h := b.view.Catalog.Host(want.Host)
	if h == nil {
		return result.Errorf(result.PlanUnknownHost, "no host %q", want.Host)
	}
	if !h.Retired {
		return result.Errorf(result.IntentConflict, "%s is not retired", want.Host)
	}
	b.claim(catalog.HostObject(want.Host))
	for _, svc := range b.view.Catalog.ServicesOf(want.Host) {
		b.claim(catalog.ServiceObject(svc.Name))
		b.affectedServices = append(b.affectedServices, svc)
	}
	b.addRisk("%s may be without state after its pause; it takes work as soon as it announces itself", want.Host)
	b.addStep(intentpb.StepKind_STEP_RETURN, nil, []string{want.Host}, commitEstimateMs, "take announcements of %s again", want.Host)
	b.addStep(intentpb.StepKind_STEP_AWAIT_IN_FORCE, nil, nil, inForceEstimateMs, "wait until every entry VM has the revision in force")
	return nil
}

// closeService plans to stop new flows of a service at the requested time, to wait for its open work, and to remove it.
func (b *builder) closeService(want *intentpb.CloseService) error {
	svc, err := b.findService(want.Service)
	if err != nil {
		return err
	}
	if svc.Closing {
		return result.Errorf(result.IntentConflict, "%s is closing already", svc.Name)
	}
	if want.DeadlineUnixMs != 0 && want.DeadlineUnixMs < want.StopUnixMs {
		return result.Errorf(result.IntentMalformed, "the deadline lies before the stop of new flows")
	}
	if err := b.setDeadline(want.DeadlineUnixMs); err != nil {
		return err
	}
	b.claim(catalog.ServiceObject(svc.Name))
	b.affectedServices = append(b.affectedServices, svc)
	b.removedHosts = append(b.removedHosts, svc.Rights...)
	open := b.view.serviceLoad(svc)
	b.plan.Flows, b.plan.Requests = open.Flows, open.Requests()
	untilStop := uint64(max(0, want.StopUnixMs-b.view.Now.UnixMilli()))
	b.addStep(intentpb.StepKind_STEP_AWAIT_TIME, svc, nil, untilStop, "wait for the time at which new flows stop")
	b.addStep(intentpb.StepKind_STEP_STOP_NEW, svc, nil, commitEstimateMs, "accept no new flows of %s", svc.Name)
	b.addStep(intentpb.StepKind_STEP_AWAIT_IN_FORCE, svc, nil, inForceEstimateMs, "wait until every entry VM and member has the revision in force")
	wait := b.addStep(intentpb.StepKind_STEP_AWAIT_IDLE, svc, nil, b.idleEstimateMs(open.Flows), "wait until the flows and requests of %s have ended", svc.Name)
	wait.Flows, wait.Requests = open.Flows, open.Requests()
	b.addStep(intentpb.StepKind_STEP_CLOSE, svc, nil, commitEstimateMs, "remove %s and complete its account", svc.Name)
	b.addRisk("callers that connect to %s after the stop are refused", svc.Frontend)
	return nil
}

// moveLoad plans the drain of a service's hosts in one failure domain, after parked hosts in the other failure domain
// have been added to the service again.
func (b *builder) moveLoad(want *intentpb.MoveLoad) error {
	svc, err := b.findService(want.Service)
	if err != nil {
		return err
	}
	if want.From == "" || want.To == "" || want.From == want.To {
		return result.Errorf(result.IntentMalformed, "a move needs two different failure domains")
	}
	if svc.Closing {
		return result.Errorf(result.IntentConflict, "%s is closing", svc.Name)
	}
	if err := b.setDeadline(want.DeadlineUnixMs); err != nil {
		return err
	}
	b.claim(catalog.ServiceObject(svc.Name))
	from, to, parked := b.moveHosts(svc, want)
	if len(from) == 0 {
		return result.Errorf(result.PlanUnknownHost, "%s has no host in %s", svc.Name, want.From)
	}
	if len(to)+len(parked) == 0 {
		return result.Errorf(result.PlanNoCapacity, "%s has no active host in %s", svc.Name, want.To)
	}
	for _, host := range slices.Concat(from, parked) {
		b.claim(catalog.HostObject(host))
	}
	b.affectedServices = append(b.affectedServices, svc)
	b.removedHosts = append(b.removedHosts, from...)
	rest := append(activeHosts(svc, from), parked...)
	if err := b.checkCapacity(svc, rest); err != nil {
		return err
	}
	if len(parked) > 0 {
		b.addStep(intentpb.StepKind_STEP_UNPARK, svc, parked, commitEstimateMs, "let %s carry %s again", formatHosts(parked), svc.Name)
		b.addStep(intentpb.StepKind_STEP_AWAIT_IN_FORCE, svc, nil, inForceEstimateMs, "wait until every entry VM and member has the revision in force")
	}
	b.addDrain(svc, from)
	b.addStep(intentpb.StepKind_STEP_PARK, svc, from, commitEstimateMs, "take %s out of %s; the right is kept", formatHosts(from), svc.Name)
	return nil
}

// moveHosts returns the service's members in the source failure domain, its active members in the destination, and its
// parked hosts in the destination that can carry it again.
func (b *builder) moveHosts(svc *catalogpb.Service, want *intentpb.MoveLoad) (from, to, parked []string) {
	for _, m := range svc.Members {
		switch b.view.Catalog.Host(m.Host).GetFailureDomain() {
		case want.From:
			from = append(from, m.Host)
		case want.To:
			if m.State == uint32(model.UpstreamActive) {
				to = append(to, m.Host)
			}
		}
	}
	for _, host := range svc.Parked {
		h := b.view.Catalog.Host(host)
		if h.GetFailureDomain() == want.To && !h.Lost && !h.Retired && !h.Draining && slices.Contains(h.Carries, svc.Name) {
			parked = append(parked, host)
		}
	}
	return from, to, parked
}

// difference returns the elements of a that are not in b, sorted and without duplicates.
func difference(a, b []string) []string {
	out := slices.DeleteFunc(slices.Clone(a), func(h string) bool { return slices.Contains(b, h) })
	slices.Sort(out)
	return slices.Compact(out)
}
