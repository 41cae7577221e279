package catalog_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

var _ consensus.StateMachine = (*catalog.Catalog)(nil)

// commands returns a sequence of encoded commands, each of which changes the state: two hosts, a service, a loss and a
// return, totals, and a drain that is overdue, paused, resumed and aborted.
func commands(t testing.TB) [][]byte {
	host := func(name string, n int) *catalogpb.Host {
		return &catalogpb.Host{
			Host: name, Incarnation: 1, FailureDomain: "d" + name, Carries: []string{"s"}, Slots: 3, MaxConnections: 9,
			Tunnel: fmt.Sprintf("127.0.1.%d:1", n), Rpc: fmt.Sprintf("127.0.1.%d:2", n),
		}
	}
	create := &intentpb.Spec{Want: &intentpb.Spec_Create{Create: &intentpb.CreateService{Name: "s", Frontend: "10.0.0.1:80", Kind: "stream", Hosts: []string{"h1", "h2"}}}}
	drain := &intentpb.Spec{Want: &intentpb.Spec_Retire{Retire: &intentpb.RetireHost{Host: "h1"}}}
	loss := []*catalogpb.Loss{{Host: "h2", Incarnation: 1, Observers: []string{"h1"}}}
	claims := []string{catalog.ServiceObject("s")}
	state := func(s intentpb.State) *catalogpb.Command {
		return &catalogpb.Command{Do: &catalogpb.Command_SetState{SetState: &catalogpb.SetState{Intent: 2, State: s, Operator: "ann"}}}
	}
	list := []*catalogpb.Command{
		{Do: &catalogpb.Command_Announce{Announce: &catalogpb.Announce{Hosts: []*catalogpb.Host{host("h1", 1), host("h2", 2)}}}},
		{Do: &catalogpb.Command_Submit{Submit: &catalogpb.Submit{Operator: "ann", Key: "1", Spec: create, Plan: &intentpb.Plan{
			Number: 1, Claims: claims, Steps: []*intentpb.Step{{Kind: intentpb.StepKind_STEP_CREATE}},
		}}}},
		{Do: &catalogpb.Command_Confirm{Confirm: &catalogpb.Confirm{Intent: 1, Number: 1, Operator: "ann"}}},
		{Do: &catalogpb.Command_Advance{Advance: &catalogpb.Advance{Intent: 1, Number: 1}}},
		{Do: &catalogpb.Command_Lost{Lost: &catalogpb.DeclareLost{Hosts: loss}}},
		{Do: &catalogpb.Command_Return{Return: &catalogpb.Return{Hosts: loss}}},
		{Do: &catalogpb.Command_Totals{Totals: &catalogpb.Totals{Hosts: []*catalogpb.HostTotals{{Host: "h1", Incarnation: 1,
			Totals:  []*memberpb.AccountTotal{{Service: 1, Unit: "flow", Count: 4}},
			Callers: []*memberpb.CallerTotal{{Service: 1, Caller: "192.0.2.1", Unit: "flow", Count: 4}}}}}}},
		{Do: &catalogpb.Command_Submit{Submit: &catalogpb.Submit{Operator: "ann", Key: "2", Spec: drain, Plan: &intentpb.Plan{
			Number: 1, Claims: claims, Steps: []*intentpb.Step{{Kind: intentpb.StepKind_STEP_DRAIN, Hosts: []string{"h1"}}, {Kind: intentpb.StepKind_STEP_AWAIT_IDLE}},
		}}}},
		{Do: &catalogpb.Command_Replan{Replan: &catalogpb.Replan{Intent: 2, Number: 1, Plan: &intentpb.Plan{
			Claims: claims, Steps: []*intentpb.Step{{Kind: intentpb.StepKind_STEP_DRAIN, Hosts: []string{"h1"}}, {Kind: intentpb.StepKind_STEP_AWAIT_IDLE}},
		}}}},
		{Do: &catalogpb.Command_Confirm{Confirm: &catalogpb.Confirm{Intent: 2, Number: 2, Operator: "ann"}}},
		{Do: &catalogpb.Command_Advance{Advance: &catalogpb.Advance{Intent: 2, Number: 2}}},
		{Do: &catalogpb.Command_Overdue{Overdue: &catalogpb.Overdue{Intent: 2, Callers: []string{"192.0.2.1"}, Work: 1}}},
		state(intentpb.State_STATE_PAUSED),
		state(intentpb.State_STATE_RUNNING),
		state(intentpb.State_STATE_ABORTED),
		{Do: &catalogpb.Command_SetControl{SetControl: &catalogpb.SetControl{Members: []*catalogpb.ControlMember{{Id: "c1", Address: "127.0.0.1:1"}}}}},
		{Do: &catalogpb.Command_Lost{Lost: &catalogpb.DeclareLost{Hosts: loss}}},
		{Do: &catalogpb.Command_Forget{Forget: &catalogpb.Forget{Hosts: loss}}},
	}
	var out [][]byte
	for _, cmd := range list {
		raw, err := catalog.Encode(cmd)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, raw)
	}
	return out
}

