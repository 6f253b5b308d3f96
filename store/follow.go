package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// followRetry is the pause after a failed call of Follow. It is below a tenth
// of the 2 s in which a change of the manifest has to be in force.
const followRetry = 100 * time.Millisecond

// Follower receives the contents of a range and its changes.
type Follower struct {
	// Reset replaces everything known; it is called first, and again whenever
	// the history was lost.
	Reset func(items []Item, revision int64)
	// Changed receives the changes in their order.
	Changed func(events []Event)
	// Current reports that the range is known as of a call that was sent at
	// the time sent.
	Current func(sent time.Time)
	// Failed receives each failed call.
	Failed func(err error)
}

// Follow reads a range and watches it until ctx ends.
func Follow(ctx context.Context, s Store, prefix string, wait time.Duration, f Follower) {
	FollowFrom(ctx, s, prefix, -1, wait, f)
}

// FollowFrom watches a range that was read at a revision until ctx ends; -1
// stands for one that was not read.
func FollowFrom(ctx context.Context, s Store, prefix string, revision int64, wait time.Duration, f Follower) {
	for ctx.Err() == nil {
		sent := time.Now()
		var err error
		if revision < 0 {
			var items []Item
			if items, revision, err = ReadAll(ctx, s, prefix); err == nil {
				f.Reset(items, revision)
			} else {
				revision = -1
			}
		} else {
			var events []Event
			var next int64
			events, next, err = s.Watch(ctx, prefix, revision, wait)
			if err == nil {
				revision = next
				if len(events) > 0 {
					f.Changed(events)
				}
			}
		}
		switch {
		case err == nil:
			if f.Current != nil {
				f.Current(sent)
			}
		case errors.Is(err, ErrCompacted):
			revision = -1
		default:
			if f.Failed != nil && ctx.Err() == nil {
				f.Failed(err)
			}
			pause(ctx, followRetry)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
