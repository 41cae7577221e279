package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

const (
	// queryRetry is the interval at which a query is repeated to members that have not answered.
	queryRetry = 100 * time.Millisecond
	// holdTimeout is the longest time that a packet is held. Callers retransmit within this time.
	holdTimeout = 2 * time.Second
	// maxHeldPerFlow bounds the held packets of one flow.
	maxHeldPerFlow = 4
	// fetchInterval is the shortest time between two actions of kind ActionFetch.
	fetchInterval = 100 * time.Millisecond
	// auditInterval and auditBatch bound the traffic of audits to about 300 B/s.
	auditInterval = time.Second
	auditBatch    = 16
	// pendingAuditAge is the age from which an assigned flow that its owner has not registered is audited. The owner's
	// half-open flow has expired by then.
	pendingAuditAge = halfOpenTimeout + 15*time.Second
)

// heldPacket is a packet of a newer generation that waits for the configuration. It has its own copy of the bytes.
type heldPacket struct {
	packet    Packet
	expiresAt time.Time
}

// ownerLookup is a query to the members for the owner of a flow that the home has no record of.
type ownerLookup struct {
	service    *service
	key        flowKey
	bucket     uint32
	generation model.Revision
	notOwners  []uint16 // peers that do not own the flow by their answer
	startedAt  time.Time
	queriedAt  time.Time
	packets    []Packet
	exclude    uint16
}

// lookupTable holds the lookups in progress, in the order of their start.
type lookupTable struct {
	byKey     map[flowKey]*ownerLookup
	order     []*ownerLookup
	heldCount int // held packets of all lookups
	synCount  int // held SYN packets of all lookups
}

func (t *lookupTable) init() { t.byKey = map[flowKey]*ownerLookup{} }

func (t *lookupTable) remove(l *ownerLookup) {
	delete(t.byKey, l.key)
	t.order = slices.DeleteFunc(t.order, func(other *ownerLookup) bool { return other == l })
	t.heldCount -= len(l.packets)
	t.synCount -= countSYN(l.packets)
}

func countSYN(packets []Packet) int {
	n := 0
	for _, p := range packets {
		if p.Flags&FlagSYN != 0 {
			n++
		}
	}
	return n
}

// clonePacket copies the packet's bytes, because the caller of Machine.Packet may reuse its buffer.
func clonePacket(p Packet) Packet {
	p.Raw = append([]byte(nil), p.Raw...)
	return p
}

// handleAtHome handles a packet of an unknown flow when this agent is the home of its bucket.
func (m *machine) handleAtHome(now time.Time, svc *service, k flowKey, b uint32, p Packet, exclude uint16, out []Action) []Action {
	syn := p.Flags&FlagSYN != 0
	if m.lookups.byKey[k] == nil && !m.needsAnswer(now, svc, b, syn, nil) {
		if syn {
			return m.openFlow(now, svc, k, b, p, exclude, out)
		}
		return reset(p, out)
	}
	return m.hold(now, svc, k, b, p, exclude, out)
}

// reset answers a packet of a flow without an owner with a TCP reset. An RST packet is dropped instead.
func reset(p Packet, out []Action) []Action {
	if p.Flags&FlagRST != 0 {
		return drop(p, result.FlowUnknown, out)
	}
	return append(out, Action{Kind: ActionReset, Packet: p, Code: result.FlowUnknown})
}

// needsAnswer reports whether some member that could own the flow has neither sealed the bucket nor answered.
func (m *machine) needsAnswer(now time.Time, svc *service, b uint32, syn bool, free []uint16) bool {
	for _, s := range svc.members {
		if svc.unsealed(s, b) && !s.graceExpired(now, syn) && !slices.Contains(free, s.peer) {
			return true
		}
	}
	return false
}

