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

// slowMachine is a flow machine that takes longer than the tick interval per packet and counts how often the time that
// is passed to it goes back.
type slowMachine struct {
	flow.Machine
	last          time.Time
	packets       atomic.Int64
	timeReversals atomic.Int64
}

func (m *slowMachine) Packet(now time.Time, _ flow.Packet, out []flow.Action) []flow.Action {
	m.checkTime(now)
	time.Sleep(flow.TickInterval + flow.TickInterval/5)
	m.packets.Add(1)
	return out
}

func (m *slowMachine) Tick(now time.Time, out []flow.Action) []flow.Action {
	m.checkTime(now)
	return out
}

func (m *slowMachine) checkTime(now time.Time) {
	if now.Before(m.last) {
		m.timeReversals.Add(1)
	}
	m.last = now
}

// Guards against a tick that passes on the time at which it became due, which may be before the time of a packet that
// was handled in between. The flow machine then took half-open flows for expired ones and reset them.
func TestMachineTimeIsMonotonic(t *testing.T) {
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
		_, err := conn.Write(sealedSYN(t, 1, linesID, "10.1.0.9:1", linesAddr))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(m.packets.Load, testTimeout).Should(Equal(int64(packets)))
	g.Expect(m.timeReversals.Load()).To(BeZero())
}
