package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"dotterelhead.example/dotterelhead/dispatch"
	"dotterelhead.example/dotterelhead/forward"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/request"
	"dotterelhead.example/dotterelhead/routing"
)

const (
	// maxAttempts limits the attempts of one request that were sent to a worker. After
	// failures on three workers, the cause is the request and not the workers.
	maxAttempts = 3
	// maxAvoided limits the list of workers to avoid. The dispatcher refuses a
	// request that avoids three workers as one that fails on every worker, but
	// attempts that reached no worker do not prove that.
	maxAvoided = maxAttempts - 1
	// abandonedSlotDelay is the delay before the slot of an abandoned request
	// is released. A worker takes a moment to notice the closed connection;
	// without the delay, a burst of cancellations ran 9 requests on 8 slots.
	abandonedSlotDelay = 100 * time.Millisecond
	// attemptPause is the pause after an attempt that reached no worker. It
	// prevents a busy loop.
	attemptPause = 10 * time.Millisecond
	// defaultRetryAfter is the Retry-After hint of refusals without one, and the
	// minimum for the others.
	defaultRetryAfter = time.Second
)

// RetryBudget limits retries to a share of the requests.
type RetryBudget interface {
	// Request counts one request.
	Request(now time.Time)
	// Allow reports whether a retry may be made now, and counts it.
	Allow(now time.Time) bool
}

// AttemptStageOptions configure an AttemptStage.
type AttemptStageOptions struct {
	// Config returns the configuration in force.
	Config    func() note.Config
	Client    *dispatch.Client
	Table     *routing.Table
	Forwarder *forward.Forwarder
	Budget    RetryBudget
	// Observe receives the run time of each answered request.
	Observe func(service, operation string, run time.Duration)
	Scope   tally.Scope
	Tracer  trace.Tracer
	Now     func() time.Time
}

// AttemptStage is the stage that acquires a slot for a request and sends it. It
// retries on another worker where that is allowed.
type AttemptStage struct {
	options AttemptStageOptions
}

// NewAttemptStage returns the stage.
func NewAttemptStage(options AttemptStageOptions) *AttemptStage {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Tracer == nil {
		options.Tracer = otel.Tracer("ingress")
	}
	return &AttemptStage{options: options}
}

// Serve serves a request without an idempotency key.
func (a *AttemptStage) Serve(ctx context.Context, r *request.Request) request.Result {
	return a.ServeClaimed(ctx, r, func(context.Context) *request.Result { return nil })
}

// ServeClaimed serves a request that must be claimed before it is sent, such as one
// with an idempotency key. It calls claim only before the first attempt, after it
// has acquired a slot. If claim returns a result, the request is not sent and ends
// with that result.
func (a *AttemptStage) ServeClaimed(ctx context.Context, r *request.Request, claim func(context.Context) *request.Result) request.Result {
	a.options.Budget.Request(a.options.Now())
	t := &attemptState{AttemptStage: a, request: r, claim: claim, fingerprint: fingerprintOf(r)}
	for {
		if result := t.attempt(ctx); result != nil {
			return *result
		}
	}
}

// attemptState is the state of one request across its attempts.
type attemptState struct {
	*AttemptStage
	request *request.Request
	claim   func(context.Context) *request.Result
	claimed bool
	// fingerprint is the same for repeats of a request, so that the dispatcher
	// recognises a request that fails on every worker. It refuses such a request
	// as a failing job.
	fingerprint string
	// sent reports whether a byte of the request may have reached a worker.
	sent bool
	// sentAttempts counts the attempts that were sent to a worker.
	sentAttempts int
	avoid        []string
	// lastFailure is the last failure answer after which the request was retried.
	lastFailure *request.Answer
}

