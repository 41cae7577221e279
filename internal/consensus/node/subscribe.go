package node

import (
	"sync"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// Update is sent to subscribers.
type Update struct {
	Applied uint64 // index of the last applied entry
	Role    consensus.Role
	Term    uint64
	Leader  consensus.MemberID // empty if unknown
}

// subscribers passes updates to any number of receivers without waiting for them.
type subscribers struct {
	mu       sync.Mutex
	last     Update
	channels map[chan Update]struct{}
}

func (s *subscribers) add() (<-chan Update, func()) {
	ch := make(chan Update, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.channels == nil {
		s.channels = map[chan Update]struct{}{}
	}
	s.channels[ch] = struct{}{}
	ch <- s.last
	return ch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.channels, ch)
	}
}

// publish replaces an update that was not yet received.
func (s *subscribers) publish(u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u == s.last {
		return
	}
	s.last = u
	for ch := range s.channels {
		select {
		case <-ch:
		default:
		}
		ch <- u
	}
}
