package jobstore

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
)

// TestWritesKeepTheirOrder guards against a write without an answer that takes
// effect after a later one, or after another owner took over, and against a fencing
// token of an owner that is not higher than the revision of each write before it.
func TestWritesKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := storetest.New()
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]storetest.Outcome{
			storetest.Applied, storetest.Refused, storetest.Lost, storetest.Delayed,
		}), 0, 12).Draw(t, "fates")
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		want := map[string]string{}
		last := int64(0)
		for owner := range rapid.IntRange(1, 3).Draw(t, "owners") {
			s.OutcomeOf = nil
			node := strconv.Itoa(owner)
			held, err := Acquire(ctx, s, Claim{Node: node, Process: node}, time.Minute)
			if err != nil || held == nil {
				t.Fatalf("owner %d: not acquired: %v", owner, err)
			}
			if held.Fence <= last {
				t.Fatalf("owner %d has fence %d, not above the revision %d of a former owner's write", owner, held.Fence, last)
			}
			last = held.Fence
			known, _, err := store.ReadAll(ctx, s, ProgressPrefix)
			if err != nil {
				t.Fatal(err)
			}
			s.OutcomeOf = func(store.Transaction) storetest.Outcome {
				if len(outcomes) == 0 {
					return storetest.Applied
				}
				f := outcomes[0]
				outcomes = outcomes[1:]
				return f
			}
			w := NewWriter(s, held.Fence, known)
			for n := range rapid.IntRange(1, 5).Draw(t, "writes") {
				key := ProgressKey(strconv.Itoa(rapid.IntRange(0, 1).Draw(t, "key")))
				value := fmt.Sprintf("%d-%d", owner, n)
				if err := w.Write(ctx, []Record{{Key: key, Value: []byte(value)}}); err != nil {
					t.Fatal(err)
				}
				want[key] = value
				if w.Revision() <= last {
					t.Fatalf("revision %d after a write, not above %d", w.Revision(), last)
				}
				last = w.Revision()
				if rapid.Bool().Draw(t, "late writes arrive") {
					s.ApplyDelayed()
				}
			}
			if err := s.EndLease(ctx, held.Lease); err != nil {
				t.Fatal(err)
			}
		}
		s.ApplyDelayed()
		for key, value := range want {
			if item, err := s.Get(ctx, key); err != nil || string(item.Value) != value {
				t.Fatalf("%s holds %q (%v), want the last write %q", key, item.Value, err, value)
			}
		}
	})
}

// The next write of a deposed owner must fail with ErrDeposed and change
// nothing.
func TestDeposedOwnerWritesNothing(t *testing.T) {
	s := storetest.New()
	ctx := context.Background()
	first, err := Acquire(ctx, s, Claim{Node: "a", Process: "1"}, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if other, err := Acquire(ctx, s, Claim{Node: "b", Process: "1"}, time.Minute); other != nil || err != nil {
		t.Fatalf("a second owner beside the first: %v, %v", other, err)
	}
	second, err := Acquire(ctx, s, Claim{Node: "a", Process: "2"}, time.Minute)
	if err != nil || second == nil {
		t.Fatalf("a new process of the owner's VM does not take over: %v", err)
	}
	if second.Fence <= first.Fence || second.Term != first.Term+1 {
		t.Errorf("fence %d after %d, term %d after %d", second.Fence, first.Fence, second.Term, first.Term)
	}
	err = NewWriter(s, first.Fence, nil).Write(ctx, []Record{{Key: ProgressKey("x"), Value: []byte("1")}})
	if !errors.Is(err, ErrDeposed) {
		t.Errorf("write of the deposed owner: %v", err)
	}
	if _, err := s.Get(ctx, ProgressKey("x")); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("the deposed owner wrote a record: %v", err)
	}
}

// deletionBench is a store with a finished job and the writer of its owner.
type deletionBench struct {
	*storetest.Store
	t      *testing.T
	writer *Writer
}

const finishedID = "00000000000000aa"

// deletion are the records of the finished job.
var deletion = []Record{{Key: JobKey(finishedID)}, {Key: CancelKey(finishedID)}, {Key: ProgressKey(finishedID)}}

