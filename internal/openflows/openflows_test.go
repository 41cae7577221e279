package openflows

import (
	"context"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/plantainseam/plantainseam/internal/passthrough"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// The seed is fixed so that every run takes the same schedules; -rapid.checks and -rapid.seed override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	flag.Parse()
	os.Exit(m.Run())
}

var startTime = time.Unix(1_000_000, 0)

const agent = 0x0a000001

func flow(i int) passthrough.Flow {
	return passthrough.Flow{
		Caller: passthrough.Endpoint{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: uint16(40000 + i)},
		Front:  passthrough.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

func opened(numbers ...int) []*pb.OpenFlow {
	var out []*pb.OpenFlow
	for _, n := range numbers {
		out = append(out, toWire(passthrough.OpenFlow{Flow: flow(n), Acknowledged: uint32(n)}))
	}
	return out
}

// flows returns the flows in messages.
func flows(messages []*pb.OpenFlow) map[passthrough.Flow]bool {
	out := map[passthrough.Flow]bool{}
	for _, o := range allFromWire(messages) {
		out[o.Flow] = true
	}
	return out
}

func fullReport(born int64, numbers ...int) *pb.FlowReport {
	return &pb.FlowReport{Incarnation: uint64(born), Born: born, Number: 1, Opened: opened(numbers...)}
}

// Only a later incarnation may turn flows into orphans: a late report of an earlier incarnation must not reset the
// flows of the live one.
func TestOnlyALaterIncarnationMakesOrphans(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry()
	number, orphans := registry.Report(startTime, agent, fullReport(10, 1, 2))
	g.Expect(number).To(gomega.Equal(uint64(1)))
	g.Expect(orphans).To(gomega.BeEmpty())
	number, orphans = registry.Report(startTime, agent, fullReport(9, 3))
	g.Expect(number).To(gomega.BeZero())
	g.Expect(orphans).To(gomega.BeEmpty())
	_, orphans = registry.Report(startTime, agent, fullReport(11))
	g.Expect(flows(orphans)).To(gomega.Equal(flows(opened(1, 2))))

	// Orphans are returned until the agent has received them.
	_, orphans = registry.Report(startTime, agent, fullReport(11))
	g.Expect(orphans).To(gomega.HaveLen(2))
	has := fullReport(11)
	has.Orphans = 2
	_, orphans = registry.Report(startTime, agent, has)
	g.Expect(orphans).To(gomega.BeEmpty())
	registry.Expire(startTime.Add(flowTTL + time.Second))
	_, orphans = registry.Report(startTime, agent, fullReport(11))
	g.Expect(orphans).To(gomega.BeEmpty())
}

// Flows that another control VM knew before a common start must reach the agent, whichever control VM it reports to
// first.
func TestAdoptedFlows(t *testing.T) {
	list := func(born int64, numbers ...int) []*pb.OpenFlows {
		return []*pb.OpenFlows{{Agent: agent, Incarnation: uint64(born), Born: born, Flows: opened(numbers...)}}
	}
	for _, c := range []struct {
		name    string
		run     func(registry *Registry)
		orphans []*pb.OpenFlow
	}{
		{"before the agent reports", func(registry *Registry) { registry.MergeLoaded(startTime, list(10, 1)) }, opened(1)},
		{"after it has reported its new incarnation", func(registry *Registry) {
			registry.Report(startTime, agent, fullReport(11))
			registry.MergeLoaded(startTime, list(10, 1))
		}, opened(1)},
		{"from two control VMs", func(registry *Registry) {
			registry.MergeLoaded(startTime, list(10, 1))
			registry.MergeLoaded(startTime, list(10, 1, 2))
		}, opened(1, 2)},
		{"of two earlier incarnations", func(registry *Registry) {
			registry.MergeLoaded(startTime, list(10, 1))
			registry.MergeLoaded(startTime, list(9, 2))
		}, opened(1, 2)},
		{"of the live incarnation", func(registry *Registry) { registry.MergeLoaded(startTime, list(11, 1)) }, nil},
		{"of the live incarnation that has reported", func(registry *Registry) {
			registry.Report(startTime, agent, fullReport(11, 3))
			registry.MergeLoaded(startTime, list(11, 1))
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			registry := NewRegistry()
			c.run(registry)
			_, orphans := registry.Report(startTime, agent, fullReport(11))
			g.Expect(flows(orphans)).To(gomega.Equal(flows(c.orphans)))
		})
	}
}

// The memory and the file of a control VM must stay bounded for any number of flows, and removed flows must make room
// for others.
func TestRegistryIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry()
	numbers := make([]int, maxFlows+10)
	for i := range numbers {
		numbers[i] = i
	}
	report := fullReport(10)
	for i := range numbers {
		f := flow(i)
		f.Front.Port = uint16(i >> 16)
		report.Opened = append(report.Opened, toWire(passthrough.OpenFlow{Flow: f}))
	}
	registry.Report(startTime, agent, report)
	g.Expect(registry.flows).To(gomega.Equal(maxFlows))
	registry.Report(startTime, agent, &pb.FlowReport{Incarnation: 10, Born: 10, From: 1, Number: 2, Ended: report.Opened[:10]})
	g.Expect(registry.flows).To(gomega.Equal(maxFlows - 10))
	registry.Expire(startTime.Add(flowTTL + time.Second))
	g.Expect(registry.flows).To(gomega.BeZero())
}

// The file must be usable after a restart, and a damaged file must be ignored.
func TestFileStore(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	registry := NewRegistry()
	registry.Report(time.Now(), agent, fullReport(10, 1, 2))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		(&FileStore{Directory: dir, Registry: registry, Logger: log.NewNopLogger()}).Run(ctx)
	}()
	path := filepath.Join(dir, fileName)
	g.Eventually(func() error { _, err := os.Stat(path); return err }, time.Minute, 10*time.Millisecond).Should(gomega.Succeed())
	cancel()
	<-done

	restarted := func() (*Registry, map[passthrough.Flow]bool) {
		registry := NewRegistry()
		(&FileStore{Directory: dir, Registry: registry, Logger: log.NewNopLogger()}).Load(startTime)
		_, orphans := registry.Report(startTime, agent, fullReport(11))
		return registry, flows(orphans)
	}
	registry, orphans := restarted()
	g.Expect(orphans).To(gomega.Equal(flows(opened(1, 2))))
	peer := netip.MustParseAddrPort("10.0.0.9:7700")
	g.Expect(registry.Loaded(peer)).To(gomega.HaveLen(1))
	registry.ConfirmLoaded(peer)
	g.Expect(registry.Loaded(peer)).To(gomega.BeEmpty())

	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	content[len(content)-1] ^= 1
	g.Expect(os.WriteFile(path, content, 0o600)).To(gomega.Succeed())
	_, orphans = restarted()
	g.Expect(orphans).To(gomega.BeEmpty())
}

