package flow_test

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/standin/flownet"
)

// Guards against a machine that violates the contract of the Machine interface.
func TestMachineContract(t *testing.T) {
	syn := func(i int) flow.Packet {
		return flow.Packet{Key: benchKey(i), Flags: flow.FlagSYN, Generation: 1, Raw: []byte("syn")}
	}
	cases := map[string]func(g *WithT, m flow.Machine){
		"actions are appended": func(g *WithT, m flow.Machine) {
			out := m.Packet(flownet.Start, syn(1), []flow.Action{{Kind: flow.ActionFetch}})
			g.Expect(out).To(HaveLen(2))
			g.Expect(out[0].Kind).To(Equal(flow.ActionFetch))
			g.Expect(out[1].Kind).To(Equal(flow.ActionDeliver))
		},
		"an older configuration is ignored": func(g *WithT, m flow.Machine) {
			n := flownet.New(t, 1, "h1")
			g.Expect(m.Apply(flownet.Start, n.Configs[0], n.Tables[0], nil)).To(BeEmpty())
			g.Expect(m.Packet(flownet.Start, syn(1), nil)[0].Kind).To(Equal(flow.ActionDeliver))
		},
		"a repeated SYN reaches the same owner": func(g *WithT, m flow.Machine) {
			for range 3 {
				g.Expect(m.Packet(flownet.Start, syn(1), nil)[0].Kind).To(Equal(flow.ActionDeliver))
			}
			g.Expect(m.Stats()).To(Equal(flow.Stats{Owned: 1, HalfOpen: 1}))
		},
		"an established flow leaves the half-open table": func(g *WithT, m flow.Machine) {
			m.Packet(flownet.Start, syn(1), nil)
			m.Established(benchKey(1))
			m.Established(benchKey(1))
			m.Established(benchKey(2))
			g.Expect(m.Stats()).To(Equal(flow.Stats{Owned: 1}))
		},
		"a closed flow is forgotten once": func(g *WithT, m flow.Machine) {
			m.Packet(flownet.Start, syn(1), nil)
			m.Established(benchKey(1))
			m.Closed(flownet.Start, benchKey(1))
			m.Closed(flownet.Start, benchKey(1))
			g.Expect(m.Stats()).To(BeZero())
			data := flow.Packet{Key: benchKey(1), Generation: 1}
			g.Expect(m.Packet(flownet.Start, data, nil)[0].Kind).To(Equal(flow.ActionReset))
		},
		"a handshake survives a clock that is set back": func(g *WithT, m flow.Machine) {
			m.Packet(flownet.Start, syn(1), nil)
			for range 40 { // enough ticks for the scan for expired handshakes to visit the whole table
				for _, a := range m.Tick(flownet.Start.Add(-time.Minute), nil) {
					g.Expect(a.Kind).NotTo(Equal(flow.ActionCloseLocal))
				}
			}
			g.Expect(m.Stats().HalfOpen).To(Equal(1))
		},
		"a reset is not answered with a reset": func(g *WithT, m flow.Machine) {
			p := flow.Packet{Key: benchKey(1), Flags: flow.FlagRST, Generation: 1}
			g.Expect(m.Packet(flownet.Start, p, nil)[0].Kind).To(Equal(flow.ActionDrop))
		},
		"a half-open flow expires": func(g *WithT, m flow.Machine) {
			m.Packet(flownet.Start, syn(1), nil)
			out := m.Tick(flownet.Start.Add(31*time.Second), nil)
			g.Expect(out).To(HaveLen(1))
			g.Expect(out[0].Kind).To(Equal(flow.ActionCloseLocal))
			g.Expect(out[0].Packet.Key).To(Equal(benchKey(1)))
			g.Expect(m.Stats()).To(BeZero())
		},
		"without a lease no flow is accepted": func(g *WithT, m flow.Machine) {
			m.SetLocal(flow.Local{})
			out := m.Packet(flownet.Start, syn(1), nil)
			g.Expect(out[0].Kind).To(Equal(flow.ActionDrop))
			g.Expect(out[0].Code).To(Equal(result.FlowLeaseExpired))
		},
		"a closing service refuses new flows and keeps old ones": func(g *WithT, m flow.Machine) {
			m.Packet(flownet.Start, syn(1), nil)
			n := flownet.New(t, 1, "h1")
			revision := n.Change(func(_ *model.Snapshot, svc *model.Service) { svc.Closing = true })
			m.Apply(flownet.Start, n.Configs[revision], n.Tables[revision], nil)
			g.Expect(m.Packet(flownet.Start, syn(1), nil)[0].Kind).To(Equal(flow.ActionDeliver))
			g.Expect(m.Packet(flownet.Start, syn(2), nil)[0].Code).To(Equal(result.FlowServiceClosing))
		},
		"unknown and foreign messages are ignored": func(g *WithT, m flow.Machine) {
			from := model.HostRef{Host: "elsewhere", Incarnation: 1}
			for _, msg := range []flow.Message{
				flow.Register{Service: 99, Seal: true}, flow.RegisterAck{Service: flownet.ServiceID}, flow.Load{Service: 99},
				flow.Answer{Service: flownet.ServiceID, Incarnation: 1}, flow.Release{Service: flownet.ServiceID},
			} {
				g.Expect(m.Message(flownet.Start, from, msg, nil)).To(BeEmpty())
			}
		},
		"IPv6 callers have flows of their own": func(g *WithT, m flow.Machine) {
			p := syn(1)
			p.Key.Caller = netip.MustParseAddrPort("[2001:db8::7]:4002")
			m.Packet(flownet.Start, p, nil)
			m.Established(p.Key)
			p.Flags = 0
			g.Expect(m.Packet(flownet.Start, p, nil)[0].Kind).To(Equal(flow.ActionDeliver))
			p.Key.Caller = netip.MustParseAddrPort("[2001:db8::8]:4002")
			g.Expect(m.Packet(flownet.Start, p, nil)[0].Kind).To(Equal(flow.ActionReset))
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(NewWithT(t), singleMemberMachine(t, 100)) })
	}
}

