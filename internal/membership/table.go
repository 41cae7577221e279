// Package membership keeps the leases of entries and agents and decides which hosts are lost. Its state is not replicated: a
// new leader rebuilds it from announcements.
package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// Times of the failure detector.
const (
	Heartbeat   = time.Second      // interval of announcements
	Lease       = 5 * time.Second  // a host may take new work for this long without renewal
	EntryLapse  = 15 * time.Second // an entry holds no state; it is lost after this time without other evidence
	StableBase  = 10 * time.Second // a lost host is returned after announcing itself for this long without a lapse
	StableMax   = 5 * time.Minute  // the stable period doubles with each loss up to this
	ForgetAfter = time.Hour        // a host that has been lost for this long is removed from the catalog
)

// Bounds of what one announcement may carry. Larger lists are cut.
const (
	MaxObservations = 8192
	MaxOpenCallers  = 256
)

// Catalog is the part of the catalog that this package reads.
type Catalog interface {
	CheckAnnounce(h *catalogpb.Host) error
	MissingRights(h *catalogpb.Host) []string
	Host(host string) *catalogpb.Host
	Hosts(f func(h *catalogpb.Host))
	MayLose(host string) bool
	LastActive(host string) bool
}

// Load is the open work of a host, or of one service at a host.
type Load struct {
	Flows   uint64
	Running uint64
	Queued  uint64
}

// Requests returns running and queued requests.
func (l Load) Requests() uint64 { return l.Running + l.Queued }

// Idle reports whether there is no open work.
func (l Load) Idle() bool { return l == Load{} }

// lease holds the newest announcement of a host and the time of its last renewal.
type lease struct {
	incarnation uint64
	sequence    uint64
	entry       bool
	domain      string
	renewed     time.Time
	stableSince time.Time // start of the current series of announcements without a lapse
	revision    model.Revision
	cold        bool
	load        Load
	services    map[uint32]Load // nil when the host does not report per service
	callers     []*memberpb.OpenCaller
	unreachable []string
	reachable   []string
}

// Table holds the leases. It is not safe for concurrent use.
type Table struct {
	started time.Time
	leases  map[string]*lease
}

// NewTable returns an empty table of a leader elected at the given time. Until a full lease has passed since then, no
// host is declared lost.
func NewTable(started time.Time) *Table {
	return &Table{started: started, leases: map[string]*lease{}}
}

// Decision is the answer to an announcement.
type Decision struct {
	Err        error           // has a result code; nil if the announcement was accepted
	Register   *catalogpb.Host // to commit before the answer is sent; nil if the catalog has it already
	Lease      time.Duration   // zero if the host may not take new work
	Missing    []string        // announced services that the host may not carry
	LastActive bool            // the host wants to leave but is the last active upstream of a service
	Lost       bool            // the host is declared lost and waits for its return
}

// Announce registers a host or renews its lease.
func (t *Table) Announce(now time.Time, req *memberpb.AnnounceRequest, cat Catalog) Decision {
	h, err := hostOf(req)
	if err != nil {
		return Decision{Err: err}
	}
	if err := cat.CheckAnnounce(h); err != nil {
		return Decision{Err: err}
	}
	old := t.leases[h.Host]
	if old != nil && old.incarnation > h.Incarnation {
		return Decision{Err: result.Errorf(result.AnnounceStale, "incarnation %d of %s follows %d", h.Incarnation, h.Host, old.incarnation)}
	}
	current := t.renew(now, old, h, req)
	d := Decision{Lease: Lease, Missing: cat.MissingRights(h)}
	known := cat.Host(h.Host)
	if h.Leaving && !known.GetLeaving() && cat.LastActive(h.Host) {
		h.Leaving = false // it stays until another upstream can take its work
		d.LastActive = true
	}
	if current && !sameAnnouncement(known, h) {
		d.Register = h
	}
	if known.GetLost() {
		d.Lost = true
		d.Lease = 0
	}
	return d
}

