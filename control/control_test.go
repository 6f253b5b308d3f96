package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/membership"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/replica"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform is a platform in memory.
type fakePlatform struct {
	mu              sync.Mutex
	down            bool
	loseAnswerEvery int
	version         int64
	keys            map[string]infrastructure.KeyValue
	leases          map[string]time.Time
	leaseByKey      map[string]string
	changed         chan struct{}
	vms             map[string]*infrastructure.VM
	reboots         int
	// late is an entry VM that only TestStoreOutage starts.
	late *entryVM
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		keys: map[string]infrastructure.KeyValue{}, leases: map[string]time.Time{}, leaseByKey: map[string]string{},
		changed: make(chan struct{}), vms: map[string]*infrastructure.VM{},
	}
}

func (f *fakePlatform) withLock(fn func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return infrastructure.ErrUnavailable
	}
	for key, lease := range f.leaseByKey {
		if time.Now().After(f.leases[lease]) {
			delete(f.keys, key)
			delete(f.leaseByKey, key)
		}
	}
	return fn()
}

func (f *fakePlatform) Get(_ context.Context, key string) (kv infrastructure.KeyValue, err error) {
	err = f.withLock(func() error {
		var ok bool
		if kv, ok = f.keys[key]; !ok {
			return infrastructure.ErrNotFound
		}
		return nil
	})
	return kv, err
}

func (f *fakePlatform) Put(_ context.Context, key string, value []byte, expected int64, lease string) (version int64, err error) {
	err = f.withLock(func() error {
		if f.keys[key].Version != expected {
			return infrastructure.ErrConflict
		}
		f.version++
		version = f.version
		f.keys[key] = infrastructure.KeyValue{Key: key, Version: version, Value: value}
		if lease != "" {
			f.leaseByKey[key] = lease
		}
		close(f.changed)
		f.changed = make(chan struct{})
		if f.loseAnswerEvery > 0 && f.version%int64(f.loseAnswerEvery) == 0 {
			return infrastructure.ErrOutcomeUnknown
		}
		return nil
	})
	return version, err
}

func (f *fakePlatform) Watch(ctx context.Context, key string, after int64, wait time.Duration) (infrastructure.WatchResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		kv, err := f.Get(ctx, key)
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		switch {
		case err == nil && kv.Version > after:
			return infrastructure.WatchResult{Changed: []infrastructure.KeyValue{kv}}, nil
		case errors.Is(err, infrastructure.ErrUnavailable):
			return infrastructure.WatchResult{}, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return infrastructure.WatchResult{}, nil
		case <-ctx.Done():
			return infrastructure.WatchResult{}, ctx.Err()
		}
	}
}

func (f *fakePlatform) List(context.Context, string, string, int) ([]infrastructure.KeyValue, error) {
	return nil, nil
}
func (f *fakePlatform) Delete(context.Context, string, int64) error { return nil }

func (f *fakePlatform) GrantLease(_ context.Context, ttl time.Duration) (id string, err error) {
	err = f.withLock(func() error {
		id = fmt.Sprint("lease", len(f.leases))
		f.leases[id] = time.Now().Add(ttl)
		return nil
	})
	return id, err
}

func (f *fakePlatform) KeepAlive(_ context.Context, id string) error {
	return f.withLock(func() error {
		if time.Now().After(f.leases[id]) {
			return infrastructure.ErrNotFound
		}
		f.leases[id] = time.Now().Add(leaseTTL)
		return nil
	})
}

func (f *fakePlatform) RevokeLease(_ context.Context, id string) error {
	return f.withLock(func() error { f.leases[id] = time.Time{}; return nil })
}

func (f *fakePlatform) VMs(context.Context) (out []infrastructure.VM, err error) {
	err = f.withLock(func() error {
		for _, vm := range f.vms {
			out = append(out, *vm)
		}
		return nil
	})
	return out, err
}

func (f *fakePlatform) VM(_ context.Context, id string) (vm infrastructure.VM, err error) {
	err = f.withLock(func() error {
		if f.vms[id] == nil {
			return infrastructure.ErrNotFound
		}
		vm = *f.vms[id]
		return nil
	})
	return vm, err
}

func (f *fakePlatform) Drain(context.Context, string, infrastructure.Operation) error { return nil }

// Reboot takes effect, but its answer is always lost.
func (f *fakePlatform) Reboot(_ context.Context, id string, op infrastructure.Operation) error {
	return f.withLock(func() error {
		if vm := f.vms[id]; vm.BootCount == op.ExpectedBoot {
			vm.BootCount++
			f.reboots++
		}
		return infrastructure.ErrOutcomeUnknown
	})
}

