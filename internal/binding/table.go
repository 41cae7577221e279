package binding

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
)

// Retention of records, in log time.
const (
	// KeepAfterDeadline is how long a record outlives its deadline, so that a late retry learns how the run ended.
	KeepAfterDeadline = 60 * time.Second
	// KeepWithoutDeadline is the lifetime of the record of a key without a deadline. A gate ends every run long before.
	KeepWithoutDeadline = 24 * time.Hour
	// MaxDeadline bounds how far ahead a deadline may lie, and with it the lifetime of a record.
	MaxDeadline = 24 * time.Hour
	// sweepInterval is the time between full scans for expired records; a scan of a million records takes tens of
	// milliseconds.
	sweepInterval = 8 * time.Second
	// fullSweepInterval is the time between these scans while the table is full.
	fullSweepInterval = time.Second
)

// DefaultLimit is the default limit of the number of records: 2,000 keyed requests a second with deadlines of 30 s
// need 180,000.
const DefaultLimit = 1 << 20

type state uint8

const (
	stateBound state = iota + 1
	stateFinished
	stateUnknown
)

// record has no pointers, so that the garbage collector does not scan the table.
type record struct {
	digest   Digest
	attempt  uint64
	deadline int64 // Unix milliseconds, 0 for none
	expires  int64 // Unix milliseconds
	owner    uint32
	code     uint16
	state    state
	service  uint32
}

// Table is the state machine of the `bindings` log. Only the log's apply goroutine may call its methods.
type Table struct {
	limit     int
	logTime   int64 // highest time of a command so far, Unix milliseconds
	lastSweep int64 // log time of the last full scan, Unix milliseconds
	records   map[Hash]record
	owners    []model.HostRef
	byOwner   map[model.HostRef]uint32
	newest    map[model.HostID]model.Incarnation // lower incarnations have ended
	counts    Stats
}

// Stats holds the size, the limit and the counters of a table.
type Stats struct {
	Records  int
	Limit    int
	Bound    uint64 // binds granted
	Joined   uint64 // binds answered with an existing record
	Mismatch uint64
	Full     uint64
	Expired  uint64 // records removed by expiry
	Lost     uint64 // records whose owner was lost
}

// NewTable returns an empty table that holds at most limit records (DefaultLimit if 0).
func NewTable(limit int) *Table {
	if limit == 0 {
		limit = DefaultLimit
	}
	t := &Table{limit: limit}
	t.reset()
	return t
}

func (t *Table) reset() {
	t.logTime, t.lastSweep = 0, 0
	t.records = map[Hash]record{}
	t.owners = nil
	t.byOwner = map[model.HostRef]uint32{}
	t.newest = map[model.HostID]model.Incarnation{}
}

// Stats returns the current size, limit and counters. Counters start at zero in each process; Records is replicated.
func (t *Table) Stats() Stats {
	s := t.counts
	s.Records = len(t.records)
	s.Limit = t.limit
	return s
}

// Apply executes a bindpb.Command and returns the encoded response message of its kind.
func (t *Table) Apply(_ uint64, at time.Time, command []byte) []byte {
	t.advance(at.UnixMilli())
	var cmd bindpb.Command
	if err := proto.Unmarshal(command, &cmd); err != nil {
		return encode(&bindpb.BindResponse{Code: uint32(result.Internal)})
	}
	switch kind := cmd.Kind.(type) {
	case *bindpb.Command_Bind:
		return encode(t.bind(kind.Bind))
	case *bindpb.Command_Finish:
		return encode(t.finish(kind.Finish))
	case *bindpb.Command_Release:
		return encode(t.release(kind.Release))
	case *bindpb.Command_Lost:
		t.markLost(model.HostID(kind.Lost.Host), model.Incarnation(kind.Lost.Incarnation))
		return encode(&bindpb.FinishResponse{})
	}
	return encode(&bindpb.BindResponse{Code: uint32(result.Internal)})
}

func encode(m proto.Message) []byte {
	out, err := proto.Marshal(m)
	if err != nil {
		// Marshal of a generated message fails only for invalid UTF-8, which Unmarshal of the command rejects.
		return nil
	}
	return out
}

