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

// segmentBytes is the size from which a segment is closed and a new one begun. Compaction removes whole segments.
const segmentBytes = 4 << 20

// segmentFormat is the version of the file format.
const segmentFormat = 1

var errNotLoaded = errors.New("log is not loaded")

// Log is the durable store of one log. It implements consensus.Store and is used by one goroutine at a time. Its files
// are segments, which hold records in the order they were written, and one snapshot.
type Log struct {
	path     string
	identity consensus.MemberID
	name     string

	file     *os.File // active segment; nil until Load
	chain    uint32
	size     int64
	sequence uint64
	closed   []segment // earlier segments, oldest first
	lastIn   uint64    // greatest entry index in the active segment
	hard     consensus.HardState
	snapshot string // path of the snapshot file; empty if none
	failed   error  // first write error; the content of the files is then unknown
	buf      []byte
}

// segment is a segment that is no longer written.
type segment struct {
	path string
	last uint64 // greatest entry index in it; 0 if none
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

// Append implements consensus.Store with one write and one sync.
func (l *Log) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if err := l.ready(); err != nil {
		return err
	}
	if l.size >= segmentBytes {
		if err := l.fail(l.rotate(nil)); err != nil {
			return err
		}
	}
	l.buf = l.buf[:0]
	if hard != nil {
		l.hard = *hard
		l.add(recordHard, encodeHard(*hard))
	}
	for _, e := range entries {
		l.add(recordEntry, wire.FromEntry(e))
		l.lastIn = max(l.lastIn, e.Index)
	}
	return l.fail(l.flush())
}

// Compact implements consensus.Store.
func (l *Log) Compact(s consensus.Snapshot, firstKept uint64) error {
	if err := l.ready(); err != nil {
		return err
	}
	if err := l.fail(l.saveSnapshot(s)); err != nil {
		return err
	}
	n := 0
	for n < len(l.closed) && l.closed[n].last < firstKept {
		n++
	}
	l.removeSegments(n)
	return nil
}

// Reset implements consensus.Store. The snapshot is durable before the entries are removed.
func (l *Log) Reset(s consensus.Snapshot) error {
	if err := l.ready(); err != nil {
		return err
	}
	if err := l.fail(l.saveSnapshot(s)); err != nil {
		return err
	}
	return l.fail(l.restart(s))
}

// restart begins a segment that discards all earlier entries, and removes the earlier segments.
func (l *Log) restart(s consensus.Snapshot) error {
	if err := l.rotate(&pb.Reset{Index: s.Index, Term: s.Term}); err != nil {
		return err
	}
	l.removeSegments(len(l.closed))
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

// ready returns an error if the log cannot be written.
func (l *Log) ready() error {
	if l.failed != nil {
		return l.failed
	}
	if l.file == nil {
		return writeFailed(l.name, errNotLoaded)
	}
	return nil
}

// fail remembers a write error. After a failed sync the kernel may have dropped the data, so a later sync that succeeds
// would prove nothing.
func (l *Log) fail(err error) error {
	if err != nil && l.failed == nil {
		l.failed = err
	}
	return err
}

func (l *Log) add(kind recordKind, message proto.Message) {
	payload, err := proto.Marshal(message)
	if err != nil {
		// Only a string field that is no UTF-8 can cause this, and the log must not go on without the record.
		l.failed = result.Errorf(result.StoreWriteFailed, "encode record: %w", err)
		return
	}
	l.buf, l.chain = appendRecord(l.buf, l.chain, kind, payload)
}

func (l *Log) flush() error {
	if l.failed != nil {
		return l.failed
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

// rotate begins a new segment. Its first records repeat what would be lost with the earlier segments. The file gets its
// name only when they are synced, so an incomplete first record is never seen.
func (l *Log) rotate(reset *pb.Reset) error {
	l.buf, l.chain = l.buf[:0], firstInChain
	l.add(recordSegment, &pb.SegmentHeader{
		Format: segmentFormat, Identity: string(l.identity), Log: l.name, Sequence: l.sequence + 1,
	})
	l.add(recordHard, encodeHard(l.hard))
	if reset != nil {
		l.add(recordReset, reset)
	}
	if l.failed != nil {
		return l.failed
	}
	path := l.segmentPath(l.sequence + 1)
	if err := writeFile(path, l.buf); err != nil {
		return err
	}
	if l.file != nil {
		l.closed = append(l.closed, segment{path: l.segmentPath(l.sequence), last: l.lastIn})
		_ = l.file.Close() // everything in it is synced
	}
	l.sequence++
	l.lastIn = 0
	l.size = int64(len(l.buf))
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return writeFailed("open segment", err)
	}
	l.file = file
	return nil
}

// removeSegments removes the n oldest closed segments, oldest first, so that those that stay are consecutive.
func (l *Log) removeSegments(n int) {
	for _, s := range l.closed[:n] {
		removeFiles([]string{s.path})
	}
	l.closed = l.closed[n:]
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
