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
	// maxReleases bounds the ended flows that wait for the next Tick; audits find the redirects of dropped ones.
	maxReleases = 4096
)

// session registers the agent's flows with one home. One Register is in flight at a time, so that an acknowledged seal
// implies that everything before it was acknowledged too.
type session struct {
	active   bool // the peer is the home of a bucket
	queue    []packed
	inflight []packed
	waiting  bool              // for the acknowledgement of the Register in flight
	first    uint32            // sequence of the first copy of the Register in flight
	home     model.Incarnation // run of the home that the Register in flight is for
	seal     bool              // the Register in flight carries the seal
	sealed   bool              // the home has acknowledged the seal
	sentAt   time.Time
	tries    int
}

// peerFlow is a flow and the peer to send a message about it.
type peerFlow struct {
	key  packed
	peer uint16
}

// registerAll starts the registration of every flow that its home has not acknowledged. Flows in the given buckets count
// as not acknowledged.
func (m *machine) registerAll(svc *service, moved func(b uint32) bool) {
	m.resetSessions(svc)
	if svc.cfg == nil {
		return
	}
	visit := func(k packed, r *record) {
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
	m.halfOpen.each(func(k packed, h *halfOpen) { visit(k, &h.record) })
}

// resetSessions forgets queues and seals. Seals are sent again after every change of generation.
func (m *machine) resetSessions(svc *service) {
	for _, s := range svc.members {
		s.session = session{}
	}
	if !svc.carried && svc.flows+svc.halfOpen == 0 {
		return
	}
	for _, home := range svc.homes {
		if s := svc.memberOf(home); s != nil {
			s.session.active = true
		}
	}
}

// enqueue registers a flow with the home of its bucket.
func (m *machine) enqueue(svc *service, k packed) {
	if svc.cfg == nil {
		return
	}
	if s := svc.memberOf(svc.homes[svc.bucket(k.caller())]); s != nil {
		s.session.active = true
		s.session.queue = append(s.session.queue, k)
	}
}

// pump sends or retransmits the session's Register.
func (m *machine) pump(now time.Time, svc *service, s *member, out []Action) []Action {
	x := &s.session
	home := m.byPeer[s.peer]
	if !x.active || svc.cfg == nil || home.incarnation == 0 {
		return out
	}
	if x.waiting {
		delay := min(registerRetry<<min(x.tries, 10), registerRetryMax)
		if now.Sub(x.sentAt) < delay {
			return out
		}
		x.tries++
		x.inflight = slices.DeleteFunc(x.inflight, func(k packed) bool { return !m.owns(k) })
		return m.sendRegister(now, svc, s, out)
	}
	x.queue = m.fillInflight(svc, s, x.queue)
	if len(x.inflight) == 0 && x.sealed {
		return out
	}
	x.waiting, x.first, x.tries = true, m.sequence+1, 0
	x.home = home.incarnation
	x.seal = len(x.queue) == 0
	return m.sendRegister(now, svc, s, out)
}

// fillInflight moves flows that are still owned and still belong to the home out of the queue, and returns its rest.
func (m *machine) fillInflight(svc *service, s *member, queue []packed) []packed {
	s.session.inflight = s.session.inflight[:0]
	for len(queue) > 0 && len(s.session.inflight) < MaxCallers {
		k := queue[0]
		queue = queue[1:]
		if m.owns(k) && svc.homes[svc.bucket(k.caller())] == s.peer {
			s.session.inflight = append(s.session.inflight, k)
		}
	}
	if len(queue) == 0 {
		return nil
	}
	return queue
}

func (m *machine) sendRegister(now time.Time, svc *service, s *member, out []Action) []Action {
	x := &s.session
	x.sentAt = now
	callers := make([]netip.AddrPort, len(x.inflight))
	for i, k := range x.inflight {
		callers[i] = k.caller()
	}
	return m.send(s.peer, Register{
		Service: svc.id, Generation: svc.generation, HomeIncarnation: x.home, Sequence: m.nextSequence(), Callers: callers,
		Seal: x.seal,
	}, out)
}

// onRegister records the flows of an owner. It acknowledges only when every flow was recorded.
func (m *machine) onRegister(now time.Time, from *peer, msg Register, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || msg.Generation > svc.generation {
		if msg.Generation > m.knownGeneration(msg.Service) {
			out = m.fetch(now, out)
		}
		return out
	}
	if msg.HomeIncarnation != m.cfg.Self.Incarnation || !from.advance(msg.Sequence) {
		return out
	}
	member := svc.memberOf(from.index)
	var rejected []netip.AddrPort
	for _, caller := range msg.Callers {
		k := pack(svc.index, caller)
		b := svc.bucket(caller)
		if svc.homes[b] != selfPeer {
			continue
		}
		if member != nil && member.returned && m.awaitsOthers(now, svc, b) {
			return out
		}
		out = m.yield(svc, member, k, out)
		ok, full := m.recordOwner(svc, member, k, b, from.index)
		if full {
			return out
		}
		if !ok {
			rejected = append(rejected, caller)
		}
		out = m.settleKey(now, svc, k, out)
	}
	if msg.Seal && member != nil && msg.Generation > member.sealed {
		member.sealed, member.returned = msg.Generation, false
		out = m.settleAll(now, svc, out)
	}
	return m.send(from.index, RegisterAck{
		Service: svc.id, Generation: svc.generation, Incarnation: from.incarnation, Sequence: msg.Sequence,
		Rejected: rejected,
	}, out)
}

// knownGeneration returns the generation of a service in the agent's configuration.
func (m *machine) knownGeneration(id model.ServiceID) model.Revision {
	if cfg := m.snapshot.Services[id]; cfg != nil {
		return cfg.Generation
	}
	return m.snapshot.Revision
}

// awaitsOthers reports whether members that were never lost have still to seal the bucket. Until then a flow of a returned
// member may belong to one of them.
func (m *machine) awaitsOthers(now time.Time, svc *service, b uint32) bool {
	return slices.ContainsFunc(svc.members, func(s *member) bool {
		return !s.returned && svc.missing(s, b) && !s.excused(now, true)
	})
}

// yield ends an own flow that another member owns too, when this agent may have been the lost one.
func (m *machine) yield(svc *service, from *member, k packed, out []Action) []Action {
	r, ok := m.flows.get(k)
	if h, half := m.halfOpen.get(k); !ok && half {
		r, ok = h.record, true
	}
	if !ok || !r.owned() || !r.suspect() || from != nil && from.returned {
		return out
	}
	return m.rejected(svc, model.FlowKey{Service: svc.id, Caller: k.caller()}, out)
}

// recordOwner installs a redirect to a member that says it owns the flow. Another record of the flow is outdated when it
// was neither made by this home's own decision nor confirmed since the agent became the home. Otherwise the member was
// lost and the flow was accepted elsewhere in the meantime; then the newer owner keeps it.
func (m *machine) recordOwner(svc *service, from *member, k packed, b uint32, owner uint16) (ok, full bool) {
	if m.owns(k) {
		return false, false
	}
	if other, known := m.redirect(k); known && other != owner {
		_, pending := m.halfOpen.get(k)
		s := svc.memberOf(other)
		confirmed := s != nil && !s.gone() && !svc.missing(s, b)
		if pending || confirmed || from != nil && from.returned {
			return false, false
		}
	}
	return true, !m.addRedirect(k, owner)
}

// onRegisterAck continues a session.
func (m *machine) onRegisterAck(now time.Time, from *peer, msg RegisterAck, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || msg.Incarnation != m.cfg.Self.Incarnation {
		return out
	}
	if msg.Generation > svc.generation {
		out = m.fetch(now, out)
	}
	s := svc.memberOf(from.index)
	if s == nil || !s.session.waiting || msg.Sequence < s.session.first || msg.Sequence > m.sequence || s.session.home != from.incarnation {
		return out
	}
	x := &s.session
	x.waiting = false
	x.sealed = x.sealed || x.seal
	for _, k := range x.inflight {
		m.markRegistered(k)
	}
	for _, caller := range msg.Rejected {
		out = m.rejected(svc, model.FlowKey{Service: svc.id, Caller: caller}, out)
	}
	return m.pump(now, svc, s, out)
}

func (m *machine) markRegistered(k packed) {
	if r, ok := m.flows.get(k); ok && r.owned() {
		m.flows.put(k, r|recordRegistered)
	}
	if h, ok := m.halfOpen.get(k); ok && h.record.owned() {
		h.record |= recordRegistered
		m.halfOpen.put(k, h)
	}
}

// rejected ends a flow that has another owner.
func (m *machine) rejected(svc *service, key model.FlowKey, out []Action) []Action {
	if !m.removeOwned(svc, pack(svc.index, key.Caller)) {
		return out
	}
	return append(out, Action{Kind: ActionCloseLocal, Packet: Packet{Key: key}, Code: result.FlowOwnerLost})
}

// sendReleases tells the homes about ended flows.
func (m *machine) sendReleases(out []Action) []Action {
	m.groupByPeer(m.releases, func(to uint16, svc *service, callers []netip.AddrPort) {
		out = m.send(to, Release{
			Service: svc.id, Generation: svc.generation, Sequence: m.nextSequence(), Callers: callers,
		}, out)
	})
	m.releases = m.releases[:0]
	return out
}

// groupByPeer calls emit with up to MaxCallers flows of one peer and service at a time. It reorders items.
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

// onRelease deletes the redirects of ended flows. A release from before the agent became the home of the bucket is
// outdated: the sender may own a newer flow of the same caller port.
func (m *machine) onRelease(from *peer, msg Release) {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || !from.advance(msg.Sequence) {
		return
	}
	for _, caller := range msg.Callers {
		if msg.Generation >= svc.since[svc.bucket(caller)] {
			m.deleteRedirect(pack(svc.index, caller), from.index)
		}
	}
}

// expireHalfOpen ends own flows whose handshake did not complete, and marks old assigned ones for an audit.
func (m *machine) expireHalfOpen(now time.Time, out []Action) []Action {
	const perTick = 1024 // slots; visits the default table within a second
	limit := uint32(halfOpenTimeout / time.Second)
	var expired []packed
	m.cursor.halfOpen = m.halfOpen.scan(m.cursor.halfOpen, perTick, func(k packed, h *halfOpen) {
		if h.record.owned() && elapsed(now, h.since) >= limit {
			expired = append(expired, k)
		}
	})
	for _, k := range expired {
		svc := m.byIndex[k.service()]
		m.forget(now, svc, k)
		key := model.FlowKey{Service: svc.id, Caller: k.caller()}
		out = append(out, Action{Kind: ActionCloseLocal, Packet: Packet{Key: key}, Code: result.FlowSilent})
	}
	return out
}
