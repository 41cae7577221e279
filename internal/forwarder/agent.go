package forwarder

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/plantainseam/plantainseam/internal/openflows"
	"github.com/plantainseam/plantainseam/internal/passthrough"
	"github.com/plantainseam/plantainseam/internal/roster"
	"github.com/plantainseam/plantainseam/internal/udp"
	"github.com/plantainseam/plantainseam/internal/upstream"
)

// Agent is the process that runs on the VM of an upstream and forwards its packets.
type Agent struct {
	*node
	machine  *passthrough.Agent
	tracker  upstream.Tracker
	reporter *openflows.Reporter
	conn     *net.UDPConn // receives packets of other nodes
	outbound *net.UDPConn // receives packets of the upstream
	counts   *counters
}

// NewAgent opens the sockets of an agent.
func NewAgent(cfg Config) (*Agent, error) {
	conns, err := udp.Listen(cfg.listenAddress(), 1)
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	outbound, err := udp.Listen(cfg.Outbound, 1)
	if err != nil {
		udp.Close(conns)
		return nil, fmt.Errorf("agent, packets of the upstream: %w", err)
	}
	a := &Agent{
		node: newNode(cfg), conn: conns[0], outbound: outbound[0], counts: newCounters(),
		machine: passthrough.NewAgent(passthrough.EndpointOf(cfg.Tunnel), cfg.Domain),
		tracker: upstream.Tracker{SilenceTimeout: cfg.UpstreamSilence},
	}
	a.reporter = openflows.NewReporter(a.flowChanges, a.processID)
	a.client = roster.NewClient(roster.ClientConfig{
		Seeds: cfg.Seeds, RPCPort: cfg.RPCPort, Domain: cfg.Domain, Logger: cfg.Logger,
		Self: a.record, DeclaredVersion: a.version, Update: a.update, Flows: a.flowReport, OnResponse: a.flowAnswer,
	})
	return a, nil
}

func (a *Agent) record() roster.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	u := a.tracker.Upstream(now)
	flows, busy := a.machine.Load(a.now())
	r := roster.Record{
		Kind: roster.KindAgent, Address: a.cfg.Tunnel.Addr(), TunnelPort: a.cfg.Tunnel.Port(), FailureDomain: a.cfg.Domain,
		Service: u.Service, Slots: u.Slots, Flows: uint32(max(flows, 0)), Busy: uint32(max(busy, 0)),
		Leaving: a.leaving,
	}
	if last, ok := a.tracker.Last(); ok {
		r.State, r.Incarnation = roster.StateActive, last.Incarnation()
		switch {
		case !u.Active:
			r.State = roster.StateDraining
		case a.machine.Health(a.now()) == passthrough.Failing:
			r.State = roster.StateFailing
		}
		if u.Cold {
			r.Warmup = last.Warmup
		}
	} else if a.leaving || a.machine.Vacant(a.now()) {
		r.State = roster.StateVacant
	}
	if a.table != nil {
		r.Version = a.table.Version
	}
	a.numberReport(&r)
	return r
}

func (a *Agent) update(v roster.View) {
	t := a.applyDeclaration(v)
	a.mu.Lock()
	defer a.mu.Unlock()
	if t != nil {
		a.machine.SetTable(t)
	}
	if a.takesRoster(v) {
		peers := roster.Peers(v.Records)
		a.logRosterChange(peers, v)
		a.machine.SetRoster(a.now(), newRoster(peers, v))
	}
}

// Announce processes an announcement of the upstream. Forwarding uses the announcement when it returns.
func (a *Agent) Announce(n upstream.Announcement) upstream.Outcome {
	a.mu.Lock()
	now := time.Now()
	before := a.tracker.Upstream(now)
	earlier, _ := a.tracker.Last()
	e := a.machine.Evidence()
	a.tracker.Evidence = upstream.Evidence{
		Returned: e.Returned, Closed: e.Closed, Held: e.Held, SpokeAt: a.started.Add(time.Duration(e.SpokeMs) * time.Millisecond),
	}
	outcome := a.tracker.Announce(now, n)
	after := a.tracker.Upstream(now)
	a.machine.SetUpstream(a.now(), after, outcome == upstream.Restarted)
	orphans := a.machine.TakeOrphans()
	if n.Born < earlier.Born {
		orphans = nil // the order of the two incarnations is not certain
	}
	if outcome.Followed() {
		a.machine.NoteAnnouncement(a.now())
	}
	health := a.machine.TakeHealthChange()
	a.mu.Unlock()
	a.reportHealth(health)
	a.resetOrphans(orphans)
	if before.Active != after.Active || before.Service != after.Service || outcome != upstream.Accepted {
		_ = a.cfg.Logger.Log("event", "upstream_announced", "upstream", n.ID, "service", n.Service, "sequence", n.Sequence,
			"born", n.Born, "draining", n.Draining, "outcome", outcome, "active", after.Active, "known", earlier.ID,
			"known_born", earlier.Born, "returned_flows", e.Returned, "closed_flows", e.Closed, "held_flows", e.Held)
		a.client.Wake()
	}
	return outcome
}