// Guards against outputs that depend on anything but the inputs, such as the iteration order of a map.
func TestMachineIsDeterministic(t *testing.T) {
	history := func() *flownet.Network {
		n := flownet.New(t, 3, hosts...)
		for i := range 50 {
			n.SetLocal(hosts[i%4], flow.Local{AcceptNew: i%3 != 0})
			n.Connect(i, i%3)
		}
		n.Restart("h2")
		n.MoveHome(&flownet.Caller{Key: flownet.CallerKey(1)})
		for range 4 {
			n.Tick()
		}
		return n
	}
	a, b := history(), history()
	if !reflect.DeepEqual(a.Queue, b.Queue) || !reflect.DeepEqual(a.Drops, b.Drops) {
		t.Fatalf("two runs of one history differ")
	}
}

// Guards against delayed messages about an earlier flow or an earlier run that delete the redirect to a live owner. The
// home would then accept the next SYN and become a second owner.
func TestLateMessages(t *testing.T) {
	for name, c := range map[string]struct {
		newestGeneration bool // whether the message has the newest generation
		sequence         uint32
		incarnation      model.Incarnation // run of the sender
		homeIncarnation  model.Incarnation // run of the home that the message is addressed to
		deleted          bool              // whether the redirect must be deleted
	}{
		"current":                     {true, 1 << 20, 1, 1, true},
		"of an earlier generation":    {false, 1 << 20, 1, 1, false},
		"of an earlier run":           {true, 1 << 20, 0, 1, false},
		"sent before a newer message": {true, 1, 1, 1, false},
		"sent to an earlier home run": {true, 1 << 20, 1, 0, false},
	} {
		for kind := range 3 {
			if kind == 0 && c.homeIncarnation == 0 {
				continue // a Release does not name a run of the home
			}
			t.Run(fmt.Sprintf("%s/%d", name, kind), func(t *testing.T) {
				n := flownet.New(t, 2, hosts...)
				flowOf := n.Assigned()
				n.InForce("h1", model.UpstreamDraining)
				n.Run(time.Second)
				generation := model.Revision(n.Newest())
				n.InForce("h1", model.UpstreamActive)
				n.Run(time.Second)
				if c.newestGeneration {
					generation = model.Revision(n.Newest())
				}
				callers := []netip.AddrPort{flowOf.Key.Caller}
				msg := []flow.Message{
					flow.Release{Service: flownet.ServiceID, Generation: generation, Sequence: c.sequence, Callers: callers},
					flow.Decline{
						Service: flownet.ServiceID, HomeIncarnation: c.homeIncarnation, Caller: callers[0], Generation: generation,
						Sequence: c.sequence,
					},
					flow.Answer{
						Service: flownet.ServiceID, Generation: generation, Incarnation: c.homeIncarnation, Sequence: c.sequence,
						Free: callers, Audit: true,
					},
				}[kind]
				from := model.HostRef{Host: flowOf.Owner.Host, Incarnation: c.incarnation}
				n.Inject(from, "h1", msg)
				if got := n.Agents["h1"].Stats().Redirects == 0; got != c.deleted {
					t.Fatalf("redirect deleted: %v, want %v", got, c.deleted)
				}
			})
		}
	}
}

