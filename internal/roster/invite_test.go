package roster_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/roster"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// unreachable stands for the address of a VM without power, where connection attempts hang.
var unreachable = netip.MustParseAddrPort("127.0.0.1:9")

// newClientWithHangingDial returns a client with the given seeds and unreachable. A dial to unreachable calls hang and
// then fails.
func newClientWithHangingDial(hang func(ctx context.Context), update func(roster.View), seeds ...netip.AddrPort) *roster.Client {
	return roster.NewClient(roster.ClientConfig{
		Seeds: append(seeds, unreachable), Domain: "d", Logger: log.NewNopLogger(),
		Self: func() roster.Record { return agent(1, 0) }, DeclaredVersion: func() uint64 { return 0 }, Update: update,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == unreachable.String() {
				hang(ctx)
				return nil, errors.New("no answer")
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	})
}

// After a loss of all power, processes must call an inviting control VM that is not among their seeds. Otherwise nobody would
// call it until a seed is back: in one fault run two control VMs were back 0.18 s before the first seed.
func TestInvitedControlVMIsAsked(t *testing.T) {
	g := gomega.NewWithT(t)
	_, at := startControl(t, 15, true)
	var client *roster.Client
	invite := func(ctx context.Context) { client.Invite(at); <-ctx.Done() }
	client = newClientWithHangingDial(invite, func(roster.View) {})
	g.Eventually(func() bool { return client.Report(t.Context()) }, time.Minute, time.Millisecond).Should(gomega.BeTrue())
	g.Expect(client.Controls()).NotTo(gomega.ContainElement(at), "an invitation is dropped once a control VM is in use")
}

// Callers wait until the process has a declaration and a roster. The response of a control VM without a leader must be
// applied as soon as it arrives, not after the calls to the other control VMs have ended.
func TestAnswersWithoutALeaderAreTakenAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	_, at := startControl(t, 3, false)
	updated := make(chan struct{}, 100)
	waited := false // the response was applied while the dial to unreachable hung
	hang := func(ctx context.Context) {
		select {
		case <-updated:
			waited = true
		case <-ctx.Done():
		}
	}
	client := newClientWithHangingDial(hang, func(roster.View) { updated <- struct{}{} }, at)
	g.Eventually(func() bool { return !client.Report(t.Context()) && waited }, time.Minute, time.Millisecond).Should(gomega.BeTrue())
}

// scriptedServer is a control VM that returns prepared responses.
type scriptedServer struct {
	pb.Roster
	next []*pb.SyncResponse
}

func (a *scriptedServer) Sync(context.Context, *pb.SyncRequest) (*pb.SyncResponse, error) {
	first := a.next[0]
	a.next = a.next[1:]
	return first, nil
}

// The changes from one control VM must not be applied to the roster of another one. A roster that is called settled but lacks
// an agent causes resets of the flows of that agent.
func TestChangesOfAnotherRosterAreLeftOut(t *testing.T) {
	g := gomega.NewWithT(t)
	known := roster.ToWire(agent(1, 0))
	server := httptest.NewServer(pb.NewRosterServer(&scriptedServer{next: []*pb.SyncResponse{
		{Current: true, Feed: 1, Position: 1, Records: []*pb.Record{known}},
		{Current: true, Settled: true, Feed: 2, Position: 9, Partial: true},
		{Current: true, Settled: true, Feed: 2, Position: 9, Records: []*pb.Record{known, roster.ToWire(agent(2, 0))}},
	}}))
	t.Cleanup(server.Close)
	at := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	var views []roster.View
	client := roster.NewClient(roster.ClientConfig{
		Seeds: []netip.AddrPort{at}, Domain: "d", Logger: log.NewNopLogger(), Self: func() roster.Record { return agent(1, 0) },
		DeclaredVersion: func() uint64 { return 0 }, Update: func(v roster.View) { views = append(views, v) },
	})
	for range 3 {
		g.Expect(client.Report(t.Context())).To(gomega.BeTrue())
	}
	g.Expect(views).To(gomega.HaveLen(2))
	g.Expect(views[1].Settled).To(gomega.BeTrue())
	g.Expect(views[1].Records).To(gomega.HaveLen(2))
}

