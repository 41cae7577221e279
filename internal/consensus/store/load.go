package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/wire"
	"github.com/plantainseam/plantainseam/internal/durable"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/consensuspb"
)

// corrupt returns an error with code StoreCorrupt.
func corrupt(format string, args ...any) error {
	return result.Errorf(result.StoreCorrupt, format, args...)
}

// Load implements consensus.Store. It reads all files and prepares the log for writing.
func (l *Log) Load() (consensus.State, error) {
	if err := l.Close(); err != nil {
		return consensus.State{}, writeFailed("close log", err)
	}
	*l = Log{path: l.path, identity: l.identity, name: l.name, writeErr: l.writeErr}
	sequences, snapshots, err := l.listFiles()
	if err != nil {
		return consensus.State{}, err
	}
	r := &replay{log: l}
	if err := r.readSnapshot(snapshots); err != nil {
		return consensus.State{}, err
	}
	if err := r.readSegments(sequences); err != nil {
		return consensus.State{}, err
	}
	return r.reconcile()
}

// listFiles returns the sequence numbers of the segments and the indexes of the snapshots in ascending order. It removes
// temporary files.
func (l *Log) listFiles() (segments, snapshots []uint64, err error) {
	files, err := os.ReadDir(l.path)
	if err != nil {
		return nil, nil, corrupt("log %s cannot be listed: %w", l.name, err)
	}
	for _, f := range files {
		name := f.Name()
		if strings.HasSuffix(name, durable.TemporarySuffix) {
			removeFiles([]string{filepath.Join(l.path, name)})
			continue
		}
		suffix := filepath.Ext(name)
		number, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
		switch {
		case err == nil && suffix == segmentSuffix:
			segments = append(segments, number)
		case err == nil && suffix == snapshotSuffix:
			snapshots = append(snapshots, number)
		default:
			return nil, nil, corrupt("log %s has an unknown file %s", l.name, name)
		}
	}
	sort.Slice(segments, func(i, j int) bool { return segments[i] < segments[j] })
	sort.Slice(snapshots, func(i, j int) bool { return snapshots[i] < snapshots[j] })
	return segments, snapshots, nil
}

// replay reconstructs the state of a log from its files.
type replay struct {
	log   *Log
	state consensus.State
	reset uint64 // index of the last reset record; 0 if none
}

// readSnapshot reads the newest snapshot. It removes older ones, which a crash can leave behind: the files may lack the
// entries between the two.
func (r *replay) readSnapshot(indexes []uint64) error {
	if len(indexes) == 0 {
		return nil
	}
	newest := indexes[len(indexes)-1]
	path := r.log.snapshotPath(newest)
	data, err := os.ReadFile(path)
	if err != nil {
		return corrupt("snapshot %d: %w", newest, err)
	}
	rec, err := decodeRecord(data, firstInChain)
	if err != nil || rec.kind != recordSnapshot || rec.size != len(data) {
		return corrupt("snapshot %d: kind %d, %d of %d bytes, error %v", newest, rec.kind, rec.size, len(data), err)
	}
	var message pb.Snapshot
	if err := proto.Unmarshal(rec.payload, &message); err != nil || message.GetIndex() != newest {
		return corrupt("snapshot %d holds index %d, error %v", newest, message.GetIndex(), err)
	}
	r.state.Snapshot = wire.ToSnapshot(&message)
	r.log.snapshot = path
	for _, index := range indexes[:len(indexes)-1] {
		removeFiles([]string{r.log.snapshotPath(index)})
	}
	return nil
}

func (r *replay) readSegments(sequences []uint64) error {
	if len(sequences) == 0 {
		return corrupt("log %s has no segments", r.log.name)
	}
	for i, sequence := range sequences {
		if sequence != sequences[0]+uint64(i) {
			return corrupt("log %s lacks segment %d", r.log.name, sequences[0]+uint64(i))
		}
		if i > 0 {
			r.log.closedSegments = append(r.log.closedSegments, segment{path: r.log.segmentPath(sequence - 1), lastEntry: r.log.lastEntry})
		}
		r.log.sequence, r.log.lastEntry = sequence, 0
		if err := r.readSegment(i == len(sequences)-1); err != nil {
			return fmt.Errorf("log %s segment %d: %w", r.log.name, sequence, err)
		}
	}
	return nil
}

// readSegment replays one segment. Only the newest one may end in an incomplete record, which is then truncated.
func (r *replay) readSegment(newest bool) error {
	path := r.log.segmentPath(r.log.sequence)
	data, err := os.ReadFile(path)
	if err != nil {
		return corrupt("unreadable: %w", err)
	}
	chain, offset := uint32(firstInChain), 0
	for offset < len(data) {
		rec, err := decodeRecord(data[offset:], chain)
		if errors.Is(err, errTorn) && newest && offset > 0 {
			r.state.Torn = fmt.Sprintf("%d bytes after offset %d of segment %d", len(data)-offset, offset, r.log.sequence)
			break
		}
		if err != nil {
			return corrupt("offset %d: %w", offset, err)
		}
		if err := r.apply(rec, offset == 0); err != nil {
			return err
		}
		chain = rec.chain
		offset += rec.size
	}
	if offset == 0 {
		return corrupt("empty segment")
	}
	if newest {
		return r.log.open(path, int64(offset), chain)
	}
	return nil
}

