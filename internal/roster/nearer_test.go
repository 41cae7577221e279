package roster_test

import (
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/roster"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// startControlWithRoster starts a control VM at a loopback address whose roster holds control VMs: domains maps their
// addresses to failure domains. Port 0 selects a free port.
func startControlWithRoster(t *testing.T, ip string, port uint16, current bool, domains map[string]string) netip.AddrPort {
	store := roster.NewStore(time.Now().Add(-time.Minute), noQuorum)
	for address, domain := range domains {
		store.Put(time.Now(), roster.Record{Kind: roster.KindControl, Address: netip.MustParseAddr(address), FailureDomain: domain})
	}
	d := &fakeDeclarations{version: 1}
	d.current.Store(current)
	server := httptest.NewUnstartedServer(pb.NewRosterServer(roster.NewServer(store, d, time.Now)))
	l, err := net.Listen("tcp4", netip.AddrPortFrom(netip.MustParseAddr(ip), port).String())
	if err != nil {
		t.Fatal(err)
	}
	_ = server.Listener.Close()
	server.Listener = l
	server.Start()
	t.Cleanup(server.Close)
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// After a common start the first control VM serves most processes, whichever failure domain it is in: with 300 machines, the
// busiest control VM carried 1,534 kB a second and the median one 511 kB. A process must switch to a control VM in its own
// failure domain, unless that control VM does not hear its leader.
func TestProcessesMoveToANearControlVM(t *testing.T) {
	domains := map[string]string{"127.0.0.1": "far", "127.0.0.2": "near"}
	for _, c := range []struct {
		name    string
		domain  string
		current bool
		moves   bool
	}{
		{"near and current", "near", true, true},
		{"near without a leader", "near", false, false},
		{"none in the domain", "elsewhere", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			farAt := startControlWithRoster(t, "127.0.0.1", 0, true, domains)
			nearAt := startControlWithRoster(t, "127.0.0.2", farAt.Port(), c.current, domains)
			var last roster.View
			client := roster.NewClient(roster.ClientConfig{
				Seeds: []netip.AddrPort{farAt}, RPCPort: farAt.Port(), Domain: c.domain, Logger: log.NewNopLogger(),
				Self: func() roster.Record { return agent(1, 0) }, DeclaredVersion: func() uint64 { return 0 },
				Update: func(v roster.View) { last = v }, NearerAfter: time.Nanosecond,
			})
			report := func() bool { return client.Report(t.Context()) }
			g.Eventually(report, time.Minute, time.Millisecond).Should(gomega.BeTrue())
			if c.moves {
				from := func() netip.AddrPort { report(); return last.From }
				g.Eventually(from, time.Minute, time.Millisecond).Should(gomega.Equal(nearAt))
				return
			}
			for range 5 {
				report()
			}
			g.Expect(last.From).To(gomega.Equal(farAt))
		})
	}
}
