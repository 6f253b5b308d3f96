package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// bufferedLines bounds the lines that wait for the reader of the log; at
	// about 200 bytes a line they take under a megabyte.
	bufferedLines = 4096
	// linesPerSecond bounds the volume under load. The owner of the jobs writes
	// about two lines for each work item.
	linesPerSecond = 1500
	lineBurst      = 4000
)

// BufferedWriter hands lines to another writer in the background. It never
// blocks: lines beyond its buffer or its rate are dropped, counted, and
// reported in a line once there is room again.
type BufferedWriter struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	total   atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewBufferedWriter returns a writer to w.
func NewBufferedWriter(w io.Writer) *BufferedWriter {
	b := &BufferedWriter{
		lines: make(chan []byte, bufferedLines), limit: rate.NewLimiter(linesPerSecond, lineBurst),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go b.run(w)
	return b
}

// Write implements io.Writer. Each call is one line.
func (b *BufferedWriter) Write(p []byte) (int, error) {
	if !b.limit.Allow() {
		b.drop()
		return len(p), nil
	}
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.drop()
	}
	return len(p), nil
}

func (b *BufferedWriter) drop() {
	b.dropped.Add(1)
	b.total.Add(1)
}

// Dropped returns how many lines were dropped so far.
func (b *BufferedWriter) Dropped() int64 { return b.total.Load() }

func (b *BufferedWriter) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.put(w, line)
		case <-b.stop:
			for {
				select {
				case line := <-b.lines:
					b.put(w, line)
				default:
					return
				}
			}
		}
	}
}

// put writes one line, and before it how many were dropped. A failed write has
// no other place to be reported.
func (b *BufferedWriter) put(w io.Writer, line []byte) {
	if n := b.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "time=%s level=warn event=log_lines_dropped lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	_, _ = w.Write(line)
}

// Close writes the lines that wait, for at most the given time.
func (b *BufferedWriter) Close(atMost time.Duration) {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(atMost):
	}
}
