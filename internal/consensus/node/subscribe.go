package node

import (
	"sync"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// Update is the part of a node's status that subscribers receive.
type Update struct {
	Applied uint64 // index of the last applied entry
	Role    consensus.Role
	Term    uint64
	Leader  consensus.MemberID // empty if unknown
}

// subscribers sends updates to any number of channels without blocking.
type subscribers struct {
	mu       sync.Mutex
	last     Update
	channels map[chan Update]struct{}
}

// add returns a channel that starts with the last update, and a function that removes it.
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

// publish sends an update to all channels. It replaces one that a subscriber has not received yet.
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
