// Package agent implements the agent that runs beside an upstream process. The flow state machine decides which packets
// belong to flows that this host owns. The agent passes these packets to the local TCP stack (package delivery) and
// connects the resulting connections to the local upstream.
package agent

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/plantainseam/plantainseam/internal/delivery"
	"github.com/plantainseam/plantainseam/internal/flow"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
	"github.com/plantainseam/plantainseam/internal/tunnel"
	"github.com/plantainseam/plantainseam/internal/udp"
)

// inboundQueue is the number of verified packets that can wait for the packet goroutine. When the queue is full,
// packets are dropped and counted, and the callers retransmit them.
const inboundQueue = 2048

// Conn is a caller's connection. Abort ends it with a reset, so that the caller does not take a partial answer for a
// complete one.
type Conn interface {
	net.Conn
	CloseWrite() error
	Abort()
}

// ConnHandler serves the connection of a flow and returns when the connection has ended. The agent closes conn
// afterwards. The returned code says how the flow ended.
type ConnHandler func(svc *model.Service, key model.FlowKey, conn Conn) result.Code

// Config configures an agent.
type Config struct {
	Ref     model.HostRef
	Listen  netip.AddrPort // UDP address for entry VMs and other agents; port 0 chooses one
	Fabric  netip.AddrPort // UDP address that packets to callers are sent to
	Keys    *tunnel.KeyRing
	Machine flow.Machine // used only by the agent after New

	// Upstream returns the address of the local upstream process of a service, and false for a service that is not
	// registered at this host. Packets of such services are never delivered. It must be safe for concurrent use.
	Upstream func(svc *model.Service) (netip.AddrPort, bool)

	Delivery    delivery.Config
	NewDelivery func(delivery.Config, delivery.Handler, delivery.Output) (delivery.Delivery, error) // netstack if nil

	ConnHandler   ConnHandler                            // for request services; nil relays their streams
	RequestConfig func()                                 // requests a newer configuration; must not block
	OnFlowOpened  func(key model.FlowKey)                // called when a flow is established; must not block
	OnFlowEnded   func(key model.FlowKey, c result.Code) // called when an established flow has ended; must not block
	Logger        log.Logger
}

// Agent is a running agent. Its methods may be called by several goroutines.
type Agent struct {
	cfg       Config
	conns     []*net.UDPConn
	keys      atomic.Pointer[tunnel.KeyRing]
	view      atomic.Pointer[view]
	delivery  delivery.Delivery
	openFlows *flowSet
	events    eventQueue
	counters  counters

	inbound        chan *inbound
	commands       chan func(l *packetLoop, now time.Time)
	stopped        chan struct{} // closed to end the packet goroutine
	closeOnce      sync.Once
	packetLoopDone sync.WaitGroup
	readersDone    sync.WaitGroup
	handlers       sync.WaitGroup // running connection handlers
	fabricOutput   fabricOutput
}

