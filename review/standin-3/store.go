package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as PROTOCOL.md and the settings in DEPLOY.md state them.
const (
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
	maxEntries    = 32
	pageItems     = 500
	pageBytes     = 1 << 20
	retention     = 20 * time.Second
)

// item is one key of the store, or its deletion in the history.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Rev            int64  `json:"rev"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease,omitempty"`
	Deleted        bool   `json:"deleted,omitempty"`
	at             time.Time
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is the platform's metadata store.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	compacted int64
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

type transaction struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	Writes  []item   `json:"writes"`
	Deletes []string `json:"deletes"`
}

// commit applies a transaction and returns the status and the body of the response.
func (s *store) commit(t transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, c := range t.Expected {
		i, ok := s.items[c.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Rev == c.Rev
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.put(w)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]int64{"rev": s.revision}
}

func (s *store) put(w item) {
	next := item{Key: w.Key, Value: w.Value, Rev: s.revision, CreateRevision: s.revision, Lease: w.Lease, at: time.Now()}
	if old, ok := s.items[w.Key]; ok {
		next.CreateRevision = old.CreateRevision
	}
	s.items[w.Key] = next
	s.history = append(s.history, next)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.revision, Deleted: true, at: time.Now()})
	}
}

// notify wakes the watches and drops the history that is older than retention.
func (s *store) notify() {
	n := 0
	for n < len(s.history) && time.Since(s.history[n].at) > retention {
		s.compacted = s.history[n].Rev
		n++
	}
	s.history = s.history[n:]
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets a key as the operator or a worker.
func (s *store) write(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.commit(transaction{Writes: []item{{Key: key, Value: data}}})
}

func (s *store) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, key := range keys {
			s.remove(key)
		}
		s.notify()
	}
	return true
}

func (s *store) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+names.StoreKey, s.serveKey)
	mux.HandleFunc("GET "+names.StoreRange, s.serveRange)
	mux.HandleFunc("GET "+names.StoreWatch, s.serveWatch)
	mux.HandleFunc("POST "+names.StoreTransaction, s.serveTransaction)
	mux.HandleFunc("POST "+names.StoreGrant, s.serveGrant)
	mux.HandleFunc("POST "+names.StoreKeep, s.serveKeep)
	mux.HandleFunc("DELETE "+names.StoreEnd, s.serveEnd)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, map[string]int64{names.StoreRevision: revision})
		return
	}
	respond(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "rev": i.Rev, "createRevision": i.CreateRevision, "lease": i.Lease, names.StoreRevision: revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size, truncated := 0, false
	for n, i := range found {
		if n == pageItems || size >= pageBytes {
			found, truncated = found[:n], true
			break
		}
		size += len(i.Value)
	}
	respond(w, http.StatusOK, map[string]any{"items": found, "truncated": truncated, names.StoreRevision: revision})
}

// since returns the changes under a prefix after a revision, and a channel that is closed at
// the next change. ok is false if that history is gone.
func (s *store) since(prefix string, after int64) (events []item, revision int64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	if after < s.compacted {
		return events, s.revision, s.changed, false
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, rev int64) int { return int(i.Rev - rev) })
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, true
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	timer := time.NewTimer(time.Duration(number(q.Get("waitMs"))) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		events, revision, changed, ok := s.since(q.Get("prefix"), number(q.Get("after")))
		if !ok {
			respond(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 || last {
			respond(w, http.StatusOK, map[string]any{"events": events, names.StoreRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Deletes) > maxEntries {
		respond(w, http.StatusBadRequest, map[string]string{"reason": "entries"})
		return
	}
	for _, i := range t.Writes {
		if strings.HasPrefix(i.Key, names.Operator) || strings.HasPrefix(i.Key, names.Registry) {
			respond(w, http.StatusForbidden, struct{}{})
			return
		}
		if len(i.Key) > maxKeyBytes || len(i.Value) > maxValueBytes {
			respond(w, http.StatusBadRequest, map[string]string{"reason": "size"})
			return
		}
	}
	status, body := s.commit(t)
	respond(w, status, body)
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := max(time.Duration(body.TTLMs)*time.Millisecond, time.Second)
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	l := s.leases[number(r.PathValue("id"))]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	respond(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	if !s.endLease(number(r.PathValue("id"))) {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	respond(w, http.StatusOK, struct{}{})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has left needs no response.
	_ = json.NewEncoder(w).Encode(body)
}

// number parses an integer; anything else is 0.
func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
