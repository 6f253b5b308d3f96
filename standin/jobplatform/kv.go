package jobplatform

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, as the protocol writes it.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Rev            int64  `json:"rev"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease,omitempty"`
	Deleted        bool   `json:"deleted,omitempty"`
}

type kvLease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// kv is the metadata store. Every transaction that changes something has one
// revision.
type kv struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	// compacted is the last revision whose history is gone.
	compacted int64
	leases    map[int64]*kvLease
	nextLease int64
	changed   chan struct{}
}

func newKV() *kv {
	return &kv{revision: 1, items: map[string]item{}, leases: map[int64]*kvLease{}, nextLease: 1000, changed: make(chan struct{})}
}

type txn struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	Writes  []item   `json:"writes"`
	Deletes []string `json:"deletes"`
}

// commit applies a transaction. It returns the revision, or the present items
// of conditions that do not hold, or whether a lease is missing.
func (s *kv) commit(t txn) (revision int64, conflict []item, noLease bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	conflict = []item{}
	for _, c := range t.Expected {
		present, ok := s.items[c.Key]
		if ok {
			conflict = append(conflict, present)
		}
		held = held && present.Rev == c.Rev
	}
	if !held {
		return 0, conflict, false
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 0, nil, true
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.put(w)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.signal()
	return s.revision, nil, false
}

func (s *kv) put(w item) {
	old, existed := s.items[w.Key]
	s.detach(old)
	next := item{Key: w.Key, Value: w.Value, Rev: s.revision, CreateRevision: s.revision, Lease: w.Lease}
	if existed {
		next.CreateRevision = old.CreateRevision
	}
	s.items[w.Key] = next
	if l := s.leases[w.Lease]; l != nil {
		l.keys[w.Key] = true
	}
	s.history = append(s.history, next)
}

func (s *kv) remove(key string) {
	old, ok := s.items[key]
	if !ok {
		return
	}
	s.detach(old)
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.revision, Deleted: true})
}

func (s *kv) detach(old item) {
	if l := s.leases[old.Lease]; l != nil {
		delete(l.keys, old.Key)
	}
}

func (s *kv) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kv) get(key string) (item, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, s.revision, ok
}

// page returns up to most items of a range.
func (s *kv) page(prefix, after string, most int) (items []item, truncated bool, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(items) > most {
		return items[:most], true, s.revision
	}
	return items, false, s.revision
}

// since returns the changes of a range after a revision, and a channel that is
// closed at the next change; ok is false if the history is gone.
func (s *kv) since(prefix string, after int64) (events []item, revision int64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, 0, nil, false
	}
	for _, e := range s.history {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, true
}

func (s *kv) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
	s.signal()
}

func (s *kv) grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &kvLease{ttl: ttl, keys: map[string]bool{}, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id
}

func (s *kv) keep(id int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	l.timer.Reset(l.ttl)
	return l.ttl, true
}

func (s *kv) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return true
	}
	s.revision++
	for key := range l.keys {
		s.remove(key)
	}
	s.signal()
	return true
}
