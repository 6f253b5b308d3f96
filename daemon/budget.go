package daemon

import (
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/retry"
)

// lockedBudget makes a retry budget safe for concurrent use.
type lockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// Request counts one request.
func (b *lockedBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request(now)
}

// Allow reports whether a retry may be made now, and counts it.
func (b *lockedBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(now)
}
