package flow

import (
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

const (
	// loadInterval is how often agents exchange their loads. With many peers it is stretched to loadBudget messages a
	// second, which is about 3 KB/s.
	loadInterval = 200 * time.Millisecond
	loadBudget   = 30
	// loadLife is the age at which a load is no longer used; the peer gets no new flows.
	loadLife = time.Second
	// slowStart is how long the share of a host that has become warm grows to its full size.
	slowStart = 10 * time.Second
	// coldShare is the share of a cold host.
	coldShare = 0.1
	// keepMargin is how far a home's own load may exceed the mean before it assigns flows to others. Each assigned flow
	// costs a hop per packet and a redirect.
	keepMargin = 0.01
	// Limits of the influence of a reported load, which may be stale or wrong. A host that reports too little gains at
	// most 2% of flows, one that reports too much loses at most 8%.
	minLoadFactor = 0.98
	maxLoadFactor = 1.08
)

// memberLoad is the last load that a member reported.
type memberLoad struct {
	Load
	at       time.Time
	warmAt   time.Time // when the host reported the end of its cold start; zero when it never was cold
	assigned int       // flows assigned since the report
}

// share is the part of the service's flows that a host should carry.
type share struct {
	peer   uint16
	flows  float64 // owned and on the way
	weight float64
	score  float64 // flows per weight, corrected by the reported load
	load   float64
}

// choose selects the owner of a new flow: the home itself unless it carries more than the mean, else one of the hosts
// below the mean with a probability proportional to the flows that it lacks. All homes see the same loads, so that
// choosing the least loaded host would overload it between two reports. The result is noPeer when no host can accept.
func (m *machine) choose(now time.Time, svc *service, k packed, exclude uint16) uint16 {
	var buf [32]share
	shares := m.shares(now, svc, exclude, buf[:0])
	if len(shares) == 0 {
		return noPeer
	}
	mean := score(shares)
	if shares[0].peer == selfPeer && shares[0].score <= mean*(1+keepMargin)+1/shares[0].weight {
		return selfPeer
	}
	lacking := 0.0
	for _, s := range shares {
		lacking += max(0, mean-s.score) * s.weight
	}
	if lacking == 0 {
		return shares[0].peer
	}
	at := float64(k.hash(m.cfg.Seed^uint64(now.UnixNano()))>>11) / (1 << 53) * lacking
	for _, s := range shares {
		at -= max(0, mean-s.score) * s.weight
		if at < 0 {
			return s.peer
		}
	}
	return shares[0].peer
}

// shares returns the hosts that can accept a flow, the agent itself first.
func (m *machine) shares(now time.Time, svc *service, exclude uint16, shares []share) []share {
	if m.canAccept(svc) {
		shares = append(shares, share{
			peer: selfPeer, flows: float64(svc.flows + svc.halfOpen), load: m.local.Load,
			weight: float64(m.weight(m.cfg.Self.Host)) * warmth(now, m.local.Cold, m.warmSince),
		})
	}
	for _, s := range svc.members {
		if s.peer != exclude && m.canAssign(now, svc, s) {
			shares = append(shares, share{
				peer: s.peer, flows: float64(int(s.load.Flows) + s.load.assigned), load: s.load.Load.Load,
				weight: float64(s.weight) * warmth(now, s.load.Cold, s.load.warmAt),
			})
		}
	}
	return shares
}

// warmth returns the share of the normal weight during and after a cold start.
func warmth(now time.Time, cold bool, warmAt time.Time) float64 {
	if cold {
		return coldShare
	}
	if warmAt.IsZero() || now.Sub(warmAt) >= slowStart {
		return 1
	}
	return coldShare + (1-coldShare)*float64(now.Sub(warmAt))/float64(slowStart)
}

// score sets the scores and returns their mean, weighted by the hosts' weights. Flow counts come from the agents and are
// exact. The reported load per flow only corrects them within limits.
func score(shares []share) float64 {
	median := medianLoad(shares)
	var total, weight float64
	for i := range shares {
		s := &shares[i]
		s.score = s.flows / s.weight * loadFactor(s.loadPerFlow(), median)
		total += s.score * s.weight
		weight += s.weight
	}
	return total / weight
}

// loadPerFlow returns the reported load of one flow relative to the size of the host.
func (s *share) loadPerFlow() float64 {
	if s.flows <= 0 {
		return 0
	}
	return s.load * s.weight / s.flows
}

// medianLoad returns the median load per flow. The mean would let one host that reports no load make all others look
// overloaded: that host then carried 11% more than the mean.
func medianLoad(shares []share) float64 {
	var buf [32]float64
	loads := buf[:0]
	for i := range shares {
		loads = append(loads, shares[i].loadPerFlow())
	}
	slices.Sort(loads)
	return loads[len(loads)/2]
}

// loadFactor returns the correction of a flow count by the load per flow. A load below half of the median is not
// credible for a host with many flows and is ignored.
func loadFactor(perFlow, median float64) float64 {
	if median <= 0 || perFlow < median/2 {
		return 1
	}
	return min(max(perFlow/median, minLoadFactor), maxLoadFactor)
}

// canAccept reports whether the agent may own another flow.
func (m *machine) canAccept(svc *service) bool {
	return m.refusal(svc) == result.OK
}

// refusal returns why the agent may not own another flow.
func (m *machine) refusal(svc *service) result.Code {
	switch {
	case svc.cfg.Closing:
		return result.FlowServiceClosing
	case !svc.carried:
		return result.FlowWrongService
	case !m.local.AcceptNew:
		return result.FlowLeaseExpired
	case m.owned >= m.maxFlows():
		return result.FlowTableFull
	case m.owned+m.ownHalf >= m.maxFlows(), m.halfOpen.len() >= m.cfg.MaxHalfOpen:
		return result.FlowHalfOpenFull
	}
	return result.OK
}

func (m *machine) maxFlows() int {
	if up := m.snapshot.Upstreams[m.cfg.Self.Host]; up != nil && up.MaxConnections > 0 {
		return up.MaxConnections
	}
	return m.cfg.MaxFlows
}

// canAssign reports whether a member may be assigned a flow. It must have reported under the same generation and to this
// run of the agent, else it would hold or drop the packet.
func (m *machine) canAssign(now time.Time, svc *service, s *member) bool {
	l := &s.load
	return s.state == model.UpstreamActive && !s.gone() && now.Sub(l.at) < loadLife && l.Accept &&
		l.Generation == svc.generation && l.Incarnation == m.cfg.Self.Incarnation && int(l.FreeFlows) > l.assigned
}

// open decides about a new flow. The agent is the home of its bucket and no other agent owns it.
func (m *machine) open(now time.Time, svc *service, k packed, b uint32, p Packet, exclude uint16, out []Action) []Action {
	if svc.cfg.Closing {
		return append(out, Action{Kind: ActionReset, Packet: p, Code: result.FlowServiceClosing})
	}
	if m.halfOpen.len() >= m.cfg.MaxHalfOpen {
		return drop(p, result.FlowHalfOpenFull, out)
	}
	to := noPeer
	if p.Hops+1 < MaxHops {
		to = m.choose(now, svc, k, exclude)
	} else if m.canAccept(svc) {
		to = selfPeer
	}
	switch to {
	case noPeer:
		code := m.refusal(svc)
		if code == result.FlowTableFull {
			return append(out, Action{Kind: ActionReset, Packet: p, Code: code})
		}
		return drop(p, code, out)
	case selfPeer:
		m.accept(now, svc, k)
		return append(out, Action{Kind: ActionDeliver, Packet: p})
	}
	if s := svc.memberOf(to); s != nil {
		s.load.assigned++
	}
	h := halfOpen{record: redirectTo(to), since: seconds(now)}
	m.halfOpen.put(k, h)
	return m.assign(svc, to, p, out)
}

// accept makes the agent the owner of a new flow.
func (m *machine) accept(now time.Time, svc *service, k packed) {
	m.halfOpen.put(k, halfOpen{record: recordOwned, since: seconds(now)})
	m.ownHalf++
	svc.halfOpen++
}

// assign forwards a SYN to the owner that the home chose.
func (m *machine) assign(svc *service, to uint16, p Packet, out []Action) []Action {
	n := len(out)
	out = m.forward(svc, to, p, out)
	if a := &out[n]; a.Kind == ActionForward {
		owner := m.byPeer[to]
		a.Packet.Assigned, a.Packet.Assigner = true, m.cfg.Self.Host
		a.Packet.Generation = svc.generation
		a.Packet.Assignment = Assignment(m.cfg.Self, model.HostRef{Host: owner.host, Incarnation: owner.incarnation})
	}
	return out
}

// toAssigned forwards a packet of a flow that was assigned and is not yet confirmed. A SYN is assigned again, because
// the first copy may be lost.
func (m *machine) toAssigned(now time.Time, svc *service, k packed, b uint32, h halfOpen, p Packet, out []Action) []Action {
	to := h.record.peer()
	if p.Flags&FlagSYN == 0 || svc.homes[b] != selfPeer {
		return m.forward(svc, to, p, out)
	}
	if svc.floor[b] > svc.generation {
		return m.unknown(now, svc, k, b, p, noPeer, out) // promised to a newer home
	}
	if s := svc.memberOf(to); s == nil || s.excused(now, true) {
		m.halfOpen.delete(k)
		return m.unknown(now, svc, k, b, p, to, out)
	}
	h.since = seconds(now)
	m.halfOpen.put(k, h)
	return m.assign(svc, to, p, out)
}

// assigned handles a packet that the home assigned to this agent.
func (m *machine) assigned(now time.Time, svc *service, k packed, b uint32, p Packet, out []Action) []Action {
	if p.Flags&FlagSYN == 0 {
		return drop(p, result.FlowUnknown, out)
	}
	assigner := m.peers[p.Assigner]
	if svc.floor[b] > p.Generation || p.Generation < svc.generation {
		// The bucket is promised to a newer home, or may be sealed under the agent's generation: a home that skipped
		// generations has forgotten what it assigned before.
		p.Assigned = false
		return m.unknown(now, svc, k, b, p, noPeer, out)
	}
	if assigner == nil || svc.homes[b] != assigner.index {
		return drop(p, result.FlowUnknown, out)
	}
	want := Assignment(model.HostRef{Host: assigner.host, Incarnation: assigner.incarnation}, m.cfg.Self)
	if p.Assignment != want {
		return drop(p, result.FlowUnknown, out)
	}
	code := m.refusal(svc)
	if code == result.FlowHalfOpenFull {
		// The caller retransmits. Declines of a SYN flood would fill the tombstone table.
		return drop(p, code, out)
	}
	if code == result.OK && m.tombs.refuses(now, k) {
		code = result.FlowUnknown
	}
	if code != result.OK {
		return m.decline(now, svc, k, assigner.index, p, code, out)
	}
	m.deleteStale(k)
	m.accept(now, svc, k)
	return append(out, Action{Kind: ActionDeliver, Packet: p})
}

// deleteStale removes a redirect that remains from the agent's own time as home.
func (m *machine) deleteStale(k packed) {
	if to, ok := m.redirect(k); ok {
		m.deleteRedirect(k, to)
	}
}

// decline tells the home that this agent does not own a flow. The home is not told when the tombstone table is
// full: a decline without a tombstone would let a delayed copy of the SYN make this agent a second owner.
func (m *machine) decline(now time.Time, svc *service, k packed, home uint16, p Packet, code result.Code, out []Action) []Action {
	out = drop(p, code, out)
	if home == selfPeer || home == noPeer || m.tombs.full() {
		return out
	}
	m.tombs.add(now, k)
	msg := Decline{
		Service: svc.id, HomeIncarnation: m.byPeer[home].incarnation, Caller: p.Key.Caller, Code: code,
		Generation: svc.generation, Sequence: m.nextSequence(), Hops: p.Hops,
	}
	if p.Flags&FlagSYN != 0 {
		msg.SYN = append([]byte(nil), p.Raw...)
	}
	return m.send(home, msg, out)
}

// onDecline deletes the redirect to the sender and decides about the SYN again.
func (m *machine) onDecline(now time.Time, from *peer, msg Decline, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || msg.HomeIncarnation != m.cfg.Self.Incarnation {
		return out
	}
	b := svc.bucket(msg.Caller)
	if !from.advance(msg.Sequence) || svc.homes[b] != selfPeer || msg.Generation < svc.since[b] {
		return out
	}
	k := pack(svc.index, msg.Caller)
	m.deleteRedirect(k, from.index)
	if len(msg.SYN) == 0 || m.owns(k) {
		return out
	}
	p := Packet{
		Key: model.FlowKey{Service: svc.id, Caller: msg.Caller}, Flags: FlagSYN, Generation: svc.generation,
		Hops: msg.Hops, Raw: msg.SYN,
	}
	return m.dispatch(now, svc, k, p, from.index, out)
}

// sendLoad tells every peer the agent's load.
func (m *machine) sendLoad(now time.Time, out []Action) []Action {
	peers := 0
	for _, svc := range m.byIndex {
		peers += len(svc.members)
	}
	interval := max(loadInterval, time.Duration(peers)*time.Second/loadBudget)
	if now.Sub(m.loadAt) < interval {
		return out
	}
	m.loadAt = now
	if m.wasCold && !m.local.Cold {
		m.warmSince = now
	}
	m.wasCold = m.local.Cold
	for _, svc := range m.byIndex {
		if svc.cfg == nil || !svc.carried {
			continue
		}
		for _, s := range svc.members {
			if !s.former {
				out = m.send(s.peer, m.loadMessage(svc, s), out)
			}
		}
	}
	return out
}

func (m *machine) loadMessage(svc *service, s *member) Load {
	return Load{
		Service: svc.id, Generation: svc.generation, Incarnation: m.byPeer[s.peer].incarnation,
		Flows:     uint32(svc.flows + svc.halfOpen),
		FreeFlows: uint32(max(0, m.maxFlows()-m.owned-m.ownHalf)),
		Load:      m.local.Load, Accept: m.canAccept(svc), Cold: m.local.Cold,
	}
}

func (m *machine) onLoad(now time.Time, from *peer, msg Load) {
	svc := m.services[msg.Service]
	if svc == nil {
		return
	}
	s := svc.memberOf(from.index)
	if s == nil {
		return
	}
	warmAt := s.load.warmAt
	if s.load.Cold && !msg.Cold {
		warmAt = now
	}
	s.load = memberLoad{Load: msg, at: now, warmAt: warmAt}
}
