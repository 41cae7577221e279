package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

const (
	// queryRetry is the delay after which unanswered members are asked again.
	queryRetry = 100 * time.Millisecond
	// holdLife is how long a packet is held. Callers retransmit within this time.
	holdLife = 2 * time.Second
	// maxHeldPerFlow bounds the held packets of one flow.
	maxHeldPerFlow = 4
	// fetchInterval is the shortest time between two ActionFetch.
	fetchInterval = 100 * time.Millisecond
	// auditInterval and auditBatch bound the traffic of audits to about 300 B/s.
	auditInterval = time.Second
	auditBatch    = 16
	// pendingAudit is the age at which an assigned flow that was not confirmed is audited. The owner has given up its
	// half-open flow by then.
	pendingAudit = halfOpenTimeout + 15*time.Second
)

// held is a packet that waits, with a copy of its bytes.
type held struct {
	packet Packet
	until  time.Time
}

// claim is a question to the members about a flow that the home does not know.
type claim struct {
	service    *service
	key        packed
	bucket     uint32
	generation model.Revision
	free       []uint16 // peers that answered that they do not own the flow
	first      time.Time
	asked      time.Time
	packets    []Packet
	exclude    uint16
}

// claimTable holds the open claims in the order of their start.
type claimTable struct {
	byKey map[packed]*claim
	order []*claim
	held  int // packets of all claims
	syns  int // SYN packets of all claims
}

func (t *claimTable) init() { t.byKey = map[packed]*claim{} }

