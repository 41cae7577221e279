// Package wire converts the types of package consensus to and from their protobuf messages.
package wire

import (
	"github.com/plantainseam/plantainseam/internal/consensus"
	pb "github.com/plantainseam/plantainseam/rpc/consensuspb"
)

// FromMembership converts a membership to its protobuf message.
func FromMembership(m consensus.Membership) *pb.Membership {
	out := &pb.Membership{}
	for _, member := range m.Members {
		out.Members = append(out.Members, &pb.Member{
			Id: string(member.ID), Name: member.Name, Address: member.Address, Learner: member.Learner,
		})
	}
	return out
}

// ToMembership converts a protobuf message to a membership. A nil message is an empty membership.
func ToMembership(m *pb.Membership) consensus.Membership {
	out := consensus.Membership{}
	for _, member := range m.GetMembers() {
		out.Members = append(out.Members, consensus.Member{
			ID: consensus.MemberID(member.GetId()), Name: member.GetName(), Address: member.GetAddress(),
			Learner: member.GetLearner(),
		})
	}
	return out
}

// FromEntry converts an entry to its protobuf message.
func FromEntry(e consensus.Entry) *pb.Entry {
	out := &pb.Entry{Index: e.Index, Term: e.Term, TimeUnixNs: e.Time, Kind: uint32(e.Kind), Command: e.Command}
	if e.Membership != nil {
		out.Membership = FromMembership(*e.Membership)
	}
	return out
}

// ToEntry converts a protobuf message to an entry.
func ToEntry(e *pb.Entry) consensus.Entry {
	out := consensus.Entry{
		Index: e.GetIndex(), Term: e.GetTerm(), Time: e.GetTimeUnixNs(),
		Kind: consensus.EntryKind(e.GetKind()), Command: e.GetCommand(),
	}
	if e.GetMembership() != nil {
		m := ToMembership(e.GetMembership())
		out.Membership = &m
	}
	return out
}

// FromSnapshot converts a snapshot to its protobuf message.
func FromSnapshot(s consensus.Snapshot) *pb.Snapshot {
	return &pb.Snapshot{
		Index: s.Index, Term: s.Term, TimeUnixNs: s.Time, Membership: FromMembership(s.Membership), Data: s.Data,
	}
}

// ToSnapshot converts a protobuf message to a snapshot.
func ToSnapshot(s *pb.Snapshot) consensus.Snapshot {
	return consensus.Snapshot{
		Index: s.GetIndex(), Term: s.GetTerm(), Time: s.GetTimeUnixNs(),
		Membership: ToMembership(s.GetMembership()), Data: s.GetData(),
	}
}

// FromMessage converts a message to its protobuf message, which does not contain the sender and receiver.
func FromMessage(m consensus.Message) *pb.Message {
	out := &pb.Message{
		Kind: uint32(m.Kind), Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
		Reject: m.Reject, Hint: m.Hint, Round: m.Round,
		ReadIncarnation: m.Read.Incarnation, ReadSequence: m.Read.Sequence, Transfer: m.Transfer,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, FromEntry(e))
	}
	if c := m.Chunk; c != nil {
		out.Chunk = &pb.SnapshotChunk{
			Index: c.Index, Term: c.Term, TimeUnixNs: c.Time, Membership: FromMembership(c.Membership),
			Offset: c.Offset, Total: c.Total, Data: c.Data,
		}
	}
	return out
}

// ToMessage converts a protobuf message to a message between the given members.
func ToMessage(m *pb.Message, from, to consensus.MemberID) consensus.Message {
	out := consensus.Message{
		Kind: consensus.MessageKind(m.GetKind()), From: from, To: to,
		Term: m.GetTerm(), Index: m.GetIndex(), LogTerm: m.GetLogTerm(), Commit: m.GetCommit(),
		Reject: m.GetReject(), Hint: m.GetHint(), Round: m.GetRound(),
		Read:     consensus.ReadID{Incarnation: m.GetReadIncarnation(), Sequence: m.GetReadSequence()},
		Transfer: m.GetTransfer(),
	}
	for _, e := range m.GetEntries() {
		out.Entries = append(out.Entries, ToEntry(e))
	}
	if c := m.GetChunk(); c != nil {
		out.Chunk = &consensus.SnapshotChunk{
			Index: c.GetIndex(), Term: c.GetTerm(), Time: c.GetTimeUnixNs(), Membership: ToMembership(c.GetMembership()),
			Offset: c.GetOffset(), Total: c.GetTotal(), Data: c.GetData(),
		}
	}
	return out
}
