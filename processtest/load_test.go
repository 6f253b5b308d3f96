package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call describes one request of a caller.
type call struct {
	service string
	key     string
	// work is how long the request runs at the worker.
	work time.Duration
}

// reply is the result of a request as its caller saw it.
type reply struct {
	call
	entry     string
	id        string
	outcome   string
	status    int
	execution string
	// wrong is set when the answer belongs to another request.
	wrong bool
	// err is set when the caller got no complete answer.
	err   error
	start time.Time
	took  time.Duration
}

var (
	httpClient    = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 5 * time.Second}, Timeout: 40 * time.Second}
	lastRequestID atomic.Int64
)

// send sends one request to an entry VM.
func send(ctx context.Context, e *entryVM, c call) reply {
	method, body := http.MethodGet, ""
	if c.key != "" {
		method, body = http.MethodPost, "job"
	}
	id := fmt.Sprintf("r%d", lastRequestID.Add(1))
	url := fmt.Sprintf("http://%s/v1/services/%s/job?work=%s", e.callerAddress, c.service, c.work)
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	out := reply{call: c, entry: e.id, id: id, start: time.Now()}
	if err != nil {
		out.err = err
		return out
	}
	r.Header.Set("X-Request-Id", id)
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	answer, err := httpClient.Do(r)
	out.took = time.Since(out.start)
	if err != nil {
		out.err = err
		return out
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	out.took = time.Since(out.start)
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.outcome = answer.StatusCode, answer.Header.Get("Dotterelhead-Outcome")
	if out.status == http.StatusOK {
		var result struct{ Execution, Request string }
		if out.err = json.Unmarshal(text, &result); out.err != nil {
			return out
		}
		out.execution = result.Execution
		// A repeated key gets the answer to the first request with that key.
		out.wrong = c.key == "" && result.Request != id
	}
	return out
}

// load is a group of callers that send requests until stop is called.
type load struct {
	cancel  context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	replies []reply
}

// startLoad starts callers that each send one request at a time. The function
// next returns the entry VM and the request of a caller's n-th call; without an
// entry VM, the caller skips that call.
func (c *cluster) startLoad(callers int, next func(caller, n int) (*entryVM, call)) *load {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &load{cancel: cancel}
	for caller := range callers {
		l.done.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				e, request := next(caller, n)
				if e == nil {
					time.Sleep(time.Millisecond)
					continue
				}
				// Requests in flight when the load is stopped are completed.
				got := send(context.Background(), e, request)
				l.mu.Lock()
				l.replies = append(l.replies, got)
				l.mu.Unlock()
				if got.outcome != "answered" {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	return l
}

// stop lets the callers finish their requests and returns all replies.
func (l *load) stop() []reply {
	l.cancel()
	l.done.Wait()
	return l.replies
}

// summary counts replies by outcome. Broken are those without a complete answer,
// failed those that were answered with an error.
type summary struct{ total, answered, failed, notRun, unknown, broken, wrong int }

func summarise(replies []reply) summary {
	var s summary
	for _, r := range replies {
		s.total++
		switch {
		case r.wrong:
			s.wrong++
		case r.err != nil:
			s.broken++
		case r.outcome == "answered" && r.status == http.StatusOK:
			s.answered++
		case r.outcome == "answered":
			s.failed++
		case r.outcome == "not-run":
			s.notRun++
		default:
			s.unknown++
		}
	}
	return s
}

// executions counts how often each idempotency key and each request ran on the
// backend servers.
func (c *cluster) executions() (byKey, byRequest map[string]int) {
	byKey, byRequest = map[string]int{}, map[string]int{}
	for _, b := range c.backends {
		for _, r := range b.Records(0) {
			byRequest[r.Request]++
			if r.IdempotencyKey != "" {
				byKey[r.IdempotencyKey]++
			}
		}
	}
	return byKey, byRequest
}

// checkReplies fails the test when a reply belongs to another request, a request
// reported as not run did run, or a key ran more than once.
func (c *cluster) checkReplies(replies []reply) {
	c.t.Helper()
	byKey, byRequest := c.executions()
	for _, r := range replies {
		if r.wrong {
			c.t.Errorf("request %s through %s got the answer to another request", r.id, r.entry)
		}
		if r.outcome == "not-run" && byRequest[r.id] > 0 {
			c.t.Errorf("request %s through %s was reported as not run but ran", r.id, r.entry)
		}
	}
	for key, n := range byKey {
		if n > 1 {
			c.t.Errorf("key %s ran %d times", key, n)
		}
	}
}

// checkOnePool fails the test when a backend server received a request of an older
// generation after one of a newer generation, or requests of two pools in one
// generation.
func (c *cluster) checkOnePool() {
	c.t.Helper()
	for id, b := range c.backends {
		highest, pool := int64(0), ""
		for _, r := range b.Records(0) {
			var generation int64
			fmt.Sscan(r.Generation, &generation)
			if generation < highest || generation == highest && pool != "" && r.Pool != pool {
				c.t.Errorf("%s got a request of pool %s, generation %d after one of pool %s, generation %d", id, r.Pool, generation, pool, highest)
			}
			highest, pool = generation, r.Pool
		}
	}
}
