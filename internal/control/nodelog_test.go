package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/node"
	"github.com/plantainseam/plantainseam/internal/consensus/store"
	"github.com/plantainseam/plantainseam/internal/control"
	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// testNetwork delivers messages between the nodes of a test, except those of the held log.
type testNetwork struct {
	mu       sync.Mutex
	handlers map[string]node.Handler
	held     string
}

func (l *testNetwork) hold(log string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = log
}

type port struct {
	lan *testNetwork
	id  consensus.MemberID
}

func (p port) Register(log string, h node.Handler) {
	p.lan.mu.Lock()
	defer p.lan.mu.Unlock()
	p.lan.handlers[string(p.id)+log] = h
}

func (p port) Send(log string, to consensus.Member, messages []consensus.Message) {
	p.lan.mu.Lock()
	h := p.lan.handlers[string(to.ID)+log]
	held := p.lan.held == log
	p.lan.mu.Unlock()
	if h != nil && !held {
		go h(context.Background(), messages)
	}
}

// emptyStateMachine replaces the bindings' state machine.
type emptyStateMachine struct{}

func (emptyStateMachine) Apply(uint64, time.Time, []byte) []byte { return nil }
func (emptyStateMachine) Snapshot() ([]byte, error)              { return nil, nil }
func (emptyStateMachine) Restore([]byte) error                   { return nil }

// nodeVM is a control VM with both logs on disk.
type nodeVM struct {
	id      consensus.MemberID
	log     *control.NodeLog
	intents *control.IntentsServer
}

func startNodeVM(t *testing.T, ctx context.Context, l *testNetwork, dir string, id store.Identity, first []consensus.Member) *nodeVM {
	g := NewWithT(t)
	d, err := store.Open(dir, id.ID)
	g.Expect(err).NotTo(HaveOccurred())
	state := control.NewState()
	start := func(name string, m consensus.StateMachine) *node.Node {
		s, err := d.Log(name)
		g.Expect(err).NotTo(HaveOccurred())
		n, err := node.Start(node.Config{
			Log: name, Consensus: consensus.Config{ID: id.ID}, Bootstrap: first, Store: s, StateMachine: m, Transport: port{l, id.ID},
		})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(n.Stop)
		return n
	}
	vm := &nodeVM{id: id.ID, log: control.NewNodeLog(start("catalog", state), start("bindings", emptyStateMachine{}))}
	c := control.New(control.Config{Log: vm.log, Members: vm.log, State: state, Server: dissemination.NewServer()})
	vm.intents = control.NewIntentsServer(c)
	go vm.log.Run(ctx)
	go c.Run(ctx)
	return vm
}

// vmGroup is three control VMs with both logs and a fourth that is no member yet.
type vmGroup struct {
	lan *testNetwork
	ids []store.Identity
	vms []*nodeVM
}

func newVMGroup(t *testing.T, held string) *vmGroup {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := &vmGroup{lan: &testNetwork{handlers: map[string]node.Handler{}, held: held}}
	var first []consensus.Member
	var dirs []string
	for i := range 4 {
		dir := t.TempDir()
		id, err := store.Create(dir, fmt.Sprintf("c%d", i), "catalog", "bindings")
		g.Expect(err).NotTo(HaveOccurred())
		dirs, d.ids = append(dirs, dir), append(d.ids, id)
		if i < 3 {
			first = append(first, consensus.Member{ID: id.ID, Name: id.Name, Address: address(i)})
		}
	}
	for i := range 4 {
		bootstrap := first
		if i == 3 {
			bootstrap = nil
		}
		d.vms = append(d.vms, startNodeVM(t, ctx, d.lan, dirs[i], d.ids[i], bootstrap))
	}
	return d
}

// call asks the leader of the catalog until the answer has one of the codes.
func (d *vmGroup) call(g *WithT, f func(vm *nodeVM) *intentpb.IntentResponse, codes ...result.Code) *intentpb.IntentResponse {
	var res *intentpb.IntentResponse
	g.Eventually(func() result.Code {
		for _, vm := range d.vms {
			if vm.log.Leading() {
				res = f(vm)
				return result.Code(res.Code)
			}
		}
		return result.NotLeader
	}, "30s", "50ms").Should(BeElementOf(codes))
	return res
}

// replace asks for the replacement of a VM by the fourth, always under the same key.
func (d *vmGroup) replace(vm *nodeVM, old string) *intentpb.IntentResponse {
	replace := &intentpb.ReplaceControl{Old: old, New: string(d.ids[3].ID), Address: address(3)}
	spec := &intentpb.Spec{Want: &intentpb.Spec_Replace{Replace: replace}}
	res, _ := vm.intents.Plan(operator("ann"), &intentpb.PlanRequest{Key: "replace", Spec: spec})
	return res
}

// Guards against a replacement that is refused for ever because it was asked for before the leader of the catalog led
// the other log too: the others look unreachable then, and a refusal is kept under the operator's key.
func TestReplacementWaitsForLeadersOfAllLogs(t *testing.T) {
	g := NewWithT(t)
	d := newVMGroup(t, "bindings")
	replace := func(vm *nodeVM) *intentpb.IntentResponse { return d.replace(vm, string(d.ids[0].ID)) }
	d.call(g, replace, result.MembersUnsettled, result.PlanLastQuorum)
	d.lan.hold("")
	d.call(g, replace, 0)
}

// Guards against a replacement that works over the fake log only: three VMs with real logs on disk replace the VM that
// leads, the new one votes in both logs, and the plan is finished by another leader.
func TestReplaceLeaderOverRealLogs(t *testing.T) {
	g := NewWithT(t)
	d := newVMGroup(t, "")
	var old string
	planned := d.call(g, func(vm *nodeVM) *intentpb.IntentResponse {
		if old == "" {
			old = string(vm.id)
		}
		return d.replace(vm, old)
	}, 0)
	d.call(g, func(vm *nodeVM) *intentpb.IntentResponse {
		res, _ := vm.intents.Confirm(operator("ann"), &intentpb.ConfirmRequest{Intent: planned.Intent.Id, Plan: planned.Intent.Plan.Number})
		if res.Intent != nil {
			planned.Intent.Plan.Number = res.Intent.Plan.GetNumber()
		}
		return res
	}, 0)
	g.Eventually(func() intentpb.State {
		return d.call(g, func(vm *nodeVM) *intentpb.IntentResponse {
			res, _ := vm.intents.Get(operator("ann"), &intentpb.IntentRequest{Intent: planned.Intent.Id})
			return res
		}, 0).Intent.State
	}, "60s", "100ms").Should(Equal(intentpb.State_STATE_DONE))
	for _, vm := range d.vms {
		if !vm.log.Leading() {
			continue
		}
		voters := map[string]bool{}
		for _, m := range vm.log.Status() {
			voters[m.ID] = m.Voter
		}
		g.Expect(voters).To(HaveLen(3))
		g.Expect(voters).To(HaveKeyWithValue(string(d.ids[3].ID), true))
		g.Expect(voters).NotTo(HaveKey(old))
	}
}
