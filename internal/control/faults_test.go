package control_test

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/report"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// deployment returns a harness with two entries, and two services on three and two upstreams.
func deployment(t *testing.T) *controlHarness {
	r := newControlHarness(t, 3)
	r.addEntry("e1", "ub-campus")
	r.addEntry("e2", "ub-khanuul")
	r.addHost("h1", "ub-bayangol", "sample-book")
	r.addHost("h2", "ub-sukhbaatar", "sample-book")
	r.addHost("h3", "ub-khanuul", "sample-book", "scan-vault")
	r.addHost("h4", "ub-campus", "scan-vault")
	r.runHeartbeats(1)
	r.execute("c1", createSpec("sample-book", "10.0.0.1:80", "request", "h1", "h2", "h3"))
	r.execute("c2", createSpec("scan-vault", "10.0.0.2:80", "stream", "h3", "h4"))
	return r
}

// intentSpecs returns one intent of each kind that the deployment can carry out.
func intentSpecs() map[string]*intentpb.Spec {
	return map[string]*intentpb.Spec{
		"create":  createSpec("new", "10.0.0.3:80", "stream", "h1"),
		"retire":  retireSpec("h1"),
		"limits":  {Want: &intentpb.Spec_Limits{Limits: &intentpb.SetLimits{Service: "sample-book", QueueLimit: 9, Host: "h2", Slots: 2}}},
		"rights":  {Want: &intentpb.Spec_Rights{Rights: &intentpb.DeclareRights{Service: "sample-book", Hosts: []string{"h1", "h2", "h4"}}}},
		"move":    {Want: &intentpb.Spec_Move{Move: &intentpb.MoveLoad{Service: "scan-vault", From: "ub-khanuul", To: "ub-campus"}}},
		"close":   {Want: &intentpb.Spec_Close{Close: &intentpb.CloseService{Service: "scan-vault"}}},
		"replace": {Want: &intentpb.Spec_Replace{Replace: &intentpb.ReplaceControl{Old: controlID(1), New: "z-control", Address: "127.0.0.9:9"}}},
		"rotate":  {Want: &intentpb.Spec_Rotate{Rotate: &intentpb.RotateKey{Key: 5}}},
	}
}

// Guards against a plan that stops, repeats a step or leaves replicas in different states when the leader changes in the
// middle of it: the leader changes after every step, and the response to the first proposal of each second is lost.
func TestLeaderLossAtEveryStep(t *testing.T) {
	for kind, spec := range intentSpecs() {
		t.Run(kind, func(t *testing.T) {
			r := deployment(t)
			res := r.plan("ann", kind, spec)
			r.g.Expect(res.Code).To(BeZero(), res.Detail)
			r.log.setLeader(1)
			r.tickUntilIdle()
			res = r.confirm("ann", res.Intent)
			r.g.Expect(res.Code).To(BeZero(), res.Detail)
			in := res.Intent
			leaderChanges := 0
			for heartbeat := 0; in.State == intentpb.State_STATE_RUNNING && heartbeat < 60; heartbeat++ {
				r.log.loseNextAnswer()
				r.runHeartbeats(1)
				next := r.getIntent(in.Id)
				if next.Step != in.Step {
					leaderChanges++
					r.log.setLeader(leaderChanges % 3)
					r.tickUntilIdle()
				}
				in = next
			}
			r.g.Expect(in.State).To(Equal(intentpb.State_STATE_DONE), in.Waiting)
			r.g.Expect(leaderChanges).To(BeNumerically(">", 0))
			r.expectChangesOnce(in.Id)
			r.expectSameState()
		})
	}
}

// loseNextAnswer makes the next proposal commit without an answer.
func (l *memLog) loseNextAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = 1
}

// expectChangesOnce fails if the history records a change of the intent twice.
func (r *controlHarness) expectChangesOnce(intent uint64) {
	seen := map[string]bool{}
	r.log.replicas[0].state.Read(func(c *catalog.Catalog) {
		for _, ch := range c.Changes(0) {
			key := fmt.Sprint(ch.Service, ch.Host, ch.Text)
			r.g.Expect(ch.Intent == intent && seen[key]).To(BeFalse(), "change %q is recorded twice", ch.Text)
			seen[key] = seen[key] || ch.Intent == intent
		}
	})
}

