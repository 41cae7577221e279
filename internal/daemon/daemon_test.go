package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/internal/pki"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
	"github.com/plantainseam/plantainseam/rpc/configpb"
	"github.com/plantainseam/plantainseam/rpc/consensuspb"
	"github.com/plantainseam/plantainseam/rpc/gatepb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
	"github.com/plantainseam/plantainseam/rpc/timelinepb"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

func key(id uint8) settings.TunnelKey {
	return settings.TunnelKey{ID: id, Secret: make([]byte, tunnel.MinSecretLen)}
}

// Guards against a VM that installs a step of a key rotation without having the key that its peers use next.
var _ = DescribeTable("selects the tunnel keys", func(have []settings.TunnelKey, use model.KeyRing, ok bool) {
	ring, err := keyRing(have, use)
	if !ok {
		Expect(err).To(HaveOccurred())
		return
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(ring).NotTo(BeNil())
},
	Entry("before any rotation", []settings.TunnelKey{key(1)}, model.KeyRing{}, true),
	Entry("second key in the settings only", []settings.TunnelKey{key(1), key(2)}, model.KeyRing{}, true),
	Entry("second key accepted", []settings.TunnelKey{key(1), key(2)}, model.KeyRing{Active: 1, Accepted: []uint32{1, 2}}, true),
	Entry("second key active", []settings.TunnelKey{key(1), key(2)}, model.KeyRing{Active: 2, Accepted: []uint32{1, 2}}, true),
	Entry("old key dropped", []settings.TunnelKey{key(2)}, model.KeyRing{Active: 2, Accepted: []uint32{2}}, true),
	Entry("accepted key is missing", []settings.TunnelKey{key(1)}, model.KeyRing{Active: 1, Accepted: []uint32{1, 2}}, false),
	Entry("active key is missing", []settings.TunnelKey{key(1)}, model.KeyRing{Active: 2, Accepted: []uint32{2}}, false),
	Entry("active key is not accepted", []settings.TunnelKey{key(1), key(2)}, model.KeyRing{Active: 2, Accepted: []uint32{1}}, false),
)

// Guards against a gate that passes requests on while its host is still active in a service, or keeps accepting requests
// when its host drains in every service.
var _ = DescribeTable("reports whether a host drains in every service", func(states []model.UpstreamState, closing, want bool) {
	s := model.NewSnapshot()
	for i, state := range states {
		id := model.ServiceID(i + 1)
		s.Services[id] = &model.Service{ID: id, Closing: closing, Members: []model.Member{{Host: "u1", State: state}}}
	}
	Expect(drainsEverywhere(s, "u1")).To(Equal(want))
},
	Entry("no service", nil, false, false),
	Entry("active", []model.UpstreamState{model.UpstreamActive}, false, false),
	Entry("draining", []model.UpstreamState{model.UpstreamDraining}, false, true),
	Entry("draining in one of two", []model.UpstreamState{model.UpstreamDraining, model.UpstreamActive}, false, false),
	Entry("draining in both", []model.UpstreamState{model.UpstreamDraining, model.UpstreamDraining}, false, true),
	Entry("active in a closing service", []model.UpstreamState{model.UpstreamActive}, true, true),
)

// Guards against a retry that waits for an agent that has ended, and against a running incarnation reported as ended.
var _ = It("returns the ended incarnations of agents", func() {
	s := model.NewSnapshot()
	for host, incarnation := range map[model.HostID]model.Incarnation{"u1": 5, "u2": 9} {
		s.Upstreams[host] = &model.Upstream{Ref: model.HostRef{Host: host, Incarnation: incarnation}}
	}
	s.Services[1] = &model.Service{ID: 1, Members: []model.Member{
		{Host: "u1", State: model.UpstreamDraining}, {Host: "u2", State: model.UpstreamLost}, {Host: "u3", State: model.UpstreamLost},
	}}
	Expect(endedIncarnations(s)).To(Equal(map[model.HostID]model.Incarnation{"u1": 4, "u2": 9}))
})

// fakeDataPath records the revisions and counts the key rings that are installed.
type fakeDataPath struct {
	revisions []model.Revision
	keyRings  int
}

func (p *fakeDataPath) Apply(s *model.Snapshot, _ *routing.Table) {
	p.revisions = append(p.revisions, s.Revision)
}
func (p *fakeDataPath) SetKeys(*tunnel.KeyRing) { p.keyRings++ }

func testProcess(change func(*settings.Settings)) *process {
	s := &settings.Settings{
		Host: "u1", FailureDomain: "d1", TLS: settings.TLS{Insecure: true},
		Control: settings.Control{Servers: []settings.ControlServer{{Name: "c1", RPC: netip.MustParseAddrPort("127.0.0.1:1")}}},
		Tunnel:  settings.Tunnel{Keys: []settings.TunnelKey{key(1)}},
	}
	if change != nil {
		change(s)
	}
	p, err := newProcess(s, log.NewNopLogger())
	Expect(err).NotTo(HaveOccurred())
	return p
}

var _ = Describe("configuration", func() {
	snapshot := func(r model.Revision, keys model.KeyRing) *model.Snapshot {
		s := model.NewSnapshot()
		s.Revision = r
		s.Keys = keys
		return s
	}

	// Guards against a revision reported as in force although the VM lacks one of its tunnel keys.
	It("refuses a configuration whose key it lacks until the settings are reloaded", func() {
		path := &fakeDataPath{}
		c, err := newConfiguration(testProcess(nil), path)
		Expect(err).NotTo(HaveOccurred())
		c.apply(snapshot(1, model.KeyRing{}))
		both := model.KeyRing{Active: 1, Accepted: []uint32{1, 2}}
		c.apply(snapshot(2, both))
		Expect(c.revision()).To(BeEquivalentTo(1))

		// Guards against a rotation that stalls: the next revision is committed only when this one is in force.
		Expect(c.reloadKeys([]settings.TunnelKey{key(1), key(2)})).To(Succeed())
		Expect(c.revision()).To(BeEquivalentTo(2))
		c.apply(snapshot(3, both))
		Expect(c.revision()).To(BeEquivalentTo(3))
		Expect(path.revisions).To(Equal([]model.Revision{1, 2, 3}))
	})

	// Guards against a process that polls itself, or peers of other failure domains, while no control VM is reachable.
	It("names near peers of its own failure domain only", func() {
		c, err := newConfiguration(testProcess(nil), &fakeDataPath{})
		Expect(err).NotTo(HaveOccurred())
		s := snapshot(1, model.KeyRing{})
		address := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000) }
		s.Upstreams["u1"] = &model.Upstream{FailureDomain: "d1", RPC: address(1)}
		s.Upstreams["u2"] = &model.Upstream{FailureDomain: "d1", RPC: address(2)}
		s.Upstreams["u3"] = &model.Upstream{FailureDomain: "d2", RPC: address(3)}
		s.Entries["e1"] = &model.Entry{FailureDomain: "d1", RPC: address(4)}
		Expect(c.nearPeers(s)).To(ConsistOf("http://10.0.0.2:7000", "http://10.0.0.4:7000"))
		Expect(c.nearPeers(model.NewSnapshot())).To(BeEmpty())
	})

	// Guards against an entry VM that reports revision 0 after a restart, before it has loaded the newer one on disk.
	It("restores the stored revision before the process serves", func() {
		dir := GinkgoT().TempDir()
		Expect(dissemination.Save(dir, snapshot(7, model.KeyRing{}))).To(Succeed())
		role, err := newEntryRole(testProcess(func(s *settings.Settings) {
			s.DataDir = dir
			s.Tunnel.Listen = netip.MustParseAddrPort("127.0.0.1:0")
		}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(role.entry.Close)
		Expect(role.config.revision()).To(BeEquivalentTo(7))
	})

	// Guards against a process that cannot store configurations because its data directory does not exist yet.
	It("creates its data directory", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "state", "e1")
		_, err := newConfiguration(testProcess(func(s *settings.Settings) { s.DataDir = dir }), &fakeDataPath{})
		Expect(err).NotTo(HaveOccurred())
		Expect(dissemination.Save(dir, snapshot(1, model.KeyRing{}))).To(Succeed())
	})

	// Guards against a reload that removes a key that peers sign with.
	It("keeps the keys in use when a reload would drop one", func() {
		path := &fakeDataPath{}
		c, err := newConfiguration(testProcess(func(s *settings.Settings) {
			s.Tunnel.Keys = []settings.TunnelKey{key(1), key(2)}
		}), path)
		Expect(err).NotTo(HaveOccurred())
		c.apply(snapshot(1, model.KeyRing{Active: 1, Accepted: []uint32{1, 2}}))
		before := path.keyRings
		Expect(c.reloadKeys([]settings.TunnelKey{key(2)})).NotTo(Succeed())
		Expect(path.keyRings).To(Equal(before))
	})
})

