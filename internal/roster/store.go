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

// Times of the store.
const (
	// Interval is the time between two reports of a process. Five missed reports (2 s) exclude an upstream from new flows.
	Interval = 400 * time.Millisecond
	// expiry is how long a silent process is kept. It covers a freeze of several seconds, during which its flows must not
	// be taken for lost.
	expiry = 12 * time.Second
	// leavingExpiry is how long a process that stops without an upstream is kept, so that the news reaches all control VMs.
	leavingExpiry = 3 * time.Second
	// settling is how long a new store collects before it is taken for complete: a process reports within Interval, or
	// callTimeout later if its control VM does not answer, and every process passes on what it knows of the others.
	settling = 1200 * time.Millisecond
	// quietAfter is how long no unknown process may have reported before new flows are placed by the store: processes that
	// start together report within a few retries (retryInterval) of each other. Flows placed earlier would crowd the first.
	quietAfter = 250 * time.Millisecond
	// memoryTrust is how long after the start of a store the lists speak for agents that have not heard an upstream: three
	// announcements of an upstream.
	memoryTrust = 2500 * time.Millisecond
)

type key struct {
	kind    Kind
	address uint32
}

// kept is a record.
type kept struct {
	record Record
	heard  time.Time // by any control VM, when the record was made
	direct bool      // the process reports here
	joined uint64    // number of the report with which it began to
}

// Store holds the records that a control VM knows. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	records map[key]kept
	started time.Time
	grown   time.Time // when an unknown agent reported last
	early   bool      // all remembered agents reported before settling had passed
	told    bool      // another control VM gave all records of its settled roster

	quorum     func() int            // lists that are needed to know all agents; 0 while that is not known
	remembered map[uint32]remembered // agents of all lists, by address
	lists      map[uint32]struct{}   // control VMs whose lists are included
	claims     map[uint32]*claims    // of other control VMs, by address
	own        *pb.Remembered        // list of this control VM
}

// remembered is what is known of an agent's upstream from before the start.
type remembered struct {
	state       State
	incarnation uint64
}

// NewStore returns an empty store. The roster is complete before it has settled by time once the agents in the lists of
// quorum control VMs have reported.
func NewStore(now time.Time, quorum func() int) *Store {
	return &Store{
		records: map[key]kept{}, started: now, grown: now,
		quorum: quorum, remembered: map[uint32]remembered{}, lists: map[uint32]struct{}{},
		claims: map[uint32]*claims{},
	}
}

// Put stores reports of processes to this control VM.
func (s *Store) Put(now time.Time, records ...Record) {
	s.put(now, true, records)
}

// put stores records. Of one process the one with the highest number holds, and otherwise the one that was heard last.
func (s *Store) put(now time.Time, direct bool, records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		k := key{r.Kind, addressBits(r.Address)}
		next := kept{record: r, heard: now.Add(-r.Age), direct: direct, joined: r.Sequence}
		old, ok := s.records[k]
		if ok && s.overtaken(k, next, old) {
			continue
		}
		if !ok && r.Kind == KindAgent {
			s.grown = now
		}
		if old.direct && old.record.Process == r.Process && r.Sequence == old.record.Sequence+1 {
			next.joined = old.joined // it has not reported elsewhere meanwhile
		}
		s.records[k] = next
	}
}

// overtaken reports whether a record is older than the one that is kept. A report that is sent to several control VMs may
// arrive at one of them after the next report has arrived elsewhere.
func (s *Store) overtaken(k key, next, old kept) bool {
	if next.record.Process != 0 && next.record.Process == old.record.Process && next.record.Sequence != old.record.Sequence {
		return next.record.Sequence < old.record.Sequence
	}
	return s.heardAt(k, old).After(next.heard)
}

// List returns all records that have not expired.
func (s *Store) List(now time.Time) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(now)
}

// listSettled returns all records that have not expired, and whether the roster is settled with them.
func (s *Store) listSettled(now time.Time) (records []Record, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled = s.settled(now) // first, since it decides which agents are presumed vacant
	return s.list(now), settled
}

