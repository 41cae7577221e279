// Package declared implements the replicated state machine of declarations. A declaration is the complete mapping of
// addresses to services; the one with the highest version is in force. The machine treats the content as opaque bytes, which
// Pack and Unpack compress.
package declared

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
)

// versionSize is the size in bytes of the version that precedes the content in commands and snapshots.
const versionSize = 8

// Machine implements consensus.StateMachine. Latest may be called from any goroutine.
type Machine struct {
	mu      sync.Mutex
	version uint64
	content []byte
	changed func(version uint64)
}

// New returns an empty machine. changed, if not nil, is called after each change of the version in force.
func New(changed func(version uint64)) *Machine { return &Machine{changed: changed} }

// Command returns the command that declares the content under the version, which must not be 0.
func Command(version uint64, content []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, version), content...)
}

// Apply implements consensus.StateMachine. A command with a version no higher than the one in force has no effect. The result
// is the version in force after the command.
func (m *Machine) Apply(_ uint64, _ time.Time, command []byte) []byte {
	version, content, err := splitCommand(command)
	if err != nil {
		return nil
	}
	m.mu.Lock()
	higher := version > m.version
	if higher {
		m.version, m.content = version, content
	}
	latest := m.version
	m.mu.Unlock()
	if higher && m.changed != nil {
		m.changed(latest)
	}
	return binary.BigEndian.AppendUint64(nil, latest)
}

// splitCommand splits a command or a snapshot into version and content.
func splitCommand(data []byte) (uint64, []byte, error) {
	if len(data) < versionSize {
		return 0, nil, result.Errorf(result.DeclarationInvalid, "command of %d bytes has no version", len(data))
	}
	return binary.BigEndian.Uint64(data), data[versionSize:], nil
}

// Snapshot implements consensus.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Command(m.version, m.content), nil
}

// Restore implements consensus.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	version, content, err := uint64(0), []byte(nil), error(nil)
	if len(snapshot) > 0 { // the first snapshot of a log is empty
		if version, content, err = splitCommand(snapshot); err != nil {
			return fmt.Errorf("restore declarations: %w", err)
		}
	}
	m.mu.Lock()
	m.version, m.content = version, content
	m.mu.Unlock()
	if m.changed != nil && version > 0 {
		m.changed(version)
	}
	return nil
}

// Latest returns the version in force and its content, which the caller must not modify. Version 0 means that there is none.
func (m *Machine) Latest() (uint64, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.content
}
