// Package routing derives the bucket table of each service from a configuration snapshot. Every process that has the
// same revision derives the same table.
package routing

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/model"
)

// Buckets is the number of buckets of a service.
const Buckets = 256

// Table holds the buckets of every service of one snapshot. It is immutable after Build.
type Table struct {
	revision   model.Revision
	byFrontend map[netip.AddrPort]*model.Service
	services   map[model.ServiceID]*serviceTable
}

// Build derives the table of a snapshot.
func Build(s *model.Snapshot) *Table { return BuildFrom(nil, s) }

// BuildFrom derives the table of a snapshot and reuses the buckets of services that are unchanged since previous, which
// may be nil. The result equals that of Build.
func BuildFrom(previous *Table, s *model.Snapshot) *Table {
	t := &Table{
		revision:   s.Revision,
		byFrontend: make(map[netip.AddrPort]*model.Service, len(s.Services)),
		services:   make(map[model.ServiceID]*serviceTable, len(s.Services)),
	}
	for id, svc := range s.Services {
		t.byFrontend[canonical(svc.Frontend)] = svc
		weights := memberWeights(s, svc)
		if previous != nil {
			if old := previous.services[id]; old != nil && old.matches(svc, weights) {
				t.services[id] = old
				continue
			}
		}
		t.services[id] = rank(svc, weights)
	}
	return t
}

// Revision returns the revision of the snapshot that the table was built from.
func (t *Table) Revision() model.Revision { return t.revision }

// Lookup returns the service whose frontend is dst.
func (t *Table) Lookup(dst netip.AddrPort) (*model.Service, bool) {
	svc, ok := t.byFrontend[canonical(dst)]
	return svc, ok
}

// Home returns the upstream that decides about new flows of a bucket: the highest-ranked active upstream or, if none is
// active, the highest-ranked draining one. A draining home accepts no new flows but finds the owners of existing flows.
// ok is false when the service is unknown or all its upstreams are lost.
func (t *Table) Home(id model.ServiceID, bucket uint32) (home model.HostID, ok bool) {
	svc := t.services[id]
	if svc == nil || !svc.hasHome {
		return "", false
	}
	return svc.home(bucket), true
}

// Bucket returns the bucket of a caller's flow in a service with the given seed. IPv4-mapped IPv6 addresses hash as
// IPv4.
func Bucket(seed uint64, caller netip.AddrPort) uint32 {
	var buf [26]byte
	binary.LittleEndian.PutUint64(buf[:], seed)
	addr := caller.Addr().As16()
	copy(buf[8:], addr[:])
	binary.LittleEndian.PutUint16(buf[24:], caller.Port())
	return uint32(xxhash.Sum64(buf[:]) % Buckets)
}

// canonical unmaps IPv4-mapped addresses, so that both forms find the same service.
func canonical(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