// While no control VM hears its leader, a process calls all of them, and responses of different feeds alternate. Each attempt
// must be followed by a pause, or all processes call without one when the control VMs are busiest.
func TestCrossedAnswersDoNotCauseCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls atomic.Int64
	startCounting := func() netip.AddrPort {
		server := httptest.NewServer(pb.NewRosterServer(countingServer{&calls}))
		t.Cleanup(server.Close)
		return server.Listener.Addr().(*net.TCPAddr).AddrPort()
	}
	client := roster.NewClient(roster.ClientConfig{
		Seeds: []netip.AddrPort{startCounting(), startCounting()}, Domain: "d", Logger: log.NewNopLogger(),
		Self: func() roster.Record { return agent(1, 0) }, DeclaredVersion: func() uint64 { return 1 }, Update: func(roster.View) {},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	client.Run(ctx)
	g.Expect(calls.Load()).To(gomega.BeNumerically(">", 0))
	g.Expect(calls.Load()).To(gomega.BeNumerically("<=", 2*(2000/50+1)), "at most two calls every 50 ms")
}

// countingServer is a control VM without a leader. It counts calls, and each response is a change of a new feed.
type countingServer struct{ calls *atomic.Int64 }

func (c countingServer) Sync(context.Context, *pb.SyncRequest) (*pb.SyncResponse, error) {
	return &pb.SyncResponse{Feed: uint64(c.calls.Add(1)), Partial: true, Declared: 1}, nil
}

func (countingServer) Exchange(context.Context, *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	return &pb.ExchangeResponse{}, nil
}

// A control VM must send invitations after its start, except when its roster is settled: then all processes know it already.
func TestInviter(t *testing.T) {
	g := gomega.NewWithT(t)
	process, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = process.Close() })
	self := netip.MustParseAddrPort("127.0.0.1:7700")
	invite := func(started time.Time) {
		store := roster.NewStore(started, noQuorum)
		inviter := &roster.Inviter{Store: store, Self: self, Logger: log.NewNopLogger()}
		ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond) // inviteDuration, and less than absentInterval
		defer cancel()
		inviter.Run(ctx, []netip.AddrPort{process.LocalAddr().(*net.UDPAddr).AddrPort()})
	}
	b := make([]byte, 100)
	invite(time.Now())
	n, err := process.Read(b)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d, err := passthrough.Decode(b[:n])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.Invite.AddrPort()).To(gomega.Equal(self))

	// The repeated invitations are in the socket buffer already; those of a second inviter would add to them.
	queued := func() (n int) {
		for process.SetReadDeadline(time.Now().Add(10*time.Millisecond)) == nil {
			if _, err := process.Read(b); err != nil {
				return n
			}
			n++
		}
		return n
	}
	g.Expect(queued()).To(gomega.BeNumerically(">", 0), "invitations repeat, since a process that is still starting misses the first")
	invite(time.Now().Add(-time.Minute)) // settled: settleTime has passed
	g.Expect(queued()).To(gomega.BeZero())
}

// A process that fell silent without leaving must be invited until it is heard again: all control VMs that it knew may have been
// replaced while it was cut off. One that stopped as planned must not be.
func TestAbsentProcessesAreInvited(t *testing.T) {
	g := gomega.NewWithT(t)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = socket.Close() })
	at := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	started := time.Now().Add(-time.Minute)
	store := roster.NewStore(started, noQuorum)
	process := roster.Record{Kind: roster.KindEntry, Address: at.Addr(), TunnelPort: at.Port()}
	stopped := agent(9, 0)
	stopped.Leaving = true
	store.Put(started, process, stopped)
	store.List(time.Now())
	g.Expect(store.Absent(time.Now())).To(gomega.Equal([]netip.AddrPort{at}))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	self := netip.MustParseAddrPort("127.0.0.1:7700")
	go (&roster.Inviter{Store: store, Self: self, Logger: log.NewNopLogger(), AbsentInterval: 10 * time.Millisecond}).Run(ctx, nil)
	b := make([]byte, 100)
	for range 2 {
		n, err := socket.Read(b)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		d, err := passthrough.Decode(b[:n])
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(d.Invite.AddrPort()).To(gomega.Equal(self))
	}
	store.Put(time.Now(), process)
	g.Expect(store.Absent(time.Now())).To(gomega.BeEmpty())
	store.List(time.Now().Add(2 * time.Hour))
	g.Expect(store.Absent(time.Now().Add(4*time.Hour))).To(gomega.BeEmpty(), "a process that never comes back is given up")
}
