package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/request"
	"dotterelhead.example/dotterelhead/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type permit struct{ invalid atomic.Bool }

func (p *permit) Valid(time.Time) bool { return !p.invalid.Load() }

// worker is a backend server whose connections are handled by one function.
type worker struct {
	listener net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

func startWorker(t *testing.T, handle func(w *worker, n int64, conn net.Conn, reader *bufio.Reader)) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &worker{listener: listener}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := w.accepted.Add(1)
			go func() {
				defer conn.Close()
				handle(w, n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	t.Cleanup(func() { listener.Close(); <-done })
	return w
}

// receive reads one request; health requests are answered at once.
func (w *worker) receive(conn net.Conn, reader *bufio.Reader) (*http.Request, error) {
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return nil, err
		}
		io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/healthz" {
			w.requests.Add(1)
			return r, nil
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

type fixture struct {
	permit    *permit
	table     *routing.Table
	forwarder *Forwarder
}

func newFixture(t *testing.T, w *worker, silenceTimeout time.Duration) *fixture {
	f := &fixture{permit: &permit{}}
	f.forwarder = New(Options{
		ConnectionLimit: func() int { return 4 },
		SilenceTimeout:  func(string, string) time.Duration { return silenceTimeout },
	})
	f.table = routing.New(routing.Options{Permit: f.permit, CloseIdle: f.forwarder.CloseIdle})
	f.table.Update(fleet.Document{VMs: []fleet.VM{{
		ID: "w1", Address: w.listener.Addr().String(), Pool: "p", Phase: fleet.Serving, Generation: 3,
	}}})
	t.Cleanup(f.forwarder.connections.closeAll)
	return f
}

func (f *fixture) send(t *testing.T, ctx context.Context, r *request.Request) Attempt {
	ticket, err := f.table.Admit("w1", 3)
	if err != nil {
		t.Fatal(err)
	}
	return f.forwarder.Send(ctx, ticket, r)
}

func keyed() *request.Request {
	return &request.Request{ID: "r1", Method: "POST", Target: "/x", Header: http.Header{}, IdempotencyKey: "k"}
}

// Guards against the automatic retry that http.Transport makes for a request with
// Idempotency-Key when a reused connection breaks after the request was sent.
func TestNoRetryAfterBrokenReusedConnection(t *testing.T) {
	w := startWorker(t, func(w *worker, _ int64, conn net.Conn, reader *bufio.Reader) {
		if _, err := w.receive(conn, reader); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		w.receive(conn, reader) // The second request runs and its answer is lost.
	})
	f := newFixture(t, w, 0)
	if a := f.send(t, context.Background(), keyed()); a.Answer == nil || string(a.Answer.Body) != "ok" {
		t.Fatalf("first request: %+v", a)
	}
	a := f.send(t, context.Background(), keyed())
	if !a.Sent || a.Answer != nil {
		t.Fatalf("the lost answer must be reported as sent without answer, got %+v", a)
	}
	if n := w.requests.Load(); n != 2 {
		t.Fatalf("worker got %d requests, want 2", n)
	}
}

// Guards against a request that is sent although the permit expired while the
// process was paused between admission and sending.
func TestPermitIsCheckedBeforeTheFirstByte(t *testing.T) {
	w := startWorker(t, func(w *worker, _ int64, conn net.Conn, reader *bufio.Reader) { w.receive(conn, reader) })
	f := newFixture(t, w, 0)
	ticket, err := f.table.Admit("w1", 3)
	if err != nil {
		t.Fatal(err)
	}
	f.permit.invalid.Store(true)
	a := f.forwarder.Send(context.Background(), ticket, keyed())
	if a.Sent || !errors.Is(a.Err, routing.ErrNoPermit) {
		t.Fatalf("got %+v, want nothing sent and ErrNoPermit", a)
	}
	if f.table.InFlight() != 0 {
		t.Fatal("the ticket is still in flight")
	}
}

// Guards against an answer that ends early and looks complete.
func TestHalfAnswerIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(w *worker, _ int64, conn net.Conn, reader *bufio.Reader) {
				w.receive(conn, reader)
				fmt.Fprint(conn, head)
			})
			if a := newFixture(t, w, 0).send(t, context.Background(), keyed()); !a.Sent || a.Answer != nil {
				t.Fatalf("got %+v, want sent without an answer", a)
			}
		})
	}
}