func (t *claimTable) remove(c *claim) {
	delete(t.byKey, c.key)
	t.order = slices.DeleteFunc(t.order, func(o *claim) bool { return o == c })
	t.held -= len(c.packets)
	t.syns -= countSYN(c.packets)
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

// clone copies what the caller of Packet may reuse.
func clone(p Packet) Packet {
	p.Raw = append([]byte(nil), p.Raw...)
	return p
}

// atHome handles a packet of an unknown flow at the home of its bucket.
func (m *machine) atHome(now time.Time, svc *service, k packed, b uint32, p Packet, exclude uint16, out []Action) []Action {
	syn := p.Flags&FlagSYN != 0
	if m.claims.byKey[k] == nil && !m.mustAsk(now, svc, b, syn, nil) {
		if syn {
			return m.open(now, svc, k, b, p, exclude, out)
		}
		return reset(p, out)
	}
	return m.hold(now, svc, k, b, p, exclude, out)
}

// reset answers a packet that has no owner. A reset is never answered with a reset.
func reset(p Packet, out []Action) []Action {
	if p.Flags&FlagRST != 0 {
		return drop(p, result.FlowUnknown, out)
	}
	return append(out, Action{Kind: ActionReset, Packet: p, Code: result.FlowUnknown})
}

// mustAsk reports whether a member that could own the flow has neither sealed the bucket nor answered.
func (m *machine) mustAsk(now time.Time, svc *service, b uint32, syn bool, free []uint16) bool {
	for _, s := range svc.members {
		if svc.missing(s, b) && !s.excused(now, syn) && !slices.Contains(free, s.peer) {
			return true
		}
	}
	return false
}

// hold keeps a packet and asks the members. SYNs may fill only half of the queue, so that a SYN flood leaves room for
// packets of established flows.
func (m *machine) hold(now time.Time, svc *service, k packed, b uint32, p Packet, exclude uint16, out []Action) []Action {
	syn := p.Flags&FlagSYN != 0
	c := m.claims.byKey[k]
	switch {
	case m.claims.held+len(m.behind) >= m.cfg.MaxHeld,
		syn && m.claims.syns >= m.cfg.MaxHeld/2,
		c != nil && len(c.packets) >= maxHeldPerFlow:
		return drop(p, result.FlowHoldQueueFull, out)
	}
	fresh := c == nil
	if fresh {
		c = &claim{service: svc, key: k, bucket: b, generation: svc.generation, first: now, exclude: noPeer}
		m.claims.byKey[k] = c
		m.claims.order = append(m.claims.order, c)
	}
	c.packets = append(c.packets, clone(p))
	m.claims.held++
	if syn {
		m.claims.syns++
		c.exclude = exclude
	}
	if fresh {
		out = m.ask(now, c, out)
	}
	return m.settle(now, c, out)
}

// ask sends the query to the members that have not answered.
func (m *machine) ask(now time.Time, c *claim, out []Action) []Action {
	c.asked = now
	for _, s := range c.service.members {
		if c.service.missing(s, c.bucket) && !s.excused(now, false) && !slices.Contains(c.free, s.peer) {
			out = m.send(s.peer, Query{
				Service: c.service.id, Generation: c.generation, Callers: []netip.AddrPort{c.key.caller()},
			}, out)
		}
	}
	return out
}

// settle ends a claim when its outcome is known.
func (m *machine) settle(now time.Time, c *claim, out []Action) []Action {
	svc, b := c.service, c.bucket
	_, known := m.redirect(c.key)
	if known || m.owns(c.key) || svc.cfg == nil || svc.homes[b] != selfPeer || svc.floor[b] > svc.generation ||
		c.generation != svc.generation {
		return m.dispatchClaim(now, c, out)
	}
	if countSYN(c.packets) > 0 && !m.mustAsk(now, svc, b, true, c.free) {
		return m.openClaim(now, c, out)
	}
	if !m.mustAsk(now, svc, b, false, c.free) {
		return m.resetClaim(c, out)
	}
	if now.Sub(c.first) >= holdLife {
		return m.dropClaim(c, out)
	}
	if m.onlyLost(c) {
		return m.lastResort(now, c, out)
	}
	return out
}

// dispatchClaim handles the held packets again.
func (m *machine) dispatchClaim(now time.Time, c *claim, out []Action) []Action {
	m.claims.remove(c)
	for _, p := range c.packets {
		out = m.dispatch(now, c.service, c.key, p, c.exclude, out)
	}
	return out
}

// openClaim accepts or assigns the flow; the other held packets follow its owner.
func (m *machine) openClaim(now time.Time, c *claim, out []Action) []Action {
	m.claims.remove(c)
	opened := false
	for _, p := range c.packets {
		switch {
		case opened:
			out = m.dispatchKnown(now, c, p, out)
		case p.Flags&FlagSYN != 0:
			out = m.open(now, c.service, c.key, c.bucket, p, c.exclude, out)
			opened = true
		default:
			out = drop(p, result.FlowUnknown, out)
		}
	}
	return out
}

// dispatchKnown handles a further packet of a flow that was just opened. When opening failed, the packet is dropped.
func (m *machine) dispatchKnown(now time.Time, c *claim, p Packet, out []Action) []Action {
	if _, known := m.redirect(c.key); !known && !m.owns(c.key) {
		return drop(p, result.FlowUnknown, out)
	}
	return m.dispatch(now, c.service, c.key, p, noPeer, out)
}

// resetClaim answers one packet with a reset and drops the others.
func (m *machine) resetClaim(c *claim, out []Action) []Action {
	m.claims.remove(c)
	for i, p := range c.packets {
		if i == 0 {
			out = reset(p, out)
			continue
		}
		out = drop(p, result.FlowUnknown, out)
	}
	return out
}

func (m *machine) dropClaim(c *claim, out []Action) []Action {
	m.claims.remove(c)
	for _, p := range c.packets {
		out = drop(p, result.FlowUnknown, out)
	}
	return out
}

// onlyLost reports whether every member that could still own the flow is lost.
func (m *machine) onlyLost(c *claim) bool {
	for _, s := range c.service.members {
		if c.service.missing(s, c.bucket) && !s.gone() && !slices.Contains(c.free, s.peer) {
			return false
		}
	}
	return true
}

// lastResort forwards packets other than SYNs to the lost members. A lost member that owns the flow and is still
// reachable receives them; SYNs stay held until lostSYNGrace.
func (m *machine) lastResort(now time.Time, c *claim, out []Action) []Action {
	var syns []Packet
	for _, p := range c.packets {
		if p.Flags&FlagSYN != 0 {
			syns = append(syns, p)
			continue
		}
		m.claims.held--
		for _, s := range c.service.members {
			if c.service.missing(s, c.bucket) && !s.excused(now, false) && !slices.Contains(c.free, s.peer) {
				out = m.forward(c.service, s.peer, p, out)
			}
		}
	}
	c.packets = syns
	if len(syns) == 0 {
		m.claims.remove(c)
	}
	return out
}

// settleKey settles the claim of a flow, if there is one.
func (m *machine) settleKey(now time.Time, svc *service, k packed, out []Action) []Action {
	if c := m.claims.byKey[k]; c != nil {
		return m.settle(now, c, out)
	}
	return out
}

// settleAll settles the claims of a service, or of all services when svc is nil.
func (m *machine) settleAll(now time.Time, svc *service, out []Action) []Action {
	for _, c := range slices.Clone(m.claims.order) {
		if m.claims.byKey[c.key] == c && (svc == nil || c.service == svc) {
			out = m.settle(now, c, out)
		}
	}
	return out
}

// tickClaims repeats queries and settles claims whose members were lost or whose packets are too old.
func (m *machine) tickClaims(now time.Time, out []Action) []Action {
	for _, c := range slices.Clone(m.claims.order) {
		if now.Sub(c.asked) >= queryRetry {
			out = m.ask(now, c, out)
		}
		out = m.settle(now, c, out)
	}
	return out
}

// onQuery answers a home and promises its bucket to it.
func (m *machine) onQuery(now time.Time, from *peer, msg Query, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil {
		if svc == nil && msg.Generation > m.knownGeneration(msg.Service) {
			out = m.fetch(now, out)
		}
		return out
	}
	a := Answer{
		Service: svc.id, Generation: msg.Generation, Incarnation: from.incarnation, Sequence: m.nextSequence(), Audit: msg.Audit,
	}
	if msg.Generation > svc.generation {
		out = m.fetch(now, out)
	}
	for _, caller := range msg.Callers {
		k := pack(svc.index, caller)
		switch {
		case m.owns(k):
			a.Owned = append(a.Owned, caller)
		case msg.Audit:
			if !m.tombs.full() {
				m.tombs.add(now, k)
				a.Free = append(a.Free, caller)
			}
		case m.promise(svc, svc.bucket(caller), msg.Generation, from.index):
			a.Free = append(a.Free, caller)
		default:
			a.Stale = true
		}
	}
	return m.send(from.index, a, out)
}

// promise gives up acting for a bucket under generations before the given one. It fails when the asking home is itself
// outdated. The promise covers the whole bucket: redirects per flow could expire or be displaced, and the promise must
// not.
func (m *machine) promise(svc *service, b uint32, generation model.Revision, home uint16) bool {
	switch {
	case generation < svc.floor[b] || generation < svc.since[b]:
		return false
	case generation > svc.generation:
		svc.floor[b], svc.floorHome[b] = generation, home
		return true
	}
	return svc.homes[b] == home
}

// onAnswer records the owner of a flow or that a member does not own it.
func (m *machine) onAnswer(now time.Time, from *peer, msg Answer, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || msg.Incarnation != m.cfg.Self.Incarnation || !from.advance(msg.Sequence) {
		return out
	}
	if msg.Stale {
		out = m.fetch(now, out)
	}
	for _, caller := range msg.Owned {
		k, b := pack(svc.index, caller), svc.bucket(caller)
		if svc.homes[b] == selfPeer && msg.Generation >= svc.since[b] && !msg.Audit {
			out = m.yield(svc, svc.memberOf(from.index), k, out)
			m.recordOwner(svc, svc.memberOf(from.index), k, b, from.index)
			out = m.settleKey(now, svc, k, out)
		}
	}
	for _, caller := range msg.Free {
		k, b := pack(svc.index, caller), svc.bucket(caller)
		switch c := m.claims.byKey[k]; {
		case msg.Generation < svc.since[b]:
		case msg.Audit:
			m.deleteRedirect(k, from.index)
		case c != nil && c.generation == msg.Generation && !slices.Contains(c.free, from.index):
			c.free = append(c.free, from.index)
			out = m.settle(now, c, out)
		}
	}
	return out
}

// holdBehind keeps a packet of a newer generation until the configuration arrives.
func (m *machine) holdBehind(now time.Time, p Packet, out []Action) []Action {
	out = m.fetch(now, out)
	if m.claims.held+len(m.behind) >= m.cfg.MaxHeld || p.Flags&FlagSYN != 0 && len(m.behind) >= m.cfg.MaxHeld/2 {
		return drop(p, result.FlowHoldQueueFull, out)
	}
	m.behind = append(m.behind, held{packet: clone(p), until: now.Add(holdLife)})
	return out
}

// retry handles all held packets again after a configuration.
func (m *machine) retry(now time.Time, out []Action) []Action {
	waiting := m.behind
	m.behind = nil
	for _, h := range waiting {
		out = m.Packet(now, h.packet, out)
	}
	return m.settleAll(now, nil, out)
}

func (m *machine) expireBehind(now time.Time, out []Action) []Action {
	for len(m.behind) > 0 && !now.Before(m.behind[0].until) {
		out = drop(m.behind[0].packet, result.FlowUnknown, out)
		m.behind = m.behind[1:]
	}
	return out
}

// audit asks owners about a few redirects at a time. It finds redirects whose Release was lost and assigned flows whose
// handshake never completed.
func (m *machine) audit(now time.Time, out []Action) []Action {
	if now.Sub(m.auditAt) < auditInterval {
		return out
	}
	m.auditAt = now
	var audited []peerFlow
	for visited := 0; visited < m.flows.slots() && len(audited) < auditBatch; visited += auditBatch {
		m.cursor.audit = m.flows.scan(m.cursor.audit, auditBatch, func(k packed, r *record) {
			if !r.owned() {
				audited = append(audited, peerFlow{key: k, peer: r.peer()})
			}
		})
	}
	limit := uint32(pendingAudit / time.Second)
	m.halfOpen.each(func(k packed, h *halfOpen) {
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

// auditable reports whether the agent is the flow's home. Redirects to a host that no longer exists are deleted.
func (m *machine) auditable(f peerFlow) bool {
	svc := m.byIndex[f.key.service()]
	if svc.cfg == nil || svc.homes[svc.bucket(f.key.caller())] != selfPeer {
		return false
	}
	if svc.memberOf(f.peer) == nil && m.snapshot.Upstreams[m.byPeer[f.peer].host] == nil {
		m.deleteRedirect(f.key, f.peer)
		return false
	}
	return true
}