// expectSameState fails if the snapshots of the replicas differ.
func (r *controlHarness) expectSameState() {
	want, err := r.log.replicas[0].state.Snapshot()
	r.g.Expect(err).NotTo(HaveOccurred())
	for _, rep := range r.log.replicas[1:] {
		got, err := rep.state.Snapshot()
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(got).To(Equal(want))
	}
}

// Guards against conflicting intents of two operators that are both confirmed, a refusal that does not name the operator
// of the confirmed intent, and a retry after a lost response that plans or confirms twice.
func TestOperatorsRaceAndResend(t *testing.T) {
	r := deployment(t)
	g := r.g
	r.hosts["h1"].OpenFlows = 2
	r.runHeartbeats(1)
	ann := r.plan("ann", "1", retireSpec("h1"))
	bob := r.plan("bob", "1", &intentpb.Spec{Want: &intentpb.Spec_Close{Close: &intentpb.CloseService{Service: "sample-book"}}})
	g.Expect([]uint32{ann.Code, bob.Code}).To(Equal([]uint32{0, 0}))
	g.Expect(ann.Intent.Plan.Flows).To(BeEquivalentTo(2))

	r.log.loseNextAnswer()
	g.Expect(r.confirm("ann", ann.Intent).Code).To(BeEquivalentTo(result.ProposalLost))
	g.Expect(r.confirm("ann", ann.Intent).Code).To(BeZero())
	lost := r.confirm("bob", bob.Intent)
	g.Expect(lost.Code).To(BeEquivalentTo(result.IntentConflict))
	g.Expect(lost.Detail).To(ContainSubstring(fmt.Sprintf("intent %d of ann", ann.Intent.Id)))
	late := r.plan("cem", "1", retireSpec("h2"))
	g.Expect(late.Code).To(BeEquivalentTo(result.IntentConflict))
	g.Expect(r.plan("cem", "1", retireSpec("h2")).Intent.Id).To(Equal(late.Intent.Id))
	g.Expect(r.plan("cem", "1", retireSpec("h3")).Code).To(BeEquivalentTo(result.IntentKeyReused))

	r.log.loseNextAnswer()
	g.Expect(r.plan("dee", "1", retireSpec("h4")).Code).To(BeEquivalentTo(result.ProposalLost))
	again := r.plan("dee", "1", retireSpec("h4"))
	g.Expect(again.Code).To(BeZero())
	g.Expect(r.plan("dee", "1", retireSpec("h4")).Intent.Id).To(Equal(again.Intent.Id))

	r.runHeartbeats(5)
	g.Expect(r.getIntent(ann.Intent.Id).Waiting).To(ContainSubstring("2 flows"))
	r.hosts["h1"].OpenFlows = 0
	r.runHeartbeats(8)
	g.Expect(r.getIntent(ann.Intent.Id).State).To(Equal(intentpb.State_STATE_DONE))
	outdated := r.confirm("bob", bob.Intent)
	g.Expect(outdated.Code).To(BeEquivalentTo(result.PlanOutdated))
	g.Expect(outdated.Intent.Plan.Number).To(BeEquivalentTo(2))
	g.Expect(r.confirm("bob", outdated.Intent).Code).To(BeZero())
}

// Guards against accepted calls without an operator's identity, with the wrong role, or to a VM that does not lead.
func TestIntentsRefuseUnauthorizedCalls(t *testing.T) {
	r := deployment(t)
	res, err := r.leader().intents.Plan(r.ctx, &intentpb.PlanRequest{Key: "k", Spec: retireSpec("h1")})
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(res.Code).To(BeEquivalentTo(result.PeerNotPermitted))
	res, err = r.nodes[2].intents.Plan(operatorContext("ann"), &intentpb.PlanRequest{Key: "k", Spec: retireSpec("h1")})
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(res.Code).To(BeEquivalentTo(result.NotLeader))
	r.g.Expect(res.Leader).To(Equal(controlAddress(0)))
	other := r.hosts["h1"]
	other.Host = "h9"
	ann, err := r.leader().members.Announce(operatorContext("ann"), other)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(ann.Code).To(BeEquivalentTo(result.PeerNotPermitted))
}

