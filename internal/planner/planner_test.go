package planner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/membership"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// newHarnessWithServices returns a harness with service iarratas on h1, h2 and h3 in three failure domains, and service
// iomha on h4 only.
func newHarnessWithServices(g *WithT) *harness {
	w := newHarness()
	for i, host := range []string{"h1", "h2", "h3"} {
		g.Expect(w.announce(host, domains[i], 1, "iarratas")).To(Succeed())
	}
	g.Expect(w.announce("h4", domains[0], 1, "iomha")).To(Succeed())
	for _, spec := range []*intentpb.Spec{create("iarratas", "10.0.0.1:80", "h1", "h2", "h3"), create("iomha", "10.0.0.2:80", "h4")} {
		in, err := w.execute(spec.GetCreate().Name, spec)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(in.State).To(Equal(intentpb.State_STATE_DONE))
	}
	return w
}

// Guards against a plan that breaks an invariant, and against a refusal with a wrong result code.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		set  func(w *harness)
		spec *intentpb.Spec
		code result.Code
	}{
		"last upstream":            {spec: retire("h4", 0), code: result.PlanLastUpstream},
		"last upstream by rights":  {spec: rights("iomha", "h1"), code: result.PlanLastUpstream},
		"unknown host":             {spec: retire("h9", 0), code: result.PlanUnknownHost},
		"unknown service":          {spec: closeService("none", 0), code: result.PlanUnknownService},
		"name in use":              {spec: create("iomha", "10.0.0.3:80", "h1"), code: result.PlanAddressInUse},
		"frontend in use":          {spec: create("new", "10.0.0.2:80", "h1"), code: result.PlanAddressInUse},
		"malformed frontend":       {spec: create("new", "10.0.0.2", "h1"), code: result.IntentMalformed},
		"no purpose":               {spec: &intentpb.Spec{}, code: result.IntentMalformed},
		"deadline passed":          {spec: retire("h1", 1), code: result.IntentMalformed},
		"not retired":              {spec: returnHost("h1"), code: result.IntentConflict},
		"nothing to move":          {spec: move("iomha", "gaillimh-b", "gaillimh-a"), code: result.PlanUnknownHost},
		"no destination":           {spec: move("iomha", "gaillimh-a", "gaillimh-b"), code: result.PlanNoCapacity},
		"unknown control VM":       {spec: replace("c9", "c4"), code: result.PlanUnknownHost},
		"key 0":                    {spec: rotate(0), code: result.IntentMalformed},
		"limits of nothing":        {spec: limits("", 1), code: result.IntentMalformed},
		"present control VM added": {spec: replace("c1", "c2"), code: result.IntentConflict},
		"too few connections": {spec: retire("h1", 0), code: result.PlanNoCapacity, set: func(w *harness) {
			w.fleet.loads["h2"] = membership.Load{Flows: 4001}
		}},
		"too few slots": {spec: retire("h1", 0), code: result.PlanNoCapacity, set: func(w *harness) {
			w.fleet.loads["h3"] = membership.Load{Running: 3, Queued: 4}
		}},
		"only cold hosts remain": {spec: retire("h1", 0), code: result.PlanNoCapacity, set: func(w *harness) {
			w.fleet.cold["h2"], w.fleet.cold["h3"] = true, true
			w.fleet.loads["h1"] = membership.Load{Flows: 1}
		}},
		"quorum during replacement": {spec: replace("c1", "c4"), code: result.PlanLastQuorum, set: func(w *harness) {
			w.controlVMs[1].Reachable, w.controlVMs[2].Reachable = false, false
		}},
		"quorum after replacement": {spec: replace("c1", "c4"), code: result.OK, set: func(w *harness) {
			w.controlVMs[1].Reachable = false
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newHarnessWithServices(g)
			if c.set != nil {
				c.set(w)
			}
			_, err := planner.Plan(w.view(), c.spec)
			g.Expect(result.CodeOf(err)).To(Equal(c.code), "%v", err)
		})
	}
}

