package flow

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
)

// MaxHops bounds how often agents forward one packet. Forwarding does not loop below the bound: each forward to a home
// raises the packet's generation or follows a redirect, and an agent that is reached by a stale redirect declines.
const MaxHops = 4

// machine implements Machine. All fields are written by its only caller, the agent's packet goroutine.
type machine struct {
	cfg      Config
	local    Local
	snapshot *model.Snapshot
	table    *routing.Table

	services map[model.ServiceID]*service
	byIndex  []*service // entries are never removed; flow keys hold the index
	peers    map[model.HostID]*peer
	byPeer   []*peer // by peer.index; 0 is the agent itself

	flows    store[record]   // established: owned ones and redirects
	halfOpen store[halfOpen] // not established: own ones and assigned ones
	owned    int             // owned entries of flows
	ownHalf  int             // own entries of halfOpen

	claims    claimTable
	behind    []held // packets of a newer generation than the agent's
	tombs     tombstones
	releases  []peerFlow
	sequence  uint32    // of the last statement about own flows
	wasCold   bool      // at the last report of the load
	warmSince time.Time // when the host stopped being cold

	fetchedAt time.Time
	loadAt    time.Time
	auditAt   time.Time
	cursor    struct{ halfOpen, audit int }
}

// New returns the machine of one agent run without a configuration. Config.Self.Incarnation must be higher than that of
// every earlier run on the host. The first configuration must come from the control VMs after that run announced itself:
// it is then at least as new as every promise of an earlier run.
func New(cfg Config) Machine {
	cfg = cfg.withDefaults()
	m := &machine{
		cfg:      cfg,
		snapshot: model.NewSnapshot(),
		services: map[model.ServiceID]*service{},
		peers:    map[model.HostID]*peer{},
	}
	m.flows.seed, m.halfOpen.seed = cfg.Seed, cfg.Seed
	m.claims.init()
	m.tombs.init(cfg.MaxTombstones)
	self := m.peer(cfg.Self.Host)
	self.incarnation = cfg.Self.Incarnation
	return m
}

// Packet handles a caller's packet.
func (m *machine) Packet(now time.Time, p Packet, out []Action) []Action {
	svc := m.services[p.Key.Service]
	if svc == nil {
		return m.foreign(now, p, out)
	}
	k := pack(svc.index, p.Key.Caller)
	if r, ok := m.flows.get(k); ok && r.owned() {
		return append(out, Action{Kind: ActionDeliver, Packet: p})
	}
	return m.dispatch(now, svc, k, p, noPeer, out)
}

// dispatch applies the tables, then the rules for unknown packets. exclude is a peer that must not be assigned the flow.
func (m *machine) dispatch(now time.Time, svc *service, k packed, p Packet, exclude uint16, out []Action) []Action {
	r, known := m.flows.get(k)
	if known && r.owned() {
		return append(out, Action{Kind: ActionDeliver, Packet: p})
	}
	h, pending := m.halfOpen.get(k)
	if pending && h.record.owned() {
		return append(out, Action{Kind: ActionDeliver, Packet: p})
	}
	if svc.cfg == nil {
		return m.foreign(now, p, out)
	}
	if p.Generation > svc.generation {
		if known && p.Hops == 0 {
			// The owner does not depend on the generation. Only packets straight from an entry VM pass, so that two agents
			// with outdated redirects cannot send a packet back and forth.
			return m.forward(svc, r.peer(), p, m.fetch(now, out))
		}
		return m.holdBehind(now, p, out)
	}
	b := svc.bucket(p.Key.Caller)
	if p.Assigned && svc.homes[b] != selfPeer {
		return m.assigned(now, svc, k, b, p, out)
	}
	if svc.homes[b] != selfPeer && p.Hops > 0 && p.Generation == svc.generation {
		// A sender of the same generation knows that this agent is not the home, so it followed a redirect to it.
		return m.decline(now, svc, k, svc.homes[b], p, result.FlowUnknown, out)
	}
	if known {
		return m.forward(svc, r.peer(), p, out)
	}
	if pending {
		return m.toAssigned(now, svc, k, b, h, p, out)
	}
	return m.unknown(now, svc, k, b, p, exclude, out)
}

