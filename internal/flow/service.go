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
	// lostGrace is how long packets may still reach flows of a lost member (section 4 of the design).
	lostGrace = 15 * time.Second
	// lostSYNGrace is how long a new flow waits for the answer of a lost member. A lost member's lease has expired, so it
	// accepts nothing; only flows that it accepted before matter, and one retransmission of the SYN covers the wait.
	lostSYNGrace = time.Second
	// redirectGrace is how long an earlier home keeps its redirects for packets from entries with an older revision.
	redirectGrace = 30 * time.Second
)

// service is the agent's state of one service.
type service struct {
	id         model.ServiceID
	index      uint16
	cfg        *model.Service // nil when this host does not carry the service and owns none of its flows
	seed       uint64
	generation model.Revision
	carried    bool // the host is in cfg.Members

	homes [routing.Buckets]uint16 // peer index or noPeer
	// since is the generation from which the home of a bucket is known to be the same without interruption.
	since [routing.Buckets]model.Revision
	// floor is a promise to a newer home: this agent acts for the bucket only under this generation or a later one.
	floor     [routing.Buckets]model.Revision
	floorHome [routing.Buckets]uint16

	members  []*member // other members and recently removed ones, by host
	flows    int       // owned and established
	halfOpen int       // owned and half-open
	purgeAt  time.Time
}

// member is what the agent knows of another member of a service.
type member struct {
	peer   uint16
	host   model.HostID
	state  model.UpstreamState
	weight int
	former bool      // no longer in the configuration
	lostAt time.Time // when it was learned to be lost or removed; zero otherwise
	swept  bool      // redirects to it were deleted because lostGrace has passed
	// returned is set while a member that was lost for lostSYNGrace has not sealed again. Its flows may have been accepted
	// elsewhere.
	returned bool

	// sealed is the generation at which the member had registered all flows of this agent's buckets.
	sealed model.Revision

	session session
	load    memberLoad
}

func (s *member) gone() bool { return !s.lostAt.IsZero() }

// goneFor reports whether the member has been lost for at least d.
func (s *member) goneFor(now time.Time, d time.Duration) bool {
	return s.gone() && now.Sub(s.lostAt) >= d
}

func (svc *service) bucket(caller netip.AddrPort) uint32 { return routing.Bucket(svc.seed, caller) }

func (svc *service) memberOf(peer uint16) *member {
	for _, s := range svc.members {
		if s.peer == peer {
			return s
		}
	}
	return nil
}

// missing reports whether the bucket's home still needs the member's seal, or its answer to a query, before it decides about an unknown flow.
func (svc *service) missing(s *member, b uint32) bool { return s.sealed < svc.since[b] }

// excused reports whether the home may act without the seal or answer of a member that is lost.
func (s *member) excused(now time.Time, syn bool) bool {
	if syn {
		return s.goneFor(now, lostSYNGrace)
	}
	return s.goneFor(now, lostGrace)
}

// unsealedBuckets returns the number of home buckets that some member has not sealed.
func (svc *service) unsealedBuckets() int {
	if svc.cfg == nil {
		return 0
	}
	n := 0
	for b, home := range svc.homes {
		if home == selfPeer && slices.ContainsFunc(svc.members, func(s *member) bool { return svc.missing(s, uint32(b)) }) {
			n++
		}
	}
	return n
}

// Apply installs a configuration.
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
	return m.retry(now, out)
}

// ownServices returns the services that the host carries or that it still owns flows of, in order.
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

// withdraw stops acting for a service that no longer exists. Its open flows are still delivered.
func (m *machine) withdraw(svc *service) {
	svc.cfg, svc.carried, svc.members = nil, false, nil
	m.deleteRedirects(func(k packed, _ record) bool { return k.service() == svc.index })
}

// observeUpstreams learns the runs of the peers.
func (m *machine) observeUpstreams(s *model.Snapshot) {
	for _, p := range m.byPeer {
		if up := s.Upstreams[p.host]; up != nil {
			m.observe(p, up.Ref.Incarnation)
		}
	}
}

// contiguous reports whether the agent has seen every generation of the service up to the given configuration. Only
// then may it conclude that a home or a member that is the same in both was the same in between.
func contiguous(previous *model.Snapshot, cfg *model.Service) bool {
	return previous.Revision != 0 && cfg.Generation <= previous.Revision+1
}

