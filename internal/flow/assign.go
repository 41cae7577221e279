package flow

import (
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

const (
	// loadInterval is the shortest interval between two load reports to a peer. With many peers the interval grows, so
	// that an agent sends at most loadMessageRate reports per second, which is about 3 KB/s.
	loadInterval    = 200 * time.Millisecond
	loadMessageRate = 30
	// loadMaxAge is the age from which a load report is ignored. A peer without a current report is assigned no flows.
	loadMaxAge = time.Second
	// warmUpTime is the time in which the weight of a host rises linearly to its full value after a cold start.
	warmUpTime = 10 * time.Second
	// coldFactor scales the weight of a host during a cold start.
	coldFactor = 0.1
	// ownLoadMargin is the fraction by which a home's own score may exceed the mean before the home assigns flows to
	// other members. Each assigned flow costs an extra hop per packet and a redirect entry.
	ownLoadMargin = 0.01
	// minLoadFactor and maxLoadFactor limit the influence of a reported load, which may be stale or wrong. A host that
	// reports too little gains at most 2% of flows, a host that reports too much loses at most 8%.
	minLoadFactor = 0.98
	maxLoadFactor = 1.08
)

// memberLoad is a member's last load report.
type memberLoad struct {
	Load
	receivedAt    time.Time
	warmAt        time.Time // arrival of the report that ended a cold start; zero if the host was never reported cold
	assignedFlows int       // flows that this agent assigned to the member since the report
}

// candidate is a host that can own a new flow.
type candidate struct {
	peer   uint16
	flows  float64 // owned, half-open and assigned since the last report
	weight float64
	score  float64 // flows per weight, corrected by the reported load
	load   float64 // reported load of the host
}

// chooseOwner selects the owner of a new flow. A home whose score is not above the mean keeps the flow. Otherwise it
// picks a host below the mean at random, weighted by the number of flows that the host is short of the mean. All homes
// see the same loads, so that picking the least loaded host would overload it between two reports. chooseOwner returns
// noPeer when no host can accept the flow.
func (m *machine) chooseOwner(now time.Time, svc *service, k flowKey, exclude uint16) uint16 {
	var buf [32]candidate
	candidates := m.candidates(now, svc, exclude, buf[:0])
	if len(candidates) == 0 {
		return noPeer
	}
	mean := scoreCandidates(candidates)
	if candidates[0].peer == selfPeer && candidates[0].score <= mean*(1+ownLoadMargin)+1/candidates[0].weight {
		return selfPeer
	}
	deficit := 0.0
	for _, c := range candidates {
		deficit += max(0, mean-c.score) * c.weight
	}
	if deficit == 0 {
		return candidates[0].peer
	}
	at := float64(k.hash(m.cfg.Seed^uint64(now.UnixNano()))>>11) / (1 << 53) * deficit
	for _, c := range candidates {
		at -= max(0, mean-c.score) * c.weight
		if at < 0 {
			return c.peer
		}
	}
	return candidates[0].peer
}

// candidates appends the hosts that can accept a flow, starting with the agent's own host.
func (m *machine) candidates(now time.Time, svc *service, exclude uint16, candidates []candidate) []candidate {
	if m.canAccept(svc) {
		candidates = append(candidates, candidate{
			peer: selfPeer, flows: float64(svc.flows + svc.halfOpen), load: m.local.Load,
			weight: float64(m.weight(m.cfg.Self.Host)) * warmUpFactor(now, m.local.Cold, m.warmSince),
		})
	}
	for _, s := range svc.members {
		if s.peer != exclude && m.canAssign(now, svc, s) {
			candidates = append(candidates, candidate{
				peer: s.peer, flows: float64(int(s.load.Flows) + s.load.assignedFlows), load: s.load.Load.Load,
				weight: float64(s.weight) * warmUpFactor(now, s.load.Cold, s.load.warmAt),
			})
		}
	}
	return candidates
}

// warmUpFactor returns the factor, from coldFactor to 1, that scales a host's weight during and after a cold start.
func warmUpFactor(now time.Time, cold bool, warmAt time.Time) float64 {
	if cold {
		return coldFactor
	}
	if warmAt.IsZero() || now.Sub(warmAt) >= warmUpTime {
		return 1
	}
	return coldFactor + (1-coldFactor)*float64(now.Sub(warmAt))/float64(warmUpTime)
}

// scoreCandidates sets the score of each candidate and returns the weighted mean. Flow counts come from the agents and
// are exact; the reported load per flow only corrects them, between minLoadFactor and maxLoadFactor.
func scoreCandidates(candidates []candidate) float64 {
	median := medianLoad(candidates)
	var total, weight float64
	for i := range candidates {
		c := &candidates[i]
		c.score = c.flows / c.weight * loadFactor(c.loadPerFlow(), median)
		total += c.score * c.weight
		weight += c.weight
	}
	return total / weight
}

// loadPerFlow returns the reported load of one flow relative to the size of the host.
func (c *candidate) loadPerFlow() float64 {
	if c.flows <= 0 {
		return 0
	}
	return c.load * c.weight / c.flows
}

// medianLoad returns the median load per flow. With the mean instead, a single host that reports no load makes all
// others look overloaded and ends up with 11% more work than the mean.
func medianLoad(candidates []candidate) float64 {
	var buf [32]float64
	loads := buf[:0]
	for i := range candidates {
		loads = append(loads, candidates[i].loadPerFlow())
	}
	slices.Sort(loads)
	return loads[len(loads)/2]
}

// loadFactor returns the factor that corrects a flow count by the load per flow. A load below half of the median is not
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

// refusal returns the reason why the agent may not own another flow, or result.OK.
func (m *machine) refusal(svc *service) result.Code {
	switch {
	case svc.cfg.Closing:
		return result.FlowServiceClosing
	case !svc.isMember:
		return result.FlowWrongService
	case !m.local.AcceptNew:
		return result.FlowLeaseExpired
	case m.ownedEstablished >= m.maxFlows():
		return result.FlowTableFull
	case m.ownedEstablished+m.ownedHalfOpen >= m.maxFlows(), m.halfOpen.len() >= m.cfg.MaxHalfOpen:
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

// canAssign reports whether a member may be assigned a flow. The member's last report must name the agent's generation
// and the agent's current run; otherwise the member would hold or drop the packet.
func (m *machine) canAssign(now time.Time, svc *service, s *member) bool {
	l := &s.load
	return s.state == model.UpstreamActive && !s.isLost() && now.Sub(l.receivedAt) < loadMaxAge && l.Accept &&
		l.Generation == svc.generation && l.Incarnation == m.cfg.Self.Incarnation && int(l.FreeFlows) > l.assignedFlows
}

// openFlow accepts, assigns or refuses a new flow. The agent must be the home of the flow's bucket, and no agent may own
// the flow yet.
func (m *machine) openFlow(now time.Time, svc *service, k flowKey, b uint32, p Packet, exclude uint16, out []Action) []Action {
	if svc.cfg.Closing {
		return append(out, Action{Kind: ActionReset, Packet: p, Code: result.FlowServiceClosing})
	}
	if m.halfOpen.len() >= m.cfg.MaxHalfOpen {
		return drop(p, result.FlowHalfOpenFull, out)
	}
	to := noPeer
	if p.Hops+1 < MaxHops {
		to = m.chooseOwner(now, svc, k, exclude)
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
		m.acceptFlow(now, svc, k)
		return append(out, Action{Kind: ActionDeliver, Packet: p})
	}
	if s := svc.memberByPeer(to); s != nil {
		s.load.assignedFlows++
	}
	h := halfOpen{record: redirectTo(to), since: seconds(now)}
	m.halfOpen.put(k, h)
	return m.forwardAssigned(svc, to, p, out)
}

// acceptFlow makes the agent the owner of a new flow.
func (m *machine) acceptFlow(now time.Time, svc *service, k flowKey) {
	m.halfOpen.put(k, halfOpen{record: recordOwned, since: seconds(now)})
	m.ownedHalfOpen++
	svc.halfOpen++
}

// forwardAssigned forwards a SYN to the member that the home chose as the owner.
func (m *machine) forwardAssigned(svc *service, to uint16, p Packet, out []Action) []Action {
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

// forwardPending forwards a packet of an assigned flow that its owner has not yet registered. A SYN is assigned again,
// because the first copy may be lost.
func (m *machine) forwardPending(now time.Time, svc *service, k flowKey, b uint32, h halfOpen, p Packet, out []Action) []Action {
	to := h.record.peer()
	if p.Flags&FlagSYN == 0 || svc.homes[b] != selfPeer {
		return m.forward(svc, to, p, out)
	}
	if svc.promisedGeneration[b] > svc.generation {
		return m.handleUnknownFlow(now, svc, k, b, p, noPeer, out) // the bucket is promised to a newer home
	}
	if s := svc.memberByPeer(to); s == nil || s.graceExpired(now, true) {
		m.halfOpen.delete(k)
		return m.handleUnknownFlow(now, svc, k, b, p, to, out)
	}
	h.since = seconds(now)
	m.halfOpen.put(k, h)
	return m.forwardAssigned(svc, to, p, out)
}

// handleAssigned handles a packet that a home assigned to this agent.
func (m *machine) handleAssigned(now time.Time, svc *service, k flowKey, b uint32, p Packet, out []Action) []Action {
	if p.Flags&FlagSYN == 0 {
		return drop(p, result.FlowUnknown, out)
	}
	assigner := m.peers[p.Assigner]
	if svc.promisedGeneration[b] > p.Generation || p.Generation < svc.generation {
		// The bucket is promised to a newer home, or the agent may have sealed it under its own generation. In the
		// latter case a home that skipped generations may have deleted its record of this assignment.
		p.Assigned = false
		return m.handleUnknownFlow(now, svc, k, b, p, noPeer, out)
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
		// The caller retransmits. Declining each SYN of a flood would fill the tombstone table.
		return drop(p, code, out)
	}
	if code == result.OK && m.tombstones.refuses(now, k) {
		code = result.FlowUnknown
	}
	if code != result.OK {
		return m.decline(now, svc, k, assigner.index, p, code, out)
	}
	m.deleteStale(k)
	m.acceptFlow(now, svc, k)
	return append(out, Action{Kind: ActionDeliver, Packet: p})
}

// deleteStale deletes a redirect that the agent created while it was the home of the bucket.
func (m *machine) deleteStale(k flowKey) {
	if to, ok := m.redirect(k); ok {
		m.deleteRedirect(k, to)
	}
}

// decline drops a packet and tells the home that this agent does not own the flow. No message is sent when the tombstone
// table is full: a Decline without a tombstone would let a delayed copy of the SYN make this agent a second owner.
func (m *machine) decline(now time.Time, svc *service, k flowKey, home uint16, p Packet, code result.Code, out []Action) []Action {
	out = drop(p, code, out)
	if home == selfPeer || home == noPeer || m.tombstones.full() {
		return out
	}
	m.tombstones.add(now, k)
	msg := Decline{
		Service: svc.id, HomeIncarnation: m.byPeer[home].incarnation, Caller: p.Key.Caller, Code: code,
		Generation: svc.generation, Sequence: m.nextSequence(), Hops: p.Hops,
	}
	if p.Flags&FlagSYN != 0 {
		msg.SYN = append([]byte(nil), p.Raw...)
	}
	return m.send(home, msg, out)
}

// onDecline deletes the redirect to the sender and dispatches the SYN again, with the sender excluded.
func (m *machine) onDecline(now time.Time, from *peer, msg Decline, out []Action) []Action {
	svc := m.services[msg.Service]
	if svc == nil || svc.cfg == nil || msg.HomeIncarnation != m.cfg.Self.Incarnation {
		return out
	}
	b := svc.bucket(msg.Caller)
	if !from.advanceSequence(msg.Sequence) || svc.homes[b] != selfPeer || msg.Generation < svc.homeSince[b] {
		return out
	}
	k := packKey(svc.index, msg.Caller)
	m.deleteRedirect(k, from.index)
	if len(msg.SYN) == 0 || m.ownsFlow(k) {
		return out
	}
	p := Packet{
		Key: model.FlowKey{Service: svc.id, Caller: msg.Caller}, Flags: FlagSYN, Generation: svc.generation,
		Hops: msg.Hops, Raw: msg.SYN,
	}
	return m.dispatch(now, svc, k, p, from.index, out)
}

// sendLoad reports the agent's load to the other members of each service.
func (m *machine) sendLoad(now time.Time, out []Action) []Action {
	peers := 0
	for _, svc := range m.byIndex {
		peers += len(svc.members)
	}
	interval := max(loadInterval, time.Duration(peers)*time.Second/loadMessageRate)
	if now.Sub(m.loadSentAt) < interval {
		return out
	}
	m.loadSentAt = now
	if m.wasCold && !m.local.Cold {
		m.warmSince = now
	}
	m.wasCold = m.local.Cold
	for _, svc := range m.byIndex {
		if svc.cfg == nil || !svc.isMember {
			continue
		}
		for _, s := range svc.members {
			if !s.removed {
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
		FreeFlows: uint32(max(0, m.maxFlows()-m.ownedEstablished-m.ownedHalfOpen)),
		Load:      m.local.Load, Accept: m.canAccept(svc), Cold: m.local.Cold,
	}
}

func (m *machine) onLoad(now time.Time, from *peer, msg Load) {
	svc := m.services[msg.Service]
	if svc == nil {
		return
	}
	s := svc.memberByPeer(from.index)
	if s == nil {
		return
	}
	warmAt := s.load.warmAt
	if s.load.Cold && !msg.Cold {
		warmAt = now
	}
	s.load = memberLoad{Load: msg, receivedAt: now, warmAt: warmAt}
}
