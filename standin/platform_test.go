package standin

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

func startPlatform(t *testing.T, o PlatformOptions) (*Platform, *httpclient.Client) {
	t.Helper()
	p := NewPlatform(o)
	if err := p.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	c := httpclient.NewClient(httpclient.ClientOptions{BaseURL: p.Addr(), Entry: "entry-1", Timeout: 5 * time.Second})
	t.Cleanup(func() {
		c.CloseIdleConnections()
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p, c
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("error %v, want %v", got, want)
	}
}

// Guards against writes that ignore the expected version, and against keys that
// are altered by the URL encoding.
func TestCompareAndSwap(t *testing.T) {
	_, c := startPlatform(t, PlatformOptions{})
	ctx := t.Context()
	for _, key := range []string{"notes/current", "claims/eu/03/0000000001", "a//b", ".", "odd key %2F?&ü"} {
		_, err := c.Get(ctx, key)
		wantErr(t, err, infrastructure.ErrNotFound)
		v1, err := c.Put(ctx, key, []byte("one"), 0, "")
		wantErr(t, err, nil)
		_, err = c.Put(ctx, key, []byte("two"), 0, "")
		wantErr(t, err, infrastructure.ErrConflict)
		v2, err := c.Put(ctx, key, []byte("two"), v1, "")
		wantErr(t, err, nil)
		kv, err := c.Get(ctx, key)
		wantErr(t, err, nil)
		if kv.Key != key || kv.Version != v2 || v2 <= v1 || string(kv.Value) != "two" {
			t.Fatalf("got %+v after versions %d and %d", kv, v1, v2)
		}
		wantErr(t, c.Delete(ctx, key, v1), infrastructure.ErrConflict)
		wantErr(t, c.Delete(ctx, key, v2), nil)
		wantErr(t, c.Delete(ctx, key, v2), infrastructure.ErrNotFound)
	}
}

// Guards against a lost response that the client reports as having had no effect,
// and against a dropped call that takes effect.
func TestLostAndDroppedWrites(t *testing.T) {
	p, c := startPlatform(t, PlatformOptions{Faults: PlatformFaults{LoseNext: 1}})
	ctx := t.Context()
	_, err := c.Put(ctx, "k", []byte("one"), 0, "")
	wantErr(t, err, infrastructure.ErrOutcomeUnknown)
	kv, err := c.Get(ctx, "k")
	wantErr(t, err, nil)
	if string(kv.Value) != "one" {
		t.Fatalf("lost write left %q", kv.Value)
	}
	p.SetFaults(PlatformFaults{DropNext: 1})
	_, err = c.Put(ctx, "k", []byte("two"), kv.Version, "")
	wantErr(t, err, infrastructure.ErrOutcomeUnknown)
	p.SetFaults(PlatformFaults{LoseNext: 1})
	// A response that reports a failure is not lost.
	_, err = c.Put(ctx, "k", []byte("two"), kv.Version+7, "")
	wantErr(t, err, infrastructure.ErrConflict)
	wantErr(t, c.Delete(ctx, "k", kv.Version), infrastructure.ErrOutcomeUnknown)
	_, err = c.Get(ctx, "k")
	wantErr(t, err, infrastructure.ErrNotFound)
	if n := p.Counts()["put"]; n != 3 {
		t.Fatalf("%d puts counted, want 3", n)
	}
}

// Guards against an outage in which calls take effect, and against one that
// affects other callers than those it is limited to.
func TestOutage(t *testing.T) {
	p, c := startPlatform(t, PlatformOptions{})
	other := httpclient.NewClient(httpclient.ClientOptions{BaseURL: p.Addr(), Entry: "entry-2", Timeout: 300 * time.Millisecond})
	defer other.CloseIdleConnections()
	ctx := t.Context()
	put := func(c *httpclient.Client) error { _, err := c.Put(ctx, "k", nil, 0, ""); return err }

	p.SetFaults(PlatformFaults{Down: true})
	wantErr(t, put(c), infrastructure.ErrUnavailable)
	_, err := c.VMs(ctx)
	wantErr(t, err, infrastructure.ErrUnavailable)
	p.SetFaults(PlatformFaults{Down: true, DownCalls: []string{"store"}})
	wantErr(t, put(c), infrastructure.ErrUnavailable)
	_, err = c.VMs(ctx)
	wantErr(t, err, nil)
	for _, mode := range []DownMode{DownClose, DownSilent} {
		p.SetFaults(PlatformFaults{DownEntries: []string{"entry-2"}, DownMode: mode})
		wantErr(t, put(other), infrastructure.ErrOutcomeUnknown)
		_, err = other.Get(ctx, "k")
		wantErr(t, err, infrastructure.ErrUnavailable)
		_, err = c.Get(ctx, "k")
		wantErr(t, err, infrastructure.ErrNotFound)
	}
	p.SetFaults(PlatformFaults{DownEntries: []string{"entry-2"}})
	wantErr(t, put(c), nil)
}

// Guards against a client that runs into a timeout on each idle connection after
// all of them have been silenced at once.
func TestSilentStoreConnections(t *testing.T) {
	p, _ := startPlatform(t, PlatformOptions{Faults: PlatformFaults{DelaySeconds: 0.05}})
	c := httpclient.NewClient(httpclient.ClientOptions{BaseURL: p.Addr(), Timeout: time.Second})
	defer c.CloseIdleConnections()
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() { _, _ = c.VMs(t.Context()) })
	}
	calls.Wait()
	p.SetFaults(PlatformFaults{})
	if n := p.Silence(); n < 2 {
		t.Fatalf("%d connections silenced, want several", n)
	}
	_, err := c.Put(t.Context(), "k", nil, 0, "")
	wantErr(t, err, infrastructure.ErrOutcomeUnknown)
	_, err = c.Put(t.Context(), "k", nil, 0, "")
	wantErr(t, err, nil)
}

