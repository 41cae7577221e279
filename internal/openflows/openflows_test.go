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

var began = time.Unix(1_000_000, 0)

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

func whole(born int64, numbers ...int) *pb.FlowReport {
	return &pb.FlowReport{Incarnation: uint64(born), Born: born, Number: 1, Opened: opened(numbers...)}
}

// Only a later start makes flows orphans: a report of an earlier start that arrives late must not reset the flows of the
// one that lives.
func TestOnlyALaterStartMakesOrphans(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBook()
	number, orphans := b.Report(began, agent, whole(10, 1, 2))
	g.Expect(number).To(gomega.Equal(uint64(1)))
	g.Expect(orphans).To(gomega.BeEmpty())
	number, orphans = b.Report(began, agent, whole(9, 3))
	g.Expect(number).To(gomega.BeZero())
	g.Expect(orphans).To(gomega.BeEmpty())
	_, orphans = b.Report(began, agent, whole(11))
	g.Expect(flows(orphans)).To(gomega.Equal(flows(opened(1, 2))))

	// Told again until the agent has them, and no longer.
	_, orphans = b.Report(began, agent, whole(11))
	g.Expect(orphans).To(gomega.HaveLen(2))
	has := whole(11)
	has.Orphans = 2
	_, orphans = b.Report(began, agent, has)
	g.Expect(orphans).To(gomega.BeEmpty())
	b.Expire(began.Add(expiry + time.Second))
	_, orphans = b.Report(began, agent, whole(11))
	g.Expect(orphans).To(gomega.BeEmpty())
}

// What another control VM knew before a common start has to reach the agent whichever of them is asked first.
func TestAdoptedFlows(t *testing.T) {
	list := func(born int64, numbers ...int) []*pb.OpenFlows {
		return []*pb.OpenFlows{{Agent: agent, Incarnation: uint64(born), Born: born, Flows: opened(numbers...)}}
	}
	for _, c := range []struct {
		name    string
		play    func(b *Book)
		orphans []*pb.OpenFlow
	}{
		{"before the agent reports", func(b *Book) { b.Adopt(began, list(10, 1)) }, opened(1)},
		{"after it has reported its new start", func(b *Book) {
			b.Report(began, agent, whole(11))
			b.Adopt(began, list(10, 1))
		}, opened(1)},
		{"from two control VMs", func(b *Book) {
			b.Adopt(began, list(10, 1))
			b.Adopt(began, list(10, 1, 2))
		}, opened(1, 2)},
		{"of two earlier starts", func(b *Book) {
			b.Adopt(began, list(10, 1))
			b.Adopt(began, list(9, 2))
		}, opened(1, 2)},
		{"of the start that lives", func(b *Book) { b.Adopt(began, list(11, 1)) }, nil},
		{"of the start that lives and has reported", func(b *Book) {
			b.Report(began, agent, whole(11, 3))
			b.Adopt(began, list(11, 1))
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := NewBook()
			c.play(b)
			_, orphans := b.Report(began, agent, whole(11))
			g.Expect(flows(orphans)).To(gomega.Equal(flows(c.orphans)))
		})
	}
}

// The memory and the file of a control VM stay bounded however many flows there are, and what is forgotten makes room.
func TestBookIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBook()
	numbers := make([]int, maxFlows+10)
	for i := range numbers {
		numbers[i] = i
	}
	report := whole(10)
	for i := range numbers {
		f := flow(i)
		f.Front.Port = uint16(i >> 16)
		report.Opened = append(report.Opened, toWire(passthrough.OpenFlow{Flow: f}))
	}
	b.Report(began, agent, report)
	g.Expect(b.flows).To(gomega.Equal(maxFlows))
	b.Report(began, agent, &pb.FlowReport{Incarnation: 10, Born: 10, From: 1, Number: 2, Ended: report.Opened[:10]})
	g.Expect(b.flows).To(gomega.Equal(maxFlows - 10))
	b.Expire(began.Add(expiry + time.Second))
	g.Expect(b.flows).To(gomega.BeZero())
}

