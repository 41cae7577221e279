package flow_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/standin/flownet"
)

// Guards against a SYN flood that displaces established flows or lets a table grow without bound.
func TestSYNFlood(t *testing.T) {
	g := NewWithT(t)
	n := flownet.New(t, 1, hosts...)
	c := n.Assigned()
	for i := range 40000 {
		n.Send(&flownet.Caller{Key: benchKey(i)}, 0, flow.FlagSYN)
		n.Flush()
	}
	for _, h := range hosts {
		s := n.Agents[h].Stats()
		g.Expect(s.HalfOpen).To(BeNumerically("<=", flow.DefaultMaxHalfOpen))
		g.Expect(s.Owned).To(BeNumerically("<=", 2000))
	}
	g.Expect(n.Drops[result.FlowHalfOpenFull]).To(BeNumerically(">", 0))
	g.Expect(n.Resets).To(BeEmpty())
	g.Expect(n.Reaches(c, 0)).To(BeTrue())
	n.Run(50 * time.Second)
	g.Expect(n.Connect(n.HomedAt("h2"), 0).Established).To(BeTrue(), "half-open flows expire")
}

// Guards against a full host that accepts flows, and against a full service that drops SYNs instead of resetting them.
func TestTableFull(t *testing.T) {
	g := NewWithT(t)
	n := flownet.New(t, 1, hosts...)
	n.Change(func(s *model.Snapshot, _ *model.Service) {
		for h, up := range s.Upstreams {
			small := *up
			small.MaxConnections = 5
			s.Upstreams[h] = &small
		}
	})
	n.ApplyAll()
	n.Run(time.Second)
	accepted := 0
	for i := range 40 {
		if c := n.Connect(i, 0); c.Established {
			accepted++
		}
		n.Run(250 * time.Millisecond)
	}
	g.Expect(accepted).To(Equal(20))
	g.Expect(n.Resets).To(Equal(map[result.Code]int{result.FlowTableFull: 20}))
}

// Guards against held SYNs that fill the queue and leave no room for packets of established flows.
func TestHeldSYNsLeaveRoom(t *testing.T) {
	g := NewWithT(t)
	n := flownet.New(t, 1, hosts...)
	c := n.Assigned()
	n.State("h1", model.UpstreamDraining)
	for _, h := range n.Order[1:] {
		if h != c.Owner.Host && h != n.Home(c, n.Newest()) {
			n.Crash(h) // not declared lost, so the home waits for its seal
			break
		}
	}
	n.ApplyAll()
	for i := range 16 * flow.DefaultMaxHeld {
		n.Send(&flownet.Caller{Key: benchKey(i)}, 0, flow.FlagSYN)
		n.Flush()
	}
	home := n.Agents[n.Home(c, n.Newest())]
	held := home.Stats().Held
	g.Expect(held).To(Equal(flow.DefaultMaxHeld / 2))
	n.Act(home, home.Packet(n.Now, flow.Packet{Key: c.Key, Generation: model.Revision(n.Newest())}, nil))
	g.Expect(home.Stats().Held).To(Equal(held + 1))
}