// fingerprintOf returns a hash that is the same for repeats of one request.
func fingerprintOf(r *request.Request) string {
	hash := xxhash.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Target), r.Body} {
		fmt.Fprintf(hash, "%d ", len(part))
		hash.Write(part)
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// attempt makes one attempt. It returns nil when another attempt follows.
func (t *attemptState) attempt(ctx context.Context) *request.Result {
	r := t.request
	grant, err := t.acquire(ctx)
	if err != nil {
		return t.end(err)
	}
	// The ticket counts the request as in flight to the worker.
	ticket, err := t.options.Table.Admit(grant.Worker, grant.Generation)
	if err != nil {
		t.options.Client.Release(grant, peer.GrantResult_CANCELLED, 0)
		return t.pause(ctx, err)
	}
	if !t.claimed {
		if result := t.claim(ctx); result != nil {
			ticket.Done()
			t.options.Client.Release(grant, peer.GrantResult_CANCELLED, 0)
			return result
		}
		t.claimed = true
	}
	attempt := t.send(ctx, grant, ticket, r)
	if mayBeWorkerFault(attempt.Err) {
		t.avoid = append(t.avoid, grant.Worker)
		t.avoid = t.avoid[max(0, len(t.avoid)-maxAvoided):]
	}
	if !attempt.Sent {
		// An attempt that reached no worker caused no load there, so further
		// attempts are limited by the deadline and not by the retry budget.
		return t.pause(ctx, attempt.Err)
	}
	t.sent = true
	t.sentAttempts++
	if attempt.Answer != nil && !isFailure(attempt.Answer) || !t.mayRetry(ctx) {
		return t.conclude(attempt)
	}
	if attempt.Answer != nil {
		t.lastFailure = attempt.Answer
	}
	return nil
}

// conclude returns the result of the last attempt.
func (t *attemptState) conclude(attempt forward.Attempt) *request.Result {
	if attempt.Answer != nil {
		return &request.Result{Outcome: request.Answered, Answer: attempt.Answer}
	}
	if t.lastFailure != nil {
		return &request.Result{Outcome: request.Answered, Answer: t.lastFailure}
	}
	result := request.OutcomeUnknown("the request was sent and its answer was lost: " + attempt.Err.Error())
	return &result
}

// end returns the result of a request that gets no further attempt.
func (t *attemptState) end(cause error) *request.Result {
	if t.lastFailure != nil {
		return &request.Result{Outcome: request.Answered, Answer: t.lastFailure}
	}
	result := refusedResult(cause)
	if t.sent {
		result = request.OutcomeUnknown("an attempt was lost and no other could start: " + cause.Error())
	}
	return &result
}

// pause waits before the next attempt and returns nil. Without time or a permit
// for another attempt it returns the result of the request.
func (t *attemptState) pause(ctx context.Context, cause error) *request.Result {
	if !t.options.Now().Add(attemptPause).Before(t.request.Deadline) || errors.Is(cause, routing.ErrNoPermit) {
		return t.end(cause)
	}
	select {
	case <-time.After(attemptPause):
		return nil
	case <-ctx.Done():
		return t.end(cause)
	}
}

// mayRetry reports whether a request that reached a worker is tried again.
func (t *attemptState) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || !t.request.Repeatable() || t.sentAttempts >= maxAttempts {
		return false
	}
	allowed := t.options.Budget.Allow(t.options.Now())
	if allowed {
		t.options.Scope.Counter("retries_total").Inc(1)
	} else {
		t.options.Scope.Counter("retries_refused_total").Inc(1)
	}
	return allowed
}

// isFailure reports whether an answer is a failure that another worker may not
// have.
func isFailure(answer *request.Answer) bool {
	switch answer.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return answer.BodyRest == nil
	}
	return false
}

// errNoService reports a request for a service that the configuration in force
// does not have.
var errNoService = errors.New("service is not in force")

// acquire waits for a slot in the pool of the service.
func (t *attemptState) acquire(ctx context.Context) (dispatch.Grant, error) {
	r := t.request
	service, ok := t.options.Config().Service(r.Service)
	if !ok {
		return dispatch.Grant{}, errNoService
	}
	requestedAt := t.options.Now()
	ctx, span := t.options.Tracer.Start(ctx, "queue", trace.WithAttributes(attribute.String("pool", service.Pool)))
	defer span.End()
	grant, err := t.options.Client.Acquire(ctx, dispatch.Request{
		Pool: service.Pool, Service: r.Service, Operation: r.Operation, Team: r.Team,
		DeclaredRunTime: r.DeclaredRunTime, StartBy: r.Deadline, AvoidWorkers: t.avoid, Urgent: r.Urgent,
		Fingerprint: t.fingerprint, NonRepeatable: !r.Repeatable(),
	})
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	} else {
		span.SetAttributes(attribute.String("worker", grant.Worker))
		t.options.Scope.Tagged(map[string]string{"pool": service.Pool}).Timer("queue_wait_seconds").Record(t.options.Now().Sub(requestedAt))
	}
	return grant, err
}

