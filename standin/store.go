package standin

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"dotterelhead.example/dotterelhead/infrastructure"
)

// defaultListLimit is the maximum number of keys that a list call without a limit
// returns.
const defaultListLimit = 1000

// store is the key-value service: compare-and-swap, list, watch and leases.
//
// Invariant: every write or removal of a key increments revision, and a key's
// version is the revision of its last write. Tombstones are kept for the lifetime
// of the process, so that a watch never misses a removal.
type store struct {
	mu         sync.Mutex
	revision   int64
	values     map[string]*storedValue
	sortedKeys []string
	tombstones map[string]int64
	leases     map[string]*lease
	// changed is closed and replaced on every change.
	changed chan struct{}
}

type storedValue struct {
	version int64
	value   []byte
	lease   string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]struct{}
}

func newStore() *store {
	return &store{
		values:     map[string]*storedValue{},
		tombstones: map[string]int64{},
		leases:     map[string]*lease{},
		changed:    make(chan struct{}),
	}
}

func (s *store) get(key string) (infrastructure.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.values[key]
	if !ok {
		return infrastructure.KeyValue{}, infrastructure.ErrNotFound
	}
	return r.keyValue(key), nil
}

func (r *storedValue) keyValue(key string) infrastructure.KeyValue {
	return infrastructure.KeyValue{Key: key, Version: r.version, Value: r.value}
}

func (s *store) list(prefix, after string, limit int) []infrastructure.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= 0 {
		limit = defaultListLimit
	}
	items := []infrastructure.KeyValue{}
	s.scan(prefix, after, func(key string, r *storedValue) bool {
		items = append(items, r.keyValue(key))
		return len(items) < limit
	})
	return items
}

// scan visits the keys with the prefix that are greater than after, in order.
func (s *store) scan(prefix, after string, visit func(string, *storedValue) bool) {
	i := sort.SearchStrings(s.sortedKeys, max(prefix, after))
	for ; i < len(s.sortedKeys) && strings.HasPrefix(s.sortedKeys[i], prefix); i++ {
		key := s.sortedKeys[i]
		if key == after && after != "" {
			continue
		}
		if !visit(key, s.values[key]) {
			return
		}
	}
}

func (s *store) put(key string, value []byte, expected int64, leaseID string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.values[key]
	if current := versionOf(r); current != expected {
		return 0, infrastructure.ErrConflict
	}
	var l *lease
	if leaseID != "" {
		if l = s.liveLease(leaseID); l == nil {
			return 0, infrastructure.ErrNotFound
		}
	}
	if !ok {
		r = &storedValue{}
		s.values[key] = r
		i, _ := slices.BinarySearch(s.sortedKeys, key)
		s.sortedKeys = slices.Insert(s.sortedKeys, i, key)
		delete(s.tombstones, key)
	}
	s.detachFromLease(key, r)
	s.advanceRevision()
	r.version, r.value, r.lease = s.revision, value, leaseID
	if l != nil {
		l.keys[key] = struct{}{}
	}
	return r.version, nil
}

func versionOf(r *storedValue) int64 {
	if r == nil {
		return 0
	}
	return r.version
}

func (s *store) delete(key string, expected int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.values[key]
	if !ok {
		return infrastructure.ErrNotFound
	}
	if r.version != expected {
		return infrastructure.ErrConflict
	}
	s.remove(key)
	return nil
}

func (s *store) detachFromLease(key string, r *storedValue) {
	if l := s.leases[r.lease]; l != nil {
		delete(l.keys, key)
	}
}

func (s *store) remove(key string) {
	s.detachFromLease(key, s.values[key])
	delete(s.values, key)
	if i, ok := slices.BinarySearch(s.sortedKeys, key); ok {
		s.sortedKeys = slices.Delete(s.sortedKeys, i, i+1)
	}
	s.advanceRevision()
	s.tombstones[key] = s.revision
}

func (s *store) advanceRevision() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch returns the changes under prefix that are newer than the revision in after.
// If there are none, it waits for one until wait has elapsed, ctx is done or stop is
// closed.
func (s *store) watch(ctx context.Context, prefix string, after int64, wait time.Duration, stop <-chan struct{}) infrastructure.WatchResult {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, changed := s.changes(prefix, after)
		if len(result.Changed)+len(result.Deleted) > 0 {
			return result
		}
		select {
		case <-changed:
		case <-timer.C:
			return result
		case <-ctx.Done():
			return result
		case <-stop:
			return result
		}
	}
}

func (s *store) changes(prefix string, after int64) (infrastructure.WatchResult, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := infrastructure.WatchResult{Next: s.revision}
	s.scan(prefix, "", func(key string, r *storedValue) bool {
		if r.version > after {
			result.Changed = append(result.Changed, r.keyValue(key))
		}
		return true
	})
	// A watcher that starts at revision 0 knows no keys, so it needs no removals.
	if after > 0 {
		for key, version := range s.tombstones {
			if version > after && strings.HasPrefix(key, prefix) {
				result.Deleted = append(result.Deleted, key)
			}
		}
		slices.Sort(result.Deleted)
	}
	return result, s.changed
}

func (s *store) grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uuid.NewString()
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]struct{}{}}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = l
	return id
}

// liveLease returns the lease, or nil if it does not exist. An expired lease is
// ended first.
func (s *store) liveLease(id string) *lease {
	l := s.leases[id]
	if l != nil && !time.Now().Before(l.expires) {
		s.endLease(id)
		return nil
	}
	return l
}

func (s *store) expire(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A keep-alive may have extended the lease while the timer fired.
	s.liveLease(id)
}

func (s *store) keepAlive(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.liveLease(id)
	if l == nil {
		return infrastructure.ErrNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

func (s *store) revoke(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.liveLease(id) == nil {
		return infrastructure.ErrNotFound
	}
	s.endLease(id)
	return nil
}

// endLease ends a lease and removes its keys.
func (s *store) endLease(id string) {
	l := s.leases[id]
	l.timer.Stop()
	delete(s.leases, id)
	for key := range l.keys {
		s.remove(key)
	}
}

// expireAll ends every lease as if its TTL had elapsed.
func (s *store) expireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// close stops the timers of the leases.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
