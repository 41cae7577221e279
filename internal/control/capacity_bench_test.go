package control_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/control"
	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/configpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
	"github.com/plantainseam/plantainseam/standin/rpcload"
)

const targetDomains = 7 // failure domains of the target

const loadDuration = time.Second // minimum length of the closed-loop load of measureLoad

// benchVM is the leading control VM of a one-member in-memory log, with its twirp servers on loopback.
type benchVM struct {
	address string
	server  *dissemination.Server
	state   *control.State
	log     *replica
}

func newBenchVM(b *testing.B, credentials *peer.Credentials) *benchVM {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := newMemLog(1, time.Now)
	rep := l.replicas[0]
	restoreServices(b, rep.state)
	vm := &benchVM{server: dissemination.NewServer(), state: rep.state, log: rep}
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	c := control.New(control.Config{Log: rep, Members: rep, State: rep.state, Server: vm.server, SystemKey: key})
	go c.Run(ctx)
	mux := http.NewServeMux()
	mux.Handle(memberpb.MembershipPathPrefix, memberpb.NewMembershipServer(control.NewMembershipServer(c)))
	mux.Handle(configpb.ConfigurationPathPrefix, configpb.NewConfigurationServer(vm.server))
	rules := peer.Rules{
		memberpb.MembershipPathPrefix:    {peer.RoleEntry, peer.RoleUpstream},
		configpb.ConfigurationPathPrefix: {peer.RoleEntry, peer.RoleUpstream},
	}
	web := peer.NewServer(peer.ServerOptions{Credentials: credentials, Rules: rules}, mux)
	listener := rpcload.Listen(b)
	vm.address = listener.Addr().String()
	go func() { _ = peer.Serve(web, listener) }()
	b.Cleanup(func() {
		cancel()
		_ = web.Close()
	})
	return vm
}

func upstreamName(i int) string { return fmt.Sprintf("host-%05d", i) }

// restoreServices restores a catalog with the services of the target size and no hosts.
func restoreServices(b *testing.B, s *control.State) {
	b.Helper()
	state := &catalogpb.State{Revision: 1, LastService: rpcload.TargetServices}
	for id := 1; id <= rpcload.TargetServices; id++ {
		svc := &catalogpb.Service{
			Id: uint32(id), Name: fmt.Sprintf("service-%04d", id), Kind: 1, Generation: 1, QueueLimit: 64,
			Frontend: fmt.Sprintf("10.200.%d.%d:80", id/250, id%250+1),
		}
		for j := range rpcload.MembersPerService {
			svc.Rights = append(svc.Rights, upstreamName((id*rpcload.MembersPerService+j)%rpcload.TargetUpstreams))
		}
		state.Services = append(state.Services, svc)
	}
	raw, err := proto.Marshal(state)
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Restore(raw); err != nil {
		b.Fatal(err)
	}
}

// servicesByUpstream returns the service IDs of each upstream, by the number of the upstream.
func servicesByUpstream() map[int][]uint32 {
	out := map[int][]uint32{}
	for id := 1; id <= rpcload.TargetServices; id++ {
		for j := range rpcload.MembersPerService {
			host := (id*rpcload.MembersPerService + j) % rpcload.TargetUpstreams
			out[host] = append(out[host], uint32(id))
		}
	}
	return out
}

