package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedReader accepts nothing until it is opened.
type blockedReader struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *blockedReader) Write(p []byte) (int, error) {
	<-r.open
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// A reader of standard output that stands still must not hold up a request:
// the log drops lines, counts them, and says so afterwards.
func TestBlockedReaderDoesNotBlock(t *testing.T) {
	r := &blockedReader{open: make(chan struct{})}
	w := NewBufferedWriter(r)
	w.limit.SetLimit(1e9)
	w.limit.SetBurst(1 << 30)
	started := time.Now()
	for range 3 * bufferedLines {
		if _, err := w.Write([]byte("event=x\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("writing took %v with a blocked reader", took)
	}
	if w.Dropped() < bufferedLines {
		t.Errorf("%d lines dropped, want at least %d", w.Dropped(), bufferedLines)
	}
	close(r.open)
	w.Close(5 * time.Second)
	if !strings.Contains(r.text.String(), "event=log_lines_dropped") {
		t.Error("no line says that lines were dropped")
	}
}

// A flood of decisions must not flood the log.
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
