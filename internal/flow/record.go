package flow

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainseam/plantainseam/internal/model"
)

// record is the state of one flow: flags and, if another agent owns the flow, the owner's peer index.
type record uint16

const (
	recordOwned      record = 1 << iota // this agent owns the flow
	recordRegistered                    // the current home has acknowledged the owned flow
	recordSuspect                       // the flow was owned when the host stopped accepting; set in owned records only
)

const peerShift = 2 // the peer index of a redirect overlaps recordSuspect, which only owned records use

// selfPeer and noPeer are reserved peer indexes. maxPeers is the number of indexes that fit into a record.
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

// halfOpen is the state of a flow whose TCP handshake is not complete.
type halfOpen struct {
	record record
	since  uint32 // Unix time in seconds at which the last SYN was accepted or assigned
}

// halfOpenTimeout is the longest time that an owned flow stays half-open. Callers give up a handshake after about 30 s.
const halfOpenTimeout = 30 * time.Second

// tombstoneTTL is the time for which delayed copies of an assigned SYN are declined after the flow ended or was
// declined. It is far longer than a packet can be in transit between agents.
const tombstoneTTL = 30 * time.Second

func seconds(now time.Time) uint32 { return uint32(now.Unix()) }

// elapsed returns the seconds from since to now, or 0 if the clock was set back and since lies in the future.
func elapsed(now time.Time, since uint32) uint32 {
	if s := seconds(now); s > since {
		return s - since
	}
	return 0
}

// peer is an agent: this one, with index selfPeer, or another one.
type peer struct {
	index        uint16
	host         model.HostID
	incarnation  model.Incarnation // newest run named by a configuration or message; 0 if unknown
	lastSequence uint32            // sequence number of the newest message of that run
}

// advanceSequence reports whether a message is newer than every message received before, and records its sequence
// number.
func (p *peer) advanceSequence(sequence uint32) bool {
	if sequence <= p.lastSequence {
		return false
	}
	p.lastSequence = sequence
	return true
}

// peer returns the peer of a host and adds it if necessary. It returns nil when all peer indexes are in use.
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

// observeRun records the run of a peer. When the peer has restarted, the flows of its earlier run have ended and the new
// run has no redirects: redirects to the peer are deleted, and owned flows are registered with it again.
func (m *machine) observeRun(p *peer, incarnation model.Incarnation) {
	if p.index == selfPeer || incarnation <= p.incarnation {
		return
	}
	restarted := p.incarnation != 0
	p.incarnation, p.lastSequence = incarnation, 0
	if !restarted {
		return
	}
	m.deleteRedirectsTo(p.index, func(flowKey) bool { return true })
	for _, svc := range m.byIndex {
		if svc.memberByPeer(p.index) != nil {
			m.registerAll(svc, func(b uint32) bool { return svc.homes[b] == p.index })
		}
	}
}

// deleteRedirectsTo deletes the matching redirects to a peer.
func (m *machine) deleteRedirectsTo(to uint16, match func(flowKey) bool) {
	m.deleteRedirects(func(k flowKey, r record) bool { return r.peer() == to && match(k) })
}

// deleteRedirects deletes the matching redirects, including assignments that the owner has not yet registered.
func (m *machine) deleteRedirects(match func(flowKey, record) bool) {
	var keys []flowKey
	m.flows.each(func(k flowKey, r *record) {
		if !r.owned() && match(k, *r) {
			keys = append(keys, k)
		}
	})
	for _, k := range keys {
		m.flows.delete(k)
	}
	m.deletePending(match)
}

// deletePending deletes the matching assignments that the owner has not yet registered.
func (m *machine) deletePending(match func(flowKey, record) bool) {
	var keys []flowKey
	m.halfOpen.each(func(k flowKey, h *halfOpen) {
		if !h.record.owned() && match(k, h.record) {
			keys = append(keys, k)
		}
	})
	for _, k := range keys {
		m.halfOpen.delete(k)
	}
}

// Assignment returns the identifier that an assigned packet carries. It binds the packet to one run of the assigner and
// one run of the assignee. Without it, a copy that is delayed until after a restart could be accepted although the
// assigner has no record of the assignment.
func Assignment(assigner, assignee model.HostRef) uint64 {
	var d xxhash.Digest
	d.Reset()
	hashRef(&d, assigner)
	hashRef(&d, assignee)
	return d.Sum64()
}

func hashRef(d *xxhash.Digest, r model.HostRef) {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint64(buf[8:], uint64(len(r.Host)))
	_, _ = d.Write(buf[:])
	_, _ = d.WriteString(string(r.Host))
}

// tombstoneTable holds flows that recently ended on this host or were declined by it.
type tombstoneTable struct {
	limit  int
	expiry map[flowKey]time.Time
	queue  []tombstone // in the order of insertion
	// refuseUntil is set when an entry was displaced before it expired. Until this time no assigned flow is accepted.
	refuseUntil time.Time
}

type tombstone struct {
	key       flowKey
	expiresAt time.Time
}

func (t *tombstoneTable) init(limit int) {
	t.limit = limit
	t.expiry = map[flowKey]time.Time{}
}

// full reports whether add would displace an entry.
func (t *tombstoneTable) full() bool { return len(t.queue) >= t.limit }

// add inserts a flow. When the table is full, the oldest entry is displaced.
func (t *tombstoneTable) add(now time.Time, k flowKey) {
	if t.full() {
		t.refuseUntil = t.queue[0].expiresAt
		t.removeOldest()
	}
	until := now.Add(tombstoneTTL)
	t.expiry[k] = until
	t.queue = append(t.queue, tombstone{k, until})
}

// removeOldest removes the oldest entry. A key that was added again keeps its later expiry.
func (t *tombstoneTable) removeOldest() {
	oldest := t.queue[0]
	t.queue = t.queue[1:]
	if t.expiry[oldest.key].Equal(oldest.expiresAt) {
		delete(t.expiry, oldest.key)
	}
}

func (t *tombstoneTable) expire(now time.Time) {
	for len(t.queue) > 0 && !now.Before(t.queue[0].expiresAt) {
		t.removeOldest()
	}
}

// refuses reports whether an assigned SYN of the flow must be declined.
func (t *tombstoneTable) refuses(now time.Time, k flowKey) bool {
	return now.Before(t.refuseUntil) || now.Before(t.expiry[k])
}
