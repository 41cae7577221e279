package delivery_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/delivery"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/standin/caller"
)

// testTimeout limits every wait. It is far longer than a run needs.
const testTimeout = 60 * time.Second

const service model.ServiceID = 5

var frontend = netip.MustParseAddrPort("10.9.0.1:80")

// factory starts an implementation of Delivery.
type factory func(delivery.Config, delivery.Handler, delivery.Output) (delivery.Delivery, error)

// implementations lists the implementations of Delivery that runContract tests.
var implementations = map[string]factory{
	"netstack": func(c delivery.Config, h delivery.Handler, o delivery.Output) (delivery.Delivery, error) {
		return delivery.NewNetstack(c, h, o)
	},
}

// link connects the TCP stack of one caller with the Delivery under test, without a tunnel in between. It also records
// the packets, results and connections.
type link struct {
	mu            sync.Mutex
	service       model.ServiceID
	underTest     delivery.Delivery
	toCallerStack func([]byte)
	dropAll       bool                     // drops all packets of the caller
	dropIf        func(packet []byte) bool // returns true for packets of the caller to drop; nil drops none
	dropNextFIN   bool                     // drops the next FIN to the caller
	deliverErrors []result.Code
	endCodes      map[model.FlowKey][]result.Code
	conns         chan net.Conn

	toCaller, toDelivery [][]byte
	keys                 chan model.FlowKey
}

func newLink(t *testing.T, make factory, cfg delivery.Config) (*link, *caller.Host) {
	t.Helper()
	g := NewWithT(t)
	l := &link{service: service, endCodes: map[model.FlowKey][]result.Code{}}
	l.conns, l.keys = newQueues()
	under, err := make(cfg, l, output{l})
	g.Expect(err).NotTo(HaveOccurred())
	l.underTest = under
	host, err := caller.New(netip.MustParseAddr("10.1.0.1"), l)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(host.Close)
	t.Cleanup(func() { g.Expect(under.Close()).To(Succeed()) })
	return l, host
}

func newQueues() (chan net.Conn, chan model.FlowKey) {
	return make(chan net.Conn, 64), make(chan model.FlowKey, 64)
}

// Send passes a packet of the caller to the Delivery under test.
func (l *link) Send(packet []byte) error {
	inner, code := tunnel.ParseInner(packet)
	if code != result.OK {
		return nil
	}
	l.mu.Lock()
	key := model.FlowKey{Service: l.service, Caller: inner.Caller}
	lost := l.dropAll || l.dropIf != nil && l.dropIf(packet)
	l.toDelivery = append(l.toDelivery, append([]byte(nil), packet...))
	l.mu.Unlock()
	if lost {
		return nil
	}
	if err := l.underTest.Deliver(key, packet); err != nil {
		l.mu.Lock()
		l.deliverErrors = append(l.deliverErrors, result.CodeOf(err))
		l.mu.Unlock()
	}
	return nil
}

// Attach stores the function that passes packets to the caller.
func (l *link) Attach(_ netip.Addr, receive func([]byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toCallerStack = receive
}

func (l *link) Established(key model.FlowKey, conn net.Conn) {
	l.keys <- key
	l.conns <- conn
}

func (l *link) Closed(key model.FlowKey, code result.Code) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endCodes[key] = append(l.endCodes[key], code)
}

// flowEndCodes returns the codes with which the only flow was reported as closed.
func (l *link) flowEndCodes() []result.Code {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, codes := range l.endCodes {
		return append([]result.Code(nil), codes...)
	}
	return nil
}

func (l *link) deliverCodes() []result.Code {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]result.Code(nil), l.deliverErrors...)
}

