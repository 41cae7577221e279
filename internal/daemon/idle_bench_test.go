package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/rpc/configpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
	"github.com/plantainseam/plantainseam/standin/rpcload"
)

const (
	benchIdleDuration = 10 * time.Second // enough for two short fetches and one long poll
	benchChanges      = 3
)

// leaseGranter accepts every announcement.
type leaseGranter struct{ server *dissemination.Server }

func (g leaseGranter) Announce(context.Context, *memberpb.AnnounceRequest) (*memberpb.AnnounceResponse, error) {
	return &memberpb.AnnounceResponse{LeaseMs: 5000, Revision: uint64(g.server.Current().Revision)}, nil
}

// idleBench runs a simulated control VM with TLS and the nodes that connect to it.
type idleBench struct {
	authority *rpcload.Authority
	server    *dissemination.Server
	address   string
	nodes     []*process
	bytes     atomic.Int64 // control traffic of the first node, both directions, with TLS framing
	roles     []*configuration
}

func newIdleBench(b *testing.B) *idleBench {
	b.Helper()
	s := &idleBench{authority: rpcload.NewAuthority(b), server: dissemination.NewServer()}
	credentials := s.authority.Credentials(b)
	mux := http.NewServeMux()
	mux.Handle(memberpb.MembershipPathPrefix, memberpb.NewMembershipServer(leaseGranter{s.server}))
	mux.Handle(configpb.ConfigurationPathPrefix, configpb.NewConfigurationServer(s.server))
	web := peer.NewServer(peer.ServerOptions{Credentials: credentials, Rules: rules}, mux)
	l := rpcload.Listen(b)
	s.address = l.Addr().String()
	go func() { _ = peer.Serve(web, l) }()
	b.Cleanup(func() { _ = web.Close() })
	return s
}

// issue issues a certificate and returns the TLS settings that use it.
func (s *idleBench) issue(b *testing.B, name string, role peer.Role) settings.TLS {
	b.Helper()
	f := s.authority.Issue(b, name, role)
	return settings.TLS{Certificate: f.Certificate, Key: f.Key, Authority: f.Authority}
}

// node returns a process; the control traffic of the first one is counted.
func (s *idleBench) node(b *testing.B, name string, role peer.Role) *process {
	b.Helper()
	address := s.address
	if len(s.nodes) == 0 {
		address = s.countTCP(b)
	}
	servers := []settings.ControlServer{
		{Name: "c1", RPC: netip.MustParseAddrPort(address)}, {Name: "c2", RPC: netip.MustParseAddrPort(address)},
	}
	backend := rpcload.Listen(b)
	go discard(backend)
	p, err := newProcess(&settings.Settings{
		Host: model.HostID(name), FailureDomain: "d1", RPC: freeTCP(b), TLS: s.issue(b, name, role),
		Control: settings.Control{Servers: servers},
		Tunnel: settings.Tunnel{
			Listen: freeUDP(b), Fabric: netip.MustParseAddrPort("127.0.0.1:9"), Keys: []settings.TunnelKey{key(1)},
		},
		Upstream: settings.Upstream{
			Carries: []string{"service-0001"}, Backend: backend.Addr().(*net.TCPAddr).AddrPort(), Slots: 3,
			MaxConnections: 2000, ProbeInterval: 10 * time.Second, ProbeCount: 4,
		},
	}, log.NewNopLogger())
	if err != nil {
		b.Fatal(err)
	}
	s.nodes = append(s.nodes, p)
	return p
}

// discard accepts connections and closes them.
func discard(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

func freeTCP(b *testing.B) netip.AddrPort {
	b.Helper()
	l := rpcload.Listen(b)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func freeUDP(b *testing.B) netip.AddrPort {
	b.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// countTCP returns the address of a TCP relay to the control VM that counts the bytes of both directions.
func (s *idleBench) countTCP(b *testing.B) string {
	b.Helper()
	l := rpcload.Listen(b)
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", s.address)
			if err != nil {
				_ = client.Close()
				continue
			}
			go s.relay(client, server)
			go s.relay(server, client)
		}
	}()
	return l.Addr().String()
}

func (s *idleBench) relay(from, to net.Conn) {
	defer to.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		s.bytes.Add(int64(n))
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// countUDP returns the address of a UDP relay to an agent that counts the tunnel's bytes.
func (s *idleBench) countUDP(b *testing.B, to netip.AddrPort, count *atomic.Int64) netip.AddrPort {
	b.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			count.Add(int64(n))
			_, _ = conn.WriteToUDPAddrPort(buf[:n], to)
		}
	}()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// targetSnapshot returns a configuration of the target sizes whose first service has the given members, if any.
func targetSnapshot(members []*model.Upstream) *model.Snapshot {
	s := model.NewSnapshot()
	s.Revision = 1
	addr := func(i, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), uint16(port))
	}
	for i := range rpcload.TargetUpstreams - len(members) {
		host := model.HostID(fmt.Sprintf("host-%05d", i))
		s.Upstreams[host] = &model.Upstream{
			Ref: model.HostRef{Host: host, Incarnation: 1}, FailureDomain: "d2", Tunnel: addr(i, 6081), RPC: addr(i, 7000), Slots: 3, MaxConnections: 2000,
		}
	}
	for i := range rpcload.TargetEntries {
		host := model.HostID(fmt.Sprintf("entry-%05d", i))
		s.Entries[host] = &model.Entry{Ref: model.HostRef{Host: host, Incarnation: 1}, FailureDomain: "d2", Tunnel: addr(i, 6081), RPC: addr(i, 7000)}
	}
	for id := 1; id <= rpcload.TargetServices; id++ {
		svc := &model.Service{
			ID: model.ServiceID(id), Name: fmt.Sprintf("service-%04d", id), Frontend: addr(1<<17+id, 80), Kind: model.KindStream,
			Seed: uint64(id), Generation: 1, QueueLimit: 64,
		}
		for j := range rpcload.MembersPerService {
			host := model.HostID(fmt.Sprintf("host-%05d", (id*rpcload.MembersPerService+j)%(rpcload.TargetUpstreams-len(members))))
			svc.Members = append(svc.Members, model.Member{Host: host, State: model.UpstreamActive})
		}
		s.Services[svc.ID] = svc
	}
	if len(members) > 0 {
		s.Services[1].Members = nil
	}
	for _, m := range members {
		s.Upstreams[m.Ref.Host] = m
		s.Services[1].Members = append(s.Services[1].Members, model.Member{Host: m.Ref.Host, State: model.UpstreamActive})
	}
	return s
}

