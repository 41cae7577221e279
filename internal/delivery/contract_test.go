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

// patience bounds every wait; it is far above what a run needs.
const patience = 60 * time.Second

const service model.ServiceID = 5

var frontend = netip.MustParseAddrPort("10.9.0.1:80")

// factory starts the implementation under test.
type factory func(delivery.Config, delivery.Handler, delivery.Output) (delivery.Delivery, error)

// The contract runs against every implementation of Delivery; add new ones here.
var implementations = map[string]factory{
	"netstack": func(c delivery.Config, h delivery.Handler, o delivery.Output) (delivery.Delivery, error) {
		return delivery.NewNetstack(c, h, o)
	},
}

// link connects one caller's machine with the delivery under test, without a tunnel in between.
type link struct {
	mu      sync.Mutex
	service model.ServiceID
	under   delivery.Delivery
	receive func([]byte)
	silent  bool                     // the caller's packets are lost
	lose    func(packet []byte) bool // says whether a packet of the caller is lost; nil loses none
	loseFIN bool                     // the delivery's next FIN is lost
	errs    []result.Code
	end     map[model.FlowKey][]result.Code
	conns   chan net.Conn

	toCaller, toDelivery [][]byte
	keys                 chan model.FlowKey
}

func newLink(t *testing.T, make factory, cfg delivery.Config) (*link, *caller.Host) {
	t.Helper()
	g := NewWithT(t)
	l := &link{service: service, end: map[model.FlowKey][]result.Code{}}
	l.conns, l.keys = newQueues()
	under, err := make(cfg, l, output{l})
	g.Expect(err).NotTo(HaveOccurred())
	l.under = under
	host, err := caller.New(netip.MustParseAddr("10.1.0.1"), l)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(host.Close)
	t.Cleanup(func() { g.Expect(under.Close()).To(Succeed()) })
	return l, host
}

func newQueues() (chan net.Conn, chan model.FlowKey) {
	return make(chan net.Conn, 64), make(chan model.FlowKey, 64)
}

// Send hands a packet of the caller to the delivery.
func (l *link) Send(packet []byte) error {
	inner, code := tunnel.ParseInner(packet)
	if code != result.OK {
		return nil
	}
	l.mu.Lock()
	key := model.FlowKey{Service: l.service, Caller: inner.Caller}
	lost := l.silent || l.lose != nil && l.lose(packet)
	l.toDelivery = append(l.toDelivery, append([]byte(nil), packet...))
	l.mu.Unlock()
	if lost {
		return nil
	}
	if err := l.under.Deliver(key, packet); err != nil {
		l.mu.Lock()
		l.errs = append(l.errs, result.CodeOf(err))
		l.mu.Unlock()
	}
	return nil
}

// Attach stores the caller's receiver.
func (l *link) Attach(_ netip.Addr, receive func([]byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receive = receive
}

func (l *link) Established(key model.FlowKey, conn net.Conn) {
	l.keys <- key
	l.conns <- conn
}

func (l *link) Closed(key model.FlowKey, code result.Code) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end[key] = append(l.end[key], code)
}

// ends returns how the only flow ended.
func (l *link) ends() []result.Code {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, codes := range l.end {
		return append([]result.Code(nil), codes...)
	}
	return nil
}

func (l *link) errors() []result.Code {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]result.Code(nil), l.errs...)
}

func (l *link) set(change func(l *link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// output gives the delivery's packets to the caller.
type output struct{ link *link }

func (o output) Send(packet []byte) error {
	o.link.mu.Lock()
	receive := o.link.receive
	o.link.toCaller = append(o.link.toCaller, append([]byte(nil), packet...))
	lost := o.link.loseFIN && finOf(packet)
	if lost {
		o.link.loseFIN = false
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
	g.Eventually(l.conns, patience).Should(Receive(&server))
	return client, server
}

// contract runs one case against every implementation.
func contract(t *testing.T, cfg delivery.Config, run func(t *testing.T, g Gomega, l *link, host *caller.Host)) {
	for name, make := range implementations {
		t.Run(name, func(t *testing.T) {
			l, host := newLink(t, make, cfg)
			run(t, NewWithT(t), l, host)
		})
	}
}

// Guards against lost, changed or reordered bytes, and against an orderly end that is not reported exactly once.
func TestTransferAndOrderlyEnd(t *testing.T) {
	contract(t, delivery.Config{TimeWait: time.Millisecond}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		var key model.FlowKey
		g.Expect(l.keys).To(Receive(&key))
		g.Expect(key.Service).To(Equal(service))
		g.Expect(key.Caller.String()).To(Equal(client.LocalAddr().String()))
		g.Expect(l.under.Flows()).To(Equal(1))
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
		g.Eventually(l.ends, patience).Should(Equal([]result.Code{result.OK}))
		g.Eventually(l.under.Flows, patience).Should(BeZero())
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

// Guards against a drain that waits for a flow which both sides have ended, because the last FIN was lost once.
func TestLostFIN(t *testing.T) {
	cfg := delivery.Config{TimeWait: 50 * time.Millisecond, SilentAfter: time.Hour, SweepInterval: 20 * time.Millisecond}
	contract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		l.set(func(l *link) { l.loseFIN = true })
		g.Expect(client.(interface{ CloseWrite() error }).CloseWrite()).To(Succeed())
		_, err := io.ReadAll(server)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(server.Close()).To(Succeed())
		_, err = io.ReadAll(client)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(client.Close()).To(Succeed())
		g.Eventually(l.ends, patience).Should(Equal([]result.Code{result.OK}))
		l.set(func(l *link) { g.Expect(l.loseFIN).To(BeFalse(), "one FIN was lost") })
	})
}

// Guards against a flow that is aborted without telling the caller, or whose reason is lost.
func TestAbort(t *testing.T) {
	contract(t, delivery.Config{}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		l.under.Abort(<-l.keys, result.FlowOwnerLost)
		_, err := client.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(ContainSubstring("connection reset")))
		_, err = server.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred())
		g.Eventually(l.ends, patience).Should(Equal([]result.Code{result.FlowOwnerLost}))
	})
}

