package upstream_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/upstream"
)

var start = time.Unix(1_000_000, 0)

func announcement(id string, born, sequence int64, draining bool) upstream.Announcement {
	return upstream.Announcement{ID: id, Born: born, Sequence: sequence, Service: "s", Slots: 3, Draining: draining}
}

// Announcements can arrive late, twice, or after their process was replaced. None of these may direct new flows to a
// process that is draining or has ended.
func TestAnnouncements(t *testing.T) {
	type step struct {
		a       upstream.Announcement
		outcome upstream.Outcome
		active  bool
	}
	const silence = time.Second
	cases := []struct {
		name  string
		steps []step
	}{
		{"renewed", []step{
			{announcement("a", 10, 1, false), upstream.Accepted, true},
			{announcement("a", 10, 2, false), upstream.Accepted, true}}},
		{"a late one after the start of the drain", []step{
			{announcement("a", 10, 5, true), upstream.Accepted, false},
			{announcement("a", 10, 4, false), upstream.Stale, false}}},
		{"ready again after draining", []step{
			{announcement("a", 10, 5, true), upstream.Accepted, false},
			{announcement("a", 10, 6, false), upstream.Accepted, false}}},
		{"a second copy", []step{
			{announcement("a", 10, 1, false), upstream.Accepted, true},
			{announcement("a", 10, 1, false), upstream.Stale, true}}},
		{"another process while the known one may live", []step{
			{announcement("a", 10, 9, false), upstream.Accepted, true},
			{announcement("b", 20, 1, true), upstream.Unproven, true},
			{announcement("b", 20, 2, true), upstream.Unproven, true},
			{announcement("a", 10, 10, false), upstream.Accepted, true}}},
		{"the same ID while the known process may live", []step{
			{announcement("a", 10, 9, true), upstream.Accepted, false},
			{announcement("a", 20, 1, false), upstream.Unproven, false},
			{announcement("a", 10, 10, false), upstream.Accepted, false}}},
		{"a delayed one of the previous process", []step{
			{announcement("b", 20, 1, true), upstream.Accepted, false},
			{announcement("a", 10, 99, false), upstream.Stale, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tracker := upstream.Tracker{SilenceTimeout: silence}
			for i, s := range c.steps {
				g.Expect(tracker.Announce(start, s.a)).To(gomega.Equal(s.outcome), "step %d", i)
				g.Expect(tracker.Upstream(start).Active).To(gomega.Equal(s.active), "step %d", i)
			}
		})
	}
}

// After the clock was set back, the live incarnation appears to be earlier than the one before. If its announcements
// stayed stale, its upstream would receive no new flows until the agent restarts.
func TestTimeOfDaySetBack(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tracker := upstream.Tracker{SilenceTimeout: time.Second}
	tracker.Announce(start, announcement("a", 20, 9, false))
	g.Expect(tracker.Announce(at(700), announcement("b", 10, 1, false))).To(gomega.Equal(upstream.Stale), "the known incarnation is not silent")
	g.Expect(tracker.Announce(at(1400), announcement("b", 10, 2, false))).To(gomega.Equal(upstream.Stale), "it may be delayed")
	g.Expect(tracker.Announce(at(1400), announcement("b", 10, 2, false))).To(gomega.Equal(upstream.Stale), "a second copy")
	g.Expect(tracker.Announce(at(1500), announcement("c", 5, 3, false))).To(gomega.Equal(upstream.Stale), "a third incarnation")
	g.Expect(tracker.Announce(at(2100), announcement("b", 10, 3, false))).To(gomega.Equal(upstream.Stale))
	g.Expect(tracker.Announce(at(2800), announcement("b", 10, 4, false))).To(gomega.Equal(upstream.Restarted))
	g.Expect(tracker.Upstream(at(2800)).Active).To(gomega.BeTrue())
	g.Expect(tracker.Announce(at(2900), announcement("a", 20, 10, false))).To(gomega.Equal(upstream.Unproven), "the other one announced itself just now")
	g.Expect(tracker.Announce(at(3600), announcement("a", 20, 11, false))).To(gomega.Equal(upstream.Restarted), "the first incarnation is alive")
}

// After a wrong sequence number far ahead, the reports of the live process must count again. They would otherwise stay
// outdated until it ends.
func TestWrongSequenceHeals(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tracker := upstream.Tracker{SilenceTimeout: time.Second}
	tracker.Announce(start, announcement("a", 10, 4, false))
	tracker.Announce(at(100), announcement("a", 10, 1<<52, false))
	g.Expect(tracker.Announce(at(700), announcement("a", 10, 5, false))).To(gomega.Equal(upstream.Stale), "it may be delayed")
	g.Expect(tracker.Announce(at(1400), announcement("a", 10, 6, false))).To(gomega.Equal(upstream.Stale))
	g.Expect(tracker.Announce(at(1400), announcement("a", 10, 6, false))).To(gomega.Equal(upstream.Stale), "a second copy")
	g.Expect(tracker.Announce(at(2100), announcement("a", 10, 7, true))).To(gomega.Equal(upstream.Accepted))
	g.Expect(tracker.Upstream(at(2100)).Leaving).To(gomega.BeTrue())
	g.Expect(tracker.Announce(at(4000), announcement("a", 10, 8, false))).To(gomega.Equal(upstream.Accepted))
	g.Expect(tracker.Upstream(at(4000)).Leaving).To(gomega.BeTrue(), "draining is final for an incarnation")
}

// A silent upstream must receive no new flows, an ended one must be unknown, and a late announcement of it must have no
// effect.
func TestSilenceAndEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := upstream.Tracker{SilenceTimeout: time.Second}
	tracker.Announce(start, announcement("a", 10, 1, false))
	g.Expect(tracker.Upstream(start.Add(1100 * time.Millisecond)).Active).To(gomega.BeFalse())
	g.Expect(tracker.End("other")).To(gomega.BeFalse())
	g.Expect(tracker.End("a")).To(gomega.BeTrue())
	g.Expect(tracker.Upstream(start).Service).To(gomega.BeEmpty())
	g.Expect(tracker.Announce(start, announcement("a", 10, 2, false))).To(gomega.Equal(upstream.Stale))
	g.Expect(tracker.Announce(start, announcement("c", 30, 1, false))).To(gomega.Equal(upstream.Restarted))
}