// Guards against a control VM that holds the long polls of all nodes or of none, and against a node that never tries
// one of the control VMs.
var _ = It("spreads the long polls over the control VMs", func() {
	servers := []string{"a", "b", "c", "d", "e", "f", "g"}
	first := map[string]int{}
	const nodes = 6670
	for i := range nodes {
		order := pollOrder(model.HostID(fmt.Sprintf("host-%05d", i)), servers)
		Expect(order).To(ConsistOf(servers))
		first[order[0]]++
	}
	for _, server := range servers {
		Expect(first[server]).To(BeNumerically("~", nodes/len(servers), nodes/len(servers)/5), server)
	}
	Expect(servers).To(Equal([]string{"a", "b", "c", "d", "e", "f", "g"}))
	Expect(pollOrder("u1", nil)).To(BeEmpty())
})

// Guards against an agent that installs a configuration from before its current incarnation was registered.
var _ = DescribeTable("admits configurations of the current incarnation only", func(registered *model.HostRef, want bool) {
	p := testProcess(nil)
	r := &upstreamRole{process: p}
	s := model.NewSnapshot()
	if registered != nil {
		ref := *registered
		if ref.Incarnation == 0 {
			ref.Incarnation = p.ref.Incarnation
		}
		s.Upstreams["u1"] = &model.Upstream{Ref: ref}
	}
	Expect(r.admit(s)).To(Equal(want))
	Expect(r.admitted.Load()).To(Equal(want))
},
	Entry("host is not registered", nil, false),
	Entry("earlier incarnation", &model.HostRef{Host: "u1", Incarnation: 1}, false),
	Entry("current incarnation", &model.HostRef{Host: "u1"}, true),
)