func newDeletionBench(t *testing.T) *deletionBench {
	t.Helper()
	s := storetest.New()
	ownership, err := Acquire(context.Background(), s, Claim{Node: "n", Process: "p"}, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	b := &deletionBench{s, t, NewWriter(s, ownership.Fence, nil)}
	b.accept()
	return b
}

// accept accepts a job under the ID, as an entry VM does.
func (b *deletionBench) accept() {
	b.t.Helper()
	key := JobKey(finishedID)
	_, err := b.Commit(context.Background(), store.Transaction{
		Conditions: []store.Condition{{Key: key}}, Writes: []store.Write{{Key: key, Value: []byte("{}")}},
	})
	if err != nil {
		b.t.Errorf("accept: %v", err)
	}
}

func (b *deletionBench) cancelJob() {
	b.t.Helper()
	_, err := b.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: CancelKey(finishedID), Value: []byte("{}")}}})
	if err != nil {
		b.t.Errorf("cancel: %v", err)
	}
}

func (b *deletionBench) has(key string) bool {
	_, err := b.Get(context.Background(), key)
	return err == nil
}

// onDeletion calls f with the number of each attempt to delete the job. The first one
// does not know the revision of the job's record and has no effect.
func (b *deletionBench) onDeletion(f func(attempt int) storetest.Outcome) {
	attempt := 0
	b.OutcomeOf = func(tx store.Transaction) storetest.Outcome {
		if !slices.Contains(tx.Deletes, JobKey(finishedID)) {
			return storetest.Applied
		}
		attempt++
		return f(attempt)
	}
}

// Guards against an accepted job that is deleted: the answer to the deletion of a
// finished job was lost, a job was accepted under the same ID, and the deletion was
// repeated for the new record.
func TestRepeatedDeletionKeepsANewJob(t *testing.T) {
	b := newDeletionBench(t)
	b.onDeletion(func(attempt int) storetest.Outcome {
		switch attempt {
		case 2:
			return storetest.Lost
		case 3:
			b.accept()
			b.cancelJob()
		}
		return storetest.Applied
	})
	if err := b.writer.Write(context.Background(), deletion); err != nil {
		t.Fatal(err)
	}
	if !b.has(JobKey(finishedID)) || !b.has(CancelKey(finishedID)) {
		t.Errorf("record of the new job: %t, of its cancellation: %t; want both", b.has(JobKey(finishedID)), b.has(CancelKey(finishedID)))
	}
	b.OutcomeOf = nil
	if err := b.writer.Write(context.Background(), deletion); err != nil {
		t.Fatal(err)
	}
	if b.has(JobKey(finishedID)) || b.has(CancelKey(finishedID)) {
		t.Error("the new job cannot be deleted once it has finished")
	}
}

// Guards against an accepted job that is deleted by a write that is repeated after it was
// broken off: once before the new job was accepted, and once after it was noticed.
func TestDeletionRepeatedByALaterWriteKeepsANewJob(t *testing.T) {
	b := newDeletionBench(t)
	var interrupted context.Context
	var interrupt context.CancelFunc
	b.onDeletion(func(attempt int) storetest.Outcome {
		if attempt == 2 {
			interrupt()
			return storetest.Lost
		}
		return storetest.Applied
	})
	interrupted, interrupt = context.WithCancel(context.Background())
	if err := b.writer.Write(interrupted, deletion); !errors.Is(err, context.Canceled) {
		t.Fatalf("interrupted write: %v", err)
	}
	b.accept()
	b.OutcomeOf = func(tx store.Transaction) storetest.Outcome {
		if !slices.Contains(tx.Deletes, JobKey(finishedID)) {
			interrupt()
			return storetest.Refused
		}
		return storetest.Applied
	}
	interrupted, interrupt = context.WithCancel(context.Background())
	defer interrupt()
	if err := b.writer.Write(interrupted, deletion); !errors.Is(err, context.Canceled) {
		t.Errorf("write that is interrupted after the new job was noticed: %v", err)
	}
	b.OutcomeOf = nil
	if err := b.writer.Write(context.Background(), deletion); err != nil {
		t.Fatal(err)
	}
	if !b.has(JobKey(finishedID)) {
		t.Error("the new job is deleted")
	}
}

// Guards against a cancellation that stays after its job was deleted, and would cancel the
// next job with the ID: it was repeated between two attempts of the deletion.
func TestRepeatedDeletionIncludesALateCancellation(t *testing.T) {
	b := newDeletionBench(t)
	b.onDeletion(func(attempt int) storetest.Outcome {
		switch attempt {
		case 2:
			return storetest.Refused
		case 3:
			b.cancelJob()
		}
		return storetest.Applied
	})
	if err := b.writer.Write(context.Background(), deletion); err != nil {
		t.Fatal(err)
	}
	if b.has(JobKey(finishedID)) || b.has(CancelKey(finishedID)) {
		t.Errorf("record of the job left: %t, of its cancellation: %t", b.has(JobKey(finishedID)), b.has(CancelKey(finishedID)))
	}
}
