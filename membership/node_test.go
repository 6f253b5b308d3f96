package membership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/rendezvous"
	"dotterelhead.example/dotterelhead/replica"
)

// memoryPlatform is a store and a list of VMs in memory. The list stays
// available when the store is down.
type memoryPlatform struct {
	infrastructure.Store
	mu      sync.Mutex
	down    bool
	keys    map[string]infrastructure.KeyValue
	version int64
	list    []infrastructure.VM
	nodes   map[string]*Node
	// calls counts the exchanges by address.
	calls map[string]int
	// copies counts the documents sent between nodes.
	copies int
}

func (m *memoryPlatform) Get(_ context.Context, key string) (infrastructure.KeyValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.keys[key]
	switch {
	case m.down:
		return kv, infrastructure.ErrUnavailable
	case !ok:
		return kv, infrastructure.ErrNotFound
	}
	return kv, nil
}

func (m *memoryPlatform) Put(_ context.Context, key string, value []byte, expected int64, _ string) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down:
		return 0, infrastructure.ErrUnavailable
	case m.keys[key].Version != expected:
		return 0, infrastructure.ErrConflict
	}
	m.version++
	m.keys[key] = infrastructure.KeyValue{Key: key, Version: m.version, Value: value}
	return m.version, nil
}

// Watch polls at shorter intervals than an exchange takes, so that watchers
// learn of a change before it arrives from its writer.
func (m *memoryPlatform) Watch(ctx context.Context, key string, after int64, wait time.Duration) (infrastructure.WatchResult, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, time.Millisecond/2) {
		kv, err := m.Get(ctx, key)
		if err == nil && kv.Version > after {
			return infrastructure.WatchResult{Changed: []infrastructure.KeyValue{kv}}, nil
		}
		if errors.Is(err, infrastructure.ErrUnavailable) {
			return infrastructure.WatchResult{}, err
		}
	}
	return infrastructure.WatchResult{}, ctx.Err()
}

func (m *memoryPlatform) VMs(context.Context) ([]infrastructure.VM, error) { return m.list, nil }

// link is the connection to one address.
type link struct {
	peer.Peer
	m       *memoryPlatform
	address string
}

func (l link) Exchange(ctx context.Context, request *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	// The latency of a call between two availability zones.
	sleep(ctx, time.Millisecond)
	l.m.mu.Lock()
	n := l.m.nodes[l.address]
	l.m.calls[l.address]++
	l.m.mu.Unlock()
	if n == nil {
		return nil, errors.New("connection refused")
	}
	response, err := n.Exchange(ctx, request)
	l.m.mu.Lock()
	l.m.copies += len(request.Documents) + len(response.Documents)
	l.m.mu.Unlock()
	return response, err
}

// start runs an entry VM until the returned function is called.
func (m *memoryPlatform) start(id, region, host string) (*Node, func()) {
	address := host + ":7000"
	n := NewNode(Options{
		Store: m, Inventory: m, Replica: replica.New(), Region: region, ID: id, Incarnation: id + "1", PeerAddress: address,
		Dial: func(address string) peer.Peer { return link{m: m, address: address} },
	})
	m.mu.Lock()
	m.nodes[address] = n
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = n.Run(ctx) })
	return n, func() { cancel(); running.Wait() }
}

