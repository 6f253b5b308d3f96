package claims

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
)

// memoryStore is an in-memory store with compare-and-swap. It can inject faults:
// responses that are lost, with or without the call taking effect; an outage; and
// calls that hang.
type memoryStore struct {
	infrastructure.Store

	mu      sync.Mutex
	version int64
	values  map[string]infrastructure.KeyValue
	random  *rand.Rand
	// lost is the probability that the response to a call is lost.
	lost   float64
	down   bool
	hang   bool
	delay  time.Duration
	writes int
	reads  int
}

func newMemoryStore(seed uint64) *memoryStore {
	return &memoryStore{values: map[string]infrastructure.KeyValue{}, random: rand.New(rand.NewPCG(seed, seed))}
}

func (m *memoryStore) set(change func(*memoryStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

// call runs fn, unless one of the configured faults occurs.
func (m *memoryStore) call(ctx context.Context, fn func() error) error {
	m.mu.Lock()
	delay, hang := m.delay, m.hang
	m.mu.Unlock()
	if hang {
		<-ctx.Done()
		return infrastructure.ErrOutcomeUnknown
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return infrastructure.ErrUnavailable
	}
	if m.lost > 0 && m.random.Float64() < m.lost {
		if m.random.IntN(2) == 0 {
			_ = fn()
		}
		return infrastructure.ErrOutcomeUnknown
	}
	return fn()
}

func (m *memoryStore) Get(ctx context.Context, key string) (kv infrastructure.KeyValue, err error) {
	err = m.call(ctx, func() error {
		m.reads++
		kv, err = m.get(key)
		return err
	})
	if err != nil {
		return infrastructure.KeyValue{}, err
	}
	return kv, nil
}

func (m *memoryStore) get(key string) (infrastructure.KeyValue, error) {
	kv, ok := m.values[key]
	if !ok {
		return infrastructure.KeyValue{}, infrastructure.ErrNotFound
	}
	return kv, nil
}

func (m *memoryStore) List(ctx context.Context, prefix, after string, limit int) (list []infrastructure.KeyValue, err error) {
	err = m.call(ctx, func() error {
		m.reads++
		list = m.list(prefix, after, limit)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

func (m *memoryStore) list(prefix, after string, limit int) []infrastructure.KeyValue {
	var list []infrastructure.KeyValue
	for _, key := range slices.Sorted(maps.Keys(m.values)) {
		if strings.HasPrefix(key, prefix) && key > after && len(list) < limit {
			list = append(list, m.values[key])
		}
	}
	return list
}

func (m *memoryStore) Put(ctx context.Context, key string, value []byte, expected int64, _ string) (version int64, err error) {
	err = m.call(ctx, func() error {
		m.writes++
		version, err = m.put(key, value, expected)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

func (m *memoryStore) put(key string, value []byte, expected int64) (int64, error) {
	if m.values[key].Version != expected {
		return 0, infrastructure.ErrConflict
	}
	m.version++
	m.values[key] = infrastructure.KeyValue{Key: key, Version: m.version, Value: slices.Clone(value)}
	return m.version, nil
}

func (m *memoryStore) Delete(ctx context.Context, key string, expected int64) error {
	return m.call(ctx, func() error {
		m.writes++
		return m.remove(key, expected)
	})
}

func (m *memoryStore) remove(key string, expected int64) error {
	held, ok := m.values[key]
	switch {
	case !ok:
		return infrastructure.ErrNotFound
	case held.Version != expected:
		return infrastructure.ErrConflict
	}
	delete(m.values, key)
	return nil
}