// renew stores an announcement and reports whether it is the newest one of its host.
func (t *Table) renew(now time.Time, old *lease, h *catalogpb.Host, req *memberpb.AnnounceRequest) bool {
	l := &lease{
		incarnation: h.Incarnation,
		sequence:    req.Sequence,
		entry:       h.Entry,
		domain:      h.FailureDomain,
		renewed:     now,
		stableSince: now,
		revision:    model.Revision(req.Revision),
		cold:        req.Cold,
		load:        Load{uint64(req.OpenFlows), uint64(req.RunningRequests), uint64(req.QueuedRequests)},
		callers:     req.OpenCallers[:min(len(req.OpenCallers), MaxOpenCallers)],
		unreachable: req.Unreachable[:min(len(req.Unreachable), MaxObservations)],
		reachable:   req.Reachable[:min(len(req.Reachable), MaxObservations)],
	}
	if len(req.Loads) > 0 {
		l.services = map[uint32]Load{}
		for _, s := range req.Loads {
			l.services[s.Service] = Load{uint64(s.OpenFlows), uint64(s.RunningRequests), uint64(s.QueuedRequests)}
		}
	}
	t.leases[h.Host] = l
	if old == nil || old.incarnation != l.incarnation {
		return true
	}
	if now.Sub(old.renewed) <= Lease {
		l.stableSince = old.stableSince
	}
	if l.sequence >= old.sequence {
		return true
	}
	old.renewed = now // arrived after a later announcement: it renews the lease, but its content is outdated
	old.stableSince = l.stableSince
	t.leases[h.Host] = old
	return false
}

// hostOf validates an announcement and returns its host record.
func hostOf(req *memberpb.AnnounceRequest) (*catalogpb.Host, error) {
	if req.Host == "" || req.Incarnation == 0 || req.FailureDomain == "" {
		return nil, result.Errorf(result.AnnounceNotPermitted, "an announcement needs host, incarnation and failure domain")
	}
	for _, address := range []string{req.Tunnel, req.Rpc} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, result.Errorf(result.AnnounceNotPermitted, "address of %s: %w", req.Host, err)
		}
	}
	carries := slices.Clone(req.Carries)
	slices.Sort(carries)
	return &catalogpb.Host{
		Host:           req.Host,
		Incarnation:    req.Incarnation,
		FailureDomain:  req.FailureDomain,
		Tunnel:         req.Tunnel,
		Rpc:            req.Rpc,
		Entry:          req.Entry,
		Carries:        slices.Compact(carries),
		Slots:          req.Slots,
		MaxConnections: req.MaxConnections,
		Leaving:        req.Leaving,
	}, nil
}

// sameAnnouncement reports whether a is not nil and equals b in all announced attributes except Entry.
func sameAnnouncement(a, b *catalogpb.Host) bool {
	return a != nil && a.Incarnation == b.Incarnation && a.FailureDomain == b.FailureDomain && a.Tunnel == b.Tunnel &&
		a.Rpc == b.Rpc && a.Slots == b.Slots && a.MaxConnections == b.MaxConnections && a.Leaving == b.Leaving &&
		slices.Equal(a.Carries, b.Carries)
}

// Leased reports whether the host has a lease at the given time.
func (t *Table) Leased(now time.Time, host string) bool {
	l := t.leases[host]
	return l != nil && now.Sub(l.renewed) <= Lease
}

// InForce returns the configuration revision that a host last announced. The second value is false if the host has not
// announced itself to this leader.
func (t *Table) InForce(host string) (model.Revision, bool) {
	l := t.leases[host]
	if l == nil {
		return 0, false
	}
	return l.revision, true
}

// Load returns the open work of a service at a host, and of all services for service 0. The second value is false if
// the host has not announced itself to this leader. A host that does not report per service counts all of its work for
// each service.
func (t *Table) Load(host string, service uint32) (Load, bool) {
	l := t.leases[host]
	if l == nil {
		return Load{}, false
	}
	if service == 0 || l.services == nil {
		return l.load, true
	}
	return l.services[service], true
}

// Cold reports whether the upstream process of a host is still starting.
func (t *Table) Cold(host string) bool {
	l := t.leases[host]
	return l != nil && l.cold
}

// OpenCallers returns the callers that a host named as having open work; service 0 stands for all services.
func (t *Table) OpenCallers(host string, service uint32) []string {
	l := t.leases[host]
	if l == nil {
		return nil
	}
	var callers []string
	for _, c := range l.callers {
		if service == 0 || c.Service == service {
			callers = append(callers, c.Caller)
		}
	}
	return callers
}
