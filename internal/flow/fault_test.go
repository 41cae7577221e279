package flow_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/flow/wire"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
)

// home returns the home of a caller's bucket at a revision.
func (n *network) home(c *caller, revision int) model.HostID {
	h, _ := n.tables[revision].Home(serviceID, routing.Bucket(99, c.key.Caller))
	return h
}

// homedAt returns the number of an unused caller whose home is the given host in the newest revision.
func (n *network) homedAt(h model.HostID) int {
	for i := 5000; ; i++ {
		if c := (&caller{key: callerKey(i)}); n.home(c, n.newest()) == h && len(n.owners(c.key)) == 0 {
			return i
		}
	}
}

// assigned opens a flow that its home assigns to another host.
func (n *network) assigned() *caller {
	n.setLocal("h1", flow.Local{AcceptNew: false})
	c := n.connect(n.homedAt("h1"), 0)
	n.setLocal("h1", flow.Local{AcceptNew: true})
	if !c.established || c.owner.Host == "h1" {
		n.t.Fatalf("flow was not assigned: %+v", c)
	}
	return c
}

// moveHome takes the home of a flow out of service and applies that everywhere.
func (n *network) moveHome(c *caller) {
	n.state(n.home(c, n.newest()), model.UpstreamDraining)
	n.applyAll()
}

// declareLost crashes a host and has it declared lost.
func (n *network) declareLost(h model.HostID) {
	n.crash(h)
	n.inForce(h, model.UpstreamLost)
}

// Guards against established flows that a fault elsewhere breaks. Each case starts from a flow that its home assigned to
// another host; afterwards the flow must reach its owner through every entry VM.
func TestEstablishedFlowSurvives(t *testing.T) {
	cases := map[string]func(n *network, c *caller){
		"entry VM lost": func(n *network, _ *caller) { n.entries = n.entries[1:] },
		"entry VM joined with an older revision": func(n *network, c *caller) {
			old := n.newest()
			n.moveHome(c)
			n.entries = append(n.entries, old)
		},
		"upstream added": func(n *network, _ *caller) {
			added := n.change(func(s *model.Snapshot, svc *model.Service) {
				svc.Members = append(svc.Members, model.Member{Host: "h9", State: model.UpstreamActive})
				s.Upstreams["h9"] = &model.Upstream{Ref: model.HostRef{Host: "h9", Incarnation: 1}, Slots: 3}
			})
			n.boot("h9", 1, added)
			n.applyAll()
		},
		"upstream removed without its flows": func(n *network, c *caller) {
			n.change(func(_ *model.Snapshot, svc *model.Service) {
				for i, m := range svc.Members {
					if m.Host == c.owner.Host {
						svc.Members = append(svc.Members[:i], svc.Members[i+1:]...)
						break
					}
				}
			})
			n.applyAll()
			n.run(16 * time.Second)
		},
		"owner drained": func(n *network, c *caller) {
			n.inForce(c.owner.Host, model.UpstreamDraining)
		},
		"home drained":        func(n *network, c *caller) { n.moveHome(c) },
		"home restarted":      func(n *network, _ *caller) { n.restart("h1"); n.applyAll() },
		"home dead":           func(n *network, _ *caller) { n.declareLost("h1") },
		"home dead, no delay": func(n *network, c *caller) { n.declareLost("h1"); n.send(c, 0, 0); n.flush() },
		"owner slow to learn the configuration": func(n *network, c *caller) {
			n.state("h1", model.UpstreamDraining)
			for _, h := range n.order {
				if h != c.owner.Host {
					n.apply(h, n.newest())
				}
			}
			n.entries[0] = n.newest()
		},
		"home slow to learn the configuration": func(n *network, c *caller) {
			for _, h := range []model.HostID{"h2", "h3"} {
				if h != c.owner.Host {
					n.state(h, model.UpstreamDraining)
					break
				}
			}
			for i, h := range n.order {
				if i > 0 {
					n.apply(h, n.newest())
				}
			}
			n.entries[0] = n.newest()
		},
		"two revisions at once": func(n *network, c *caller) {
			n.state("h1", model.UpstreamDraining)
			n.entries[1] = n.newest()
			n.apply(n.home(c, n.newest()), n.newest())
		},
		"home moved five times": func(n *network, c *caller) {
			first := n.home(c, n.newest())
			n.moveHome(c)
			second := n.home(c, n.newest())
			steps := []func(){
				func() { n.state(second, model.UpstreamDraining) }, func() { n.state(first, model.UpstreamActive) },
				func() { n.state(first, model.UpstreamDraining) }, func() { n.state(second, model.UpstreamActive) },
			}
			for i, step := range steps {
				before := n.home(c, n.newest())
				step()
				if n.home(c, n.newest()) == before {
					n.t.Fatalf("home did not move in step %d", i)
				}
				n.applyAll()
				n.entries[1] = n.newest() - 1
				n.send(c, i%3, 0)
				n.flush()
			}
		},
		"messages lost while the home moves": func(n *network, c *caller) {
			n.moveHome(c)
			for range 20 {
				n.tick()
				n.queue = nil
			}
		},
		"redirect audited": func(n *network, _ *caller) { n.run(90 * time.Second) },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, 3, hosts...)
			c := n.assigned()
			fault(n, c)
			for e := range n.entries {
				n.mustReach(c, e)
			}
		})
	}
}

