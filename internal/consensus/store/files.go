package store

import (
	"os"
	"path/filepath"

	"github.com/plantainseam/plantainseam/internal/result"
)

const (
	fileMode      = 0o600
	directoryMode = 0o700
	temporary     = ".tmp" // suffix of files that are not yet complete
)

func writeFailed(action string, err error) error {
	return result.Errorf(result.StoreWriteFailed, "%s: %w", action, err)
}

// writeFile creates or replaces a file so that after a crash it has either its old or its new content.
func writeFile(path string, data []byte) error {
	if err := writeSynced(path+temporary, data); err != nil {
		return writeFailed("write "+filepath.Base(path), err)
	}
	if err := os.Rename(path+temporary, path); err != nil {
		return writeFailed("rename "+filepath.Base(path), err)
	}
	return syncDirectory(filepath.Dir(path))
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
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDirectory makes created, renamed and removed names durable.
func syncDirectory(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return writeFailed("open directory", err)
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return writeFailed("sync directory", err)
	}
	return nil
}

// removeFiles removes files that are no longer needed. A file that stays is removed at the next start.
func removeFiles(paths []string) {
	for _, path := range paths {
		_ = os.Remove(path)
	}
}
