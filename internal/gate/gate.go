// Package gate connects callers' HTTP connections, the upstream on the same VM, the key bindings and the other agents
// of a service to the request machine. One goroutine owns the machine; HTTP handlers and outgoing calls run in their
// own goroutines and post events to it.
package gate

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/gatepb"
)

// Limits of the gate.
const (
	// DefaultMaxBody bounds request bodies in bytes; a body is held in memory until the request ends.
	DefaultMaxBody = 1 << 20
	// maxRetainedAnswer is the size in bytes of the largest answer of a keyed request that is kept for retries.
	maxRetainedAnswer = 1 << 20
	// maxBufferedAnswer is the size in bytes of the largest answer that is received whole before it is sent to the
	// caller.
	maxBufferedAnswer = 64 << 10
	// maxHandOverAnswer bounds the answer, in bytes, to a request that another agent handed over.
	maxHandOverAnswer = 64 << 20
	// readHeaderTimeout bounds the time from the first byte of a request to the end of its headers.
	readHeaderTimeout = 10 * time.Second
	// eventQueueLength is the number of events that can wait for the machine before senders block.
	eventQueueLength = 1024
	// releaseTimeout bounds the attempts to release a key; see request.Machine for a release that is not applied.
	releaseTimeout = 10 * time.Second
	// finishTimeout bounds one attempt to record the end of a run; the gate repeats it until it succeeds.
	finishTimeout = 5 * time.Second
	// shutdownPollInterval is the time between checks for remaining work during a shutdown.
	shutdownPollInterval = 20 * time.Millisecond
	// noIntent is the intent of every request in the account: the gate does not know the plans, so the catalog
	// attributes ends to intents.
	noIntent = 0
	// accountCheckInterval is the time between checks of the account equation.
	accountCheckInterval = time.Second
)

// Config holds the dependencies, callbacks and limits of a gate.
type Config struct {
	Self    model.HostRef
	Machine request.Config
	Binder  binding.Binder
	// Upstream sends requests to the upstream process on this VM.
	Upstream Upstream
	// Peers returns a client for another agent, or false if its address is not known.
	Peers func(model.HostID) (gatepb.Gate, bool)
	// Account counts the starts and ends of callers' requests; may be nil.
	Account *account.Counter
	// OnMismatch is called when the account equation does not hold; may be nil.
	OnMismatch func(account.Mismatch)
	// OnDrainOverdue is called with the remaining callers when a drain passes its deadline; may be nil. OnMismatch and
	// OnDrainOverdue must not call the gate or block.
	OnDrainOverdue func(callers []string)
	// OnRequestEnded is called once for each caller's request when it has ended, if Account is set. It must not block;
	// may be nil.
	OnRequestEnded func(service model.ServiceID, caller netip.Addr, code result.Code)
	// ErrorLog receives errors of the HTTP server; the standard logger if nil.
	ErrorLog       *log.Logger
	MaxBody        int64 // bytes; DefaultMaxBody if 0
	MaxConnections int   // 0 for no limit
}

// Gate serves the request services of one agent.
type Gate struct {
	cfg          Config
	server       *http.Server
	conns        *connListener
	events       chan input
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{} // closed when the loop has ended
	calls        sync.WaitGroup
	lastID       atomic.Uint64
	openConns    atomic.Int64
	refusedConns atomic.Uint64

	snapshot atomic.Pointer[model.Snapshot]
	local    atomic.Pointer[request.LocalState]

	// Fields below belong to the loop goroutine.
	machine      *request.Machine
	waitingCalls map[request.ID]*call
	callByRun    map[request.ID]*call
	cancels      map[request.ID]context.CancelFunc
	timer        *time.Timer
}

// input is an event for the machine, or a function that runs in the loop goroutine.
type input struct {
	event request.Event
	call  *call // set if event is a Received or JoinRequested
	run   func()
}

