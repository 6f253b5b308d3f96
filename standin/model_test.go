package standin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

// modelKey is one key of the model store.
type modelKey struct {
	version int64
	value   string
	lease   string
}

// modelTest runs the same operations on the stand-in store and on a map.
type modelTest struct {
	platform    *Platform
	client      *httpclient.Client
	keys        map[string]modelKey
	leases      []string
	lastVersion int64
	// watched holds the version of each key that results from applying all watch
	// results up to the revision in cursor.
	watched map[string]int64
	cursor  int64
}

var drawnKeys = rapid.SampledFrom([]string{"a/1", "a/2", "a/10", "b/1"})

// injectFault draws whether the next write succeeds, loses its response or is
// dropped. It returns whether a valid write takes effect, and the error that the
// client reports for a valid write.
func (m *modelTest) injectFault(t *rapid.T) (effect bool, err error) {
	switch rapid.SampledFrom([]string{"none", "none", "lose", "drop"}).Draw(t, "fault") {
	case "lose":
		m.platform.SetFaults(PlatformFaults{LoseNext: 1})
		return true, infrastructure.ErrOutcomeUnknown
	case "drop":
		m.platform.SetFaults(PlatformFaults{DropNext: 1})
		return false, infrastructure.ErrOutcomeUnknown
	}
	m.platform.SetFaults(PlatformFaults{})
	return true, nil
}

// expectedError returns the error that the client reports for a write, given the
// store's own error and the injected fault.
func expectedError(storeErr error, effect bool, fault error) error {
	if !effect || storeErr == nil {
		return fault
	}
	return storeErr
}

func wantModelErr(t *rapid.T, got, want error) {
	if !errors.Is(got, want) {
		t.Fatalf("error %v, want %v", got, want)
	}
}

func (m *modelTest) drawVersion(t *rapid.T, key string) int64 {
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		return rapid.Int64Range(0, m.lastVersion+1).Draw(t, "version")
	}
	return m.keys[key].version
}

func (m *modelTest) put(t *rapid.T) {
	key := drawnKeys.Draw(t, "key")
	expected, value, lease := m.drawVersion(t, key), rapid.String().Draw(t, "value"), ""
	var storeErr error
	switch rapid.IntRange(0, 5).Draw(t, "lease") {
	case 0:
		lease, storeErr = "unknown", infrastructure.ErrNotFound
	case 1:
		if len(m.leases) > 0 {
			lease = m.leases[0]
		}
	}
	if expected != m.keys[key].version {
		storeErr = infrastructure.ErrConflict
	}
	effect, fault := m.injectFault(t)
	version, err := m.client.Put(t.Context(), key, []byte(value), expected, lease)
	wantModelErr(t, err, expectedError(storeErr, effect, fault))
	if !effect || storeErr != nil {
		return
	}
	if err != nil {
		kv, err := m.client.Get(t.Context(), key)
		wantModelErr(t, err, nil)
		version = kv.Version
	}
	if version <= m.lastVersion {
		t.Fatalf("version %d after %d", version, m.lastVersion)
	}
	m.lastVersion = version
	m.keys[key] = modelKey{version, value, lease}
}

func (m *modelTest) delete(t *rapid.T) {
	key := drawnKeys.Draw(t, "key")
	expected := m.drawVersion(t, key)
	var storeErr error
	if current, ok := m.keys[key]; !ok {
		storeErr = infrastructure.ErrNotFound
	} else if current.version != expected {
		storeErr = infrastructure.ErrConflict
	}
	effect, fault := m.injectFault(t)
	wantModelErr(t, m.client.Delete(t.Context(), key, expected), expectedError(storeErr, effect, fault))
	if effect && storeErr == nil {
		delete(m.keys, key)
	}
}

func (m *modelTest) grant(t *rapid.T) {
	m.platform.SetFaults(PlatformFaults{})
	id, err := m.client.GrantLease(t.Context(), time.Hour)
	wantModelErr(t, err, nil)
	m.leases = append(m.leases, id)
}

