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
	// localStateInterval is the period at which lease and load are passed to the flow machine. New flows stop up to this
	// long after the lease expires.
	localStateInterval = 100 * time.Millisecond
	// leavePollInterval is the period at which a leaving agent checks whether work is left.
	leavePollInterval = 100 * time.Millisecond
	// gateShutdown bounds the wait for running requests when the process stops.
	gateShutdown = time.Second
)

// upstreamRole runs the agent and the gate beside one upstream process.
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
	admitted atomic.Bool // whether a configuration with this incarnation of the agent was received
	draining atomic.Bool // result of drainsEverywhere for the configuration in force
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
	r.config.onApplied = r.applyToGate
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
		OnMismatch:     r.recordAccountMismatch,
		OnDrainOverdue: r.recordDrainOverdue,
		OnRequestEnded: r.recordRequestEnd,
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
			MaxFlows:       up.MaxConnections,
			ProbeIdle:      up.ProbeInterval,
			ProbeInterval:  up.ProbeInterval,
			SilenceTimeout: up.ProbeInterval * time.Duration(up.ProbeCount+1),
		},
		ConnHandler:   r.serveRequests,
		RequestConfig: func() { r.config.client.Hint(dissemination.Urgent) },
		OnFlowOpened:  func(key model.FlowKey) { r.counter.Start(key.Service, account.UnitFlow, 0) },
		OnFlowEnded:   r.recordFlowEnd,
		Logger:        p.logger,
	})
}

// upstreamOf returns the address of the upstream process, and whether the settings say that it carries the service.
func (r *upstreamRole) upstreamOf(svc *model.Service) (netip.AddrPort, bool) {
	up := r.process.settings.Upstream
	return up.Backend, slices.Contains(up.Carries, svc.Name)
}

// serveRequests passes a connection to the gate and waits until the gate has closed it.
func (r *upstreamRole) serveRequests(svc *model.Service, key model.FlowKey, conn agent.Conn) result.Code {
	notifying := &closeNotifyConn{Conn: conn, closed: make(chan struct{})}
	r.gate.Serve(svc, key, notifying)
	<-notifying.closed
	return result.OK
}

// closeNotifyConn closes a channel when the connection is closed.
type closeNotifyConn struct {
	agent.Conn
	once   sync.Once
	closed chan struct{}
}

// Close implements net.Conn.
func (c *closeNotifyConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { close(c.closed) })
	return err
}

var _ net.Conn = (*closeNotifyConn)(nil)

func (r *upstreamRole) recordFlowEnd(key model.FlowKey, code result.Code) {
	r.counter.End(key.Service, account.UnitFlow, key.Caller.Addr(), code, 0, time.Now())
	if code != result.OK {
		r.process.events.Record(timeline.Event{
			Kind: timeline.KindFlow, Service: key.Service, Caller: key.Caller.Addr().String(), Code: code,
		})
	}
}

func (r *upstreamRole) recordRequestEnd(service model.ServiceID, caller netip.Addr, code result.Code) {
	if code != result.OK {
		r.process.events.Record(timeline.Event{
			Kind: timeline.KindRequest, Service: service, Caller: caller.String(), Code: code,
		})
	}
}

func (r *upstreamRole) recordAccountMismatch(m account.Mismatch) {
	r.process.events.Record(timeline.Event{
		Kind: timeline.KindAccountMismatch, Service: m.Service, Code: result.AccountMismatch, Detail: m.Error(),
	})
	level.Error(r.process.logger).Log("event", "account-mismatch", "err", m)
}

func (r *upstreamRole) recordDrainOverdue(callers []string) {
	r.process.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "deadline passed with open requests"})
	level.Warn(r.process.logger).Log("event", "drain-overdue", "callers", len(callers))
}

// admit refuses configurations from before this incarnation of the agent was registered: an earlier incarnation may have
// promised to act only under a generation that is newer than such a configuration.
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

// applyToGate passes a configuration in force to the gate and its peer clients.
func (r *upstreamRole) applyToGate(s *model.Snapshot) {
	r.peers.apply(s)
	r.gate.Apply(s)
	r.draining.Store(drainsEverywhere(s, r.process.ref.Host))
}

// isDraining reports whether the host accepts no new work of a service.
func (r *upstreamRole) isDraining(id model.ServiceID) bool {
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

// drainsEverywhere reports whether a host is a member of at least one service and accepts new work of none.
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
	for _, f := range []func(context.Context){r.config.run, r.announcer.Run, r.health.run, r.updateLocalState} {
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

// updateLocalState periodically passes lease, load, health and drain state to the flow machine and the gate.
func (r *upstreamRole) updateLocalState(ctx context.Context) {
	ticker := time.NewTicker(localStateInterval)
	defer ticker.Stop()
	var last request.LocalState
	var policy newFlowPolicy
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			cold := r.health.cold()
			r.agent.SetLocal(flow.Local{
				AcceptNew: policy.allowed(r.announcer.Lease(), now, r.config.revision()) && !r.leaving.Load(),
				Load:      r.load(),
				Cold:      cold,
			})
			local := request.LocalState{Draining: r.leaving.Load() || r.draining.Load(), Cold: cold}
			if local != last {
				r.gate.SetLocal(local)
				last = local
			}
		}
	}
}

// load returns the ratio of running and queued requests to slots.
func (r *upstreamRole) load() float64 {
	s := r.gate.Stats()
	return float64(s.Running+s.Queued) / float64(r.process.settings.Upstream.Slots)
}

// leave drains the host: the control VMs reassign its buckets, and leave waits until its open flows and requests end.
func (r *upstreamRole) leave(ctx context.Context) {
	r.leaving.Store(true)
	if !r.admitted.Load() {
		return // never registered: it has no work, and no lease will say that it is drained
	}
	r.process.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "leaving"})
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			lease := r.announcer.Lease()
			// Without a lease, for example after the host was retired, announcements are no longer acknowledged.
			reported := r.report.fullyAcknowledged() || !lease.Valid(time.Now())
			if lease.Drained && len(r.agent.Flows()) == 0 && r.gate.Idle() && reported {
				return
			}
		}
	}
}

// reload implements role.
func (r *upstreamRole) reload(keys []settings.TunnelKey) error { return r.config.reloadKeys(keys) }
