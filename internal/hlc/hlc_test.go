package hlc_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/hlc"
)

// Guards against events that order before the message that caused them, when the receiver's clock is behind.
func TestObservedMessageOrdersBeforeLaterEvents(t *testing.T) {
	cases := map[string]time.Duration{
		"receiver behind": -5 * time.Second,
		"receiver ahead":  5 * time.Second,
		"equal clocks":    0,
	}
	for name, offset := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			base := time.UnixMilli(1_000_000)
			sender := hlc.New(func() time.Time { return base })
			receiver := hlc.New(func() time.Time { return base.Add(offset) })
			sent := sender.Now()
			g.Expect(receiver.Observe(sent)).To(Succeed())
			g.Expect(sent.Before(receiver.Now())).To(BeTrue())
		})
	}
}

// Guards against a wall clock that is set back and would repeat timestamps.
func TestClockNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	clock := hlc.New(func() time.Time { return now })
	first := clock.Now()
	now = now.Add(-time.Hour)
	g.Expect(first.Before(clock.Now())).To(BeTrue())
}

// Guards against one process with a wrong clock moving the clocks of all others.
func TestFarFutureIsRefused(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	clock := hlc.New(func() time.Time { return now })
	g.Expect(clock.Observe(hlc.Timestamp{Wall: now.Add(time.Hour).UnixMilli()})).NotTo(Succeed())
	g.Expect(clock.Now().Wall).To(Equal(now.UnixMilli()))
}

// Guards against a header that one side writes and the other cannot read.
func TestParseReadsString(t *testing.T) {
	g := NewWithT(t)
	want := hlc.Timestamp{Wall: 42, Logical: 7}
	got, err := hlc.Parse(want.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(want))
	for _, bad := range []string{"", "1", "x.1", "1.x", "1.-1"} {
		_, err := hlc.Parse(bad)
		g.Expect(err).To(HaveOccurred(), bad)
	}
}
