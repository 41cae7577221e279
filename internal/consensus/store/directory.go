package store

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/google/uuid"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Identity is the content of the identity file, which is written once, when the data directory is created.
type Identity struct {
	ID   consensus.MemberID // the name and a random UUID
	Name string             // name of the VM
	Logs []string           // names of the logs in the directory
}

const (
	identityFile   = "identity"
	lockFile       = "lock"
	identityFormat = "plantainseam-identity 1\nid %s\nname %s\nlogs %s\n"
)

// Directory is an open data directory. It is locked against use by other processes until it is closed.
type Directory struct {
	path     string
	identity Identity
	lock     *os.File
}

// Create creates a data directory with a new identity and empty logs. The directory must be absent or empty. The identity
// is random, so a directory that is created again after a loss never has its old identity.
func Create(path, name string, logs ...string) (Identity, error) {
	if strings.ContainsAny(name, " \n") || name == "" || len(logs) == 0 {
		return Identity{}, result.Errorf(result.SettingsBadValue,
			"data directory needs a name without spaces and at least one log: name %q, %d logs", name, len(logs))
	}
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return Identity{}, writeFailed("create data directory", err)
	}
	if names, err := os.ReadDir(path); err != nil || len(names) > 0 {
		return Identity{}, result.Errorf(result.StoreIdentity, "data directory is not empty (%d files, error %v)", len(names), err)
	}
	identity := Identity{ID: consensus.MemberID(name + "-" + uuid.NewString()), Name: name, Logs: logs}
	for _, log := range logs {
		if err := createLog(filepath.Join(path, log), identity.ID, log); err != nil {
			return Identity{}, err
		}
	}
	// The identity is written last, so a directory with an identity has all its logs.
	return identity, writeFile(filepath.Join(path, identityFile), encodeIdentity(identity))
}

func createLog(path string, id consensus.MemberID, name string) error {
	if err := os.Mkdir(path, directoryMode); err != nil {
		return writeFailed("create log "+name, err)
	}
	l := &Log{path: path, identity: id, name: name}
	if err := l.rotate(nil); err != nil {
		return err
	}
	return l.Close()
}

// Open opens a data directory. If want is not empty, the directory must have this identity. The error for a blank or absent
// directory has the code StoreIdentity.
func Open(path string, want consensus.MemberID) (*Directory, error) {
	data, err := os.ReadFile(filepath.Join(path, identityFile))
	if err != nil {
		return nil, result.Errorf(result.StoreIdentity, "data directory has no identity: %w", err)
	}
	identity, err := decodeIdentity(data)
	if err != nil {
		return nil, err
	}
	if want != "" && want != identity.ID {
		return nil, result.Errorf(result.StoreIdentity, "data directory belongs to %s, not to %s", identity.ID, want)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, writeFailed("open lock", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(result.Errorf(result.StoreIdentity, "data directory is in use: %w", err), lock.Close())
	}
	return &Directory{path: path, identity: identity, lock: lock}, nil
}

// Identity returns the identity of the directory.
func (d *Directory) Identity() Identity { return d.identity }

// Log returns the store of a log by name. Load must be its first call.
func (d *Directory) Log(name string) (*Log, error) {
	if !slices.Contains(d.identity.Logs, name) {
		return nil, result.Errorf(result.StoreIdentity, "data directory has no log %q", name)
	}
	return &Log{path: filepath.Join(d.path, name), identity: d.identity.ID, name: name}, nil
}

// Close unlocks the directory. The caller must have closed its logs.
func (d *Directory) Close() error { return d.lock.Close() }

func encodeIdentity(i Identity) []byte {
	text := fmt.Sprintf(identityFormat, i.ID, i.Name, strings.Join(i.Logs, ","))
	return fmt.Appendf(nil, "%schecksum %08x\n", text, crc32.Checksum([]byte(text), castagnoli))
}

func decodeIdentity(data []byte) (Identity, error) {
	var i Identity
	var logs string
	_, err := fmt.Sscanf(string(data), identityFormat, &i.ID, &i.Name, &logs)
	i.Logs = strings.Split(logs, ",")
	if err != nil || string(encodeIdentity(i)) != string(data) {
		return Identity{}, result.Errorf(result.StoreCorrupt, "identity file is damaged")
	}
	return i, nil
}