// simulatedUpstream simulates the flows of an agent's upstream and the changes that its agent reports.
type simulatedUpstream struct {
	incarnation Incarnation
	open        map[int]bool
	reported    map[int]bool
	agentStarts uint64 // starts of the agent
}

// startAgent starts a new agent process.
func (u *simulatedUpstream) startAgent() *Reporter {
	u.agentStarts++
	u.reported = map[int]bool{}
	return NewReporter(u.changes, u.agentStarts<<sequenceBits)
}

func (u *simulatedUpstream) changes(all bool) (opened []passthrough.OpenFlow, ended []passthrough.Flow) {
	for n := range u.open {
		if all || !u.reported[n] {
			opened = append(opened, passthrough.OpenFlow{Flow: flow(n), Acknowledged: uint32(n)})
		}
	}
	for n := range u.reported {
		if !u.open[n] && !all {
			ended = append(ended, flow(n))
		}
	}
	u.reported = map[int]bool{}
	for n := range u.open {
		u.reported[n] = true
	}
	return opened, ended
}

// Reports and responses get lost, agents change their control VM, and agents and control VMs restart. A control VM must
// hold exactly the open flows of the last report that it acknowledged, and an agent must receive only flows of earlier
// incarnations, each once.
func TestReportsUnderLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := []*Registry{NewRegistry(), NewRegistry()}
		addresses := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
		u := &simulatedUpstream{incarnation: Incarnation{10, 10}, open: map[int]bool{}, reported: map[int]bool{}}
		reporter := u.startAgent()
		next, inUse := 0, 0
		earlier := map[passthrough.Flow]bool{} // orphans that the agent may receive
		given := map[passthrough.Flow]bool{}
		sync := func(t *rapid.T, loseCall, loseAnswer bool) {
			message := reporter.Next(u.incarnation, addresses[inUse])
			if loseCall {
				return
			}
			report := proto.Clone(message).(*pb.FlowReport)
			number, orphans := registries[inUse].Report(startTime, agent, report)
			if loseAnswer {
				return
			}
			for _, o := range reporter.HandleResponse(addresses[inUse], &pb.SyncResponse{Flows: number, Orphans: orphans}) {
				if given[o.Flow] || !earlier[o.Flow] {
					t.Fatalf("flow %s was given twice or is open", o.Flow)
				}
				given[o.Flow] = true
			}
			if number != report.GetNumber() {
				return
			}
			held := registries[inUse].agents[agent].flows
			if len(held) != len(u.open) {
				t.Fatalf("%d flows are open, the control VM holds %d", len(u.open), len(held))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) { u.open[next] = true; next++ },
			"end": func(*rapid.T) {
				for n := range u.open {
					delete(u.open, n)
					return
				}
			},
			"report":      func(t *rapid.T) { sync(t, false, false) },
			"lost call":   func(t *rapid.T) { sync(t, true, false) },
			"lost answer": func(t *rapid.T) { sync(t, false, true) },
			"change VM":   func(*rapid.T) { inUse = 1 - inUse },
			"VM restarts": func(*rapid.T) { registries[inUse] = NewRegistry() },
			"agent starts": func(*rapid.T) {
				reporter, given = u.startAgent(), map[passthrough.Flow]bool{}
			},
			"upstream starts": func(*rapid.T) {
				for n := range u.open {
					earlier[flow(n)] = true
				}
				for _, registry := range registries {
					if h := registry.agents[agent]; h != nil {
						for f := range h.flows {
							earlier[f] = true
						}
					}
				}
				u.incarnation = Incarnation{u.incarnation.ID + 1, u.incarnation.Born + 1}
				u.open, u.reported = map[int]bool{}, map[int]bool{}
				given = map[passthrough.Flow]bool{}
			},
		})
	})
}