// Guards against an agent that was never registered and waits forever for a lease that says it is drained.
var _ = It("leaves at once when it was never registered", func(ctx SpecContext) {
	r := &upstreamRole{process: testProcess(nil)}
	r.leave(ctx)
	Expect(ctx.Err()).NotTo(HaveOccurred())
	Expect(r.leaving.Load()).To(BeTrue())
}, SpecTimeout(time.Minute))

// Guards against the loss of caller rows when the announcement that contains them is not accepted.
var _ = It("repeats account rows until they are acknowledged", func() {
	counter := account.NewCounter(0)
	r := reporter{counter: counter}
	caller := netip.MustParseAddr("10.0.0.1")
	counter.Start(1, account.UnitFlow, 0)
	counter.End(1, account.UnitFlow, caller, result.OK, 0, time.UnixMilli(1000))

	_, lost := r.next().Encode()
	_, repeated := r.next().Encode()
	Expect(repeated).To(HaveLen(1))
	Expect(repeated[0].Count).To(Equal(lost[0].Count))
	r.acknowledgedSequence.Store(r.pendingSequence)
	totals, none := r.next().Encode()
	Expect(none).To(BeEmpty())
	Expect(totals).To(HaveLen(2)) // starts and ends stay cumulative
})

// Guards against a drain reported as complete before the account includes the last flow: a flow's connection opens
// before its start is counted and closes before its end is counted.
var _ = DescribeTable("counts work as open until its end is in the totals", func(connected, counted bool, open int) {
	counter := account.NewCounter(0)
	if counted {
		counter.Start(1, account.UnitFlow, 0)
		counter.Start(1, account.UnitRequest, 0)
	}
	var flows []model.FlowKey
	if connected {
		flows = append(flows, model.FlowKey{Service: 1})
	}
	req := &memberpb.AnnounceRequest{}
	addWork(req, flows, counter.Report(0, 1))
	Expect(req.OpenFlows).To(BeEquivalentTo(open))
	for _, l := range req.Loads {
		Expect(l.OpenFlows).To(BeEquivalentTo(open))
	}
	Expect(req.RunningRequests > 0).To(Equal(counted))
},
	Entry("idle", false, false, 0),
	Entry("connected and not counted", true, false, 1),
	Entry("connected and counted", true, true, 1),
	Entry("counted, connection closed", false, true, 1),
)

// Guards against a host that stops before the control VMs have acknowledged the callers of its last flows.
var _ = It("is fully acknowledged when every caller's row is", func() {
	counter := account.NewCounter(0)
	r := reporter{counter: counter}
	Expect(r.fullyAcknowledged()).To(BeTrue())
	for i := range maxCallerRows + 1 {
		counter.Start(1, account.UnitFlow, 0)
		counter.End(1, account.UnitFlow, netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), result.OK, 0, time.UnixMilli(1000))
	}
	for _, want := range []bool{false, true} {
		_, rows := r.next().Encode()
		Expect(rows).NotTo(BeEmpty())
		Expect(r.fullyAcknowledged()).To(BeFalse())
		r.acknowledgedSequence.Store(r.pendingSequence)
		Expect(r.fullyAcknowledged()).To(Equal(want))
	}
})

