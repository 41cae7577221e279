package flow

import (
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/routing"
)

// MaxHops bounds the number of times that agents forward one packet. Forwarding does not loop below the bound: each
// forward either goes to a home and raises the packet's generation, or follows a redirect, and an agent that is reached
// through a stale redirect declines the packet.
const MaxHops = 4

// machine implements Machine. Only the agent's packet goroutine accesses its fields.
type machine struct {
	cfg      Config
	local    Local
	snapshot *model.Snapshot
	table    *routing.Table

	services map[model.ServiceID]*service
	byIndex  []*service // entries are never removed; flow keys hold the index
	peers    map[model.HostID]*peer
	byPeer   []*peer // by peer.index; 0 is the agent itself

	flows            flowMap[record]   // established flows: owned flows and redirects
	halfOpen         flowMap[halfOpen] // half-open flows: owned flows and assigned flows
	ownedEstablished int               // owned entries in flows
	ownedHalfOpen    int               // owned entries in halfOpen

	lookups      lookupTable
	newerPackets []heldPacket // packets whose generation is newer than the agent's
	tombstones   tombstoneTable
	releases     []peerFlow
	sequence     uint32    // sequence number of the last message about owned flows
	wasCold      bool      // whether the host was cold at the last load report
	warmSince    time.Time // end of the host's last cold start

	fetchedAt  time.Time
	loadSentAt time.Time
	auditedAt  time.Time
	cursor     struct{ halfOpen, audit int }
}

// New returns the machine of one run of an agent, without a configuration. Config.Self.Incarnation must be higher than
// the incarnation of every earlier run on the host. The first configuration must be fetched from the control VMs after
// this run has announced itself to them, so that it is at least as new as every promise of an earlier run.
func New(cfg Config) Machine {
	cfg = cfg.withDefaults()
	m := &machine{
		cfg:      cfg,
		snapshot: model.NewSnapshot(),
		services: map[model.ServiceID]*service{},
		peers:    map[model.HostID]*peer{},
	}
	m.flows.seed, m.halfOpen.seed = cfg.Seed, cfg.Seed
	m.lookups.init()
	m.tombstones.init(cfg.MaxTombstones)
	self := m.peer(cfg.Self.Host)
	self.incarnation = cfg.Self.Incarnation
	return m
}

// Packet handles a caller's packet.
func (m *machine) Packet(now time.Time, p Packet, out []Action) []Action {
	svc := m.services[p.Key.Service]
	if svc == nil {
		return m.handleForeignService(now, p, out)
	}
	k := packKey(svc.index, p.Key.Caller)
	if r, ok := m.flows.get(k); ok && r.owned() {
		return append(out, Action{Kind: ActionDeliver, Packet: p})
	}
	return m.dispatch(now, svc, k, p, noPeer, out)
}

// dispatch handles a packet by the flow tables, or as a packet of an unknown flow. exclude is a peer that the flow must
// not be assigned to.
func (m *machine) dispatch(now time.Time, svc *service, k flowKey, p Packet, exclude uint16, out []Action) []Action {
	r, known := m.flows.get(k)
	if known && r.owned() {
		return append(out, Action{Kind: ActionDeliver, Packet: p})
	}
	h, pending := m.halfOpen.get(k)
	if pending && h.record.owned() {
		return append(out, Action{Kind: ActionDeliver, Packet: p})
	}
	if svc.cfg == nil {
		return m.handleForeignService(now, p, out)
	}
	if p.Generation > svc.generation {
		if known && p.Hops == 0 {
			// The owner of a flow does not depend on the generation. Only packets that come directly from an entry VM
			// are forwarded, so that two agents with outdated redirects cannot forward a packet back and forth.
			return m.forward(svc, r.peer(), p, m.fetch(now, out))
		}
		return m.holdNewer(now, p, out)
	}
	b := svc.bucket(p.Key.Caller)
	if p.Assigned && svc.homes[b] != selfPeer {
		return m.handleAssigned(now, svc, k, b, p, out)
	}
	if svc.homes[b] != selfPeer && p.Hops > 0 && p.Generation == svc.generation {
		// A sender of the same generation knows that this agent is not the home, so it followed a redirect to this
		// agent.
		return m.decline(now, svc, k, svc.homes[b], p, result.FlowUnknown, out)
	}
	if known {
		return m.forward(svc, r.peer(), p, out)
	}
	if pending {
		return m.forwardPending(now, svc, k, b, h, p, out)
	}
	return m.handleUnknownFlow(now, svc, k, b, p, exclude, out)
}