// Guards against a watch that misses a change or a removal, and against one that
// keeps waiting during an outage.
func TestWatch(t *testing.T) {
	p, c := startPlatform(t, PlatformOptions{})
	ctx := t.Context()
	v, err := c.Put(ctx, "a/1", []byte("x"), 0, "")
	wantErr(t, err, nil)
	first, err := c.Watch(ctx, "a/", 0, time.Minute)
	wantErr(t, err, nil)
	if len(first.Changed) != 1 || first.Changed[0].Version != v || first.Next != v {
		t.Fatalf("first watch %+v", first)
	}
	type outcome struct {
		r   infrastructure.WatchResult
		err error
	}
	watch := func(after int64) chan outcome {
		done := make(chan outcome, 1)
		before := p.Counts()["watch"]
		go func() {
			r, err := c.Watch(ctx, "a/", after, time.Minute)
			done <- outcome{r, err}
		}()
		for p.Counts()["watch"] == before {
			time.Sleep(time.Millisecond)
		}
		return done
	}
	waiting := watch(first.Next)
	_, err = c.Put(ctx, "b/1", nil, 0, "")
	wantErr(t, err, nil)
	wantErr(t, c.Delete(ctx, "a/1", v), nil)
	got := <-waiting
	wantErr(t, got.err, nil)
	if len(got.r.Changed) != 0 || len(got.r.Deleted) != 1 || got.r.Deleted[0] != "a/1" {
		t.Fatalf("watch after removal %+v", got.r)
	}
	waiting = watch(got.r.Next)
	p.SetFaults(PlatformFaults{Down: true})
	wantErr(t, (<-waiting).err, infrastructure.ErrUnavailable)
	p.SetFaults(PlatformFaults{})
	empty, err := c.Watch(ctx, "a/", got.r.Next, 10*time.Millisecond)
	wantErr(t, err, nil)
	if len(empty.Changed)+len(empty.Deleted) != 0 || empty.Next < got.r.Next {
		t.Fatalf("watch without change %+v", empty)
	}
}