// nextRevision changes the state of a member of one service.
func nextRevision(s *model.Snapshot) *model.Snapshot {
	next := s.Clone()
	next.Revision++
	svc := *next.Services[500]
	svc.Members = append([]model.Member(nil), svc.Members...)
	svc.Members[0].State = model.UpstreamActive + model.UpstreamDraining - svc.Members[0].State
	svc.Generation = next.Revision
	next.Services[500] = &svc
	return next
}

// waitForRevision waits until every node has the newest revision in force.
func (s *idleBench) waitForRevision(b *testing.B) {
	b.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for _, c := range s.roles {
		for c.revision() < s.server.Current().Revision {
			if time.Now().After(deadline) {
				b.Fatal("a node does not have the revision in force")
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// measure reports the memory, traffic and CPU time of idle nodes and the CPU time of a configuration change, per node.
// CPU time includes that of the simulated control VM.
func (s *idleBench) measure(b *testing.B, before float64, tunnel *atomic.Int64, snapshot *model.Snapshot) {
	b.Helper()
	n := float64(len(s.nodes))
	s.waitForRevision(b)
	time.Sleep(2 * time.Second) // wait until connections are open and buckets are sealed
	b.ReportMetric((rpcload.Memory()-before)/n/1e6, "MB/node")
	bytes, udp, cpu := s.bytes.Load(), tunnel.Load(), rpcload.CPUTime()
	time.Sleep(benchIdleDuration)
	b.ReportMetric(float64(s.bytes.Load()-bytes)/benchIdleDuration.Seconds(), "B/s")
	b.ReportMetric(float64(tunnel.Load()-udp)/benchIdleDuration.Seconds(), "B/s-tunnel-in")
	b.ReportMetric((rpcload.CPUTime()-cpu).Seconds()/benchIdleDuration.Seconds()/n*100, "cpu-%")
	cpu = rpcload.CPUTime()
	for range benchChanges {
		snapshot = nextRevision(snapshot)
		if err := s.server.Publish(snapshot); err != nil {
			b.Fatal(err)
		}
		s.waitForRevision(b)
	}
	b.ReportMetric(float64((rpcload.CPUTime()-cpu).Microseconds())/1000/benchChanges/n, "cpu-ms/change")
}

// BenchmarkIdleEntry measures entry processes without traffic at the target sizes: control traffic with TLS, CPU time and
// memory per node.
func BenchmarkIdleEntry(b *testing.B) {
	for range b.N {
		s := newIdleBench(b)
		snapshot := targetSnapshot(nil)
		if err := s.server.Publish(snapshot); err != nil {
			b.Fatal(err)
		}
		var roles []*entryRole
		for i := range 7 {
			p := s.node(b, fmt.Sprintf("e%d", i), peer.RoleEntry)
			r, err := newEntryRole(p)
			if err != nil {
				b.Fatal(err)
			}
			roles = append(roles, r)
			s.roles = append(s.roles, r.config)
		}
		before := rpcload.Memory()
		ctx, cancel := context.WithCancel(b.Context())
		for _, r := range roles {
			go func() { _ = r.run(ctx) }()
		}
		s.measure(b, before, &atomic.Int64{}, snapshot)
		cancel()
	}
}

// BenchmarkIdleAgent measures upstream processes without flows at the target sizes, all members of one service.
func BenchmarkIdleAgent(b *testing.B) {
	for _, members := range []int{7, 64} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for range b.N {
				benchIdleAgents(b, members)
			}
		})
	}
}

func benchIdleAgents(b *testing.B, members int) {
	s := newIdleBench(b)
	var roles []*upstreamRole
	var upstreams []*model.Upstream
	var tunnel atomic.Int64
	for i := range members {
		p := s.node(b, fmt.Sprintf("u%02d", i), peer.RoleUpstream)
		r, err := newUpstreamRole(p)
		if err != nil {
			b.Fatal(err)
		}
		roles = append(roles, r)
		s.roles = append(s.roles, r.config)
		address := p.settings.Tunnel.Listen
		if i == 0 {
			address = s.countUDP(b, address, &tunnel)
		}
		upstreams = append(upstreams, &model.Upstream{
			Ref: p.ref, FailureDomain: "d1", Tunnel: address, RPC: p.settings.RPC, Slots: 3, MaxConnections: 2000,
		})
	}
	snapshot := targetSnapshot(upstreams)
	if err := s.server.Publish(snapshot); err != nil {
		b.Fatal(err)
	}
	before := rpcload.Memory()
	ctx, cancel := context.WithCancel(b.Context())
	for _, r := range roles {
		go func() { _ = r.run(ctx) }()
	}
	s.measure(b, before, &tunnel, snapshot)
	cancel()
}
