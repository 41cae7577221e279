package flow

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/routing"
)

const (
	// lostGrace is the time for which packets may still reach the flows of a lost member (section 4 of the design).
	lostGrace = 15 * time.Second
	// lostSYNGrace is the longest time that a new flow waits for the answer of a lost member. The member's lease has
	// expired, so it accepts no flows; the home only has to learn of flows that it accepted before. One retransmission
	// of the SYN covers the wait.
	lostSYNGrace = time.Second
	// redirectGrace is the time for which a former home keeps its redirects, for packets of entries with an older
	// revision.
	redirectGrace = 30 * time.Second
)

// service is the agent's state for one service.
type service struct {
	id         model.ServiceID
	index      uint16
	cfg        *model.Service // nil when the service no longer exists in the configuration
	seed       uint64
	generation model.Revision
	isMember   bool // whether this host is in cfg.Members

	homes [routing.Buckets]uint16 // peer index or noPeer
	// homeSince is, for each bucket, the first generation since which its home is known to be unchanged.
	homeSince [routing.Buckets]model.Revision
	// promisedGeneration is, for each bucket, the generation that this agent has promised to promisedHome: it acts as
	// home of the bucket only under this generation or a later one.
	promisedGeneration [routing.Buckets]model.Revision
	promisedHome       [routing.Buckets]uint16

	members  []*member // other members and recently removed members, ordered by host
	flows    int       // owned and established
	halfOpen int       // owned and half-open
	purgeAt  time.Time // when redirects of buckets with another home are deleted; zero if none are due
}

// member is the agent's state for another member of a service.
type member struct {
	peer             uint16
	host             model.HostID
	state            model.UpstreamState
	weight           int
	removed          bool      // whether the configuration no longer lists the member
	lostAt           time.Time // when the agent learned that the member was lost or removed; zero otherwise
	redirectsDeleted bool      // whether deleteLostRedirects was called after lostGrace
	// returnedUnsealed is set from the return of a member that was lost for at least lostSYNGrace until it seals again.
	// Other members may have accepted its flows in the meantime.
	returnedUnsealed bool

	// sealed is the newest generation under which the member has registered all its flows of this agent's buckets.
	sealed model.Revision

	registration registration
	load         memberLoad
}

// isLost reports whether the member is lost or removed.
func (s *member) isLost() bool { return !s.lostAt.IsZero() }

// lostFor reports whether the member has been lost or removed for at least d.
func (s *member) lostFor(now time.Time, d time.Duration) bool {
	return s.isLost() && now.Sub(s.lostAt) >= d
}

func (svc *service) bucket(caller netip.AddrPort) uint32 { return routing.Bucket(svc.seed, caller) }

func (svc *service) memberByPeer(peer uint16) *member {
	for _, s := range svc.members {
		if s.peer == peer {
			return s
		}
	}
	return nil
}

// unsealed reports whether the bucket's home still needs the member's seal, or its answer to a query, before it can
// decide about an unknown flow.
func (svc *service) unsealed(s *member, b uint32) bool { return s.sealed < svc.homeSince[b] }

// graceExpired reports whether the member has been lost for so long that the home may decide without its seal or answer.
// syn selects the grace period of new flows.
func (s *member) graceExpired(now time.Time, syn bool) bool {
	if syn {
		return s.lostFor(now, lostSYNGrace)
	}
	return s.lostFor(now, lostGrace)
}

// unsealedBuckets returns the number of buckets of this home that some member has not sealed.
func (svc *service) unsealedBuckets() int {
	if svc.cfg == nil {
		return 0
	}
	n := 0
	for b, home := range svc.homes {
		if home == selfPeer && slices.ContainsFunc(svc.members, func(s *member) bool { return svc.unsealed(s, uint32(b)) }) {
			n++
		}
	}
	return n
}

// Apply installs a configuration with its bucket table. It ignores an older revision.
func (m *machine) Apply(now time.Time, s *model.Snapshot, t *routing.Table, out []Action) []Action {
	if s.Revision < m.snapshot.Revision {
		return out
	}
	previous := m.snapshot
	m.snapshot, m.table = s, t
	for _, svc := range m.byIndex {
		if s.Services[svc.id] == nil {
			m.withdraw(svc)
		}
	}
	for _, id := range m.ownServices(s) {
		m.applyService(now, previous, s.Services[id])
	}
	m.observeUpstreams(s)
	return m.retryHeld(now, out)
}

