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

// testNetwork delivers messages between the nodes of a test. It drops the messages of blockedLog.
type testNetwork struct {
	mu         sync.Mutex
	handlers   map[string]node.Handler
	blockedLog string
}

func (n *testNetwork) block(log string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blockedLog = log
}

// nodeTransport connects one member to the test network.
type nodeTransport struct {
	network *testNetwork
	id      consensus.MemberID
}

func (t nodeTransport) Register(log string, h node.Handler) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.network.handlers[string(t.id)+log] = h
}

func (t nodeTransport) Send(log string, to consensus.Member, messages []consensus.Message) {
	t.network.mu.Lock()
	h := t.network.handlers[string(to.ID)+log]
	blocked := t.network.blockedLog == log
	t.network.mu.Unlock()
	if h != nil && !blocked {
		go h(context.Background(), messages)
	}
}

// emptyStateMachine stands in for the state machine of the bindings log and ignores every command.
type emptyStateMachine struct{}

func (emptyStateMachine) Apply(uint64, time.Time, []byte) []byte { return nil }
func (emptyStateMachine) Snapshot() ([]byte, error)              { return nil, nil }
func (emptyStateMachine) Restore([]byte) error                   { return nil }

// nodeVM is a control VM that keeps the catalog log and the bindings log on disk.
type nodeVM struct {
	id      consensus.MemberID
	log     *control.NodeLog
	intents *control.IntentsServer
}

func startNodeVM(t *testing.T, ctx context.Context, network *testNetwork, dir string, id store.Identity, initialMembers []consensus.Member) *nodeVM {
	g := NewWithT(t)
	d, err := store.Open(dir, id.ID)
	g.Expect(err).NotTo(HaveOccurred())
	state := control.NewState()
	start := func(name string, m consensus.StateMachine) *node.Node {
		s, err := d.Log(name)
		g.Expect(err).NotTo(HaveOccurred())
		n, err := node.Start(node.Config{
			Log: name, Consensus: consensus.Config{ID: id.ID}, Bootstrap: initialMembers, Store: s, StateMachine: m, Transport: nodeTransport{network, id.ID},
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

// vmGroup holds three control VMs that are members of both logs, and a fourth that is not a member yet.
type vmGroup struct {
	network *testNetwork
	ids     []store.Identity
	vms     []*nodeVM
}

func newVMGroup(t *testing.T, blockedLog string) *vmGroup {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	group := &vmGroup{network: &testNetwork{handlers: map[string]node.Handler{}, blockedLog: blockedLog}}
	var initialMembers []consensus.Member
	var dirs []string
	for i := range 4 {
		dir := t.TempDir()
		id, err := store.Create(dir, fmt.Sprintf("c%d", i), "catalog", "bindings")
		g.Expect(err).NotTo(HaveOccurred())
		dirs, group.ids = append(dirs, dir), append(group.ids, id)
		if i < 3 {
			initialMembers = append(initialMembers, consensus.Member{ID: id.ID, Name: id.Name, Address: controlAddress(i)})
		}
	}
	for i := range 4 {
		bootstrap := initialMembers
		if i == 3 {
			bootstrap = nil
		}
		group.vms = append(group.vms, startNodeVM(t, ctx, group.network, dirs[i], group.ids[i], bootstrap))
	}
	return group
}

// call repeats a call to the leader of the catalog log until the response has one of the codes.
func (group *vmGroup) call(g *WithT, f func(vm *nodeVM) *intentpb.IntentResponse, codes ...result.Code) *intentpb.IntentResponse {
	var res *intentpb.IntentResponse
	g.Eventually(func() result.Code {
		for _, vm := range group.vms {
			if vm.log.Leading() {
				res = f(vm)
				return result.Code(res.Code)
			}
		}
		return result.NotLeader
	}, "30s", "50ms").Should(BeElementOf(codes))
	return res
}

// replace plans the replacement of a VM by the fourth VM. Every call uses the same intent key.
func (group *vmGroup) replace(vm *nodeVM, old string) *intentpb.IntentResponse {
	replace := &intentpb.ReplaceControl{Old: old, New: string(group.ids[3].ID), Address: controlAddress(3)}
	spec := &intentpb.Spec{Want: &intentpb.Spec_Replace{Replace: replace}}
	res, _ := vm.intents.Plan(operatorContext("ann"), &intentpb.PlanRequest{Key: "replace", Spec: spec})
	return res
}

// Guards against a replacement that is refused for ever because it was planned before the leader of the catalog log led
// the bindings log too: the other members look unreachable until then, and a stored refusal would answer every retry
// under the same intent key.
func TestReplacementWaitsForLeadersOfAllLogs(t *testing.T) {
	g := NewWithT(t)
	group := newVMGroup(t, "bindings")
	replace := func(vm *nodeVM) *intentpb.IntentResponse { return group.replace(vm, string(group.ids[0].ID)) }
	group.call(g, replace, result.MembersUnsettled, result.PlanLastQuorum)
	group.network.block("")
	group.call(g, replace, 0)
}

// Guards against a replacement that works with the in-memory log only: three VMs with logs on disk replace their leader,
// the new VM becomes a voter of both logs, and another leader finishes the plan.
func TestReplaceLeaderOverRealLogs(t *testing.T) {
	g := NewWithT(t)
	group := newVMGroup(t, "")
	var old string
	planned := group.call(g, func(vm *nodeVM) *intentpb.IntentResponse {
		if old == "" {
			old = string(vm.id)
		}
		return group.replace(vm, old)
	}, 0)
	group.call(g, func(vm *nodeVM) *intentpb.IntentResponse {
		res, _ := vm.intents.Confirm(operatorContext("ann"), &intentpb.ConfirmRequest{Intent: planned.Intent.Id, Plan: planned.Intent.Plan.Number})
		if res.Intent != nil {
			planned.Intent.Plan.Number = res.Intent.Plan.GetNumber()
		}
		return res
	}, 0)
	g.Eventually(func() intentpb.State {
		return group.call(g, func(vm *nodeVM) *intentpb.IntentResponse {
			res, _ := vm.intents.Get(operatorContext("ann"), &intentpb.IntentRequest{Intent: planned.Intent.Id})
			return res
		}, 0).Intent.State
	}, "60s", "100ms").Should(Equal(intentpb.State_STATE_DONE))
	for _, vm := range group.vms {
		if !vm.log.Leading() {
			continue
		}
		voters := map[string]bool{}
		for _, m := range vm.log.Status() {
			voters[m.ID] = m.Voter
		}
		g.Expect(voters).To(HaveLen(3))
		g.Expect(voters).To(HaveKeyWithValue(string(group.ids[3].ID), true))
		g.Expect(voters).NotTo(HaveKey(old))
	}
}
