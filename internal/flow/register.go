package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

const (
	// registerRetry is the first retransmission delay of a Register. It doubles up to registerRetryMax.
	registerRetry    = 100 * time.Millisecond
	registerRetryMax = 1600 * time.Millisecond
	// maxReleases bounds the ended flows that wait for the next Tick. Flows beyond it are not released; audits find
	// their redirects.
	maxReleases = 4096
)

// registration is the state of registering the agent's flows of one service with one home. One Register is in flight at
// a time, so that an acknowledged seal implies that every earlier Register was acknowledged too.
type registration struct {
	active          bool // whether the peer is the home of some bucket
	queue           []flowKey
	inflight        []flowKey
	awaitingAck     bool              // whether a Register is in flight
	firstSequence   uint32            // sequence number of the first transmission of the Register in flight
	homeIncarnation model.Incarnation // run of the home that the Register in flight is addressed to
	sealInFlight    bool              // whether the Register in flight carries the seal
	sealAcked       bool              // whether the home has acknowledged the seal
	sentAt          time.Time
	retries         int
}

// peerFlow is a flow and the peer that a message about the flow goes to.
type peerFlow struct {
	key  flowKey
	peer uint16
}

// registerAll starts the registration of every owned flow that its home has not acknowledged. Earlier acknowledgements
// of flows in moved buckets are discarded.
func (m *machine) registerAll(svc *service, moved func(b uint32) bool) {
	m.resetRegistrations(svc)
	if svc.cfg == nil {
		return
	}
	visit := func(k flowKey, r *record) {
		if !r.owned() || k.service() != svc.index {
			return
		}
		b := svc.bucket(k.caller())
		if moved(b) {
			*r &^= recordRegistered
		}
		if !r.registered() {
			m.enqueue(svc, k)
		}
	}
	m.flows.each(visit)
	m.halfOpen.each(func(k flowKey, h *halfOpen) { visit(k, &h.record) })
}

// resetRegistrations clears all registrations and activates those with the current homes. Seals are sent again after
// every change of generation.
func (m *machine) resetRegistrations(svc *service) {
	for _, s := range svc.members {
		s.registration = registration{}
	}
	if !svc.isMember && svc.flows+svc.halfOpen == 0 {
		return
	}
	for _, home := range svc.homes {
		if s := svc.memberByPeer(home); s != nil {
			s.registration.active = true
		}
	}
}

// enqueue queues a flow for registration with the home of its bucket.
func (m *machine) enqueue(svc *service, k flowKey) {
	if svc.cfg == nil {
		return
	}
	if s := svc.memberByPeer(svc.homes[svc.bucket(k.caller())]); s != nil {
		s.registration.active = true
		s.registration.queue = append(s.registration.queue, k)
	}
}

// continueRegistration sends the next Register to a home, or retransmits the one in flight when it is due.
func (m *machine) continueRegistration(now time.Time, svc *service, s *member, out []Action) []Action {
	reg := &s.registration
	home := m.byPeer[s.peer]
	if !reg.active || svc.cfg == nil || home.incarnation == 0 {
		return out
	}
	if reg.awaitingAck {
		delay := min(registerRetry<<min(reg.retries, 10), registerRetryMax)
		if now.Sub(reg.sentAt) < delay {
			return out
		}
		reg.retries++
		reg.inflight = slices.DeleteFunc(reg.inflight, func(k flowKey) bool { return !m.ownsFlow(k) })
		return m.sendRegister(now, svc, s, out)
	}
	reg.queue = m.fillInflight(svc, s, reg.queue)
	if len(reg.inflight) == 0 && reg.sealAcked {
		return out
	}
	reg.awaitingAck, reg.firstSequence, reg.retries = true, m.sequence+1, 0
	reg.homeIncarnation = home.incarnation
	reg.sealInFlight = len(reg.queue) == 0
	return m.sendRegister(now, svc, s, out)
}

// fillInflight moves up to MaxCallers queued flows into the registration's inflight list and returns the remaining
// queue. Flows that have ended or whose bucket has another home are skipped.
func (m *machine) fillInflight(svc *service, s *member, queue []flowKey) []flowKey {
	s.registration.inflight = s.registration.inflight[:0]
	for len(queue) > 0 && len(s.registration.inflight) < MaxCallers {
		k := queue[0]
		queue = queue[1:]
		if m.ownsFlow(k) && svc.homes[svc.bucket(k.caller())] == s.peer {
			s.registration.inflight = append(s.registration.inflight, k)
		}
	}
	if len(queue) == 0 {
		return nil
	}
	return queue
}