// Stats holds the sizes and counters of a gate and of its request machine.
type Stats struct {
	request.Stats
	Connections        int
	RefusedConnections uint64 // closed at once because MaxConnections were open
	Waiting            int    // callers and other agents that wait for an answer
}

// New returns a running gate.
func New(cfg Config) *Gate {
	if cfg.MaxBody == 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	cfg.Machine.Self = cfg.Self
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gate{
		cfg:          cfg,
		conns:        newConnListener(),
		events:       make(chan input, eventQueueLength),
		ctx:          ctx,
		cancel:       cancel,
		done:         make(chan struct{}),
		machine:      request.New(cfg.Machine),
		waitingCalls: map[request.ID]*call{},
		callByRun:    map[request.ID]*call{},
		cancels:      map[request.ID]context.CancelFunc{},
		timer:        time.NewTimer(time.Hour),
	}
	g.snapshot.Store(model.NewSnapshot())
	g.local.Store(&request.LocalState{})
	g.server = &http.Server{
		Handler:           http.HandlerFunc(g.serveCaller),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       withConn,
		ErrorLog:          cfg.ErrorLog,
	}
	go g.loop()
	go g.pollPeers()
	go func() { _ = g.server.Serve(g.conns) }()
	return g
}

// Serve takes over a caller's connection of a request service. It returns at once; the gate closes conn.
func (g *Gate) Serve(svc *model.Service, key model.FlowKey, conn net.Conn) {
	if n := g.openConns.Add(1); g.cfg.MaxConnections > 0 && n > int64(g.cfg.MaxConnections) {
		g.openConns.Add(-1)
		g.refusedConns.Add(1)
		_ = conn.Close()
		return
	}
	c := &callerConn{Conn: conn, service: svc, key: key, openConns: &g.openConns}
	if !g.conns.add(c) {
		_ = c.Close()
	}
}

// Apply installs a configuration: queue limits, the members of each service, and the services for which this host
// drains. Only one goroutine may call it.
func (g *Gate) Apply(s *model.Snapshot) {
	old := g.snapshot.Swap(s)
	g.post(input{run: func() {
		for id, svc := range s.Services {
			g.machine.SetQueueLimit(id, svc.QueueLimit)
		}
	}})
	drainStarts := false
	for id, svc := range s.Services {
		drainStarts = drainStarts || g.isDraining(svc) && !g.isDraining(old.Services[id])
	}
	if drainStarts {
		// The machine hands queued requests over as soon as it learns of the drain, so the peers must be current by
		// then.
		g.refreshPeers(g.ctx)
	}
	for id, svc := range s.Services {
		g.post(input{event: request.ServiceDrain{Service: id, Draining: g.isDraining(svc)}})
	}
}

// isDraining tells whether this host takes no new requests of a service. Requests may still arrive on connections that
// callers keep open.
func (g *Gate) isDraining(svc *model.Service) bool {
	if svc == nil {
		return false
	}
	m, ok := svc.Member(g.cfg.Self.Host)
	return !ok || m.State != model.UpstreamActive || svc.Closing
}

// SetLocal sets whether the host is draining and whether its upstream is cold.
func (g *Gate) SetLocal(l request.LocalState) {
	g.local.Store(&l)
	if l.Draining {
		// The machine hands queued requests over as soon as it learns of the drain, so the peers must be current by
		// then.
		g.refreshPeers(g.ctx)
	}
	g.post(input{event: l})
}

// runInLoop runs f in the loop goroutine and returns its result, or false if the gate has ended.
func runInLoop[T any](g *Gate, f func(*request.Machine) T) (T, bool) {
	out := make(chan T, 1)
	var zero T
	if !g.post(input{run: func() { out <- f(g.machine) }}) {
		return zero, false
	}
	select {
	case v := <-out:
		return v, true
	case <-g.done:
		return zero, false
	}
}

// Remaining lists the callers whose requests have not ended.
func (g *Gate) Remaining() []string {
	list, _ := runInLoop(g, func(m *request.Machine) []string { return callerStrings(m.Remaining()) })
	return list
}

