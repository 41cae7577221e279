package account_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

const service model.ServiceID = 7

var (
	at      = time.Unix(1_800_000_000, 0)
	callerA = netip.MustParseAddr("10.0.0.1")
	callerB = netip.MustParseAddr("10.0.0.2")
	first   = model.HostRef{Host: "a", Incarnation: 1}
	second  = model.HostRef{Host: "a", Incarnation: 2}
)

func countRequests(c *account.Counter, caller netip.Addr, code result.Code, n int) {
	for range n {
		c.Start(service, account.UnitRequest, 0)
		c.End(service, account.UnitRequest, caller, code, 0, at)
	}
}

// roundTrip encodes and decodes a report.
func roundTrip(g *WithT, r account.Report) account.Report {
	totals, callers := r.Encode()
	out, err := account.Decode(r.Sequence, totals, callers)
	g.Expect(err).NotTo(HaveOccurred())
	return out
}

// Guards against an account that balances although an end was counted twice or without a start.
func TestCheck(t *testing.T) {
	g := NewWithT(t)
	c := account.NewCounter(0)
	countRequests(c, callerA, result.OK, 2)
	countRequests(c, callerA, result.RequestQueueFull, 1)
	countRequests(c, callerB, result.RequestOutcomeUnknown, 1)
	c.Start(service, account.UnitRequest, 0)
	g.Expect(c.Check()).To(BeEmpty())
	g.Expect(c.Sums(service, account.UnitRequest)).To(Equal(account.Sums{Issued: 5, Answered: 2, Refused: 1, Unknown: 1, InFlight: 1}))
	for range 2 {
		c.End(service, account.UnitRequest, callerA, result.OK, 0, at)
	}
	g.Expect(c.Check()).To(HaveLen(1))
}

// Guards against a merge that counts a resent or reordered report twice, or forgets an earlier incarnation.
func TestMerge(t *testing.T) {
	g := NewWithT(t)
	c := account.NewCounter(0)
	l := account.NewLedger()
	countRequests(c, callerA, result.OK, 1)
	one := roundTrip(g, c.Report(0, 100))
	countRequests(c, callerA, result.OK, 2)
	two := roundTrip(g, c.Report(0, 100))
	g.Expect(l.Merge(first, two)).To(BeTrue())
	g.Expect(l.Merge(first, two)).To(BeFalse())
	g.Expect(l.Merge(first, one)).To(BeFalse())
	g.Expect(l.Sums(service, account.UnitRequest)).To(HaveField("Answered", uint64(3)))
	next := account.NewCounter(0)
	countRequests(next, callerA, result.OK, 4)
	g.Expect(l.Merge(second, roundTrip(g, next.Report(0, 100)))).To(BeTrue())
	g.Expect(l.Sums(service, account.UnitRequest)).To(HaveField("Answered", uint64(7)))
	row := account.CallerRow{Caller: callerA, Row: account.Row{Service: service, Unit: account.UnitRequest}}
	g.Expect(l.Callers(service)[row].Count).To(Equal(uint64(7)))
}

// Guards against ends that are dropped with a lost host, and ends that stay unknown although a late report includes them,
// before the incarnation is folded; and against a folded incarnation that accepts a report.
func TestLostIncarnation(t *testing.T) {
	g := NewWithT(t)
	c := account.NewCounter(0)
	l := account.NewLedger()
	countRequests(c, callerA, result.OK, 2)
	c.Start(service, account.UnitRequest, 0)
	l.Merge(first, c.Report(0, 100))
	g.Expect(l.Sums(service, account.UnitRequest)).To(HaveField("InFlight", int64(1)))
	l.MarkLost(first)
	want := account.Sums{Issued: 3, Answered: 2, Unknown: 1}
	g.Expect(l.Sums(service, account.UnitRequest)).To(Equal(want))
	c.End(service, account.UnitRequest, callerA, result.OK, 0, at)
	l.Merge(first, c.Report(0, 100))
	want = account.Sums{Issued: 3, Answered: 3}
	g.Expect(l.Sums(service, account.UnitRequest)).To(Equal(want))
	for i := range account.MaxLostIncarnations {
		ref := model.HostRef{Host: "b", Incarnation: model.Incarnation(i)}
		l.Merge(ref, c.Report(0, 100))
		l.MarkLost(ref)
	}
	sums := l.Sums(service, account.UnitRequest)
	g.Expect(sums.Answered).To(Equal(uint64(3 * (account.MaxLostIncarnations + 1))))
	countRequests(c, callerA, result.OK, 5)
	g.Expect(l.Merge(first, c.Report(0, 100))).To(BeFalse(), "folded")
	g.Expect(l.Sums(service, account.UnitRequest)).To(Equal(sums))
}

// Guards against caller rows that grow without bound, and against an overflow that loses counts.
func TestCallerOverflow(t *testing.T) {
	g := NewWithT(t)
	c := account.NewCounter(2)
	l := account.NewLedger()
	for i := range 10 {
		countRequests(c, netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), result.OK, i+1)
	}
	r := c.Report(0, 2)
	g.Expect(r.Callers).To(HaveLen(2))
	l.Merge(first, roundTrip(g, r))
	sum := func() (n uint64) {
		for _, x := range l.Callers(service) {
			n += x.Count
		}
		return n
	}
	g.Expect(sum()).To(Equal(uint64(55)), "rows that were not reported yet")
	r = c.Report(r.Sequence, 100)
	g.Expect(r.Callers).To(HaveLen(1), "the row left out of the first report")
	l.Merge(first, roundTrip(g, r))
	g.Expect(sum()).To(Equal(uint64(55)))
	g.Expect(l.Callers(service)).To(HaveLen(3))
	g.Expect(c.Report(r.Sequence, 100).Callers).To(BeEmpty())
}
