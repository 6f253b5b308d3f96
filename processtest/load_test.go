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

// call holds the parameters of a request.
type call struct {
	service string
	// key is the idempotency key, if any. A request with one is a keyed request.
	key string
	// work is how long the request runs on the backend server.
	work time.Duration
}

// reply is the result of a request as its caller saw it.
type reply struct {
	call
	entry string
	id    string
	// outcome is "answered" when a backend server answered, even with an error.
	outcome string
	status  int
	// execution is the ID of the execution that produced the answer.
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
func send(ctx context.Context, e *entryVM, request call) reply {
	method, body := http.MethodGet, ""
	if request.key != "" {
		method, body = http.MethodPost, "job"
	}
	id := fmt.Sprintf("r%d", lastRequestID.Add(1))
	url := fmt.Sprintf("http://%s/v1/services/%s/job?work=%s", e.callerAddress, request.service, request.work)
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	out := reply{call: request, entry: e.id, id: id, start: time.Now()}
	if err != nil {
		out.err = err
		return out
	}
	r.Header.Set("X-Request-Id", id)
	if request.key != "" {
		r.Header.Set("Idempotency-Key", request.key)
	}
	response, err := httpClient.Do(r)
	out.took = time.Since(out.start)
	if err != nil {
		out.err = err
		return out
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	out.took = time.Since(out.start)
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.outcome = response.StatusCode, response.Header.Get("Dotterelhead-Outcome")
	if out.status == http.StatusOK {
		var result struct{ Execution, Request string }
		if out.err = json.Unmarshal(text, &result); out.err != nil {
			return out
		}
		out.execution = result.Execution
		// A repeated key gets the answer to the first request with that key.
		out.wrong = request.key == "" && result.Request != id
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
// next returns the entry VM and the n-th request of a caller; without an entry VM,
// the caller skips that request.
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

// summary counts replies. Answered are those with status 200, failed those that a
// backend server answered with an error, broken those without a complete answer, and
// wrong those that belong to another request. NotRun are those with that outcome,
// unknown all others.
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
// generation. The generation of a VM grows with every move and reboot that ends.
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
