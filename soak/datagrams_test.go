package main

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// A relay that loses datagrams unasked, or hides who sent them, would test another system; one that does no harm tests nothing.
func TestDatagrams(t *testing.T) {
	machines := []*standin.Machine{
		{Name: "edge-1", Class: "edge", IP: netip.MustParseAddr("127.88.2.1"), Bind: netip.MustParseAddr("127.88.102.1")},
		{Name: "side-1", Class: "side", IP: netip.MustParseAddr("127.88.3.1"), Bind: netip.MustParseAddr("127.88.103.1")},
	}
	g := gomega.NewWithT(t)
	d, err := newDatagrams(machines)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(d.close)
	bind := func(m *standin.Machine) *net.UDPConn {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(m.Bind, standin.DatagramPort)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	edge, side := bind(machines[0]), bind(machines[1])
	to := netip.AddrPortFrom(machines[1].IP, standin.DatagramPort)
	// received returns the datagram that the entry has sent and its sender, or nothing if it was lost.
	received := func(content string) (string, netip.AddrPort) {
		_, err := edge.WriteToUDPAddrPort([]byte(content), to)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		buf := make([]byte, 100)
		if d.harms[to] == deaf || d.harms[netip.AddrPortFrom(machines[0].IP, standin.DatagramPort)] == mute {
			g.Expect(side.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(gomega.Succeed())
		} else {
			g.Expect(side.SetReadDeadline(time.Now().Add(time.Minute))).To(gomega.Succeed())
		}
		n, from, _ := side.ReadFromUDPAddrPort(buf)
		return string(buf[:n]), from
	}
	content, from := received("one")
	g.Expect(content).To(gomega.Equal("one"))
	g.Expect(from).To(gomega.Equal(netip.AddrPortFrom(machines[0].IP, standin.DatagramPort)), "the sender is the machine")

	d.set(machines[1], deaf)
	content, _ = received("two")
	g.Expect(content).To(gomega.BeEmpty())
	d.set(machines[1], unharmed)
	d.set(machines[0], mute)
	content, _ = received("three")
	g.Expect(content).To(gomega.BeEmpty())

	d.set(machines[0], lossy)
	arrived := 0
	for range 200 {
		_, err := edge.WriteToUDPAddrPort([]byte("x"), to)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(side.SetReadDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
	for buf := make([]byte, 100); ; arrived++ {
		if _, _, err := side.ReadFromUDPAddrPort(buf); err != nil {
			break
		}
	}
	g.Expect(arrived).To(gomega.BeNumerically("<", 200))
}