// hold queues a packet until the lookup of its flow ends, and starts the lookup if there is none. SYNs may fill only
// half of the queue, so that a SYN flood leaves room for packets of established flows.
func (m *machine) hold(now time.Time, svc *service, k flowKey, b uint32, p Packet, exclude uint16, out []Action) []Action {
	syn := p.Flags&FlagSYN != 0
	l := m.lookups.byKey[k]
	switch {
	case m.lookups.heldCount+len(m.newerPackets) >= m.cfg.MaxHeld,
		syn && m.lookups.synCount >= m.cfg.MaxHeld/2,
		l != nil && len(l.packets) >= maxHeldPerFlow:
		return drop(p, result.FlowHoldQueueFull, out)
	}
	isNew := l == nil
	if isNew {
		l = &ownerLookup{service: svc, key: k, bucket: b, generation: svc.generation, startedAt: now, exclude: noPeer}
		m.lookups.byKey[k] = l
		m.lookups.order = append(m.lookups.order, l)
	}
	l.packets = append(l.packets, clonePacket(p))
	m.lookups.heldCount++
	if syn {
		m.lookups.synCount++
		l.exclude = exclude
	}
	if isNew {
		out = m.sendQueries(now, l, out)
	}
	return m.resolveLookup(now, l, out)
}

// sendQueries sends the lookup's query to the members that have not answered.
func (m *machine) sendQueries(now time.Time, l *ownerLookup, out []Action) []Action {
	l.queriedAt = now
	for _, s := range l.service.members {
		if l.service.unsealed(s, l.bucket) && !s.graceExpired(now, false) && !slices.Contains(l.notOwners, s.peer) {
			out = m.send(s.peer, Query{
				Service: l.service.id, Generation: l.generation, Callers: []netip.AddrPort{l.key.caller()},
			}, out)
		}
	}
	return out
}

// resolveLookup ends a lookup when its result is known or when its packets have been held for too long.
func (m *machine) resolveLookup(now time.Time, l *ownerLookup, out []Action) []Action {
	svc, b := l.service, l.bucket
	_, known := m.redirect(l.key)
	if known || m.ownsFlow(l.key) || svc.cfg == nil || svc.homes[b] != selfPeer ||
		svc.promisedGeneration[b] > svc.generation || l.generation != svc.generation {
		return m.dispatchHeld(now, l, out)
	}
	if countSYN(l.packets) > 0 && !m.needsAnswer(now, svc, b, true, l.notOwners) {
		return m.openHeld(now, l, out)
	}
	if !m.needsAnswer(now, svc, b, false, l.notOwners) {
		return m.resetHeld(l, out)
	}
	if now.Sub(l.startedAt) >= holdTimeout {
		return m.dropHeld(l, out)
	}
	if m.onlyLostRemain(l) {
		return m.forwardToLost(now, l, out)
	}
	return out
}

// dispatchHeld ends a lookup and dispatches its held packets again.
func (m *machine) dispatchHeld(now time.Time, l *ownerLookup, out []Action) []Action {
	m.lookups.remove(l)
	for _, p := range l.packets {
		out = m.dispatch(now, l.service, l.key, p, l.exclude, out)
	}
	return out
}

// openHeld ends a lookup that found no owner: the first held SYN opens the flow, and the held packets after it go to the
// new owner.
func (m *machine) openHeld(now time.Time, l *ownerLookup, out []Action) []Action {
	m.lookups.remove(l)
	opened := false
	for _, p := range l.packets {
		switch {
		case opened:
			out = m.dispatchFollowing(now, l, p, out)
		case p.Flags&FlagSYN != 0:
			out = m.openFlow(now, l.service, l.key, l.bucket, p, l.exclude, out)
			opened = true
		default:
			out = drop(p, result.FlowUnknown, out)
		}
	}
	return out
}

// dispatchFollowing dispatches a packet that was held behind the SYN of the same flow. If the SYN was refused, the
// packet is dropped.
func (m *machine) dispatchFollowing(now time.Time, l *ownerLookup, p Packet, out []Action) []Action {
	if _, known := m.redirect(l.key); !known && !m.ownsFlow(l.key) {
		return drop(p, result.FlowUnknown, out)
	}
	return m.dispatch(now, l.service, l.key, p, noPeer, out)
}

// resetHeld ends a lookup that found no owner: it answers the first held packet with a reset and drops the others.
func (m *machine) resetHeld(l *ownerLookup, out []Action) []Action {
	m.lookups.remove(l)
	for i, p := range l.packets {
		if i == 0 {
			out = reset(p, out)
			continue
		}
		out = drop(p, result.FlowUnknown, out)
	}
	return out
}

// dropHeld ends a lookup without a result and drops its held packets.
func (m *machine) dropHeld(l *ownerLookup, out []Action) []Action {
	m.lookups.remove(l)
	for _, p := range l.packets {
		out = drop(p, result.FlowUnknown, out)
	}
	return out
}

