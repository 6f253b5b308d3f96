// Package forward sends requests to backend servers over its own connection pool
// and reports what is known about each attempt.
//
// It uses the request writer and the response reader of net/http instead of
// http.Transport for two reasons. The transport retries a request by itself when
// a reused connection breaks, which must not happen to a request that carries
// Idempotency-Key. And the permit, by which package membership decides whether this
// entry VM may send at all, must be checked after the connection is established and
// before the first byte is sent.
package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"dotterelhead.example/dotterelhead/request"
	"dotterelhead.example/dotterelhead/routing"
)

// maxBufferedAnswerBytes is the size up to which an answer is read completely before
// the caller gets its first byte.
const maxBufferedAnswerBytes = 64 << 10

// minSilence is the shortest silence after which a worker is probed.
const minSilence = 2 * time.Second

// Attempt is what is known after one attempt.
type Attempt struct {
	// Sent reports whether a byte of the request may have reached the worker.
	Sent bool
	// Answer is set when the worker answered.
	Answer *request.Answer
	// Silent reports that the connection made no progress while the worker
	// answered on a new one.
	Silent bool
	// Unreachable reports that the connection made no progress and the last
	// probe of the worker, on a new connection, got no answer.
	Unreachable bool
	// Err is set when there is no answer.
	Err error
}

// Options configure a Forwarder.
type Options struct {
	// ConnectionLimit returns the most connections to one worker.
	ConnectionLimit func() int
	// SilenceTimeout returns the time without progress after which the worker is
	// probed, from the learned run times of the operation.
	SilenceTimeout func(service, operation string) time.Duration
	Tracer         trace.Tracer
	Now            func() time.Time
}

// Forwarder sends requests to workers, the VMs that run backend servers.
type Forwarder struct {
	options     Options
	connections *connectionPool
}

// New returns a Forwarder without connections.
func New(options Options) *Forwarder {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Tracer == nil {
		options.Tracer = otel.Tracer("forward")
	}
	return &Forwarder{options: options, connections: newConnectionPool(options.ConnectionLimit, options.Now)}
}

// CloseIdle closes the idle connections to the worker with the ID vm.
func (f *Forwarder) CloseIdle(vm string) { f.connections.closeIdle(vm) }

// Run closes expired connections until ctx ends, then all idle ones.
func (f *Forwarder) Run(ctx context.Context) {
	ticker := time.NewTicker(idleTimeout / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.connections.closeAll()
			return
		case <-ticker.C:
			f.connections.closeExpired()
		}
	}
}

// Send makes one attempt with a ticket, which counts the request as in flight to
// its VM. It ends the ticket when the attempt ends or, for a long answer, when its
// rest is closed.
func (f *Forwarder) Send(ctx context.Context, ticket *routing.Ticket, r *request.Request) Attempt {
	vm := ticket.VM()
	ctx, span := f.options.Tracer.Start(ctx, "backend "+r.Service, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("worker", vm.ID), attribute.String("pool", vm.Pool)))
	attempt := f.send(ctx, ticket, r)
	if attempt.Err != nil {
		span.RecordError(attempt.Err)
		span.SetStatus(codes.Error, attempt.Err.Error())
	}
	if attempt.Answer != nil {
		span.SetAttributes(attribute.Int("http.response.status_code", attempt.Answer.Status))
		if rest, ok := attempt.Answer.BodyRest.(*rest); ok {
			rest.span = span
			return attempt
		}
	}
	span.End()
	return attempt
}

func (f *Forwarder) send(ctx context.Context, ticket *routing.Ticket, r *request.Request) Attempt {
	vm := ticket.VM()
	conn, err := f.connections.get(ctx, vm.ID, vm.Address)
	if err != nil {
		ticket.Done()
		return Attempt{Err: err}
	}
	if err := ticket.Check(); err != nil {
		f.connections.discard(conn)
		ticket.Done()
		return Attempt{Err: err}
	}
	x := &exchange{forwarder: f, conn: conn, ticket: ticket, request: r}
	return x.run(ctx)
}

