package ingress

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/dispatch"
	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/forward"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/request"
	"dotterelhead.example/dotterelhead/routing"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

// Scripted outcomes of an attempt. The worker of a grant is named after its step.
const (
	stepRefused = "refused" // no slot
	stepStale   = "stale"   // the VM has left the generation of the grant
	stepPermit  = "permit"  // the permit expires before the first byte
	stepNoDial  = "no-dial" // the worker does not listen
	stepOK      = "ok"
	step500     = "500"
	step503     = "503"
	stepLost    = "lost" // the connection is lost after the request arrived
	stepHalf    = "half" // the answer ends early
	stepSilent  = "silent"
	stepLong    = "long"     // an answer of more than 64 KB
	stepLongCut = "long-cut" // the same, ending early
)

var workerSteps = []string{stepOK, step500, step503, stepLost, stepHalf, stepSilent, stepLong, stepLongCut}

const longBytes = 200 << 10

// fixture runs the real stages with a fake dispatcher and scripted workers.
type fixture struct {
	// The dispatcher serves Acquire and Release.
	peer.Peer
	table    *routing.Table
	attempts *AttemptStage

	mu sync.Mutex
	// next returns the next step for a request.
	next     func() string
	avoided  [][]string
	steps    []string
	granted  map[string]string
	released map[string][]peer.GrantResult_Result
	// arrived counts the requests that workers received, by request.
	arrived map[string]int
	// permits is the number of checks for which the permit is valid; -1 means
	// always.
	permits int
	retries int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{}
	f.reset(func() string { return stepOK }, 0)
	document := fleet.Document{}
	for _, step := range append(workerSteps, stepNoDial, stepPermit) {
		document.VMs = append(document.VMs, fleet.VM{ID: step, Address: f.listen(t, step), Pool: "p", Phase: fleet.Serving, Generation: 1})
	}
	forwarder := forward.New(forward.Options{ConnectionLimit: func() int { return 1000 }})
	f.table = routing.New(routing.Options{Permit: f, CloseIdle: forwarder.CloseIdle})
	f.table.Update(document)
	client := dispatch.NewClient(dispatch.ClientOptions{
		EntryID: "entry", Members: func() []string { return []string{"dispatcher"} },
		Peer: func(string) (peer.Peer, bool) { return f, true },
	})
	config := note.Config{Services: []note.Service{{Name: "s", Pool: "p"}}}
	f.attempts = NewAttemptStage(AttemptStageOptions{
		Config: func() note.Config { return config }, Client: client, Table: f.table, Forwarder: forwarder,
		Budget: f, Scope: tally.NoopScope,
	})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { client.Run(ctx) })
	running.Go(func() { forwarder.Run(ctx) })
	t.Cleanup(func() { stop(); running.Wait() })
	return f
}

func (f *fixture) reset(next func() string, retries int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.retries, f.permits, f.steps, f.avoided = next, retries, -1, nil, nil
	f.granted, f.released = map[string]string{}, map[string][]peer.GrantResult_Result{}
	f.arrived = map[string]int{}
}

// Valid implements routing.Permit.
func (f *fixture) Valid(time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.permits > 0 {
		f.permits--
		return true
	}
	return f.permits < 0
}

func (f *fixture) Request(time.Time) {}

func (f *fixture) Allow(time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries--
	return f.retries >= 0
}

func (f *fixture) Acquire(ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	step := f.next()
	f.steps = append(f.steps, step)
	f.avoided = append(f.avoided, r.Avoid)
	if step == stepRefused {
		return &peer.AcquireResponse{Status: peer.AcquireResponse_NO_WORKER}, nil
	}
	if step == stepPermit {
		f.permits = 1
	}
	f.granted[r.RequestId] = step
	generation := int64(1)
	worker := step
	if step == stepStale {
		worker, generation = stepOK, 0
	}
	return &peer.AcquireResponse{Grant: r.RequestId, Worker: worker, Generation: generation}, nil
}

func (f *fixture) Release(_ context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, result := range r.Results {
		grant := result.Grant
		if grant == "" {
			// The caller gave up before the answer; grants are named after
			// their request here.
			grant = result.RequestId
		}
		if _, ok := f.granted[grant]; ok || result.Grant != "" {
			f.released[grant] = append(f.released[grant], result.Result)
		}
	}
	return &peer.ReleaseResponse{}, nil
}

func (f *fixture) listen(t *testing.T, step string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if step == stepNoDial {
		listener.Close()
		return listener.Addr().String()
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { f.serveConnection(conn, step) })
		}
	})
	t.Cleanup(func() { listener.Close(); serving.Wait() })
	return listener.Addr().String()
}

func (f *fixture) serveConnection(conn net.Conn, step string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/healthz" {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := r.Header.Get(HeaderRequestID)
		f.mu.Lock()
		f.arrived[id]++
		f.mu.Unlock()
		status, body, length := 200, id, 0
		switch step {
		case stepLost:
			return
		case stepSilent:
			io.Copy(io.Discard, reader)
			return
		case step500, step503:
			fmt.Sscan(step, &status)
		case stepHalf:
			length = 1
		case stepLong, stepLongCut:
			body = strings.Repeat("x", longBytes)
			if step == stepLongCut {
				length = 1
			}
		}
		fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nX-Execution: %s\r\nX-Part: 1\r\nX-Part: 2\r\nContent-Length: %d\r\n\r\n%s",
			status, id, len(body)+length, body)
		if length > 0 {
			return
		}
	}
}

