// Package model holds the domain types that every role shares: services, upstreams, entry VMs and the
// configuration snapshot that is published to traffic goroutines. Values are immutable once published.
package model

import (
	"fmt"
	"net/netip"
)

// ServiceID identifies a service. It is never reused, so that a packet with a stale ID cannot reach a newer service.
type ServiceID uint32

// HostID is the stable name of a VM, unique over all deployments.
type HostID string

// FailureDomain names a set of VMs that can fail together.
type FailureDomain string

// Revision numbers configurations. It increases strictly; zero means that no configuration was applied yet.
type Revision uint64

// Incarnation numbers the starts of a process on a host; a later start has a higher one.
type Incarnation uint64

// HostRef names one run of a process on a host.
type HostRef struct {
	Host        HostID
	Incarnation Incarnation
}

// String returns host/incarnation.
func (r HostRef) String() string { return fmt.Sprintf("%s/%d", r.Host, r.Incarnation) }

// Kind is the unit of work of a service: a flow or an HTTP request.
type Kind uint8

// Kinds of service.
const (
	KindStream  Kind = iota + 1 // the unit is the flow; bytes are relayed unchanged
	KindRequest                 // the unit is the HTTP request; requests pass through the gate
)

// String returns the settings name of the kind.
func (k Kind) String() string {
	switch k {
	case KindStream:
		return "stream"
	case KindRequest:
		return "request"
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// ParseKind parses the settings name of a kind.
func ParseKind(s string) (Kind, error) {
	switch s {
	case "stream":
		return KindStream, nil
	case "request":
		return KindRequest, nil
	}
	return 0, fmt.Errorf("service kind %q is neither stream nor request", s)
}

// UpstreamState is the state of an upstream within one service.
type UpstreamState uint8

// States of an upstream.
const (
	UpstreamActive   UpstreamState = iota + 1 // takes new work
	UpstreamDraining                          // keeps its flows, takes no new work
	UpstreamLost                              // declared unreachable; may still own flows
)

// String returns the lower-case name of the state.
func (s UpstreamState) String() string {
	switch s {
	case UpstreamActive:
		return "active"
	case UpstreamDraining:
		return "draining"
	case UpstreamLost:
		return "lost"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Member is an upstream of a service and its state there.
type Member struct {
	Host  HostID
	State UpstreamState
}

// Service is a frontend address and the upstreams that carry it.
type Service struct {
	ID       ServiceID
	Name     string
	Frontend netip.AddrPort // address and port that callers connect to
	Kind     Kind
	Seed     uint64 // seed of the flow hash

	// Generation is the revision at which Members last changed. Flow ownership is ordered by generation.
	Generation Revision
	Members    []Member // sorted by host
	Closing    bool     // no new flows are accepted

	QueueLimit int // requests that may wait for a slot at one upstream
}

// Member returns the member with the given host.
func (s *Service) Member(host HostID) (Member, bool) {
	for _, m := range s.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// Upstream is an upstream VM, as described by its announcement.
type Upstream struct {
	Ref            HostRef
	FailureDomain  FailureDomain
	Tunnel         netip.AddrPort // UDP address of its agent
	RPC            netip.AddrPort // twirp address of its agent
	Slots          int            // number of requests that may run concurrently
	MaxConnections int
}

// Entry is an entry VM, as described by its announcement.
type Entry struct {
	Ref           HostRef
	FailureDomain FailureDomain
	Tunnel        netip.AddrPort // UDP address that the fabric sends to
	RPC           netip.AddrPort
}

// KeyRing lists the IDs of the tunnel keys in use. The secrets are in the settings of each VM.
type KeyRing struct {
	Active   uint32   // ID of the key that signs
	Accepted []uint32 // IDs of the keys that verify, ascending
}

// Snapshot is one revision of the configuration. It is immutable after publication.
type Snapshot struct {
	Revision  Revision
	Keys      KeyRing
	Services  map[ServiceID]*Service
	Upstreams map[HostID]*Upstream
	Entries   map[HostID]*Entry
}

// NewSnapshot returns an empty snapshot at revision zero.
func NewSnapshot() *Snapshot {
	return &Snapshot{
		Services:  map[ServiceID]*Service{},
		Upstreams: map[HostID]*Upstream{},
		Entries:   map[HostID]*Entry{},
	}
}

// Clone returns a copy whose maps may be changed; the pointed-to values must be replaced, not modified.
func (s *Snapshot) Clone() *Snapshot {
	c := NewSnapshot()
	c.Revision = s.Revision
	c.Keys = s.Keys
	for id, svc := range s.Services {
		c.Services[id] = svc
	}
	for host, up := range s.Upstreams {
		c.Upstreams[host] = up
	}
	for host, e := range s.Entries {
		c.Entries[host] = e
	}
	return c
}

// ServiceByName returns the service with the given name, or nil.
func (s *Snapshot) ServiceByName(name string) *Service {
	for _, svc := range s.Services {
		if svc.Name == name {
			return svc
		}
	}
	return nil
}