// open opens the newest segment for appending after its last valid record.
func (l *Log) open(path string, size int64, chain uint32) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return writeFailed("open segment", err)
	}
	l.file, l.size, l.chain = f, size, chain
	if err := f.Truncate(size); err != nil {
		return l.recordFailure(writeFailed("truncate an incomplete record", err))
	}
	// A record that was written but not synced before a crash of the process counts as stored from now on.
	if err := f.Sync(); err != nil {
		return l.recordFailure(writeFailed("sync segment", err))
	}
	return nil
}

// apply processes a record. first is set for the first record of a segment.
func (r *replay) apply(rec record, first bool) error {
	if first != (rec.kind == recordSegment) {
		return corrupt("record of kind %d at an invalid position", rec.kind)
	}
	switch rec.kind {
	case recordSegment:
		return r.applyHeader(rec.payload)
	case recordHard:
		var m pb.HardState
		if err := proto.Unmarshal(rec.payload, &m); err != nil {
			return corrupt("hard state: %w", err)
		}
		r.state.Hard = consensus.HardState{
			Term: m.GetTerm(), Vote: consensus.MemberID(m.GetVote()), Commit: m.GetCommit(),
		}
		r.log.hard = r.state.Hard
	case recordEntry:
		return r.applyEntry(rec.payload)
	case recordReset:
		var m pb.Reset
		if err := proto.Unmarshal(rec.payload, &m); err != nil {
			return corrupt("reset: %w", err)
		}
		r.state.Entries = nil
		r.reset = m.GetIndex()
	default:
		return corrupt("record of unknown kind %d", rec.kind)
	}
	return nil
}

func (r *replay) applyHeader(payload []byte) error {
	var m pb.SegmentHeader
	if err := proto.Unmarshal(payload, &m); err != nil {
		return corrupt("header: %w", err)
	}
	l := r.log
	if m.GetFormat() != segmentFormat || m.GetLog() != l.name || m.GetSequence() != l.sequence {
		return corrupt("header of format %d, log %q, sequence %d", m.GetFormat(), m.GetLog(), m.GetSequence())
	}
	if m.GetIdentity() != string(l.identity) {
		return result.Errorf(result.StoreIdentity, "segment belongs to %s, not to %s", m.GetIdentity(), l.identity)
	}
	return nil
}

func (r *replay) applyEntry(payload []byte) error {
	var m pb.Entry
	if err := proto.Unmarshal(payload, &m); err != nil {
		return corrupt("entry: %w", err)
	}
	e := wire.ToEntry(&m)
	entries := r.state.Entries
	switch {
	case len(entries) == 0 && r.reset > 0 && e.Index != r.reset+1:
		return corrupt("entry %d follows a reset to %d", e.Index, r.reset)
	case len(entries) > 0 && e.Index > entries[len(entries)-1].Index+1:
		return corrupt("entry %d follows entry %d", e.Index, entries[len(entries)-1].Index)
	case len(entries) > 0 && e.Index <= entries[0].Index:
		entries = nil
	case len(entries) > 0:
		entries = entries[:e.Index-entries[0].Index]
	}
	r.state.Entries = append(entries, e)
	r.log.lastEntry = max(r.log.lastEntry, e.Index)
	return nil
}

// reconcile checks that the snapshot and the entries are consistent. A crash between storing a received snapshot and
// removing the entries leaves entries that end before the snapshot or conflict with it; reconcile removes them.
func (r *replay) reconcile() (consensus.State, error) {
	s, entries := r.state.Snapshot, r.state.Entries
	if r.reset > s.Index {
		return consensus.State{}, corrupt("snapshot %d is missing", r.reset)
	}
	if len(entries) == 0 {
		return r.state, r.log.restartAfter(s, r.reset)
	}
	if entries[0].Index > s.Index+1 {
		return consensus.State{}, corrupt("entries between snapshot %d and entry %d are missing", s.Index, entries[0].Index)
	}
	last := entries[len(entries)-1].Index
	if last < s.Index || entries[0].Index <= s.Index && entries[s.Index-entries[0].Index].Term != s.Term {
		r.state.Entries = nil
		return r.state, r.log.restartAfter(s, r.reset)
	}
	return r.state, nil
}

// restartAfter makes the log continue after the snapshot, unless its last reset record already does.
func (l *Log) restartAfter(s consensus.Snapshot, reset uint64) error {
	if s.Index == reset {
		return nil
	}
	return l.recordFailure(l.restart(s))
}
