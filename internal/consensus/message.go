package consensus

// MessageKind is the kind of a message between members.
type MessageKind uint8

// Kinds of messages. The numbers are part of the protocol.
const (
	MsgPreVote           MessageKind = 1  // asks whether the receiver would vote for the sender in the given term
	MsgPreVoteResponse   MessageKind = 2  // grants the pre-vote, or Reject
	MsgVote              MessageKind = 3  // asks for a vote
	MsgVoteResponse      MessageKind = 4  // grants the vote, or Reject
	MsgAppend            MessageKind = 5  // entries after Index, whose term is LogTerm
	MsgAppendResponse    MessageKind = 6  // entries up to Index are stored, or Reject with Hint
	MsgHeartbeat         MessageKind = 7  // carries Commit and the read Round
	MsgHeartbeatResponse MessageKind = 8  // repeats the Round
	MsgSnapshot          MessageKind = 9  // one chunk of a snapshot
	MsgSnapshotResponse  MessageKind = 10 // Index of the snapshot; Hint is the offset of the next chunk
	MsgRead              MessageKind = 11 // asks the leader for the index that a linearizable read must wait for
	MsgReadResponse      MessageKind = 12 // Index for the read, or Reject
	MsgTimeoutNow        MessageKind = 13 // asks the receiver to start an election at once (leadership transfer)
)

// ReadID identifies a read. Incarnation differs between starts of a process, so that a late response to an earlier process
// is not matched with a read of the current one.
type ReadID struct {
	Incarnation uint64
	Sequence    uint64
}

// SnapshotChunk is a part of a snapshot that a leader sends to a member.
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
	Term     uint64 // term of the sender, or of the proposed election in MsgPreVote and a response that grants it
	Index    uint64
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64
	Round    uint64
	Read     ReadID
	Transfer bool // the leader requested the election, so voters ignore their recent contact with it
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

// fromLeader reports whether only the leader of the message's term sends this kind.
func (m Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
}

// afterSync reports whether the message depends on state that must be durable before it is sent.
func (m Message) afterSync() bool {
	switch m.Kind {
	case MsgVote, MsgVoteResponse, MsgAppendResponse:
		return true
	default:
		return false
	}
}