// sendRegister sends the Register in flight under a new sequence number.
func (m *machine) sendRegister(now time.Time, svc *service, s *member, out []Action) []Action {
	reg := &s.registration
	reg.sentAt = now
	callers := make([]netip.AddrPort, len(reg.inflight))
	for i, k := range reg.inflight {
		callers[i] = k.caller()
	}
	return m.send(s.peer, Register{
		Service: svc.id, Generation: svc.generation, HomeIncarnation: reg.homeIncarnation, Sequence: m.nextSequence(),
		Callers: callers, Seal: reg.sealInFlight,
	}, out)
}

// onRegister records the sender as the owner of its flows. It acknowledges only when every flow was recorded or
// rejected.
func (m *machine) onRegister(now time.Time, from *peer, msg Register, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || msg.Generation > svc.generation {
		if msg.Generation > m.knownGeneration(msg.Service) {
			out = m.fetch(now, out)
		}
		return out
	}
	if msg.HomeIncarnation != m.cfg.Self.Incarnation || !from.advanceSequence(msg.Sequence) {
		return out
	}
	member := svc.memberByPeer(from.index)
	var rejected []netip.AddrPort
	for _, caller := range msg.Callers {
		k := packKey(svc.index, caller)
		b := svc.bucket(caller)
		if svc.homes[b] != selfPeer {
			continue
		}
		if member != nil && member.returnedUnsealed && m.awaitsOtherSeals(now, svc, b) {
			return out
		}
		out = m.endDuplicate(svc, member, k, out)
		ok, full := m.recordOwner(svc, member, k, b, from.index)
		if full {
			return out
		}
		if !ok {
			rejected = append(rejected, caller)
		}
		out = m.resolveFlow(now, svc, k, out)
	}
	if msg.Seal && member != nil && msg.Generation > member.sealed {
		member.sealed, member.returnedUnsealed = msg.Generation, false
		out = m.resolveAll(now, svc, out)
	}
	return m.send(from.index, RegisterAck{
		Service: svc.id, Generation: svc.generation, Incarnation: from.incarnation, Sequence: msg.Sequence,
		Rejected: rejected,
	}, out)
}

// knownGeneration returns the generation of a service in the agent's configuration, or the configuration's revision if
// the service does not exist.
func (m *machine) knownGeneration(id model.ServiceID) model.Revision {
	if cfg := m.snapshot.Services[id]; cfg != nil {
		return cfg.Generation
	}
	return m.snapshot.Revision
}

// awaitsOtherSeals reports whether the bucket still needs the seal of a member other than the returned ones. Until then
// such a member may own a flow that a returned member registers.
func (m *machine) awaitsOtherSeals(now time.Time, svc *service, b uint32) bool {
	return slices.ContainsFunc(svc.members, func(s *member) bool {
		return !s.returnedUnsealed && svc.unsealed(s, b) && !s.graceExpired(now, true)
	})
}

// endDuplicate closes an owned flow that another member reports as its own, if this agent may have been the one declared
// lost.
func (m *machine) endDuplicate(svc *service, from *member, k flowKey, out []Action) []Action {
	r, ok := m.flows.get(k)
	if h, half := m.halfOpen.get(k); !ok && half {
		r, ok = h.record, true
	}
	if !ok || !r.owned() || !r.suspect() || from != nil && from.returnedUnsealed {
		return out
	}
	return m.closeOwned(svc, model.FlowKey{Service: svc.id, Caller: k.caller()}, out)
}

// recordOwner installs a redirect to a member that reports that it owns the flow. A redirect to another member is
// outdated, and is replaced, unless this home assigned the flow itself or the other member confirmed it since the agent
// became the home. In these cases the reporting member was lost and another member accepted the flow in the meantime;
// the newer owner keeps the flow. ok is false when the flow has another owner, and full is set when the redirect table
// is full.
func (m *machine) recordOwner(svc *service, from *member, k flowKey, b uint32, owner uint16) (ok, full bool) {
	if m.ownsFlow(k) {
		return false, false
	}
	if other, known := m.redirect(k); known && other != owner {
		_, pending := m.halfOpen.get(k)
		s := svc.memberByPeer(other)
		confirmed := s != nil && !s.isLost() && !svc.unsealed(s, b)
		if pending || confirmed || from != nil && from.returnedUnsealed {
			return false, false
		}
	}
	return true, !m.addRedirect(k, owner)
}

