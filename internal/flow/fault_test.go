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

// Guards against faults and configuration changes that break established flows. Each case starts with a flow that its
// home assigned to another host; after the fault, packets of the flow must reach the owner through every entry VM.
func TestEstablishedFlowSurvives(t *testing.T) {
	cases := map[string]func(n *flownet.Network, c *flownet.Caller){
		"entry VM lost": func(n *flownet.Network, _ *flownet.Caller) { n.Entries = n.Entries[1:] },
		"entry VM joined with an older revision": func(n *flownet.Network, c *flownet.Caller) {
			old := n.Newest()
			n.MoveHome(c)
			n.Entries = append(n.Entries, old)
		},
		"upstream added": func(n *flownet.Network, _ *flownet.Caller) {
			added := n.Change(func(s *model.Snapshot, svc *model.Service) {
				svc.Members = append(svc.Members, model.Member{Host: "h9", State: model.UpstreamActive})
				s.Upstreams["h9"] = &model.Upstream{Ref: model.HostRef{Host: "h9", Incarnation: 1}, Slots: 3}
			})
			n.Boot("h9", 1, added)
			n.ApplyAll()
		},
		"upstream removed without its flows": func(n *flownet.Network, c *flownet.Caller) {
			n.Change(func(_ *model.Snapshot, svc *model.Service) {
				for i, m := range svc.Members {
					if m.Host == c.Owner.Host {
						svc.Members = append(svc.Members[:i], svc.Members[i+1:]...)
						break
					}
				}
			})
			n.ApplyAll()
			n.Run(16 * time.Second)
		},
		"owner drained": func(n *flownet.Network, c *flownet.Caller) {
			n.InForce(c.Owner.Host, model.UpstreamDraining)
		},
		"home drained":        func(n *flownet.Network, c *flownet.Caller) { n.MoveHome(c) },
		"home restarted":      func(n *flownet.Network, _ *flownet.Caller) { n.Restart("h1"); n.ApplyAll() },
		"home dead":           func(n *flownet.Network, _ *flownet.Caller) { n.DeclareLost("h1") },
		"home dead, no delay": func(n *flownet.Network, c *flownet.Caller) { n.DeclareLost("h1"); n.Send(c, 0, 0); n.Flush() },
		"owner slow to learn the configuration": func(n *flownet.Network, c *flownet.Caller) {
			n.State("h1", model.UpstreamDraining)
			for _, h := range n.Order {
				if h != c.Owner.Host {
					n.Apply(h, n.Newest())
				}
			}
			n.Entries[0] = n.Newest()
		},
		"home slow to learn the configuration": func(n *flownet.Network, c *flownet.Caller) {
			for _, h := range []model.HostID{"h2", "h3"} {
				if h != c.Owner.Host {
					n.State(h, model.UpstreamDraining)
					break
				}
			}
			for i, h := range n.Order {
				if i > 0 {
					n.Apply(h, n.Newest())
				}
			}
			n.Entries[0] = n.Newest()
		},
		"two revisions at once": func(n *flownet.Network, c *flownet.Caller) {
			n.State("h1", model.UpstreamDraining)
			n.Entries[1] = n.Newest()
			n.Apply(n.Home(c, n.Newest()), n.Newest())
		},
		"home moved five times": func(n *flownet.Network, c *flownet.Caller) {
			first := n.Home(c, n.Newest())
			n.MoveHome(c)
			second := n.Home(c, n.Newest())
			steps := []func(){
				func() { n.State(second, model.UpstreamDraining) }, func() { n.State(first, model.UpstreamActive) },
				func() { n.State(first, model.UpstreamDraining) }, func() { n.State(second, model.UpstreamActive) },
			}
			for i, step := range steps {
				before := n.Home(c, n.Newest())
				step()
				if n.Home(c, n.Newest()) == before {
					n.T.Fatalf("home did not move in step %d", i)
				}
				n.ApplyAll()
				n.Entries[1] = n.Newest() - 1
				n.Send(c, i%3, 0)
				n.Flush()
			}
		},
		"messages lost while the home moves": func(n *flownet.Network, c *flownet.Caller) {
			n.MoveHome(c)
			for range 20 {
				n.Tick()
				n.Queue = nil
			}
		},
		"redirect audited": func(n *flownet.Network, _ *flownet.Caller) { n.Run(90 * time.Second) },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			n := flownet.New(t, 3, hosts...)
			c := n.Assigned()
			fault(n, c)
			for e := range n.Entries {
				n.MustReach(c, e)
			}
		})
	}
}

