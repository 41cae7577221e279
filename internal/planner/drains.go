package planner

import (
	"slices"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// rights extends rights at once and drains the hosts that lose theirs before they lose it.
func (b *builder) rights(want *intentpb.DeclareRights) error {
	svc, err := b.service(want.Service)
	if err != nil {
		return err
	}
	if svc.Closing {
		return result.Errorf(result.IntentConflict, "%s is closing", svc.Name)
	}
	if err := b.deadline(want.DeadlineUnixMs); err != nil {
		return err
	}
	b.claim(catalog.ServiceObject(svc.Name))
	added, removed := difference(want.Hosts, svc.Rights), difference(svc.Rights, want.Hosts)
	for _, host := range append(slices.Clone(added), removed...) {
		b.claim(catalog.HostObject(host))
	}
	if len(added) > 0 {
		b.riskUnannounced(svc.Name, added)
		b.step(intentpb.StepKind_STEP_SET_RIGHTS, svc, added, commitMs, "let %s carry %s", list(added), svc.Name)
	}
	if len(removed) > 0 {
		if err := b.lose(svc, removed); err != nil {
			return err
		}
		b.drain(svc, removed)
		b.step(intentpb.StepKind_STEP_DROP_RIGHTS, svc, removed, commitMs, "withdraw the right of %s", list(removed))
	} else {
		b.services = append(b.services, svc)
	}
	b.step(intentpb.StepKind_STEP_AWAIT_IN_FORCE, svc, nil, inForceMs, "wait until every entry VM has the revision in force")
	return nil
}

func (b *builder) retire(want *intentpb.RetireHost) error {
	h := b.view.Catalog.Host(want.Host)
	if h == nil {
		return result.Errorf(result.PlanUnknownHost, "no host %q", want.Host)
	}
	if h.Retired {
		return result.Errorf(result.IntentConflict, "%s was retired by intent %d", want.Host, h.RetiredBy)
	}
	if err := b.deadline(want.DeadlineUnixMs); err != nil {
		return err
	}
	hosts := []string{want.Host}
	b.claim(catalog.HostObject(want.Host))
	for _, svc := range b.view.Catalog.ServicesOf(want.Host) {
		b.claim(catalog.ServiceObject(svc.Name))
		if err := b.lose(svc, hosts); err != nil {
			return err
		}
	}
	b.drain(nil, hosts)
	b.step(intentpb.StepKind_STEP_RETIRE, nil, hosts, commitMs, "remove %s; its announcements are refused until it is returned", want.Host)
	return nil
}

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
		b.services = append(b.services, svc)
	}
	b.risk("%s may be without state after its pause; it takes work as soon as it announces itself", want.Host)
	b.step(intentpb.StepKind_STEP_RETURN, nil, []string{want.Host}, commitMs, "take announcements of %s again", want.Host)
	b.step(intentpb.StepKind_STEP_AWAIT_IN_FORCE, nil, nil, inForceMs, "wait until every entry VM has the revision in force")
	return nil
}

func (b *builder) closeService(want *intentpb.CloseService) error {
	svc, err := b.service(want.Service)
	if err != nil {
		return err
	}
	if svc.Closing {
		return result.Errorf(result.IntentConflict, "%s is closing already", svc.Name)
	}
	if want.DeadlineUnixMs != 0 && want.DeadlineUnixMs < want.StopUnixMs {
		return result.Errorf(result.IntentMalformed, "the deadline lies before the stop of new flows")
	}
	if err := b.deadline(want.DeadlineUnixMs); err != nil {
		return err
	}
	b.claim(catalog.ServiceObject(svc.Name))
	b.services = append(b.services, svc)
	b.leaving = append(b.leaving, svc.Rights...)
	open := b.view.serviceLoad(svc)
	b.plan.Flows, b.plan.Requests = open.Flows, open.Requests()
	untilStop := uint64(max(0, want.StopUnixMs-b.view.Now.UnixMilli()))
	b.step(intentpb.StepKind_STEP_AWAIT_TIME, svc, nil, untilStop, "wait for the time at which new flows stop")
	b.step(intentpb.StepKind_STEP_STOP_NEW, svc, nil, commitMs, "accept no new flows of %s", svc.Name)
	b.step(intentpb.StepKind_STEP_AWAIT_IN_FORCE, svc, nil, inForceMs, "wait until every entry VM and member has the revision in force")
	wait := b.step(intentpb.StepKind_STEP_AWAIT_IDLE, svc, nil, b.idleTime(open.Flows), "wait until the flows and requests of %s have ended", svc.Name)
	wait.Flows, wait.Requests = open.Flows, open.Requests()
	b.step(intentpb.StepKind_STEP_CLOSE, svc, nil, commitMs, "remove %s and complete its account", svc.Name)
	b.risk("callers that connect to %s after the stop are refused", svc.Frontend)
	return nil
}

// move drains the hosts of one failure domain in one service, after the hosts of the other carry it.
func (b *builder) move(want *intentpb.MoveLoad) error {
	svc, err := b.service(want.Service)
	if err != nil {
		return err
	}
	if want.From == "" || want.To == "" || want.From == want.To {
		return result.Errorf(result.IntentMalformed, "a move needs two different failure domains")
	}
	if svc.Closing {
		return result.Errorf(result.IntentConflict, "%s is closing", svc.Name)
	}
	if err := b.deadline(want.DeadlineUnixMs); err != nil {
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
	b.services = append(b.services, svc)
	b.leaving = append(b.leaving, from...)
	rest := append(activeHosts(svc, from), parked...)
	if err := b.checkCapacity(svc, rest); err != nil {
		return err
	}
	if len(parked) > 0 {
		b.step(intentpb.StepKind_STEP_UNPARK, svc, parked, commitMs, "let %s carry %s again", list(parked), svc.Name)
		b.step(intentpb.StepKind_STEP_AWAIT_IN_FORCE, svc, nil, inForceMs, "wait until every entry VM and member has the revision in force")
	}
	b.drain(svc, from)
	b.step(intentpb.StepKind_STEP_PARK, svc, from, commitMs, "take %s out of %s; the right is kept", list(from), svc.Name)
	return nil
}

// moveHosts returns the members in the source domain, the active members in the destination, and the parked hosts
// there.
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

func difference(a, b []string) []string {
	out := slices.DeleteFunc(slices.Clone(a), func(h string) bool { return slices.Contains(b, h) })
	slices.Sort(out)
	return slices.Compact(out)
}
