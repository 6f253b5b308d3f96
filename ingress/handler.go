// Package ingress serves callers, the clients of the services. It reads a complete
// request, passes it through the stages and writes the answer, with an outcome
// that states no more than is known. The stages are IdempotencyStage, for
// requests with an idempotency key only, and AttemptStage.
package ingress

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"dotterelhead.example/dotterelhead/forward"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/request"
)

// Headers of callers.
const (
	HeaderOutcome        = "Dotterelhead-Outcome"
	HeaderTimeoutSeconds = "Dotterelhead-Timeout-Seconds"
	HeaderRunTimeSeconds = "Dotterelhead-Run-Time-Seconds"
	HeaderTeam           = "Dotterelhead-Team"
	HeaderUrgent         = "Dotterelhead-Urgent"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Limits of what a caller may send.
const (
	maxKeyBytes       = 255
	maxRequestIDBytes = 128
	maxTeamBytes      = 128
	// Less than 1 ms leaves no time for any request.
	minTimeoutSeconds = 0.001
	minRunTimeSeconds = 1e-6
	maxSeconds        = 3600
)

// titleMalformed is the title of problems with the syntax or headers of a request.
const titleMalformed = "malformed request"

// Options configure a Handler.
type Options struct {
	// Config returns the configuration in force.
	Config func() note.Config
	// Accepting reports whether this entry VM accepts requests.
	Accepting func() bool
	// Plain serves requests without an idempotency key, Keyed those with one.
	Plain, Keyed request.Stage
	// MaxBodyBytes limits bodies in addition to the limit of the service; 0
	// means no additional limit.
	MaxBodyBytes int64
	// DefaultDeadline applies to services without a deadline.
	DefaultDeadline time.Duration
	Scope           tally.Scope
	Tracer          trace.Tracer
	// Log receives one event for each request that was not answered.
	Log func(r *request.Request, result request.Result, took time.Duration)
	Now func() time.Time
}

// Handler serves callers.
type Handler struct {
	options  Options
	router   *mux.Router
	inFlight atomic.Int64
}

// InFlight returns the number of requests that callers wait for.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// NewHandler returns the handler of the caller listener.
func NewHandler(options Options) *Handler {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Tracer == nil {
		options.Tracer = otel.Tracer("ingress")
	}
	h := &Handler{options: options, router: mux.NewRouter().UseEncodedPath().SkipClean(true)}
	h.router.HandleFunc("/v1/services/{service}", h.serve)
	h.router.HandleFunc("/v1/services/{service}/{path:.*}", h.serve)
	h.router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		result := request.Refused(http.StatusNotFound, "no such path", "callers use /v1/services/{service}/{path}", 0)
		h.count(nil, result, 0)
		writeProblem(w, result)
	})
	return h
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) serve(w http.ResponseWriter, incoming *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	started := h.options.Now()
	ctx := propagation.TraceContext{}.Extract(incoming.Context(), propagation.HeaderCarrier(incoming.Header))
	ctx, span := h.options.Tracer.Start(ctx, "caller", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()

	r, result := h.read(w, incoming, started)
	if result == nil {
		deadlined, cancel := context.WithDeadline(ctx, r.Deadline)
		defer cancel()
		var served request.Result
		if r.IdempotencyKey == "" {
			served = h.options.Plain.Serve(deadlined, r)
		} else {
			served = h.options.Keyed.Serve(deadlined, r)
		}
		result = &served
	}
	describeSpan(span, r, *result)
	h.count(r, *result, h.options.Now().Sub(started))
	if r != nil {
		w.Header().Set(HeaderRequestID, r.ID)
	}
	if result.Answer != nil {
		writeAnswer(w, result.Answer)
		return
	}
	writeProblem(w, *result)
}

// describeSpan sets the name and the attributes of a span. r is nil for a request
// that was refused by read. Its span keeps the general name, because callers can
// choose any service name in the path.
func describeSpan(span trace.Span, r *request.Request, result request.Result) {
	span.SetAttributes(attribute.String("outcome", string(result.Outcome)))
	if r != nil {
		span.SetName("caller " + r.Service)
		span.SetAttributes(attribute.String("service", r.Service), attribute.String("http.request.method", r.Method),
			attribute.String("request", r.ID))
	}
	status := 0
	if result.Answer != nil {
		status = result.Answer.Status
	} else {
		status = result.Problem.Status
		span.SetAttributes(attribute.String("reason", result.Problem.Title))
	}
	span.SetAttributes(attribute.Int("http.response.status_code", status))
	if status >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, "")
	}
}