// onlyLostRemain reports whether every member that may still own the flow is lost.
func (m *machine) onlyLostRemain(l *ownerLookup) bool {
	for _, s := range l.service.members {
		if l.service.unsealed(s, l.bucket) && !s.isLost() && !slices.Contains(l.notOwners, s.peer) {
			return false
		}
	}
	return true
}

// forwardToLost forwards held packets other than SYNs to the lost members, because the owner may be a lost member that
// is still reachable. SYNs stay held until lostSYNGrace has passed.
func (m *machine) forwardToLost(now time.Time, l *ownerLookup, out []Action) []Action {
	var syns []Packet
	for _, p := range l.packets {
		if p.Flags&FlagSYN != 0 {
			syns = append(syns, p)
			continue
		}
		m.lookups.heldCount--
		for _, s := range l.service.members {
			if l.service.unsealed(s, l.bucket) && !s.graceExpired(now, false) && !slices.Contains(l.notOwners, s.peer) {
				out = m.forward(l.service, s.peer, p, out)
			}
		}
	}
	l.packets = syns
	if len(syns) == 0 {
		m.lookups.remove(l)
	}
	return out
}

// resolveFlow calls resolveLookup for the lookup of a flow, if there is one.
func (m *machine) resolveFlow(now time.Time, svc *service, k flowKey, out []Action) []Action {
	if l := m.lookups.byKey[k]; l != nil {
		return m.resolveLookup(now, l, out)
	}
	return out
}

// resolveAll calls resolveLookup for the lookups of a service, or of all services if svc is nil.
func (m *machine) resolveAll(now time.Time, svc *service, out []Action) []Action {
	for _, l := range slices.Clone(m.lookups.order) {
		if m.lookups.byKey[l.key] == l && (svc == nil || l.service == svc) {
			out = m.resolveLookup(now, l, out)
		}
	}
	return out
}

// tickLookups repeats unanswered queries, and ends lookups whose members were lost or whose packets are too old.
func (m *machine) tickLookups(now time.Time, out []Action) []Action {
	for _, l := range slices.Clone(m.lookups.order) {
		if now.Sub(l.queriedAt) >= queryRetry {
			out = m.sendQueries(now, l, out)
		}
		out = m.resolveLookup(now, l, out)
	}
	return out
}

// onQuery answers a query of a home and promises the buckets of the queried flows to it.
func (m *machine) onQuery(now time.Time, from *peer, msg Query, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil {
		if svc == nil && msg.Generation > m.knownGeneration(msg.Service) {
			out = m.fetch(now, out)
		}
		return out
	}
	a := Answer{
		Service: svc.id, Generation: msg.Generation, Incarnation: from.incarnation, Sequence: m.nextSequence(),
		Audit: msg.Audit,
	}
	if msg.Generation > svc.generation {
		out = m.fetch(now, out)
	}
	for _, caller := range msg.Callers {
		k := packKey(svc.index, caller)
		switch {
		case m.ownsFlow(k):
			a.Owned = append(a.Owned, caller)
		case msg.Audit:
			if !m.tombstones.full() {
				m.tombstones.add(now, k)
				a.Free = append(a.Free, caller)
			}
		case m.promiseBucket(svc, svc.bucket(caller), msg.Generation, from.index):
			a.Free = append(a.Free, caller)
		default:
			a.Stale = true
		}
	}
	return m.send(from.index, a, out)
}

// promiseBucket promises that this agent acts as home of a bucket only under the given generation or a later one. It
// returns false when the querying home is itself outdated. The promise covers the whole bucket and must last, whereas
// redirects of single flows can expire or be displaced.
func (m *machine) promiseBucket(svc *service, b uint32, generation model.Revision, home uint16) bool {
	switch {
	case generation < svc.promisedGeneration[b] || generation < svc.homeSince[b]:
		return false
	case generation > svc.generation:
		svc.promisedGeneration[b], svc.promisedHome[b] = generation, home
		return true
	}
	return svc.homes[b] == home
}