// Guards against several owners of one flow when a SYN is retransmitted while entry VMs and agents have different
// revisions.
func TestSYNThroughThreeEntries(t *testing.T) {
	for _, order := range [][3]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {2, 0, 1}} {
		n := flownet.New(t, 3, hosts...)
		c := &flownet.Caller{Key: flownet.CallerKey(n.HomedAt("h1"))}
		n.State("h1", model.UpstreamDraining)
		n.Entries[1] = n.Newest()
		n.State(n.Home(c, n.Newest()), model.UpstreamDraining)
		n.Entries[2] = n.Newest()
		// The agents have different revisions; h1 has the oldest.
		n.Apply("h2", 2)
		n.Apply("h3", 3)
		for _, e := range order {
			n.Send(c, e, flow.FlagSYN)
			n.Flush()
		}
		n.ApplyAll()
		n.Run(time.Second)
		n.Send(c, 0, flow.FlagSYN)
		n.Run(time.Second)
		n.Update(c)
		if !c.Established || !n.Reaches(c, 2) {
			t.Fatalf("order %v: flow has owners %v", order, n.Owners(c.Key))
		}
	}
}

// Guards against a member that accepts a delayed assignment of which the home no longer has a record, which would make
// it a second owner.
func TestDelayedAssignment(t *testing.T) {
	cases := map[string]func(n *flownet.Network, c *flownet.Caller, delayed flownet.Envelope){
		"home left and returned": func(n *flownet.Network, c *flownet.Caller, _ flownet.Envelope) {
			n.InForce("h1", model.UpstreamDraining)
			n.Run(time.Second)
			n.InForce("h1", model.UpstreamActive)
		},
		"home restarted": func(n *flownet.Network, _ *flownet.Caller, _ flownet.Envelope) { n.Restart("h1"); n.ApplyAll() },
		"owner restarted": func(n *flownet.Network, c *flownet.Caller, _ flownet.Envelope) {
			for _, h := range []model.HostID{"h2", "h3", "h4"} {
				n.Restart(h)
			}
			n.ApplyAll()
		},
		"flow ended": func(n *flownet.Network, c *flownet.Caller, delayed flownet.Envelope) {
			n.Queue = append(n.Queue, delayed)
			n.Flush()
			n.Update(c)
			n.Send(c, 0, 0)
			n.Run(time.Second)
			n.Close(c)
			n.Run(100 * time.Millisecond)
		},
		"assignment declined": func(n *flownet.Network, c *flownet.Caller, delayed flownet.Envelope) {
			n.SetLocal(delayed.To, flow.Local{AcceptNew: false})
			n.Queue = append(n.Queue, delayed)
			n.Flush()
			n.SetLocal(delayed.To, flow.Local{AcceptNew: true})
		},
		"assignment audited": func(n *flownet.Network, c *flownet.Caller, delayed flownet.Envelope) {
			n.Run(50 * time.Second)
		},
		"bucket promised to a newer home": func(n *flownet.Network, c *flownet.Caller, _ flownet.Envelope) {
			revision := n.State("h1", model.UpstreamDraining)
			n.Apply(n.Home(c, revision), revision)
			n.Entries[1] = revision
			n.Send(c, 1, flow.FlagSYN)
			n.Flush()
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			n := flownet.New(t, 2, hosts...)
			n.SetLocal("h1", flow.Local{AcceptNew: false})
			c := &flownet.Caller{Key: flownet.CallerKey(n.HomedAt("h1"))}
			n.Send(c, 0, flow.FlagSYN)
			n.Deliver(0, false)
			if len(n.Queue) != 1 || !n.Queue[0].Packet.Assigned {
				t.Fatalf("the home did not assign the flow")
			}
			delayed := n.Queue[0]
			n.Queue = nil
			n.SetLocal("h1", flow.Local{AcceptNew: true})
			fault(n, c, delayed)
			n.Run(time.Second)
			n.Send(c, 0, flow.FlagSYN)
			n.Run(time.Second)
			owners := n.Owners(c.Key)
			n.Queue = append(n.Queue, delayed)
			n.Run(time.Second)
			if now := n.Owners(c.Key); len(owners) != 1 || len(now) != 1 || now[0] != owners[0] {
				t.Fatalf("owners %v became %v", owners, now)
			}
		})
	}
}

// Guards against resets of a lost owner's flow before 15 s have passed, or no reset at all, and against new flows that
// wait for a lost member longer than one retransmission.
func TestLostMember(t *testing.T) {
	g := NewWithT(t)
	n := flownet.New(t, 2, hosts...)
	c := n.Connect(n.HomedAt("h2"), 0)
	g.Expect(c.Owner.Host).To(Equal(model.HostID("h2")))
	n.DeclareLost("h2")
	n.Run(time.Second)
	n.Send(c, 0, 0)
	n.Run(13 * time.Second)
	g.Expect(n.Resets).To(BeEmpty(), "packets may reach the owner for 15 s")
	fresh := n.Connect(6000, 1)
	g.Expect(fresh.Established).To(BeTrue())
	n.Run(2 * time.Second)
	n.Send(c, 0, 0)
	n.Run(time.Second)
	g.Expect(n.Resets).To(Equal(map[result.Code]int{result.FlowUnknown: 1}))
}