// Guards against a command that has a second effect when it is committed twice, as happens after a lost response.
func TestCommandsAreIdempotent(t *testing.T) {
	g := NewWithT(t)
	once, twice := catalog.New(), catalog.New()
	at := time.UnixMilli(1_800_000_000_000)
	state := func(c *catalog.Catalog) []byte {
		raw, err := c.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		return raw
	}
	for i, cmd := range commands(t) {
		index := uint64(i + 1)
		before := state(once)
		_, err := catalog.DecodeResult(once.Apply(index, at, cmd))
		g.Expect(err).NotTo(HaveOccurred(), "command %d", i)
		g.Expect(state(once)).NotTo(Equal(before), "command %d does not change the state", i)
		twice.Apply(index, at, cmd)
		twice.Apply(index, at, cmd)
		g.Expect(state(twice)).To(Equal(state(once)), "command %d", i)
	}
}

// Guards against ends of flows that are attributed to no intent or to the wrong intent, or counted twice when totals are
// resent.
func TestEndsAreCountedForTheIntentInProgress(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	at := time.UnixMilli(1_800_000_000_000)
	history := commands(t)
	totals := func(index uint64, host string, code uint32, count uint64) {
		cmd, err := catalog.Encode(&catalogpb.Command{Do: &catalogpb.Command_Totals{Totals: &catalogpb.Totals{
			Hosts: []*catalogpb.HostTotals{{Host: host, Incarnation: 1, Totals: []*memberpb.AccountTotal{
				{Service: 1, Unit: "flow", Code: code, Count: count},
			}}},
		}}})
		g.Expect(err).NotTo(HaveOccurred())
		c.Apply(index, at, cmd)
	}
	for i, cmd := range history[:10] { // up to the confirmation of intent 2, which claims the service
		c.Apply(uint64(i+1), at, cmd)
	}
	totals(11, "h1", 0, 6) // the history has already reported 4
	totals(12, "h1", 0, 6)
	totals(13, "h1", uint32(account.CodeStarted), 9)
	totals(14, "h2", uint32(result.FlowSilent), 3)
	for i, cmd := range history[10:15] { // the intent is aborted
		c.Apply(uint64(i+15), at, cmd)
	}
	totals(20, "h1", 0, 8)
	g.Expect(c.ServiceByID(1).ByIntent).To(HaveExactElements(
		And(HaveField("Intent", BeEquivalentTo(2)), HaveField("Code", BeZero()), HaveField("Count", BeEquivalentTo(2))),
		And(HaveField("Intent", BeEquivalentTo(2)), HaveField("Code", BeEquivalentTo(result.FlowSilent)), HaveField("Count", BeEquivalentTo(3))),
	))
}