// Guards against totals that are acknowledged but not stored because the host is not registered when they arrive, as
// happens after the catalog has removed the host.
func TestTotalsOfAnUnregisteredHost(t *testing.T) {
	r := deployment(t)
	h := r.addHost("h5", "ub-campus", "scan-vault")
	h.Totals = []*memberpb.AccountTotal{{Service: 2, Unit: "flow", Count: 3}}
	h.Callers = []*memberpb.CallerTotal{{Service: 2, Unit: "flow", Caller: "192.0.2.7", Count: 3}}
	r.heartbeat(h)
	r.log.replicas[0].state.Read(func(c *catalog.Catalog) {
		svc := c.ServiceByID(2)
		r.g.Expect(svc.Totals).To(ContainElement(And(HaveField("Host", "h5"), HaveField("Count", BeEquivalentTo(3)))))
		r.g.Expect(svc.Callers).To(ContainElement(HaveField("Caller", "192.0.2.7")))
	})
}

// Guards against invalid announcements that change the configuration.
func TestFalseAnnouncements(t *testing.T) {
	for fault, c := range map[string]struct {
		change func(r *controlHarness, h *memberpb.AnnounceRequest)
		code   result.Code
	}{
		"service without right": {func(_ *controlHarness, h *memberpb.AnnounceRequest) { h.Carries = append(h.Carries, "scan-vault") }, result.AnnounceNotPermitted},
		"stale incarnation":     {func(_ *controlHarness, h *memberpb.AnnounceRequest) { h.Incarnation = 0 }, result.AnnounceNotPermitted},
		"taken tunnel address":  {func(r *controlHarness, h *memberpb.AnnounceRequest) { h.Tunnel = r.hosts["h2"].Tunnel }, result.AnnounceAddressTaken},
		"taken RPC address":     {func(r *controlHarness, h *memberpb.AnnounceRequest) { h.Rpc = r.hosts["h2"].Rpc }, result.AnnounceAddressTaken},
		"malformed address":     {func(_ *controlHarness, h *memberpb.AnnounceRequest) { h.Tunnel = "h1" }, result.AnnounceNotPermitted},
		"no failure domain":     {func(_ *controlHarness, h *memberpb.AnnounceRequest) { h.FailureDomain = "" }, result.AnnounceNotPermitted},
		"other role":            {func(_ *controlHarness, h *memberpb.AnnounceRequest) { h.Entry = true }, result.AnnounceNotPermitted},
	} {
		t.Run(fault, func(t *testing.T) {
			r := deployment(t)
			before := r.log.replicas[0].state.Config().ServiceByName("scan-vault")
			upstream := r.log.replicas[0].state.Config().Upstreams["h1"]
			c.change(r, r.hosts["h1"])
			r.g.Expect(r.heartbeat(r.hosts["h1"]).Code).To(BeEquivalentTo(c.code))
			after := r.log.replicas[0].state.Config()
			r.g.Expect(after.ServiceByName("scan-vault")).To(Equal(before))
			r.g.Expect(after.Upstreams["h1"]).To(Equal(upstream))
		})
	}
}

// Guards against an older process of a host that gets a lease after a newer one has announced itself, also when the
// leader changes in between.
func TestStaleIncarnation(t *testing.T) {
	r := deployment(t)
	r.hosts["h1"].Incarnation = 5
	r.g.Expect(r.heartbeat(r.hosts["h1"]).Code).To(BeZero())
	r.log.setLeader(2)
	r.tickUntilIdle()
	r.hosts["h1"].Incarnation = 4
	res := r.heartbeat(r.hosts["h1"])
	r.g.Expect(res.Code).To(BeEquivalentTo(result.AnnounceStale))
	r.g.Expect(res.LeaseMs).To(BeZero())
}

