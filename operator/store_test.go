package operator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
)

// fakeStore is an in-memory store. With a random source it refuses calls, loses
// answers, applies writes late after it has lost their answers, and has outages.
type fakeStore struct {
	infrastructure.Store

	mu      sync.Mutex
	version int64
	keys    map[string]infrastructure.KeyValue
	faults  *rand.Rand
	// downUntil is the end of an outage.
	downUntil time.Time
	// lateWrites holds writes that take effect after their answers were lost.
	lateWrites []func()
	puts       int
}

func newFakeStore(faults *rand.Rand) *fakeStore {
	return &fakeStore{keys: map[string]infrastructure.KeyValue{}, faults: faults}
}

// oneIn returns true in one of n calls.
func (s *fakeStore) oneIn(n int) bool { return s.faults != nil && s.faults.IntN(n) == 0 }

// beginCall starts a call; the caller holds the lock.
func (s *fakeStore) beginCall() error {
	if len(s.lateWrites) > 0 && s.oneIn(3) {
		s.lateWrites[0]()
		s.lateWrites = s.lateWrites[1:]
	}
	if s.oneIn(150) {
		s.startOutage()
	}
	if time.Now().Before(s.downUntil) || s.oneIn(10) {
		return infrastructure.ErrUnavailable
	}
	return nil
}

// startOutage starts an outage that lasts longer than a publish.
func (s *fakeStore) startOutage() { s.downUntil = time.Now().Add(7 * time.Second) }

// endFaults applies the late writes and ends all faults.
func (s *fakeStore) endFaults() {
	s.faults, s.downUntil = nil, time.Time{}
	for _, write := range s.lateWrites {
		write()
	}
	s.lateWrites = nil
}

func (s *fakeStore) Get(_ context.Context, key string) (infrastructure.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return infrastructure.KeyValue{}, err
	}
	kv, ok := s.keys[key]
	if !ok {
		return kv, infrastructure.ErrNotFound
	}
	return kv, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expected int64, _ string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return 0, err
	}
	s.puts++
	if s.oneIn(8) {
		s.lateWrites = append(s.lateWrites, func() { s.write(key, value, expected) })
		if s.oneIn(2) {
			s.startOutage()
		}
		return 0, infrastructure.ErrOutcomeUnknown
	}
	version, err := s.write(key, value, expected)
	if s.oneIn(8) {
		return 0, infrastructure.ErrOutcomeUnknown
	}
	return version, err
}

func (s *fakeStore) write(key string, value []byte, expected int64) (int64, error) {
	if s.keys[key].Version != expected {
		return 0, infrastructure.ErrConflict
	}
	s.version++
	s.keys[key] = infrastructure.KeyValue{Key: key, Version: s.version, Value: value}
	return s.version, nil
}