func (h *Handler) count(r *request.Request, result request.Result, took time.Duration) {
	// A service becomes a label only if its request was accepted by read, because
	// callers can choose any name.
	service := noService
	if r != nil {
		service = r.Service
	}
	scope := h.options.Scope.Tagged(map[string]string{"service": service})
	scope.Tagged(map[string]string{"outcome": string(result.Outcome)}).Counter("requests_total").Inc(1)
	scope.Timer("request_seconds").Record(took)
	if result.Outcome == request.NotRun {
		scope.Tagged(map[string]string{"reason": reason(result.Problem)}).Counter("requests_refused_total").Inc(1)
	}
	if result.Answer == nil && h.options.Log != nil {
		h.options.Log(r, result, took)
	}
}

// noService is the service label of requests with an unknown path and of requests
// that were refused by read, also when their service was known.
const noService = "none"

// reason returns the title of a problem as a label. Titles are constants.
func reason(p *request.Problem) string { return strings.ReplaceAll(strings.ToLower(p.Title), " ", "_") }

// read reads and checks a request. If the request is refused, it returns only a
// result and no request.
func (h *Handler) read(w http.ResponseWriter, incoming *http.Request, now time.Time) (*request.Request, *request.Result) {
	refuse := func(status int, title, detail string) (*request.Request, *request.Result) {
		result := request.Refused(status, title, detail, defaultRetryAfter)
		return nil, &result
	}
	if !h.options.Accepting() {
		return refuse(http.StatusServiceUnavailable, "entry VM not ready", "this entry VM takes no requests at the moment")
	}
	name := mux.Vars(incoming)["service"]
	service, ok := h.options.Config().Service(name)
	if !ok {
		return refuse(http.StatusNotFound, "no such service", "service "+strconv.Quote(name)+" is not in force")
	}
	if service.DeadlineSeconds <= 0 {
		service.DeadlineSeconds = h.options.DefaultDeadline.Seconds()
	}
	r, err := parseHeaders(incoming, service, now)
	if err != nil {
		return refuse(http.StatusBadRequest, titleMalformed, err.Error())
	}
	limit := service.MaxBodyBytes
	if h.options.MaxBodyBytes > 0 {
		limit = min(limit, h.options.MaxBodyBytes)
	}
	r.Body, err = readBody(w, incoming, limit, r.Deadline)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "body too large",
			"service "+name+" takes at most "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "body not received in time", "the body was not complete at the deadline of the request")
	case err != nil:
		return refuse(http.StatusBadRequest, "body not received", err.Error())
	}
	return r, nil
}

// readBody reads the whole body, at the latest until the deadline of the request.
// This limits how long a slow caller occupies resources and delays a graceful
// shutdown.
func readBody(w http.ResponseWriter, incoming *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Wrap(err, "set read deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, incoming.Body, limit))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	// net/http keeps reading to detect that the caller disconnects, so the read
	// deadline must not stay.
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Wrap(err, "clear read deadline")
	}
	return body, nil
}

