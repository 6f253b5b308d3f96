package store

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// failuresToBeDown is how many calls in a row have to fail, over at least
	// downAfter, for the store to count as down. A single lost answer does not.
	failuresToBeDown = 2
	downAfter        = 250 * time.Millisecond
)

// Health tells from the results of calls whether the store can be reached. It
// needs a steady call, such as a watch, to notice that the store is back.
type Health struct {
	mu        sync.Mutex
	failures  int
	firstFail time.Time
	now       func() time.Time
}

// NewHealth returns the health of a store that is taken to be up.
func NewHealth() *Health { return &Health{now: time.Now} }

// Observe takes in the result of a call.
func (h *Health) Observe(err error) {
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
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
	return h.failures >= failuresToBeDown && h.now().Sub(h.firstFail) >= downAfter
}