// onRegisterAck ends the transmission of the Register in flight, closes rejected flows and sends the next Register.
func (m *machine) onRegisterAck(now time.Time, from *peer, msg RegisterAck, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || msg.Incarnation != m.cfg.Self.Incarnation {
		return out
	}
	if msg.Generation > svc.generation {
		out = m.fetch(now, out)
	}
	s := svc.memberByPeer(from.index)
	if s == nil || !s.registration.awaitingAck || msg.Sequence < s.registration.firstSequence ||
		msg.Sequence > m.sequence || s.registration.homeIncarnation != from.incarnation {
		return out
	}
	reg := &s.registration
	reg.awaitingAck = false
	reg.sealAcked = reg.sealAcked || reg.sealInFlight
	for _, k := range reg.inflight {
		m.markRegistered(k)
	}
	for _, caller := range msg.Rejected {
		out = m.closeOwned(svc, model.FlowKey{Service: svc.id, Caller: caller}, out)
	}
	return m.continueRegistration(now, svc, s, out)
}

func (m *machine) markRegistered(k flowKey) {
	if r, ok := m.flows.get(k); ok && r.owned() {
		m.flows.put(k, r|recordRegistered)
	}
	if h, ok := m.halfOpen.get(k); ok && h.record.owned() {
		h.record |= recordRegistered
		m.halfOpen.put(k, h)
	}
}

// closeOwned removes an owned flow that has another owner, and closes its local connection.
func (m *machine) closeOwned(svc *service, key model.FlowKey, out []Action) []Action {
	if !m.removeOwned(svc, packKey(svc.index, key.Caller)) {
		return out
	}
	return append(out, Action{Kind: ActionCloseLocal, Packet: Packet{Key: key}, Code: result.FlowOwnerLost})
}

// sendReleases sends the queued releases to the homes.
func (m *machine) sendReleases(out []Action) []Action {
	m.groupByPeer(m.releases, func(to uint16, svc *service, callers []netip.AddrPort) {
		out = m.send(to, Release{
			Service: svc.id, Generation: svc.generation, Sequence: m.nextSequence(), Callers: callers,
		}, out)
	})
	m.releases = m.releases[:0]
	return out
}

// groupByPeer calls emit with batches of up to MaxCallers flows of the same peer and service. It overwrites items.
func (m *machine) groupByPeer(items []peerFlow, emit func(to uint16, svc *service, callers []netip.AddrPort)) {
	for len(items) > 0 {
		first := items[0]
		var callers []netip.AddrPort
		rest := items[:0]
		for _, f := range items {
			if f.peer == first.peer && f.key.service() == first.key.service() && len(callers) < MaxCallers {
				callers = append(callers, f.key.caller())
				continue
			}
			rest = append(rest, f)
		}
		items = rest
		emit(first.peer, m.byIndex[first.key.service()], callers)
	}
}

// onRelease deletes the redirects of ended flows. A Release of a generation before the agent became the home of the
// bucket is outdated and is ignored: the sender may own a newer flow of the same caller port.
func (m *machine) onRelease(from *peer, msg Release) {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || !from.advanceSequence(msg.Sequence) {
		return
	}
	for _, caller := range msg.Callers {
		if msg.Generation >= svc.homeSince[svc.bucket(caller)] {
			m.deleteRedirect(packKey(svc.index, caller), from.index)
		}
	}
}

// expireHalfOpen ends owned flows whose handshake did not complete within halfOpenTimeout.
func (m *machine) expireHalfOpen(now time.Time, out []Action) []Action {
	const perTick = 1024 // slots; covers a table of the default size within one second
	limit := uint32(halfOpenTimeout / time.Second)
	var expired []flowKey
	m.cursor.halfOpen = m.halfOpen.scan(m.cursor.halfOpen, perTick, func(k flowKey, h *halfOpen) {
		if h.record.owned() && elapsed(now, h.since) >= limit {
			expired = append(expired, k)
		}
	})
	for _, k := range expired {
		svc := m.byIndex[k.service()]
		m.endOwned(now, svc, k)
		key := model.FlowKey{Service: svc.id, Caller: k.caller()}
		out = append(out, Action{Kind: ActionCloseLocal, Packet: Packet{Key: key}, Code: result.FlowSilent})
	}
	return out
}
