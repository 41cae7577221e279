// Package agent is the upstream role beside one upstream process: it decides with the flow state machine which packets
// are its own, hands those to the delivery, and connects the callers' connections to the local upstream.
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

// inboundQueue bounds the packets that wait for the packet goroutine. Further ones are dropped and counted; the
// callers retransmit.
const inboundQueue = 2048

// Conn is a caller's connection. Abort ends it with a reset, so that the caller does not take a part for the whole.
type Conn interface {
	net.Conn
	CloseWrite() error
	Abort()
}

// ConnHandler serves the connection of a flow and returns when it is over. The agent closes conn afterwards. The
// returned code says how the flow ended.
type ConnHandler func(svc *model.Service, key model.FlowKey, conn Conn) result.Code

// Config sets up an agent.
type Config struct {
	Ref     model.HostRef
	Listen  netip.AddrPort // UDP address for entry VMs and other agents; port 0 chooses one
	Fabric  netip.AddrPort // UDP address that takes the packets to callers
	Keys    *tunnel.KeyRing
	Machine flow.Machine // owned by the agent from here on

	// Upstream returns the address of the local upstream process of a service, and false for a service that is not
	// registered at this host. Packets of such services are never delivered. It must be safe for concurrent use.
	Upstream func(svc *model.Service) (netip.AddrPort, bool)

	Delivery    delivery.Config
	NewDelivery func(delivery.Config, delivery.Handler, delivery.Output) (delivery.Delivery, error) // netstack if nil

	ConnHandler ConnHandler                            // for services of kind request; the stream relay if nil
	Fetch       func()                                 // asks for a newer configuration; must not block
	Opened      func(key model.FlowKey)                // reports an established flow; must not block
	Ended       func(key model.FlowKey, c result.Code) // reports the end of an established flow; must not block
	Logger      log.Logger
}

// Agent is a running agent. Its methods may be called by several goroutines.
type Agent struct {
	cfg      Config
	conns    []*net.UDPConn
	keys     atomic.Pointer[tunnel.KeyRing]
	view     atomic.Pointer[view]
	delivery delivery.Delivery
	flows    *flowSet
	events   eventQueue
	count    counters

	inbound  chan *inbound
	commands chan func(l *packetLoop, now time.Time)
	stop     chan struct{} // closed when the packet goroutine has to end
	closing  sync.Once
	packets  sync.WaitGroup // packet goroutine
	readers  sync.WaitGroup
	served   sync.WaitGroup // connections being served
	fabric   fabricOutput
}

// New opens the socket and starts the agent.
func New(cfg Config) (*Agent, error) {
	if cfg.Keys == nil || cfg.Machine == nil || cfg.Upstream == nil {
		return nil, errors.New("agent needs tunnel keys, a flow machine and its upstreams")
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.NewDelivery == nil {
		cfg.NewDelivery = newNetstack
	}
	a := &Agent{
		cfg:      cfg,
		flows:    newFlowSet(),
		inbound:  make(chan *inbound, inboundQueue),
		commands: make(chan func(*packetLoop, time.Time)),
		stop:     make(chan struct{}),
	}
	a.events.init()
	a.keys.Store(cfg.Keys)
	a.view.Store(newView(model.NewSnapshot()))
	conns, err := udp.Listen(cfg.Listen, 1)
	if err != nil {
		return nil, fmt.Errorf("agent %s: %w", cfg.Ref, err)
	}
	a.conns = conns
	a.fabric = fabricOutput{conn: conns[0], to: cfg.Fabric, count: &a.count}
	r, err := newReader(a, conns[0])
	if err != nil {
		udp.Close(conns)
		return nil, fmt.Errorf("agent %s: %w", cfg.Ref, err)
	}
	d, err := cfg.NewDelivery(cfg.Delivery, a, &a.fabric)
	if err != nil {
		udp.Close(conns)
		return nil, fmt.Errorf("agent %s: %w", cfg.Ref, err)
	}
	a.delivery = d
	a.packets.Add(1)
	go newPacketLoop(a).run()
	a.readers.Add(1)
	go r.run()
	return a, nil
}

// newNetstack adapts the constructor to the interface.
func newNetstack(c delivery.Config, h delivery.Handler, o delivery.Output) (delivery.Delivery, error) {
	return delivery.NewNetstack(c, h, o)
}

// Addr is the UDP address of the agent.
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

// SetLocal tells the flow machine about the host. A draining agent takes no new flows whatever l says.
func (a *Agent) SetLocal(local flow.Local) {
	a.command(func(l *packetLoop, _ time.Time) { l.setLocal(local) })
}

// Stats returns the table sizes of the flow machine.
func (a *Agent) Stats() flow.Stats {
	var stats flow.Stats
	a.command(func(l *packetLoop, _ time.Time) { stats = l.machine.Stats() })
	return stats
}

// Counters returns the totals since the start.
func (a *Agent) Counters() Counters { return a.count.read() }

// Flows returns the established flows.
func (a *Agent) Flows() []model.FlowKey { return a.flows.keys() }

// Close ends the agent: it takes no new flows, ends all open ones with a reset, waits for their handlers and closes the
// socket last, so that the resets reach the callers. Drain before Close interrupts nobody.
func (a *Agent) Close() error { return a.close(false) }

// Abandon ends the agent without a reset or any other packet. It is for a process that learns that a newer incarnation
// of its host has taken its place, whose flows the resets could end.
func (a *Agent) Abandon() { _ = a.close(true) }

// close ends the agent once. If silent, the socket is closed before the flows.
func (a *Agent) close(silent bool) error {
	var err error
	a.closing.Do(func() {
		a.flows.close()
		if silent {
			udp.Close(a.conns)
		}
		err = a.delivery.Close()
		a.served.Wait()
		close(a.stop)
		a.packets.Wait()
		udp.Close(a.conns)
		a.readers.Wait()
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
	f := a.flows.add(key, &a.served)
	if f == nil {
		c.Abort()
		_ = c.Close()
		return
	}
	if a.cfg.Opened != nil {
		a.cfg.Opened(key)
	}
	a.events.put(event{key: key, established: true})
	go a.serve(svc, f, c)
}

// Closed implements delivery.Handler.
func (a *Agent) Closed(key model.FlowKey, code result.Code) {
	a.events.put(event{key: key})
	if f := a.flows.connectionEnded(key, code); f != nil {
		a.reportEnd(f)
	}
}

// reportEnd counts the end of an established flow.
func (a *Agent) reportEnd(f *openFlow) {
	a.count.ended(f.code)
	if a.cfg.Ended != nil {
		a.cfg.Ended(f.key, f.code)
	}
}

// serve runs the handler of a connection.
func (a *Agent) serve(svc *model.Service, f *openFlow, conn Conn) {
	defer a.served.Done()
	handler := a.relay
	if svc.Kind == model.KindRequest && a.cfg.ConnHandler != nil {
		handler = a.cfg.ConnHandler
	}
	code := handler(svc, f.key, conn)
	_ = conn.Close()
	if a.flows.handlerEnded(f, code) {
		a.reportEnd(f)
	}
}