func parseHeaders(incoming *http.Request, service note.Service, now time.Time) (*request.Request, error) {
	header := incoming.Header
	for _, name := range []string{HeaderIdempotencyKey, HeaderTimeoutSeconds, HeaderRunTimeSeconds, HeaderTeam, HeaderUrgent, HeaderRequestID} {
		if len(header.Values(name)) > 1 {
			return nil, errors.Errorf("%s must occur at most once", name)
		}
	}
	r := &request.Request{
		ID:      header.Get(HeaderRequestID),
		Service: service.Name,
		Team:    header.Get(HeaderTeam),
		Method:  incoming.Method,
		Target:  target(incoming),
		Urgent:  header.Get(HeaderUrgent) == "true",
		Header:  header.Clone(),
	}
	if hasDotSegment(incoming.URL.EscapedPath()) {
		return nil, errors.New("the path must have no segments . and .., encoded or not")
	}
	if len(r.Team) > maxTeamBytes {
		return nil, errors.Errorf("%s has more than %d bytes", HeaderTeam, maxTeamBytes)
	}
	if urgent := header.Get(HeaderUrgent); urgent != "" && urgent != "true" && urgent != "false" {
		return nil, errors.Errorf("%s must be true or false", HeaderUrgent)
	}
	r.Operation = operation(r.Method, r.Target)
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if len(r.ID) > maxRequestIDBytes {
		return nil, errors.Errorf("%s has more than %d bytes", HeaderRequestID, maxRequestIDBytes)
	}
	if keys, ok := header[HeaderIdempotencyKey]; ok {
		if keys[0] == "" || len(keys[0]) > maxKeyBytes {
			return nil, errors.Errorf("%s must have 1 to %d bytes", HeaderIdempotencyKey, maxKeyBytes)
		}
		r.IdempotencyKey = keys[0]
	}
	timeout, err := parseSeconds(header, HeaderTimeoutSeconds, minTimeoutSeconds, service.DeadlineSeconds)
	if err != nil {
		return nil, err
	}
	r.Deadline = now.Add(timeout)
	r.DeclaredRunTime, err = parseSeconds(header, HeaderRunTimeSeconds, minRunTimeSeconds, 0)
	return r, err
}

// parseSeconds parses a header that holds a number of seconds. The comparison
// also rejects NaN.
func parseSeconds(header http.Header, name string, minSeconds, defaultSeconds float64) (time.Duration, error) {
	seconds := defaultSeconds
	if text := header.Get(name); text != "" {
		var err error
		seconds, err = strconv.ParseFloat(text, 64)
		if err != nil || !(seconds >= minSeconds && seconds <= maxSeconds) {
			return 0, errors.Errorf("%s must be a number of seconds from %v to %d", name, minSeconds, maxSeconds)
		}
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// target returns the path and query below the service.
func target(incoming *http.Request) string {
	path := strings.TrimPrefix(incoming.URL.EscapedPath(), "/v1/services/")
	_, path, _ = strings.Cut(path, "/")
	path = "/" + path
	if incoming.URL.RawQuery != "" {
		path += "?" + incoming.URL.RawQuery
	}
	return path
}

// hasDotSegment reports whether a path has a segment "." or "..", encoded or not.
// Backend servers resolve these differently, so that the path could mean
// something else on each of them.
func hasDotSegment(escapedPath string) bool {
	for segment := range strings.SplitSeq(escapedPath, "/") {
		switch strings.ReplaceAll(strings.ToLower(segment), "%2e", ".") {
		case ".", "..":
			return true
		}
	}
	return false
}

// operation returns the method and the first segment of the path. Later segments
// usually hold identifiers, each of which would become an operation of its own.
func operation(method, target string) string {
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	return method + " /" + first
}

// writeAnswer writes an answer to the caller. When the rest of the answer cannot
// be read completely, it aborts the connection, so that a partial answer never
// looks complete.
func writeAnswer(w http.ResponseWriter, answer *request.Answer) {
	header := w.Header()
	forward.RemoveHopByHopHeaders(answer.Header)
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(HeaderOutcome, string(request.Answered))
	if answer.BodyRest == nil {
		if _, ok := header["Content-Length"]; !ok && len(answer.Body) > 0 {
			header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		}
		w.WriteHeader(answer.Status)
		w.Write(answer.Body)
		return
	}
	defer answer.BodyRest.Close()
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil {
		return
	}
	if _, err := io.Copy(w, answer.BodyRest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// problem is the body of an error answer that dotterelhead itself creates (RFC
// 9457).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

func writeProblem(w http.ResponseWriter, result request.Result) {
	body := encodeProblem(w.Header(), result)
	w.WriteHeader(result.Problem.Status)
	w.Write(body)
}

// encodeProblem sets the headers of a problem and returns its body.
func encodeProblem(header http.Header, result request.Result) []byte {
	p := result.Problem
	header.Set("Content-Type", "application/problem+json")
	header.Set(HeaderOutcome, string(result.Outcome))
	if result.Outcome == request.NotRun {
		retryAfter := max(p.RetryAfter, defaultRetryAfter)
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	body, err := json.Marshal(problem{
		Type: "about:blank", Title: p.Title, Status: p.Status, Detail: p.Detail, Outcome: string(result.Outcome),
	})
	if err != nil {
		// A problem holds only strings and a number.
		panic(err)
	}
	return body
}
