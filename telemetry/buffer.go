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
	// bufferedLines bounds the lines that wait to be written. At about 200
	// bytes a line they take less than 1 MB.
	bufferedLines = 4096
	// linesPerSecond bounds the log volume under load, after a burst of
	// lineBurst lines. The entry VM that owns the jobs logs about two lines for
	// each work item.
	linesPerSecond = 1500
	lineBurst      = 4000
)

// BufferedWriter passes lines to another writer in the background. It never blocks:
// lines that exceed its buffer or its rate are dropped and counted. The next line
// that is written is preceded by one that reports the number of dropped lines.
type BufferedWriter struct {
	lines           chan []byte
	limiter         *rate.Limiter
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	stop            chan struct{}
	done            chan struct{}
	once            sync.Once
}

// NewBufferedWriter returns a BufferedWriter that writes to w.
func NewBufferedWriter(w io.Writer) *BufferedWriter {
	b := &BufferedWriter{
		lines: make(chan []byte, bufferedLines), limiter: rate.NewLimiter(linesPerSecond, lineBurst),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go b.run(w)
	return b
}

// Write implements io.Writer. Each call must pass one complete line.
func (b *BufferedWriter) Write(p []byte) (int, error) {
	if !b.limiter.Allow() {
		b.countDrop()
		return len(p), nil
	}
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.countDrop()
	}
	return len(p), nil
}

func (b *BufferedWriter) countDrop() {
	b.unreportedDrops.Add(1)
	b.totalDrops.Add(1)
}

// Dropped returns the number of lines dropped since the start.
func (b *BufferedWriter) Dropped() int64 { return b.totalDrops.Load() }

func (b *BufferedWriter) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.writeLine(w, line)
		case <-b.stop:
			for {
				select {
				case line := <-b.lines:
					b.writeLine(w, line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes one line, preceded by a report of dropped lines if there are any.
// Write errors are ignored, because there is nowhere else to report them.
func (b *BufferedWriter) writeLine(w io.Writer, line []byte) {
	if n := b.unreportedDrops.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "time=%s level=warn event=log_lines_dropped lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	_, _ = w.Write(line)
}

// Close writes the buffered lines and waits for that until the timeout.
func (b *BufferedWriter) Close(timeout time.Duration) {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(timeout):
	}
}