// A file must survive the process, and a damaged one must not be taken.
func TestKeeper(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	b := NewBook()
	b.Report(time.Now(), agent, whole(10, 1, 2))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		(&Keeper{Directory: dir, Book: b, Logger: log.NewNopLogger()}).Run(ctx)
	}()
	path := filepath.Join(dir, fileName)
	g.Eventually(func() error { _, err := os.Stat(path); return err }, time.Minute, 10*time.Millisecond).Should(gomega.Succeed())
	cancel()
	<-done

	restarted := func() (*Book, map[passthrough.Flow]bool) {
		book := NewBook()
		(&Keeper{Directory: dir, Book: book, Logger: log.NewNopLogger()}).Load(began)
		_, orphans := book.Report(began, agent, whole(11))
		return book, flows(orphans)
	}
	book, orphans := restarted()
	g.Expect(orphans).To(gomega.Equal(flows(opened(1, 2))))
	peer := netip.MustParseAddrPort("10.0.0.9:7700")
	g.Expect(book.Given(peer)).To(gomega.HaveLen(1))
	book.Taken(peer)
	g.Expect(book.Given(peer)).To(gomega.BeEmpty())

	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	content[len(content)-1] ^= 1
	g.Expect(os.WriteFile(path, content, 0o600)).To(gomega.Succeed())
	_, orphans = restarted()
	g.Expect(orphans).To(gomega.BeEmpty())
}

// upstreamFlows plays the flows of an agent's upstream and the changes that its machine reports.
type upstreamFlows struct {
	start     Start
	open      map[int]bool
	told      map[int]bool
	processes uint64 // starts of the agent
}

// process starts the agent.
func (u *upstreamFlows) process() *Reporter {
	u.processes++
	u.told = map[int]bool{}
	return NewReporter(u.changes, u.processes<<numberBits)
}

func (u *upstreamFlows) changes(all bool) (opened []passthrough.OpenFlow, ended []passthrough.Flow) {
	for n := range u.open {
		if all || !u.told[n] {
			opened = append(opened, passthrough.OpenFlow{Flow: flow(n), Acknowledged: uint32(n)})
		}
	}
	for n := range u.told {
		if !u.open[n] && !all {
			ended = append(ended, flow(n))
		}
	}
	u.told = map[int]bool{}
	for n := range u.open {
		u.told[n] = true
	}
	return opened, ended
}

// Reports and answers get lost, agents change their control VM, and agents and control VMs restart. A control VM must never
// take a flow for open that ended before a report it has acknowledged, nor lack one; and an agent must get exactly the flows
// of the earlier start, each once.
func TestReportsUnderLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Book{NewBook(), NewBook()}
		addresses := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
		u := &upstreamFlows{start: Start{10, 10}, open: map[int]bool{}, told: map[int]bool{}}
		reporter := u.process()
		next, inUse := 0, 0
		earlier := map[passthrough.Flow]bool{} // orphans that the agent may be given
		given := map[passthrough.Flow]bool{}
		sync := func(t *rapid.T, loseCall, loseAnswer bool) {
			message := reporter.Next(u.start, addresses[inUse])
			if loseCall {
				return
			}
			report := proto.Clone(message).(*pb.FlowReport)
			number, orphans := books[inUse].Report(began, agent, report)
			if loseAnswer {
				return
			}
			for _, o := range reporter.Answer(addresses[inUse], &pb.SyncResponse{Flows: number, Orphans: orphans}) {
				if given[o.Flow] || !earlier[o.Flow] {
					t.Fatalf("flow %s was given twice or is open", o.Flow)
				}
				given[o.Flow] = true
			}
			if number != report.GetNumber() {
				return
			}
			held := books[inUse].agents[agent].flows
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
			"VM restarts": func(*rapid.T) { books[inUse] = NewBook() },
			"agent starts": func(*rapid.T) {
				reporter, given = u.process(), map[passthrough.Flow]bool{}
			},
			"upstream starts": func(*rapid.T) {
				for n := range u.open {
					earlier[flow(n)] = true
				}
				for _, b := range books {
					if h := b.agents[agent]; h != nil {
						for f := range h.flows {
							earlier[f] = true
						}
					}
				}
				u.start = Start{u.start.Incarnation + 1, u.start.Born + 1}
				u.open, u.told = map[int]bool{}, map[int]bool{}
				given = map[passthrough.Flow]bool{}
			},
		})
	})
}
