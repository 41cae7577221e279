package authority

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/plantainseam/plantainseam/internal/roster"
)

func process(kind roster.Kind, last byte, version uint64) roster.Record {
	return roster.Record{Kind: kind, Address: netip.AddrFrom4([4]byte{10, 0, 0, last}), Version: version}
}

// A declaration must count as in force everywhere only once the last live process has it, and must be measured once. A process
// that is leaving or silent must not block the measurement.
func TestSpreadEndsWithTheLastLiveProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	entry, agent := process(roster.KindEntry, 1, 6), process(roster.KindAgent, 2, 7)
	stopping, silent := process(roster.KindAgent, 3, 6), process(roster.KindAgent, 4, 6)
	stopping.Leaving, silent.Age = true, liveAge
	control := process(roster.KindControl, 5, 0)
	records := []roster.Record{entry, agent, stopping, silent, control}
	var s spreadTimer
	_, ok := s.update(at(0), 0, nil)
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = s.update(at(100), 7, records)
	g.Expect(ok).To(gomega.BeFalse())
	records[0].Version = 7
	span, ok := s.update(at(600), 7, records)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(span).To(gomega.Equal(500 * time.Millisecond))
	_, ok = s.update(at(700), 7, records)
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = s.update(at(800), 8, records)
	g.Expect(ok).To(gomega.BeFalse())
}

// The load ratio must include only upstreams that take new flows. A draining one would hide the imbalance of the others.
func TestLoadRatios(t *testing.T) {
	g := gomega.NewWithT(t)
	load := func(last byte, state roster.State, flows, slots uint32) roster.Record {
		r := process(roster.KindAgent, last, 0)
		r.Service, r.State, r.Flows, r.Slots = "s", state, flows, slots
		return r
	}
	g.Expect(loadRatios([]roster.Record{
		load(1, roster.StateActive, 30, 3), load(2, roster.StateActive, 20, 2), load(3, roster.StateActive, 40, 3),
		load(4, roster.StateDraining, 90, 3),
	})).To(gomega.HaveKeyWithValue("s", gomega.BeNumerically("~", 40./3/(90./8), 1e-9)))
	g.Expect(loadRatios([]roster.Record{load(1, roster.StateActive, 0, 3)})).To(gomega.BeEmpty())
}

// Every metric that docs/OPERATIONS.md lists for control VMs must be exported, even before the first declaration.
func TestMetricsOfAControlVM(t *testing.T) {
	g := gomega.NewWithT(t)
	a := New(Config{Name: "c", Self: netip.MustParseAddrPort("127.0.0.1:1"), DataDir: t.TempDir(), Logger: log.NewNopLogger()})
	a.instruments.declare.WithLabelValues(codeLabel(nil)).Observe(.01)
	r := prometheus.NewPedanticRegistry()
	a.Register(r)
	n, err := testutil.GatherAndCount(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.BeNumerically(">=", 11))
	g.Expect(testutil.GatherAndCompare(r, strings.NewReader(`
# HELP plantainseam_agents Agents in the roster.
# TYPE plantainseam_agents gauge
plantainseam_agents{state="active"} 0
plantainseam_agents{state="draining"} 0
plantainseam_agents{state="failing"} 0
plantainseam_agents{state="unheard"} 0
plantainseam_agents{state="vacant"} 0
`), "plantainseam_agents")).To(gomega.Succeed())
}