// unknown handles a packet of a flow that is in no table.
func (m *machine) unknown(now time.Time, svc *service, k packed, b uint32, p Packet, exclude uint16, out []Action) []Action {
	if svc.floor[b] > svc.generation {
		p.Generation = svc.floor[b]
		out = m.fetch(now, out)
		return m.forward(svc, svc.floorHome[b], p, out)
	}
	switch svc.homes[b] {
	case selfPeer:
		return m.atHome(now, svc, k, b, p, exclude, out)
	case noPeer:
		return drop(p, result.FlowOwnerLost, out)
	}
	return m.forward(svc, svc.homes[b], p, out)
}

// foreign handles a packet of a service that this host does not carry. It is never delivered here.
func (m *machine) foreign(now time.Time, p Packet, out []Action) []Action {
	svc := m.snapshot.Services[p.Key.Service]
	switch {
	case p.Generation > m.snapshot.Revision:
		return m.holdBehind(now, p, out)
	case svc == nil:
		return drop(p, result.FlowUnknownService, out)
	case p.Generation > svc.Generation:
		return m.holdBehind(now, p, out)
	case p.Assigned || (p.Hops > 0 && p.Generation == svc.Generation):
		return drop(p, result.FlowWrongService, out)
	}
	home, ok := m.table.Home(svc.ID, routing.Bucket(svc.Seed, p.Key.Caller))
	if !ok || home == m.cfg.Self.Host {
		return drop(p, result.FlowWrongService, out)
	}
	return m.forwardTo(home, svc.Generation, p, out)
}

// forward sends a packet to a peer under the service's generation.
func (m *machine) forward(svc *service, to uint16, p Packet, out []Action) []Action {
	if to == selfPeer || to == noPeer {
		return drop(p, result.FlowOwnerLost, out)
	}
	return m.forwardTo(m.byPeer[to].host, svc.generation, p, out)
}

func (m *machine) forwardTo(to model.HostID, generation model.Revision, p Packet, out []Action) []Action {
	if p.Hops >= MaxHops {
		return drop(p, result.TunnelHopLimit, out)
	}
	p.Hops++
	p.Generation = max(p.Generation, generation)
	p.Assigned, p.Assigner, p.Assignment = false, "", 0
	return append(out, Action{Kind: ActionForward, To: to, Packet: p})
}

func drop(p Packet, code result.Code, out []Action) []Action {
	return append(out, Action{Kind: ActionDrop, Packet: p, Code: code})
}

func (m *machine) send(to uint16, msg Message, out []Action) []Action {
	if to == selfPeer || to == noPeer {
		return out
	}
	return append(out, Action{Kind: ActionSend, To: m.byPeer[to].host, Message: msg})
}

// nextSequence numbers a statement about own flows.
func (m *machine) nextSequence() uint32 {
	m.sequence++
	return m.sequence
}

// fetch asks for a newer configuration, at most once per fetchInterval.
func (m *machine) fetch(now time.Time, out []Action) []Action {
	if now.Sub(m.fetchedAt) < fetchInterval {
		return out
	}
	m.fetchedAt = now
	return append(out, Action{Kind: ActionFetch})
}

// Message handles a message of another agent. Messages of an earlier run of the sender are ignored.
func (m *machine) Message(now time.Time, from model.HostRef, msg Message, out []Action) []Action {
	if from.Host == m.cfg.Self.Host {
		return out
	}
	p := m.peer(from.Host)
	if p == nil || from.Incarnation < p.incarnation {
		return out
	}
	m.observe(p, from.Incarnation)
	switch msg := msg.(type) {
	case Register:
		return m.onRegister(now, p, msg, out)
	case RegisterAck:
		return m.onRegisterAck(now, p, msg, out)
	case Query:
		return m.onQuery(now, p, msg, out)
	case Answer:
		return m.onAnswer(now, p, msg, out)
	case Decline:
		return m.onDecline(now, p, msg, out)
	case Release:
		m.onRelease(p, msg)
	case Load:
		m.onLoad(now, p, msg)
	}
	return out
}

// Tick retransmits, expires and exchanges load.
func (m *machine) Tick(now time.Time, out []Action) []Action {
	out = m.expireBehind(now, out)
	out = m.tickClaims(now, out)
	out = m.expireHalfOpen(now, out)
	out = m.sendReleases(out)
	for _, svc := range m.byIndex {
		out = m.tickService(now, svc, out)
	}
	out = m.sendLoad(now, out)
	out = m.audit(now, out)
	m.tombs.expire(now)
	return out
}

func (m *machine) tickService(now time.Time, svc *service, out []Action) []Action {
	m.expireMembers(now, svc)
	for _, s := range svc.members {
		out = m.pump(now, svc, s, out)
	}
	return out
}

