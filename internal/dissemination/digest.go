// Package dissemination distributes the configuration: revisions as deltas with a digest, full snapshots to close gaps,
// and a client and a server over twirp. The newest applied revision is kept on disk, so that no process ever goes back
// to an older one.
package dissemination

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/model"
)

// DigestSize is the length of a digest in bytes.
const DigestSize = 8

// Digest returns the xxhash of the canonical encoding of a snapshot. It detects deltas that were applied to a different
// base or damaged on the way; it does not protect against forgery, which mutual TLS does.
func Digest(s *model.Snapshot) []byte {
	e := encoder{h: xxhash.New()}
	e.number(uint64(s.Revision))
	e.number(uint64(s.Keys.Active))
	e.number(uint64(len(s.Keys.Accepted)))
	for _, key := range s.Keys.Accepted {
		e.number(uint64(key))
	}
	e.number(uint64(len(s.Services)))
	for _, id := range sortedKeys(s.Services) {
		e.service(s.Services[id])
	}
	e.number(uint64(len(s.Upstreams)))
	for _, host := range sortedKeys(s.Upstreams) {
		e.upstream(s.Upstreams[host])
	}
	e.number(uint64(len(s.Entries)))
	for _, host := range sortedKeys(s.Entries) {
		e.entry(s.Entries[host])
	}
	e.flush()
	return binary.BigEndian.AppendUint64(nil, e.h.Sum64())
}

// encoder writes the canonical encoding: numbers as eight bytes in network order, strings preceded by their length,
// objects sorted by identity.
type encoder struct {
	h   *xxhash.Digest
	buf []byte
}

const encoderFlush = 4096 // bytes

func (e *encoder) flush() {
	e.h.Write(e.buf) // never fails
	e.buf = e.buf[:0]
}

func (e *encoder) number(n uint64) {
	e.buf = binary.BigEndian.AppendUint64(e.buf, n)
	if len(e.buf) >= encoderFlush {
		e.flush()
	}
}

func (e *encoder) text(s string) {
	e.number(uint64(len(s)))
	e.buf = append(e.buf, s...)
}

func (e *encoder) address(a netip.AddrPort) {
	ip := a.Addr().As16()
	e.buf = append(e.buf, ip[:]...)
	e.number(uint64(a.Port()))
}

func (e *encoder) ref(r model.HostRef) {
	e.text(string(r.Host))
	e.number(uint64(r.Incarnation))
}

func (e *encoder) service(s *model.Service) {
	e.number(uint64(s.ID))
	e.text(s.Name)
	e.address(s.Frontend)
	e.number(uint64(s.Kind))
	e.number(s.Seed)
	e.number(uint64(s.Generation))
	closing := uint64(0)
	if s.Closing {
		closing = 1
	}
	e.number(closing)
	e.number(uint64(s.QueueLimit))
	e.number(uint64(len(s.Members)))
	for _, m := range s.Members {
		e.text(string(m.Host))
		e.number(uint64(m.State))
	}
}

func (e *encoder) upstream(u *model.Upstream) {
	e.ref(u.Ref)
	e.text(string(u.FailureDomain))
	e.address(u.Tunnel)
	e.address(u.RPC)
	e.number(uint64(u.Slots))
	e.number(uint64(u.MaxConnections))
}

func (e *encoder) entry(n *model.Entry) {
	e.ref(n.Ref)
	e.text(string(n.FailureDomain))
	e.address(n.Tunnel)
	e.address(n.RPC)
}