// entryVM is one entry VM with its membership and controller.
type entryVM struct {
	peer.Peer
	*fakePlatform
	node       *membership.Node
	controller *Controller
	replica    *replica.Replica
	dead       atomic.Bool
	// reads counts the controller's reads by key.
	reads  map[string]int
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func (e *entryVM) Exchange(ctx context.Context, request *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	if e.dead.Load() {
		return nil, errors.New("connection refused")
	}
	return e.node.Exchange(ctx, request)
}

// RevokeLease fails for a killed process, which cannot revoke its lease.
func (e *entryVM) RevokeLease(ctx context.Context, id string) error {
	if e.dead.Load() {
		return infrastructure.ErrUnavailable
	}
	return e.fakePlatform.RevokeLease(ctx, id)
}

// Get counts the controller's reads. The node calls the platform directly, so
// its reads are not counted.
func (e *entryVM) Get(ctx context.Context, key string) (infrastructure.KeyValue, error) {
	e.mu.Lock()
	if e.reads == nil {
		e.reads = map[string]int{}
	}
	e.reads[key]++
	e.mu.Unlock()
	return e.fakePlatform.Get(ctx, key)
}

func (e *entryVM) readCount(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reads[key]
}

func (e *entryVM) fleet() fleet.Document {
	doc, _ := e.replica.Get(fleet.DocumentKey("r"))
	d, _ := fleet.Decode(doc.Value)
	return d
}

// Plan moves v1 from pool p to pool q.
func (e *entryVM) Plan(_ time.Time, s capacity.Snapshot) []capacity.Move {
	for _, vm := range s.VMs {
		if vm.ID == "v1" && vm.Pool == "p" {
			return []capacity.Move{{VM: "v1", From: "p", To: "q"}}
		}
	}
	return nil
}

func (e *entryVM) released() []*peer.ReleasedVM {
	var out []*peer.ReleasedVM
	for _, vm := range e.fleet().VMs {
		if vm.Phase != fleet.Serving {
			out = append(out, &peer.ReleasedVM{Vm: vm.ID, Generation: vm.Generation})
		}
	}
	return out
}

func (e *entryVM) build(entries map[string]*entryVM, id string) {
	f := e.fakePlatform
	e.node = membership.NewNode(membership.Options{
		Store: f, Inventory: f, Replica: e.replica, Region: "r", ID: id, Incarnation: id + "1", PeerAddress: id, Seeds: []string{"a", "b", "c"},
		Dial: func(address string) peer.Peer {
			if address == "late" {
				return f.late
			}
			return entries[address]
		},
		Released: e.released, OnConfirmed: func() { e.controller.Trigger() },
	})
	e.controller = New(Options{
		Store: e, Inventory: f, VMs: f, Replica: e.replica, Members: e.node, Region: "r",
		ID: id, Incarnation: id + "1", Capacity: e,
	})
}

func (e *entryVM) start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.wait.Go(func() { _ = e.node.Run(ctx) })
	e.wait.Go(func() { _ = e.controller.Run(ctx) })
}

func startRegion(loseAnswerEvery int) (*fakePlatform, map[string]*entryVM) {
	f := newFakePlatform()
	f.loseAnswerEvery = loseAnswerEvery
	config := note.Config{Revision: 1, Pools: []note.Pool{{Name: "p", VMs: []string{"v1", "v2", "v3"}}, {Name: "q", VMs: []string{"v4"}}}}
	for _, p := range config.Pools {
		config.Services = append(config.Services, note.Service{Name: p.Name, Pool: p.Name, MaxUnavailable: 1})
		for i, id := range p.VMs {
			f.vms[id] = &infrastructure.VM{ID: id, State: infrastructure.VMLive, BootCount: 1, AvailabilityZone: "z", Rack: fmt.Sprint(i)}
		}
	}
	config.Waves = []note.Wave{{Name: "w", Pools: []string{"p", "q"}, MaxConcurrent: 2, LastChangedRevision: 1}}
	_, _ = f.Put(context.Background(), note.ConfigKey, config.Encode(), 0, "")
	entries := map[string]*entryVM{}
	for _, id := range []string{"a", "b", "c"} {
		f.vms[id] = &infrastructure.VM{ID: id, State: infrastructure.VMLive, EntryVM: true}
		entries[id] = &entryVM{fakePlatform: f, replica: replica.New()}
	}
	f.late = &entryVM{fakePlatform: f, replica: replica.New()}
	f.late.build(entries, "late")
	for id, e := range entries {
		e.build(entries, id)
	}
	for _, e := range entries {
		e.start()
	}
	return f, entries
}