// LastAnnouncement returns the announcement of the upstream that is in use. It returns false if there is no upstream.
func (a *Agent) LastAnnouncement() (upstream.Announcement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tracker.Last()
}

// Follows reports whether the upstream in use is the incarnation that sent an announcement.
func (a *Agent) Follows(n upstream.Announcement) bool {
	last, known := a.LastAnnouncement()
	return known && last.ID == n.ID && last.Born == n.Born
}

// Gone processes the end of the upstream with the ID.
func (a *Agent) Gone(id string) {
	a.mu.Lock()
	known := a.tracker.End(id)
	a.machine.SetUpstream(a.now(), a.tracker.Upstream(time.Now()), false)
	a.mu.Unlock()
	_ = a.cfg.Logger.Log("event", "upstream_gone", "upstream", id, "known", known)
	if known {
		a.client.Wake()
	}
}

// Ready reports whether the agent has a declaration and is not stopping.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table != nil && !a.leaving
}

// Copies of the stop notice to entries. Links lose some; the last copy is sent before the process ends.
const (
	stoppingCopies   = 3
	stoppingInterval = 100 * time.Millisecond
)

// Leave notifies the control VM and the entries that this process is stopping. It returns when the control VM has
// answered or ctx is done.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	for n := range stoppingCopies {
		time.AfterFunc(time.Duration(n)*stoppingInterval, a.notifyEntries)
	}
	a.client.Report(ctx)
}

// notifyEntries sends a stop notice to the entries that forward flows to this agent.
func (a *Agent) notifyEntries() {
	a.mu.Lock()
	entries := a.machine.Entries()
	a.mu.Unlock()
	for _, at := range entries {
		a.send(passthrough.AppendStopping(nil), at.AddrPort())
	}
}

// Run forwards packets until ctx is done.
func (a *Agent) Run(ctx context.Context) error {
	go a.client.Run(ctx)
	go every(ctx, expiryInterval, a.expireOnce)
	go every(ctx, registrationInterval, a.registerFlows)
	go func() {
		<-ctx.Done()
		_ = a.conn.Close()
		_ = a.outbound.Close()
	}()
	go a.read(ctx, a.outbound, a.handleHost)
	a.read(ctx, a.conn, a.handlePeer)
	return nil
}

func (a *Agent) read(ctx context.Context, conn *net.UDPConn, handle func(b []byte, from netip.AddrPort, out []byte) []byte) {
	in := make([]byte, maxDatagram)
	out := make([]byte, 0, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(in)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			a.counts.addFault("socket_error")
			continue
		}
		out = handle(in[:n], from, out[:0])
	}
}

func (a *Agent) handlePeer(b []byte, from netip.AddrPort, out []byte) []byte {
	datagram, err := passthrough.Decode(b)
	if err == nil && datagram.Invite != nil {
		a.client.Invite(datagram.Invite.AddrPort())
		return out
	}
	if err == nil && datagram.Probe != nil {
		a.send(passthrough.AppendProbeReply(out), datagram.Probe.AddrPort())
		return out
	}
	if err == nil && a.handleDirectory(datagram, passthrough.EndpointOf(from), out) {
		return out
	}
	if err != nil || datagram.Forward == nil {
		a.counts.addFault("malformed")
		return out
	}
	s, err := a.cfg.Codec.Caller(datagram.Packet)
	if err != nil {
		a.counts.addFault("malformed")
		return out
	}
	a.mu.Lock()
	d := a.machine.FromPeer(a.now(), s, *datagram.Forward)
	health := a.machine.TakeHealthChange()
	a.mu.Unlock()
	a.reportHealth(health)
	return a.execute(s, d, datagram.Packet, out)
}