// Guards against a leaving host that is reported drained while it has open flows, and against the last active upstream
// of a service being drained.
func TestLeavingHost(t *testing.T) {
	r := deployment(t)
	h3, h4 := r.hosts["h3"], r.hosts["h4"]
	h3.Leaving, h3.OpenFlows = true, 1
	r.runHeartbeats(2)
	r.g.Expect(r.heartbeat(h3).Drained).To(BeFalse())
	h4.Leaving = true
	res := r.heartbeat(h4)
	r.g.Expect(res.Detail).To(ContainSubstring("last active"))
	r.g.Expect(res.Drained).To(BeFalse())
	svc := r.log.replicas[0].state.Config().ServiceByName("scan-vault")
	r.g.Expect(svc.Members).To(Equal([]model.Member{{Host: "h3", State: model.UpstreamDraining}, {Host: "h4", State: model.UpstreamActive}}))
	h3.OpenFlows = 0
	r.runHeartbeats(2)
	r.g.Expect(r.heartbeat(h3).Drained).To(BeTrue())
}

// Guards against a new leader that declares a host lost before it has waited a full lease for heartbeats, and against a
// new leader that never declares it lost.
func TestNewLeaderWaitsAFullLease(t *testing.T) {
	r := deployment(t)
	for _, host := range []string{"h2", "h3", "e1", "e2"} {
		r.hosts[host].Unreachable = []string{"h1"}
	}
	h1 := r.hosts["h1"]
	delete(r.hosts, "h1")
	r.runHeartbeats(4)
	r.log.setLeader(1)
	r.tickUntilIdle()
	r.runHeartbeats(4)
	member := func() model.UpstreamState {
		return r.log.replicas[1].state.Config().ServiceByName("sample-book").Members[0].State
	}
	r.g.Expect(member()).To(Equal(model.UpstreamActive))
	r.runHeartbeats(3)
	r.g.Expect(member()).To(Equal(model.UpstreamLost))
	r.g.Expect(r.heartbeat(h1).LeaseMs).To(BeZero())
	r.hosts["h1"] = h1
	for _, host := range []string{"h2", "h3", "e1", "e2"} {
		r.hosts[host].Unreachable = nil
	}
	r.runHeartbeats(8)
	r.g.Expect(member()).To(Equal(model.UpstreamLost), "returned before the stable period")
	r.runHeartbeats(5)
	r.g.Expect(member()).To(Equal(model.UpstreamActive))
	r.g.Expect(r.heartbeat(h1).LeaseMs).To(BeEquivalentTo(5 * time.Second / time.Millisecond))
}

