package timeline_test

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/hlc"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/timeline"
	"github.com/plantainseam/plantainseam/rpc/timelinepb"
)

type process struct {
	clock    *hlc.Clock
	recorder *timeline.Recorder
}

func newProcess(host model.HostID, offset time.Duration, size int) process {
	base := time.UnixMilli(1_000_000)
	clock := hlc.New(func() time.Time { return base.Add(offset) })
	return process{clock, timeline.NewRecorder(model.HostRef{Host: host, Incarnation: 1}, clock, size)}
}

// Guards against an effect that is listed before its cause because the clocks of two VMs differ.
var _ = It("merges in causal order", func() {
	leader := newProcess("c1", 0, 10)
	entry := newProcess("e1", -3*time.Second, 10)

	leader.recorder.Record(timeline.Event{Kind: timeline.KindStep, Intent: 7})
	Expect(entry.clock.Observe(leader.clock.Now())).To(Succeed())
	entry.recorder.Record(timeline.Event{Kind: timeline.KindConfigApplied, Intent: 7})

	a, _ := leader.recorder.Events(0, 10)
	b, _ := entry.recorder.Events(0, 10)
	merged := timeline.Merge(timeline.Filter{Intent: 7}, b, a)
	Expect(merged).To(HaveLen(2))
	Expect(merged[0].Kind).To(Equal(timeline.KindStep))
	Expect(merged[1].Kind).To(Equal(timeline.KindConfigApplied))
})

// Guards against a ring that silently forgets: the overwritten events must be counted.
var _ = It("counts overwritten events", func() {
	p := newProcess("e1", 0, 4)
	for range 10 {
		p.recorder.Record(timeline.Event{Kind: timeline.KindFlow})
	}
	events, dropped := p.recorder.Events(0, 100)
	Expect(events).To(HaveLen(4))
	Expect(dropped).To(BeEquivalentTo(6))
	Expect(events[0].Sequence).To(BeEquivalentTo(7))
})

// Guards against a filter that lets other services, hosts, callers or times through.
var _ = Describe("filters events", func() {
	event := timeline.Event{
		Time: hlc.Timestamp{Wall: 5000}, Process: model.HostRef{Host: "e1"},
		Service: 3, Host: "u1", Intent: 9, Caller: "10.0.0.1",
	}
	cases := map[string]struct {
		filter timeline.Filter
		want   bool
	}{
		"empty":         {timeline.Filter{}, true},
		"service":       {timeline.Filter{Service: 3}, true},
		"other service": {timeline.Filter{Service: 4}, false},
		"host":          {timeline.Filter{Host: "u1"}, true},
		"process":       {timeline.Filter{Host: "e1"}, true},
		"other host":    {timeline.Filter{Host: "u2"}, false},
		"other intent":  {timeline.Filter{Intent: 1}, false},
		"other caller":  {timeline.Filter{Caller: "10.0.0.2"}, false},
		"too early":     {timeline.Filter{From: time.UnixMilli(5001)}, false},
		"at the end":    {timeline.Filter{To: time.UnixMilli(5000)}, false},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			c := cases[name]
			Expect(c.filter.Matches(event)).To(Equal(c.want))
		})
	}
})

// Guards against fields lost on the wire and against output that is empty or not parseable.
var _ = It("fetches and renders events", func() {
	p := newProcess("u1", 0, 5000)
	for i := range 2500 {
		p.recorder.Record(timeline.Event{Kind: timeline.KindFlow, Service: 2, Host: "u1", Caller: "10.0.0.1", Code: 2108, Intent: uint64(i), Detail: "no answer to probes"})
	}
	want, _ := p.recorder.Events(0, 5000)
	got, dropped, err := timeline.Fetch(context.Background(), local{timeline.Server{Recorder: p.recorder}})
	Expect(err).NotTo(HaveOccurred())
	Expect(dropped).To(BeZero())
	Expect(got).To(Equal(want))

	var text, svg, js bytes.Buffer
	Expect(timeline.WriteText(&text, got[:1])).To(Succeed())
	Expect(text.String()).To(ContainSubstring(`kind=flow service=2 host=u1 caller=10.0.0.1 code=2108 detail="no answer to probes"`))
	Expect(timeline.WriteSVG(&svg, got[:20])).To(Succeed())
	Expect(svg.String()).To(ContainSubstring("<svg"))
	Expect(timeline.WriteJSON(&js, got[:1])).To(Succeed())
	Expect(js.String()).To(ContainSubstring(`"Kind": "flow"`))
})

type local struct{ server timeline.Server }

func (l local) Events(ctx context.Context, r *timelinepb.EventsRequest) (*timelinepb.EventsResponse, error) {
	return l.server.Events(ctx, r)
}
