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

// Estimated durations in milliseconds, which add up to the expected time of a plan. Long-lived flows can take longer than
// openFlowsEstimateMs.
const (
	commitEstimateMs       = 200     // commit of one step
	inForceEstimateMs      = 3_000   // until a revision is in force on every VM; the project's bound for this
	idleAnnounceEstimateMs = 2_000   // until announcements show no open work after the last flow or request has ended
	openFlowsEstimateMs    = 600_000 // until open flows of unknown length have ended
	catchUpEstimateMs      = 60_000  // until a new control VM has caught up with the logs
)

// Plan returns the plan of an intent for the state in the view, or an error with the result code of the refusal.
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
	view             View
	plan             *intentpb.Plan
	affectedServices []*catalogpb.Service // services whose capacity the plan lists
	removedHosts     []string             // hosts that the plan takes out of affectedServices
}

func (b *builder) build(spec *intentpb.Spec) error {
	switch w := spec.GetWant().(type) {
	case *intentpb.Spec_Create:
		return b.createService(w.Create)
	case *intentpb.Spec_Rights:
		return b.declareRights(w.Rights)
	case *intentpb.Spec_Limits:
		return b.setLimits(w.Limits)
	case *intentpb.Spec_Retire:
		return b.retireHost(w.Retire)
	case *intentpb.Spec_Return:
		return b.returnHost(w.Return)
	case *intentpb.Spec_Close:
		return b.closeService(w.Close)
	case *intentpb.Spec_Move:
		return b.moveLoad(w.Move)
	case *intentpb.Spec_Replace:
		return b.replaceControl(w.Replace)
	case *intentpb.Spec_Rotate:
		return b.rotateKey(w.Rotate)
	}
	return result.Errorf(result.IntentMalformed, "the intent has no purpose")
}

// claim makes the plan depend on objects and reserves them, so that no other plan with the same claim runs at a time.
func (b *builder) claim(objects ...string) {
	for _, object := range objects {
		b.addDependency(object)
		if !slices.Contains(b.plan.Claims, object) {
			b.plan.Claims = append(b.plan.Claims, object)
		}
	}
}

// addDependency records the version of an object; the plan is outdated once that version changes.
func (b *builder) addDependency(object string) {
	known := slices.ContainsFunc(b.plan.Depends, func(d *intentpb.Dependency) bool { return d.Object == object })
	if !known {
		b.plan.Depends = append(b.plan.Depends, &intentpb.Dependency{Object: object, Version: b.view.Catalog.Version(object)})
	}
}

func (b *builder) addStep(kind intentpb.StepKind, svc *catalogpb.Service, hosts []string, ms uint64, format string, args ...any) *intentpb.Step {
	s := &intentpb.Step{Kind: kind, Service: svc.GetName(), Hosts: hosts, Text: fmt.Sprintf(format, args...)}
	b.plan.Steps = append(b.plan.Steps, s)
	b.plan.ExpectedMs += ms
	return s
}

func (b *builder) addRisk(format string, args ...any) {
	b.plan.Risks = append(b.plan.Risks, fmt.Sprintf(format, args...))
}

// addDrain adds the steps that mark hosts as draining and wait for the end of their work, for one service or, if svc is
// nil, for all services.
func (b *builder) addDrain(svc *catalogpb.Service, hosts []string) {
	open := b.view.hostsLoad(svc, hosts)
	names := formatHosts(hosts)
	mark := b.addStep(intentpb.StepKind_STEP_DRAIN, svc, hosts, commitEstimateMs, "mark %s draining; no new work goes there", names)
	mark.Flows, mark.Requests = open.Flows, open.Requests()
	b.addStep(intentpb.StepKind_STEP_AWAIT_IN_FORCE, svc, hosts, inForceEstimateMs, "wait until every entry VM and member has the revision in force")
	wait := b.addStep(intentpb.StepKind_STEP_AWAIT_IDLE, svc, hosts, b.idleEstimateMs(open.Flows), "wait until the flows and requests of %s have ended", names)
	wait.Flows, wait.Requests = open.Flows, open.Requests()
	b.plan.Flows += open.Flows
	b.plan.Requests += open.Requests()
	for _, host := range hosts {
		if !b.view.Fleet.Leased(b.view.Now, host) {
			b.addRisk("%s has no lease; its open work is not known", host)
		}
	}
	if b.plan.DeadlineUnixMs == 0 && open.Flows > 0 {
		b.addRisk("%d open flows have no known end and the plan has no deadline", open.Flows)
	}
}

// idleEstimateMs returns the expected duration of a wait for the end of open flows, limited by the deadline.
func (b *builder) idleEstimateMs(flows uint64) uint64 {
	if flows == 0 {
		return idleAnnounceEstimateMs
	}
	left := b.plan.DeadlineUnixMs - b.view.Now.UnixMilli()
	if b.plan.DeadlineUnixMs != 0 && left > 0 {
		return min(openFlowsEstimateMs, uint64(left))
	}
	return openFlowsEstimateMs
}

