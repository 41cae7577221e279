// Package passthrough forwards whole packets between callers and upstreams without terminating their flows. The upstream
// is the end of each flow and the only holder of its state; the package decides which upstream receives a new flow and
// finds the upstream that holds an established one. Its state machines use no sockets, clocks or goroutines.
package passthrough

import (
	"fmt"
	"net/netip"
)

// Endpoint is an IPv4 address and a port.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf returns the endpoint of an IPv4 address and port.
func EndpointOf(a netip.AddrPort) Endpoint {
	return Endpoint{IP: a.Addr().Unmap().As4(), Port: a.Port()}
}

// AddrPort returns the endpoint as a netip value.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns address:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Flow identifies a flow by its two ends.
type Flow struct {
	Caller Endpoint
	Front  Endpoint // address of the service that the caller used
}

// String returns the form used in logs.
func (f Flow) String() string { return fmt.Sprintf("%s>%s", f.Caller, f.Front) }

// Segment holds the fields of a packet that forwarding decisions use.
type Segment struct {
	Flow    Flow
	Syn     bool
	Ack     bool
	Fin     bool
	Rst     bool
	Bounced bool   // the upstream returned the packet because it does not hold the flow or cannot accept it
	Seq     uint32 // sequence number
	AckNo   uint32 // acknowledgement number
	Data    int    // bytes of payload

	OpeningAgeMs int64 // of a packet that opens a flow: time since the caller sent the first copy
}

// Opens reports whether the segment requests a new flow.
func (s Segment) Opens() bool { return s.Syn && !s.Ack && !s.Rst }

// Table is the part of a declaration that forwarding uses. It is immutable.
type Table struct {
	Version     uint64
	Routes      map[Endpoint]*Route
	IdleTimeout int64 // in milliseconds; idle flows expire after it
}

// Route lists the services among which new flows to an address are split.
type Route struct {
	Name    string
	Targets []Target
	total   uint64
}

// Target is a service and its weight.
type Target struct {
	Service string
	Weight  uint32
}

// NewRoute returns a route to the targets.
func NewRoute(name string, targets []Target) *Route {
	r := &Route{Name: name, Targets: targets}
	for _, t := range targets {
		r.total += uint64(t.Weight)
	}
	return r
}

// Allows reports whether the route may send flows to the service.
func (r *Route) Allows(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// pick returns the service of a flow. All nodes with the same table pick the same service.
func (r *Route) pick(f Flow) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	if r.total == 0 {
		return ""
	}
	at := flowHash(f, splitSeed) % r.total
	for _, t := range r.Targets {
		if at < uint64(t.Weight) {
			return t.Service
		}
		at -= uint64(t.Weight)
	}
	return ""
}