func holders(entries map[string]*entryVM) (ids []string) {
	for id, e := range entries {
		if e.controller.Status().Holding {
			ids = append(ids, id)
		}
	}
	return ids
}

func stop(entries map[string]*entryVM) {
	for _, e := range entries {
		e.cancel()
		e.wait.Wait()
	}
}

// Guards against moves and waves that never finish when answers to store writes
// and reboots are lost, against more than one reboot of a VM, and against a
// registry record that remains after an entry VM has left.
func TestMoveAndWaveEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, entries := startRegion(3)
		defer stop(entries)
		time.Sleep(90 * time.Second)
		for id, e := range entries {
			d := e.fleet()
			if len(d.VMs) != 4 || d.VMs[0].Pool != "q" || len(d.Waves) != 1 || !d.Waves[0].Finished {
				t.Errorf("%s holds %s", id, d.Encode())
			}
			if !e.node.Valid(time.Now()) || len(e.node.Live()) != 3 {
				t.Errorf("%s: valid %v, live %v", id, e.node.Valid(time.Now()), e.node.Live())
			}
		}
		if f.reboots != 4 {
			t.Errorf("%d reboots for 4 VMs", f.reboots)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := entries["b"].node.Leave(ctx); err != nil || entries["b"].node.Valid(time.Now()) {
			t.Errorf("leave: %v", err)
		}
		time.Sleep(2 * time.Second)
		if r, _ := entries["a"].node.Registry(); r.Size() != 2 || len(entries["a"].node.Live()) != 2 {
			t.Errorf("registry %v, live %v", r, entries["a"].node.Live())
		}
	})
}

// Guards against a control role that stays with a dead entry VM for more than
// 6 s, against a leaving VM that is taken out of service later than 2 s after
// the platform lists it as leaving, and against a move that never ends although
// a fence can replace the missing confirmation.
func TestHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, entries := startRegion(0)
		defer stop(entries)
		time.Sleep(3 * time.Second)
		held := holders(entries)
		if len(held) != 1 {
			t.Fatalf("holders %v", held)
		}
		dead := entries[held[0]]
		dead.dead.Store(true)
		dead.cancel()
		dead.wait.Wait()
		time.Sleep(6 * time.Second)
		if now := holders(entries); len(now) != 1 || now[0] == held[0] {
			t.Fatalf("holders %v after %v died", now, held)
		}
		f.mu.Lock()
		f.vms["v4"].State = infrastructure.VMLeaving
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		alive := entries[holders(entries)[0]]
		if vm := alive.fleet().VMs[3]; vm.Phase == fleet.Serving {
			t.Errorf("leaving VM is %s", vm.Phase)
		}
		time.Sleep(time.Minute)
		if vm := alive.fleet().VMs[0]; vm.Pool != "q" || f.reboots == 0 {
			t.Errorf("v1 is %s in %s after %d reboots", vm.Phase, vm.Pool, f.reboots)
		}
	})
}

// Guards against permits that expire during a store outage, against an entry VM
// that starts during the outage and learns nothing from its peers, and against
// transitions that start during the outage or within PermitTTL after it.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, entries := startRegion(0)
		defer stop(entries)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.down = true
		f.mu.Unlock()
		before := string(entries["a"].fleet().Encode())
		late := f.late
		late.start()
		defer func() { late.cancel(); late.wait.Wait() }()
		time.Sleep(2 * time.Second)
		if late.node.Registered() || !late.node.Valid(time.Now()) || len(late.fleet().VMs) != 4 {
			t.Errorf("late entry VM: valid %v, holds %s", late.node.Valid(time.Now()), late.fleet().Encode())
		}
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for id, e := range entries {
				if !e.node.Valid(time.Now()) {
					t.Fatalf("%s may not send during the outage", id)
				}
			}
		}
		f.mu.Lock()
		f.down = false
		f.mu.Unlock()
		// Exactly PermitTTL after the outage a transition may start, before or after
		// this check, so the check comes 1 ms earlier.
		time.Sleep(membership.PermitTTL - time.Millisecond)
		if after := string(entries["a"].fleet().Encode()); after != before || len(entries["a"].fleet().VMs) != 4 {
			t.Errorf("fleet changed from %s to %s", before, after)
		}
	})
}

