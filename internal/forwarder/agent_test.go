package forwarder

import (
	"net/netip"
	"testing"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/roster"
	"github.com/plantainseam/plantainseam/internal/upstream"
)

// An agent that stops before it has heard an upstream must not be searched for flows: nobody would return the packets, and
// callers of lost flows would wait until it is forgotten. One beside a living upstream restarts and must be searched.
// (Found on khuree-swatch-grown trouble-1: no reset for 6 s after a loss of all power, while removed VMs stopped.)
func TestStoppingAgentsAreVacantUnlessTheyHaveAnUpstream(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard bool
		state roster.State
	}{{"no upstream heard", false, roster.StateVacant}, {"upstream heard", true, roster.StateActive}} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			any := netip.MustParseAddrPort("127.0.0.1:0")
			a, err := NewAgent(Config{
				Name: "agent", Domain: "d", Tunnel: any, Outbound: any, Logger: log.NewNopLogger(), FlowLog: log.NewNopLogger(),
				UpstreamSilence: 1 << 40,
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _, _ = a.conn.Close(), a.outbound.Close() })
			if c.heard {
				a.Announce(upstream.Announcement{ID: "u", Born: 1, Sequence: 1, Service: "s", Slots: 3})
			}
			a.leaving = true
			g.Expect(a.record().State).To(gomega.Equal(c.state))
			g.Expect(a.record().Leaving).To(gomega.BeTrue())
		})
	}
}
