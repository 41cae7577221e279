package node

import (
	"context"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// Transport carries messages between the members of all logs of a process. Messages may be lost, duplicated or
// reordered; consensus tolerates it.
type Transport interface {
	// Send queues messages for a member. It never blocks: when the queue is full, messages are lost. Address may be
	// empty if this member does not know the membership yet; the transport then uses the address it last heard from.
	Send(log string, to consensus.Member, messages []consensus.Message)
	// Register sets the receiver of messages for a log. A nil handler removes it.
	Register(log string, handler Handler)
}

// Handler receives messages. It may block until ctx is done when the receiver is busy.
type Handler func(ctx context.Context, messages []consensus.Message) error
