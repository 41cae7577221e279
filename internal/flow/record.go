package flow

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/model"
)

// record is the state of one flow: two flags and the index of the owner.
type record uint16

const (
	recordOwned      record = 1 << iota // this agent owns the flow
	recordRegistered                    // the current home has acknowledged an owned flow
	recordSuspect                       // an owned flow from before the host stopped accepting; set in owned records only
)

const peerShift = 2 // a redirect has no flag for suspects

// Peer indexes with a fixed meaning. maxPeers is what fits into a record.
const (
	selfPeer uint16 = 0
	noPeer   uint16 = 1<<16 - 1
	maxPeers        = 1 << (16 - peerShift)
)

func redirectTo(peer uint16) record { return record(peer << peerShift) }

func (r record) owned() bool      { return r&recordOwned != 0 }
func (r record) registered() bool { return r&recordRegistered != 0 }
func (r record) suspect() bool    { return r&recordSuspect != 0 }
func (r record) peer() uint16     { return uint16(r) >> peerShift }

// halfOpen is the state of a flow whose handshake is not complete.
type halfOpen struct {
	record record
	since  uint32 // seconds of the machine's clock when the last SYN was accepted or assigned
}

// halfOpenTimeout is how long an owned flow may stay half-open. Callers give up on a handshake after about 30 s.
const halfOpenTimeout = 30 * time.Second

// tombstoneLife is how long a delayed copy of an assigned SYN is refused after the flow ended or was declined. It is far
// above the life of a packet between agents.
const tombstoneLife = 30 * time.Second

func seconds(now time.Time) uint32 { return uint32(now.Unix()) }

// elapsed returns the seconds since a time; 0 if that is later than now, as after a step of the clock.
func elapsed(now time.Time, since uint32) uint32 {
	if s := seconds(now); s > since {
		return s - since
	}
	return 0
}

// peer is another agent.
type peer struct {
	index        uint16
	host         model.HostID
	incarnation  model.Incarnation // newest run seen in a configuration or message; 0 when unknown
	lastSequence uint32            // sequence of the newest statement of that run
}

// advance reports whether a statement is newer than all received ones, and records it as the newest.
func (p *peer) advance(sequence uint32) bool {
	if sequence <= p.lastSequence {
		return false
	}
	p.lastSequence = sequence
	return true
}

// peer returns the entry of a host, or nil when no more peers can be numbered.
func (m *machine) peer(host model.HostID) *peer {
	if p := m.peers[host]; p != nil {
		return p
	}
	if len(m.byPeer) >= maxPeers {
		return nil
	}
	p := &peer{index: uint16(len(m.byPeer)), host: host}
	m.peers[host] = p
	m.byPeer = append(m.byPeer, p)
	return p
}

// observe learns the run of a peer. Flows of an earlier run have ended with its process, and a later run has no
// redirects, therefore redirects to the peer are deleted and own flows registered with it again.
func (m *machine) observe(p *peer, incarnation model.Incarnation) {
	if p.index == selfPeer || incarnation <= p.incarnation {
		return
	}
	restarted := p.incarnation != 0
	p.incarnation, p.lastSequence = incarnation, 0
	if !restarted {
		return
	}
	m.deleteRedirectsTo(p.index, func(packed) bool { return true })
	for _, svc := range m.byIndex {
		if svc.memberOf(p.index) != nil {
			m.registerAll(svc, func(b uint32) bool { return svc.homes[b] == p.index })
		}
	}
}

// deleteRedirectsTo removes the redirects to a peer that match.
func (m *machine) deleteRedirectsTo(to uint16, match func(packed) bool) {
	m.deleteRedirects(func(k packed, r record) bool { return r.peer() == to && match(k) })
}

// deleteRedirects removes the redirects that match.
func (m *machine) deleteRedirects(match func(packed, record) bool) {
	var keys []packed
	m.flows.each(func(k packed, r *record) {
		if !r.owned() && match(k, *r) {
			keys = append(keys, k)
		}
	})
	for _, k := range keys {
		m.flows.delete(k)
	}
	m.deletePending(match)
}

// deletePending removes the assignments that match and were not confirmed.
func (m *machine) deletePending(match func(packed, record) bool) {
	var keys []packed
	m.halfOpen.each(func(k packed, h *halfOpen) {
		if !h.record.owned() && match(k, h.record) {
			keys = append(keys, k)
		}
	})
	for _, k := range keys {
		m.halfOpen.delete(k)
	}
}

// Assignment returns the number that an assigned packet carries. It binds the packet to one run of the assigner and one
// of the assignee: a copy delayed beyond a restart would otherwise be accepted by a run whose peer has no record of it.
func Assignment(assigner, assignee model.HostRef) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeRef(&d, assigner)
	writeRef(&d, assignee)
	return d.Sum64()
}

func writeRef(d *xxhash.Digest, r model.HostRef) {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint64(buf[8:], uint64(len(r.Host)))
	_, _ = d.Write(buf[:])
	_, _ = d.WriteString(string(r.Host))
}

// tombstones remembers flows that ended here or were declined.
type tombstones struct {
	limit int
	until map[packed]time.Time
	queue []tombstone // by time of entry
	// refuseUntil is set when an entry was displaced before its time. Until then no assigned flow is accepted.
	refuseUntil time.Time
}

type tombstone struct {
	key   packed
	until time.Time
}

func (t *tombstones) init(limit int) {
	t.limit = limit
	t.until = map[packed]time.Time{}
}

// full reports whether add would displace an entry.
func (t *tombstones) full() bool { return len(t.queue) >= t.limit }

// add remembers a flow. When the table is full, the oldest entry is displaced.
func (t *tombstones) add(now time.Time, k packed) {
	if t.full() {
		t.refuseUntil = t.queue[0].until
		t.drop()
	}
	until := now.Add(tombstoneLife)
	t.until[k] = until
	t.queue = append(t.queue, tombstone{k, until})
}

// drop removes the oldest entry. A key that was added again keeps its later time.
func (t *tombstones) drop() {
	oldest := t.queue[0]
	t.queue = t.queue[1:]
	if t.until[oldest.key].Equal(oldest.until) {
		delete(t.until, oldest.key)
	}
}

func (t *tombstones) expire(now time.Time) {
	for len(t.queue) > 0 && !now.Before(t.queue[0].until) {
		t.drop()
	}
}

// refuses reports whether an assigned copy of the flow must be declined.
func (t *tombstones) refuses(now time.Time, k packed) bool {
	return now.Before(t.refuseUntil) || now.Before(t.until[k])
}