// refusalTitles holds the problem titles for the refusals of a dispatcher. The
// titles are also the reasons in the metrics.
var refusalTitles = map[peer.AcquireResponse_Status]string{
	peer.AcquireResponse_QUEUE_FULL:           "queue full",
	peer.AcquireResponse_CANNOT_START_IN_TIME: "cannot start in time",
	peer.AcquireResponse_NOT_DISPATCHER:       "no dispatcher",
	peer.AcquireResponse_NO_WORKER:            "no worker",
	peer.AcquireResponse_FAILING_JOB:          "failing job",
	peer.AcquireResponse_QUOTA:                "quota used up",
}

func refusedResult(err error) request.Result {
	var refusal *dispatch.Refusal
	title, status, retryAfter := "not started in time", http.StatusServiceUnavailable, defaultRetryAfter
	switch {
	case errors.As(err, &refusal):
		title, retryAfter = refusalTitles[refusal.Status], max(refusal.RetryAfter, defaultRetryAfter)
		if refusal.Status == peer.AcquireResponse_QUOTA {
			status = http.StatusTooManyRequests
		}
	case errors.Is(err, routing.ErrNoPermit):
		title = "no permit"
	case errors.Is(err, context.Canceled):
		title = "caller gone"
	}
	return request.Refused(status, title, err.Error(), retryAfter)
}

// send makes one attempt and reports it to the dispatcher.
func (a *AttemptStage) send(ctx context.Context, grant dispatch.Grant, ticket *routing.Ticket, r *request.Request) forward.Attempt {
	cancel := func() {}
	if r.IdempotencyKey != "" {
		// A claimed request continues when its caller disconnects, so that a
		// retry by the caller learns the outcome.
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	}
	started := a.options.Now()
	attempt := a.options.Forwarder.Send(ctx, ticket, r)
	run := a.options.Now().Sub(started)
	result := grantResult(ctx, attempt)
	release := func() {
		if attempt.Answer != nil {
			run = a.options.Now().Sub(started)
		}
		a.options.Client.Release(grant, result, run)
		cancel()
		if attempt.Answer != nil && a.options.Observe != nil {
			a.options.Observe(r.Service, r.Operation, run)
		}
	}
	if attempt.Answer != nil && attempt.Answer.BodyRest != nil {
		attempt.Answer.BodyRest = &releasingRest{ReadCloser: attempt.Answer.BodyRest, release: release}
		return attempt
	}
	if attempt.Sent && attempt.Answer == nil {
		time.AfterFunc(abandonedSlotDelay, release)
	} else {
		release()
	}
	return attempt
}

// grantResult returns the result of an attempt that is reported to the
// dispatcher. NOT_SENT counts against a worker that could not be reached, so it
// is not reported when the cause lies in this entry VM.
func grantResult(ctx context.Context, attempt forward.Attempt) peer.GrantResult_Result {
	switch {
	case attempt.Silent:
		return peer.GrantResult_SILENT
	case attempt.Answer != nil && attempt.Answer.Status < http.StatusInternalServerError:
		return peer.GrantResult_OK
	case attempt.Answer != nil:
		return peer.GrantResult_FAILED
	case attempt.Unreachable:
		// Requests to a hung worker end at their deadline. Without this case
		// they would count as cancelled and never against the worker.
		return peer.GrantResult_FAILED
	case ctx.Err() != nil, !mayBeWorkerFault(attempt.Err):
		return peer.GrantResult_CANCELLED
	case !attempt.Sent:
		return peer.GrantResult_NOT_SENT
	}
	return peer.GrantResult_FAILED
}

// mayBeWorkerFault reports whether the worker may be the cause of a failed attempt.
// err is nil if the worker answered; its answer may then be a failure.
func mayBeWorkerFault(err error) bool {
	return !errors.Is(err, routing.ErrNotServing) && !errors.Is(err, routing.ErrNoPermit) &&
		!errors.Is(err, forward.ErrConnectionLimit)
}

// releasingRest is the rest of an answer. It releases the slot when it is closed.
type releasingRest struct {
	io.ReadCloser
	release func()
	done    bool
}

// Close closes the rest of the answer and releases the slot.
func (b *releasingRest) Close() error {
	err := b.ReadCloser.Close()
	if !b.done {
		b.done = true
		b.release()
	}
	return err
}
