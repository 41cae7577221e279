package store

import (
	"os"
	"path/filepath"

	"github.com/plantainseam/plantainseam/internal/durable"
	"github.com/plantainseam/plantainseam/internal/result"
)

const (
	fileMode      = 0o600
	directoryMode = 0o700
)

// writeFailed returns an error with code StoreWriteFailed.
func writeFailed(action string, err error) error {
	return result.Errorf(result.StoreWriteFailed, "%s: %w", action, err)
}

// writeFile creates or replaces a file atomically: after a crash it has either its old or its new content.
func writeFile(path string, data []byte) error {
	if err := durable.WriteFile(path, data); err != nil {
		return writeFailed("write "+filepath.Base(path), err)
	}
	return nil
}

// removeFiles removes obsolete files and ignores errors. Load removes obsolete snapshots and temporary files that remain,
// and replays segments that remain.
func removeFiles(paths []string) {
	for _, path := range paths {
		_ = os.Remove(path)
	}
}