// Established moves an owned flow out of the half-open table and registers it with the bucket's home.
func (m *machine) Established(key model.FlowKey) {
	svc := m.services[key.Service]
	if svc == nil {
		return
	}
	k := pack(svc.index, key.Caller)
	h, ok := m.halfOpen.get(k)
	if !ok || !h.record.owned() {
		return
	}
	m.halfOpen.delete(k)
	m.ownHalf--
	svc.halfOpen--
	m.flows.put(k, h.record)
	m.owned++
	svc.flows++
	if !h.record.registered() {
		m.enqueue(svc, k)
	}
}

// Closed forgets an owned flow and tells its home.
func (m *machine) Closed(now time.Time, key model.FlowKey) {
	svc := m.services[key.Service]
	if svc == nil {
		return
	}
	m.forget(now, svc, pack(svc.index, key.Caller))
}

// forget removes an owned flow. It reports whether there was one.
func (m *machine) forget(now time.Time, svc *service, k packed) bool {
	if !m.removeOwned(svc, k) {
		return false
	}
	home := noPeer
	if svc.cfg != nil {
		home = svc.homes[svc.bucket(k.caller())]
	}
	if home == selfPeer || home == noPeer {
		return true
	}
	m.tombs.add(now, k)
	if len(m.releases) < maxReleases {
		m.releases = append(m.releases, peerFlow{key: k, peer: home})
	}
	return true
}

func (m *machine) removeOwned(svc *service, k packed) bool {
	if r, ok := m.flows.get(k); ok && r.owned() {
		m.flows.delete(k)
		m.owned--
		svc.flows--
		return true
	}
	if h, ok := m.halfOpen.get(k); ok && h.record.owned() {
		m.halfOpen.delete(k)
		m.ownHalf--
		svc.halfOpen--
		return true
	}
	return false
}

// owns reports whether the agent owns the flow.
func (m *machine) owns(k packed) bool {
	if r, ok := m.flows.get(k); ok && r.owned() {
		return true
	}
	h, ok := m.halfOpen.get(k)
	return ok && h.record.owned()
}

// redirect returns the peer that the tables name as owner.
func (m *machine) redirect(k packed) (uint16, bool) {
	if r, ok := m.flows.get(k); ok && !r.owned() {
		return r.peer(), true
	}
	if h, ok := m.halfOpen.get(k); ok && !h.record.owned() {
		return h.record.peer(), true
	}
	return noPeer, false
}

// deleteRedirect removes the redirects of a flow to a peer.
func (m *machine) deleteRedirect(k packed, to uint16) {
	if r, ok := m.flows.get(k); ok && !r.owned() && r.peer() == to {
		m.flows.delete(k)
	}
	if h, ok := m.halfOpen.get(k); ok && !h.record.owned() && h.record.peer() == to {
		m.halfOpen.delete(k)
	}
}

// addRedirect records a confirmed owner. It fails when the table is full.
func (m *machine) addRedirect(k packed, to uint16) bool {
	if _, ok := m.flows.get(k); !ok && m.redirects() >= m.cfg.MaxRedirects {
		return false
	}
	if h, ok := m.halfOpen.get(k); ok && !h.record.owned() {
		m.halfOpen.delete(k)
	}
	m.flows.put(k, redirectTo(to))
	return true
}

func (m *machine) redirects() int { return m.flows.len() - m.owned }

// SetLocal sets the state of the agent's own host. A host that stops accepting may be declared lost without learning of it,
// and its flows may then be accepted elsewhere.
func (m *machine) SetLocal(l Local) {
	if m.local.AcceptNew && !l.AcceptNew {
		suspect := func(r *record) {
			if r.owned() {
				*r |= recordSuspect
			}
		}
		m.flows.each(func(_ packed, r *record) { suspect(r) })
		m.halfOpen.each(func(_ packed, h *halfOpen) { suspect(&h.record) })
	}
	m.local = l
}

// Stats returns current table sizes.
func (m *machine) Stats() Stats {
	unsealed := 0
	for _, svc := range m.byIndex {
		unsealed += svc.unsealedBuckets()
	}
	return Stats{
		Owned:     m.owned + m.ownHalf,
		HalfOpen:  m.halfOpen.len(),
		Redirects: m.redirects() + m.halfOpen.len() - m.ownHalf,
		Held:      m.claims.held + len(m.behind),
		Unsealed:  unsealed,
	}
}
