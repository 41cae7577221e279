package consensus

// MessageKind is the kind of a message between members.
type MessageKind uint8

// Kinds of messages. The numbers are part of the protocol.
const (
	MsgPreVote           MessageKind = 1  // asks whether an election could succeed
	MsgPreVoteResponse   MessageKind = 2  //
	MsgVote              MessageKind = 3  // asks for a vote
	MsgVoteResponse      MessageKind = 4  //
	MsgAppend            MessageKind = 5  // entries after Index, whose term is LogTerm
	MsgAppendResponse    MessageKind = 6  // Index is stored up to and including; or Reject with Hint
	MsgHeartbeat         MessageKind = 7  // carries Commit and the read Round
	MsgHeartbeatResponse MessageKind = 8  // repeats the Round
	MsgSnapshot          MessageKind = 9  // one chunk of a snapshot
	MsgSnapshotResponse  MessageKind = 10 // Index of the snapshot; Hint is the offset wanted next
	MsgRead              MessageKind = 11 // asks the leader for an index that a current read must wait for
	MsgReadResponse      MessageKind = 12 // Index for the read, or Reject
	MsgTimeoutNow        MessageKind = 13 // asks the receiver to start an election at once (leadership transfer)
)

// ReadID identifies a read. Incarnation differs between starts of a process, so that a late answer to an earlier
// process is not taken for an answer to the present one.
type ReadID struct {
	Incarnation uint64
	Sequence    uint64
}

// SnapshotChunk is a part of a snapshot in transfer.
type SnapshotChunk struct {
	Index      uint64
	Term       uint64
	Time       int64
	Membership Membership
	Offset     uint64
	Total      uint64 // bytes of the whole snapshot
	Data       []byte
}

// Message is a message between two members of a log. Which fields are used depends on Kind.
type Message struct {
	Kind     MessageKind
	From     MemberID
	To       MemberID
	Term     uint64 // term of the sender; of MsgPreVote and its granting response, the term of the proposed election
	Index    uint64
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64
	Round    uint64
	Read     ReadID
	Transfer bool // the election was requested by the leader and ignores its lease
	Chunk    *SnapshotChunk
}

// messageOverhead is an upper estimate of a message's encoded size without entries and chunk, in bytes.
const messageOverhead = 96

// Size returns an estimate of the encoded size in bytes.
func (m Message) Size() int {
	size := messageOverhead
	for _, e := range m.Entries {
		size += e.Size()
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data) + memberOverhead*len(m.Chunk.Membership.Members)
	}
	return size
}

// fromLeader reports whether only a leader of the message's term sends this kind.
func (m Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
}

// afterSync reports whether the message promises something that must be on disk before it is sent.
func (m Message) afterSync() bool {
	switch m.Kind {
	case MsgVote, MsgVoteResponse, MsgAppendResponse:
		return true
	default:
		return false
	}
}
