package peer

import (
	"context"
	"time"
)

// ownerCheckInterval is how often a waiting call checks that its callee still
// owns what the call is about.
const ownerCheckInterval = 250 * time.Millisecond

// WhileOwner returns a context that ends when current no longer returns owner,
// so that a call to a frozen entry VM does not use up the caller's time after
// another one took over.
func WhileOwner(ctx context.Context, owner string, current func() string) (context.Context, context.CancelFunc) {
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