// A later incarnation must be followed as soon as it is proven that it has replaced the known one, and not before: its first
// announcement may come from another writer, and the flows of a live upstream would be reset. Announcements are 700 ms apart.
func TestWhatProvesANewIncarnation(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name    string
		before  func(*upstream.Tracker)
		outcome [3]upstream.Outcome // of announcements 300, 1000 and 1700 ms after the last one of the known incarnation
	}{
		{"nothing but its announcements", func(*upstream.Tracker) {},
			[3]upstream.Outcome{upstream.Unproven, upstream.Restarted, upstream.Accepted}},
		{"the known process said that it ends", func(t *upstream.Tracker) { t.End("a") },
			[3]upstream.Outcome{upstream.Restarted, upstream.Accepted, upstream.Accepted}},
		{"the upstream returned two flows", func(t *upstream.Tracker) { t.Evidence.Returned = 2 },
			[3]upstream.Outcome{upstream.Restarted, upstream.Accepted, upstream.Accepted}},
		{"the upstream returned one flow", func(t *upstream.Tracker) { t.Evidence.Returned = 1 },
			[3]upstream.Outcome{upstream.Unproven, upstream.Restarted, upstream.Accepted}},
		{"the upstream closed all flows that it held", func(t *upstream.Tracker) { t.Evidence.Closed = 2 },
			[3]upstream.Outcome{upstream.Restarted, upstream.Accepted, upstream.Accepted}},
		{"the upstream closed some of the flows that it held", func(t *upstream.Tracker) { t.Evidence.Closed, t.Evidence.Held = 9, 1 },
			[3]upstream.Outcome{upstream.Unproven, upstream.Restarted, upstream.Accepted}},
		{"flows of before live on", func(t *upstream.Tracker) { t.Evidence.SpokeAt = at(900) },
			[3]upstream.Outcome{upstream.Unproven, upstream.Adopted, upstream.Accepted}},
		{"a packet of the ended process was read late", func(t *upstream.Tracker) { t.Evidence.SpokeAt = at(800) },
			[3]upstream.Outcome{upstream.Unproven, upstream.Restarted, upstream.Accepted}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tracker := upstream.Tracker{SilenceTimeout: time.Second}
			tracker.Announce(start, announcement("a", 10, 7, false))
			c.before(&tracker)
			for i, want := range c.outcome {
				g.Expect(tracker.Announce(at(300+700*i), announcement("b", 20, int64(i+1), false))).To(gomega.Equal(want), "announcement %d", i)
			}
		})
	}
}

// After a notice of its end that another process sent, a live upstream must be followed again, but one late announcement must
// not bring an ended one back.
func TestWrongEndHeals(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := upstream.Tracker{SilenceTimeout: time.Second}
	tracker.Announce(start, announcement("a", 10, 1, false))
	tracker.End("a")
	g.Expect(tracker.Announce(start, announcement("a", 10, 2, false))).To(gomega.Equal(upstream.Stale))
	later := start.Add(700 * time.Millisecond)
	g.Expect(tracker.Announce(later, announcement("a", 10, 2, false))).To(gomega.Equal(upstream.Stale), "a second copy")
	g.Expect(tracker.Announce(later, announcement("a", 10, 3, false))).To(gomega.Equal(upstream.Accepted))
	g.Expect(tracker.Upstream(later).Active).To(gomega.BeTrue())
}
