package store

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// minFailures is how many calls in a row have to fail, over at least
	// minFailureTime, for the store to count as down. A single lost answer is not
	// enough.
	minFailures    = 2
	minFailureTime = 250 * time.Millisecond
)

// Health determines from the results of calls whether the store can be reached.
// It needs calls that go on during an outage, such as a watch, to notice that
// the store is back.
type Health struct {
	mu        sync.Mutex
	failures  int
	firstFail time.Time
	now       func() time.Time
}

// NewHealth returns a Health that regards the store as up.
func NewHealth() *Health { return &Health{now: time.Now} }

// Observe records the error of a call. Only ErrUnavailable and
// ErrOutcomeUnknown count as failures, because the other errors are answers of
// the store.
func (h *Health) Observe(err error) {
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !failed {
		h.failures = 0
		return
	}
	if h.failures == 0 {
		h.firstFail = h.now()
	}
	h.failures++
}

// Down reports whether the store cannot be reached.
func (h *Health) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= minFailures && h.now().Sub(h.firstFail) >= minFailureTime
}
