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
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// lan passes messages between the nodes of a test.
type lan struct {
	mu       sync.Mutex
	handlers map[string]node.Handler
}

type port struct {
	lan *lan
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
	p.lan.mu.Unlock()
	if h != nil {
		go h(context.Background(), messages)
	}
}

// otherLog stands for the bindings' state machine.
type otherLog struct{}

func (otherLog) Apply(uint64, time.Time, []byte) []byte { return nil }
func (otherLog) Snapshot() ([]byte, error)              { return nil, nil }
func (otherLog) Restore([]byte) error                   { return nil }

// realVM is a control VM with both logs on disk.
type realVM struct {
	id      consensus.MemberID
	log     *control.NodeLog
	intents *control.IntentsServer
}

func startRealVM(t *testing.T, ctx context.Context, l *lan, dir string, id store.Identity, first []consensus.Member) *realVM {
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
	vm := &realVM{id: id.ID, log: control.NewNodeLog(start("catalog", state), start("bindings", otherLog{}))}
	c := control.New(control.Config{Log: vm.log, Members: vm.log, State: state, Server: dissemination.NewServer()})
	vm.intents = control.NewIntentsServer(c)
	go vm.log.Run(ctx)
	go c.Run(ctx)
	return vm
}

// Guards against a replacement that works over the fake log only: three VMs with real logs on disk replace the VM that
// leads, the new one votes in both logs, and the plan is finished by another leader.
func TestReplaceLeaderOverRealLogs(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := &lan{handlers: map[string]node.Handler{}}
	var first []consensus.Member
	var dirs []string
	var ids []store.Identity
	for i := range 4 {
		dir := t.TempDir()
		id, err := store.Create(dir, fmt.Sprintf("c%d", i), "catalog", "bindings")
		g.Expect(err).NotTo(HaveOccurred())
		dirs, ids = append(dirs, dir), append(ids, id)
		if i < 3 {
			first = append(first, consensus.Member{ID: id.ID, Name: id.Name, Address: address(i)})
		}
	}
	var vms []*realVM
	for i := range 4 {
		bootstrap := first
		if i == 3 {
			bootstrap = nil
		}
		vms = append(vms, startRealVM(t, ctx, l, dirs[i], ids[i], bootstrap))
	}
	call := func(f func(vm *realVM) *intentpb.IntentResponse) *intentpb.IntentResponse {
		var res *intentpb.IntentResponse
		g.Eventually(func() uint32 {
			for _, vm := range vms {
				if vm.log.Leading() {
					res = f(vm)
					return res.Code
				}
			}
			return 1
		}, "30s", "50ms").Should(BeZero())
		return res
	}
	var old string
	planned := call(func(vm *realVM) *intentpb.IntentResponse {
		if old == "" {
			old = string(vm.id)
		}
		spec := &intentpb.Spec{Want: &intentpb.Spec_Replace{Replace: &intentpb.ReplaceControl{Old: old, New: string(ids[3].ID), Address: address(3)}}}
		res, _ := vm.intents.Plan(operator("ann"), &intentpb.PlanRequest{Key: old, Spec: spec})
		return res
	})
	call(func(vm *realVM) *intentpb.IntentResponse {
		res, _ := vm.intents.Confirm(operator("ann"), &intentpb.ConfirmRequest{Intent: planned.Intent.Id, Plan: planned.Intent.Plan.Number})
		if res.Intent != nil {
			planned.Intent.Plan.Number = res.Intent.Plan.GetNumber()
		}
		return res
	})
	g.Eventually(func() intentpb.State {
		return call(func(vm *realVM) *intentpb.IntentResponse {
			res, _ := vm.intents.Get(operator("ann"), &intentpb.IntentRequest{Intent: planned.Intent.Id})
			return res
		}).Intent.State
	}, "60s", "100ms").Should(Equal(intentpb.State_STATE_DONE))
	for _, vm := range vms {
		if !vm.log.Leading() {
			continue
		}
		voters := map[string]bool{}
		for _, m := range vm.log.Status() {
			voters[m.ID] = m.Voter
		}
		g.Expect(voters).To(HaveLen(3))
		g.Expect(voters).To(HaveKeyWithValue(string(ids[3].ID), true))
		g.Expect(voters).NotTo(HaveKey(old))
	}
}
