package daemon

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/agent"
	"github.com/plantainseam/plantainseam/internal/announce"
	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/delivery"
	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/gate"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/internal/timeline"
	"github.com/plantainseam/plantainseam/rpc/gatepb"
)

// Timing of the upstream role.
const (
	// localInterval is how often lease and load reach the flow machine; an expired lease stops new flows this much late.
	localInterval = 100 * time.Millisecond
	// leavePoll is how often a leaving agent looks whether work is left.
	leavePoll = 100 * time.Millisecond
	// gateShutdown bounds the wait for requests that end while the process stops.
	gateShutdown = time.Second
)

// upstreamRole is the agent beside one upstream process.
type upstreamRole struct {
	process   *process
	agent     *agent.Agent
	gate      *gate.Gate
	counter   *account.Counter
	config    *configuration
	announcer *announce.Client
	peers     *gatePeers
	health    *backendHealth
	report    reporter

	leaving  atomic.Bool
	admitted atomic.Bool // a configuration that names this run of the agent was seen
	drained  atomic.Bool // member state of the host in every service that it carries
}

func newUpstreamRole(p *process) (*upstreamRole, error) {
	r := &upstreamRole{process: p, counter: account.NewCounter(0), peers: newGatePeers(p)}
	r.health = newBackendHealth(p.settings.Upstream.Backend)
	r.report = reporter{counter: r.counter}
	r.gate = r.newGate()
	a, err := r.newAgent()
	if err != nil {
		r.gate.Close()
		return nil, err
	}
	r.agent = a
	if r.config, err = newConfiguration(p, a); err != nil {
		r.gate.Close()
		_ = a.Close()
		return nil, err
	}
	r.config.admit = r.admit
	r.config.after = r.configured
	r.announcer = newAnnouncer(p, r, r.config, nil)
	p.mux.Handle(gatepb.GatePathPrefix, gatepb.NewGateServer(r.gate.RPC()))
	registerAgentMetrics(p.registry, r)
	return r, nil
}

func (r *upstreamRole) newGate() *gate.Gate {
	p := r.process
	machine := request.DefaultConfig(p.ref)
	machine.Slots = p.settings.Upstream.Slots
	return gate.New(gate.Config{
		Self:           p.ref,
		Machine:        machine,
		Binder:         binding.NewClient(p.controlAddresses, p.scheme(), p.http),
		Upstream:       gate.NewHTTPUpstream(func(model.ServiceID) (string, bool) { return p.settings.Upstream.Backend.String(), true }),
		Peers:          r.peers.client,
		Account:        r.counter,
		OnMismatch:     r.mismatch,
		OnDrainOverdue: r.overdue,
		OnRequestEnded: r.requestEnded,
	})
}

func (r *upstreamRole) newAgent() (*agent.Agent, error) {
	p := r.process
	ring, err := keyRing(p.settings.Tunnel.Keys, model.KeyRing{})
	if err != nil {
		return nil, err
	}
	up := p.settings.Upstream
	return agent.New(agent.Config{
		Ref:      p.ref,
		Listen:   p.settings.Tunnel.Listen,
		Fabric:   p.settings.Tunnel.Fabric,
		Keys:     ring,
		Machine:  flow.New(flow.Config{Self: p.ref, Seed: uint64(p.ref.Incarnation)}),
		Upstream: r.upstreamOf,
		Delivery: delivery.Config{
			MaxFlows:      up.MaxConnections,
			ProbeIdle:     up.ProbeInterval,
			ProbeInterval: up.ProbeInterval,
			SilentAfter:   up.ProbeInterval * time.Duration(up.ProbeCount+1),
		},
		ConnHandler: r.serveRequests,
		Fetch:       func() { r.config.client.Hint(dissemination.Urgent) },
		Opened:      func(key model.FlowKey) { r.counter.Start(key.Service, account.UnitFlow, 0) },
		Ended:       r.flowEnded,
		Logger:      p.logger,
	})
}

// upstreamOf returns the upstream process of a service that the settings say this host carries.
func (r *upstreamRole) upstreamOf(svc *model.Service) (netip.AddrPort, bool) {
	up := r.process.settings.Upstream
	return up.Backend, slices.Contains(up.Carries, svc.Name)
}

// serveRequests hands a connection to the gate and waits until the gate has closed it.
func (r *upstreamRole) serveRequests(svc *model.Service, key model.FlowKey, conn agent.Conn) result.Code {
	watched := &watchedConn{Conn: conn, closed: make(chan struct{})}
	r.gate.Serve(svc, key, watched)
	<-watched.closed
	return result.OK
}

// watchedConn tells when it was closed.
type watchedConn struct {
	agent.Conn
	once   sync.Once
	closed chan struct{}
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { close(c.closed) })
	return err
}

var _ net.Conn = (*watchedConn)(nil)

