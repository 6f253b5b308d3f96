package operator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
)

// fakeStore is an in-memory store. With a random source it refuses calls,
// loses answers, carries out writes after it lost their answers, and has
// outages.
type fakeStore struct {
	infrastructure.Store

	mu      sync.Mutex
	version int64
	keys    map[string]infrastructure.KeyValue
	faults  *rand.Rand
	// down is the end of an outage.
	down time.Time
	// late holds writes that take effect after their answers were lost.
	late []func()
	puts int
}

func newFakeStore(faults *rand.Rand) *fakeStore {
	return &fakeStore{keys: map[string]infrastructure.KeyValue{}, faults: faults}
}

// chance returns true in one of n calls.
func (s *fakeStore) chance(n int) bool { return s.faults != nil && s.faults.IntN(n) == 0 }

// enter starts a call; the caller holds the lock.
func (s *fakeStore) enter() error {
	if len(s.late) > 0 && s.chance(3) {
		s.late[0]()
		s.late = s.late[1:]
	}
	if s.chance(150) {
		s.fail()
	}
	if time.Now().Before(s.down) || s.chance(10) {
		return infrastructure.ErrUnavailable
	}
	return nil
}

// fail starts an outage that lasts longer than a publish.
func (s *fakeStore) fail() { s.down = time.Now().Add(7 * time.Second) }

// heal carries out late writes and ends all faults.
func (s *fakeStore) heal() {
	s.faults, s.down = nil, time.Time{}
	for _, write := range s.late {
		write()
	}
	s.late = nil
}

func (s *fakeStore) Get(_ context.Context, key string) (infrastructure.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
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
	if err := s.enter(); err != nil {
		return 0, err
	}
	s.puts++
	if s.chance(8) {
		s.late = append(s.late, func() { s.write(key, value, expected) })
		if s.chance(2) {
			s.fail()
		}
		return 0, infrastructure.ErrUnknown
	}
	version, err := s.write(key, value, expected)
	if s.chance(8) {
		return 0, infrastructure.ErrUnknown
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