// checkRemoval records the hosts as removed from a service and checks that the service keeps an active upstream and
// enough capacity.
func (b *builder) checkRemoval(svc *catalogpb.Service, hosts []string) error {
	b.affectedServices = append(b.affectedServices, svc)
	b.removedHosts = append(b.removedHosts, hosts...)
	losesActive := slices.ContainsFunc(activeHosts(svc, nil), func(h string) bool { return slices.Contains(hosts, h) })
	if !losesActive {
		return nil
	}
	remaining := activeHosts(svc, hosts)
	if len(remaining) == 0 {
		return result.Errorf(result.PlanLastUpstream, "%s would have no active upstream without %s", svc.Name, formatHosts(hosts))
	}
	return b.checkCapacity(svc, remaining)
}

// checkCapacity compares the open work of a service with the limits of its remaining hosts. Hosts that are still starting
// do not count.
func (b *builder) checkCapacity(svc *catalogpb.Service, remaining []string) error {
	var slots, connections uint64
	domains := map[string]bool{}
	for _, host := range remaining {
		h := b.view.Catalog.Host(host)
		if b.view.Fleet.Cold(host) {
			b.addRisk("%s is still starting and was not counted for %s", host, svc.Name)
			continue
		}
		slots += uint64(effectiveLimit(h.Slots, h.SlotLimit))
		connections += uint64(effectiveLimit(h.MaxConnections, h.ConnectionLimit))
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
		b.addRisk("%s would depend on a single failure domain", svc.Name)
	}
	if len(remaining) == 1 {
		b.addRisk("%s would have a single active upstream", svc.Name)
	}
	return nil
}

func (b *builder) finish() {
	b.plan.Capacity = b.view.capacity(b.affectedServices, b.removedHosts)
	slices.Sort(b.plan.Claims)
	slices.SortFunc(b.plan.Depends, func(x, y *intentpb.Dependency) int { return cmp.Compare(x.Object, y.Object) })
}

func (b *builder) findService(name string) (*catalogpb.Service, error) {
	svc := b.view.Catalog.Service(name)
	if svc == nil {
		return nil, result.Errorf(result.PlanUnknownService, "no service %q", name)
	}
	return svc, nil
}

// setDeadline sets the plan's deadline, which must be in the future; 0 means no deadline.
func (b *builder) setDeadline(unixMs int64) error {
	if unixMs != 0 && unixMs <= b.view.Now.UnixMilli() {
		return result.Errorf(result.IntentMalformed, "the deadline has passed")
	}
	b.plan.DeadlineUnixMs = unixMs
	return nil
}

func (b *builder) createService(want *intentpb.CreateService) error {
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
	b.addStep(intentpb.StepKind_STEP_CREATE, nil, want.Hosts, commitEstimateMs, "create %s at %s on %s", want.Name, want.Frontend, formatHosts(want.Hosts))
	b.addStep(intentpb.StepKind_STEP_AWAIT_IN_FORCE, nil, nil, inForceEstimateMs, "wait until every entry VM has the revision in force")
	return nil
}

func (b *builder) riskUnannounced(service string, hosts []string) {
	for _, host := range hosts {
		h := b.view.Catalog.Host(host)
		if h == nil || !slices.Contains(h.Carries, service) {
			b.addRisk("%s does not announce %s yet", host, service)
		}
	}
}

func (b *builder) setLimits(want *intentpb.SetLimits) error {
	if want.Service == "" && want.Host == "" {
		return result.Errorf(result.IntentMalformed, "limits need a service or a host")
	}
	if want.Service != "" {
		svc, err := b.findService(want.Service)
		if err != nil {
			return err
		}
		b.claim(catalog.ServiceObject(svc.Name))
		b.affectedServices = append(b.affectedServices, svc)
	}
	if want.Host != "" {
		h := b.view.Catalog.Host(want.Host)
		if h == nil {
			return result.Errorf(result.PlanUnknownHost, "no host %q", want.Host)
		}
		b.claim(catalog.HostObject(want.Host))
		open := b.view.load(want.Host, 0)
		if want.MaxConnections != 0 && open.Flows > uint64(want.MaxConnections) {
			b.addRisk("%s has %d open flows; they stay, new ones are refused until fewer are open", want.Host, open.Flows)
		}
	}
	b.addStep(intentpb.StepKind_STEP_SET_LIMITS, nil, nil, commitEstimateMs, "set limits of %s%s", want.Service, want.Host)
	b.addStep(intentpb.StepKind_STEP_AWAIT_IN_FORCE, nil, nil, inForceEstimateMs, "wait until every entry VM has the revision in force")
	return nil
}

// formatHosts formats a list of hosts and abbreviates long lists.
func formatHosts(hosts []string) string {
	const shown = 6
	if len(hosts) <= shown {
		return fmt.Sprint(hosts)
	}
	return fmt.Sprintf("%v and %d more", hosts[:shown], len(hosts)-shown)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
