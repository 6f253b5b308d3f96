package peer

import (
	"context"
	"time"
)

// ownerCheckInterval is how often a waiting call checks whether its callee is
// still the owner.
const ownerCheckInterval = 250 * time.Millisecond

// WithOwnerCheck returns a context that ends when current no longer returns
// owner. Otherwise a call to a frozen entry VM would use up the caller's time
// although another entry VM has become the owner.
func WithOwnerCheck(ctx context.Context, owner string, current func() string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(ownerCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if current() != owner {
					cancel()
					return
				}
			}
		}
	}()
	return ctx, cancel
}
