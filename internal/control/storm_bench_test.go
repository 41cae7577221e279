package control_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/configpb"
	"github.com/plantainseam/plantainseam/standin/rpcload"
)

const (
	fetchPath         = configpb.ConfigurationPathPrefix + "Fetch"
	longPollWait      = 30 * time.Second
	longPollSetupTime = time.Second // lets all long polls reach the server
	changesPerRun     = 3
	restartsPerDay    = 1800
	hostsPerDomain    = 950
)

// registerHosts commits every host of the target to the catalog in one command, without announcement calls.
func (vm *benchVM) registerHosts(b *testing.B) {
	b.Helper()
	services := servicesByUpstream()
	var hosts []*catalogpb.Host
	for i := range rpcload.TargetNodes {
		req, _ := benchAnnouncement(i, services[i])
		hosts = append(hosts, &catalogpb.Host{
			Host: req.Host, Incarnation: req.Incarnation, FailureDomain: req.FailureDomain, Tunnel: req.Tunnel, Rpc: req.Rpc,
			Entry: req.Entry, Carries: req.Carries, Slots: req.Slots, MaxConnections: req.MaxConnections,
		})
	}
	vm.commit(b, &catalogpb.Command{Do: &catalogpb.Command_Announce{Announce: &catalogpb.Announce{Hosts: hosts}}})
}

// commit proposes a command and waits until the server publishes the resulting revision.
func (vm *benchVM) commit(b *testing.B, cmd *catalogpb.Command) {
	b.Helper()
	raw, err := catalog.Encode(cmd)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := vm.log.Propose(b.Context(), raw); err != nil {
		b.Fatal(err)
	}
	for vm.server.Current().Revision < vm.state.Config().Revision {
		time.Sleep(time.Millisecond)
	}
}

// pollers holds hosts that long-poll for the next revision, and the outcome of their polls.
type pollers struct {
	hosts   []*rpcload.Host
	request []byte // shared: without TLS it carries the identity of the first host, which a fetch ignores
	group   sync.WaitGroup
	mu      sync.Mutex
	bytes   int
	latest  *configpb.FetchResponse
	err     error
}

// startPolls starts one long poll per host.
func (p *pollers) startPolls() {
	p.bytes = 0
	for _, h := range p.hosts {
		p.group.Add(1)
		go func() {
			defer p.group.Done()
			body, wire, err := h.Call(p.request)
			res := &configpb.FetchResponse{}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.bytes += wire
			if err == nil && p.latest == nil {
				err = proto.Unmarshal(body, res)
				p.latest = res
			}
			if err != nil {
				p.err = err
			}
		}()
	}
}

// BenchmarkChange measures one configuration change at the target sizes, from its proposal until the last long-polling
// client of one control VM has the response. The bytes are those of a request and its response; the processor time
// covers both ends, without decoding at the clients.
func BenchmarkChange(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, n := range []int{100, 1000, rpcload.TargetNodes} {
			b.Run(fmt.Sprintf("tls=%t/clients=%d", secure, n), func(b *testing.B) {
				for range b.N {
					benchChange(b, secure, n)
				}
			})
		}
	}
}

