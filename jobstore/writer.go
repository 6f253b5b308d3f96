package jobstore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/store"
)

// ErrDeposed reports that the owner's key has changed: another process owns
// the jobs.
var ErrDeposed = errors.New("another process owns the jobs")

// recordsPerTransaction is how many records fit into a transaction in addition
// to the condition on the owner's key: each takes a condition and a write.
const recordsPerTransaction = (store.MaxTransactionEntries - 1) / 2

// Record is a value to be written, or a key to be deleted if Value is nil.
type Record struct {
	Key   string
	Value []byte
	// Revision, if set, is the revision that the record must have, for one that another
	// process wrote.
	Revision int64
}

// Writer writes the records of one owner. Each write requires that the owner's
// key is unchanged and that each record has the revision that this writer last
// saw, so that a write without an answer cannot take effect after a later one.
type Writer struct {
	store store.Store
	// fence is the revision of the owner's key.
	fence     int64
	revisions map[string]int64
	// revision is the store's revision after the last write.
	revision int64
}

// NewWriter returns the writer of the owner whose key has the revision fence.
// known are the records read after that key was written.
func NewWriter(s store.Store, fence int64, known []store.Item) *Writer {
	w := &Writer{store: s, fence: fence, revisions: map[string]int64{}, revision: fence}
	for _, i := range known {
		w.revisions[i.Key] = i.Revision
	}
	return w
}

// MaxRecords returns the maximum number of records of one Write.
func (w *Writer) MaxRecords() int { return recordsPerTransaction }

// Revision returns the store's revision after the last write of this owner, or that of
// the owner's key. Each write requires that key to be unchanged, so that the revision is
// lower than the fence of any later owner.
func (w *Writer) Revision() int64 { return w.revision }

// Write writes records, each with a different key, in one transaction. Until ctx
// ends it repeats a write whose answer was lost or that the store could not do.
func (w *Writer) Write(ctx context.Context, records []Record) error {
	for _, r := range records {
		if r.Revision != 0 {
			w.revisions[r.Key] = r.Revision
		}
	}
	left := records
	for {
		tx := store.Transaction{Conditions: []store.Condition{{Key: OwnerKey, Revision: w.fence}}}
		for _, r := range left {
			tx.Conditions = append(tx.Conditions, store.Condition{Key: r.Key, Revision: w.revisions[r.Key]})
			if r.Value == nil {
				tx.Deletes = append(tx.Deletes, r.Key)
			} else {
				tx.Writes = append(tx.Writes, store.Write{Key: r.Key, Value: r.Value})
			}
		}
		revision, err := w.store.Commit(ctx, tx)
		if err == nil {
			w.revision = revision
			for _, r := range records {
				if r.Value == nil {
					// Another process may create a record of the same key.
					delete(w.revisions, r.Key)
				} else {
					w.revisions[r.Key] = revision
				}
			}
			return nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			if left, err = w.refreshRevisions(left, conflict.Items); err != nil {
				return err
			}
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !errors.Is(err, store.ErrOutcomeUnknown) && !errors.Is(err, store.ErrUnavailable) {
			return err
		}
		if !sleep(ctx, writeRetryPause) {
			return ctx.Err()
		}
	}
}

// writeRetryPause is the pause before a write is repeated. A store that is down
// gets about 20 calls a second.
const writeRetryPause = 50 * time.Millisecond

// refreshRevisions takes the current revisions of the records after a conflict,
// which an earlier write without an answer has caused, and returns the records that
// are still to be written. It returns ErrDeposed if the owner's key has changed.
//
// The record under a job's key never changes, and only the owner deletes it. If it is
// gone or is another one than was to be deleted, an earlier attempt has deleted it
// together with its cancellation, and what is there now belongs to a new job. The revision
// stays that of the deleted record until the write succeeds, so that a later write that
// repeats the deletion leaves the new job alone, too.
func (w *Writer) refreshRevisions(records []Record, items []store.Item) ([]Record, error) {
	current := map[string]int64{}
	for _, i := range items {
		current[i.Key] = i.Revision
	}
	if current[OwnerKey] != w.fence {
		return nil, errors.WithStack(ErrDeposed)
	}
	deleted := map[string]bool{}
	for _, r := range records {
		id, cancel, ok := ParseInboxKey(r.Key)
		if seen := w.revisions[r.Key]; ok && !cancel && r.Value == nil && seen != 0 && seen != current[r.Key] {
			deleted[id] = true
		}
	}
	var left []Record
	for _, r := range records {
		if id, _, ok := ParseInboxKey(r.Key); ok && deleted[id] {
			continue
		}
		w.revisions[r.Key] = current[r.Key]
		left = append(left, r)
	}
	return left, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
