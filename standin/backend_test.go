package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/infrastructure"
)

func startBackend(t *testing.T, o BackendOptions) *Backend {
	t.Helper()
	if o.ID == "" {
		o.ID = "w1"
	}
	o.RebootDuration = 20 * time.Millisecond
	b := NewBackend(o)
	if err := b.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close() })
	return b
}

// testConn is an HTTP connection that the test reads and writes directly.
type testConn struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, b *Backend) *testConn {
	t.Helper()
	c, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &testConn{Conn: c, r: bufio.NewReader(c)}
}

func (c *testConn) send(t *testing.T, path, id string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: w\r\nX-Request-Id: %s\r\nDotterelhead-Pool: p\r\nDotterelhead-Generation: 3\r\n\r\n", path, id)
	if err != nil {
		t.Fatal(err)
	}
}

func (c *testConn) receive(wait time.Duration) (int, []byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 5 s", what)
		}
	}
}

// Guards against records that lack the pool of the request, and against responses
// that have the wrong size or belong to another request.
func TestBackendAnswersAndRecords(t *testing.T) {
	b := startBackend(t, BackendOptions{})
	var group sync.WaitGroup
	for i := range 4 {
		c := dial(t, b)
		group.Go(func() {
			size := 1000 + 70_000*i
			c.send(t, fmt.Sprintf("/job?work=200ms&bytes=%d", size), fmt.Sprint("r", i))
			_, body, err := c.receive(5 * time.Second)
			var response workResponse
			if err != nil || len(body) != size || json.Unmarshal(body, &response) != nil || response.Request != fmt.Sprint("r", i) || response.Worker != "w1" {
				t.Errorf("response of %d bytes %+v error %v", len(body), response, err)
			}
		})
	}
	group.Wait()
	waitFor(t, "end of requests", func() bool { return b.Stats().Running == 0 })
	seen := map[string]bool{}
	for _, r := range b.Records(0) {
		if r.Pool != "p" || r.Generation != "3" || r.Path != "/job" || r.Incomplete || r.Status != 200 || r.End.Sub(r.Start) < 200*time.Millisecond {
			t.Errorf("record %+v", r)
		}
		seen[r.Execution] = true
	}
	if s := b.Stats(); len(seen) != 4 || s.MaxRunning < 2 || s.MaxRunning > 4 {
		t.Errorf("%d executions, stats %+v", len(seen), s)
	}
}

// Guards against injected faults that the client does not observe.
func TestBackendFaults(t *testing.T) {
	b := startBackend(t, BackendOptions{})
	run := func(f BackendFaults, path string) (int, []byte, error) {
		b.SetFaults(f)
		c := dial(t, b)
		c.send(t, path, "r")
		return c.receive(5 * time.Second)
	}
	if status, _, err := run(BackendFaults{FailNext: 1}, "/?work=1h"); status != 500 || err != nil {
		t.Errorf("fail: status %d error %v", status, err)
	}
	if _, body, err := run(BackendFaults{HalfNext: 1}, "/?bytes=1000"); !errors.Is(err, io.ErrUnexpectedEOF) || len(body) != 500 {
		t.Errorf("half: %d bytes error %v", len(body), err)
	}
	if _, _, err := run(BackendFaults{DropNext: 1}, "/"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("drop: error %v", err)
	}
	start := time.Now()
	if status, _, err := run(BackendFaults{SlowFactor: 10, DelaySeconds: 0.05}, "/?work=5ms"); status != 200 || err != nil || time.Since(start) < 100*time.Millisecond {
		t.Errorf("slow: status %d error %v after %v", status, err, time.Since(start))
	}
	if status, _, _ := run(BackendFaults{HealthFail: true}, "/healthz"); status != 503 {
		t.Errorf("health: status %d", status)
	}
	waitFor(t, "end of requests", func() bool { return b.Stats().Running == 0 })
	if s := b.Stats(); s.Requests != 4 || s.Incomplete != 2 {
		t.Errorf("stats %+v", s)
	}
}

