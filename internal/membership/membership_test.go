package membership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/membership"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// fakeCatalog is a catalog with the hosts of one service.
type fakeCatalog struct {
	hosts map[string]*catalogpb.Host
}

func (c *fakeCatalog) CheckAnnounce(*catalogpb.Host) error    { return nil }
func (c *fakeCatalog) MissingRights(*catalogpb.Host) []string { return nil }
func (c *fakeCatalog) Host(host string) *catalogpb.Host       { return c.hosts[host] }
func (c *fakeCatalog) LastActive(string) bool                 { return false }

func (c *fakeCatalog) Hosts(f func(h *catalogpb.Host)) {
	for _, h := range c.hosts {
		f(h)
	}
}

func (c *fakeCatalog) MayLose(string) bool {
	lost, all := 0, 0
	for _, h := range c.hosts {
		if !h.Entry {
			all++
		}
		if h.Lost {
			lost++
		}
	}
	return lost+1 <= all/2
}

// fleet simulates hosts h0, h1, ... that are spread over failure domains and announce themselves to one table.
type fleet struct {
	table *membership.Table
	cat   *fakeCatalog
	now   time.Time
	reqs  map[string]*memberpb.AnnounceRequest
}

func newFleet(hosts, domains int) *fleet {
	f := &fleet{now: time.UnixMilli(1_800_000_000_000), cat: &fakeCatalog{hosts: map[string]*catalogpb.Host{}}, reqs: map[string]*memberpb.AnnounceRequest{}}
	f.table = membership.NewTable(f.now)
	for i := range hosts {
		host := fmt.Sprintf("h%d", i)
		f.reqs[host] = &memberpb.AnnounceRequest{
			Host: host, Incarnation: 1, FailureDomain: fmt.Sprintf("d%d", i%domains), Tunnel: fmt.Sprintf("127.0.1.%d:1", i+1), Rpc: fmt.Sprintf("127.0.1.%d:2", i+1),
		}
		f.cat.hosts[host] = &catalogpb.Host{Host: host, Incarnation: 1}
	}
	return f
}

// tick simulates one second, in which every host except the silent ones announces itself, and applies the verdict.
func (f *fleet) tick(silent ...string) membership.Verdict {
	f.now = f.now.Add(membership.Heartbeat)
	skip := map[string]bool{}
	for _, host := range silent {
		skip[host] = true
	}
	for host, req := range f.reqs {
		if !skip[host] {
			req.Sequence++
			f.table.Announce(f.now, req, f.cat)
		}
	}
	v := f.table.Check(f.now, f.cat)
	for _, l := range v.Lost {
		h := f.cat.hosts[l.Host]
		if !f.cat.MayLose(l.Host) {
			continue
		}
		h.Lost = true
		h.Losses++
		h.LostUnixMs = f.now.UnixMilli()
	}
	for _, l := range v.Return {
		f.cat.hosts[l.Host].Lost = false
	}
	return v
}

// addReports makes observers report host as unreachable or reachable in their announcements.
func (f *fleet) addReports(unreachable bool, host string, observers ...string) {
	for _, o := range observers {
		if unreachable {
			f.reqs[o].Unreachable = append(f.reqs[o].Unreachable, host)
			continue
		}
		f.reqs[o].Reachable = append(f.reqs[o].Reachable, host)
	}
}

// lost returns the number of lost hosts.
func (f *fleet) lost() int {
	n := 0
	for _, h := range f.cat.hosts {
		if h.Lost {
			n++
		}
	}
	return n
}

