package planner

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// Estimates for the expected time of a plan, in milliseconds. A drain without a deadline is estimated by the flows that
// it has to wait for; long-lived flows can take longer.
const (
	commitMs  = 200     // one committed step
	inForceMs = 3_000   // a revision on every VM, the project's bound
	idleMs    = 2_000   // announcements that show zero work after the last end
	flowsMs   = 600_000 // open flows of unknown length
	catchUpMs = 60_000  // a new control VM
)

// Plan returns the plan of an intent at the present state, or the numbered reason why none is possible.
func Plan(v View, spec *intentpb.Spec) (*intentpb.Plan, error) {
	b := &builder{view: v, plan: &intentpb.Plan{Number: 1, Revision: uint64(v.Catalog.Revision())}}
	if err := b.build(spec); err != nil {
		return nil, err
	}
	b.finish()
	return b.plan, nil
}

// builder assembles one plan.
type builder struct {
	view     View
	plan     *intentpb.Plan
	services []*catalogpb.Service // whose capacity is listed
	leaving  []string             // hosts that the services lose
}

func (b *builder) build(spec *intentpb.Spec) error {
	switch w := spec.GetWant().(type) {
	case *intentpb.Spec_Create:
		return b.create(w.Create)
	case *intentpb.Spec_Rights:
		return b.rights(w.Rights)
	case *intentpb.Spec_Limits:
		return b.limits(w.Limits)
	case *intentpb.Spec_Retire:
		return b.retire(w.Retire)
	case *intentpb.Spec_Return:
		return b.returnHost(w.Return)
	case *intentpb.Spec_Close:
		return b.closeService(w.Close)
	case *intentpb.Spec_Move:
		return b.move(w.Move)
	case *intentpb.Spec_Replace:
		return b.replaceControl(w.Replace)
	case *intentpb.Spec_Rotate:
		return b.rotateKey(w.Rotate)
	}
	return result.Errorf(result.IntentMalformed, "the intent has no purpose")
}

// claim makes the plan depend on an object and keeps other plans away from it while this one runs.
func (b *builder) claim(objects ...string) {
	for _, object := range objects {
		b.depend(object)
		if !slices.Contains(b.plan.Claims, object) {
			b.plan.Claims = append(b.plan.Claims, object)
		}
	}
}

func (b *builder) depend(object string) {
	known := slices.ContainsFunc(b.plan.Depends, func(d *intentpb.Dependency) bool { return d.Object == object })
	if !known {
		b.plan.Depends = append(b.plan.Depends, &intentpb.Dependency{Object: object, Version: b.view.Catalog.Version(object)})
	}
}

func (b *builder) step(kind intentpb.StepKind, svc *catalogpb.Service, hosts []string, ms uint64, format string, args ...any) *intentpb.Step {
	s := &intentpb.Step{Kind: kind, Service: svc.GetName(), Hosts: hosts, Text: fmt.Sprintf(format, args...)}
	b.plan.Steps = append(b.plan.Steps, s)
	b.plan.ExpectedMs += ms
	return s
}

func (b *builder) risk(format string, args ...any) {
	b.plan.Risks = append(b.plan.Risks, fmt.Sprintf(format, args...))
}

// drain adds the steps from marking hosts to the end of their work, for one service or, with nil, for all.
func (b *builder) drain(svc *catalogpb.Service, hosts []string) {
	open := b.view.hostsLoad(svc, hosts)
	names := list(hosts)
	mark := b.step(intentpb.StepKind_STEP_DRAIN, svc, hosts, commitMs, "mark %s draining; no new work goes there", names)
	mark.Flows, mark.Requests = open.Flows, open.Requests()
	b.step(intentpb.StepKind_STEP_AWAIT_IN_FORCE, svc, hosts, inForceMs, "wait until every entry VM and member has the revision in force")
	wait := b.step(intentpb.StepKind_STEP_AWAIT_IDLE, svc, hosts, b.idleTime(open.Flows), "wait until the flows and requests of %s have ended", names)
	wait.Flows, wait.Requests = open.Flows, open.Requests()
	b.plan.Flows += open.Flows
	b.plan.Requests += open.Requests()
	for _, host := range hosts {
		if !b.view.Fleet.Leased(b.view.Now, host) {
			b.risk("%s has no lease; its open work is not known", host)
		}
	}
	if b.plan.DeadlineUnixMs == 0 && open.Flows > 0 {
		b.risk("%d open flows have no known end and the plan has no deadline", open.Flows)
	}
}

func (b *builder) idleTime(flows uint64) uint64 {
	if flows == 0 {
		return idleMs
	}
	left := b.plan.DeadlineUnixMs - b.view.Now.UnixMilli()
	if b.plan.DeadlineUnixMs != 0 && left > 0 {
		return min(flowsMs, uint64(left))
	}
	return flowsMs
}

// lose checks that a service keeps an active upstream and enough capacity without the hosts.
func (b *builder) lose(svc *catalogpb.Service, hosts []string) error {
	b.services = append(b.services, svc)
	b.leaving = append(b.leaving, hosts...)
	loses := slices.ContainsFunc(activeHosts(svc, nil), func(h string) bool { return slices.Contains(hosts, h) })
	if !loses {
		return nil
	}
	rest := activeHosts(svc, hosts)
	if len(rest) == 0 {
		return result.Errorf(result.PlanLastUpstream, "%s would have no active upstream without %s", svc.Name, list(hosts))
	}
	return b.checkCapacity(svc, rest)
}

