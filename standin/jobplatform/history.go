package jobplatform

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// history records the runs on all workers and detects violations of the protocol:
// an item that runs twice at once unless it is speculative, or again after its end was
// acknowledged, or that crashes worker after worker, and workers over their capacity.
type history struct {
	mu    sync.Mutex
	items map[string]*itemHistory
	// unacknowledged holds, by worker ID and number of the end, the items with the
	// outcome done whose end has not been acknowledged yet.
	unacknowledged map[string]map[int64]string
	violations     []string
	// starts counts the started runs.
	starts int
}

type itemHistory struct {
	// running holds the current runs by worker ID.
	running map[string]runKey
	// acknowledged is when an end with the outcome done was acknowledged; it is
	// zero until then.
	acknowledged time.Time
	// done is set when a run ends with the outcome done, acknowledged or not.
	done bool
	// crashes counts the workers that the item crashed, startsAfterCrashes its
	// starts after maxCrashes of them.
	crashes, startsAfterCrashes int
}

func newHistory() *history {
	return &history{items: map[string]*itemHistory{}, unacknowledged: map[string]map[int64]string{}}
}

func (h *history) item(itemID string) *itemHistory {
	i := h.items[itemID]
	if i == nil {
		i = &itemHistory{running: map[string]runKey{}}
		h.items[itemID] = i
	}
	return i
}

func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// copyStopTime is how long after the acknowledgement of an end further copies of a
// speculative item may still be ordered.
const copyStopTime = time.Second

// started records a start that was ordered at the given time.
func (h *history) started(w *worker, key runKey, speculative bool, orderedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	i := h.item(key.item)
	if len(i.running) > 0 && !speculative {
		h.addViolation("item %s: run %d starts on %s while %v runs", key.item, key.run, w.id, i.running)
	}
	if !i.acknowledged.IsZero() && (!speculative || orderedAt.After(i.acknowledged.Add(copyStopTime))) {
		h.addViolation("item %s: run %d starts on %s after its end was acknowledged", key.item, key.run, w.id)
	}
	i.running[w.id] = key
}

func (h *history) ended(w *worker, key runKey, outcome string, number int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.item(key.item)
	delete(i.running, w.id)
	if outcome != "done" {
		return
	}
	i.done = true
	if h.unacknowledged[w.id] == nil {
		h.unacknowledged[w.id] = map[int64]string{}
	}
	h.unacknowledged[w.id][number] = key.item
}

func (h *history) killed(w *worker, key runKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.item(key.item).running, w.id)
}

// discardUnacknowledgedEnds discards the unacknowledged ends of a worker whose lease
// has expired or which was killed. They never count as acknowledged.
func (h *history) discardUnacknowledgedEnds(workerID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.unacknowledged, workerID)
}

func (h *history) acknowledge(workerID string, lastSeen int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for number, itemID := range h.unacknowledged[workerID] {
		if number <= lastSeen {
			if i := h.item(itemID); i.acknowledged.IsZero() {
				i.acknowledged = time.Now()
			}
			delete(h.unacknowledged[workerID], number)
		}
	}
}

// checkDone returns an error unless the given number of items of a job ended as
// done.
func (h *history) checkDone(job string, items int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	done := 0
	for itemID, i := range h.items {
		if strings.HasPrefix(itemID, job+".") && i.done {
			done++
		}
	}
	if done != items {
		return fmt.Errorf("job %s: %d of %d items have ended as done", job, done, items)
	}
	return nil
}

const (
	// After maxCrashes crashes, an item that crashes its workers may be started
	// maxStartsAfterCrashes times more.
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
)

// deadlyStart records a start of an item that crashes its worker.
func (h *history) deadlyStart(key runKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.item(key.item)
	if i.crashes >= maxCrashes {
		if i.startsAfterCrashes++; i.startsAfterCrashes > maxStartsAfterCrashes {
			h.addViolation("item %s: run %d starts after %d workers have crashed under it", key.item, key.run, i.crashes)
		}
	}
	i.crashes++
}

func (h *history) overCapacity(w *worker, key runKey, used, limit int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation("item %s: run %d takes %s to %d thousandths of a core, over its capacity of %d", key.item, key.run, w.id, used, limit)
}