// exchange is one request and its answer on a connection.
type exchange struct {
	forwarder *Forwarder
	conn      *connection
	ticket    *routing.Ticket
	request   *request.Request

	// The guard interrupts the connection when the context ends or the
	// connection is silent. After stopGuard it must not touch the connection,
	// which may carry another request by then.
	mu      sync.Mutex
	stopped bool
	silent  bool
	// unreachable is the result of the last probe.
	unreachable bool
	// probeContext is the context of the probes and ends with the guard. timer is
	// nil if the silence of the connection is not watched.
	probeContext context.Context
	stopFuncs    []func()
	timer        *time.Timer
}

func (x *exchange) run(ctx context.Context) Attempt {
	x.startGuard(ctx)
	outgoing, err := newRequest(ctx, x.ticket.VM().Address, x.request)
	if err != nil {
		x.abandon()
		return Attempt{Err: err}
	}
	outgoing.Header.Set("Dotterelhead-Pool", x.ticket.VM().Pool)
	outgoing.Header.Set("Dotterelhead-Generation", strconv.FormatInt(x.ticket.VM().Generation, 10))
	x.conn.written = false
	err = outgoing.Write(x.conn.writer)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	if err != nil {
		return x.fail(ctx, x.conn.written, errors.Wrap(err, "send request"))
	}
	answer, err := http.ReadResponse(x.conn.reader, outgoing)
	for err == nil && answer.StatusCode >= 100 && answer.StatusCode < 200 {
		answer, err = http.ReadResponse(x.conn.reader, outgoing)
	}
	if err != nil {
		return x.fail(ctx, true, errors.Wrap(err, "read answer"))
	}
	return x.receive(ctx, answer)
}

func (x *exchange) receive(ctx context.Context, answer *http.Response) Attempt {
	result := &request.Answer{Status: answer.StatusCode, Header: answer.Header}
	head, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswerBytes))
	if err != nil {
		return x.fail(ctx, true, errors.Wrap(err, "read answer body"))
	}
	result.Body = head
	rest := &rest{exchange: x, body: answer.Body, close: answer.Close}
	if len(head) < maxBufferedAnswerBytes {
		rest.complete = true
		rest.Close()
		return Attempt{Sent: true, Answer: result}
	}
	result.BodyRest = rest
	return Attempt{Sent: true, Answer: result}
}

// startGuard starts to watch the exchange: the connection is interrupted when ctx
// ends, and checked when it may have been silent for too long.
func (x *exchange) startGuard(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { x.interrupt(func() bool { return true }) })
	x.stopFuncs = append(x.stopFuncs, func() { stop() })
	after := x.silenceTimeout()
	if after <= 0 {
		return
	}
	probeCtx, cancel := context.WithCancel(ctx)
	x.probeContext = probeCtx
	x.stopFuncs = append(x.stopFuncs, cancel)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.timer = time.AfterFunc(after, func() { x.checkSilence(after) })
}

// interrupt makes reads and writes on the connection fail, and reports whether it
// did. It does nothing if the guard has stopped or the condition, which is checked
// under the lock, is false.
func (x *exchange) interrupt(condition func() bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped || !condition() {
		return false
	}
	x.conn.SetDeadline(time.Unix(1, 0))
	return true
}

