package agent_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/agent"
	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/standin/site"
)

// slowMachine is a flow machine that is slower than the tick interval and checks the time that it is given.
type slowMachine struct {
	flow.Machine
	last     time.Time
	packets  atomic.Int64
	backward atomic.Int64
}

func (m *slowMachine) Packet(now time.Time, _ flow.Packet, out []flow.Action) []flow.Action {
	m.see(now)
	time.Sleep(flow.TickInterval + flow.TickInterval/5)
	m.packets.Add(1)
	return out
}

func (m *slowMachine) Tick(now time.Time, out []flow.Action) []flow.Action {
	m.see(now)
	return out
}

func (m *slowMachine) see(now time.Time) {
	if now.Before(m.last) {
		m.backward.Add(1)
	}
	m.last = now
}

// Guards against a tick that carries the time at which it became due, before that of a packet handled meanwhile. The
// flow machine then took half-open flows for expired ones and reset them.
func TestTimeNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	keys, err := tunnel.NewKeyRing(site.TestKey(1))
	g.Expect(err).NotTo(HaveOccurred())
	m := &slowMachine{Machine: flow.New(flow.Config{Self: model.HostRef{Host: "u1", Incarnation: 1}})}
	a, err := agent.New(agent.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Fabric: netip.MustParseAddrPort("127.0.0.1:9"),
		Keys: keys, Machine: m,
		Upstream: func(*model.Service) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer a.Close()
	conn, err := net.Dial("udp", a.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	const packets = 12
	for range packets {
		_, err := conn.Write(sealed(t, 1, lines, "10.1.0.9:1", linesAddr))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(m.packets.Load, patience).Should(Equal(int64(packets)))
	g.Expect(m.backward.Load()).To(BeZero())
}
