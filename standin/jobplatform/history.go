package jobplatform

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// history records what workers ran, and finds what must not happen.
type history struct {
	mu    sync.Mutex
	items map[string]*itemHistory
	// unnoted are the done ends of each worker that were not acknowledged.
	unnoted  map[string]map[int64]string
	findings []string
	// Started counts the starts.
	starts int
}

type itemHistory struct {
	running map[string]runKey
	noted   time.Time
	done    bool
}

func newHistory() *history {
	return &history{items: map[string]*itemHistory{}, unnoted: map[string]map[int64]string{}}
}

func (h *history) item(task string) *itemHistory {
	i := h.items[task]
	if i == nil {
		i = &itemHistory{running: map[string]runKey{}}
		h.items[task] = i
	}
	return i
}

func (h *history) find(format string, args ...any) {
	h.findings = append(h.findings, fmt.Sprintf(format, args...))
}

func (h *history) started(w *worker, key runKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	i := h.item(key.task)
	if len(i.running) > 0 {
		h.find("item %s: run %d starts on %s while %v runs", key.task, key.run, w.id, i.running)
	}
	if !i.noted.IsZero() {
		h.find("item %s: run %d starts on %s after its end was acknowledged", key.task, key.run, w.id)
	}
	i.running[w.id] = key
}

func (h *history) ended(w *worker, key runKey, how string, number int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.item(key.task)
	delete(i.running, w.id)
	if how != "done" {
		return
	}
	i.done = true
	if h.unnoted[w.id] == nil {
		h.unnoted[w.id] = map[int64]string{}
	}
	h.unnoted[w.id][number] = key.task
}

func (h *history) killed(w *worker, key runKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.item(key.task).running, w.id)
}

// lapsed forgets the ends of a worker whose lease lapsed before they were
// acknowledged: they never count as acknowledged.
func (h *history) lapsed(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.unnoted, worker)
}

func (h *history) noted(worker string, lastSeen int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for number, task := range h.unnoted[worker] {
		if number <= lastSeen {
			h.item(task).noted = time.Now()
			delete(h.unnoted[worker], number)
		}
	}
}

// undone returns the items of a job that have not ended as done.
func (h *history) undone(job string, items int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	done := 0
	for task, i := range h.items {
		if strings.HasPrefix(task, job+".") && i.done {
			done++
		}
	}
	if done != items {
		return fmt.Errorf("job %s: %d of %d items have ended as done", job, done, items)
	}
	return nil
}