// Guards against broken flows of a member that is declared lost although it is alive: its flows must continue while
// packets reach it.
func TestLostButAlive(t *testing.T) {
	n := flownet.New(t, 2, hosts...)
	c := n.Connect(n.HomedAt("h2"), 0)
	n.SetLocal("h2", flow.Local{AcceptNew: false})
	lost := n.State("h2", model.UpstreamLost)
	for _, h := range []model.HostID{"h1", "h3", "h4"} {
		n.Apply(h, lost)
	}
	n.Entries[0], n.Entries[1] = lost, lost
	for range 5 {
		n.MustReach(c, 0)
	}
	n.InForce("h2", model.UpstreamActive)
	n.MustReach(c, 1)
}

// Guards against delivering packets of a service that the host is not a member of.
func TestWrongService(t *testing.T) {
	for name, c := range map[string]struct {
		packet flow.Packet
		code   result.Code
	}{
		"unknown":  {flow.Packet{Key: model.FlowKey{Service: 99}, Flags: flow.FlagSYN}, result.FlowUnknownService},
		"assigned": {flow.Packet{Key: model.FlowKey{Service: 8}, Flags: flow.FlagSYN, Assigned: true}, result.FlowWrongService},
		"forwarded": {
			flow.Packet{Key: model.FlowKey{Service: 8, Caller: flownet.CallerKey(1).Caller}, Hops: 1, Generation: 2},
			result.FlowWrongService,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := flownet.New(t, 1, hosts...)
			n.Change(func(s *model.Snapshot, _ *model.Service) {
				s.Services[8] = &model.Service{
					ID: 8, Generation: 2, Members: []model.Member{{Host: "other", State: model.UpstreamActive}},
				}
			})
			n.ApplyAll()
			actions := n.Agents["h1"].Packet(n.Now, c.packet, nil)
			g.Expect(actions).To(HaveLen(1))
			g.Expect(actions[0].Kind).To(Equal(flow.ActionDrop))
			g.Expect(actions[0].Code).To(Equal(c.code))
		})
	}
}

// Guards against an agent that decides about a packet of a newer generation before it has that configuration, and
// against an unbounded queue of such packets.
func TestBehindPacket(t *testing.T) {
	g := NewWithT(t)
	n := flownet.New(t, 1, hosts...)
	c := &flownet.Caller{Key: flownet.CallerKey(n.HomedAt("h1"))}
	n.State("h2", model.UpstreamDraining)
	n.Entries[0] = n.Newest()
	a := n.Agents["h1"]
	p := flow.Packet{Key: c.Key, Flags: flow.FlagSYN, Generation: model.Revision(n.Newest()), Raw: []byte("packet")}
	actions := a.Packet(n.Now, p, nil)
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Kind).To(Equal(flow.ActionFetch))
	p.Raw[0] = 'X' // Packet may be called again with the same buffer
	for range 2 * flow.DefaultMaxHeld {
		actions = a.Packet(n.Now, p, actions)
	}
	g.Expect(actions[len(actions)-1].Code).To(Equal(result.FlowHoldQueueFull))
	g.Expect(a.Stats().Held).To(Equal(flow.DefaultMaxHeld / 2))
	actions = a.Apply(n.Now, n.Configs[n.Newest()], n.Tables[n.Newest()], nil)
	g.Expect(actions[0].Kind).To(Equal(flow.ActionDeliver))
	g.Expect(string(actions[0].Packet.Raw)).To(Equal("packet"))
	g.Expect(a.Stats().Held).To(BeZero())
}

// Guards against redirects that remain when a Release is lost, and against packets that two agents then forward back and
// forth.
func TestLostRelease(t *testing.T) {
	for name, detect := range map[string]func(n *flownet.Network, c *flownet.Caller){
		"audit":  func(n *flownet.Network, _ *flownet.Caller) { n.Run(5 * time.Second) },
		"packet": func(n *flownet.Network, c *flownet.Caller) { n.Send(c, 0, 0); n.Flush() },
		"SYN": func(n *flownet.Network, c *flownet.Caller) {
			n.SetLocal(c.Owner.Host, flow.Local{})
			n.Send(c, 0, flow.FlagSYN)
			n.Flush()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := flownet.New(t, 1, hosts...)
			c := n.Assigned()
			g.Expect(n.Agents["h1"].Stats().Redirects).To(Equal(1))
			n.Close(c)
			n.Tick()
			n.Queue = nil
			detect(n, c)
			if name == "SYN" {
				g.Expect(n.Owners(c.Key)).To(HaveLen(1))
			} else {
				g.Expect(n.Agents["h1"].Stats().Redirects).To(BeZero())
			}
			g.Expect(n.Drops).NotTo(HaveKey(result.TunnelHopLimit))
		})
	}
}

