package control

import (
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/model"
)

// State is the catalog with a lock, so that servers can read while the log applies. It implements
// consensus.StateMachine; the log's goroutine is its only writer.
type State struct {
	mu  sync.RWMutex
	cat *catalog.Catalog
}

// NewState returns an empty catalog.
func NewState() *State { return &State{cat: catalog.New()} }

// Apply executes a committed command.
func (s *State) Apply(index uint64, at time.Time, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cat.Apply(index, at, command)
}

// Snapshot returns the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cat.Snapshot()
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cat.Restore(snapshot)
}

// Config returns the configuration at the newest applied revision.
func (s *State) Config() *model.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cat.Config()
}

// Read calls f while no command is applied. f must not retain values that the catalog returns.
func (s *State) Read(f func(c *catalog.Catalog)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.cat)
}