// ownServices returns the services in s that the host is or was a member of, ordered by ID.
func (m *machine) ownServices(s *model.Snapshot) []model.ServiceID {
	var ids []model.ServiceID
	for id, cfg := range s.Services {
		_, member := cfg.Member(m.cfg.Self.Host)
		if member || m.services[id] != nil {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// withdraw ends the agent's membership in a service that no longer exists. Packets of its open flows are still
// delivered.
func (m *machine) withdraw(svc *service) {
	svc.cfg, svc.isMember, svc.members = nil, false, nil
	m.deleteRedirects(func(k flowKey, _ record) bool { return k.service() == svc.index })
}

// observeUpstreams records the runs of the peers that the configuration names.
func (m *machine) observeUpstreams(s *model.Snapshot) {
	for _, p := range m.byPeer {
		if up := s.Upstreams[p.host]; up != nil {
			m.observeRun(p, up.Ref.Incarnation)
		}
	}
}

// sawEveryGeneration reports whether the agent skipped no generation of the service between the previous snapshot and
// cfg. Only then does a home or member that is the same in both imply that it was the same all the time in between.
func sawEveryGeneration(previous *model.Snapshot, cfg *model.Service) bool {
	return previous.Revision != 0 && cfg.Generation <= previous.Revision+1
}

// applyService installs the configuration of one service and registers the flows that this requires.
func (m *machine) applyService(now time.Time, previous *model.Snapshot, cfg *model.Service) {
	svc := m.services[cfg.ID]
	if svc == nil {
		if svc = m.newService(cfg.ID); svc == nil {
			return
		}
	}
	isNew := svc.cfg == nil
	wasMember := svc.isMember
	wasLost := !isNew && stateOf(svc.cfg, m.cfg.Self.Host) == model.UpstreamLost
	unchanged := !isNew && svc.generation == cfg.Generation && slices.Equal(svc.cfg.Members, cfg.Members)
	seen := sawEveryGeneration(previous, cfg)
	created := isNew && seen && previous.Services[cfg.ID] == nil

	_, svc.isMember = cfg.Member(m.cfg.Self.Host)
	svc.cfg, svc.seed, svc.generation = cfg, cfg.Seed, cfg.Generation
	m.updateMembers(now, svc, seen && !isNew || created)
	moved := m.updateHomes(now, svc, seen && !isNew)
	if unchanged && moved == nil {
		return
	}
	rejoined := svc.isMember && (!wasMember || wasLost)
	m.registerAll(svc, func(b uint32) bool { return rejoined || moved != nil && moved[b] })
}

func stateOf(cfg *model.Service, host model.HostID) model.UpstreamState {
	member, _ := cfg.Member(host)
	return member.State
}

// newService adds a service. It returns nil when all service indexes are in use.
func (m *machine) newService(id model.ServiceID) *service {
	if len(m.byIndex) > int(noPeer) {
		return nil
	}
	svc := &service{id: id, index: uint16(len(m.byIndex))}
	for b := range svc.homes {
		svc.homes[b] = noPeer
	}
	m.services[id] = svc
	m.byIndex = append(m.byIndex, svc)
	return svc
}

// updateMembers updates the members from the configuration. When the agent has seen every generation, a member that
// joined in the current one cannot have accepted flows before and starts as sealed.
func (m *machine) updateMembers(now time.Time, svc *service, seen bool) {
	for _, s := range svc.members {
		if _, ok := svc.cfg.Member(s.host); !ok && !s.removed {
			s.removed = true
			s.markLost(now)
		}
	}
	for _, configured := range svc.cfg.Members {
		p := m.peer(configured.Host)
		if p == nil || p.index == selfPeer {
			continue
		}
		s := svc.memberByPeer(p.index)
		if s == nil {
			s = &member{peer: p.index, host: p.host}
			if seen {
				s.sealed = svc.generation
			}
			svc.members = append(svc.members, s)
		}
		s.update(now, configured.State, m.weight(configured.Host))
	}
	sort.Slice(svc.members, func(i, j int) bool { return svc.members[i].host < svc.members[j].host })
}

// weight returns the number of slots of a host, or 1 if it is not configured.
func (m *machine) weight(host model.HostID) int {
	if up := m.snapshot.Upstreams[host]; up != nil && up.Slots > 0 {
		return up.Slots
	}
	return 1
}

// update sets the configured state and weight of the member, and records when it was lost or has returned.
func (s *member) update(now time.Time, state model.UpstreamState, weight int) {
	s.state, s.weight, s.removed = state, weight, false
	if state == model.UpstreamLost {
		s.markLost(now)
		return
	}
	s.returnedUnsealed = s.returnedUnsealed || s.lostFor(now, lostSYNGrace)
	s.lostAt = time.Time{}
	if s.redirectsDeleted {
		// Redirects to the member were deleted while it was lost, so it must register again the flows that it still
		// owns.
		s.redirectsDeleted, s.sealed = false, 0
	}
}

// markLost sets lostAt unless the member is already lost.
func (s *member) markLost(now time.Time) {
	if !s.isLost() {
		s.lostAt = now
	}
}

// updateHomes sets the homes from the bucket table. It returns the buckets whose flows must be registered again, or nil
// when there are none. seen is set when the agent has seen every generation.
func (m *machine) updateHomes(now time.Time, svc *service, seen bool) *[routing.Buckets]bool {
	var moved, gained, renewed [routing.Buckets]bool
	changed, lost := false, false
	for b := range svc.homes {
		home := m.homeOf(svc, uint32(b))
		old := svc.homes[b]
		if old == home && seen {
			continue
		}
		moved[b], changed = true, true
		svc.homes[b], svc.homeSince[b] = home, svc.generation
		gained[b] = home == selfPeer && old != home
		renewed[b] = home == selfPeer
		lost = lost || old == selfPeer && old != home
	}
	if lost {
		svc.purgeAt = now.Add(redirectGrace)
	}
	if !changed {
		return nil
	}
	// Redirects of a bucket that this agent becomes the home of again may be outdated and are deleted: the owners
	// register their flows again. When the agent skipped generations, the bucket may or may not have had another home
	// in between. Owners that know that it had none do not register again, therefore registered redirects are kept.
	// Unregistered assignments are deleted in both cases, because another home may have decided about the flow.
	m.deleteRedirects(func(k flowKey, _ record) bool {
		return k.service() == svc.index && gained[svc.bucket(k.caller())]
	})
	m.deletePending(func(k flowKey, _ record) bool {
		return k.service() == svc.index && renewed[svc.bucket(k.caller())]
	})
	return &moved
}

// homeOf returns the home of a bucket in the agent's table.
func (m *machine) homeOf(svc *service, b uint32) uint16 {
	host, ok := m.table.Home(svc.id, b)
	if !ok {
		return noPeer
	}
	p := m.peer(host)
	if p == nil {
		return noPeer
	}
	return p.index
}

// expireMembers deletes redirects to members that have been lost for lostGrace, members that have been removed for as
// long, and, after redirectGrace, redirects of buckets that this agent is no longer the home of.
func (m *machine) expireMembers(now time.Time, svc *service) {
	kept := svc.members[:0]
	for _, s := range svc.members {
		if s.lostFor(now, lostGrace) && !s.redirectsDeleted {
			s.redirectsDeleted = true
			m.deleteLostRedirects(svc, s)
		}
		if !s.removed || !s.redirectsDeleted {
			kept = append(kept, s)
		}
	}
	clear(svc.members[len(kept):])
	svc.members = kept
	if !svc.purgeAt.IsZero() && !now.Before(svc.purgeAt) {
		svc.purgeAt = time.Time{}
		m.deleteRedirects(func(k flowKey, _ record) bool {
			return k.service() == svc.index && svc.homes[svc.bucket(k.caller())] != selfPeer
		})
	}
}

// deleteLostRedirects deletes the redirects to a lost member. Redirects to a removed member are kept while its host is
// in the configuration.
func (m *machine) deleteLostRedirects(svc *service, s *member) {
	if s.removed && m.snapshot.Upstreams[s.host] != nil {
		return
	}
	m.deleteRedirectsTo(s.peer, func(k flowKey) bool { return k.service() == svc.index })
}