// New opens the UDP socket and starts the agent.
func New(cfg Config) (*Agent, error) {
	if cfg.Keys == nil || cfg.Machine == nil || cfg.Upstream == nil {
		return nil, errors.New("agent needs tunnel keys, a flow machine and an upstream lookup")
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.NewDelivery == nil {
		cfg.NewDelivery = newNetstack
	}
	a := &Agent{
		cfg:       cfg,
		openFlows: newFlowSet(),
		inbound:   make(chan *inbound, inboundQueue),
		commands:  make(chan func(*packetLoop, time.Time)),
		stopped:   make(chan struct{}),
	}
	a.events.init()
	a.keys.Store(cfg.Keys)
	a.view.Store(newView(model.NewSnapshot()))
	conns, err := udp.Listen(cfg.Listen, 1)
	if err != nil {
		return nil, fmt.Errorf("agent %s: %w", cfg.Ref, err)
	}
	a.conns = conns
	a.fabricOutput = fabricOutput{conn: conns[0], to: cfg.Fabric, counters: &a.counters}
	r, err := newReader(a, conns[0])
	if err != nil {
		udp.Close(conns)
		return nil, fmt.Errorf("agent %s: %w", cfg.Ref, err)
	}
	d, err := cfg.NewDelivery(cfg.Delivery, a, &a.fabricOutput)
	if err != nil {
		udp.Close(conns)
		return nil, fmt.Errorf("agent %s: %w", cfg.Ref, err)
	}
	a.delivery = d
	a.packetLoopDone.Add(1)
	go newPacketLoop(a).run()
	a.readersDone.Add(1)
	go r.run()
	return a, nil
}

// newNetstack calls delivery.NewNetstack with the signature of Config.NewDelivery.
func newNetstack(c delivery.Config, h delivery.Handler, o delivery.Output) (delivery.Delivery, error) {
	return delivery.NewNetstack(c, h, o)
}

// Addr returns the UDP address of the agent.
func (a *Agent) Addr() netip.AddrPort { return udp.LocalAddr(a.conns[0]) }

// SetKeys replaces the tunnel keys.
func (a *Agent) SetKeys(keys *tunnel.KeyRing) { a.keys.Store(keys) }

// Apply installs a configuration with its bucket table. An older revision is ignored.
func (a *Agent) Apply(s *model.Snapshot, t *routing.Table) {
	next := newView(s)
	a.command(func(l *packetLoop, now time.Time) {
		if s.Revision < l.view.snapshot.Revision {
			return
		}
		l.install(next)
		l.actions = l.machine.Apply(now, s, t, l.actions[:0])
		l.execute(now)
	})
}

// SetLocal passes the state of the host to the flow machine. A draining agent accepts no new flows, even if
// local.AcceptNew is set.
func (a *Agent) SetLocal(local flow.Local) {
	a.command(func(l *packetLoop, _ time.Time) { l.setLocal(local) })
}

// Stats returns the table sizes of the flow machine.
func (a *Agent) Stats() flow.Stats {
	var stats flow.Stats
	a.command(func(l *packetLoop, _ time.Time) { stats = l.machine.Stats() })
	return stats
}

// Counters returns the totals since the agent started.
func (a *Agent) Counters() Counters { return a.counters.snapshot() }

// Flows returns the established flows.
func (a *Agent) Flows() []model.FlowKey { return a.openFlows.keys() }

// Close stops the agent: it refuses new flows, ends all open flows with a reset, waits for their handlers and closes
// the socket last, so that the resets reach the callers. Callers are not interrupted if Drain has returned no flows
// before.
func (a *Agent) Close() error { return a.close(false) }

// CloseWithoutResets stops the agent without sending any further packet. It is meant for a process that has been
// replaced by a newer incarnation of its host: resets could end flows of that incarnation.
func (a *Agent) CloseWithoutResets() { _ = a.close(true) }

// close stops the agent once. If silent is set, the socket is closed before the flows end, so that no packet is sent.
func (a *Agent) close(silent bool) error {
	var err error
	a.closeOnce.Do(func() {
		a.openFlows.close()
		if silent {
			udp.Close(a.conns)
		}
		err = a.delivery.Close()
		a.handlers.Wait()
		close(a.stopped)
		a.packetLoopDone.Wait()
		udp.Close(a.conns)
		a.readersDone.Wait()
	})
	return err
}

// Established implements delivery.Handler.
func (a *Agent) Established(key model.FlowKey, conn net.Conn) {
	c, ok := conn.(Conn)
	if !ok {
		_ = conn.Close()
		return
	}
	svc := a.view.Load().snapshot.Services[key.Service]
	if svc == nil {
		c.Abort()
		_ = c.Close()
		return
	}
	f := a.openFlows.add(key, &a.handlers)
	if f == nil {
		c.Abort()
		_ = c.Close()
		return
	}
	if a.cfg.OnFlowOpened != nil {
		a.cfg.OnFlowOpened(key)
	}
	a.events.put(event{key: key, established: true})
	go a.serve(svc, f, c)
}

// Closed implements delivery.Handler.
func (a *Agent) Closed(key model.FlowKey, code result.Code) {
	a.events.put(event{key: key})
	if f := a.openFlows.remove(key, code); f != nil {
		a.reportEnd(f)
	}
}

// reportEnd counts the end of an established flow and calls OnFlowEnded.
func (a *Agent) reportEnd(f *openFlow) {
	a.counters.countEnd(f.endCode)
	if a.cfg.OnFlowEnded != nil {
		a.cfg.OnFlowEnded(f.key, f.endCode)
	}
}

// serve runs the handler of a connection and closes the connection.
func (a *Agent) serve(svc *model.Service, f *openFlow, conn Conn) {
	defer a.handlers.Done()
	handler := a.relay
	if svc.Kind == model.KindRequest && a.cfg.ConnHandler != nil {
		handler = a.cfg.ConnHandler
	}
	code := handler(svc, f.key, conn)
	_ = conn.Close()
	if a.openFlows.handlerEnded(f, code) {
		a.reportEnd(f)
	}
}