// Guards against an announcement that omits the callers of a draining service because the host is active in another.
var _ = It("lists the callers of draining services", func() {
	caller := netip.MustParseAddrPort("10.0.0.1:1000")
	flows := []model.FlowKey{{Service: 1, Caller: caller}, {Service: 2, Caller: caller}, {Service: 2, Caller: caller}, {Service: 3, Caller: caller}, {Service: 4, Caller: caller}}
	r := &upstreamRole{process: testProcess(nil)}
	r.peers = newGatePeers(r.process)
	s := model.NewSnapshot()
	for id, state := range map[model.ServiceID]model.UpstreamState{1: model.UpstreamActive, 2: model.UpstreamDraining, 3: model.UpstreamActive} {
		s.Services[id] = &model.Service{ID: id, Closing: id == 3, Members: []model.Member{{Host: "u1", State: state}}}
	}
	r.peers.apply(s)
	var services []uint32
	for _, c := range openCallers(flows, r.isDraining) {
		services = append(services, c.Service)
	}
	Expect(services).To(Equal([]uint32{2, 3, 4}))
})

// Guards against a role that may call an RPC service it does not need.
var _ = DescribeTable("roles may call", func(path string, allowed ...peer.Role) {
	for _, role := range []peer.Role{peer.RoleEntry, peer.RoleUpstream, peer.RoleControl, peer.RoleOperator} {
		want := http.StatusForbidden
		for _, a := range allowed {
			if a == role {
				want = http.StatusOK
			}
		}
		Expect(statusFor(path, role)).To(Equal(want), string(role))
	}
},
	Entry("intents", intentpb.IntentsPathPrefix, peer.RoleOperator),
	Entry("timeline", timelinepb.TimelinePathPrefix, peer.RoleOperator),
	Entry("membership", memberpb.MembershipPathPrefix, peer.RoleEntry, peer.RoleUpstream),
	Entry("configuration", configpb.ConfigurationPathPrefix, peer.RoleEntry, peer.RoleUpstream, peer.RoleControl),
	Entry("consensus", consensuspb.ConsensusPathPrefix, peer.RoleControl),
	Entry("bindings", bindpb.BindingsPathPrefix, peer.RoleUpstream),
	Entry("gate", gatepb.GatePathPrefix, peer.RoleUpstream),
	Entry("anything else", "/debug/"),
)

// statusFor returns the HTTP status of a call by a role under the daemon's rules.
func statusFor(path string, role peer.Role) int {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	listener, err := listen("test", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := peer.NewServer(peer.ServerOptions{Rules: rules}, handler)
	go func() { _ = peer.Serve(server, listener) }()
	defer server.Close()
	client := peer.NewClient(peer.ClientOptions{Identity: peer.Identity{Name: "x", Roles: []peer.Role{role}}})
	resp, err := client.Get("http://" + listener.Addr().String() + path + "Method")
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against a control VM that starts, and could vote, with the data directory of another member or with a new one
// in place of the one it lost.
var _ = Describe("control VM", func() {
	var s *settings.Settings
	var identity string
	BeforeEach(func() {
		dir := GinkgoT().TempDir()
		signing := filepath.Join(dir, "system-key")
		Expect(pki.CreateSigningKey(signing)).To(Succeed())
		s = &settings.Settings{
			Host: "c1", FailureDomain: "d1", Roles: []settings.Role{settings.RoleControl},
			DataDir: filepath.Join(dir, "data"), RPC: netip.MustParseAddrPort("127.0.0.1:0"),
			TLS: settings.TLS{Insecure: true}, Control: settings.Control{Bootstrap: true, SigningKey: signing},
		}
		var err error
		identity, err = InitData(s)
		Expect(err).NotTo(HaveOccurred())
	})
	start := func(id string) error {
		s.Control.Servers = []settings.ControlServer{{Name: "c1", RPC: s.RPC, Identity: id}}
		d, err := New(s, log.NewNopLogger())
		if err != nil {
			return err
		}
		kill, cancel := context.WithCancel(context.Background())
		cancel()
		return d.Run(context.Background(), kill)
	}

	It("starts with its own identity", func() {
		Expect(start(identity)).To(Succeed())
	})
	It("refuses another identity", func() {
		Expect(result.CodeOf(start("c1-other"))).To(Equal(result.StoreIdentity))
	})
	It("refuses a missing data directory", func() {
		Expect(os.RemoveAll(s.DataDir)).To(Succeed())
		Expect(result.CodeOf(start(identity))).To(Equal(result.StoreIdentity))
	})
	It("refuses a data directory that was created again", func() {
		Expect(os.RemoveAll(s.DataDir)).To(Succeed())
		_, err := InitData(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.CodeOf(start(identity))).To(Equal(result.StoreIdentity))
	})
	It("refuses a second process on the same data directory", func() {
		s.Control.Servers = []settings.ControlServer{{Name: "c1", RPC: s.RPC, Identity: identity}}
		first, err := New(s, log.NewNopLogger())
		Expect(err).NotTo(HaveOccurred())
		_, err = New(s, log.NewNopLogger())
		Expect(result.CodeOf(err)).To(Equal(result.StoreIdentity))
		kill, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(errors.Is(first.Run(context.Background(), kill), context.Canceled)).To(BeFalse())
	})
})