// checkCapacity compares the present work of a service with the limits of the hosts that remain. Hosts that are still
// starting do not count.
func (b *builder) checkCapacity(svc *catalogpb.Service, rest []string) error {
	var slots, connections uint64
	domains := map[string]bool{}
	for _, host := range rest {
		h := b.view.Catalog.Host(host)
		if b.view.Fleet.Cold(host) {
			b.risk("%s is still starting and was not counted for %s", host, svc.Name)
			continue
		}
		slots += uint64(limited(h.Slots, h.SlotLimit))
		connections += uint64(limited(h.MaxConnections, h.ConnectionLimit))
		domains[h.FailureDomain] = true
	}
	load := b.view.serviceLoad(svc)
	if load.Flows > connections {
		return result.Errorf(result.PlanNoCapacity, "%s has %d open flows and would keep %d connections", svc.Name, load.Flows, connections)
	}
	if svc.Kind == uint32(model.KindRequest) && load.Requests() > slots {
		return result.Errorf(result.PlanNoCapacity, "%s has %d requests and would keep %d slots", svc.Name, load.Requests(), slots)
	}
	if len(domains) == 1 {
		b.risk("%s would depend on a single failure domain", svc.Name)
	}
	if len(rest) == 1 {
		b.risk("%s would have a single active upstream", svc.Name)
	}
	return nil
}

func (b *builder) finish() {
	b.plan.Capacity = b.view.capacity(b.services, b.leaving)
	slices.Sort(b.plan.Claims)
	slices.SortFunc(b.plan.Depends, func(x, y *intentpb.Dependency) int { return cmp.Compare(x.Object, y.Object) })
}

func (b *builder) service(name string) (*catalogpb.Service, error) {
	svc := b.view.Catalog.Service(name)
	if svc == nil {
		return nil, result.Errorf(result.PlanUnknownService, "no service %q", name)
	}
	return svc, nil
}

// deadline sets the plan's deadline, which must lie ahead; 0 stands for none.
func (b *builder) deadline(unixMs int64) error {
	if unixMs != 0 && unixMs <= b.view.Now.UnixMilli() {
		return result.Errorf(result.IntentMalformed, "the deadline has passed")
	}
	b.plan.DeadlineUnixMs = unixMs
	return nil
}

func (b *builder) create(want *intentpb.CreateService) error {
	if want.Name == "" || len(want.Hosts) == 0 {
		return result.Errorf(result.IntentMalformed, "a service needs a name and hosts")
	}
	if _, err := netip.ParseAddrPort(want.Frontend); err != nil {
		return result.Errorf(result.IntentMalformed, "frontend: %w", err)
	}
	if _, err := model.ParseKind(want.Kind); err != nil {
		return result.Errorf(result.IntentMalformed, "%w", err)
	}
	if b.view.Catalog.Service(want.Name) != nil {
		return result.Errorf(result.PlanAddressInUse, "service %s exists", want.Name)
	}
	if svc := b.view.Catalog.ServiceByFrontend(want.Frontend); svc != nil {
		return result.Errorf(result.PlanAddressInUse, "%s belongs to %s", want.Frontend, svc.Name)
	}
	b.claim(catalog.ServiceObject(want.Name), catalog.FrontendObject(want.Frontend))
	b.riskUnannounced(want.Name, want.Hosts)
	b.step(intentpb.StepKind_STEP_CREATE, nil, want.Hosts, commitMs, "create %s at %s on %s", want.Name, want.Frontend, list(want.Hosts))
	b.step(intentpb.StepKind_STEP_AWAIT_IN_FORCE, nil, nil, inForceMs, "wait until every entry VM has the revision in force")
	return nil
}

func (b *builder) riskUnannounced(service string, hosts []string) {
	for _, host := range hosts {
		h := b.view.Catalog.Host(host)
		if h == nil || !slices.Contains(h.Carries, service) {
			b.risk("%s does not announce %s yet", host, service)
		}
	}
}

func (b *builder) limits(want *intentpb.SetLimits) error {
	if want.Service == "" && want.Host == "" {
		return result.Errorf(result.IntentMalformed, "limits need a service or a host")
	}
	if want.Service != "" {
		svc, err := b.service(want.Service)
		if err != nil {
			return err
		}
		b.claim(catalog.ServiceObject(svc.Name))
		b.services = append(b.services, svc)
	}
	if want.Host != "" {
		h := b.view.Catalog.Host(want.Host)
		if h == nil {
			return result.Errorf(result.PlanUnknownHost, "no host %q", want.Host)
		}
		b.claim(catalog.HostObject(want.Host))
		open := b.view.load(want.Host, 0)
		if want.MaxConnections != 0 && open.Flows > uint64(want.MaxConnections) {
			b.risk("%s has %d open flows; they stay, new ones are refused until fewer are open", want.Host, open.Flows)
		}
	}
	b.step(intentpb.StepKind_STEP_SET_LIMITS, nil, nil, commitMs, "set limits of %s%s", want.Service, want.Host)
	b.step(intentpb.StepKind_STEP_AWAIT_IN_FORCE, nil, nil, inForceMs, "wait until every entry VM has the revision in force")
	return nil
}

func list(hosts []string) string {
	const shown = 6
	if len(hosts) <= shown {
		return fmt.Sprint(hosts)
	}
	return fmt.Sprintf("%v and %d more", hosts[:shown], len(hosts)-shown)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
