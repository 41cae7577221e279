// Package durable writes files atomically and syncs them to disk, so that they survive a power failure.
package durable

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/result"
)

// TemporarySuffix is the suffix of files that are being written. A file with this suffix that is left after a crash may
// be removed.
const TemporarySuffix = ".tmp"

const fileMode = 0o600

// checksumSize is the size in bytes of the xxhash64 checksum that follows the magic string of a checked file.
const checksumSize = 8

// WriteFile creates or replaces a file atomically: after a crash it has either its old or its new content. When it
// returns without an error, both the content and the directory entry are on disk.
func WriteFile(path string, data []byte) error {
	if err := writeSynced(path+TemporarySuffix, data); err != nil {
		return err
	}
	if err := os.Rename(path+TemporarySuffix, path); err != nil {
		return err
	}
	return SyncDirectory(filepath.Dir(path))
}

// writeSynced writes a file and syncs its content to disk.
func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// SyncDirectory syncs a directory to disk, so that the creation, renaming and removal of its files is durable.
func SyncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// WriteChecked writes a file like WriteFile: a magic string that names the format, a checksum of body, and body.
func WriteChecked(path, magic string, body []byte) error {
	raw := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return WriteFile(path, append(raw, body...))
}

// ReadChecked returns the body of a file that WriteChecked wrote. The error is fs.ErrNotExist if there is no file, and
// result.StoreCorrupt if the file cannot be read or is damaged.
func ReadChecked(path, magic string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	if err != nil {
		return nil, result.Errorf(result.StoreCorrupt, "read %s: %w", path, err)
	}
	if len(raw) < len(magic)+checksumSize || string(raw[:len(magic)]) != magic {
		return nil, result.Errorf(result.StoreCorrupt, "%s has no valid header", path)
	}
	body := raw[len(magic)+checksumSize:]
	if binary.BigEndian.Uint64(raw[len(magic):]) != xxhash.Sum64(body) {
		return nil, result.Errorf(result.StoreCorrupt, "%s fails its checksum", path)
	}
	return body, nil
}