func newMemoryPlatform(t *testing.T) *memoryPlatform {
	m := &memoryPlatform{keys: map[string]infrastructure.KeyValue{}, nodes: map[string]*Node{}, calls: map[string]int{}}
	for _, key := range []string{note.ConfigKey, fleet.DocumentKey("r")} {
		if _, err := m.Put(t.Context(), key, []byte("{}"), 0, ""); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

// Guards against an entry VM without seeds that gets no permit when it starts
// during a store outage, against calls to listed VMs that are not entry VMs, and
// against an entry VM of another region that is kept as an unregistered peer
// forever.
func TestDiscoveryThroughTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryPlatform(t)
		m.list = []infrastructure.VM{
			{ID: "a", Address: "10.0.0.1:8080", EntryVM: true}, {ID: "b", Address: "10.0.0.2", EntryVM: true},
			{ID: "late", Address: "10.0.0.3:8080", EntryVM: true}, {ID: "worker", Address: "10.0.0.4:8080"},
			{ID: "other", Address: "10.0.0.5:8080", EntryVM: true},
		}
		var members []*Node
		for _, e := range [][]string{{"a", "r", "10.0.0.1"}, {"b", "r", "10.0.0.2"}, {"other", "s", "10.0.0.5"}} {
			n, stop := m.start(e[0], e[1], e[2])
			defer stop()
			members = append(members, n)
		}
		// A read that starts at exactly the time of the registration does not
		// admit the process; the next one starts after a watch of 2 s.
		time.Sleep(5 * time.Second)
		m.mu.Lock()
		m.down = true
		m.mu.Unlock()
		late, stop := m.start("late", "r", "10.0.0.3")
		defer stop()
		time.Sleep(2 * time.Second)
		if r, _ := late.Registry(); late.Registered() || r.Size() != 2 || !late.Valid(time.Now()) {
			t.Errorf("late entry VM: registered %v, registry %v, valid %v", late.Registered(), r, late.Valid(time.Now()))
		}
		if live := late.Live(); !slices.Equal(live, []string{"a", "b"}) {
			t.Errorf("late entry VM: live %v", live)
		}
		for i, want := range []int{1, 1, 0} {
			n := members[i]
			n.mu.Lock()
			if len(n.unregisteredPeers) != want {
				t.Errorf("%s has unregistered peers %v, not %d", n.self.ID, n.unregisteredPeers, want)
			}
			n.mu.Unlock()
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.calls["10.0.0.4:7000"] != 0 || m.calls["10.0.0.5:7000"] == 0 {
			t.Errorf("calls %v", m.calls)
		}
	})
}

// Guards against a change that is pushed both by its writer and by the
// watchers, and against one that reaches a member late, whether or not its
// writer is a member of the region.
func TestCopiesOfAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryPlatform(t)
		const size, changes = 8, 20
		var nodes []*Node
		for i := range size {
			n, stop := m.start(fmt.Sprint("e", i), "r", fmt.Sprint("10.0.0.", i))
			defer stop()
			nodes = append(nodes, n)
		}
		time.Sleep(5 * time.Second)
		m.mu.Lock()
		before := m.copies
		m.mu.Unlock()
		for i := range changes {
			kv, _ := m.Get(t.Context(), fleet.DocumentKey("r"))
			version, _ := m.Put(t.Context(), kv.Key, kv.Value, kv.Version, "")
			if i%2 == 0 {
				nodes[i%size].options.Replica.Apply(replica.Document{Key: kv.Key, Version: version, Value: kv.Value})
			}
			time.Sleep(100 * time.Millisecond)
			for _, n := range nodes {
				if held, _ := n.options.Replica.Get(kv.Key); held.Version != version {
					t.Errorf("%s holds version %d 100 ms after %d was written", n.self.ID, held.Version, version)
				}
				// Every member confirms at once.
				n.Trigger()
			}
			time.Sleep(137 * time.Millisecond)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if copies := float64(m.copies-before) / changes; copies > 12 {
			t.Errorf("%.1f copies of a change among %d entry VMs", copies, size)
		} else {
			t.Logf("%.1f copies of a change among %d entry VMs", copies, size)
		}
	})
}

// Guards against a change that does not get past the watchers when its writer
// dies after it has pushed to them only.
func TestWriterDiesWhilePushing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryPlatform(t)
		nodes := map[string]*Node{}
		for _, id := range []string{"e0", "e1", "e2", "e3", "e4"} {
			n, stop := m.start(id, "r", "10.0.0."+id)
			defer stop()
			nodes[id] = n
		}
		time.Sleep(5 * time.Second)
		kv, _ := m.Get(t.Context(), fleet.DocumentKey("r"))
		pushed := &peer.Document{Key: kv.Key, Version: m.version + 1, Value: kv.Value}
		for _, id := range rendezvous.Order("watch", nodes["e0"].Live())[:watchers] {
			nodes[id].applyDocuments([]*peer.Document{pushed})
		}
		if _, err := m.Put(t.Context(), kv.Key, kv.Value, kv.Version, ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(exchangeInterval + 100*time.Millisecond)
		for id, n := range nodes {
			if held, _ := n.options.Replica.Get(kv.Key); held.Version != pushed.Version {
				t.Errorf("%s holds version %d, not %d", id, held.Version, pushed.Version)
			}
		}
	})
}