// Guards against keys that outlive their lease, and against a holder that can keep
// its lease alive or write under it after it has expired.
func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		defer s.close()
		id := s.grant(5 * time.Second)
		if _, err := s.put("role", []byte("holder"), 0, id); err != nil {
			t.Fatal(err)
		}
		kept, err := s.put("kept", nil, 0, id)
		wantErr(t, err, nil)
		_, err = s.put("kept", nil, kept, "")
		wantErr(t, err, nil)
		for range 3 {
			time.Sleep(4 * time.Second)
			wantErr(t, s.keepAlive(id), nil)
		}
		before, _ := s.changes("role", 0)
		result := s.watch(t.Context(), "role", before.Next, time.Minute, nil)
		if len(result.Deleted) != 1 {
			t.Fatalf("watch %+v, want the removal of the key of the lease", result)
		}
		wantErr(t, s.keepAlive(id), infrastructure.ErrNotFound)
		_, err = s.put("role", nil, 0, id)
		wantErr(t, err, infrastructure.ErrNotFound)
		_, err = s.get("kept")
		wantErr(t, err, nil)
	})
}

// Guards against lease calls that do not reach the store over HTTP.
func TestLeasesOverHTTP(t *testing.T) {
	p, c := startPlatform(t, PlatformOptions{})
	ctx := t.Context()
	for _, end := range []func(id string) error{
		func(id string) error { return c.RevokeLease(ctx, id) },
		func(string) error { p.ExpireLeases(); return nil },
	} {
		id, err := c.GrantLease(ctx, time.Minute)
		wantErr(t, err, nil)
		_, err = c.Put(ctx, "role", nil, 0, id)
		wantErr(t, err, nil)
		wantErr(t, c.KeepAlive(ctx, id), nil)
		wantErr(t, end(id), nil)
		wantErr(t, c.KeepAlive(ctx, id), infrastructure.ErrNotFound)
		_, err = c.Get(ctx, "role")
		wantErr(t, err, infrastructure.ErrNotFound)
	}
}

func idsAndStates(vms []infrastructure.VM) string {
	var out []string
	for _, vm := range vms {
		out = append(out, vm.ID+":"+string(vm.State))
	}
	return strings.Join(out, " ")
}

// Guards against a list that ignores the configured lag, and against a lag in the
// lookup of a single VM.
func TestLaggingList(t *testing.T) {
	p, c := startPlatform(t, PlatformOptions{VMs: []infrastructure.VM{{ID: "a"}, {ID: "b"}}})
	ctx := t.Context()
	list := func(lag float64) string {
		p.SetFaults(PlatformFaults{ListLagSeconds: lag})
		vms, err := c.VMs(ctx)
		wantErr(t, err, nil)
		return idsAndStates(vms)
	}
	wantErr(t, c.Drain(ctx, "a", infrastructure.Operation{ID: "op", ExpectedBoot: 1}), nil)
	p.Remove("b")
	p.Register(infrastructure.VM{ID: "c"})
	if got, want := list(60), "a:live b:live"; got != want {
		t.Fatalf("lagging list %q, want %q", got, want)
	}
	if got, want := list(0), "a:leaving c:live"; got != want {
		t.Fatalf("list %q, want %q", got, want)
	}
	vm, err := c.VM(ctx, "a")
	if err != nil || vm.State != infrastructure.VMLeaving {
		t.Fatalf("VM %+v, error %v", vm, err)
	}
	_, err = c.VM(ctx, "b")
	wantErr(t, err, infrastructure.ErrNotFound)
}

// Guards against a misspelt fault name that is silently ignored.
func TestAdminAPI(t *testing.T) {
	p, _ := startPlatform(t, PlatformOptions{})
	send := func(method, path, body string) int {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, r)
		return w.Code
	}
	if code := send("PUT", "/standin/faults", `{"lose_next":2,"down_entries":["e"]}`); code != 200 {
		t.Fatalf("status %d", code)
	}
	if code := send("PATCH", "/standin/faults", `{"delay_seconds":0.5}`); code != 200 {
		t.Fatalf("status %d", code)
	}
	if f := p.Faults(); f.LoseNext != 2 || f.DelaySeconds != 0.5 || len(f.DownEntries) != 1 {
		t.Fatalf("faults %+v", f)
	}
	if code := send("PATCH", "/standin/faults", `{"loose_next":2}`); code != 400 {
		t.Fatalf("misspelt fault got status %d", code)
	}
	if send("POST", "/standin/vms", `{"id":"a"}`) != 200 || send("DELETE", "/standin/vms/a", "") != 200 || send("DELETE", "/standin/vms/a", "") != 404 {
		t.Fatal("VMs cannot be registered and removed")
	}
}
