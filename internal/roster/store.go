package roster

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// Timeouts and intervals of the store.
const (
	// Interval is the time between two reports of a process. After five missed reports (2 s) an upstream gets no new flows.
	Interval = 400 * time.Millisecond
	// expiry is how long the record of a silent process is kept. It covers a freeze of several seconds, during which the
	// flows of the process must not count as lost.
	expiry = 12 * time.Second
	// leavingExpiry is how long the record of a process that stops without an upstream is kept, so that all control VMs
	// receive it.
	leavingExpiry = 3 * time.Second
	// settleTime is how long a new store collects reports at most: a process reports within Interval,
	// or callTimeout later if its control VM does not respond, and every process passes on its last settled roster.
	settleTime = 1200 * time.Millisecond
	// quietPeriod is how long no new agent may have reported before the store is used to place new flows. Processes that
	// start together report within a few retries (retryInterval) of each other; flows placed earlier would overload the
	// first agents.
	quietPeriod = 250 * time.Millisecond
	// placementShare is the share of the agents in the saved lists from which on new flows are placed: one slow agent among
	// hundreds must not delay all callers, and the others can bear its load.
	placementShare = 0.9
	// lateShare is the share of the agents in the saved lists that need not have reported after a common loss of power, when
	// every agent that has reported has a restarted upstream.
	lateShare = 0.02
	// rememberedTrust is how long after the start of a store the saved lists decide about agents that have not heard an
	// upstream: three announcement intervals of an upstream.
	rememberedTrust = 2500 * time.Millisecond
)

// Limits on the processes that are invited after their records have expired.
const (
	absentRetention = time.Hour
	maxAbsent       = 1024
)

type key struct {
	kind    Kind
	address uint32
}

// storedRecord is a record with the time and the way it was received.
type storedRecord struct {
	record        Record
	heardAt       time.Time // when a control VM heard the process that sent the record
	direct        bool      // the process reports to this control VM
	firstSequence uint64    // number of the first report in the unbroken series to this control VM
}

// Store holds the records of a control VM. It is safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	records       map[key]storedRecord
	started       time.Time
	lastNewAgent  time.Time // when an agent without a record last reported
	settledEarly  bool      // all remembered agents reported before settleTime had passed
	commonRestart bool      // with settledEarly: nearly all upstreams had restarted
	settledByPeer bool      // another control VM sent all records of its settled roster

	absent map[key]absentProcess // entries and agents that fell silent without leaving

	// group returns the state of the group. It is nil if this control VM is the only one.
	group        func() GroupState
	completeness completeness

	quorum     func() int                    // number of lists needed to know all agents; 0 if unknown
	remembered map[uint32]rememberedUpstream // agents in all lists, by address
	listsFrom  map[uint32]struct{}           // addresses of the control VMs whose lists are included
	peers      map[uint32]*peerLiveness      // state reported by other control VMs, by address
	savedList  *pb.Remembered                // list in the process file of this control VM
}

// absentProcess is a process whose record has expired.
type absentProcess struct {
	tunnel netip.AddrPort
	since  time.Time
}

// rememberedUpstream is the state of an agent's upstream in the saved lists, from before the start.
type rememberedUpstream struct {
	state       State
	incarnation uint64
}

// NewStore returns an empty store. It collects reports for settleTime, or earlier once all agents in the lists of quorum
// control VMs have reported.
func NewStore(now time.Time, quorum func() int) *Store {
	return &Store{
		records: map[key]storedRecord{}, started: now, lastNewAgent: now,
		quorum: quorum, remembered: map[uint32]rememberedUpstream{}, listsFrom: map[uint32]struct{}{},
		peers: map[uint32]*peerLiveness{}, completeness: newCompleteness(),
		absent: map[key]absentProcess{},
	}
}

// FollowGroup sets the source of the group's state. It must be called before the store is used.
func (s *Store) FollowGroup(group func() GroupState) { s.group = group }

// Put stores records that processes reported to this control VM.
func (s *Store) Put(now time.Time, records ...Record) {
	s.put(now, true, records)
}

