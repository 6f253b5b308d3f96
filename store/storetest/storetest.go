// Package storetest provides an in-memory store for tests, which can inject
// faults.
package storetest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/store"
)

// Outcome is what the store does with a transaction.
type Outcome int

// Outcomes of a transaction.
const (
	// Applied transactions are processed and answered as usual.
	Applied Outcome = iota
	// Refused transactions fail with store.ErrUnavailable and have no effect.
	Refused
	// Lost transactions are processed, but fail with store.ErrOutcomeUnknown.
	Lost
	// Delayed transactions fail with store.ErrOutcomeUnknown and are processed
	// later, by ApplyDelayed.
	Delayed
)

// Store is an in-memory store. Leases last until they are ended.
type Store struct {
	// OutcomeOf, if set, returns the outcome of each transaction.
	OutcomeOf func(store.Transaction) Outcome

	mu       sync.Mutex
	revision int64
	items    map[string]store.Item
	leases   map[int64][]string
	delayed  []store.Transaction
	changed  chan struct{}
	events   []store.Event
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, items: map[string]store.Item{}, leases: map[int64][]string{}, changed: make(chan struct{})}
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return store.Item{}, errors.WithStack(store.ErrNotFound)
	}
	return i, nil
}

// Range implements store.Store.
func (s *Store) Range(_ context.Context, prefix, after string) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := store.Page{Revision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, i)
		}
	}
	slices.SortFunc(page.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var events []store.Event
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Commit implements store.Store.
func (s *Store) Commit(_ context.Context, tx store.Transaction) (int64, error) {
	outcome := Applied
	if s.OutcomeOf != nil {
		outcome = s.OutcomeOf(tx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch outcome {
	case Refused:
		return 0, errors.WithStack(store.ErrUnavailable)
	case Delayed:
		s.delayed = append(s.delayed, tx)
		return 0, errors.WithStack(store.ErrOutcomeUnknown)
	case Applied, Lost:
	}
	revision, err := s.apply(tx)
	if outcome == Lost {
		return 0, errors.WithStack(store.ErrOutcomeUnknown)
	}
	return revision, err
}

func (s *Store) apply(tx store.Transaction) (int64, error) {
	conflict := &store.ConflictError{}
	satisfied := true
	for _, c := range tx.Conditions {
		i, ok := s.items[c.Key]
		if ok {
			conflict.Items = append(conflict.Items, i)
		}
		satisfied = satisfied && i.Revision == c.Revision
	}
	if !satisfied {
		return 0, conflict
	}
	for _, w := range tx.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, errors.WithStack(store.ErrNotFound)
		}
	}
	s.revision++
	for _, w := range tx.Writes {
		i := store.Item{Key: w.Key, Value: w.Value, Revision: s.revision}
		s.items[w.Key] = i
		s.events = append(s.events, store.Event{Item: i})
		if w.Lease != 0 {
			s.leases[w.Lease] = append(s.leases[w.Lease], w.Key)
		}
	}
	for _, key := range tx.Deletes {
		s.remove(key)
	}
	s.signalChange()
	return s.revision, nil
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, store.Event{Item: store.Item{Key: key, Revision: s.revision}, Deleted: true})
	}
}

func (s *Store) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ApplyDelayed applies the delayed transactions whose conditions still hold.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tx := range s.delayed {
		// A delayed transaction has no effect if a condition no longer holds.
		_, _ = s.apply(tx)
	}
	s.delayed = nil
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(len(s.leases) + 1)
	s.leases[id] = nil
	return id, nil
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; !ok {
		return errors.WithStack(store.ErrNotFound)
	}
	return nil
}

// EndLease implements store.Store.
func (s *Store) EndLease(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys, ok := s.leases[lease]
	if !ok {
		return errors.WithStack(store.ErrNotFound)
	}
	s.revision++
	for _, key := range keys {
		s.remove(key)
	}
	delete(s.leases, lease)
	s.signalChange()
	return nil
}