func benchChange(b *testing.B, secure bool, n int) {
	var a *rpcload.Authority
	if secure {
		a = rpcload.NewAuthority(b)
	}
	vm := newBenchVM(b, a.Credentials(b))
	vm.registerHosts(b)
	p := &pollers{}
	for i := range n {
		p.hosts = append(p.hosts, rpcload.NewHost(b, a, fmt.Sprintf("h%d", i), peer.RoleEntry))
	}
	err := rpcload.Each(p.hosts, rpcload.Workers, func(_ int, h *rpcload.Host) error { return h.Dial(vm.address) })
	if err != nil {
		b.Fatal(err)
	}
	defer func() {
		for _, h := range p.hosts {
			h.Close()
		}
	}()
	res, err := vm.server.Fetch(b.Context(), &configpb.FetchRequest{})
	if err != nil {
		b.Fatal(err)
	}
	before := rpcload.Memory()
	var elapsed, cpuUsed, pollCPU time.Duration
	bytes := 0
	for i := range changesPerRun {
		since := &configpb.FetchRequest{Since: res.Revision, Digest: res.Digest, Host: "host-00000", WaitMs: uint32(longPollWait.Milliseconds())}
		p.request, p.latest = p.hosts[0].Request(b, vm.address, fetchPath, since), nil
		cpu := rpcload.CPUTime()
		p.startPolls()
		time.Sleep(longPollSetupTime)
		pollCPU += rpcload.CPUTime() - cpu
		if i == 0 {
			b.ReportMetric((rpcload.Memory()-before)/float64(n), "B/client")
		}
		start := time.Now()
		cpu = rpcload.CPUTime()
		vm.commit(b, declareLost(i*rpcload.MembersPerService))
		p.group.Wait()
		elapsed += time.Since(start)
		cpuUsed += rpcload.CPUTime() - cpu
		bytes += p.bytes
		if p.err != nil || p.latest.Delta == nil {
			b.Fatal("no delta", p.err)
		}
		res = p.latest
	}
	b.ReportMetric(float64(elapsed.Microseconds())/1000/changesPerRun, "ms-to-all")
	b.ReportMetric(float64(cpuUsed.Microseconds())/1000/changesPerRun, "cpu-ms/change")
	b.ReportMetric(float64(pollCPU.Microseconds())/changesPerRun/float64(n), "cpu-us/poll")
	b.ReportMetric(float64(bytes)/changesPerRun/float64(n), "B/change/node")
}

// declareLost returns the command that declares upstream i lost, which changes one host and its services.
func declareLost(i int) *catalogpb.Command {
	loss := &catalogpb.Loss{Host: upstreamName(i), Incarnation: 1_800_000_000_000, Observers: []string{"bench"}}
	return &catalogpb.Command{Do: &catalogpb.Command_Lost{Lost: &catalogpb.DeclareLost{Hosts: []*catalogpb.Loss{loss}}}}
}

// BenchmarkRestarts measures the restarts of one day in a single burst: 1,800 processes without a stored revision dial
// with TLS and fetch a full snapshot of the target sizes from one control VM.
func BenchmarkRestarts(b *testing.B) {
	for range b.N {
		a := rpcload.NewAuthority(b)
		vm := newBenchVM(b, a.Credentials(b))
		vm.registerHosts(b)
		var hosts []*rpcload.Host
		for i := range restartsPerDay {
			hosts = append(hosts, rpcload.NewHost(b, a, fmt.Sprintf("h%d", i), peer.RoleEntry))
		}
		request := hosts[0].Request(b, vm.address, fetchPath, &configpb.FetchRequest{Host: "host-00000"})
		sizes := make([]int, len(hosts))
		start, cpu := time.Now(), rpcload.CPUTime()
		err := rpcload.Each(hosts, rpcload.Workers, func(i int, h *rpcload.Host) (err error) {
			defer h.Close()
			if err := h.Dial(vm.address); err != nil {
				return err
			}
			_, sizes[i], err = h.Call(request)
			h.Buf = nil
			return err
		})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(time.Since(start).Seconds(), "s-to-all")
		b.ReportMetric(float64((rpcload.CPUTime()-cpu).Microseconds())/1000/restartsPerDay, "cpu-ms/fetch")
		b.ReportMetric(float64(sizes[0]), "B/fetch")
	}
}

// BenchmarkDomainReturns measures a failure domain whose 950 hosts restart at once: new connections with TLS, new
// incarnations, and a lease for each, at a leader that knows all hosts of the target.
func BenchmarkDomainReturns(b *testing.B) {
	for range b.N {
		a := rpcload.NewAuthority(b)
		vm := newBenchVM(b, a.Credentials(b))
		vm.registerHosts(b)
		f := &benchFleet{vm: vm}
		services := servicesByUpstream()
		for i := 0; len(f.hosts) < hostsPerDomain; i += targetDomains {
			req, role := benchAnnouncement(i, services[i])
			req.Incarnation++
			f.hosts, f.announcements = append(f.hosts, rpcload.NewHost(b, a, req.Host, role)), append(f.announcements, req)
		}
		f.encode(b)
		before := vm.state.Config().Revision
		start, cpu := time.Now(), rpcload.CPUTime()
		if err := rpcload.Each(f.hosts, len(f.hosts), f.lease); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(time.Since(start).Seconds(), "s-to-all-leased")
		b.ReportMetric((rpcload.CPUTime() - cpu).Seconds(), "cpu-s")
		b.ReportMetric(float64(vm.state.Config().Revision-before), "revisions")
		f.close()
	}
}
