package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// followRetryPause is the pause after a failed call. It is less than a tenth of
// the 2 s within which a change of the manifest has to take effect.
const followRetryPause = 100 * time.Millisecond

// maxUnreadablePause limits the pause after answers that cannot be read. It doubles with
// each further one, because each costs a read of the whole range, and the calls of all
// processes together are limited.
const maxUnreadablePause = 8 * followRetryPause

// FollowHandler receives the contents of a range of keys and its changes.
// Sending, Synced and Failed may be nil.
type FollowHandler struct {
	// Reset receives the whole contents, which replace what was received before.
	// It is called first, unless FollowFrom was given a revision, and again
	// whenever the history was compacted or a watch had an answer that cannot be read.
	Reset func(items []Item, revision int64)
	// Changed receives the changes in their order.
	Changed func(events []Event)
	// Sending is called before each call to the store, for a handler that needs another
	// clock than that of Synced.
	Sending func()
	// Synced is called after each successful call to the store, with the time
	// at which the call was sent. Every change before that time was received.
	Synced func(sent time.Time)
	// Failed receives the error of each failed call.
	Failed func(err error)
	// MaxValueBytes, if set, is the length above which values are dropped as they are
	// read. A reader of a range that others write is so kept from holding all of it.
	MaxValueBytes int
}

// Follow reads the items under prefix and watches them until ctx ends. Each
// watch call waits for changes for up to wait.
func Follow(ctx context.Context, s Store, prefix string, wait time.Duration, f FollowHandler) {
	FollowFrom(ctx, s, prefix, -1, wait, f)
}

// FollowFrom is like Follow for a range that was read at revision already; -1
// means that it was not read.
func FollowFrom(ctx context.Context, s Store, prefix string, revision int64, wait time.Duration, f FollowHandler) {
	unreadablePause := followRetryPause
	for ctx.Err() == nil {
		if f.Sending != nil {
			f.Sending()
		}
		sent := time.Now()
		var err error
		if revision < 0 {
			var items []Item
			if items, revision, err = readAll(ctx, s, prefix, f.MaxValueBytes); err == nil {
				f.Reset(items, revision)
			} else {
				revision = -1
			}
		} else {
			var events []Event
			var next int64
			events, next, err = s.Watch(ctx, prefix, revision, wait)
			if err == nil {
				revision, unreadablePause = next, followRetryPause
				for n := range events {
					events[n].dropLong(f.MaxValueBytes)
				}
				if len(events) > 0 {
					f.Changed(events)
				}
			}
		}
		switch {
		case err == nil:
			if f.Synced != nil {
				f.Synced(sent)
			}
		case errors.Is(err, ErrCompacted):
			revision = -1
		default:
			if f.Failed != nil && ctx.Err() == nil {
				f.Failed(err)
			}
			if !errors.Is(err, ErrUnreadable) {
				pause(ctx, followRetryPause)
				break
			}
			// A read of the range has smaller pages than the changes since the last
			// revision, and leaves out the values that were replaced meanwhile.
			revision = -1
			pause(ctx, unreadablePause)
			unreadablePause = min(2*unreadablePause, maxUnreadablePause)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