// Guards against a late answer that is read as the answer to a later request.
func TestConnectionOfAbandonedRequestIsClosed(t *testing.T) {
	w := startWorker(t, func(w *worker, n int64, conn net.Conn, reader *bufio.Reader) {
		r, err := w.receive(conn, reader)
		if err != nil {
			return
		}
		if n == 1 {
			time.Sleep(100 * time.Millisecond)
		}
		id := r.Header.Get("X-Request-Id")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		w.receive(conn, reader)
	})
	f := newFixture(t, w, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	if a := f.send(t, ctx, &request.Request{ID: "early", Method: "GET", Target: "/", Header: http.Header{}}); a.Answer != nil {
		t.Fatalf("got %+v, want no answer", a)
	}
	a := f.send(t, context.Background(), &request.Request{ID: "late", Method: "GET", Target: "/", Header: http.Header{}})
	if a.Answer == nil || string(a.Answer.Body) != "late" {
		t.Fatalf("got %+v, want the answer to the request late", a)
	}
	if w.accepted.Load() != 2 {
		t.Fatal("the connection of the abandoned request was reused")
	}
}

// Guards against a silent connection that occupies its slot until the deadline,
// and against blaming the worker for it.
func TestSilentConnection(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, func(w *worker, n int64, conn net.Conn, reader *bufio.Reader) {
		if _, err := w.receive(conn, reader); err == nil && n == 1 {
			<-release
		}
	})
	defer close(release)
	f := newFixture(t, w, time.Millisecond)
	started := time.Now()
	a := f.send(t, context.Background(), keyed())
	if !a.Silent || !a.Sent {
		t.Fatalf("got %+v, want sent and silent", a)
	}
	if took := time.Since(started); took > minSilence+time.Second {
		t.Fatalf("silence noticed after %v", took)
	}
}

// Guards against a request that is sent on an idle connection which a middlebox
// has silently dropped.
func TestIdleConnectionIsVerified(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, func(w *worker, n int64, conn net.Conn, reader *bufio.Reader) {
		w.receive(conn, reader)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n == 1 {
			<-release
			return
		}
		w.receive(conn, reader)
	})
	defer close(release)
	f := newFixture(t, w, 0)
	f.send(t, context.Background(), keyed())
	offset := verifyAfter + time.Millisecond
	f.forwarder.connections.now = func() time.Time { return time.Now().Add(offset) }
	if a := f.send(t, context.Background(), keyed()); a.Answer == nil {
		t.Fatalf("got %+v, want an answer on a new connection", a)
	}
}

// Guards against a long answer that is cut off and looks complete, and against a
// connection that returns to the pool with unread bytes.
func TestLongAnswer(t *testing.T) {
	body := strings.Repeat("x", 3*maxBufferedAnswerBytes)
	for name, sent := range map[string]int{"whole": len(body), "broken": len(body) - 1} {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(w *worker, _ int64, conn net.Conn, reader *bufio.Reader) {
				w.receive(conn, reader)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:sent])
				if sent == len(body) {
					w.receive(conn, reader)
				}
			})
			f := newFixture(t, w, 0)
			a := f.send(t, context.Background(), keyed())
			if a.Answer == nil || a.Answer.BodyRest == nil {
				t.Fatalf("got %+v, want an answer with a rest", a)
			}
			rest, err := io.ReadAll(a.Answer.BodyRest)
			a.Answer.BodyRest.Close()
			if complete := err == nil && len(a.Answer.Body)+len(rest) == len(body); complete != (sent == len(body)) {
				t.Fatalf("read %d bytes, error %v", len(a.Answer.Body)+len(rest), err)
			}
			if idle := len(f.forwarder.connections.idle["w1"]); (idle == 1) != (sent == len(body)) {
				t.Fatalf("%d idle connections, want 1 only after the whole answer", idle)
			}
			if f.table.InFlight() != 0 {
				t.Fatal("the ticket is still in flight")
			}
		})
	}
}