func (l *link) update(change func(l *link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// output passes the packets of the Delivery under test to the caller.
type output struct{ link *link }

func (o output) Send(packet []byte) error {
	o.link.mu.Lock()
	receive := o.link.toCallerStack
	o.link.toCaller = append(o.link.toCaller, append([]byte(nil), packet...))
	lost := o.link.dropNextFIN && hasFIN(packet)
	if lost {
		o.link.dropNextFIN = false
	}
	o.link.mu.Unlock()
	if !lost {
		receive(packet)
	}
	return nil
}

// connect opens a connection and returns both ends.
func connect(t *testing.T, l *link, host *caller.Host) (client, server net.Conn) {
	t.Helper()
	g := NewWithT(t)
	client, err := host.DialContext(t.Context(), "tcp", frontend.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(l.conns, testTimeout).Should(Receive(&server))
	return client, server
}

// runContract runs one test case with every implementation.
func runContract(t *testing.T, cfg delivery.Config, run func(t *testing.T, g Gomega, l *link, host *caller.Host)) {
	for name, make := range implementations {
		t.Run(name, func(t *testing.T) {
			l, host := newLink(t, make, cfg)
			run(t, NewWithT(t), l, host)
		})
	}
}

// Guards against lost, changed or reordered bytes, and against an orderly close that is not reported exactly once.
func TestTransferAndOrderlyEnd(t *testing.T) {
	runContract(t, delivery.Config{TimeWait: time.Millisecond}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		var key model.FlowKey
		g.Expect(l.keys).To(Receive(&key))
		g.Expect(key.Service).To(Equal(service))
		g.Expect(key.Caller.String()).To(Equal(client.LocalAddr().String()))
		g.Expect(l.underTest.Flows()).To(Equal(1))
		const size = 1 << 20
		go func() {
			_, _ = io.CopyN(server, &pattern{}, size)
			_ = server.Close()
		}()
		got, err := io.ReadAll(client)
		g.Expect(err).NotTo(HaveOccurred())
		want, _ := io.ReadAll(io.LimitReader(&pattern{}, size))
		g.Expect(string(got) == string(want)).To(BeTrue(), "content of %d bytes", len(got))
		g.Expect(client.Close()).To(Succeed())
		g.Eventually(l.flowEndCodes, testTimeout).Should(Equal([]result.Code{result.OK}))
		g.Eventually(l.underTest.Flows, testTimeout).Should(BeZero())
	})
}

// pattern is an endless reader of a sequence that repeats after 251 bytes, which divides no segment size.
type pattern struct{ offset int }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(p.offset % 251)
		p.offset++
	}
	return len(b), nil
}

// Guards against a drain that waits for a flow that both sides have closed, because the last FIN was lost once.
func TestLostFIN(t *testing.T) {
	cfg := delivery.Config{TimeWait: 50 * time.Millisecond, SilenceTimeout: time.Hour,
		SweepInterval: 20 * time.Millisecond}
	runContract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		l.update(func(l *link) { l.dropNextFIN = true })
		g.Expect(client.(interface{ CloseWrite() error }).CloseWrite()).To(Succeed())
		_, err := io.ReadAll(server)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(server.Close()).To(Succeed())
		_, err = io.ReadAll(client)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(client.Close()).To(Succeed())
		g.Eventually(l.flowEndCodes, testTimeout).Should(Equal([]result.Code{result.OK}))
		l.update(func(l *link) { g.Expect(l.dropNextFIN).To(BeFalse(), "one FIN was lost") })
	})
}

// Guards against an aborted flow whose caller gets no reset or whose end is reported with another reason.
func TestAbort(t *testing.T) {
	runContract(t, delivery.Config{}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		l.underTest.Abort(<-l.keys, result.FlowOwnerLost)
		_, err := client.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(ContainSubstring("connection reset")))
		_, err = server.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred())
		g.Eventually(l.flowEndCodes, testTimeout).Should(Equal([]result.Code{result.FlowOwnerLost}))
	})
}

// Guards against a silent flow that is kept, or that ends without a reset to the caller.
func TestSilentFlow(t *testing.T) {
	cfg := delivery.Config{ProbeIdle: 50 * time.Millisecond, ProbeInterval: 50 * time.Millisecond,
		SilenceTimeout: 500 * time.Millisecond, SweepInterval: 20 * time.Millisecond}
	runContract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		l.update(func(l *link) { l.dropAll = true })
		_, err := server.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred())
		_, err = client.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(ContainSubstring("connection reset")))
		g.Eventually(l.flowEndCodes, testTimeout).Should(Equal([]result.Code{result.FlowSilent}))
	})
}