// Guards against a silent connection that still responds or that its peer sees
// closed, and against silenced connections that affect new ones.
func TestSilentConnections(t *testing.T) {
	b := startBackend(t, BackendOptions{})
	idle, busy := dial(t, b), dial(t, b)
	idle.send(t, "/", "r1")
	if _, _, err := idle.receive(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	// The server closes an HTTP/1.0 connection after the response.
	if _, err := io.WriteString(busy, "GET /?work=50ms HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "running request", func() bool { return b.Stats().Requests == 2 })
	if n := b.Silence(); n != 2 {
		t.Fatalf("%d connections silenced, want 2", n)
	}
	idle.send(t, "/", "r3")
	for name, c := range map[string]*testConn{"idle": idle, "busy": busy} {
		var timeout net.Error
		if _, _, err := c.receive(150 * time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("%s connection is not silent: %v", name, err)
		}
	}
	fresh := dial(t, b)
	fresh.send(t, "/healthz", "")
	if status, _, err := fresh.receive(5 * time.Second); status != 200 || err != nil {
		t.Fatalf("new connection got status %d error %v", status, err)
	}
	if n := b.Stats().Requests; n != 2 {
		t.Errorf("%d requests ran, want 2: a request on a silent connection must not arrive", n)
	}
	b.Reboot(infrastructure.Operation{ID: "op", ExpectedBoot: 1})
	if _, _, err := idle.receive(5 * time.Second); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("silent connection outlived the reboot: %v", err)
	}
}

// Guards against a second reboot by a repeated operation, and against a boot count
// that increases while connections of the previous boot are open.
func TestRebootOnce(t *testing.T) {
	p, c := startPlatform(t, PlatformOptions{})
	b := startBackend(t, BackendOptions{Platform: p.Addr(), AvailabilityZone: "z1"})
	ctx := t.Context()
	conn := dial(t, b)
	conn.send(t, "/?work=1m", "r")
	waitFor(t, "running request", func() bool { return b.Stats().Running == 1 })

	op := infrastructure.Operation{ID: "wave-1", ExpectedBoot: 1}
	wantErr(t, c.Drain(ctx, "w1", op), nil)
	p.SetFaults(PlatformFaults{LoseNext: 1})
	wantErr(t, c.Reboot(ctx, "w1", op), infrastructure.ErrOutcomeUnknown)
	wantErr(t, c.Reboot(ctx, "w1", op), nil)
	boot := func() int64 {
		vm, err := c.VM(ctx, "w1")
		wantErr(t, err, nil)
		return vm.BootCount
	}
	waitFor(t, "new boot count", func() bool { return boot() == 2 })
	if s := b.Stats(); s.Running != 0 || s.Incomplete != 1 {
		t.Fatalf("request of the earlier boot still runs: %+v", s)
	}
	if _, _, err := conn.receive(5 * time.Second); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Fatalf("connection of the earlier boot is open: %v", err)
	}
	for _, repeat := range []infrastructure.Operation{op, {ID: "late", ExpectedBoot: 1}, {ID: op.ID, ExpectedBoot: 2}} {
		wantErr(t, c.Reboot(ctx, "w1", repeat), nil)
		wantErr(t, c.Drain(ctx, "w1", repeat), nil)
		if vm, err := c.VM(ctx, "w1"); err != nil || vm.State != infrastructure.VMLive {
			t.Fatalf("platform repeats %+v: %+v error %v", repeat, vm, err)
		}
		if b.Reboot(repeat) {
			t.Fatalf("backend server repeats %+v", repeat)
		}
	}
	wantErr(t, c.Reboot(ctx, "w1", infrastructure.Operation{ID: "early", ExpectedBoot: 9}), infrastructure.ErrConflict)
	wantErr(t, c.Reboot(ctx, "unknown", op), infrastructure.ErrNotFound)
	// A reboot that began would have reached the backend server by now.
	time.Sleep(50 * time.Millisecond)
	vm, err := c.VM(ctx, "w1")
	wantErr(t, err, nil)
	if vm.BootCount != 2 || b.BootCount() != 2 || vm.State != infrastructure.VMLive {
		t.Fatalf("after repeats: %+v, backend server at boot %d", vm, b.BootCount())
	}
	wantErr(t, c.Reboot(ctx, "w1", infrastructure.Operation{ID: "wave-2", ExpectedBoot: 2}), nil)
	waitFor(t, "third boot", func() bool { return boot() == 3 && b.BootCount() == 3 })
}

// Guards against a restarted process that keeps the boot count of the previous
// one, and against a dead server that can never be rebooted.
func TestRestartAndDeadServer(t *testing.T) {
	p, c := startPlatform(t, PlatformOptions{RebootDuration: 10 * time.Millisecond})
	first := startBackend(t, BackendOptions{Platform: p.Addr()})
	addr := first.Addr()
	// Both calls must wait until the server has stopped, as a process exits when
	// its own call returns.
	go first.Close()
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	_, err := c.VM(t.Context(), "w1")
	wantErr(t, err, infrastructure.ErrNotFound)
	second := startBackend(t, BackendOptions{Platform: p.Addr(), Listen: addr})
	if second.BootCount() != 2 {
		t.Fatalf("boot count %d after a restart, want 2", second.BootCount())
	}
	p.Register(infrastructure.VM{ID: "dead", Address: first.Addr()})
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	wantErr(t, c.Reboot(t.Context(), "dead", infrastructure.Operation{ID: "op", ExpectedBoot: 1}), nil)
	waitFor(t, "boot of the dead server", func() bool {
		vm, err := c.VM(t.Context(), "dead")
		return err == nil && vm.BootCount == 2
	})
}
