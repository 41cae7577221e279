// Package durable writes files that survive a loss of power.
package durable

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Temporary is the suffix of files that are not yet complete. One that is found at a start may be removed.
const Temporary = ".tmp"

const fileMode = 0o600

// checksumSize is the length of the checksum behind the magic string of a checked file.
const checksumSize = 8

// WriteFile creates or replaces a file so that after a crash it has either its old or its new content. It returns after
// the name is durable as well.
func WriteFile(path string, data []byte) error {
	if err := writeSynced(path+Temporary, data); err != nil {
		return err
	}
	if err := os.Rename(path+Temporary, path); err != nil {
		return err
	}
	return SyncDirectory(filepath.Dir(path))
}

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

// SyncDirectory makes created, renamed and removed names of a directory durable.
func SyncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// WriteChecked writes body as WriteFile does, behind a magic string that names the format and a checksum.
func WriteChecked(path, magic string, body []byte) error {
	raw := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return WriteFile(path, append(raw, body...))
}

// ReadChecked reads the body that WriteChecked wrote. Errors: fs.ErrNotExist if there is no file, and
// result.StoreCorrupt if it cannot be read or is damaged.
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
