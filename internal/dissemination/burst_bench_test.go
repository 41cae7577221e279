package dissemination_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/internal/model"
)

const (
	burstRevisions = 274 // of a failure domain of 950 hosts that returns
	burstInterval  = 10 * time.Millisecond
)

// BenchmarkBurst counts the revisions that a client puts into force while 274 are published within three seconds at the
// target sizes, and the time until it has the last one. The baseline has no pace.
func BenchmarkBurst(b *testing.B) {
	for range b.N {
		applied, ms := burst(b, 0)
		b.ReportMetric(float64(applied), "revisions-applied")
		b.ReportMetric(ms, "ms-to-last")
		applied, ms = burst(b, time.Nanosecond)
		b.ReportMetric(float64(applied), "baseline-unpaced-revisions-applied")
		b.ReportMetric(ms, "baseline-unpaced-ms-to-last")
	}
}

func burst(b *testing.B, pace time.Duration) (applied int, msToLast float64) {
	server := dissemination.NewServer()
	s := sized(targetServices, targetHosts, targetEntries)
	if err := server.Publish(s); err != nil {
		b.Fatal(err)
	}
	revisions := make(chan model.Revision, burstRevisions+1)
	c, err := dissemination.NewClient(dissemination.ClientConfig{
		Servers: []string{serveBench(b, server)}, Pace: pace,
		NewTransport: func() http.RoundTripper { return &http.Transport{} },
		OnApply:      func(s *model.Snapshot) { revisions <- s.Revision },
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go c.Run(ctx)
	<-revisions
	for range burstRevisions {
		s = change(s)
		if err := server.Publish(s); err != nil {
			b.Fatal(err)
		}
		time.Sleep(burstInterval)
	}
	published := time.Now()
	for r := model.Revision(0); r < s.Revision; applied++ {
		r = <-revisions
	}
	return applied, float64(time.Since(published).Microseconds()) / 1000
}