// put stores records. If the store has a record of the same start of a process, the higher sequence number wins; otherwise
// the record heard last wins. direct is set for records reported by the processes themselves.
func (s *Store) put(now time.Time, direct bool, records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		k := key{r.Kind, addressBits(r.Address)}
		next := storedRecord{record: r, heardAt: now.Add(-r.Age), direct: direct, firstSequence: r.Sequence}
		old, ok := s.records[k]
		if ok && s.outdated(k, next, old) {
			continue
		}
		if !ok && r.Kind == KindAgent {
			s.lastNewAgent = now
		}
		if old.direct && old.record.Process == r.Process && r.Sequence == old.record.Sequence+1 {
			next.firstSequence = old.firstSequence // the series is unbroken: no report went to another control VM
		}
		s.records[k] = next
		delete(s.absent, k)
	}
}

// outdated reports whether next is older than the stored record old. A report sent to several control VMs may arrive at one
// of them after the next report has arrived at another. The caller holds mu.
func (s *Store) outdated(k key, next, old storedRecord) bool {
	if next.record.Process != 0 && next.record.Process == old.record.Process && next.record.Sequence != old.record.Sequence {
		return next.record.Sequence < old.record.Sequence
	}
	return s.lastHeard(k, old).After(next.heardAt)
}

// List returns all records that have not expired.
func (s *Store) List(now time.Time) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(now)
}

// listSettled returns all records that have not expired, and whether the roster is settled.
func (s *Store) listSettled(now time.Time) (records []Record, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled = s.settled(now) // must come first: it decides which agents are presumed vacant
	return s.list(now), settled
}

// list implements List. The caller holds mu.
func (s *Store) list(now time.Time) []Record {
	maps.DeleteFunc(s.peers, func(_ uint32, c *peerLiveness) bool { return now.Sub(c.answeredAt) > expiry })
	out := make([]Record, 0, len(s.records))
	for k, v := range s.records {
		age := now.Sub(s.lastHeard(k, v))
		if age > expiry || v.record.Leaving && v.record.State == StateVacant && age > leavingExpiry {
			delete(s.records, k)
			s.noteAbsent(now, v.record)
			continue
		}
		v.record.Age = age
		if s.presumedVacant(k, v) {
			v.record.State = StateVacant
		}
		out = append(out, v.record)
	}
	return out
}

// noteAbsent remembers a process whose record has expired, unless it announced that it was stopping. The caller holds mu.
func (s *Store) noteAbsent(now time.Time, r Record) {
	if r.Kind == KindControl || r.Leaving || r.TunnelPort == 0 || len(s.absent) >= maxAbsent {
		return
	}
	s.absent[key{r.Kind, addressBits(r.Address)}] = absentProcess{netip.AddrPortFrom(r.Address, r.TunnelPort), now}
}

// Absent returns the tunnel addresses of the processes that fell silent without leaving, for absentRetention.
func (s *Store) Absent(now time.Time) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []netip.AddrPort
	for k, p := range s.absent {
		if now.Sub(p.since) > absentRetention {
			delete(s.absent, k)
			continue
		}
		out = append(out, p.tunnel)
	}
	return out
}

// Settled reports whether the store is known to contain every live process.
func (s *Store) Settled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settled(now)
}

// settled implements Settled. The caller holds mu.
func (s *Store) settled(now time.Time) bool { return !s.collecting(now) && s.complete(now) }

// complete reports whether the processes that report to the other control VMs are known. The caller holds mu.
func (s *Store) complete(now time.Time) bool {
	return s.group == nil || s.completeness.complete(now, s.group())
}

// Collecting reports whether the store has just started and may not have heard every live process yet.
func (s *Store) Collecting(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collecting(now)
}

// collecting implements Collecting. The caller holds mu.
func (s *Store) collecting(now time.Time) bool {
	if !s.settledEarly && now.Sub(s.started) < settleTime && s.quorumReported() {
		s.settledEarly = true
		s.completeness.noteComplete(now)
	}
	return !s.settledEarly && !s.settledByPeer && now.Sub(s.started) < settleTime
}

// Quiet reports whether new flows may be placed: no new agent has reported for quietPeriod, nearly all agents in the lists
// received so far have reported, or the store has collected reports. A missing agent only makes the balance worse.
func (s *Store) Quiet(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastNewAgent) >= quietPeriod || !s.collecting(now) || len(s.listsFrom) > 0 && s.countRemembered().mostReported()
}