// benchAnnouncement returns the announcement and the role of host i. An upstream reports the members that it shares a
// service with, its load and its totals. Of 6,670 hosts, 770 are entries.
func benchAnnouncement(i int, services []uint32) (req *memberpb.AnnounceRequest, role peer.Role) {
	req = &memberpb.AnnounceRequest{
		Incarnation: 1_800_000_000_000, Revision: 1, Sequence: 1, FailureDomain: fmt.Sprintf("domain-%d", i%targetDomains),
		Tunnel: fmt.Sprintf("10.%d.%d.%d:6081", i>>16, i>>8&255, i&255),
		Rpc:    fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
	}
	if i%rpcload.TargetNodes >= rpcload.TargetUpstreams {
		req.Host, req.Entry = fmt.Sprintf("entry-%05d", i), true
		return req, peer.RoleEntry
	}
	req.Host, req.Slots, req.MaxConnections, req.OpenFlows = upstreamName(i), 3, 2000, 1068
	for _, id := range services {
		req.Carries = append(req.Carries, fmt.Sprintf("service-%04d", id))
		req.Loads = append(req.Loads, &memberpb.ServiceLoad{Service: id, OpenFlows: 500})
		for _, code := range []uint32{0, 1, 2103} {
			req.Totals = append(req.Totals, &memberpb.AccountTotal{Service: id, Unit: "flow", Code: code, Count: 123456})
		}
		for j := range rpcload.MembersPerService - 1 {
			req.Reachable = append(req.Reachable, upstreamName((i+j+1)%rpcload.TargetUpstreams))
		}
	}
	return req, peer.RoleUpstream
}

// benchFleet is a set of hosts that announce themselves to one control VM.
type benchFleet struct {
	vm            *benchVM
	hosts         []*rpcload.Host
	requests      [][]byte
	announcements []*memberpb.AnnounceRequest
}

func newBenchFleet(b *testing.B, vm *benchVM, a *rpcload.Authority, n int) *benchFleet {
	b.Helper()
	f := &benchFleet{vm: vm}
	services := servicesByUpstream()
	for k := range n {
		i := k * rpcload.TargetNodes / n // spread over the target, which keeps its ratio of entries to upstreams
		req, role := benchAnnouncement(i, services[i])
		h := rpcload.NewHost(b, a, req.Host, role)
		f.hosts, f.announcements = append(f.hosts, h), append(f.announcements, req)
	}
	f.encode(b)
	return f
}

const announcePath = memberpb.MembershipPathPrefix + "Announce"

func (f *benchFleet) encode(b *testing.B) {
	b.Helper()
	f.requests = nil
	for i, h := range f.hosts {
		f.requests = append(f.requests, h.Request(b, f.vm.address, announcePath, f.announcements[i]))
	}
}

// lease announces a host until the leader grants it a lease.
func (f *benchFleet) lease(i int, h *rpcload.Host) error {
	for {
		if h.Conn == nil {
			if err := h.Dial(f.vm.address); err != nil {
				return err
			}
		}
		body, _, err := h.Call(f.requests[i])
		if err != nil {
			return err
		}
		var res memberpb.AnnounceResponse
		if err := proto.Unmarshal(body, &res); err != nil {
			return err
		}
		if res.LeaseMs > 0 {
			return nil
		}
		time.Sleep(50 * time.Millisecond) // the control VM may not lead yet
	}
}

// measureLoad announces all hosts repeatedly for loadDuration. It returns the rate of calls, and the mean bytes and
// processor time (in microseconds) per call.
func (f *benchFleet) measureLoad(b *testing.B) (perSecond, bytes, cpuMicros float64) {
	b.Helper()
	calls, wire := 0, 0
	start, cpu := time.Now(), rpcload.CPUTime()
	for time.Since(start) < loadDuration {
		sizes := make([]int, len(f.hosts))
		err := rpcload.Each(f.hosts, rpcload.Workers, func(i int, h *rpcload.Host) (err error) {
			_, sizes[i], err = h.Call(f.requests[i])
			return err
		})
		if err != nil {
			b.Fatal(err)
		}
		calls += len(f.hosts)
		for _, n := range sizes {
			wire += n
		}
	}
	cpuUsed, elapsed := rpcload.CPUTime()-cpu, time.Since(start)
	return float64(calls) / elapsed.Seconds(), float64(wire) / float64(calls), float64(cpuUsed.Microseconds()) / float64(calls)
}

func (f *benchFleet) close() {
	for _, h := range f.hosts {
		h.Close()
	}
}