func (r *upstreamRole) flowEnded(key model.FlowKey, code result.Code) {
	r.counter.End(key.Service, account.UnitFlow, key.Caller.Addr(), code, 0, time.Now())
	if code != result.OK {
		r.process.events.Record(timeline.Event{
			Kind: timeline.KindFlow, Service: key.Service, Caller: key.Caller.Addr().String(), Code: code,
		})
	}
}

func (r *upstreamRole) requestEnded(service model.ServiceID, caller netip.Addr, code result.Code) {
	if code != result.OK {
		r.process.events.Record(timeline.Event{
			Kind: timeline.KindRequest, Service: service, Caller: caller.String(), Code: code,
		})
	}
}

func (r *upstreamRole) mismatch(m account.Mismatch) {
	r.process.events.Record(timeline.Event{
		Kind: timeline.KindAccountMismatch, Service: m.Service, Code: result.AccountMismatch, Detail: m.Error(),
	})
	level.Error(r.process.logger).Log("event", "account-mismatch", "err", m)
}

func (r *upstreamRole) overdue(callers []string) {
	r.process.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "deadline passed with open requests"})
	level.Warn(r.process.logger).Log("event", "drain-overdue", "callers", len(callers))
}

// admit refuses configurations from before this run of the agent was registered: an earlier run may have promised to
// act under a newer generation than theirs.
func (r *upstreamRole) admit(s *model.Snapshot) bool {
	if r.admitted.Load() {
		return true
	}
	up := s.Upstreams[r.process.ref.Host]
	if up == nil || up.Ref != r.process.ref {
		return false
	}
	r.admitted.Store(true)
	return true
}

// configured passes a configuration in force to the gate.
func (r *upstreamRole) configured(s *model.Snapshot) {
	r.peers.apply(s)
	r.gate.Apply(s)
	r.drained.Store(drainsEverywhere(s, r.process.ref.Host))
}

// drains tells whether the host takes no new work of a service.
func (r *upstreamRole) drains(id model.ServiceID) bool {
	if r.leaving.Load() {
		return true
	}
	svc := r.peers.snapshot.Load().Services[id]
	if svc == nil {
		return true
	}
	m, ok := svc.Member(r.process.ref.Host)
	return !ok || m.State != model.UpstreamActive || svc.Closing
}

// drainsEverywhere tells whether a host is a draining member of at least one service and an active one of none.
func drainsEverywhere(s *model.Snapshot, host model.HostID) bool {
	draining := false
	for _, svc := range s.Services {
		m, ok := svc.Member(host)
		if !ok {
			continue
		}
		if m.State == model.UpstreamActive && !svc.Closing {
			return false
		}
		draining = true
	}
	return draining
}

func (r *upstreamRole) run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, f := range []func(context.Context){r.config.run, r.announcer.Run, r.health.run, r.follow} {
		running.Add(1)
		go func() {
			defer running.Done()
			f(ctx)
		}()
	}
	running.Wait()
	stopping, cancel := context.WithTimeout(context.Background(), gateShutdown)
	defer cancel()
	_ = r.gate.Shutdown(stopping)
	return r.agent.Close()
}

// follow keeps the flow machine and the gate informed about lease, load and drain.
func (r *upstreamRole) follow(ctx context.Context) {
	ticker := time.NewTicker(localInterval)
	defer ticker.Stop()
	var last request.LocalState
	var accept acceptance
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			cold := r.health.cold()
			r.agent.SetLocal(flow.Local{
				AcceptNew: accept.allowed(r.announcer.Lease(), now, r.config.revision()) && !r.leaving.Load(),
				Load:      r.load(),
				Cold:      cold,
			})
			local := request.LocalState{Draining: r.leaving.Load() || r.drained.Load(), Cold: cold}
			if local != last {
				r.gate.SetLocal(local)
				last = local
			}
		}
	}
}

// load returns running and queued requests over slots.
func (r *upstreamRole) load() float64 {
	s := r.gate.Stats()
	return float64(s.Running+s.Queued) / float64(r.process.settings.Upstream.Slots)
}

// leave drains the host: the control VMs move its buckets, and open flows and requests end on their own.
func (r *upstreamRole) leave(ctx context.Context) {
	r.leaving.Store(true)
	if !r.admitted.Load() {
		return // never registered, so it has no work, and nobody will say that it is drained
	}
	r.process.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "leaving"})
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			lease := r.announcer.Lease()
			// Without a lease, for example after the host was retired, no announcement is acknowledged any more.
			reported := r.report.settled() || !lease.Valid(time.Now())
			if lease.Drained && len(r.agent.Flows()) == 0 && r.gate.Idle() && reported {
				return
			}
		}
	}
}

// reload implements role.
func (r *upstreamRole) reload(keys []settings.TunnelKey) error { return r.config.reloadKeys(keys) }
