package entry

import (
	"bytes"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/internal/udp"
)

var (
	frontend = netip.MustParseAddrPort("10.9.0.1:80")
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

// testKeys returns a key ring with one key.
func testKeys(t testing.TB, id uint8) *tunnel.KeyRing {
	t.Helper()
	ring, err := tunnel.NewKeyRing(tunnel.Key{ID: id, Secret: bytes.Repeat([]byte{id}, tunnel.MinSecretLen)})
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func newTestEntry(t testing.TB, cfg Config) *Entry {
	t.Helper()
	if !cfg.Listen.IsValid() {
		cfg.Listen = loopback
	}
	cfg.Keys = testKeys(t, 1)
	e, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// applyConfig applies a configuration with one service whose only upstream is u1 at the given address. If the address
// is invalid, the configuration does not have the host u1.
func applyConfig(e *Entry, revision model.Revision, upstream netip.AddrPort) {
	s := model.NewSnapshot()
	s.Revision = revision
	members := []model.Member{{Host: "u1", State: model.UpstreamActive}}
	s.Services[7] = &model.Service{ID: 7, Name: "pages", Frontend: frontend, Kind: model.KindStream, Seed: 3,
		Generation: revision, Members: members}
	if upstream.IsValid() {
		s.Upstreams["u1"] = &model.Upstream{Ref: model.HostRef{Host: "u1", Incarnation: 1}, Tunnel: upstream, Slots: 3}
	}
	e.Apply(s, routing.Build(s))
}

// innerPacket returns a caller's IP packet to the given port of the frontend address.
func innerPacket(srcPort, dstPort uint16, payload int) []byte {
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IPv4(10, 1, 0, 1).To4(), DstIP: net.IPv4(10, 9, 0, 1).To4()}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(srcPort), DstPort: layers.TCPPort(dstPort), ACK: true}
	_ = tcp.SetNetworkLayerForChecksum(ip)
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, tcp, gopacket.Payload(make([]byte, payload))); err != nil {
		panic(err)
	}
	return buf.Bytes()
}

// outerPacket returns a caller's packet in the form in which the fabric sends it.
func outerPacket(srcPort uint16, payload int) []byte {
	return encapsulate(innerPacket(srcPort, 80, payload))
}

func encapsulate(inner []byte) []byte {
	buf := append(make([]byte, tunnel.BaseLen), inner...)
	return buf[tunnel.EncodePlain(buf, tunnel.BaseLen):]
}

// Guards against a packet that reaches the home agent without the service and generation of the configuration, with
// an assignment, or with a changed inner packet.
func TestForward(t *testing.T) {
	for _, cfg := range []Config{{}, {Sockets: 3}, {Listen: netip.MustParseAddrPort("[::1]:0")}} {
		g := NewWithT(t)
		e := newTestEntry(t, cfg)
		home := listenUDP(t, netip.AddrPortFrom(e.Addr().Addr(), 0))
		applyConfig(e, 5, udp.LocalAddr(home))
		sender := listenUDP(t, netip.AddrPortFrom(e.Addr().Addr(), 0))
		_, err := sender.WriteToUDPAddrPort(outerPacket(20001, 100), e.Addr())
		g.Expect(err).NotTo(HaveOccurred())

		buf := make([]byte, 2048)
		size, _, err := home.ReadFromUDPAddrPort(buf)
		g.Expect(err).NotTo(HaveOccurred())
		var ring atomic.Pointer[tunnel.KeyRing]
		ring.Store(testKeys(t, 1))
		var h tunnel.Header
		_, payload, code := tunnel.NewCodec(&ring).Open(buf[:size], &h)
		g.Expect(code).To(Equal(result.OK))
		g.Expect(payload).To(Equal(innerPacket(20001, 80, 100)))
		g.Expect(h).To(Equal(tunnel.Header{Service: 7, Generation: 5}))
		g.Eventually(e.Counters).Should(Equal(Counters{Forwarded: 1}))
	}
}