// Guards against removals without the required evidence, and against losses that stay undetected.
func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		hosts, domains int
		set            func(f *fleet)
		silent         []string
		lost           int
	}{
		"lease alone":                    {8, 4, func(*fleet) {}, []string{"h0"}, 0},
		"observers alone":                {8, 4, func(f *fleet) { f.addReports(true, "h0", "h1", "h2", "h3") }, nil, 0},
		"two domains":                    {8, 4, func(f *fleet) { f.addReports(true, "h0", "h1", "h2") }, []string{"h0"}, 1},
		"one domain of four":             {8, 4, func(f *fleet) { f.addReports(true, "h0", "h1", "h5") }, []string{"h0"}, 0},
		"one domain in all":              {4, 1, func(f *fleet) { f.addReports(true, "h0", "h1") }, []string{"h0"}, 1},
		"as many reach it":               {8, 4, func(f *fleet) { f.addReports(true, "h0", "h1", "h2"); f.addReports(false, "h0", "h3", "h4") }, []string{"h0"}, 0},
		"one false report that it lives": {8, 4, func(f *fleet) { f.addReports(true, "h0", "h1", "h2"); f.addReports(false, "h0", "h3") }, []string{"h0"}, 1},
		"silent observers do not count":  {8, 4, func(f *fleet) { f.addReports(true, "h0", "h1", "h2") }, []string{"h0", "h1"}, 0},
		"bad observer does not count": {8, 4, func(f *fleet) {
			for _, host := range []string{"h0", "h2", "h3", "h4"} {
				f.addReports(true, host, "h1")
			}
			f.addReports(true, "h0", "h5")
		}, []string{"h0"}, 0},
		"mass suspicion keeps half": {8, 4, func(f *fleet) {
			for _, host := range []string{"h0", "h1", "h2", "h3", "h4"} {
				f.addReports(true, host, "h6", "h7")
				f.addReports(false, "h5", "h6", "h7")
				f.reqs["h6"].Reachable = append(f.reqs["h6"].Reachable, "x1", "x2")
				f.reqs["h7"].Reachable = append(f.reqs["h7"].Reachable, "x1", "x2")
			}
		}, []string{"h0", "h1", "h2", "h3", "h4"}, 4},
		"domain cut off": {8, 4, func(f *fleet) {
			for _, host := range []string{"h0", "h4"} {
				f.addReports(true, host, "h1", "h2", "h3")
			}
		}, []string{"h0", "h4"}, 2},
		"entry by lapse alone": {8, 4, func(f *fleet) { f.cat.hosts["h0"].Entry = true; f.cat.hosts["h1"].Entry = true }, []string{"h0"}, 1},
		"all entries lapse": {8, 4, func(f *fleet) { f.cat.hosts["h0"].Entry = true; f.cat.hosts["h1"].Entry = true },
			[]string{"h0", "h1"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(c.hosts, c.domains)
			c.set(f)
			for s := range 30 {
				f.tick(c.silent...)
				if s < 5 {
					g.Expect(f.lost()).To(BeZero(), "lost within a lease")
				}
			}
			g.Expect(f.lost()).To(Equal(c.lost))
		})
	}
}

// Guards against a flapping host that moves buckets at every flap.
func TestFlappingHostWaitsLonger(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8, 4)
	f.addReports(true, "h0", "h1", "h2")
	for loss := uint32(1); loss <= 4; loss++ {
		for !f.cat.hosts["h0"].Lost {
			f.tick("h0")
		}
		seconds := 0
		for f.cat.hosts["h0"].Lost {
			f.tick()
			seconds++
		}
		g.Expect(time.Duration(seconds-1) * time.Second).To(Equal(membership.StablePeriod(loss)))
	}
	g.Expect(membership.StablePeriod(1)).To(Equal(membership.StableBase))
	g.Expect(membership.StablePeriod(50)).To(Equal(membership.StableMax))
}

// Guards against a reordered announcement that restores an outdated load or revision, and against an old incarnation that
// renews a lease before the newer one is committed.
func TestOvertakenAnnouncements(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 2)
	req := f.reqs["h0"]
	req.Sequence, req.Revision, req.OpenFlows = 7, 9, 0
	f.table.Announce(f.now, req, f.cat)
	req.Sequence, req.Revision, req.OpenFlows, req.Slots = 6, 8, 5, 99
	d := f.table.Announce(f.now, req, f.cat)
	g.Expect(d.Register).To(BeNil())
	have, _ := f.table.InForce("h0")
	g.Expect(have).To(BeEquivalentTo(9))
	load, _ := f.table.Load("h0", 0)
	g.Expect(load.Idle()).To(BeTrue())
	req.Incarnation = 2
	g.Expect(f.table.Announce(f.now, req, f.cat).Err).NotTo(HaveOccurred())
	req.Incarnation = 1
	g.Expect(result.CodeOf(f.table.Announce(f.now, req, f.cat).Err)).To(Equal(result.AnnounceStale))
}

// Guards against lost hosts that stay in the catalog forever.
func TestForget(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, 2)
	f.cat.hosts["h0"].Lost = true
	f.cat.hosts["h0"].LostUnixMs = f.now.UnixMilli()
	g.Expect(f.tick("h0").Forget).To(BeEmpty())
	f.now = f.now.Add(membership.ForgetAfter)
	g.Expect(f.tick("h0").Forget).To(HaveLen(1))
}