// Guards against different bucket tables with the same generation, where two agents would both be the home of a bucket.
// A host's weight in the table is its number of slots, which an intent or a restart of its agent can change.
func TestEqualGenerationsGiveEqualHomes(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	at := time.UnixMilli(1_800_000_000_000)
	list := commands(t)[:6]
	limit := func(id uint64, key string, limits *intentpb.SetLimits) {
		spec := &intentpb.Spec{Want: &intentpb.Spec_Limits{Limits: limits}}
		plan := &intentpb.Plan{Number: 1, Steps: []*intentpb.Step{{Kind: intentpb.StepKind_STEP_SET_LIMITS}}}
		for _, cmd := range []*catalogpb.Command{
			{Do: &catalogpb.Command_Submit{Submit: &catalogpb.Submit{Operator: "ann", Key: key, Spec: spec, Plan: plan}}},
			{Do: &catalogpb.Command_Confirm{Confirm: &catalogpb.Confirm{Intent: id, Number: 1, Operator: "ann"}}},
			{Do: &catalogpb.Command_Advance{Advance: &catalogpb.Advance{Intent: id, Number: 1}}},
		} {
			raw, err := catalog.Encode(cmd)
			g.Expect(err).NotTo(HaveOccurred())
			list = append(list, raw)
		}
	}
	limit(2, "slots", &intentpb.SetLimits{Host: "h1", Slots: 1})
	limit(3, "connections", &intentpb.SetLimits{Host: "h1", MaxConnections: 5})
	restart, err := catalog.Encode(&catalogpb.Command{Do: &catalogpb.Command_Announce{Announce: &catalogpb.Announce{Hosts: []*catalogpb.Host{{
		Host: "h2", Incarnation: 2, FailureDomain: "dh2", Carries: []string{"s"}, Slots: 9, MaxConnections: 9, Tunnel: "127.0.1.2:1", Rpc: "127.0.1.2:2",
	}}}}})
	g.Expect(err).NotTo(HaveOccurred())
	list = append(list, restart)

	byGeneration := map[model.Revision][]model.HostID{}
	tables := 0
	for i, cmd := range list {
		c.Apply(uint64(i+1), at, cmd)
		config := c.Config()
		svc := config.Services[1]
		if svc == nil {
			continue
		}
		var homes []model.HostID
		table := routing.Build(config)
		for b := range uint32(routing.Buckets) {
			home, _ := table.Home(1, b)
			homes = append(homes, home)
		}
		if known := byGeneration[svc.Generation]; known != nil {
			g.Expect(homes).To(Equal(known), "command %d", i)
		} else {
			tables++
		}
		byGeneration[svc.Generation] = homes
	}
	g.Expect(tables).To(BeNumerically(">=", 5))
}

// Guards against a history that grows without limit or drops changes without counting them, and against an account that
// grows with each restart or counts an incarnation twice when its last totals arrive late.
func TestHistoryAndAccountAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	at := time.UnixMilli(1_800_000_000_000)
	for i, cmd := range commands(t)[:4] {
		c.Apply(uint64(i+1), at, cmd)
	}
	c.Apply(5, at, commands(t)[6])
	const restarts = catalog.MaxChanges + 100
	for i := range restarts {
		h := &catalogpb.Host{Host: "h1", Incarnation: uint64(i + 2), FailureDomain: "d", Carries: []string{"s"}, Tunnel: "127.0.1.1:1", Rpc: "127.0.1.1:2"}
		cmd, err := catalog.Encode(&catalogpb.Command{Do: &catalogpb.Command_Announce{Announce: &catalogpb.Announce{Hosts: []*catalogpb.Host{h}}}})
		g.Expect(err).NotTo(HaveOccurred())
		c.Apply(uint64(i+6), at, cmd)
	}
	c.Apply(restarts+6, at, commands(t)[6])
	svc := c.ServiceByID(1)
	g.Expect(svc.Totals).To(HaveLen(1))
	g.Expect(svc.Callers).To(HaveLen(1))
	g.Expect([]uint64{svc.Totals[0].Count, svc.Callers[0].Count}).To(Equal([]uint64{4, 4}))
	kept := len(c.Changes(1))
	g.Expect(kept).To(Equal(catalog.MaxChanges))
	g.Expect(c.ServiceByID(1).ChangesDropped).To(BeEquivalentTo(restarts + 1 - kept)) // one change for the creation
}

// FuzzCommand guards against a command that makes a replica panic, return an undecodable result, or diverge from another
// replica.
func FuzzCommand(f *testing.F) {
	for _, cmd := range commands(f) {
		f.Add(cmd)
	}
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := catalog.New(), catalog.New()
		at := time.UnixMilli(1_800_000_000_000)
		list := append(commands(t)[:8], data, data)
		for i, cmd := range list {
			res := a.Apply(uint64(i+1), at, cmd)
			if !bytes.Equal(res, b.Apply(uint64(i+1), at, cmd)) {
				t.Fatal("replicas return different results")
			}
			if _, err := catalog.DecodeResult(res); err != nil && i < 8 {
				t.Fatal(err)
			}
		}
		x, err := a.Snapshot()
		if err != nil && result.CodeOf(err) != result.Internal {
			t.Fatal(err)
		}
		y, _ := b.Snapshot()
		if !bytes.Equal(x, y) {
			t.Fatal("replicas have different snapshots")
		}
		a.Config()
	})
}