func (m *machine) applyService(now time.Time, previous *model.Snapshot, cfg *model.Service) {
	svc := m.services[cfg.ID]
	if svc == nil {
		if svc = m.newService(cfg.ID); svc == nil {
			return
		}
	}
	fresh := svc.cfg == nil
	wasMember := svc.carried
	wasLost := !fresh && stateOf(svc.cfg, m.cfg.Self.Host) == model.UpstreamLost
	unchanged := !fresh && svc.generation == cfg.Generation && slices.Equal(svc.cfg.Members, cfg.Members)
	seen := contiguous(previous, cfg)
	created := fresh && seen && previous.Services[cfg.ID] == nil

	_, svc.carried = cfg.Member(m.cfg.Self.Host)
	svc.cfg, svc.seed, svc.generation = cfg, cfg.Seed, cfg.Generation
	m.updateMembers(now, svc, seen && !fresh || created)
	moved := m.updateHomes(now, svc, seen && !fresh)
	if unchanged && moved == nil {
		return
	}
	rejoined := svc.carried && (!wasMember || wasLost)
	m.registerAll(svc, func(b uint32) bool { return rejoined || moved != nil && moved[b] })
}

func stateOf(cfg *model.Service, host model.HostID) model.UpstreamState {
	member, _ := cfg.Member(host)
	return member.State
}

// newService returns nil when no more services can be numbered.
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

// updateMembers brings the members in line with the configuration. When the agent has seen every generation, a member that
// joined in this one cannot have acted earlier and starts sealed.
func (m *machine) updateMembers(now time.Time, svc *service, seen bool) {
	for _, s := range svc.members {
		if _, ok := svc.cfg.Member(s.host); !ok && !s.former {
			s.former = true
			s.markLost(now)
		}
	}
	for _, configured := range svc.cfg.Members {
		p := m.peer(configured.Host)
		if p == nil || p.index == selfPeer {
			continue
		}
		s := svc.memberOf(p.index)
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

func (m *machine) weight(host model.HostID) int {
	if up := m.snapshot.Upstreams[host]; up != nil && up.Slots > 0 {
		return up.Slots
	}
	return 1
}

func (s *member) update(now time.Time, state model.UpstreamState, weight int) {
	s.state, s.weight, s.former = state, weight, false
	if state == model.UpstreamLost {
		s.markLost(now)
		return
	}
	s.returned = s.returned || s.goneFor(now, lostSYNGrace)
	s.lostAt = time.Time{}
	if s.swept {
		// Redirects to the member were deleted while it was lost; it must register what it still owns.
		s.swept, s.sealed = false, 0
	}
}

func (s *member) markLost(now time.Time) {
	if !s.gone() {
		s.lostAt = now
	}
}

// updateHomes takes the homes from the table. It returns the buckets whose flows must be registered anew, or nil when
// there are none.
func (m *machine) updateHomes(now time.Time, svc *service, seen bool) *[routing.Buckets]bool {
	var moved, gained, renewed [routing.Buckets]bool
	any, lost := false, false
	for b := range svc.homes {
		home := m.homeOf(svc, uint32(b))
		old := svc.homes[b]
		if old == home && seen {
			continue
		}
		moved[b], any = true, true
		svc.homes[b], svc.since[b] = home, svc.generation
		gained[b] = home == selfPeer && old != home
		renewed[b] = home == selfPeer
		lost = lost || old == selfPeer && old != home
	}
	if lost {
		svc.purgeAt = now.Add(redirectGrace)
	}
	if !any {
		return nil
	}
	// Redirects from an earlier time as home may be outdated: the owners register again. When the home was only possibly
	// another in between, owners that know better do not, and confirmed redirects are kept. Assignments that were not
	// confirmed are dropped in any case: another home may have decided about the flow.
	m.deleteRedirects(func(k packed, _ record) bool {
		return k.service() == svc.index && gained[svc.bucket(k.caller())]
	})
	m.deletePending(func(k packed, _ record) bool {
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

// expireMembers forgets flows of members that have been lost for lostGrace, members that were removed, and redirects of
// buckets that this agent is no longer the home of.
func (m *machine) expireMembers(now time.Time, svc *service) {
	kept := svc.members[:0]
	for _, s := range svc.members {
		if s.goneFor(now, lostGrace) && !s.swept {
			s.swept = true
			m.sweepLost(svc, s)
		}
		if !s.former || !s.swept {
			kept = append(kept, s)
		}
	}
	clear(svc.members[len(kept):])
	svc.members = kept
	if !svc.purgeAt.IsZero() && !now.Before(svc.purgeAt) {
		svc.purgeAt = time.Time{}
		m.deleteRedirects(func(k packed, _ record) bool {
			return k.service() == svc.index && svc.homes[svc.bucket(k.caller())] != selfPeer
		})
	}
}

// sweepLost deletes the redirects to a member that is lost. A removed member keeps its flows while its host is known.
func (m *machine) sweepLost(svc *service, s *member) {
	if s.former && m.snapshot.Upstreams[s.host] != nil {
		return
	}
	m.deleteRedirectsTo(s.peer, func(k packed) bool { return k.service() == svc.index })
}