// Guards against a holder that reads the fleet document each second, against one
// that stops reading the registry, and against one that keeps using its copy of
// the document after another holder has written it.
func TestHolderReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, entries := startRegion(0)
		defer stop(entries)
		time.Sleep(90 * time.Second)
		held := holders(entries)
		if len(held) != 1 {
			t.Fatalf("holders %v", held)
		}
		e := entries[held[0]]
		documents, registries := e.readCount(fleet.DocumentKey("r")), e.readCount(membership.RegistryKey("r"))
		time.Sleep(time.Minute)
		documents, registries = e.readCount(fleet.DocumentKey("r"))-documents, e.readCount(membership.RegistryKey("r"))-registries
		t.Logf("in 60 s: %d reads of the fleet document, %d of the registry", documents, registries)
		if documents > 0 || registries < 59 {
			t.Errorf("%d reads of the fleet document and %d of the registry in 60 s", documents, registries)
		}
		kv, _ := f.Get(t.Context(), fleet.DocumentKey("r"))
		d, _ := fleet.Decode(kv.Value)
		d.Term++
		if _, err := f.Put(t.Context(), kv.Key, d.Encode(), kv.Version, ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if now := holders(entries); len(now) != 1 || entries[now[0]].controller.Status().Term != d.Term+1 {
			t.Errorf("holders %v after a write of term %d", now, d.Term)
		}
	})
}

// Guards against a drain or reboot based on a copy of the fleet document that
// another holder has replaced in the store.
func TestConfirmVersion(t *testing.T) {
	f := newFakePlatform()
	h := &holder{controller: New(Options{Store: f, Replica: replica.New(), Region: "r"}), succeeded: map[string]time.Time{}}
	version, _ := f.Put(t.Context(), fleet.DocumentKey("r"), fleet.Document{Term: 1}.Encode(), 0, "")
	reboot := fleet.Action{Kind: fleet.ActionReboot, Operation: infrastructure.Operation{ID: "o"}}
	if err := h.confirmVersion(t.Context(), version); err != nil || !h.hasPendingCalls([]fleet.Action{reboot}) {
		t.Errorf("current copy: %v, pending calls %v", err, h.hasPendingCalls([]fleet.Action{reboot}))
	}
	_, _ = f.Put(t.Context(), fleet.DocumentKey("r"), fleet.Document{Term: 2}.Encode(), version, "")
	if err := h.confirmVersion(t.Context(), version); !errors.Is(err, infrastructure.ErrConflict) {
		t.Errorf("replaced copy: %v", err)
	}
}

type casInput struct {
	expected, written string
}

type casOutput struct {
	read    string
	known   bool
	unknown bool
}

// Guards against a holder that considers a write done that did not take effect,
// or the reverse, when answers are lost and two other holders write as well.
func TestWritesAreLinearizable(t *testing.T) {
	f := newFakePlatform()
	f.loseAnswerEvery = 3
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, in casInput, call time.Time, out casOutput) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.UnixNano(), Return: time.Now().UnixNano()})
	}
	var clients sync.WaitGroup
	for client := range 3 {
		clients.Go(func() {
			node := membership.NewNode(membership.Options{Replica: replica.New(), Region: "r"})
			h := &holder{controller: New(Options{Store: f, Replica: replica.New(), Members: node, Region: "r"})}
			for i := range 30 {
				call := time.Now()
				value, version, _ := h.read(t.Context(), fleet.DocumentKey("r"))
				record(client, casInput{}, call, casOutput{read: string(value)})
				next := fleet.Document{Term: int64(client*100 + i + 1)}
				call = time.Now()
				err := h.write(t.Context(), next, version)
				out := casOutput{known: err == nil, unknown: errors.Is(err, errOutcomeUnknown)}
				record(client, casInput{expected: string(value), written: string(next.Encode())}, call, out)
			}
		})
	}
	clients.Wait()
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			in, out := input.(casInput), output.(casOutput)
			matches := state == in.expected
			switch {
			case in.written == "" && state == out.read:
				return []any{state}
			case in.written == "":
				return nil
			case out.unknown && matches:
				return []any{state, in.written}
			case out.unknown || (!out.known && !matches):
				return []any{state}
			case out.known && matches:
				return []any{in.written}
			}
			return nil
		},
	}
	if !porcupine.CheckOperations(model.ToModel(), history) {
		t.Error("the history of reads and writes is not linearizable")
	}
}