func (m *modelTest) revoke(t *rapid.T) {
	if len(m.leases) == 0 {
		t.Skip("no lease")
	}
	effect, fault := m.injectFault(t)
	id := m.leases[0]
	wantModelErr(t, m.client.RevokeLease(t.Context(), id), fault)
	if !effect {
		return
	}
	m.leases = m.leases[1:]
	wantModelErr(t, m.client.KeepAlive(t.Context(), id), infrastructure.ErrNotFound)
	maps.DeleteFunc(m.keys, func(_ string, k modelKey) bool { return k.lease == id })
}

func (m *modelTest) watch(t *rapid.T) {
	result, err := m.client.Watch(t.Context(), "", m.cursor, 0)
	wantModelErr(t, err, nil)
	if result.Next < m.cursor {
		t.Fatalf("watch went back from %d to %d", m.cursor, result.Next)
	}
	m.cursor = result.Next
	for _, kv := range result.Changed {
		m.watched[kv.Key] = kv.Version
	}
	for _, key := range result.Deleted {
		delete(m.watched, key)
	}
	want := map[string]int64{}
	for key, k := range m.keys {
		want[key] = k.version
	}
	if !maps.Equal(m.watched, want) {
		t.Fatalf("the watch shows %v, want %v", m.watched, want)
	}
}

func (m *modelTest) list(t *rapid.T) {
	prefix := rapid.SampledFrom([]string{"", "a/", "a/1", "c/"}).Draw(t, "prefix")
	after := rapid.SampledFrom([]string{"", "a/1", "a/2"}).Draw(t, "after")
	limit := rapid.IntRange(1, 4).Draw(t, "limit")
	items, err := m.client.List(t.Context(), prefix, after, limit)
	wantModelErr(t, err, nil)
	want := []string{}
	for _, key := range slices.Sorted(maps.Keys(m.keys)) {
		if strings.HasPrefix(key, prefix) && key > after && len(want) < limit {
			want = append(want, fmt.Sprint(key, m.keys[key].version, m.keys[key].value))
		}
	}
	got := []string{}
	for _, kv := range items {
		got = append(got, fmt.Sprint(kv.Key, kv.Version, string(kv.Value)))
	}
	if !slices.Equal(got, want) {
		t.Fatalf("list %q, want %q", got, want)
	}
}

func (m *modelTest) get(t *rapid.T) {
	key := drawnKeys.Draw(t, "key")
	kv, err := m.client.Get(t.Context(), key)
	want, ok := m.keys[key]
	if !ok {
		wantModelErr(t, err, infrastructure.ErrNotFound)
		return
	}
	wantModelErr(t, err, nil)
	if kv.Key != key || kv.Version != want.version || string(kv.Value) != want.value {
		t.Fatalf("%s is %+v, want %+v", key, kv, want)
	}
}

// check compares the whole store with the model after every step.
func (m *modelTest) check(t *rapid.T) {
	items, err := m.client.List(t.Context(), "", "", 0)
	wantModelErr(t, err, nil)
	got := map[string]modelKey{}
	for _, kv := range items {
		got[kv.Key] = modelKey{kv.Version, string(kv.Value), m.keys[kv.Key].lease}
	}
	if !maps.Equal(got, m.keys) {
		t.Fatalf("store holds %+v, want %+v", got, m.keys)
	}
}

// Guards against a store or a client that deviates from a plain map under lost
// responses, dropped calls and leases.
func TestStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlatform(PlatformOptions{})
		if err := p.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		m := &modelTest{
			platform: p, client: httpclient.NewClient(httpclient.ClientOptions{BaseURL: p.Addr()}),
			keys: map[string]modelKey{}, watched: map[string]int64{},
		}
		defer func() {
			m.client.CloseIdleConnections()
			_ = p.Close()
		}()
		t.Repeat(map[string]func(*rapid.T){
			"put": m.put, "put again": m.put, "get": m.get, "delete": m.delete, "grant": m.grant, "revoke": m.revoke,
			"watch": m.watch, "list": m.list, "": m.check,
		})
	})
}