// Guards against a confirmation that starts a plan made for another state, and against one that is refused although
// only unrelated objects changed.
func TestConfirmChecksState(t *testing.T) {
	for name, c := range map[string]struct {
		change func(w *harness)
		code   result.Code
	}{
		"nothing changed":    {func(*harness) {}, result.OK},
		"unrelated service":  {func(w *harness) { w.announce("h4", domains[0], 2, "iomha") }, result.OK},
		"host restarted":     {func(w *harness) { w.announce("h1", domains[0], 2, "iarratas") }, result.PlanOutdated},
		"other member lost":  {func(w *harness) { loseHost(w, "h2") }, result.PlanOutdated},
		"service limits set": {func(w *harness) { w.execute("l", limits("iarratas", 9)) }, result.PlanOutdated},
		"other plan is running": {func(w *harness) {
			w.fleet.loads["h2"] = membership.Load{Flows: 1}
			w.execute("r2", retire("h2", 0))
		}, result.IntentConflict},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newHarnessWithServices(g)
			spec := retire("h1", 0)
			plan, err := planner.Plan(w.view(), spec)
			g.Expect(err).NotTo(HaveOccurred())
			in, err := w.submit("bob", "r1", spec, plan)
			g.Expect(err).NotTo(HaveOccurred())
			c.change(w)
			_, err = w.confirm(in.Id, 1, "bob")
			g.Expect(result.CodeOf(err)).To(Equal(c.code), "%v", err)
			if c.code == result.IntentConflict {
				g.Expect(err.Error()).To(ContainSubstring("confirmed by ann"))
			}
		})
	}
}

func loseHost(w *harness, host string) {
	loss := []*catalogpb.Loss{{Host: host, Incarnation: w.cat.Host(host).Incarnation, Observers: []string{"h3"}}}
	w.apply(&catalogpb.Command{Do: &catalogpb.Command_Lost{Lost: &catalogpb.DeclareLost{Hosts: loss}}})
}

// Guards against a resend that creates a second intent, and against an idempotency key that is used for two intents.
func TestOperatorKeys(t *testing.T) {
	g := NewWithT(t)
	w := newHarnessWithServices(g)
	plan, err := planner.Plan(w.view(), retire("h1", 0))
	g.Expect(err).NotTo(HaveOccurred())
	first, err := w.submit("ann", "k", retire("h1", 0), plan)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := w.submit("ann", "k", retire("h1", 0), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Id).To(Equal(first.Id))
	_, err = w.submit("ann", "k", retire("h2", 0), plan)
	g.Expect(result.CodeOf(err)).To(Equal(result.IntentKeyReused))
	other, err := w.submit("bob", "k", retire("h2", 0), plan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.Id).NotTo(Equal(first.Id))
}

// Guards against a drain that ends early: each condition alone must block the plan.
func TestRetireWaits(t *testing.T) {
	for name, c := range map[string]struct {
		hold    func(w *harness)
		release func(w *harness)
	}{
		"other member behind": {func(w *harness) { w.fleet.outdated["h2"] = true }, func(w *harness) { w.fleet.outdated["h2"] = false }},
		"drained host behind": {func(w *harness) { w.fleet.outdated["h1"] = true }, func(w *harness) { w.fleet.outdated["h1"] = false }},
		"flows open": {func(w *harness) { w.fleet.loads["h1"] = membership.Load{Flows: 1} },
			func(w *harness) { delete(w.fleet.loads, "h1") }},
		"requests queued": {func(w *harness) { w.fleet.loads["h1"] = membership.Load{Queued: 1} },
			func(w *harness) { delete(w.fleet.loads, "h1") }},
		"host silent": {func(w *harness) { w.fleet.unleased["h1"] = true }, func(w *harness) { w.fleet.unleased["h1"] = false }},
		"host lost while it drains": {func(w *harness) { w.fleet.loads["h1"] = membership.Load{Flows: 1} },
			func(w *harness) { loseHost(w, "h1") }},
		"behind member loses its lease": {func(w *harness) { w.fleet.outdated["h2"] = true }, func(w *harness) { w.fleet.unleased["h2"] = true }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newHarnessWithServices(g)
			c.hold(w)
			in, err := w.execute("r", retire("h1", 0))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(in.State).To(Equal(intentpb.State_STATE_RUNNING))
			svc := w.cat.Config().ServiceByName("iarratas")
			g.Expect(svc.Members[0].State).To(Equal(model.UpstreamDraining))
			c.release(w)
			in, err = w.runSteps(in.Id)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(in.State).To(Equal(intentpb.State_STATE_DONE))
			g.Expect(w.cat.Config().ServiceByName("iarratas").Members).To(HaveLen(2))
		})
	}
}

