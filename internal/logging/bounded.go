package logging

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Budgets of a process in lines a second. A line has about 250 bytes, so a process writes at most 50 KB/s.
const (
	// RoutineLines is the budget of lines about flows that go well; the rest is left out and counted.
	RoutineLines = 40
	// ImportantLines is the budget of all other lines. It is reached only when most flows fail at once.
	ImportantLines = 160
)

// queueLines is how many lines wait for a slow reader: one second of both budgets, with room for a start.
const queueLines = 256

// bucket is a token bucket of one second.
type bucket struct {
	rate   float64
	tokens float64
	at     time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounded writes lines in a goroutine of its own. It never blocks its callers: what exceeds a budget or the queue is left
// out, and one line a second says how much that was.
type Bounded struct {
	now   func() time.Time
	queue chan []byte
	done  chan struct{}

	mu      sync.Mutex
	omitted map[string]int // by class
	noted   time.Time
}

// NewBounded starts a writer to w.
func NewBounded(w io.Writer, now func() time.Time) *Bounded {
	b := &Bounded{
		now: now, queue: make(chan []byte, queueLines), done: make(chan struct{}), omitted: map[string]int{}, noted: now(),
	}
	queue := b.queue
	go func() {
		defer close(b.done)
		for line := range queue {
			_, _ = w.Write(line) // nothing is left to tell the failure to
		}
	}()
	return b
}

// Close writes what is queued, waiting at most for the given time.
func (b *Bounded) Close(patience time.Duration) {
	b.mu.Lock()
	close(b.queue)
	b.queue = nil
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(patience):
	}
}

// Logger returns a logger of a class with a budget in lines a second.
func (b *Bounded) Logger(class string, linesPerSecond float64) log.Logger {
	return &classLogger{b: b, class: class, bucket: bucket{rate: linesPerSecond, tokens: linesPerSecond, at: b.now()}}
}

type classLogger struct {
	b      *Bounded
	class  string
	bucket bucket // guarded by b.mu
}

// Log implements log.Logger. It always returns nil unless the values cannot be encoded.
func (c *classLogger) Log(keyvals ...any) error {
	b := c.b
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.bucket.take(now) {
		b.omitted[c.class]++
		return nil
	}
	if err := b.put(c.class, now, keyvals); err != nil {
		return err
	}
	b.note(now)
	return nil
}

// put queues a line. The caller holds mu.
func (b *Bounded) put(class string, now time.Time, keyvals []any) error {
	var line bytes.Buffer
	fields := append([]any{"time", now.UTC().Format(time.RFC3339Nano)}, keyvals...)
	if err := log.NewLogfmtLogger(&line).Log(fields...); err != nil {
		return err
	}
	select {
	case b.queue <- line.Bytes(): // nil after Close, and then never ready
	default:
		b.omitted[class]++
	}
	return nil
}

// note reports what was left out, at most once a second. The caller holds mu.
func (b *Bounded) note(now time.Time) {
	if now.Sub(b.noted) < time.Second || len(b.omitted) == 0 {
		return
	}
	b.noted = now
	fields := []any{"event", "log_lines_omitted"}
	for class, n := range b.omitted {
		fields = append(fields, class, n)
	}
	clear(b.omitted)
	_ = b.put("note", now, fields) // the values are a name and numbers, which can be encoded
}