// onAnswer records which of the queried flows the sender owns and which it does not own.
func (m *machine) onAnswer(now time.Time, from *peer, msg Answer, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || msg.Incarnation != m.cfg.Self.Incarnation || !from.advanceSequence(msg.Sequence) {
		return out
	}
	if msg.Stale {
		out = m.fetch(now, out)
	}
	for _, caller := range msg.Owned {
		k, b := packKey(svc.index, caller), svc.bucket(caller)
		if svc.homes[b] == selfPeer && msg.Generation >= svc.homeSince[b] && !msg.Audit {
			out = m.endDuplicate(svc, svc.memberByPeer(from.index), k, out)
			m.recordOwner(svc, svc.memberByPeer(from.index), k, b, from.index)
			out = m.resolveFlow(now, svc, k, out)
		}
	}
	for _, caller := range msg.Free {
		k, b := packKey(svc.index, caller), svc.bucket(caller)
		switch l := m.lookups.byKey[k]; {
		case msg.Generation < svc.homeSince[b]:
		case msg.Audit:
			m.deleteRedirect(k, from.index)
		case l != nil && l.generation == msg.Generation && !slices.Contains(l.notOwners, from.index):
			l.notOwners = append(l.notOwners, from.index)
			out = m.resolveLookup(now, l, out)
		}
	}
	return out
}

// holdNewer queues a packet of a newer generation until the agent has that configuration.
func (m *machine) holdNewer(now time.Time, p Packet, out []Action) []Action {
	out = m.fetch(now, out)
	if m.lookups.heldCount+len(m.newerPackets) >= m.cfg.MaxHeld ||
		p.Flags&FlagSYN != 0 && len(m.newerPackets) >= m.cfg.MaxHeld/2 {
		return drop(p, result.FlowHoldQueueFull, out)
	}
	m.newerPackets = append(m.newerPackets, heldPacket{packet: clonePacket(p), expiresAt: now.Add(holdTimeout)})
	return out
}

// retryHeld handles all held packets again after a configuration was applied.
func (m *machine) retryHeld(now time.Time, out []Action) []Action {
	waiting := m.newerPackets
	m.newerPackets = nil
	for _, h := range waiting {
		out = m.Packet(now, h.packet, out)
	}
	return m.resolveAll(now, nil, out)
}

// expireNewer drops packets of newer generations that were held for holdTimeout.
func (m *machine) expireNewer(now time.Time, out []Action) []Action {
	for len(m.newerPackets) > 0 && !now.Before(m.newerPackets[0].expiresAt) {
		out = drop(m.newerPackets[0].packet, result.FlowUnknown, out)
		m.newerPackets = m.newerPackets[1:]
	}
	return out
}

// auditRedirects queries owners about a few redirects at a time, to find redirects whose Release was lost and assigned
// flows whose handshake never completed.
func (m *machine) auditRedirects(now time.Time, out []Action) []Action {
	if now.Sub(m.auditedAt) < auditInterval {
		return out
	}
	m.auditedAt = now
	var audited []peerFlow
	for visited := 0; visited < m.flows.slots() && len(audited) < auditBatch; visited += auditBatch {
		m.cursor.audit = m.flows.scan(m.cursor.audit, auditBatch, func(k flowKey, r *record) {
			if !r.owned() {
				audited = append(audited, peerFlow{key: k, peer: r.peer()})
			}
		})
	}
	limit := uint32(pendingAuditAge / time.Second)
	m.halfOpen.each(func(k flowKey, h *halfOpen) {
		if !h.record.owned() && elapsed(now, h.since) >= limit && len(audited) < 3*auditBatch {
			audited = append(audited, peerFlow{key: k, peer: h.record.peer()})
		}
	})
	audited = slices.DeleteFunc(audited, func(f peerFlow) bool { return !m.auditable(f) })
	m.groupByPeer(audited, func(to uint16, svc *service, callers []netip.AddrPort) {
		out = m.send(to, Query{Service: svc.id, Generation: svc.generation, Callers: callers, Audit: true}, out)
	})
	return out
}

// auditable reports whether the agent is the home of a redirected flow. It deletes a redirect to a host that no longer
// exists.
func (m *machine) auditable(f peerFlow) bool {
	svc := m.byIndex[f.key.service()]
	if svc.cfg == nil || svc.homes[svc.bucket(f.key.caller())] != selfPeer {
		return false
	}
	if svc.memberByPeer(f.peer) == nil && m.snapshot.Upstreams[m.byPeer[f.peer].host] == nil {
		m.deleteRedirect(f.key, f.peer)
		return false
	}
	return true
}