// checkSilence interrupts a connection that has been silent for the time after, if
// the worker answers on a new one. Otherwise it schedules the next check.
func (x *exchange) checkSilence(after time.Duration) {
	wait := after - x.conn.silence()
	if wait <= 0 {
		wait = after
		reachable := x.forwarder.isReachable(x.probeContext, x.ticket.VM().Address)
		if x.interrupt(func() bool { x.silent = reachable && x.conn.silence() >= after; return x.silent }) {
			return
		}
		x.recordProbe(reachable)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.stopped {
		x.timer.Reset(wait)
	}
}

// recordProbe records the result of a probe. A probe that was cancelled with the
// exchange is ignored.
func (x *exchange) recordProbe(reachable bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.probeContext.Err() == nil {
		x.unreachable = !reachable && x.conn.silence() > 0
	}
}

// stopGuard stops the guard. It does not wait for a probe in progress.
func (x *exchange) stopGuard() {
	x.mu.Lock()
	x.stopped = true
	if x.timer != nil {
		x.timer.Stop()
	}
	x.mu.Unlock()
	for _, stop := range x.stopFuncs {
		stop()
	}
	x.stopFuncs = nil
}

func (x *exchange) silenceTimeout() time.Duration {
	if x.forwarder.options.SilenceTimeout == nil {
		return 0
	}
	learned := x.forwarder.options.SilenceTimeout(x.request.Service, x.request.Operation)
	if learned <= 0 {
		return 0
	}
	return max(learned, minSilence)
}

// isReachable reports whether the worker answers on a new connection.
func (f *Forwarder) isReachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := f.connections.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	return isHealthy(newConnection(conn), dialTimeout)
}

// fail abandons the exchange and returns the attempt, which has no answer.
func (x *exchange) fail(ctx context.Context, sent bool, err error) Attempt {
	x.abandon()
	attempt := Attempt{Sent: sent, Unreachable: x.unreachable, Err: err}
	// abandon has stopped the guard, so silent no longer changes.
	switch {
	case x.silent:
		attempt.Silent = true
		attempt.Err = errors.New("connection went silent while the worker answers on a new one")
	case ctx.Err() != nil:
		attempt.Err = ctx.Err()
	}
	return attempt
}

// abandon closes the connection, so that a late answer is never read.
func (x *exchange) abandon() {
	x.stopGuard()
	x.forwarder.connections.discard(x.conn)
	x.ticket.Done()
}

// rest is the unread part of an answer.
type rest struct {
	exchange *exchange
	body     io.ReadCloser
	// close reports that the worker closes the connection after the answer.
	close    bool
	complete bool
	closed   bool
	// span is the span of the attempt. It ends when the rest is closed.
	span trace.Span
}

func (b *rest) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close returns the connection to the pool if the answer was read completely and
// the connection can be reused; otherwise it closes the connection.
func (b *rest) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.span != nil {
		if !b.complete {
			b.span.SetStatus(codes.Error, "the answer was not read to its end")
		}
		b.span.End()
	}
	x := b.exchange
	x.stopGuard()
	if b.complete && !b.close && x.ticket.ConnectionReusable() {
		x.conn.SetDeadline(time.Time{})
		x.forwarder.connections.put(x.conn)
	} else {
		x.forwarder.connections.discard(x.conn)
	}
	x.ticket.Done()
	return nil
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1). Expect is
// removed as well, because the body is sent without waiting for 100 Continue.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHopHeaders deletes the headers that apply to a single connection.
func RemoveHopByHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range bytes.SplitSeq([]byte(list), []byte(",")) {
			h.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

func newRequest(ctx context.Context, address string, r *request.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, errors.Wrap(err, "parse request target")
	}
	target.Scheme, target.Host = "http", address
	outgoing := &http.Request{
		Method: r.Method, URL: target, Host: address, Header: r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if len(r.Body) > 0 {
		outgoing.Body, outgoing.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	}
	RemoveHopByHopHeaders(outgoing.Header)
	outgoing.Header.Set("X-Request-Id", r.ID)
	if r.IdempotencyKey != "" {
		outgoing.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	// The trace headers of the caller hold its own span or are malformed.
	for _, name := range (propagation.TraceContext{}).Fields() {
		outgoing.Header.Del(name)
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(outgoing.Header))
	return outgoing, nil
}

// drain reads the body of an answer, up to maxBufferedAnswerBytes, and reports
// whether that succeeded.
func drain(answer *http.Response) bool {
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxBufferedAnswerBytes))
	return err == nil
}