func callerStrings(callers []netip.AddrPort) []string {
	list := make([]string, 0, len(callers))
	for _, c := range callers {
		list = append(list, c.String())
	}
	return list
}

// Stats returns the current sizes and counters.
func (g *Gate) Stats() Stats {
	s, _ := runInLoop(g, func(m *request.Machine) Stats {
		return Stats{Stats: m.Stats(), Waiting: len(g.waitingCalls)}
	})
	s.Connections = int(g.openConns.Load())
	s.RefusedConnections = g.refusedConns.Load()
	return s
}

// Idle tells whether no request is open here and the log has recorded every run. A run whose caller has disconnected is
// still open: ending the gate would break it.
func (g *Gate) Idle() bool {
	s := g.Stats()
	return s.Waiting+s.Running+s.Queued+s.AtOtherAgents+s.Binding+s.Unrecorded == 0
}

// Shutdown stops accepting connections, waits until the requests in flight have ended and the log has recorded them or
// until ctx is done, and then ends the gate. A retry of a run whose end is not recorded gets "outcome unknown".
func (g *Gate) Shutdown(ctx context.Context) error {
	defer g.Close()
	if err := g.server.Shutdown(ctx); err != nil {
		return err
	}
	for {
		if g.Idle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
}

// Close ends the gate at once and closes the connections of callers that still wait.
func (g *Gate) Close() {
	g.cancel()
	_ = g.server.Close()
	<-g.done
	g.calls.Wait()
}

// post sends an input to the loop. It returns false if the gate has ended.
func (g *Gate) post(in input) bool {
	select {
	case g.events <- in:
		return true
	case <-g.ctx.Done():
		return false
	}
}

func (g *Gate) nextID() request.ID { return request.ID(g.lastID.Add(1)) }

func (g *Gate) loop() {
	defer close(g.done)
	check := time.NewTicker(accountCheckInterval)
	defer check.Stop()
	var actions []request.Action
	for {
		var in input
		select {
		case <-g.ctx.Done():
			g.cancelCalls()
			return
		case <-check.C:
			g.checkAccount()
			continue
		case <-g.timer.C:
			in.event = request.Tick{}
		case in = <-g.events:
		}
		if in.run != nil {
			in.run()
			continue
		}
		if in.call != nil {
			g.waitingCalls[in.call.id] = in.call
			if _, ok := in.event.(request.Received); ok {
				g.callByRun[in.call.id] = in.call
			}
		}
		actions = g.machine.Handle(time.Now(), in.event, actions[:0])
		for i := range actions {
			g.execute(&actions[i])
		}
	}
}

// cancelCalls cancels the calls to the upstream and to other agents that are in progress.
func (g *Gate) cancelCalls() {
	for _, cancel := range g.cancels {
		cancel()
	}
}

func (g *Gate) checkAccount() {
	if g.cfg.Account == nil || g.cfg.OnMismatch == nil {
		return
	}
	for _, m := range g.cfg.Account.Check() {
		g.cfg.OnMismatch(m)
	}
}

// execute carries out an action of the machine. Calls run in goroutines of their own, so it never blocks.
func (g *Gate) execute(a *request.Action) {
	switch a.Kind {
	case request.ActionBind:
		g.bind(*a)
	case request.ActionRelease:
		g.release(*a)
	case request.ActionFinish:
		g.finish(*a)
	case request.ActionDispatch:
		g.startCall(a.Run, a.Deadline, g.dispatch)
	case request.ActionJoin:
		owner, ref, digest := a.Owner, a.Ref, a.Digest
		g.startCall(a.Run, a.At, func(ctx context.Context, c *call) { g.join(ctx, c, owner, ref, digest) })
	case request.ActionHandOver:
		to := a.To
		g.startCall(a.Run, a.At, func(ctx context.Context, c *call) { g.handOver(ctx, c, to) })
	case request.ActionCancel:
		if cancel := g.cancels[a.Run]; cancel != nil {
			cancel()
		}
	case request.ActionAnswer:
		g.answer(a)
	case request.ActionSetTimer:
		g.timer.Reset(time.Until(a.At))
	case request.ActionDone:
		delete(g.callByRun, a.Run)
		if cancel := g.cancels[a.Run]; cancel != nil {
			cancel()
			delete(g.cancels, a.Run)
		}
	case request.ActionDrainOverdue:
		g.drainOverdue(a)
	}
}

func (g *Gate) answer(a *request.Action) {
	c := g.waitingCalls[a.ID]
	if c == nil {
		return
	}
	delete(g.waitingCalls, a.ID)
	c.answer <- callAnswer{code: a.Code, answer: a.Answer, held: a.Held}
}

func (g *Gate) drainOverdue(a *request.Action) {
	if g.cfg.OnDrainOverdue == nil {
		return
	}
	g.cfg.OnDrainOverdue(callerStrings(a.Callers))
}

// startCall runs f for a request in its own goroutine with a context that ends at the deadline or by ActionCancel. The
// machine gives every run a deadline.
func (g *Gate) startCall(run request.ID, deadline time.Time, f func(context.Context, *call)) {
	c := g.callByRun[run]
	if c == nil {
		// The machine emits ActionDone, which deletes the call, only after the last action that needs it.
		panic("gate: action for a request without a call")
	}
	if cancel := g.cancels[run]; cancel != nil {
		cancel()
	}
	ctx, cancel := context.WithDeadline(g.ctx, deadline)
	g.cancels[run] = cancel
	g.calls.Add(1)
	go func() {
		defer g.calls.Done()
		f(ctx, c)
	}()
}

func (g *Gate) bind(a request.Action) {
	g.calls.Add(1)
	go func() {
		defer g.calls.Done()
		ctx, cancel := context.WithDeadline(g.ctx, a.At)
		defer cancel()
		answer, err := g.cfg.Binder.Bind(ctx, binding.Request{
			Service:  a.Ref.Service,
			Key:      a.Ref.Key,
			Digest:   a.Digest,
			Owner:    a.Ref.Owner,
			Attempt:  a.Ref.Attempt,
			Deadline: a.Deadline,
		})
		if err != nil {
			answer = binding.Answer{Outcome: binding.Unreached}
		}
		g.post(input{event: request.BindResult{Run: a.Run, Attempt: a.Ref.Attempt, Answer: answer}})
	}()
}

func (g *Gate) release(a request.Action) {
	g.calls.Add(1)
	go func() {
		defer g.calls.Done()
		ctx, cancel := context.WithTimeout(g.ctx, releaseTimeout)
		defer cancel()
		err := g.cfg.Binder.Release(ctx, a.Ref)
		if a.Run != 0 {
			g.post(input{event: request.ReleaseDone{Run: a.Run, Applied: err == nil}})
		}
	}()
}

func (g *Gate) finish(a request.Action) {
	g.calls.Add(1)
	go func() {
		defer g.calls.Done()
		for g.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(g.ctx, finishTimeout)
			err := g.cfg.Binder.Finish(ctx, a.Ref, a.Code)
			cancel()
			if err == nil {
				g.post(input{event: request.FinishDone{Run: a.Run}})
				return
			}
		}
	}()
}

// accountEnd reports the end of a caller's request to OnRequestEnded and to the account.
func (g *Gate) accountEnd(c *call, code result.Code) {
	if !c.inAccount {
		return
	}
	if g.cfg.OnRequestEnded != nil {
		g.cfg.OnRequestEnded(c.service, c.caller.Addr(), code)
	}
	if g.cfg.Account == nil {
		return
	}
	g.cfg.Account.End(c.service, account.UnitRequest, c.caller.Addr(), code, noIntent, time.Now())
}