// Guards against a retransmitted SYN that gets several owners because entry VMs and agents have different revisions.
func TestSYNThroughThreeEntries(t *testing.T) {
	for _, order := range [][3]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {2, 0, 1}} {
		n := newNetwork(t, 3, hosts...)
		c := &caller{key: callerKey(n.homedAt("h1"))}
		n.state("h1", model.UpstreamDraining)
		n.entries[1] = n.newest()
		n.state(n.home(c, n.newest()), model.UpstreamDraining)
		n.entries[2] = n.newest()
		// Every agent keeps another revision; h1 learns last.
		n.apply("h2", 2)
		n.apply("h3", 3)
		for _, e := range order {
			n.send(c, e, flow.FlagSYN)
			n.flush()
		}
		n.applyAll()
		n.run(time.Second)
		n.send(c, 0, flow.FlagSYN)
		n.run(time.Second)
		n.update(c)
		if !c.established || !n.reaches(c, 2) {
			t.Fatalf("order %v: flow has owners %v", order, n.owners(c.key))
		}
	}
}

// Guards against an owner that accepts a delayed assignment from an earlier time of the home, which has forgotten it.
func TestDelayedAssignment(t *testing.T) {
	cases := map[string]func(n *network, c *caller, delayed parcel){
		"home left and returned": func(n *network, c *caller, _ parcel) {
			n.inForce("h1", model.UpstreamDraining)
			n.run(time.Second)
			n.inForce("h1", model.UpstreamActive)
		},
		"home restarted": func(n *network, _ *caller, _ parcel) { n.restart("h1"); n.applyAll() },
		"owner restarted": func(n *network, c *caller, _ parcel) {
			for _, h := range []model.HostID{"h2", "h3", "h4"} {
				n.restart(h)
			}
			n.applyAll()
		},
		"flow ended": func(n *network, c *caller, delayed parcel) {
			n.queue = append(n.queue, delayed)
			n.flush()
			n.update(c)
			n.send(c, 0, 0)
			n.run(time.Second)
			n.close(c)
			n.run(100 * time.Millisecond)
		},
		"assignment declined": func(n *network, c *caller, delayed parcel) {
			n.setLocal(delayed.to, flow.Local{AcceptNew: false})
			n.queue = append(n.queue, delayed)
			n.flush()
			n.setLocal(delayed.to, flow.Local{AcceptNew: true})
		},
		"assignment audited": func(n *network, c *caller, delayed parcel) {
			n.run(50 * time.Second)
		},
		"bucket promised to a newer home": func(n *network, c *caller, _ parcel) {
			revision := n.state("h1", model.UpstreamDraining)
			n.apply(n.home(c, revision), revision)
			n.entries[1] = revision
			n.send(c, 1, flow.FlagSYN)
			n.flush()
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, 2, hosts...)
			n.setLocal("h1", flow.Local{AcceptNew: false})
			c := &caller{key: callerKey(n.homedAt("h1"))}
			n.send(c, 0, flow.FlagSYN)
			n.deliver(0, false)
			if len(n.queue) != 1 || !n.queue[0].packet.Assigned {
				t.Fatalf("the home did not assign the flow")
			}
			delayed := n.queue[0]
			n.queue = nil
			n.setLocal("h1", flow.Local{AcceptNew: true})
			fault(n, c, delayed)
			n.run(time.Second)
			n.send(c, 0, flow.FlagSYN)
			n.run(time.Second)
			owners := n.owners(c.key)
			n.queue = append(n.queue, delayed)
			n.run(time.Second)
			if now := n.owners(c.key); len(owners) != 1 || len(now) != 1 || now[0] != owners[0] {
				t.Fatalf("owners %v became %v", owners, now)
			}
		})
	}
}