// handleUnknownFlow handles a packet of a flow that is in neither flow table.
func (m *machine) handleUnknownFlow(now time.Time, svc *service, k flowKey, b uint32, p Packet, exclude uint16, out []Action) []Action {
	if svc.promisedGeneration[b] > svc.generation {
		p.Generation = svc.promisedGeneration[b]
		out = m.fetch(now, out)
		return m.forward(svc, svc.promisedHome[b], p, out)
	}
	switch svc.homes[b] {
	case selfPeer:
		return m.handleAtHome(now, svc, k, b, p, exclude, out)
	case noPeer:
		return drop(p, result.FlowOwnerLost, out)
	}
	return m.forward(svc, svc.homes[b], p, out)
}

// handleForeignService handles a packet of a service that this host is not a member of. The packet is forwarded to its
// home, held or dropped, but never delivered locally.
func (m *machine) handleForeignService(now time.Time, p Packet, out []Action) []Action {
	svc := m.snapshot.Services[p.Key.Service]
	switch {
	case p.Generation > m.snapshot.Revision:
		return m.holdNewer(now, p, out)
	case svc == nil:
		return drop(p, result.FlowUnknownService, out)
	case p.Generation > svc.Generation:
		return m.holdNewer(now, p, out)
	case p.Assigned || (p.Hops > 0 && p.Generation == svc.Generation):
		return drop(p, result.FlowWrongService, out)
	}
	home, ok := m.table.Home(svc.ID, routing.Bucket(svc.Seed, p.Key.Caller))
	if !ok || home == m.cfg.Self.Host {
		return drop(p, result.FlowWrongService, out)
	}
	return m.forwardTo(home, svc.Generation, p, out)
}

// forward forwards a packet to a peer under the service's generation.
func (m *machine) forward(svc *service, to uint16, p Packet, out []Action) []Action {
	if to == selfPeer || to == noPeer {
		return drop(p, result.FlowOwnerLost, out)
	}
	return m.forwardTo(m.byPeer[to].host, svc.generation, p, out)
}

// forwardTo forwards a packet with one more hop, and drops it at MaxHops. An assignment is not passed on.
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

// nextSequence returns the sequence number of the next message about owned flows.
func (m *machine) nextSequence() uint32 {
	m.sequence++
	return m.sequence
}

// fetch requests a newer configuration, at most once per fetchInterval.
func (m *machine) fetch(now time.Time, out []Action) []Action {
	if now.Sub(m.fetchedAt) < fetchInterval {
		return out
	}
	m.fetchedAt = now
	return append(out, Action{Kind: ActionFetch})
}

