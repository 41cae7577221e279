package agent_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"github.com/plantainseam/plantainseam/internal/agent"
	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/standin/site"
)

const geneveBaseLen = 8 // bytes of a Geneve header without options

// rawCallers opens flows with packets built by hand, so that the measured memory does not include a TCP stack of the
// callers.
type rawCallers struct {
	b      *testing.B
	codec  *tunnel.Codec
	fabric *net.UDPConn // receives the agent's packets
	agent  netip.AddrPort
}

func (r *rawCallers) send(port uint16, tcp *layers.TCP) {
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: net.IPv4(10, 1, 0, 9).To4(), DstIP: linesAddr.Addr().AsSlice()}
	tcp.SrcPort, tcp.DstPort, tcp.Window = layers.TCPPort(port), layers.TCPPort(linesAddr.Port()), 60000
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		r.b.Fatal(err)
	}
	packet := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(packet, opts, ip, tcp); err != nil {
		r.b.Fatal(err)
	}
	buf := append(make([]byte, tunnel.MaxHeader), packet.Bytes()...)
	header := tunnel.Header{Service: linesID, Generation: 1}
	sealed := buf[r.codec.Seal(buf, tunnel.MaxHeader, &header):]
	if _, err := r.fabric.WriteToUDPAddrPort(sealed, r.agent); err != nil {
		r.b.Fatal(err)
	}
}

// open completes the handshake of one flow.
func (r *rawCallers) open(port uint16) {
	r.send(port, &layers.TCP{SYN: true, Seq: 100})
	buf := make([]byte, 4096)
	for {
		_ = r.fabric.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _, err := r.fabric.ReadFromUDPAddrPort(buf)
		if err != nil {
			r.b.Fatal("no SYN-ACK: ", err)
		}
		inner := buf[geneveBaseLen+int(buf[0]&0x3f)*4 : n]
		tcp := inner[int(inner[0]&0xf)*4:]
		const synAck = 0x12
		if binary.BigEndian.Uint16(tcp[2:]) == port && tcp[13]&0x3f == synAck {
			r.send(port, &layers.TCP{ACK: true, Seq: 101, Ack: binary.BigEndian.Uint32(tcp[4:]) + 1})
			return
		}
	}
}

// BenchmarkFlowMemory measures the heap and stack memory of an agent per established idle flow through netstack and the
// stream relay. The upstream is a listener in the same process that keeps the accepted connections open.
func BenchmarkFlowMemory(b *testing.B) {
	for _, flows := range []int{100, 2000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			for range b.N {
				benchFlowMemory(b, flows)
			}
		})
	}
}

func benchFlowMemory(b *testing.B, flows int) {
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer backend.Close()
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			conn, err := backend.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
		}
	}()
	fabric, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		b.Fatal(err)
	}
	defer fabric.Close()
	keys, err := tunnel.NewKeyRing(site.TestKey(1))
	if err != nil {
		b.Fatal(err)
	}
	var opened atomic.Int64
	self := model.HostRef{Host: "u1", Incarnation: 1}
	a, err := agent.New(agent.Config{
		Ref: self, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys,
		Fabric:       fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		Machine:      flow.New(flow.Config{Self: self, Seed: benchSeed}),
		Upstream:     func(*model.Service) (netip.AddrPort, bool) { return backend.Addr().(*net.TCPAddr).AddrPort(), true },
		OnFlowOpened: func(model.FlowKey) { opened.Add(1) },
	})
	if err != nil {
		b.Fatal(err)
	}
	defer a.Close()
	a.SetLocal(flow.Local{AcceptNew: true})
	s := model.NewSnapshot()
	s.Revision = 1
	s.Upstreams["u1"] = &model.Upstream{Ref: self, Tunnel: a.Addr(), Slots: 3, MaxConnections: 2000}
	s.Services[linesID] = &model.Service{
		ID: linesID, Name: "lines", Frontend: linesAddr, Kind: model.KindStream, Seed: 12, Generation: 1,
		Members: []model.Member{{Host: "u1", State: model.UpstreamActive}},
	}
	a.Apply(s, routing.Build(s))
	var ring atomic.Pointer[tunnel.KeyRing]
	ring.Store(keys)
	callers := &rawCallers{b: b, codec: tunnel.NewCodec(&ring), fabric: fabric, agent: a.Addr()}
	before := memoryInUse()
	for i := range flows {
		callers.open(uint16(10000 + i))
	}
	accepted := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(conns)
	}
	for deadline := time.Now().Add(20 * time.Second); accepted() < flows; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatalf("%d of %d flows reached the upstream", accepted(), flows)
		}
	}
	after := memoryInUse()
	b.ReportMetric((after[0]+after[1]-before[0]-before[1])/float64(flows), "B/flow")
	b.ReportMetric((after[1]-before[1])/float64(flows), "B/flow-stacks")
	b.ReportMetric(float64(opened.Load()), "flows")
	mu.Lock()
	defer mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// memoryInUse returns the bytes of heap and stack memory after a garbage collection.
func memoryInUse() [2]float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return [2]float64{float64(m.HeapAlloc), float64(m.StackInuse)}
}