// remember adds the saved list of a control VM, with the agents that it knew before its start. own is set for the list of
// this control VM.
func (s *Store) remember(control netip.Addr, agents []*pb.Record, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own {
		s.savedList = &pb.Remembered{Control: addressBits(control), Agents: agents}
	}
	s.listsFrom[addressBits(control)] = struct{}{}
	for _, a := range agents {
		if Kind(a.GetKind()) != KindAgent {
			continue
		}
		upstream := rememberedUpstream{State(a.GetState()), a.GetIncarnation()}
		if upstream.state == StateFailing {
			upstream.state = StateActive // the cause of the failures may have ended with the restart
		}
		if old, ok := s.remembered[a.GetAddress()]; !ok || upstream.state < old.state {
			s.remembered[a.GetAddress()] = upstream // if lists differ, the lower state wins
		}
	}
}

// quorumReported reports whether the lists of a majority of the control VMs have arrived and the agents in them have
// reported. The lists of a minority may be outdated. The caller holds mu.
func (s *Store) quorumReported() bool {
	need := s.quorum()
	if need <= 0 || len(s.listsFrom) < need {
		return false
	}
	c := s.countRemembered()
	s.commonRestart = c.commonRestart()
	return c.allReported() || s.commonRestart
}

// rememberedCount counts the agents in the saved lists that were not vacant, by what they have reported since the start of
// this control VM.
type rememberedCount struct {
	same      int // the upstream has not restarted
	restarted int
	draining  int // not reported; the upstream was draining
	missing   int // not reported otherwise
}

// countRemembered returns the counts. The caller holds mu.
func (s *Store) countRemembered() rememberedCount {
	var c rememberedCount
	for address, before := range s.remembered {
		if before.state == StateVacant {
			continue
		}
		r, ok := s.records[key{KindAgent, address}]
		switch {
		case ok && before.incarnation != 0 && r.record.Incarnation == before.incarnation:
			c.same++
		case ok && r.record.Incarnation != 0:
			c.restarted++
		case ok && before.state == StateDraining:
			c.draining++
		default:
			c.missing++
		}
	}
	return c
}

// allReported reports whether every agent has reported its upstream. A draining upstream may have ended with the cause of
// the restart: it is not waited for if all other upstreams, at least two, have restarted.
func (c rememberedCount) allReported() bool {
	if c.missing > 0 {
		return false
	}
	return c.draining == 0 && c.same+c.restarted > 0 || c.same == 0 && c.restarted > 1
}

// commonRestart reports whether nearly all upstreams have restarted and none is known to have survived. The few others have
// lost their flows to the same cause, and waiting for the slowest of hundreds of agents would delay all callers.
func (c rememberedCount) commonRestart() bool {
	return c.same == 0 && c.restarted > 1 && float64(c.missing) <= lateShare*float64(c.restarted)
}

// mostReported reports whether nearly all agents have reported their upstreams.
func (c rememberedCount) mostReported() bool {
	reported := float64(c.same + c.restarted)
	return c.allReported() || reported > 0 && reported >= placementShare*(reported+float64(c.missing))
}

// presumedVacant reports whether an agent that has not heard an upstream is taken to hold no flows: the lists call it vacant,
// or the roster settled early and the agent is in no list, its upstream was draining, or nearly all others restarted. The
// caller holds mu.
func (s *Store) presumedVacant(k key, v storedRecord) bool {
	r := v.record
	if r.Kind != KindAgent || r.State != StateNone || s.lastHeard(k, v).Sub(s.started) >= rememberedTrust {
		return false
	}
	before, known := s.remembered[addressBits(r.Address)]
	if !known {
		return s.settledEarly
	}
	return before.state == StateVacant || s.settledEarly && (before.state == StateDraining || s.commonRestart)
}

// unsettledList returns the saved list of this control VM for other control VMs. It returns nil once the store has collected
// reports, since the roster then replaces the list.
func (s *Store) unsettledList(now time.Time) *pb.Remembered {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.collecting(now) {
		return nil
	}
	return s.savedList
}

// processesToSave returns the agents and entries for the process file, sorted by address. ok is false if the roster may be
// incomplete.
func (s *Store) processesToSave(now time.Time) (processes []*pb.Record, ok bool) {
	if !s.Settled(now) {
		return nil, false
	}
	for _, r := range s.List(now) {
		if r.Kind == KindControl {
			continue
		}
		processes = append(processes, &pb.Record{
			Kind: uint32(r.Kind), Address: addressBits(r.Address), TunnelPort: uint32(r.TunnelPort),
			State: uint32(r.State), Incarnation: r.Incarnation,
		})
	}
	slices.SortFunc(processes, func(a, b *pb.Record) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return processes, true
}
