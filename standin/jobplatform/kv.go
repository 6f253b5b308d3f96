package jobplatform

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// record is one key of the store in the encoding of the protocol.
type record struct {
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

// kv is the metadata store. Every transaction that changes something increments the
// revision by one.
type kv struct {
	mu       sync.Mutex
	revision int64
	records  map[string]record
	history  []record
	// compacted is the last revision whose history has been dropped.
	compacted int64
	leases    map[int64]*kvLease
	nextLease int64
	changed   chan struct{}
}

func newKV() *kv {
	return &kv{revision: 1, records: map[string]record{}, leases: map[int64]*kvLease{}, nextLease: 1000, changed: make(chan struct{})}
}

type txn struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	Writes  []record `json:"writes"`
	Deletes []string `json:"deletes"`
}

// commit applies a transaction and returns its revision. If a condition does not
// hold, it returns the current records of the keys in the conditions; noLease is
// set if a write names an unknown lease.
func (s *kv) commit(t txn) (revision int64, conflict []record, noLease bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conditionsHold := true
	conflict = []record{}
	for _, c := range t.Expected {
		current, ok := s.records[c.Key]
		if ok {
			conflict = append(conflict, current)
		}
		conditionsHold = conditionsHold && current.Rev == c.Rev
	}
	if !conditionsHold {
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
	s.notifyWatches()
	return s.revision, nil, false
}

func (s *kv) put(w record) {
	old, existed := s.records[w.Key]
	s.detachFromLease(old)
	next := record{Key: w.Key, Value: w.Value, Rev: s.revision, CreateRevision: s.revision, Lease: w.Lease}
	if existed {
		next.CreateRevision = old.CreateRevision
	}
	s.records[w.Key] = next
	if l := s.leases[w.Lease]; l != nil {
		l.keys[w.Key] = true
	}
	s.history = append(s.history, next)
}

func (s *kv) remove(key string) {
	old, ok := s.records[key]
	if !ok {
		return
	}
	s.detachFromLease(old)
	delete(s.records, key)
	s.history = append(s.history, record{Key: key, Rev: s.revision, Deleted: true})
}

func (s *kv) detachFromLease(old record) {
	if l := s.leases[old.Lease]; l != nil {
		delete(l.keys, old.Key)
	}
}

func (s *kv) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kv) get(key string) (record, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[key]
	return r, s.revision, ok
}

// listPage returns up to limit records, of pageBytes or somewhat more, with the prefix
// whose keys are greater than after, in the order of their keys.
func (s *kv) listPage(prefix, after string, limit int) (records []record, truncated bool, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) && key > after {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b record) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for n, r := range records {
		if n == limit || size >= pageBytes {
			return records[:n], true, s.revision
		}
		size += len(r.Value)
	}
	return records, false, s.revision
}

// changesSince returns the changes under a prefix after a revision, and a channel
// that is closed on the next change. ok is false if the history has been compacted.
func (s *kv) changesSince(prefix string, after int64) (events []record, revision int64, changed <-chan struct{}, ok bool) {
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
	s.notifyWatches()
}

func (s *kv) grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &kvLease{ttl: ttl, keys: map[string]bool{}, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id
}

func (s *kv) keepAlive(id int64) (time.Duration, bool) {
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
	s.notifyWatches()
	return true
}
