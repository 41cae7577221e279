package node

import (
	"context"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// Transport carries messages between the members of all logs of a process. Messages may be lost, duplicated or
// reordered, which package consensus tolerates.
type Transport interface {
	// Send queues messages to a member. It never blocks: a full queue drops messages. The address is empty if this member
	// does not know the membership yet; the transport then uses the address that the last message of the member named.
	Send(log string, to consensus.Member, messages []consensus.Message)
	// Register sets the receiver of messages for a log. A nil handler removes it.
	Register(log string, handler Handler)
}

// Handler receives messages. It may block until ctx is done when the receiver is busy.
type Handler func(ctx context.Context, messages []consensus.Message) error