// Guards against a bucket whose packets go to another host than its home agent, and against one route per bucket, which
// would need 256 headers per service instead of one per upstream.
func TestRoutesOfHomes(t *testing.T) {
	for name, tc := range map[string]struct {
		states []model.UpstreamState
		routes int // upstreams that get packets; u2 is not in the configuration
	}{
		"all active":  {[]model.UpstreamState{model.UpstreamActive, model.UpstreamActive, model.UpstreamActive}, 2},
		"one drains":  {[]model.UpstreamState{model.UpstreamDraining, model.UpstreamActive, model.UpstreamActive}, 1},
		"none active": {[]model.UpstreamState{model.UpstreamDraining, model.UpstreamLost, model.UpstreamLost}, 1},
		"all lost":    {[]model.UpstreamState{model.UpstreamLost, model.UpstreamLost, model.UpstreamLost}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := model.NewSnapshot()
			svc := &model.Service{ID: 7, Frontend: frontend, Seed: 3, Generation: 4}
			for i, host := range []model.HostID{"u1", "u2", "u3"} {
				svc.Members = append(svc.Members, model.Member{Host: host, State: tc.states[i]})
				if host != "u2" {
					s.Upstreams[host] = &model.Upstream{Ref: model.HostRef{Host: host, Incarnation: 1}, Slots: 3,
						Tunnel: netip.AddrPortFrom(loopback.Addr(), uint16(i+1))}
				}
			}
			s.Services[7] = svc
			table := routing.Build(s)
			routes := map[*route]bool{}
			for bucket, r := range buildRoutes(s, table, svc).buckets {
				home, ok := table.Home(7, uint32(bucket))
				if !ok || home == "u2" {
					g.Expect(r).To(BeNil())
					continue
				}
				g.Expect(r).NotTo(BeNil())
				g.Expect(r.to).To(Equal(s.Upstreams[home].Tunnel))
				g.Expect(r.header).To(Equal(tunnel.Header{Service: 7, Generation: 4}))
				routes[r] = true
			}
			g.Expect(routes).To(HaveLen(tc.routes))
		})
	}
}

// Guards against a packet that is forwarded although its destination is not the frontend of a service, and against
// drops that are not counted.
func TestDrops(t *testing.T) {
	home := netip.MustParseAddrPort("127.0.0.1:9")
	for name, tc := range map[string]struct {
		packet   []byte
		upstream netip.AddrPort
		want     Counters
	}{
		"other port":       {encapsulate(innerPacket(1, 81, 0)), home, Counters{UnknownService: 1}},
		"longer than MTU":  {outerPacket(1, 600), home, Counters{Oversized: 1}},
		"not Geneve":       {[]byte("x"), home, Counters{Malformed: 1}},
		"inner not TCP":    {encapsulate([]byte("x")), home, Counters{Malformed: 1}},
		"home not in view": {outerPacket(1, 0), netip.AddrPort{}, Counters{NoHome: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newTestEntry(t, Config{MTU: 500})
			applyConfig(e, 1, tc.upstream)
			sender := benchSocket(t)
			_, err := sender.WriteToUDPAddrPort(tc.packet, e.Addr())
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(e.Counters).Should(Equal(tc.want))
		})
	}
}

// Guards against a delayed answer of the control plane that reverts the configuration to an older revision.
func TestApplyIgnoresOlderRevision(t *testing.T) {
	g := NewWithT(t)
	e := newTestEntry(t, Config{})
	applyConfig(e, 5, netip.MustParseAddrPort("127.0.0.1:9"))
	applyConfig(e, 4, netip.MustParseAddrPort("127.0.0.1:9"))
	g.Expect(e.Revision()).To(Equal(model.Revision(5)))
}

// Guards against allocations per packet, because garbage collection would limit the packet rate.
func TestForwardDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	e := benchEntry(t, udp.LocalAddr(benchSocket(t)))
	allocs, _ := forwardAllocs(t, e, outerPacket(20001, 100))
	g.Expect(allocs).To(BeZero())
}
