package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/wire"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/consensuspb"
)

// segmentBytes is the size in bytes at which a segment is closed and a new one is created. Compaction removes whole
// segments.
const segmentBytes = 4 << 20

// segmentFormat is the version of the file format.
const segmentFormat = 1

var errNotLoaded = errors.New("log is not loaded")

// Log is the durable store of one log. It implements consensus.Store and is used by one goroutine at a time. Its files are
// segments, which contain records in the order in which they were written, and one snapshot.
type Log struct {
	path     string
	identity consensus.MemberID
	name     string

	file           *os.File // active segment; nil until Load
	chain          uint32   // chain value of the last record in the active segment
	size           int64
	sequence       uint64
	closedSegments []segment // earlier segments, oldest first
	lastEntry      uint64    // highest entry index in the active segment; 0 if none
	hard           consensus.HardState
	snapshot       string // path of the snapshot file; empty if there is none
	writeErr       error  // first write error, after which the content of the files is unknown
	buf            []byte
}

// segment is a closed segment.
type segment struct {
	path      string
	lastEntry uint64 // highest entry index in the segment; 0 if none
}

func (l *Log) segmentPath(sequence uint64) string {
	return filepath.Join(l.path, fmt.Sprintf("%016x%s", sequence, segmentSuffix))
}

func (l *Log) snapshotPath(index uint64) string {
	return filepath.Join(l.path, fmt.Sprintf("%016x%s", index, snapshotSuffix))
}

const (
	segmentSuffix  = ".log"
	snapshotSuffix = ".snapshot"
)

// Append implements consensus.Store. It makes one write and one sync.
func (l *Log) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if err := l.ready(); err != nil {
		return err
	}
	if l.size >= segmentBytes {
		if err := l.recordFailure(l.rotate(nil)); err != nil {
			return err
		}
	}
	l.buf = l.buf[:0]
	if hard != nil {
		l.hard = *hard
		l.encodeRecord(recordHard, encodeHard(*hard))
	}
	for _, e := range entries {
		l.encodeRecord(recordEntry, wire.FromEntry(e))
		l.lastEntry = max(l.lastEntry, e.Index)
	}
	return l.recordFailure(l.flush())
}

// Compact implements consensus.Store.
func (l *Log) Compact(s consensus.Snapshot, firstKept uint64) error {
	if err := l.ready(); err != nil {
		return err
	}
	if err := l.recordFailure(l.saveSnapshot(s)); err != nil {
		return err
	}
	n := 0
	for n < len(l.closedSegments) && l.closedSegments[n].lastEntry < firstKept {
		n++
	}
	l.removeSegments(n)
	return nil
}

// Reset implements consensus.Store. It makes the snapshot durable before it removes the entries.
func (l *Log) Reset(s consensus.Snapshot) error {
	if err := l.ready(); err != nil {
		return err
	}
	if err := l.recordFailure(l.saveSnapshot(s)); err != nil {
		return err
	}
	return l.recordFailure(l.restart(s))
}

// restart creates a segment with a reset record, which discards all earlier entries, and removes the earlier segments.
func (l *Log) restart(s consensus.Snapshot) error {
	if err := l.rotate(&pb.Reset{Index: s.Index, Term: s.Term}); err != nil {
		return err
	}
	l.removeSegments(len(l.closedSegments))
	return nil
}

// Close implements consensus.Store.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return err
}

// ready returns an error if the log does not accept writes.
func (l *Log) ready() error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if l.file == nil {
		return writeFailed(l.name, errNotLoaded)
	}
	return nil
}

// recordFailure records the first write error and returns err. No write is accepted after an error: after a failed sync the
// kernel may have dropped the data, so a later successful sync would not prove that the data is stored.
func (l *Log) recordFailure(err error) error {
	if err != nil && l.writeErr == nil {
		l.writeErr = err
	}
	return err
}

// encodeRecord appends a record to the write buffer.
func (l *Log) encodeRecord(kind recordKind, message proto.Message) {
	payload, err := proto.Marshal(message)
	if err != nil {
		// Only a string field that is not valid UTF-8 causes this. The log must not continue without the record.
		l.writeErr = result.Errorf(result.StoreWriteFailed, "encode record: %w", err)
		return
	}
	l.buf, l.chain = appendRecord(l.buf, l.chain, kind, payload)
}

// flush writes the buffer to the active segment and syncs it.
func (l *Log) flush() error {
	if l.writeErr != nil {
		return l.writeErr
	}
	n, err := l.file.Write(l.buf)
	l.size += int64(n)
	if err != nil {
		return writeFailed("write log "+l.name, err)
	}
	if err := l.file.Sync(); err != nil {
		return writeFailed("sync log "+l.name, err)
	}
	return nil
}

// rotate creates a new segment. Its first records repeat the state that would be lost when earlier segments are removed.
// The file gets its final name only after they are synced, so a segment never starts with an incomplete record.
func (l *Log) rotate(reset *pb.Reset) error {
	l.buf, l.chain = l.buf[:0], firstInChain
	l.encodeRecord(recordSegment, &pb.SegmentHeader{
		Format: segmentFormat, Identity: string(l.identity), Log: l.name, Sequence: l.sequence + 1,
	})
	l.encodeRecord(recordHard, encodeHard(l.hard))
	if reset != nil {
		l.encodeRecord(recordReset, reset)
	}
	if l.writeErr != nil {
		return l.writeErr
	}
	path := l.segmentPath(l.sequence + 1)
	if err := writeFile(path, l.buf); err != nil {
		return err
	}
	if l.file != nil {
		l.closedSegments = append(l.closedSegments, segment{path: l.segmentPath(l.sequence), lastEntry: l.lastEntry})
		_ = l.file.Close() // all its data is synced
	}
	l.sequence++
	l.lastEntry = 0
	l.size = int64(len(l.buf))
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return writeFailed("open segment", err)
	}
	l.file = file
	return nil
}

// removeSegments removes the n oldest closed segments, oldest first, so that the remaining segments are always
// consecutive.
func (l *Log) removeSegments(n int) {
	for _, s := range l.closedSegments[:n] {
		removeFiles([]string{s.path})
	}
	l.closedSegments = l.closedSegments[n:]
}

func (l *Log) saveSnapshot(s consensus.Snapshot) error {
	payload, err := proto.Marshal(wire.FromSnapshot(s))
	if err != nil {
		return result.Errorf(result.StoreWriteFailed, "encode snapshot: %w", err)
	}
	if len(payload) > maxPayload {
		return result.Errorf(result.StoreWriteFailed, "snapshot of %d bytes exceeds %d", len(payload), maxPayload)
	}
	data, _ := appendRecord(nil, firstInChain, recordSnapshot, payload)
	path := l.snapshotPath(s.Index)
	if err := writeFile(path, data); err != nil {
		return err
	}
	if l.snapshot != "" && l.snapshot != path {
		removeFiles([]string{l.snapshot})
	}
	l.snapshot = path
	return nil
}

func encodeHard(h consensus.HardState) *pb.HardState {
	return &pb.HardState{Term: h.Term, Vote: string(h.Vote), Commit: h.Commit}
}
