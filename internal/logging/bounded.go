package logging

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Rate limits of a process in lines per second. A line has about 250 bytes, so a process writes at most 50 KB/s.
const (
	// RoutineLines limits the lines about successful flows. Lines beyond the limit are dropped and counted.
	RoutineLines = 40
	// ImportantLines limits all other lines. The limit is reached only when most flows fail at once.
	ImportantLines = 160
)

// queueLines is the capacity of the queue for a slow reader: one second of both limits, and room for the burst of lines
// at the start of the process.
const queueLines = 256

// bucket is a token bucket that holds the tokens of one second.
type bucket struct {
	rate      float64 // tokens per second
	tokens    float64
	updatedAt time.Time
}

// take removes a token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.updatedAt).Seconds()*b.rate)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounded writes log lines in a separate goroutine and never blocks its callers. It drops lines that exceed a rate limit
// or the queue, and logs the number of dropped lines at most once per second.
type Bounded struct {
	now   func() time.Time
	queue chan []byte
	done  chan struct{}

	mu                sync.Mutex
	omitted           map[string]int // dropped lines by class, not yet logged
	omissionsLoggedAt time.Time
}

// NewBounded returns a Bounded that writes to w, and starts its goroutine.
func NewBounded(w io.Writer, now func() time.Time) *Bounded {
	b := &Bounded{
		now: now, queue: make(chan []byte, queueLines), done: make(chan struct{}),
		omitted: map[string]int{}, omissionsLoggedAt: now(),
	}
	queue := b.queue
	go func() {
		defer close(b.done)
		for line := range queue {
			_, _ = w.Write(line) // a failure to write the log cannot be logged
		}
	}()
	return b
}

// Close writes the queued lines. It returns after timeout at the latest.
func (b *Bounded) Close(timeout time.Duration) {
	b.mu.Lock()
	close(b.queue)
	b.queue = nil
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(timeout):
	}
}

// Logger returns a logger for a class of lines with a limit in lines per second.
func (b *Bounded) Logger(class string, linesPerSecond float64) log.Logger {
	return &classLogger{b: b, class: class, bucket: bucket{rate: linesPerSecond, tokens: linesPerSecond, updatedAt: b.now()}}
}

type classLogger struct {
	b      *Bounded
	class  string
	bucket bucket // guarded by b.mu
}

// Log implements log.Logger. It returns an error only if the values cannot be encoded.
func (c *classLogger) Log(keyvals ...any) error {
	b := c.b
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.bucket.take(now) {
		b.omitted[c.class]++
		return nil
	}
	if err := b.enqueue(c.class, now, keyvals); err != nil {
		return err
	}
	b.logOmissions(now)
	return nil
}

// enqueue queues a line, or drops and counts it if the queue is full or closed. The caller holds mu.
func (b *Bounded) enqueue(class string, now time.Time, keyvals []any) error {
	var line bytes.Buffer
	fields := append([]any{"time", now.UTC().Format(time.RFC3339Nano)}, keyvals...)
	if err := log.NewLogfmtLogger(&line).Log(fields...); err != nil {
		return err
	}
	select {
	case b.queue <- line.Bytes(): // the channel is nil after Close, so the send is never ready
	default:
		b.omitted[class]++
	}
	return nil
}

// logOmissions logs the numbers of dropped lines by class, at most once per second. The caller holds mu.
func (b *Bounded) logOmissions(now time.Time) {
	if now.Sub(b.omissionsLoggedAt) < time.Second || len(b.omitted) == 0 {
		return
	}
	b.omissionsLoggedAt = now
	fields := []any{"event", "log_lines_omitted"}
	for class, n := range b.omitted {
		fields = append(fields, class, n)
	}
	clear(b.omitted)
	_ = b.enqueue("note", now, fields) // names and numbers can always be encoded
}