// Guards against a member that answers Free to the query of an outdated home, which would then decide about the flow.
func TestQueryOfOutdatedHome(t *testing.T) {
	n := flownet.New(t, 1, hosts...)
	c := &flownet.Caller{Key: flownet.CallerKey(n.HomedAt("h1"))}
	first := n.Newest()
	n.InForce("h1", model.UpstreamDraining)
	second, h2 := n.Newest(), n.Home(c, n.Newest())
	n.InForce("h1", model.UpstreamActive)
	member := model.HostID("h3")
	if h2 == member {
		member = "h4"
	}
	for name, q := range map[string]struct {
		from       model.HostID
		generation int
		free       bool
	}{
		"earlier time of the home": {"h1", first, false},
		"earlier home":             {h2, second, false},
		"not the home":             {h2, n.Newest(), false},
		"home":                     {"h1", n.Newest(), true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			out := n.Agents[member].Message(n.Now, n.Agents[q.from].Ref, flow.Query{
				Service: flownet.ServiceID, Generation: model.Revision(q.generation), Callers: []netip.AddrPort{c.Key.Caller},
			}, nil)
			g.Expect(out).To(HaveLen(1))
			answer := out[0].Message.(flow.Answer)
			g.Expect(len(answer.Free) == 1).To(Equal(q.free))
			g.Expect(answer.Stale).To(Equal(!q.free))
		})
	}
}

// Guards against two owners of a flow when a member returns after its callers have connected again to other members, and
// against the loss of the returned member's idle flows.
func TestLostMemberReturns(t *testing.T) {
	t.Run("home saw every generation", func(t *testing.T) { testLostMemberReturns(t, false, false) })
	t.Run("home skipped a generation", func(t *testing.T) { testLostMemberReturns(t, true, false) })
	t.Run("home itself", func(t *testing.T) { testLostMemberReturns(t, false, true) })
}

func testLostMemberReturns(t *testing.T, skipped, home bool) {
	n := flownet.New(t, 2, hosts...)
	connect := n.Assigned
	if home {
		connect = func() *flownet.Caller { return n.Connect(n.HomedAt("h1"), 0) }
	}
	reused, idle := connect(), connect()
	for idle.Owner != reused.Owner {
		idle = connect()
	}
	lost := reused.Owner.Host
	n.SetLocal(lost, flow.Local{AcceptNew: false})
	revision := n.State(lost, model.UpstreamLost)
	n.Agents[lost].Alive = false // isolated: it neither sends nor receives
	n.ApplyAll()
	n.Run(16 * time.Second)
	n.SetLocal("h1", flow.Local{AcceptNew: false}) // the home assigns the new flow
	second := n.Reconnect(reused)
	n.Agents[lost].Alive = true
	n.Apply(lost, revision)
	n.State(lost, model.UpstreamActive)
	if skipped {
		n.State(lost, model.UpstreamDraining)
	}
	n.ApplyAll()
	n.Send(idle, 0, 0)
	n.Flush() // the home has deleted its redirect and must query the members
	// The returned member registers before any other member has registered its flows under the new generation.
	n.RunLosing(4, func(p flownet.Envelope) bool { return flownet.Holds[flow.Register](p) && p.From.Host != lost })
	n.Run(2 * time.Second)
	if owners := n.Owners(reused.Key); len(owners) != 1 || owners[0] != second.Owner.Host {
		t.Fatalf("owners %v, want %s", owners, second.Owner.Host)
	}
	n.MustReach(idle, 1)
}