// BenchmarkAnnounce measures heartbeats to one leader over loopback: the rate with 32 calls in flight, and bytes,
// processor time and memory per host. The figures include both ends of each connection; the
// baseline replaces the HTTP server by a stand-in with a fixed answer.
func BenchmarkAnnounce(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, n := range []int{100, 1000, rpcload.TargetNodes} {
			b.Run(fmt.Sprintf("tls=%t/hosts=%d", secure, n), func(b *testing.B) {
				for range b.N {
					benchAnnounce(b, secure, n)
				}
			})
		}
	}
}

func benchAnnounce(b *testing.B, secure bool, n int) {
	var a *rpcload.Authority
	if secure {
		a = rpcload.NewAuthority(b)
	}
	credentials := a.Credentials(b)
	vm := newBenchVM(b, credentials)
	f := newBenchFleet(b, vm, a, n)
	defer f.close()
	memoryBefore := rpcload.Memory()
	start, cpu := time.Now(), rpcload.CPUTime()
	if err := rpcload.Each(f.hosts, rpcload.Workers, f.lease); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(time.Since(start).Seconds(), "s-to-all-leased")
	b.ReportMetric(float64((rpcload.CPUTime()-cpu).Microseconds())/float64(n), "cpu-us/first")
	perSecond, bytes, micros := f.measureLoad(b)
	b.ReportMetric(perSecond, "announces/s")
	b.ReportMetric(bytes, "B/announce")
	b.ReportMetric(micros, "cpu-us/announce")
	b.ReportMetric((rpcload.Memory()-memoryBefore)/float64(n), "B/host")
	f.close()
	time.Sleep(time.Second) // lets the server close its ends of the connections
	b.ReportMetric((rpcload.Memory()-memoryBefore)/float64(n), "B/host-state")
	if n != 100 {
		return
	}
	request := len(f.requests[0])
	address := rpcload.ServeFixed(b, credentials, request, []byte("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n123456"))
	for i, h := range f.hosts {
		f.requests[i] = f.requests[0]
		if err := h.Dial(address); err != nil {
			b.Fatal(err)
		}
	}
	_, _, micros = f.measureLoad(b)
	b.ReportMetric(micros, "baseline-fixed-answer-cpu-us")
}

// callersPerSecond is the mean number of callers per host whose flows end in a second: 40,000 over 5,900 hosts.
const callersPerSecond = 7

// BenchmarkAnnounceCallers measures heartbeats of 1,000 hosts that carry changed caller rows, which are committed before
// the response. The log is in memory, so the figures include applying the rows but neither replication nor disk syncs.
func BenchmarkAnnounceCallers(b *testing.B) {
	for range b.N {
		const n = 1000
		vm := newBenchVM(b, nil)
		f := newBenchFleet(b, vm, nil, n)
		defer f.close()
		if err := rpcload.Each(f.hosts, rpcload.Workers, f.lease); err != nil {
			b.Fatal(err)
		}
		rows := 0
		for i, req := range f.announcements {
			for k := range callersPerSecond {
				if len(req.Loads) == 0 {
					break // entries and hosts without a service have no callers
				}
				rows++
				req.Callers = append(req.Callers, &memberpb.CallerTotal{
					Service: req.Loads[0].Service, Caller: fmt.Sprintf("10.%d.%d.%d", i>>8, i&255, k), Unit: "flow",
					Count: 12, LastUnixMs: 1_800_000_000_000,
				})
			}
		}
		f.encode(b)
		perSecond, bytes, micros := f.measureLoad(b)
		b.ReportMetric(perSecond, "announces/s")
		b.ReportMetric(bytes, "B/announce")
		b.ReportMetric(micros, "cpu-us/announce")
		b.ReportMetric(float64(proto.Size(f.announcements[0].Callers[0])), "B/row")
		b.ReportMetric(float64(rows)/n, "rows/announce")
	}
}
