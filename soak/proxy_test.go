package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/platform/standin"
	"github.com/plantainseam/plantainseam/rpc/consensuspb"
	"github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// A fault that does nothing would let the soak pass for the wrong reason: each wire must do to connections what it says.
func TestWires(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &standin.Machine{Name: "core-1", IP: netip.MustParseAddr("127.95.1.1"), Bind: netip.MustParseAddr("127.95.101.1")}
	echo, err := net.Listen("tcp4", netip.AddrPortFrom(m.Bind, standin.CallPort).String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got := make(chan string, 16)
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 64)
				for {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					got <- string(buf[:n])
					if _, err := c.Write(buf[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	defer func() { _ = echo.Close() }()
	p, err := newProxy(m, &partition{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer p.close()

	for _, c := range []struct {
		wire             wire
		arrives, answers bool
	}{
		{wireGood, true, true}, {wireSlow, true, true}, {wireSilent, false, false}, {wireHalf, true, false},
		{wireRefusing, false, false},
	} {
		p.set(c.wire)
		conn, err := net.Dial("tcp4", p.listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		started := time.Now()
		_, _ = conn.Write([]byte(c.wire)) // a refusing wire may have closed it already
		if c.arrives {
			g.Eventually(got, time.Minute).Should(gomega.Receive(gomega.Equal(string(c.wire))))
		} else {
			g.Consistently(got, 100*time.Millisecond).ShouldNot(gomega.Receive())
		}
		answer := make([]byte, len(c.wire))
		if c.answers {
			_, err = io.ReadFull(conn, answer)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		} else {
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, err = conn.Read(answer)
			g.Expect(err).To(gomega.HaveOccurred())
		}
		if c.wire == wireSlow {
			g.Expect(time.Since(started)).To(gomega.BeNumerically(">=", 2*slowness))
		}
		p.set(wireGood)
		_ = conn.Close()
	}
}

// Open connections must be reset when a wire begins to refuse, or processes would never notice it.
func TestRefusingWireResets(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &standin.Machine{Name: "core-1", IP: netip.MustParseAddr("127.96.1.1"), Bind: netip.MustParseAddr("127.96.101.1")}
	sink, err := net.Listen("tcp4", netip.AddrPortFrom(m.Bind, standin.CallPort).String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = sink.Close() }()
	p, err := newProxy(m, &partition{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer p.close()
	conn, err := net.Dial("tcp4", p.listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = sink.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.set(wireRefusing)
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred())
}

// A partition must lose what control VMs that are cut off say to others and hear from them, and nothing else.
func TestPartition(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &partition{off: map[string]bool{}}
	c.set(&standin.Machine{Name: "core-4"}, true)
	for _, call := range []struct {
		name    string
		path    string
		message proto.Message
		to      string
		blocked bool
	}{
		{"exchange from the one that is cut off", "Exchange", &rosterpb.ExchangeRequest{Self: &rosterpb.Record{Address: 127<<24 | 90<<16 | 1<<8 | 4}}, "core-1", true},
		{"exchange with it", "Exchange", &rosterpb.ExchangeRequest{Self: &rosterpb.Record{Address: 127<<24 | 90<<16 | 1<<8 | 2}}, "core-4", true},
		{"exchange between others", "Exchange", &rosterpb.ExchangeRequest{Self: &rosterpb.Record{Address: 127<<24 | 90<<16 | 1<<8 | 2}}, "core-1", false},
		{"vote of the one that is cut off", "Step", &consensuspb.StepRequest{From: "core-4-0d3c"}, "core-1", true},
		{"vote of another", "Step", &consensuspb.StepRequest{From: "core-2-0d3c"}, "core-1", false},
		{"request to join", "Join", &rosterpb.JoinRequest{Name: "core-4"}, "core-1", true},
		{"introduction to it", "Introduce", &rosterpb.IntroduceRequest{}, "core-4", true},
		{"report of an agent to it", "Sync", &rosterpb.SyncRequest{}, "core-4", false},
	} {
		body, err := proto.Marshal(call.message)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		near, far := net.Pipe()
		text := fmt.Sprintf("POST /twirp/x/%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", call.path, len(body), body)
		go func() { _, _ = near.Write([]byte(text)) }()
		all, from, err := firstCall(far)
		g.Expect(err).NotTo(gomega.HaveOccurred(), call.name)
		g.Expect(c.blocked(from, call.to)).To(gomega.Equal(call.blocked), call.name)
		_ = near.Close()
		seen, err := io.ReadAll(all)
		g.Expect(err).NotTo(gomega.HaveOccurred(), call.name)
		g.Expect(string(seen)).To(gomega.Equal(text), call.name)
	}
}
