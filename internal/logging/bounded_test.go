package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/logging"
)

// blockedWriter blocks every write until release is closed, as a pipe whose reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a packet path that blocks because the reader of the log has stopped.
func TestStoppedReaderDoesNotBlock(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	defer close(w.release)
	now := time.Unix(1_000_000, 0)
	b := logging.NewBounded(w, func() time.Time { return now })
	logger := b.Logger("routine", 1e9)
	for i := range 100_000 {
		if err := logger.Log("event", "flow", "n", i); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against failures that are not logged because routine lines used up the limit: each class has its own limit, and
// routine lines beyond theirs are dropped and counted.
func TestBudgets(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	now := time.Unix(1_000_000, 0)
	b := logging.NewBounded(&out, func() time.Time { return now })
	routine, important := b.Logger("routine", 5), b.Logger("important", 50)
	for range 30 {
		g.Expect(routine.Log("event", "flow_placed")).To(gomega.Succeed())
	}
	for range 20 {
		g.Expect(important.Log("event", "flow_refused")).To(gomega.Succeed())
	}
	now = now.Add(2 * time.Second)
	g.Expect(routine.Log("event", "flow_placed")).To(gomega.Succeed())
	b.Close(time.Minute)
	g.Expect(strings.Count(out.String(), "event=flow_placed")).To(gomega.Equal(6))
	g.Expect(strings.Count(out.String(), "event=flow_refused")).To(gomega.Equal(20))
	g.Expect(out.String()).To(gomega.ContainSubstring("event=log_lines_omitted routine=25"))
}
