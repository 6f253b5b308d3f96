package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every Write until the channel open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against requests that block because the reader of standard output has
// stopped reading. The log must drop and count lines instead, and report the
// number afterwards.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := NewBufferedWriter(out)
	w.limiter.SetLimit(1e9)
	w.limiter.SetBurst(1 << 30)
	started := time.Now()
	for range 3 * bufferedLines {
		if _, err := w.Write([]byte("event=x\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("writing took %v with a blocked writer", took)
	}
	if w.Dropped() < bufferedLines {
		t.Errorf("%d lines dropped, want at least %d", w.Dropped(), bufferedLines)
	}
	close(out.open)
	w.Close(5 * time.Second)
	if !strings.Contains(out.text.String(), "event=log_lines_dropped") {
		t.Error("no line reports the dropped lines")
	}
}

// Guards against a log volume without limit when the scheduler logs many decisions at
// once.
func TestLinesAreLimitedByRate(t *testing.T) {
	var out bytes.Buffer
	w := NewBufferedWriter(&out)
	for range lineBurst + 2000 {
		if _, err := w.Write([]byte("event=x\n")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(0)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped beyond the rate")
	}
	w.Close(5 * time.Second)
}