// Guards against a silent flow that is kept, or ended without a reset towards the caller.
func TestSilentFlow(t *testing.T) {
	cfg := delivery.Config{ProbeIdle: 50 * time.Millisecond, ProbeInterval: 50 * time.Millisecond,
		SilentAfter: 500 * time.Millisecond, SweepInterval: 20 * time.Millisecond}
	contract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		l.set(func(l *link) { l.silent = true })
		_, err := server.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred())
		_, err = client.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(ContainSubstring("connection reset")))
		g.Eventually(l.ends, patience).Should(Equal([]result.Code{result.FlowSilent}))
	})
}

// Guards against an idle flow of a live caller being taken for a silent one.
func TestIdleFlowIsKept(t *testing.T) {
	cfg := delivery.Config{ProbeIdle: 50 * time.Millisecond, ProbeInterval: 50 * time.Millisecond,
		SilentAfter: 2 * time.Second, SweepInterval: 20 * time.Millisecond}
	contract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		time.Sleep(2 * cfg.SilentAfter)
		g.Expect(l.ends()).To(BeEmpty())
		_, err := fmt.Fprint(client, "x")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = server.Read(make([]byte, 1))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a SYN flood that takes memory without bound or evicts established flows, and against half-open flows
// that stay for ever.
func TestHalfOpenLimit(t *testing.T) {
	cfg := delivery.Config{MaxHalfOpen: 2, HalfOpenTimeout: 300 * time.Millisecond, SweepInterval: 50 * time.Millisecond}
	contract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		for port := range 5 {
			_ = l.Send(syn(t, uint16(1000+port)))
		}
		g.Expect(l.errors()).To(HaveLen(3))
		g.Expect(l.errors()).To(HaveEach(result.FlowHalfOpenFull))
		g.Eventually(l.under.Flows, patience).Should(Equal(1))
		_, err := fmt.Fprint(client, "x")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = server.Read(make([]byte, 1))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against more connections than the host may carry.
func TestFlowLimit(t *testing.T) {
	contract(t, delivery.Config{MaxFlows: 1}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		connect(t, l, host)
		_ = l.Send(syn(t, 1000))
		g.Expect(l.errors()).To(Equal([]result.Code{result.FlowTableFull}))
	})
}

// Guards against a packet of one service reaching a connection of another with the same addresses and ports, and
// against data of an unknown flow creating state.
func TestForeignPackets(t *testing.T) {
	contract(t, delivery.Config{}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		l.set(func(l *link) { l.service = service + 1 })
		_, err := fmt.Fprint(client, "secret")
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(l.errors, patience).Should(ContainElement(result.FlowWrongService))
		_ = server.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, err := server.Read(make([]byte, 10))
		g.Expect(err).To(HaveOccurred())
		g.Expect(n).To(BeZero())

		key := model.FlowKey{Service: service, Caller: netip.MustParseAddrPort("10.1.0.77:1000")}
		g.Expect(result.CodeOf(l.under.Deliver(key, syn(t, 1001)))).To(Equal(result.TunnelMalformed))
		packet := syn(t, 1000)
		packet[33] = 0x10 // ACK only
		g.Expect(result.CodeOf(l.under.Deliver(key, packet))).To(Equal(result.FlowUnknown))
		g.Expect(l.under.Flows()).To(Equal(1))
	})
}

// Guards against packets that do not fit through the tunnel: the stack must announce and obey a segment size that
// leaves room for the outer headers.
func TestMTU(t *testing.T) {
	cfg := delivery.Config{MTU: 1200}
	contract(t, cfg, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, server := connect(t, l, host)
		for _, way := range []struct{ from, to net.Conn }{{server, client}, {client, server}} {
			go func() { _, _ = io.CopyN(way.from, &pattern{}, 100_000) }()
			_, err := io.CopyN(io.Discard, way.to, 100_000)
			g.Expect(err).NotTo(HaveOccurred())
		}
		l.set(func(l *link) {
			for _, packets := range [][][]byte{l.toCaller, l.toDelivery} {
				longest := 0
				for _, p := range packets {
					longest = max(longest, len(p))
				}
				g.Expect(longest).To(BeNumerically("<=", cfg.MTU))
				g.Expect(longest).To(BeNumerically(">", cfg.MTU-60), "segments are full but for TCP options")
			}
			g.Expect(mssOf(l.toCaller[0])).To(Equal(cfg.MTU - 40))
		})
	})
}

// Guards against flows that end unreported, or callers that hear nothing, when the agent stops.
func TestCloseResetsFlows(t *testing.T) {
	contract(t, delivery.Config{}, func(t *testing.T, g Gomega, l *link, host *caller.Host) {
		client, _ := connect(t, l, host)
		_ = l.Send(syn(t, 1000))
		g.Expect(l.under.Close()).To(Succeed())
		_, err := client.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(ContainSubstring("connection reset")))
		g.Expect(l.under.Flows()).To(BeZero())
		g.Expect(l.end).To(HaveLen(2))
		for _, codes := range l.end {
			g.Expect(codes).To(HaveLen(1))
		}
		g.Expect(l.under.Close()).To(Succeed())
	})
}