// list is List for callers that hold mu.
func (s *Store) list(now time.Time) []Record {
	maps.DeleteFunc(s.claims, func(_ uint32, c *claims) bool { return now.Sub(c.answered) > expiry })
	out := make([]Record, 0, len(s.records))
	for k, v := range s.records {
		age := now.Sub(s.heardAt(k, v))
		if age > expiry || v.record.Leaving && v.record.State == StateVacant && age > leavingExpiry {
			delete(s.records, k)
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

// Settled reports whether the store has collected for long enough to know every live process.
func (s *Store) Settled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settled(now)
}

// settled is Settled for callers that hold mu.
func (s *Store) settled(now time.Time) bool {
	s.early = s.early || s.complete()
	return s.early || s.told || now.Sub(s.started) >= settling
}

// Quiet reports whether new flows may be placed: no unknown agent has reported for a while, all agents in the lists that
// are here have, or the store is settled. An agent that is missing costs balance, not more.
func (s *Store) Quiet(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.grown) >= quietAfter || s.settled(now) || len(s.lists) > 0 && s.reported()
}

// remember adds the list of agents that a control VM knew before it started.
func (s *Store) remember(control netip.Addr, agents []*pb.Record, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own {
		s.own = &pb.Remembered{Control: addressBits(control), Agents: agents}
	}
	s.lists[addressBits(control)] = struct{}{}
	for _, a := range agents {
		if Kind(a.GetKind()) != KindAgent {
			continue
		}
		told := remembered{State(a.GetState()), a.GetIncarnation()}
		if told.state == StateFailing {
			told.state = StateActive // what it failed may have ended with the restart
		}
		if old, ok := s.remembered[a.GetAddress()]; !ok || told.state < old.state {
			s.remembered[a.GetAddress()] = told // of different lists, the one with the most use for its upstream holds
		}
	}
}

// complete reports whether every agent that a majority of the control VMs remembers has reported. The lists of a minority
// may be old. The caller holds mu.
func (s *Store) complete() bool {
	need := s.quorum()
	return need > 0 && len(s.lists) >= need && s.reported()
}

// reported reports whether every agent in the lists has reported since the start of this control VM. An upstream that
// took no new flows before may be gone with the cause of the restart: it is not waited for if every other one has started
// anew. The caller holds mu.
func (s *Store) reported() bool {
	missing, same, anew := 0, 0, 0
	for address, before := range s.remembered {
		if before.state == StateVacant {
			continue
		}
		r, ok := s.records[key{KindAgent, address}]
		switch {
		case ok && before.incarnation != 0 && r.record.Incarnation == before.incarnation:
			same++
		case ok && r.record.Incarnation != 0:
			anew++
		case ok && before.state == StateDraining:
			missing++
		default:
			return false
		}
	}
	return missing == 0 && same+anew > 0 || same == 0 && anew > 1
}

// presumedVacant reports whether an agent that has not heard an upstream holds no flows: it had none before the start of
// this store, or is in none of the lists of a majority, or its draining upstream went with all others. The caller holds mu.
func (s *Store) presumedVacant(k key, v kept) bool {
	r := v.record
	if r.Kind != KindAgent || r.State != StateNone || s.heardAt(k, v).Sub(s.started) >= memoryTrust {
		return false
	}
	before, known := s.remembered[addressBits(r.Address)]
	if !known {
		return s.early
	}
	return before.state == StateVacant || s.early && before.state == StateDraining
}

// ownList returns the list of this control VM for others, or nil once its roster is settled and says more.
func (s *Store) ownList(now time.Time) *pb.Remembered {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settled(now) {
		return nil
	}
	return s.own
}

// memorable returns the agents and entries to remember, in the order of their addresses. Not ok means that the roster may
// lack some.
func (s *Store) memorable(now time.Time) (processes []*pb.Record, ok bool) {
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
