package openflows

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// controlVMs simulates control VMs that copy reports to each other.
type controlVMs struct {
	registries []*Registry
	addresses  []netip.AddrPort
	now        time.Time
}

func newControlVMs(n int) *controlVMs {
	c := &controlVMs{now: startTime}
	for i := range n {
		c.registries = append(c.registries, NewRegistry())
		c.addresses = append(c.addresses, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	return c
}

// exchange simulates one exchange between two control VMs.
func (c *controlVMs) exchange(from, to int, loseCall, loseAnswer bool) {
	out := c.registries[from].OutgoingCopies(c.now, c.addresses[to])
	if loseCall {
		return
	}
	in := c.registries[to].HandleCopies(c.now, out)
	if !loseAnswer {
		c.registries[from].ConfirmCopies(c.now, c.addresses[to], in)
	}
}

// Without a current copy, a control VM that loses its disk loses the flows of the agents that report to it. Calls and
// responses get lost, agents and control VMs restart, and an agent changes its control VM while the earlier one still
// copies.
func TestCopiesFollowTheAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newControlVMs(3)
		u := &simulatedUpstream{incarnation: Incarnation{10, 10}, open: map[int]bool{}, reported: map[int]bool{}}
		reporter := u.startAgent()
		next, inUse := 0, 0
		report := func() {
			r := reporter.Next(u.incarnation, c.addresses[inUse])
			number, orphans := c.registries[inUse].Report(c.now, agent, r)
			reporter.HandleResponse(c.addresses[inUse], &pb.SyncResponse{Flows: number, Orphans: orphans})
		}
		other := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "other") }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) { u.open[next] = true; next++ },
			"end": func(*rapid.T) {
				for n := range u.open {
					delete(u.open, n)
					return
				}
			},
			"report":      func(*rapid.T) { report() },
			"time passes": func(*rapid.T) { c.now = c.now.Add(700 * time.Millisecond) },
			"lost call":   func(t *rapid.T) { c.exchange(other(t), other(t), true, false) },
			"lost answer": func(t *rapid.T) {
				if from, to := other(t), other(t); from != to {
					c.exchange(from, to, false, true)
				}
			},
			"exchange": func(t *rapid.T) {
				if from, to := other(t), other(t); from != to {
					c.exchange(from, to, false, false)
				}
			},
			"change VM":    func(*rapid.T) { inUse = (inUse + 1) % 3 },
			"VM restarts":  func(t *rapid.T) { c.registries[other(t)] = NewRegistry() },
			"agent starts": func(*rapid.T) { reporter = u.startAgent() },
			"upstream starts": func(*rapid.T) {
				u.incarnation = Incarnation{u.incarnation.ID + 1, u.incarnation.Born + 1}
				u.open, u.reported = map[int]bool{}, map[int]bool{}
			},
		})
		// After refreshInterval without faults, every other control VM holds the flows that the agent has reported.
		c.now = c.now.Add(refreshInterval)
		for range 3 {
			report()
			for to := range c.registries {
				if to != inUse {
					c.exchange(inUse, to, false, false)
				}
			}
		}
		want := c.registries[inUse].agents[agent]
		for i, registry := range c.registries {
			h := registry.agents[agent]
			if h == nil || h.incarnation != want.incarnation || !maps.Equal(h.flows, want.flows) {
				t.Fatalf("control VM %d does not hold the flows of control VM %d", i, inUse)
			}
			if n := len(h.flows); registry.flows != n {
				t.Fatalf("control VM %d counts %d flows and holds %d", i, registry.flows, n)
			}
		}
	})
}

// A copy whose flows do not change must not expire while the agent is alive, and an exchange must send only what is
// new.
func TestCopiesAreRefreshed(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newControlVMs(2)
	report := fullReport(10, 1, 2)
	for range 100 {
		c.registries[0].Report(c.now, agent, report)
		report = &pb.FlowReport{Incarnation: 10, Born: 10, From: 1, Number: 1}
		c.exchange(0, 1, false, false)
		c.now = c.now.Add(400 * time.Millisecond)
		c.registries[1].Expire(c.now)
	}
	g.Expect(c.registries[1].agents[agent].flows).To(gomega.HaveLen(2))
	c.registries[0].Report(c.now, agent, &pb.FlowReport{Incarnation: 10, Born: 10, From: 1, Number: 2, Opened: opened(3)})
	out := c.registries[0].OutgoingCopies(c.now, c.addresses[1])
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].GetReports()[0].GetOpened()).To(gomega.HaveLen(1))
	c.exchange(0, 1, false, false)
	_, orphans := c.registries[1].Report(c.now, agent, fullReport(11))
	g.Expect(flows(orphans)).To(gomega.Equal(map[passthrough.Flow]bool{flow(1): true, flow(2): true, flow(3): true}))
}