// Guards against a home that returns and rejects the registration of a live owner because of an outdated redirect.
func TestHomeReturnsWithOldRedirect(t *testing.T) {
	n := flownet.New(t, 1, hosts...)
	first := n.Assigned()
	n.MoveHome(first)
	n.Run(time.Second)
	n.Close(first)
	n.SetLocal(first.Owner.Host, flow.Local{AcceptNew: false})
	n.Run(time.Second)
	second := n.Reconnect(first)
	n.InForce("h1", model.UpstreamActive)
	// The owner's registration arrives after the seals of all other members, and audits are lost.
	n.RunLosing(4, func(p flownet.Envelope) bool {
		return flownet.Holds[flow.Query](p) || flownet.Holds[flow.Register](p) && p.From == second.Owner
	})
	n.Run(500 * time.Millisecond)
	n.MustReach(second, 0)
}

// Guards against redirects that a former home keeps forever.
func TestEarlierHomeForgetsRedirects(t *testing.T) {
	g := NewWithT(t)
	n := flownet.New(t, 1, hosts...)
	n.MoveHome(n.Assigned())
	n.Run(time.Second)
	g.Expect(n.Agents["h1"].Stats().Redirects).To(Equal(1))
	n.Run(30 * time.Second)
	g.Expect(n.Agents["h1"].Stats().Redirects).To(BeZero())
}

// Guards against a Register that was sent before its flow ended and arrives after the home has assigned a new flow of
// the same caller port: the home replaced the live owner. Found by TestRandomSchedules (20,000 schedules, seed 2).
func TestLateRegister(t *testing.T) {
	n := flownet.New(t, 2, hosts...)
	i := n.HomedAt("h1")
	n.InForce("h1", model.UpstreamDraining)
	n.Run(time.Second)
	first := n.Connect(i, 0)
	n.State("h1", model.UpstreamActive)
	n.Entries[0], n.Entries[1] = n.Newest(), n.Newest()
	n.Queue = nil
	n.Apply(first.Owner.Host, n.Newest())
	n.Tick()
	late := n.Queue
	n.Queue = nil
	n.Close(first)
	n.Apply("h1", n.Newest())
	n.SetLocal("h1", flow.Local{AcceptNew: false})
	n.ApplyAll()
	n.RunLosing(6, flownet.Holds[flow.Register]) // the other members have not sealed yet
	second := n.Reconnect(first)
	n.Queue = append(n.Queue, late...)
	n.Flush()
	n.MustReach(second, 1)
}

// Guards against a home that skips a generation in which the bucket had another home, and then acts on its own earlier
// assignment: it assigned a held SYN a second time, or rejected the registration of the live owner, which then ended the
// flow. Found by TestRandomSchedules (25,000 schedules, seed 4, and 5,000 schedules with lost leases).
func TestHomeThatSkippedAGeneration(t *testing.T) {
	for name, held := range map[string]bool{"SYN held": true, "owner registers": false} {
		t.Run(name, func(t *testing.T) {
			n := flownet.New(t, 2, hosts...)
			c := &flownet.Caller{Key: flownet.CallerKey(n.HomedAt("h1"))}
			n.SetLocal("h1", flow.Local{AcceptNew: false})
			n.Send(c, 0, flow.FlagSYN)
			n.Deliver(0, false)
			first := n.Queue[0].To
			n.Queue = nil // the assignment is lost
			n.State("h1", model.UpstreamDraining)
			n.Entries[1] = n.Newest()
			for _, h := range n.Order[1:] {
				n.Apply(h, n.Newest())
				n.SetLocal(h, flow.Local{AcceptNew: h != first})
			}
			n.Run(500 * time.Millisecond)
			n.Send(c, 1, flow.FlagSYN)
			n.Run(500 * time.Millisecond)
			if n.Update(c); !c.Established {
				t.Fatalf("the second home does not accept the flow: %v", n.Drops)
			}
			n.SetLocal(first, flow.Local{AcceptNew: true})
			n.State("h1", model.UpstreamActive)
			n.Entries[1] = n.Newest()
			for _, h := range n.Order[1:] {
				n.Apply(h, n.Newest())
			}
			if held {
				n.Send(c, 1, flow.FlagSYN)
				n.Flush()
			}
			n.ApplyAll()
			n.Run(time.Second)
			n.MustReach(c, 1)
		})
	}
}
