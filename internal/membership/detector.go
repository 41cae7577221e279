package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/plantainseam/plantainseam/rpc/catalogpb"
)

// minPeersOfJudgedObserver is the number of observed peers from which an observer that cannot reach most of them is
// taken to be the one with the fault.
const minPeersOfJudgedObserver = 4

// Verdict is what a check of the leases asks the catalog to commit.
type Verdict struct {
	Lost   []*catalogpb.Loss
	Return []*catalogpb.Loss
	Forget []*catalogpb.Loss
	Held   []string // suspected hosts that stay, since too many would be lost at once
}

// Empty says whether nothing is to be committed.
func (v Verdict) Empty() bool { return len(v.Lost)+len(v.Return)+len(v.Forget) == 0 }

// evidence counts the observers of one suspected host.
type evidence struct {
	unreachable []string
	domains     map[string]bool // of observers that cannot reach it
	reachable   int
}

// Check decides which hosts are lost, returned or forgotten. A host is lost when its lease has lapsed and observers in
// two failure domains, and more observers than not, cannot reach it. One failure domain is enough where no other has a
// live observer.
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

// lastSeen returns the last renewal of a host. A leader counts from its election for hosts that it has not heard.
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

// checkEntries declares lapsed entries lost unless they are more than half: then the fault is more likely between the
// leader and the entries.
func (t *Table) checkEntries(total int, lapsed []*catalogpb.Host, v *Verdict) {
	for _, h := range lapsed {
		if len(lapsed) > total/2 {
			v.Held = append(v.Held, h.Host)
			continue
		}
		v.Lost = append(v.Lost, &catalogpb.Loss{Host: h.Host, Incarnation: h.Incarnation, Observers: []string{"lease"}})
	}
}

func (t *Table) checkSuspects(now time.Time, cat Catalog, suspects map[string]*evidence, v *Verdict) {
	domains := t.observe(now, suspects)
	for _, host := range sortedHosts(suspects) {
		e := suspects[host]
		need := min(2, max(1, domains))
		if len(e.domains) < need || len(e.unreachable) <= e.reachable {
			continue
		}
		if !cat.MayLose(host) {
			v.Held = append(v.Held, host)
			continue
		}
		slices.Sort(e.unreachable)
		loss := &catalogpb.Loss{Host: host, Incarnation: cat.Host(host).GetIncarnation(), Observers: e.unreachable}
		v.Lost = append(v.Lost, loss)
	}
}

// observe collects the reports of hosts with a lease and returns the number of their failure domains.
func (t *Table) observe(now time.Time, suspects map[string]*evidence) int {
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

// untrusted says whether the observer cannot reach most of the peers that it probes, which points to itself.
func (l *lease) untrusted() bool {
	peers := len(l.unreachable) + len(l.reachable)
	return peers >= minPeersOfJudgedObserver && len(l.unreachable) > peers/2
}

// checkLost returns a lost host that has announced itself for its stable period, and forgets one lost for long.
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
// before it is returned. It doubles with each loss so that a flapping host does not move buckets at every flap.
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
	slices.Sort(v.Held)
}

func sortedHosts(m map[string]*evidence) []string {
	hosts := make([]string, 0, len(m))
	for host := range m {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}