// Guards against an idle flow that is ended as silent although its caller answers the keep-alive probes.
func TestIdleFlowIsKept(t *testing.T) {
	cfg := delivery.Config{ProbeIdle: 50 * time.Millisecond, ProbeInterval: 50 * time.Millisecond,
		SilenceTimeout: 2 * time.Second, SweepInterval: 20 * time.Millisecond}
	runContract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		time.Sleep(2 * cfg.SilenceTimeout)
		g.Expect(l.flowEndCodes()).To(BeEmpty())
		_, err := fmt.Fprint(client, "x")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = server.Read(make([]byte, 1))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a SYN flood that takes unbounded memory or evicts established flows, and against half-open flows that
// never expire.
func TestHalfOpenLimit(t *testing.T) {
	cfg := delivery.Config{MaxHalfOpen: 2, HalfOpenTimeout: 300 * time.Millisecond, SweepInterval: 50 * time.Millisecond}
	runContract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		for port := range 5 {
			_ = l.Send(syn(t, uint16(1000+port)))
		}
		g.Expect(l.deliverCodes()).To(HaveLen(3))
		g.Expect(l.deliverCodes()).To(HaveEach(result.FlowHalfOpenFull))
		g.Eventually(l.underTest.Flows, testTimeout).Should(Equal(1))
		_, err := fmt.Fprint(client, "x")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = server.Read(make([]byte, 1))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against more connections than Config.MaxFlows.
func TestFlowLimit(t *testing.T) {
	runContract(t, delivery.Config{MaxFlows: 1}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		connect(t, l, host)
		_ = l.Send(syn(t, 1000))
		g.Expect(l.deliverCodes()).To(Equal([]result.Code{result.FlowTableFull}))
	})
}

// Guards against a packet of one service that reaches a connection of another service with the same addresses and
// ports, and against data packets of an unknown flow that create state.
func TestForeignPackets(t *testing.T) {
	runContract(t, delivery.Config{}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		l.update(func(l *link) { l.service = service + 1 })
		_, err := fmt.Fprint(client, "secret")
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(l.deliverCodes, testTimeout).Should(ContainElement(result.FlowWrongService))
		_ = server.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, err := server.Read(make([]byte, 10))
		g.Expect(err).To(HaveOccurred())
		g.Expect(n).To(BeZero())

		key := model.FlowKey{Service: service, Caller: netip.MustParseAddrPort("10.1.0.77:1000")}
		g.Expect(result.CodeOf(l.underTest.Deliver(key, syn(t, 1001)))).To(Equal(result.TunnelMalformed))
		packet := syn(t, 1000)
		packet[33] = 0x10 // ACK only
		g.Expect(result.CodeOf(l.underTest.Deliver(key, packet))).To(Equal(result.FlowUnknown))
		g.Expect(l.underTest.Flows()).To(Equal(1))
	})
}

// Guards against packets that are too long for the tunnel: the stack must announce and respect a segment size that
// leaves space for the outer headers.
func TestMTU(t *testing.T) {
	cfg := delivery.Config{MTU: 1200}
	runContract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		for _, direction := range []struct{ from, to net.Conn }{{server, client}, {client, server}} {
			go func() { _, _ = io.CopyN(direction.from, &pattern{}, 100_000) }()
			_, err := io.CopyN(io.Discard, direction.to, 100_000)
			g.Expect(err).NotTo(HaveOccurred())
		}
		l.update(func(l *link) {
			for _, packets := range [][][]byte{l.toCaller, l.toDelivery} {
				longest := 0
				for _, p := range packets {
					longest = max(longest, len(p))
				}
				g.Expect(longest).To(BeNumerically("<=", cfg.MTU))
				g.Expect(longest).To(BeNumerically(">", cfg.MTU-60), "segments are full except for TCP options")
			}
			g.Expect(mssOf(l.toCaller[0])).To(Equal(cfg.MTU - 40))
		})
	})
}

// Guards against flows whose end is not reported, and callers that get no reset, when the Delivery is closed.
func TestCloseResetsFlows(t *testing.T) {
	runContract(t, delivery.Config{}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, _ := connect(t, l, host)
		_ = l.Send(syn(t, 1000))
		g.Expect(l.underTest.Close()).To(Succeed())
		_, err := client.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(ContainSubstring("connection reset")))
		g.Expect(l.underTest.Flows()).To(BeZero())
		g.Expect(l.endCodes).To(HaveLen(2))
		for _, codes := range l.endCodes {
			g.Expect(codes).To(HaveLen(1))
		}
		g.Expect(l.underTest.Close()).To(Succeed())
	})
}
