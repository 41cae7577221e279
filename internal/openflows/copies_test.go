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

// controls is control VMs that copy reports to each other.
type controls struct {
	books     []*Book
	addresses []netip.AddrPort
	now       time.Time
}

func newControls(n int) *controls {
	c := &controls{now: began}
	for i := range n {
		c.books = append(c.books, NewBook())
		c.addresses = append(c.addresses, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	return c
}

// copies plays one exchange.
func (c *controls) copies(from, to int, loseCall, loseAnswer bool) {
	out := c.books[from].Outgoing(c.now, c.addresses[to])
	if loseCall {
		return
	}
	in := c.books[to].Incoming(c.now, out)
	if !loseAnswer {
		c.books[from].Copied(c.now, c.addresses[to], in)
	}
}

// Without a current copy, the flows of the agents that report to a control VM are forgotten with its disk. Calls and answers
// get lost, agents and control VMs restart, and an agent changes its control VM while the older one still copies.
func TestCopiesFollowTheAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newControls(3)
		u := &upstreamFlows{start: Start{10, 10}, open: map[int]bool{}, told: map[int]bool{}}
		reporter := u.process()
		next, inUse := 0, 0
		report := func() {
			r := reporter.Next(u.start, c.addresses[inUse])
			number, orphans := c.books[inUse].Report(c.now, agent, r)
			reporter.Answer(c.addresses[inUse], &pb.SyncResponse{Flows: number, Orphans: orphans})
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
			"lost call":   func(t *rapid.T) { c.copies(other(t), other(t), true, false) },
			"lost answer": func(t *rapid.T) {
				if from, to := other(t), other(t); from != to {
					c.copies(from, to, false, true)
				}
			},
			"exchange": func(t *rapid.T) {
				if from, to := other(t), other(t); from != to {
					c.copies(from, to, false, false)
				}
			},
			"change VM":    func(*rapid.T) { inUse = (inUse + 1) % 3 },
			"VM restarts":  func(t *rapid.T) { c.books[other(t)] = NewBook() },
			"agent starts": func(*rapid.T) { reporter = u.process() },
			"upstream starts": func(*rapid.T) {
				u.start = Start{u.start.Incarnation + 1, u.start.Born + 1}
				u.open, u.told = map[int]bool{}, map[int]bool{}
			},
		})
		// Undisturbed for as long as it takes to notice a control VM that has lost its copies, every other control VM holds what the agent has told.
		c.now = c.now.Add(refreshAfter)
		for range 3 {
			report()
			for to := range c.books {
				if to != inUse {
					c.copies(inUse, to, false, false)
				}
			}
		}
		want := c.books[inUse].agents[agent]
		for i, b := range c.books {
			h := b.agents[agent]
			if h == nil || h.start != want.start || !maps.Equal(h.flows, want.flows) {
				t.Fatalf("control VM %d does not hold the flows of control VM %d", i, inUse)
			}
			if n := len(h.flows); b.flows != n {
				t.Fatalf("control VM %d counts %d flows and holds %d", i, b.flows, n)
			}
		}
	})
}

// A copy whose flows do not change must not expire while the agent lives, and only what is new may be sent each time.
func TestCopiesAreRefreshed(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newControls(2)
	report := whole(10, 1, 2)
	for range 100 {
		c.books[0].Report(c.now, agent, report)
		report = &pb.FlowReport{Incarnation: 10, Born: 10, From: 1, Number: 1}
		c.copies(0, 1, false, false)
		c.now = c.now.Add(400 * time.Millisecond)
		c.books[1].Expire(c.now)
	}
	g.Expect(c.books[1].agents[agent].flows).To(gomega.HaveLen(2))
	c.books[0].Report(c.now, agent, &pb.FlowReport{Incarnation: 10, Born: 10, From: 1, Number: 2, Opened: opened(3)})
	out := c.books[0].Outgoing(c.now, c.addresses[1])
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].GetReports()[0].GetOpened()).To(gomega.HaveLen(1))
	c.copies(0, 1, false, false)
	_, orphans := c.books[1].Report(c.now, agent, whole(11))
	g.Expect(flows(orphans)).To(gomega.Equal(map[passthrough.Flow]bool{flow(1): true, flow(2): true, flow(3): true}))
}
