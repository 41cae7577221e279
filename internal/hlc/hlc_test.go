package hlc_test

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/hlc"
)

// Guards against events that are ordered before the message that caused them when the receiver's clock is behind.
var _ = Describe("orders a received message before later events", func() {
	cases := map[string]time.Duration{
		"receiver behind": -5 * time.Second,
		"receiver ahead":  5 * time.Second,
		"equal clocks":    0,
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			offset := cases[name]
			base := time.UnixMilli(1_000_000)
			sender := hlc.New(func() time.Time { return base })
			receiver := hlc.New(func() time.Time { return base.Add(offset) })
			sent := sender.Now()
			Expect(receiver.Observe(sent)).To(Succeed())
			Expect(sent.Before(receiver.Now())).To(BeTrue())
		})
	}
})

// Guards against repeated timestamps after the wall clock is set back.
var _ = It("issues increasing timestamps when the wall clock is set back", func() {
	now := time.UnixMilli(1_000_000)
	clock := hlc.New(func() time.Time { return now })
	first := clock.Now()
	now = now.Add(-time.Hour)
	Expect(first.Before(clock.Now())).To(BeTrue())
})

// Guards against a process with a wrong clock that advances the clocks of all others.
var _ = It("refuses a timestamp far in the future", func() {
	now := time.UnixMilli(1_000_000)
	clock := hlc.New(func() time.Time { return now })
	Expect(clock.Observe(hlc.Timestamp{Wall: now.Add(time.Hour).UnixMilli()})).NotTo(Succeed())
	Expect(clock.Now().Wall).To(Equal(now.UnixMilli()))
})

// Guards against a timestamp header that the receiver cannot parse.
var _ = It("parses the text form of a timestamp", func() {
	want := hlc.Timestamp{Wall: 42, Logical: 7}
	got, err := hlc.Parse(want.String())
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(want))
	for _, bad := range []string{"", "1", "x.1", "1.x", "1.-1"} {
		_, err := hlc.Parse(bad)
		Expect(err).To(HaveOccurred(), bad)
	}
})