// Guards against a deadline that ends flows, or one that is reported more than once.
func TestOverdueListsCallersAndCutsNone(t *testing.T) {
	g := NewWithT(t)
	w := newHarnessWithServices(g)
	w.fleet.loads["h1"] = membership.Load{Flows: 3, Running: 1}
	w.fleet.callers["h1"] = []string{"192.0.2.7", "192.0.2.5"}
	in, err := w.execute("r", retire("h1", w.now.Add(time.Minute).UnixMilli()))
	g.Expect(err).NotTo(HaveOccurred())
	w.now = w.now.Add(time.Minute)
	next := planner.NextStep(w.view(), in)
	g.Expect(next.Kind).To(Equal(planner.ReportOverdue))
	for range 2 {
		cmd := &catalogpb.Overdue{Intent: in.Id, Callers: next.Callers, Work: next.OpenWork}
		_, err = w.apply(&catalogpb.Command{Do: &catalogpb.Command_Overdue{Overdue: cmd}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	in = w.cat.Intent(in.Id)
	g.Expect(in.Remaining).To(Equal([]string{"192.0.2.5", "192.0.2.7"}))
	g.Expect(in.RemainingWork).To(BeEquivalentTo(4))
	g.Expect(planner.NextStep(w.view(), in).Kind).To(Equal(planner.Wait))
	g.Expect(w.cat.Config().ServiceByName("iarratas").Members[0].State).To(Equal(model.UpstreamDraining))
	delete(w.fleet.loads, "h1")
	in, err = w.runSteps(in.Id)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(in.State).To(Equal(intentpb.State_STATE_DONE))
}

// Guards against intents whose steps do not lead to the wanted state, or whose abort does not restore the former one.
func TestIntentsReachTheirState(t *testing.T) {
	g := NewWithT(t)
	w := newHarnessWithServices(g)
	members := func() []model.Member { return w.cat.Config().ServiceByName("iarratas").Members }
	done := func(key string, spec *intentpb.Spec) {
		t.Helper()
		in, err := w.execute(key, spec)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(in.State).To(Equal(intentpb.State_STATE_DONE), key)
	}
	done("move", move("iarratas", domains[0], domains[1]))
	g.Expect(members()).To(Equal([]model.Member{{Host: "h2", State: model.UpstreamActive}, {Host: "h3", State: model.UpstreamActive}}))
	done("back", move("iarratas", domains[2], domains[0]))
	g.Expect(members()).To(Equal([]model.Member{{Host: "h1", State: model.UpstreamActive}, {Host: "h2", State: model.UpstreamActive}}))
	done("retire", retire("h1", 0))
	g.Expect(result.CodeOf(w.announce("h1", domains[0], 2, "iarratas"))).To(Equal(result.AnnounceNotPermitted))
	done("return", returnHost("h1"))
	g.Expect(w.announce("h1", domains[0], 2, "iarratas")).To(Succeed())
	g.Expect(members()).To(HaveLen(2))
	done("rights", rights("iarratas", "h1", "h3"))
	g.Expect(members()).To(Equal([]model.Member{{Host: "h1", State: model.UpstreamActive}}))
	done("rotate", rotate(7))
	g.Expect(w.cat.Config().Keys).To(Equal(model.KeyRing{Active: 7, Accepted: []uint32{7}}))

	stop := w.now.Add(time.Hour).UnixMilli()
	in, err := w.execute("close", closeService("iomha", stop))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(in.Step).To(BeZero())
	w.fleet.loads["h4"] = membership.Load{Flows: 1}
	w.now = w.now.Add(time.Hour)
	_, err = w.runSteps(in.Id)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.cat.Config().ServiceByName("iomha").Closing).To(BeTrue())
	abort := &catalogpb.SetState{Intent: in.Id, State: intentpb.State_STATE_ABORTED, Operator: "bob"}
	_, err = w.apply(&catalogpb.Command{Do: &catalogpb.Command_SetState{SetState: abort}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.cat.Config().ServiceByName("iomha").Closing).To(BeFalse())
	delete(w.fleet.loads, "h4")
	old := w.cat.Config().ServiceByName("iomha").ID
	done("close again", closeService("iomha", 0))
	g.Expect(w.cat.Config().ServiceByName("iomha")).To(BeNil())
	done("create again", create("iomha", "10.0.0.2:80", "h4"))
	g.Expect(w.cat.Config().ServiceByName("iomha").ID).To(BeNumerically(">", old))
}