func (a *Agent) handleHost(b []byte, _ netip.AddrPort, out []byte) []byte {
	s, err := a.cfg.Codec.Host(b)
	if err != nil {
		a.counts.addFault("malformed")
		return out
	}
	if s.Bounced {
		a.counts.bounces.Inc()
	}
	a.mu.Lock()
	d := a.machine.FromHost(a.now(), s)
	health := a.machine.TakeHealthChange()
	a.mu.Unlock()
	a.reportHealth(health)
	return a.execute(s, d, b, out)
}

// execute sends, logs and counts what a decision about a packet requires. It returns out for reuse.
func (a *Agent) execute(s passthrough.Segment, d passthrough.Decision, packet, out []byte) []byte {
	a.counts.addDecision(d)
	if d.Change != passthrough.Unchanged {
		a.logChange(s, d)
	}
	switch d.Verdict {
	case passthrough.ToHost:
		a.send(packet, a.cfg.Upstream)
		if d.Also != nil {
			out = a.execute(s, *d.Also, packet, out[:0])
		}
	case passthrough.ToPeer:
		a.cfg.Codec.Clean(packet)
		a.logPeer(s, d)
		out = passthrough.AppendForward(out, d.Forward, packet)
		a.send(out, d.Peer.AddrPort())
	case passthrough.ToSeveral:
		a.cfg.Codec.Clean(packet)
		a.logSweep(s, d)
		for i, peer := range d.Peers {
			h := d.Forward
			h.Section = d.Sections[i]
			out = passthrough.AppendForward(out[:0], h, packet)
			a.send(out, peer.AddrPort())
		}
	case passthrough.ToCaller:
		a.send(packet, callerAddress(s, a.cfg.Tunnel))
		if d.FlowHeld != nil {
			out = passthrough.AppendFlowHeld(out, *d.FlowHeld)
			a.send(out, d.NotifyEntry.AddrPort())
		}
	case passthrough.SendReset:
		out = a.cfg.Codec.AppendReset(out, s)
		a.logRefusal(s, d)
		a.send(out, callerAddress(s, a.cfg.Tunnel))
	case passthrough.Drop:
		if d.Reason != passthrough.ReasonPassedOn {
			a.logRefusal(s, d)
		}
	}
	a.notify(s, d)
	return out
}

// notify sends the messages of a decision to other nodes.
func (a *Agent) notify(s passthrough.Segment, d passthrough.Decision) {
	if d.FlowLocated != nil {
		a.send(passthrough.AppendFlowLocated(nil, *d.FlowLocated), d.NotifyEntry.AddrPort())
	}
	if d.SectionSearched != nil {
		a.send(passthrough.AppendSectionSearched(nil, *d.SectionSearched), d.Peer.AddrPort())
	}
	if !d.FlowNotHeld {
		return
	}
	message := passthrough.AppendFlowNotHeld(nil, s.Flow)
	a.send(message, d.NotifyEntry.AddrPort())
	for _, node := range d.NotifyNodes {
		if node != (passthrough.Endpoint{}) && node != a.machine.Self {
			a.send(message, node.AddrPort())
		}
	}
}

// reportHealth logs a change of the upstream's health and reports it to the control VM at once.
func (a *Agent) reportHealth(c *passthrough.HealthChange) {
	if c == nil {
		return
	}
	_ = a.cfg.Logger.Log("event", "upstream_health", "health", c.Health, "failed", math.Round(c.Failed), "answered",
		math.Round(c.Answered), "hold_ms", c.HoldMs)
	a.client.Wake()
}

func (a *Agent) send(b []byte, to netip.AddrPort) {
	if _, err := a.conn.WriteToUDPAddrPort(b, to); err != nil {
		a.counts.addFault("send_error")
	}
}

// expireOnce removes expired state and a declaration that was not confirmed in time.
func (a *Agent) expireOnce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.machine.Expire(a.now())
	if a.dropProvisional() {
		a.machine.SetTable(nil)
	}
	a.machine.SetUpstream(a.now(), a.tracker.Upstream(time.Now()), false)
}