func (f *fixture) request(id, method, key string, timeout time.Duration) *request.Request {
	return &request.Request{
		ID: id, Service: "s", Operation: method + " /", Method: method, Target: "/", Header: http.Header{},
		IdempotencyKey: key, Deadline: time.Now().Add(timeout),
	}
}

// checkReleased waits for the releases and checks that each grant was released
// exactly once and that no ticket is in flight.
func (f *fixture) checkReleased(fatalf func(string, ...any)) {
	for until := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		done := len(f.released) == len(f.granted)
		f.mu.Unlock()
		if done || time.Now().After(until) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for grant, step := range f.granted {
		results := f.released[grant]
		if len(results) != 1 {
			fatalf("grant on %s was released %d times", step, len(results))
			continue
		}
		blamed := results[0] != peer.GrantResult_CANCELLED
		if (step == stepStale || step == stepPermit) && blamed {
			fatalf("worker blamed for %s, which it did not cause", step)
		}
		if step == stepNoDial && results[0] == peer.GrantResult_FAILED {
			fatalf("request blamed for a worker that could not be reached")
		}
	}
	if n := f.table.InFlight(); n != 0 {
		fatalf("%d tickets are still in flight", n)
	}
}

// Guards against outcomes that state more than is known, unintended retries,
// retries beyond the budget, and slots or tickets that are not released.
func TestOutcomes(t *testing.T) {
	f := newFixture(t)
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		script := rapid.SliceOfN(rapid.SampledFrom(append(workerSteps, stepRefused, stepStale, stepPermit, stepNoDial)), 0, 5).Draw(t, "script")
		retries := rapid.IntRange(0, 2).Draw(t, "retries")
		f.reset(func() string {
			if len(script) == 0 {
				return stepRefused
			}
			step := script[0]
			script = script[1:]
			return step
		}, retries)
		r := f.request(fmt.Sprint("r", n), rapid.SampledFrom([]string{"GET", "PUT", "POST"}).Draw(t, "method"), "",
			time.Duration(rapid.IntRange(20, 80).Draw(t, "timeout"))*time.Millisecond)
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		if rapid.IntRange(0, 4).Draw(t, "cancels") == 0 {
			timer := time.AfterFunc(time.Duration(rapid.IntRange(0, 20).Draw(t, "cancel"))*time.Millisecond, cancel)
			defer timer.Stop()
		}
		result := f.attempts.Serve(ctx, r)
		f.checkOutcome(t, r, result, retries)
		f.checkReleased(t.Fatalf)
	})
}

func (f *fixture) checkOutcome(t *rapid.T, r *request.Request, result request.Result, retries int) {
	complete := true
	if result.Answer != nil && result.Answer.BodyRest != nil {
		rest, err := io.ReadAll(result.Answer.BodyRest)
		result.Answer.BodyRest.Close()
		complete = err == nil
		if complete && len(result.Answer.Body)+len(rest) != longBytes {
			t.Fatalf("answer of %d bytes looks complete", len(result.Answer.Body)+len(rest))
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	arrived := f.arrived[r.ID]
	last := len(f.steps) - 1
	switch {
	case result.Outcome == request.NotRun && arrived > 0:
		t.Fatalf("not run, but %d workers got it: %v", arrived, f.steps)
	case !r.Repeatable() && arrived > 1, arrived > 1+retries:
		t.Fatalf("%d workers got a %s with %d retries allowed: %v", arrived, r.Method, retries, f.steps)
	case result.Outcome == request.Unknown && last > 0 &&
		slices.ContainsFunc(f.steps[:last], func(step string) bool { return step == step500 || step == step503 }):
		t.Fatalf("unknown instead of the answer of an earlier attempt: %v", f.steps)
	case result.Answer != nil && result.Answer.BodyRest == nil && string(result.Answer.Body) != r.ID:
		t.Fatalf("%s got the answer %q", r.ID, result.Answer.Body)
	case (result.Answer != nil) != (result.Outcome == request.Answered):
		t.Fatalf("%s with answer %v", result.Outcome, result.Answer)
	}
}

// Guards against a request that cannot reach some workers and is refused as one that
// fails on every worker, as a request with three workers to avoid is.
func TestUnreachableWorkersDoNotCountAgainstRequest(t *testing.T) {
	f := newFixture(t)
	script := []string{stepNoDial, stepNoDial, stepNoDial, stepNoDial, stepOK}
	f.reset(func() string { return script[min(len(f.steps), len(script)-1)] }, 0)
	r := f.request("r", "GET", "", time.Second)
	if result := f.attempts.Serve(t.Context(), r); result.Outcome != request.Answered {
		t.Fatalf("got %+v, want an answer", result.Problem)
	}
	f.checkReleased(t.Fatalf)
	for _, avoid := range f.avoided {
		if len(avoid) >= 3 {
			t.Fatalf("%d workers to avoid", len(avoid))
		}
	}
}
