package consensus

import "fmt"

// MemberID is the identity of a member. It is created together with the member's data directory and contains random
// bits, so a directory that was lost and created again has another identity.
type MemberID string

// Member is a process that takes part in a replicated log.
type Member struct {
	ID      MemberID
	Name    string // name of the VM, for operators
	Address string // RPC address
	Learner bool   // receives the log but neither votes nor counts towards a quorum
}

// Membership is the set of members. It is immutable: changes return a copy.
type Membership struct {
	Members []Member
}

// Find returns the member with the identity.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voter reports whether id is a voting member.
func (m Membership) Voter(id MemberID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m.Members {
		if !member.Learner {
			n++
		}
	}
	return n
}

// Quorum returns the number of voting members that form a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// hasQuorum reports whether the voters for which includes returns true form a majority.
func (m Membership) hasQuorum(includes func(MemberID) bool) bool {
	n := 0
	for _, member := range m.Members {
		if !member.Learner && includes(member.ID) {
			n++
		}
	}
	return n >= m.Quorum()
}

// EntryKind is the kind of an entry's content.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand    EntryKind = 1 // a command for the state machine
	EntryNoOp       EntryKind = 2 // appended by a new leader so that it can commit entries of earlier terms
	EntryMembership EntryKind = 3 // a new membership, in force as soon as it is appended
)

// Entry is one entry of the log.
type Entry struct {
	Index      uint64
	Term       uint64
	Time       int64 // proposing leader's clock in Unix nanoseconds; never decreases along the log
	Kind       EntryKind
	Command    []byte
	Membership *Membership // set only for EntryMembership
}

// entryOverhead is an upper estimate of an entry's encoded size without its command, in bytes.
const entryOverhead = 48

// memberOverhead is an estimate of one member's encoded size, in bytes.
const memberOverhead = 160

// Size returns an estimate of the encoded size in bytes, used for all bounds.
func (e Entry) Size() int {
	size := entryOverhead + len(e.Command)
	if e.Membership != nil {
		size += memberOverhead * len(e.Membership.Members)
	}
	return size
}

// HardState is the state that a member must make durable before it answers a message.
type HardState struct {
	Term uint64
	Vote MemberID // empty if the member has not voted in this term
	// Commit is a lower bound of the commit index and may be 0. After a start, a member applies the entries up to it
	// without waiting for a leader.
	Commit uint64
}

// Snapshot is the state of the state machine after the entry at Index was applied.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Time       int64 // time of the entry at Index
	Membership Membership
	Data       []byte
}

// BootstrapIndex is the index of the snapshot that holds the initial membership. Its Data is empty and is not given to the
// state machine. Entries start after it, so every later member receives the membership by a snapshot.
const BootstrapIndex = 1

// Bootstrap returns the first snapshot of a log with the given voting members.
func Bootstrap(members []Member) Snapshot {
	return Snapshot{Index: BootstrapIndex, Term: 1, Membership: Membership{Members: append([]Member(nil), members...)}}
}

// State is the durable state of a log, as loaded from a Store.
type State struct {
	Hard     HardState
	Snapshot Snapshot // Index is 0 if there is none
	Entries  []Entry  // consecutive; may begin before the end of the snapshot
	Torn     string   // describes an incomplete last record that was not used; empty if there was none
}

// Blank reports whether the store holds no state.
func (s State) Blank() bool {
	return s.Hard == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// Store keeps the state of one log. Every method returns only after the data is synced. After an error from a method
// that writes, the store accepts no further writes. It is used by one goroutine at a time.
type Store interface {
	// Load returns the stored state. It returns an error with code StoreCorrupt if the state is damaged.
	Load() (State, error)
	// Append stores the hard state, if it is not nil, and consecutive entries, which replace all stored entries from the
	// index of the first new one on.
	Append(hard *HardState, entries []Entry) error
	// Compact stores a snapshot and may remove entries before firstKept, which is at most the snapshot's index plus one.
	Compact(snapshot Snapshot, firstKept uint64) error
	// Reset stores a snapshot and removes all entries.
	Reset(snapshot Snapshot) error
	// Close releases the resources of the store.
	Close() error
}

// Role is the role of a member in the current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	names := [...]string{"follower", "pre-candidate", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("role-%d", r)
}