// Guards against a flow with a lost owner that is reset too early or never, and against new flows that wait for a lost
// member longer than a retransmission.
func TestLostMember(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t, 2, hosts...)
	c := n.connect(n.homedAt("h2"), 0)
	g.Expect(c.owner.Host).To(Equal(model.HostID("h2")))
	n.declareLost("h2")
	n.run(time.Second)
	n.send(c, 0, 0)
	n.run(13 * time.Second)
	g.Expect(n.resets).To(BeEmpty(), "packets may reach the owner for 15 s")
	fresh := n.connect(6000, 1)
	g.Expect(fresh.established).To(BeTrue())
	n.run(2 * time.Second)
	n.send(c, 0, 0)
	n.run(time.Second)
	g.Expect(n.resets).To(Equal(map[result.Code]int{result.FlowUnknown: 1}))
}

// Guards against a member that is declared lost although it lives: its flows must go on while packets reach it.
func TestLostButAlive(t *testing.T) {
	n := newNetwork(t, 2, hosts...)
	c := n.connect(n.homedAt("h2"), 0)
	n.setLocal("h2", flow.Local{AcceptNew: false})
	lost := n.state("h2", model.UpstreamLost)
	for _, h := range []model.HostID{"h1", "h3", "h4"} {
		n.apply(h, lost)
	}
	n.entries[0], n.entries[1] = lost, lost
	for range 5 {
		n.mustReach(c, 0)
	}
	n.inForce("h2", model.UpstreamActive)
	n.mustReach(c, 1)
}

// Guards against packets of a service that the host does not carry.
func TestWrongService(t *testing.T) {
	for name, c := range map[string]struct {
		packet flow.Packet
		code   result.Code
	}{
		"unknown":  {flow.Packet{Key: model.FlowKey{Service: 99}, Flags: flow.FlagSYN}, result.FlowUnknownService},
		"assigned": {flow.Packet{Key: model.FlowKey{Service: 8}, Flags: flow.FlagSYN, Assigned: true}, result.FlowWrongService},
		"forwarded": {
			flow.Packet{Key: model.FlowKey{Service: 8, Caller: callerKey(1).Caller}, Hops: 1, Generation: 2},
			result.FlowWrongService,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(t, 1, hosts...)
			n.change(func(s *model.Snapshot, _ *model.Service) {
				s.Services[8] = &model.Service{
					ID: 8, Generation: 2, Members: []model.Member{{Host: "other", State: model.UpstreamActive}},
				}
			})
			n.applyAll()
			actions := n.agents["h1"].Packet(n.now, c.packet, nil)
			g.Expect(actions).To(HaveLen(1))
			g.Expect(actions[0].Kind).To(Equal(flow.ActionDrop))
			g.Expect(actions[0].Code).To(Equal(c.code))
		})
	}
}

// Guards against an agent that acts under an older configuration than the packet's, or holds without bound.
func TestBehindPacket(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t, 1, hosts...)
	c := &caller{key: callerKey(n.homedAt("h1"))}
	n.state("h2", model.UpstreamDraining)
	n.entries[0] = n.newest()
	a := n.agents["h1"]
	p := flow.Packet{Key: c.key, Flags: flow.FlagSYN, Generation: model.Revision(n.newest()), Raw: []byte("packet")}
	actions := a.Packet(n.now, p, nil)
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Kind).To(Equal(flow.ActionFetch))
	p.Raw[0] = 'X' // the caller of Packet reuses its buffer
	for range 2 * flow.DefaultMaxHeld {
		actions = a.Packet(n.now, p, actions)
	}
	g.Expect(actions[len(actions)-1].Code).To(Equal(result.FlowHoldQueueFull))
	g.Expect(a.Stats().Held).To(Equal(flow.DefaultMaxHeld / 2))
	actions = a.Apply(n.now, n.configs[n.newest()], n.tables[n.newest()], nil)
	g.Expect(actions[0].Kind).To(Equal(flow.ActionDeliver))
	g.Expect(string(actions[0].Packet.Raw)).To(Equal("packet"))
	g.Expect(a.Stats().Held).To(BeZero())
}

