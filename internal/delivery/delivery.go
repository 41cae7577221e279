// Package delivery terminates the TCP connections of callers. It passes the packets of the flows that a host owns to a
// userspace TCP stack and reports the established connections to a Handler.
package delivery

import (
	"net"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Handler serves established connections and is notified when they end.
type Handler interface {
	// Established is called when the handshake of a flow is complete. The handler owns conn and must close it.
	Established(key model.FlowKey, conn net.Conn)
	// Closed is called once per flow, when the stack no longer has state for it.
	Closed(key model.FlowKey, code result.Code)
}

// Delivery terminates callers' TCP flows.
type Delivery interface {
	// Deliver passes a caller's IP packet to the stack. The packet is copied.
	Deliver(key model.FlowKey, packet []byte) error
	// Abort ends a flow and sends a reset to the caller. code is reported to Handler.Closed.
	Abort(key model.FlowKey, code result.Code)
	// Flows returns the number of flows in any state, including half-open ones.
	Flows() int
	// Close ends all flows and releases the stack.
	Close() error
}

// Output sends IP packets to callers.
type Output interface {
	Send(packet []byte) error
}
