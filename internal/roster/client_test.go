package roster_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/roster"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// fakeDeclarations implements roster.Declarations. Tests set whether the control VM hears its leader.
type fakeDeclarations struct {
	current atomic.Bool
	version uint64
}

func (s *fakeDeclarations) Latest() (uint64, []byte) { return s.version, []byte("content") }
func (s *fakeDeclarations) Current() bool            { return s.current.Load() }

// startControl starts a control VM that holds a declaration of the given version.
func startControl(t *testing.T, version uint64, current bool) (*fakeDeclarations, netip.AddrPort) {
	d := &fakeDeclarations{version: version}
	d.current.Store(current)
	mux := http.NewServeMux()
	mux.Handle(pb.RosterPathPrefix, pb.NewRosterServer(roster.NewServer(roster.NewStore(time.Now(), noQuorum), d, time.Now)))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return d, server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// silentListener returns an address that accepts connections and never responds.
func silentListener(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// A process must find the control VM that hears its leader although others are silent or cut off from the leader, and must
// switch when that control VM loses its leader. Otherwise the process would keep an old declaration.
func TestClientFindsACurrentControlVM(t *testing.T) {
	g := gomega.NewWithT(t)
	behind, behindAt := startControl(t, 3, false)
	first, firstAt := startControl(t, 15, true)
	var last roster.View
	client := roster.NewClient(roster.ClientConfig{
		Seeds: []netip.AddrPort{silentListener(t), behindAt, firstAt}, RPCPort: firstAt.Port(), Domain: "d",
		Self: func() roster.Record { return agent(1, 0) }, DeclaredVersion: func() uint64 { return 0 },
		Update: func(v roster.View) { last = v }, Logger: log.NewNopLogger(),
	})
	g.Eventually(func() bool { return client.Report(t.Context()) }, time.Minute, 10*time.Millisecond).Should(gomega.BeTrue())
	g.Expect(last.Version).To(gomega.Equal(uint64(15)))
	first.current.Store(false)
	g.Expect(client.Report(t.Context())).To(gomega.BeFalse())
	behind.current.Store(true)
	g.Eventually(func() bool { return client.Report(t.Context()) && last.From == behindAt }, time.Minute, 10*time.Millisecond).
		Should(gomega.BeTrue())
}

// A control VM that starts after a power loss must be reached soon. TCP repeats a lost SYN only after a second, so a
// connection attempt must time out early: agents that had begun an attempt of 300 ms just before the control VMs started
// were missing from the roster for that long.
func TestConnectionsAreTriedAgainSoon(t *testing.T) {
	const attempts = 5
	limits := make(chan time.Duration, attempts)
	client := roster.NewClient(roster.ClientConfig{
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}, Domain: "d", Logger: log.NewNopLogger(),
		Self: func() roster.Record { return agent(1, 0) }, DeclaredVersion: func() uint64 { return 0 }, Update: func(roster.View) {},
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			deadline, _ := ctx.Deadline()
			limits <- time.Until(deadline)
			return nil, errors.New("no answer")
		},
	})
	for range attempts {
		client.Report(t.Context())
		if limit := <-limits; limit > 120*time.Millisecond {
			t.Fatalf("connection attempt has a timeout of %v, want at most 120ms", limit)
		}
	}
}
