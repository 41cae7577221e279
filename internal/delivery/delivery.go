// Package delivery hands the packets of owned flows to a TCP stack and relays the connections to the upstream process.
package delivery

import (
	"net"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// Handler serves accepted connections and learns when they end.
type Handler interface {
	// Established is called when the caller's handshake is complete. The handler owns conn and must close it.
	Established(key model.FlowKey, conn net.Conn)
	// Closed is called once when the stack has no more state of the flow.
	Closed(key model.FlowKey, code result.Code)
}

// Delivery terminates callers' TCP flows.
type Delivery interface {
	// Deliver hands a caller's IP packet to the stack. The packet is copied.
	Deliver(key model.FlowKey, packet []byte) error
	// Abort ends a flow with a reset towards the caller.
	Abort(key model.FlowKey, code result.Code)
	// Flows returns the number of flows that the stack holds.
	Flows() int
	// Close ends all flows and releases the stack.
	Close() error
}

// Output sends an IP packet towards a caller.
type Output interface {
	Send(packet []byte) error
}