// Message handles a message of another agent. It ignores messages of an earlier run of the sender.
func (m *machine) Message(now time.Time, from model.HostRef, msg Message, out []Action) []Action {
	if from.Host == m.cfg.Self.Host {
		return out
	}
	p := m.peer(from.Host)
	if p == nil || from.Incarnation < p.incarnation {
		return out
	}
	m.observeRun(p, from.Incarnation)
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

// Tick retransmits messages, expires entries, and sends load reports and audits.
func (m *machine) Tick(now time.Time, out []Action) []Action {
	out = m.expireNewer(now, out)
	out = m.tickLookups(now, out)
	out = m.expireHalfOpen(now, out)
	out = m.sendReleases(out)
	for _, svc := range m.byIndex {
		out = m.tickService(now, svc, out)
	}
	out = m.sendLoad(now, out)
	out = m.auditRedirects(now, out)
	m.tombstones.expire(now)
	return out
}

func (m *machine) tickService(now time.Time, svc *service, out []Action) []Action {
	m.expireMembers(now, svc)
	for _, s := range svc.members {
		out = m.continueRegistration(now, svc, s, out)
	}
	return out
}

// Established moves an owned flow out of the half-open table and registers it with the bucket's home.
func (m *machine) Established(key model.FlowKey) {
	svc := m.services[key.Service]
	if svc == nil {
		return
	}
	k := packKey(svc.index, key.Caller)
	h, ok := m.halfOpen.get(k)
	if !ok || !h.record.owned() {
		return
	}
	m.halfOpen.delete(k)
	m.ownedHalfOpen--
	svc.halfOpen--
	m.flows.put(k, h.record)
	m.ownedEstablished++
	svc.flows++
	if !h.record.registered() {
		m.enqueue(svc, k)
	}
}

// Closed removes an owned flow and reports its end to the home.
func (m *machine) Closed(now time.Time, key model.FlowKey) {
	svc := m.services[key.Service]
	if svc == nil {
		return
	}
	m.endOwned(now, svc, packKey(svc.index, key.Caller))
}

// endOwned removes an owned flow and queues a Release to its home. It reports whether the agent owned the flow.
func (m *machine) endOwned(now time.Time, svc *service, k flowKey) bool {
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
	m.tombstones.add(now, k)
	if len(m.releases) < maxReleases {
		m.releases = append(m.releases, peerFlow{key: k, peer: home})
	}
	return true
}

// removeOwned removes an owned flow from the tables. It reports whether the agent owned the flow.
func (m *machine) removeOwned(svc *service, k flowKey) bool {
	if r, ok := m.flows.get(k); ok && r.owned() {
		m.flows.delete(k)
		m.ownedEstablished--
		svc.flows--
		return true
	}
	if h, ok := m.halfOpen.get(k); ok && h.record.owned() {
		m.halfOpen.delete(k)
		m.ownedHalfOpen--
		svc.halfOpen--
		return true
	}
	return false
}

// ownsFlow reports whether the agent owns the flow.
func (m *machine) ownsFlow(k flowKey) bool {
	if r, ok := m.flows.get(k); ok && r.owned() {
		return true
	}
	h, ok := m.halfOpen.get(k)
	return ok && h.record.owned()
}

// redirect returns the other agent that the flow tables name as the flow's owner.
func (m *machine) redirect(k flowKey) (uint16, bool) {
	if r, ok := m.flows.get(k); ok && !r.owned() {
		return r.peer(), true
	}
	if h, ok := m.halfOpen.get(k); ok && !h.record.owned() {
		return h.record.peer(), true
	}
	return noPeer, false
}

// deleteRedirect removes the redirects of a flow to a peer.
func (m *machine) deleteRedirect(k flowKey, to uint16) {
	if r, ok := m.flows.get(k); ok && !r.owned() && r.peer() == to {
		m.flows.delete(k)
	}
	if h, ok := m.halfOpen.get(k); ok && !h.record.owned() && h.record.peer() == to {
		m.halfOpen.delete(k)
	}
}

// addRedirect records another agent as the registered owner of a flow. It returns false when the table is full.
func (m *machine) addRedirect(k flowKey, to uint16) bool {
	if _, ok := m.flows.get(k); !ok && m.redirects() >= m.cfg.MaxRedirects {
		return false
	}
	if h, ok := m.halfOpen.get(k); ok && !h.record.owned() {
		m.halfOpen.delete(k)
	}
	m.flows.put(k, redirectTo(to))
	return true
}

func (m *machine) redirects() int { return m.flows.len() - m.ownedEstablished }

// SetLocal sets the state of the agent's own host. A host that stops accepting flows may be declared lost without
// knowing, and another host may then accept its flows; the flows that it owns at that time are therefore marked as
// suspect.
func (m *machine) SetLocal(l Local) {
	if m.local.AcceptNew && !l.AcceptNew {
		suspect := func(r *record) {
			if r.owned() {
				*r |= recordSuspect
			}
		}
		m.flows.each(func(_ flowKey, r *record) { suspect(r) })
		m.halfOpen.each(func(_ flowKey, h *halfOpen) { suspect(&h.record) })
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
		Owned:     m.ownedEstablished + m.ownedHalfOpen,
		HalfOpen:  m.halfOpen.len(),
		Redirects: m.redirects() + m.halfOpen.len() - m.ownedHalfOpen,
		Held:      m.lookups.heldCount + len(m.newerPackets),
		Unsealed:  unsealed,
	}
}