// advance moves the log time forward and removes expired records at intervals that depend on log time only, so that
// every replica removes the same records at the same index.
func (t *Table) advance(at int64) {
	if at > t.logTime {
		t.logTime = at
	}
	wait := sweepInterval
	if len(t.records) >= t.limit {
		wait = fullSweepInterval
	}
	if t.logTime-t.lastSweep < wait.Milliseconds() {
		return
	}
	t.lastSweep = t.logTime
	for h, r := range t.records {
		if r.expires <= t.logTime {
			delete(t.records, h)
			t.counts.Expired++
		}
	}
	t.compactOwners()
}

// compactOwners removes owners without records.
func (t *Table) compactOwners() {
	old := t.owners
	t.owners = nil
	t.byOwner = map[model.HostRef]uint32{}
	for h, r := range t.records {
		r.owner = t.ownerIndex(old[r.owner])
		t.records[h] = r
	}
}

func (t *Table) ownerIndex(ref model.HostRef) uint32 {
	if i, ok := t.byOwner[ref]; ok {
		return i
	}
	i := uint32(len(t.owners))
	t.owners = append(t.owners, ref)
	t.byOwner[ref] = i
	return i
}

// lookup returns the record of a key. It removes the record instead if it has expired since the last sweep.
func (t *Table) lookup(h Hash) (record, bool) {
	r, ok := t.records[h]
	if ok && r.expires <= t.logTime {
		delete(t.records, h)
		t.counts.Expired++
		return record{}, false
	}
	return r, ok
}

func (t *Table) bind(m *bindpb.BindRequest) *bindpb.BindResponse {
	owner := model.HostRef{Host: model.HostID(m.Host), Incarnation: model.Incarnation(m.Incarnation)}
	if len(m.Digest) < HashSize || m.Key == "" || m.Host == "" {
		return &bindpb.BindResponse{Code: uint32(result.RequestMalformed), Outcome: bindpb.Outcome_OUTCOME_MISMATCH}
	}
	if owner.Incarnation < t.newest[owner.Host] {
		// A delayed bind of a process that has ended; nothing waits for the answer.
		return &bindpb.BindResponse{Code: uint32(result.RequestOutcomeUnknown), Outcome: bindpb.Outcome_OUTCOME_UNKNOWN}
	}
	if owner.Incarnation > t.newest[owner.Host] {
		t.markLost(owner.Host, owner.Incarnation-1)
		t.newest[owner.Host] = owner.Incarnation
	}
	h := HashKey(model.ServiceID(m.Service), m.Key)
	digest := Digest(m.Digest[:HashSize])
	r, ok := t.lookup(h)
	if ok {
		return t.rebind(h, r, digest, owner, m)
	}
	return t.bindNew(h, digest, owner, m)
}

// rebind answers a bind of a key that has a record.
func (t *Table) rebind(h Hash, r record, digest Digest, owner model.HostRef, m *bindpb.BindRequest) *bindpb.BindResponse {
	holder := t.owners[r.owner]
	if r.state != stateFinished && holder == owner {
		if m.Attempt == r.attempt && digest == r.digest && r.state == stateBound {
			return &bindpb.BindResponse{Outcome: bindpb.Outcome_OUTCOME_BOUND}
		}
		if m.Attempt > r.attempt {
			// An owner starts a new attempt only when it will never dispatch the earlier one.
			return t.grant(h, digest, owner, m)
		}
	}
	t.counts.Joined++
	resp := &bindpb.BindResponse{OwnerHost: string(holder.Host), OwnerIncarnation: uint64(holder.Incarnation)}
	switch {
	case digest != r.digest:
		t.counts.Mismatch++
		resp.Outcome, resp.Code = bindpb.Outcome_OUTCOME_MISMATCH, uint32(result.RequestKeyMismatch)
	case r.state == stateFinished:
		resp.Outcome, resp.FinishCode = bindpb.Outcome_OUTCOME_FINISHED, uint32(r.code)
	case r.state == stateUnknown:
		resp.Outcome, resp.Code = bindpb.Outcome_OUTCOME_UNKNOWN, uint32(result.RequestOutcomeUnknown)
	default:
		resp.Outcome = bindpb.Outcome_OUTCOME_OWNED
	}
	return resp
}