// Guards against a SYN flood that displaces established flows or grows a table without bound.
func TestSYNFlood(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t, 1, hosts...)
	c := n.assigned()
	for i := range 40000 {
		n.send(&caller{key: benchKey(i)}, 0, flow.FlagSYN)
		n.flush()
	}
	for _, h := range hosts {
		s := n.agents[h].Stats()
		g.Expect(s.HalfOpen).To(BeNumerically("<=", flow.DefaultMaxHalfOpen))
		g.Expect(s.Owned).To(BeNumerically("<=", 2000))
	}
	g.Expect(n.drops[result.FlowHalfOpenFull]).To(BeNumerically(">", 0))
	g.Expect(n.resets).To(BeEmpty())
	g.Expect(n.reaches(c, 0)).To(BeTrue())
	n.run(50 * time.Second)
	g.Expect(n.connect(n.homedAt("h2"), 0).established).To(BeTrue(), "half-open flows expire")
}

// Guards against a full host that accepts, and against a full service that keeps callers waiting.
func TestTableFull(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t, 1, hosts...)
	n.change(func(s *model.Snapshot, _ *model.Service) {
		for h, up := range s.Upstreams {
			small := *up
			small.MaxConnections = 5
			s.Upstreams[h] = &small
		}
	})
	n.applyAll()
	n.run(time.Second)
	accepted := 0
	for i := range 40 {
		if c := n.connect(i, 0); c.established {
			accepted++
		}
		n.run(250 * time.Millisecond)
	}
	g.Expect(accepted).To(Equal(20))
	g.Expect(n.resets).To(Equal(map[result.Code]int{result.FlowTableFull: 20}))
}

// Guards against redirects that remain when the message about the end of a flow is lost, and against packets that two
// agents then send back and forth.
func TestLostRelease(t *testing.T) {
	for name, notice := range map[string]func(n *network, c *caller){
		"audit":  func(n *network, _ *caller) { n.run(5 * time.Second) },
		"packet": func(n *network, c *caller) { n.send(c, 0, 0); n.flush() },
		"SYN": func(n *network, c *caller) {
			n.setLocal(c.owner.Host, flow.Local{})
			n.send(c, 0, flow.FlagSYN)
			n.flush()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(t, 1, hosts...)
			c := n.assigned()
			g.Expect(n.agents["h1"].Stats().Redirects).To(Equal(1))
			n.close(c)
			n.tick()
			n.queue = nil
			notice(n, c)
			if name == "SYN" {
				g.Expect(n.owners(c.key)).To(HaveLen(1))
			} else {
				g.Expect(n.agents["h1"].Stats().Redirects).To(BeZero())
			}
			g.Expect(n.drops).NotTo(HaveKey(result.TunnelHopLimit))
		})
	}
}

// Guards against a redirect from an earlier time as home that makes the home refuse the registration of a live owner.
func TestHomeReturnsWithOldRedirect(t *testing.T) {
	n := newNetwork(t, 1, hosts...)
	first := n.assigned()
	n.moveHome(first)
	n.run(time.Second)
	n.close(first)
	n.setLocal(first.owner.Host, flow.Local{AcceptNew: false})
	n.run(time.Second)
	second := n.reconnect(first)
	n.inForce("h1", model.UpstreamActive)
	// Every other member seals first, and the home does not audit.
	n.runLosing(4, func(p parcel) bool {
		return is[flow.Query](p) || is[flow.Register](p) && p.from == second.owner
	})
	n.run(500 * time.Millisecond)
	n.mustReach(second, 0)
}

