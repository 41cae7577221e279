package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/logging"
)

// stuck is a reader that has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A log whose reader has stopped must not stop the packet path.
func TestStoppedReaderDoesNotBlock(t *testing.T) {
	w := stuck{make(chan struct{})}
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

// Routine lines beyond the budget are left out and counted; failures keep a budget of their own.
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