// Guards against a closing report without the totals that arrive with the last heartbeat before the close, and against a
// drain that counts as complete before these totals are committed.
func TestCloseEndsInReport(t *testing.T) {
	r := deployment(t)
	g := r.g
	h4 := r.hosts["h4"]
	h4.OpenFlows = 1
	r.runHeartbeats(1)
	spec := &intentpb.Spec{Want: &intentpb.Spec_Close{Close: &intentpb.CloseService{Service: "scan-vault", StopUnixMs: r.clock.Now().Add(time.Hour).UnixMilli()}}}
	res := r.confirm("ann", r.plan("ann", "close", spec).Intent)
	r.runHeartbeats(3)
	g.Expect(r.getIntent(res.Intent.Id).Waiting).To(ContainSubstring("new flows stop"))
	_, err := r.leader().intents.Pause(operatorContext("bob"), &intentpb.IntentRequest{Intent: res.Intent.Id})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = r.leader().intents.Resume(operatorContext("bob"), &intentpb.IntentRequest{Intent: res.Intent.Id, Now: true})
	g.Expect(err).NotTo(HaveOccurred())
	r.runHeartbeats(5)
	g.Expect(r.getIntent(res.Intent.Id).Waiting).To(ContainSubstring("h4 has 1 flows"))
	h4.OpenFlows = 0
	h4.Totals = []*memberpb.AccountTotal{
		{Service: 2, Unit: "flow", Code: uint32(account.CodeStarted), Count: 7}, {Service: 2, Unit: "flow", Count: 7},
	}
	h4.Callers = []*memberpb.CallerTotal{{Service: 2, Unit: "flow", Caller: "192.0.2.9", Count: 7}}
	r.runHeartbeats(8)
	g.Expect(r.getIntent(res.Intent.Id).State).To(Equal(intentpb.State_STATE_DONE))
	out, err := r.leader().intents.Report(operatorContext("ann"), &intentpb.ReportRequest{Service: "scan-vault"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Code).To(BeZero(), out.Detail)
	rep, err := report.Verify(out.Json, report.Trust{System: systemKey.Public().(ed25519.PublicKey)})
	g.Expect(result.CodeOf(err)).To(Equal(result.ReportUnsigned))
	var text bytes.Buffer
	g.Expect(rep.WriteText(&text)).To(Succeed())
	g.Expect(text.String()).To(And(ContainSubstring("192.0.2.9"), ContainSubstring("plan set to paused by bob"), ContainSubstring("service scan-vault closed")))
	g.Expect(text.String()).To(MatchRegexp(`flow +7 +7 +0 +0 +0 +0`))
}

// Guards against a leader that declares a host lost after its own process was paused: heartbeats of the observers, which
// report the host unreachable, arrive before the host's own heartbeat.
func TestPausedLeaderDeclaresNobodyLost(t *testing.T) {
	r := deployment(t)
	for _, host := range []string{"h2", "h3", "e1", "e2"} {
		r.hosts[host].Unreachable = []string{"h1"}
	}
	h1 := r.hosts["h1"]
	r.runHeartbeats(1)
	r.clock.Advance(30 * time.Second)
	delete(r.hosts, "h1")
	r.announce()
	r.tickUntilIdle()
	r.runHeartbeats(1)
	r.hosts["h1"] = h1
	r.runHeartbeats(8)
	svc := r.log.replicas[0].state.Config().ServiceByName("sample-book")
	r.g.Expect(svc.Members[0].State).To(Equal(model.UpstreamActive))
	r.log.replicas[0].state.Read(func(c *catalog.Catalog) { r.g.Expect(c.Host("h1").Losses).To(BeZero()) })
}

// Guards against a host that loses its lease, and so takes no new flows of any service, because one of the services in
// its settings is closed or does not exist yet.
func TestMissingRightEndsNoLeaseOfOtherServices(t *testing.T) {
	r := newControlHarness(t, 1)
	r.addEntry("e1", "ub-campus")
	r.addHost("h1", "ub-bayangol", "sample-book")
	both := r.addHost("h2", "ub-khanuul", "sample-book", "scan-vault")
	scan := r.addHost("h3", "ub-campus", "scan-vault")
	expect := func(req *memberpb.AnnounceRequest, code result.Code) {
		t.Helper()
		res := r.heartbeat(req)
		r.g.Expect(result.Code(res.Code)).To(Equal(code), res.Detail)
		r.g.Expect(res.LeaseMs).To(BeNumerically(">", 0))
	}
	r.runHeartbeats(1)
	expect(both, result.AnnounceNotPermitted)
	r.execute("c1", createSpec("sample-book", "10.0.0.1:80", "request", "h1", "h2"))
	expect(both, result.AnnounceNotPermitted)
	expect(scan, result.AnnounceNotPermitted)
	r.execute("c2", createSpec("scan-vault", "10.0.0.2:80", "stream", "h2", "h3"))
	expect(scan, result.OK)
	r.execute("close", &intentpb.Spec{Want: &intentpb.Spec_Close{Close: &intentpb.CloseService{Service: "scan-vault"}}})
	expect(both, result.AnnounceNotPermitted)
	expect(scan, result.AnnounceNotPermitted)
}
