package jobstore

import (
	"context"
	"fmt"
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