// Guards against interrupting an answer that takes longer than the allowed
// silence but makes progress, and against taking a slow caller for a silent worker.
func TestProgressIsNotSilence(t *testing.T) {
	t.Parallel()
	for name, pause := range map[string]time.Duration{"slow worker": 700 * time.Millisecond, "slow caller": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const parts = 5
			part := strings.Repeat("x", maxBufferedAnswerBytes)
			w := startWorker(t, func(w *worker, _ int64, conn net.Conn, reader *bufio.Reader) {
				w.receive(conn, reader)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", parts*len(part))
				for range parts {
					time.Sleep(pause)
					fmt.Fprint(conn, part)
				}
				w.receive(conn, reader)
			})
			f := newFixture(t, w, time.Millisecond)
			a := f.send(t, context.Background(), keyed())
			if a.Answer == nil {
				t.Fatalf("got %+v, want an answer", a)
			}
			if pause == 0 {
				time.Sleep(minSilence + 500*time.Millisecond)
			}
			rest, err := io.ReadAll(a.Answer.BodyRest)
			a.Answer.BodyRest.Close()
			if err != nil || len(a.Answer.Body)+len(rest) != parts*len(part) {
				t.Fatalf("read %d bytes, error %v", len(a.Answer.Body)+len(rest), err)
			}
		})
	}
}

// Guards against an answer that waits for the probe of its silent connection.
func TestAnswerDoesNotWaitForProbe(t *testing.T) {
	t.Parallel()
	w := startWorker(t, func(w *worker, n int64, conn net.Conn, reader *bufio.Reader) {
		if n > 1 {
			io.Copy(io.Discard, reader) // The probe gets no answer.
			return
		}
		w.receive(conn, reader)
		time.Sleep(minSilence + 100*time.Millisecond)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		w.receive(conn, reader)
	})
	started := time.Now()
	a := newFixture(t, w, time.Millisecond).send(t, context.Background(), keyed())
	if took := time.Since(started); a.Answer == nil || took > minSilence+800*time.Millisecond {
		t.Fatalf("got %+v after %v, want an answer before the probe ends", a, took)
	}
}

// Guards against a worker that hangs forever without a recorded failure, because
// requests that end at their deadline look like requests that callers cancelled.
func TestHangingWorkerIsUnreachable(t *testing.T) {
	t.Parallel()
	w := startWorker(t, func(_ *worker, _ int64, _ net.Conn, reader *bufio.Reader) { io.Copy(io.Discard, reader) })
	ctx, cancel := context.WithTimeout(context.Background(), minSilence+dialTimeout+time.Second)
	defer cancel()
	if a := newFixture(t, w, time.Millisecond).send(t, ctx, keyed()); !a.Unreachable || !a.Sent {
		t.Fatalf("got %+v, want sent and unreachable", a)
	}
}

func BenchmarkSend(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })}
	go server.Serve(listener)
	defer server.Close()
	f := New(Options{ConnectionLimit: func() int { return 4 }, SilenceTimeout: func(string, string) time.Duration { return time.Second }})
	defer f.connections.closeAll()
	table := routing.New(routing.Options{Permit: &permit{}})
	table.Update(fleet.Document{VMs: []fleet.VM{{ID: "w1", Address: listener.Addr().String(), Pool: "p", Phase: fleet.Serving, Generation: 3}}})
	b.ReportAllocs()
	for b.Loop() {
		ticket, err := table.Admit("w1", 3)
		if err != nil {
			b.Fatal(err)
		}
		if a := f.Send(b.Context(), ticket, keyed()); a.Answer == nil {
			b.Fatal(a.Err)
		}
	}
}