// bindNew binds a key without a record. A record outlives its deadline, and log time never decreases. If the record of
// a key has expired, the deadline has passed too and the bind is refused here, so expiry permits no second run.
func (t *Table) bindNew(h Hash, digest Digest, owner model.HostRef, m *bindpb.BindRequest) *bindpb.BindResponse {
	if m.DeadlineUnixMs != 0 && t.logTime >= m.DeadlineUnixMs {
		code := result.RequestDeadlinePassed
		if t.logTime >= m.DeadlineUnixMs+KeepAfterDeadline.Milliseconds() {
			// A record of an earlier send would have expired by now.
			code = result.RequestKeyUnchecked
		}
		return &bindpb.BindResponse{Outcome: bindpb.Outcome_OUTCOME_EXPIRED, Code: uint32(code)}
	}
	if m.DeadlineUnixMs > t.logTime+MaxDeadline.Milliseconds() {
		return &bindpb.BindResponse{Outcome: bindpb.Outcome_OUTCOME_EXPIRED, Code: uint32(result.RequestMalformed)}
	}
	if len(t.records) >= t.limit {
		t.counts.Full++
		return &bindpb.BindResponse{Outcome: bindpb.Outcome_OUTCOME_FULL, Code: uint32(result.RequestBindingsFull)}
	}
	return t.grant(h, digest, owner, m)
}

// grant writes a record that binds the key to the owner and the attempt of m.
func (t *Table) grant(h Hash, digest Digest, owner model.HostRef, m *bindpb.BindRequest) *bindpb.BindResponse {
	expires := t.logTime + KeepWithoutDeadline.Milliseconds()
	if m.DeadlineUnixMs != 0 {
		expires = m.DeadlineUnixMs + KeepAfterDeadline.Milliseconds()
	}
	t.records[h] = record{
		digest:   digest,
		attempt:  m.Attempt,
		deadline: m.DeadlineUnixMs,
		expires:  expires,
		owner:    t.ownerIndex(owner),
		state:    stateBound,
		service:  m.Service,
	}
	t.counts.Bound++
	return &bindpb.BindResponse{Outcome: bindpb.Outcome_OUTCOME_BOUND}
}

// heldBy returns the record of a key and whether the given owner incarnation holds it.
func (t *Table) heldBy(h Hash, host string, incarnation uint64) (record, bool) {
	r, ok := t.lookup(h)
	if !ok {
		return record{}, false
	}
	ref := model.HostRef{Host: model.HostID(host), Incarnation: model.Incarnation(incarnation)}
	return r, t.owners[r.owner] == ref
}

// finish records how a run ended. It also replaces stateUnknown: an owner that was wrongly declared lost still knows
// how its run ended.
func (t *Table) finish(m *bindpb.FinishRequest) *bindpb.FinishResponse {
	h := HashKey(model.ServiceID(m.Service), m.Key)
	r, ok := t.heldBy(h, m.Host, m.Incarnation)
	if ok && r.attempt == m.Attempt && r.state != stateFinished {
		r.state = stateFinished
		r.code = uint16(m.Code)
		t.records[h] = r
	}
	return &bindpb.FinishResponse{}
}

// release deletes the record of an attempt up to m.Attempt. It keeps later attempts, so that a delayed release cannot
// free a key whose next attempt may be running.
func (t *Table) release(m *bindpb.ReleaseRequest) *bindpb.ReleaseResponse {
	h := HashKey(model.ServiceID(m.Service), m.Key)
	r, ok := t.heldBy(h, m.Host, m.Incarnation)
	if ok && r.attempt <= m.Attempt && r.state != stateFinished {
		delete(t.records, h)
	}
	return &bindpb.ReleaseResponse{}
}

// markLost marks the unfinished records of a host's incarnations up to last as stateUnknown.
func (t *Table) markLost(host model.HostID, last model.Incarnation) {
	for h, r := range t.records {
		owner := t.owners[r.owner]
		if r.state != stateBound || owner.Host != host || owner.Incarnation > last {
			continue
		}
		r.state = stateUnknown
		t.records[h] = r
		t.counts.Lost++
	}
}

// LostCommand returns the command that marks a host's incarnations up to last as lost. The control role proposes it
// when it declares an agent lost, and again when a new incarnation of the host announces itself.
func LostCommand(host model.HostID, last model.Incarnation) []byte {
	return encode(&bindpb.Command{Kind: &bindpb.Command_Lost{
		Lost: &bindpb.OwnerLost{Host: string(host), Incarnation: uint64(last)},
	}})
}
