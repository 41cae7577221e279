package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/plantainseam/plantainseam/rpc/catalogpb"
)

// minPeersForDistrust is the smallest number of probed peers at which an observer that cannot reach most of them is itself
// considered faulty.
const minPeersForDistrust = 4

// Verdict is the set of changes to commit to the catalog after a check of the leases.
type Verdict struct {
	Lost     []*catalogpb.Loss
	Return   []*catalogpb.Loss
	Forget   []*catalogpb.Loss
	Deferred []string // suspected hosts that are not declared lost, since too many would be lost at once
}

// Empty reports whether there is nothing to commit.
func (v Verdict) Empty() bool { return len(v.Lost)+len(v.Return)+len(v.Forget) == 0 }

// evidence holds the observations of one suspected host.
type evidence struct {
	unreachable []string        // observers that cannot reach the host
	domains     map[string]bool // failure domains of those observers
	reachable   int             // number of observers that reach the host
}

// Check decides which hosts are lost, returned or forgotten. A host is lost when its lease has lapsed, observers in two
// failure domains cannot reach it, and more observers cannot reach it than can. One failure domain is enough if no other has
// a live observer. An entry is lost after EntryLapse without observers.
func (t *Table) Check(now time.Time, cat Catalog) Verdict {
	var v Verdict
	suspects := map[string]*evidence{}
	entries, lapsedEntries := 0, []*catalogpb.Host(nil)
	cat.Hosts(func(h *catalogpb.Host) {
		switch {
		case h.Retired:
		case h.Lost:
			t.checkLost(now, h, &v)
		case h.Entry:
			entries++
			if now.Sub(t.lastSeen(h)) > EntryLapse {
				lapsedEntries = append(lapsedEntries, h)
			}
		case now.Sub(t.lastSeen(h)) > Lease:
			suspects[h.Host] = &evidence{domains: map[string]bool{}}
		}
	})
	t.checkEntries(entries, lapsedEntries, &v)
	if len(suspects) > 0 {
		t.checkSuspects(now, cat, suspects, &v)
	}
	v.sort()
	return v
}

// lastSeen returns the last lease renewal of a host, or the election of this leader if that is later or the host has not
// announced its current incarnation.
func (t *Table) lastSeen(h *catalogpb.Host) time.Time {
	l := t.leases[h.Host]
	if l == nil || l.incarnation != h.Incarnation {
		return t.started
	}
	if l.renewed.Before(t.started) {
		return t.started
	}
	return l.renewed
}

// checkEntries declares lapsed entries lost unless they are more than half of all entries: then the fault is more likely
// between the leader and the entries.
func (t *Table) checkEntries(total int, lapsed []*catalogpb.Host, v *Verdict) {
	for _, h := range lapsed {
		if len(lapsed) > total/2 {
			v.Deferred = append(v.Deferred, h.Host)
			continue
		}
		v.Lost = append(v.Lost, &catalogpb.Loss{Host: h.Host, Incarnation: h.Incarnation, Observers: []string{"lease"}})
	}
}

func (t *Table) checkSuspects(now time.Time, cat Catalog, suspects map[string]*evidence, v *Verdict) {
	domains := t.collectEvidence(now, suspects)
	for _, host := range sortedHosts(suspects) {
		e := suspects[host]
		need := min(2, max(1, domains))
		if len(e.domains) < need || len(e.unreachable) <= e.reachable {
			continue
		}
		if !cat.MayLose(host) {
			v.Deferred = append(v.Deferred, host)
			continue
		}
		slices.Sort(e.unreachable)
		loss := &catalogpb.Loss{Host: host, Incarnation: cat.Host(host).GetIncarnation(), Observers: e.unreachable}
		v.Lost = append(v.Lost, loss)
	}
}

// collectEvidence adds the observations of all hosts with a lease to suspects and returns the number of failure domains of
// these hosts.
func (t *Table) collectEvidence(now time.Time, suspects map[string]*evidence) int {
	domains := map[string]bool{}
	for observer, l := range t.leases {
		if now.Sub(l.renewed) > Lease {
			continue
		}
		domains[l.domain] = true
		for _, host := range l.reachable {
			if e := suspects[host]; e != nil && host != observer {
				e.reachable++
			}
		}
		if l.untrusted() {
			continue
		}
		for _, host := range l.unreachable {
			if e := suspects[host]; e != nil && host != observer {
				e.unreachable = append(e.unreachable, observer)
				e.domains[l.domain] = true
			}
		}
	}
	return len(domains)
}

// untrusted reports whether the observer cannot reach most of the peers that it probes, so that the fault is likely its own.
func (l *lease) untrusted() bool {
	peers := len(l.unreachable) + len(l.reachable)
	return peers >= minPeersForDistrust && len(l.unreachable) > peers/2
}

// checkLost adds a lost host to v.Return after its stable period of announcements, or to v.Forget after ForgetAfter.
func (t *Table) checkLost(now time.Time, h *catalogpb.Host, v *Verdict) {
	loss := &catalogpb.Loss{Host: h.Host, Incarnation: h.Incarnation}
	l := t.leases[h.Host]
	if l != nil && l.incarnation == h.Incarnation && now.Sub(l.renewed) <= Lease {
		if now.Sub(l.stableSince) >= StablePeriod(h.Losses) {
			v.Return = append(v.Return, loss)
		}
		return
	}
	if now.Sub(time.UnixMilli(h.LostUnixMs)) > ForgetAfter && now.Sub(t.started) > Lease {
		v.Forget = append(v.Forget, loss)
		delete(t.leases, h.Host)
	}
}

// StablePeriod returns how long a host that was lost the given number of times must announce itself without a lapse
// before it is returned. It doubles with each loss up to StableMax, so that a flapping host does not move buckets each time.
func StablePeriod(losses uint32) time.Duration {
	period := StableBase
	for i := uint32(1); i < losses && period < StableMax; i++ {
		period *= 2
	}
	return min(period, StableMax)
}

func (v *Verdict) sort() {
	byHost := func(a, b *catalogpb.Loss) int { return strings.Compare(a.Host, b.Host) }
	slices.SortFunc(v.Lost, byHost)
	slices.SortFunc(v.Return, byHost)
	slices.SortFunc(v.Forget, byHost)
	slices.Sort(v.Deferred)
}

func sortedHosts(m map[string]*evidence) []string {
	hosts := make([]string, 0, len(m))
	for host := range m {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}