// Guards against redirects that an earlier home keeps for ever.
func TestEarlierHomeForgetsRedirects(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t, 1, hosts...)
	n.moveHome(n.assigned())
	n.run(time.Second)
	g.Expect(n.agents["h1"].Stats().Redirects).To(Equal(1))
	n.run(30 * time.Second)
	g.Expect(n.agents["h1"].Stats().Redirects).To(BeZero())
}

// Guards against held SYNs that leave no room for packets of established flows.
func TestHeldSYNsLeaveRoom(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t, 1, hosts...)
	c := n.assigned()
	n.state("h1", model.UpstreamDraining)
	for _, h := range n.order[1:] {
		if h != c.owner.Host && h != n.home(c, n.newest()) {
			n.crash(h) // silent and not yet declared lost: it does not seal
			break
		}
	}
	n.applyAll()
	for i := range 16 * flow.DefaultMaxHeld {
		n.send(&caller{key: benchKey(i)}, 0, flow.FlagSYN)
		n.flush()
	}
	home := n.agents[n.home(c, n.newest())]
	held := home.Stats().Held
	g.Expect(held).To(Equal(flow.DefaultMaxHeld / 2))
	n.act(home, home.Packet(n.now, flow.Packet{Key: c.key, Generation: model.Revision(n.newest())}, nil))
	g.Expect(home.Stats().Held).To(Equal(held + 1))
}

// is reports whether a parcel holds a message of type M.
func is[M flow.Message](p parcel) bool {
	m, _ := wire.Decode(p.data)
	_, ok := m.(M)
	return p.packet == nil && ok
}

// Guards against a registration that was sent before its flow ended and arrives after the home has assigned a new flow of
// the same caller port. Found by TestRandomSchedules (20,000 schedules, seed 2): the home replaced the live owner.
func TestLateRegister(t *testing.T) {
	n := newNetwork(t, 2, hosts...)
	i := n.homedAt("h1")
	n.inForce("h1", model.UpstreamDraining)
	n.run(time.Second)
	first := n.connect(i, 0)
	n.state("h1", model.UpstreamActive)
	n.entries[0], n.entries[1] = n.newest(), n.newest()
	n.queue = nil
	n.apply(first.owner.Host, n.newest())
	n.tick()
	late := n.queue
	n.queue = nil
	n.close(first)
	n.apply("h1", n.newest())
	n.setLocal("h1", flow.Local{AcceptNew: false})
	n.applyAll()
	n.runLosing(6, is[flow.Register]) // the other members have not sealed yet
	second := n.reconnect(first)
	n.queue = append(n.queue, late...)
	n.flush()
	n.mustReach(second, 1)
}

// Guards against a home that skips the generation of another home and then acts on an assignment of its own from before.
// Found by TestRandomSchedules (25,000 schedules, seed 4, and 5,000 with lost leases): it assigned a held SYN a second
// time, or had the live owner end the flow as a conflict.
func TestHomeThatSkippedAGeneration(t *testing.T) {
	for name, held := range map[string]bool{"SYN held": true, "owner registers": false} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, 2, hosts...)
			c := &caller{key: callerKey(n.homedAt("h1"))}
			n.setLocal("h1", flow.Local{AcceptNew: false})
			n.send(c, 0, flow.FlagSYN)
			n.deliver(0, false)
			first := n.queue[0].to
			n.queue = nil // the assignment is lost
			n.state("h1", model.UpstreamDraining)
			n.entries[1] = n.newest()
			for _, h := range n.order[1:] {
				n.apply(h, n.newest())
				n.setLocal(h, flow.Local{AcceptNew: h != first})
			}
			n.run(500 * time.Millisecond)
			n.send(c, 1, flow.FlagSYN)
			n.run(500 * time.Millisecond)
			if n.update(c); !c.established {
				t.Fatalf("the second home does not accept the flow: %v", n.drops)
			}
			n.setLocal(first, flow.Local{AcceptNew: true})
			n.state("h1", model.UpstreamActive)
			n.entries[1] = n.newest()
			for _, h := range n.order[1:] {
				n.apply(h, n.newest())
			}
			if held {
				n.send(c, 1, flow.FlagSYN)
				n.flush()
			}
			n.applyAll()
			n.run(time.Second)
			n.mustReach(c, 1)
		})
	}
}
