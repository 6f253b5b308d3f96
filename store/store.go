// Package store defines the interface of the platform's metadata store as the
// job subsystem uses it: conditional transactions, leases, and watches.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of store calls. Callers compare with errors.Is.
var (
	// ErrUnavailable reports that the call had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown reports that no answer came: the call may have taken effect,
	// or may still do so while its conditions hold.
	ErrOutcomeUnknown = errors.New("store outcome unknown")
	// ErrNotFound reports that a key or lease does not exist.
	ErrNotFound = errors.New("not found in store")
	// ErrConflict reports that a condition of a transaction did not hold.
	ErrConflict = errors.New("store conflict")
	// ErrCompacted reports that the history after a revision is gone.
	ErrCompacted = errors.New("store history compacted")
	// ErrUnreadable reports that a read was answered, but the answer is too large or
	// cannot be decoded. The same call would get the same answer again.
	ErrUnreadable = errors.New("store answer unreadable")
)

// MaxTransactionEntries is how many conditions, writes and deletes one
// transaction may hold together.
const MaxTransactionEntries = 32

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key.
	Revision int64
	// DroppedBytes is the length of a value that was dropped because it is longer than
	// the reader of its range takes.
	DroppedBytes int
}

// dropLong drops the value if it is longer than limit; 0 means that there is no limit.
func (i *Item) dropLong(limit int) {
	if limit > 0 && len(i.Value) > limit {
		i.Value, i.DroppedBytes = nil, len(i.Value)
	}
}

// Event is a change of one key. Value is nil for a deleted key.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of a range, in the order of the keys.
type Page struct {
	Items []Item
	// Truncated is set if the range has more items after the page.
	Truncated bool
	// Revision is the store's revision when the page was read.
	Revision int64
}

// Condition requires a key to have a revision; 0 means that the key must not
// exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key. A key with a lease is removed when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// ConflictError reports a transaction that was not applied because a condition
// did not hold. Items holds the current state of those keys in its conditions
// that exist.
type ConflictError struct{ Items []Item }

func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap lets errors.Is find ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Store is the metadata store. Reads are linearizable.
type Store interface {
	// Get returns ErrNotFound for a key that does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the items whose keys start with prefix and are greater than
	// after, or the first of them, as many as the store puts into a page.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits up to wait for changes under prefix after the revision after.
	// It returns the changes and the revision from which the next watch
	// continues.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit applies a transaction and returns its revision. It returns a
	// *ConflictError if a condition does not hold.
	Commit(ctx context.Context, tx Transaction) (int64, error)
	// GrantLease creates a lease that ends after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	// RenewLease extends a lease by its ttl. It returns ErrNotFound if the lease
	// has ended.
	RenewLease(ctx context.Context, lease int64) error
	// EndLease ends a lease and removes its keys. It returns ErrNotFound if the
	// lease has ended already.
	EndLease(ctx context.Context, lease int64) error
}

// ReadAll reads all items under prefix. It returns the revision of the first
// page, so that a watch from there misses no change.
func ReadAll(ctx context.Context, s Store, prefix string) ([]Item, int64, error) {
	return readAll(ctx, s, prefix, 0)
}

// readAll is ReadAll without the values that are longer than maxValueBytes.
func readAll(ctx context.Context, s Store, prefix string, maxValueBytes int) ([]Item, int64, error) {
	var items []Item
	var revision int64
	after := ""
	for {
		page, err := s.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for n := range page.Items {
			page.Items[n].dropLong(maxValueBytes)
		}
		items = append(items, page.Items...)
		if !page.Truncated || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
