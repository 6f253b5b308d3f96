package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/infrastructure"
)

const (
	defaultMaxRecords = 200_000
	// maxResponseBytes bounds ?bytes=N, which is built in memory.
	maxResponseBytes = 64 << 20
	// registerRetryInterval is the interval between attempts to register with a
	// platform that does not respond.
	registerRetryInterval = 200 * time.Millisecond
	// listenRetryInterval is the interval between attempts to listen again after a
	// reboot.
	listenRetryInterval = 10 * time.Millisecond
)

// BackendOptions configure a Backend.
type BackendOptions struct {
	// ID is the id of the VM that the backend server runs on. Responses carry it
	// in the field worker.
	ID string
	// Listen is the address of the server; the default is a free port on
	// loopback.
	Listen           string
	AvailabilityZone string
	Rack             string
	// Platform is the address of the stand-in platform to register with. If it
	// is empty, the backend server does not register.
	Platform string
	// RebootDuration is how long the server is down during a reboot.
	RebootDuration time.Duration
	Faults         BackendFaults
	// MaxRecords bounds the number of request records; at the limit the older
	// half is dropped.
	MaxRecords int
	Log        *log.Logger
}

// BackendFaults are the faults of the stand-in backend server.
type BackendFaults struct {
	// Fail responds to every request with 500, without doing the work. FailNext
	// applies this to the next requests, FailProbability to a random share.
	Fail            bool    `json:"fail"`
	FailNext        int     `json:"fail_next"`
	FailProbability float64 `json:"fail_probability"`
	// HalfNext closes the connections of the next requests after half of the
	// response has been sent.
	HalfNext        int     `json:"half_next"`
	HalfProbability float64 `json:"half_probability"`
	// DropNext closes the connections of the next requests after the work,
	// before any byte of the response.
	DropNext        int     `json:"drop_next"`
	DropProbability float64 `json:"drop_probability"`
	// SlowFactor multiplies the duration of the work; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor"`
	// DelaySeconds is added to the duration of the work.
	DelaySeconds float64 `json:"delay_seconds"`
	// IgnoreCancel continues the work after the client has closed the
	// connection.
	IgnoreCancel bool `json:"ignore_cancel"`
	// HealthFail responds to health requests with 503.
	HealthFail bool `json:"health_fail"`
	// Seed seeds the random numbers behind the probabilities; a new value
	// restarts their sequence.
	Seed uint64 `json:"seed"`
}

// RequestRecord describes one request that the backend server received.
type RequestRecord struct {
	Sequence  int64  `json:"sequence"`
	Execution string `json:"execution"`
	Request   string `json:"request"`
	// Pool and Generation are the request's headers Dotterelhead-Pool and
	// Dotterelhead-Generation.
	Pool           string    `json:"pool"`
	Generation     string    `json:"generation"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Traceparent    string    `json:"traceparent,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	BodyBytes      int64     `json:"body_bytes"`
	BootCount      int64     `json:"boot_count"`
	Connection     int64     `json:"connection"`
	Start          time.Time `json:"start"`
	// End is zero until the request ends.
	End    time.Time `json:"end,omitzero"`
	Status int       `json:"status,omitempty"`
	// Incomplete is set if the request ended without a complete response.
	Incomplete bool `json:"cut,omitempty"`
}

// BackendStats are the counters of a backend server.
type BackendStats struct {
	Worker         string `json:"worker"`
	BootCount      int64  `json:"boot_count"`
	Requests       int64  `json:"requests_total"`
	HealthRequests int64  `json:"health_requests"`
	// Incomplete is the number of requests that ended without a complete response.
	Incomplete int64 `json:"cut"`
	Running    int   `json:"running"`
	// MaxRunning is the highest number of concurrent requests.
	MaxRunning  int `json:"max_running"`
	Connections int `json:"connections"`
}

// RequestsResponse is the response body of GET /standin/requests.
type RequestsResponse struct {
	BackendStats
	Records []RequestRecord `json:"requests"`
}

// Backend is the stand-in backend server.
//
// A request counts as run, and is recorded, once its header has been read, unless its
// parameters are malformed. Health and admin requests are not recorded. A reboot sets
// the boot count to one more than the operation's expected boot count and closes every
// connection of the previous boot.
type Backend struct {
	options BackendOptions
	log     *log.Logger
	handler http.Handler
	client  *http.Client
	conns   connections

	mu             sync.Mutex
	addr           string
	bootCount      int64
	period         *bootPeriod
	rebooting      bool
	seenOperations map[string]struct{}
	faults         BackendFaults
	random         *rand.Rand
	sequence       int64
	records        []*RequestRecord
	stats          BackendStats

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	close      sync.Once
}

// bootPeriod holds the server and the requests of one boot. No request starts
// after ended is set.
type bootPeriod struct {
	server   *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	ended    bool
	requests sync.WaitGroup
}

// NewBackend returns a backend server that serves after Start.
func NewBackend(o BackendOptions) *Backend {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.RebootDuration <= 0 {
		o.RebootDuration = defaultRebootDuration
	}
	if o.MaxRecords <= 0 {
		o.MaxRecords = defaultMaxRecords
	}
	b := &Backend{
		options:        o,
		log:            loggerOrDiscard(o.Log),
		client:         &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		bootCount:      1,
		seenOperations: map[string]struct{}{},
		faults:         o.Faults,
		random:         newRandom(o.Faults.Seed),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.handler = b.routes()
	return b
}

// Start listens, registers with the platform and serves until ctx ends or Close
// is called. If registration fails, it is retried in the background.
func (b *Backend) Start(ctx context.Context) error {
	if err := b.listen(b.options.Listen); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = b.Close() })
	b.log.Info().Str("event", "backend_listening").Str("worker", b.options.ID).Str("address", b.Addr()).Msg("")
	if b.options.Platform != "" && b.register(0) != nil {
		b.background.Go(func() { b.registerUntilDone(0) })
	}
	return nil
}

func (b *Backend) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "stand-in backend server")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.ctx.Err(); err != nil {
		_ = l.Close()
		return errors.Wrap(err, "stand-in backend server is closed")
	}
	b.addr = l.Addr().String()
	b.period = &bootPeriod{server: &http.Server{
		Handler:           http.HandlerFunc(b.serveInBootPeriod),
		ReadHeaderTimeout: time.Minute,
		ConnContext:       withConn,
	}}
	b.period.ctx, b.period.cancel = context.WithCancel(b.ctx)
	server := b.period.server
	b.background.Go(func() { _ = server.Serve(&trackedListener{Listener: l, owner: &b.conns}) })
	return nil
}

// serveInBootPeriod adds a request to the current boot period, so that a reboot
// waits for its end. Requests that arrive after the period ended are aborted.
func (b *Backend) serveInBootPeriod(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	period := b.period
	if period.ended {
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	period.requests.Add(1)
	b.mu.Unlock()
	defer period.requests.Done()
	b.handler.ServeHTTP(w, r)
}

// endBootPeriod closes the listener and the connections of the current boot,
// cancels its requests and waits for them.
func (b *Backend) endBootPeriod() {
	b.mu.Lock()
	period := b.period
	if period != nil {
		period.ended = true
	}
	b.mu.Unlock()
	if period == nil {
		return
	}
	period.cancel()
	// The connections are reset first, because closing the server could still
	// flush complete responses. The second reset covers connections that were
	// accepted in between.
	b.conns.reset()
	_ = period.server.Close()
	b.conns.reset()
	period.requests.Wait()
}

// Close stops the server and removes the VM from the platform's list. A
// concurrent call returns when the first one has finished.
func (b *Backend) Close() error {
	b.close.Do(func() {
		b.mu.Lock()
		b.cancel()
		b.mu.Unlock()
		b.endBootPeriod()
		b.background.Wait()
		if b.options.Platform != "" {
			b.deregister()
		}
	})
	return nil
}

// Addr returns the address of the server after Start.
func (b *Backend) Addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addr
}

// BootCount returns the current boot count.
func (b *Backend) BootCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bootCount
}

// VM returns the backend server as an entry of the platform's list of VMs.
func (b *Backend) VM() infrastructure.VM {
	return infrastructure.VM{
		ID: b.options.ID, Address: b.Addr(), AvailabilityZone: b.options.AvailabilityZone, Rack: b.options.Rack,
		State: infrastructure.VMLive, BootCount: b.BootCount(),
	}
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(f BackendFaults) {
	_ = b.updateFaults(func(current *BackendFaults) error { *current = f; return nil })
}

func (b *Backend) updateFaults(change func(*BackendFaults) error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.faults
	if err := change(&next); err != nil {
		return err
	}
	if next.Seed != b.faults.Seed {
		b.random = newRandom(next.Seed)
	}
	b.faults = next
	b.log.Info().Str("event", "faults_set").Str("worker", b.options.ID).Interface("faults", next).Msg("")
	return nil
}

// Faults returns the current faults. The Next fields hold the remaining counts.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Silence makes every open connection stop responding permanently and returns
// their number. New connections work normally.
func (b *Backend) Silence() int { return b.conns.silence(nil) }

// Stats returns the counters.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.statsLocked()
}

func (b *Backend) statsLocked() BackendStats {
	s := b.stats
	s.Worker, s.BootCount, s.Connections = b.options.ID, b.bootCount, b.conns.count()
	return s
}

// Records returns the records with a sequence number greater than after, in the
// order in which the requests started.
func (b *Backend) Records(after int64) []RequestRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []RequestRecord{}
	for _, r := range b.records {
		if r.Sequence > after {
			out = append(out, *r)
		}
	}
	return out
}

// Reset clears the records and counters, except the number of running requests.
func (b *Backend) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records = nil
	b.stats = BackendStats{Running: b.stats.Running, MaxRunning: b.stats.Running}
}

func (b *Backend) routes() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.Methods("GET", "HEAD").Path("/healthz").HandlerFunc(b.serveHealth)
	b.adminRoutes(router)
	router.PathPrefix("/").HandlerFunc(b.serveWork)
	return router
}

func (b *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	b.stats.HealthRequests++
	status := http.StatusOK
	if b.faults.HealthFail {
		status = http.StatusServiceUnavailable
	}
	response := healthResponse{Worker: b.options.ID, BootCount: b.bootCount}
	b.mu.Unlock()
	writeJSON(w, status, response)
}

// faultPlan holds the faults that apply to one request.
type faultPlan struct {
	fail, half, drop bool
	ignoreCancel     bool
	bootCtx          context.Context
}

// beginRequest records the start of a request and selects its faults.
func (b *Backend) beginRequest(r *http.Request) (*RequestRecord, faultPlan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	b.stats.Requests++
	b.stats.Running++
	b.stats.MaxRunning = max(b.stats.MaxRunning, b.stats.Running)
	record := &RequestRecord{
		Sequence:       b.sequence,
		Execution:      uuid.NewString(),
		Request:        r.Header.Get("X-Request-Id"),
		Pool:           r.Header.Get("Dotterelhead-Pool"),
		Generation:     r.Header.Get("Dotterelhead-Generation"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Traceparent:    r.Header.Get("Traceparent"),
		Method:         r.Method,
		Path:           r.URL.Path,
		BootCount:      b.bootCount,
		Start:          time.Now(),
	}
	if c := requestConn(r); c != nil {
		record.Connection = c.id
	}
	if len(b.records) >= b.options.MaxRecords {
		b.records = append(b.records[:0:0], b.records[len(b.records)/2:]...)
	}
	b.records = append(b.records, record)
	return record, b.planFaultsLocked()
}

func (b *Backend) planFaultsLocked() faultPlan {
	f := &b.faults
	inject := func(next *int, probability float64) bool {
		if *next > 0 {
			*next--
			return true
		}
		return probability > 0 && b.random.Float64() < probability
	}
	return faultPlan{
		fail:         f.Fail || inject(&f.FailNext, f.FailProbability),
		half:         inject(&f.HalfNext, f.HalfProbability),
		drop:         inject(&f.DropNext, f.DropProbability),
		ignoreCancel: f.IgnoreCancel,
		bootCtx:      b.period.ctx,
	}
}

// endRequest records the end of a request.
func (b *Backend) endRequest(record *RequestRecord, status int, incomplete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	record.End, record.Status, record.Incomplete = time.Now(), status, incomplete
	b.stats.Running--
	if incomplete {
		b.stats.Incomplete++
	}
}

// workResponse is the response body of a request.
type workResponse struct {
	Execution string `json:"execution"`
	Worker    string `json:"worker"`
	Request   string `json:"request"`
	Pool      string `json:"pool,omitempty"`
	Padding   string `json:"padding,omitempty"`
	Error     string `json:"error,omitempty"`
	BootCount int64  `json:"boot_count"`
}

// workParams are the query parameters of a request.
type workParams struct {
	work   time.Duration
	bytes  int
	status int
}

func parseWorkParams(q url.Values) (workParams, error) {
	p := workParams{status: http.StatusOK}
	var err error
	if s := q.Get("work"); s != "" {
		if p.work, err = time.ParseDuration(s); err != nil || p.work < 0 {
			return p, badRequest{"query parameter work is not a duration of at least 0"}
		}
	}
	if s := q.Get("bytes"); s != "" {
		if p.bytes, err = strconv.Atoi(s); err != nil || p.bytes < 0 || p.bytes > maxResponseBytes {
			return p, badRequest{"query parameter bytes is not an integer from 0 to 64 MiB"}
		}
	}
	if s := q.Get("status"); s != "" {
		if p.status, err = strconv.Atoi(s); err != nil || p.status < 200 || p.status > 599 {
			return p, badRequest{"query parameter status is not an integer from 200 to 599"}
		}
	}
	return p, nil
}

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	params, err := parseWorkParams(r.URL.Query())
	if err != nil {
		writeError(w, err)
		return
	}
	record, plan := b.beginRequest(r)
	status, incomplete := 0, true
	defer func() { b.endRequest(record, status, incomplete) }()
	n, err := io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	record.BodyBytes = n
	b.mu.Unlock()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	response := workResponse{Execution: record.Execution, Worker: b.options.ID, Request: record.Request, Pool: record.Pool, BootCount: record.BootCount}
	if plan.fail {
		response.Error = "injected failure"
		params.status = http.StatusInternalServerError
	} else if !b.simulateWork(r.Context(), plan, params.work) {
		panic(http.ErrAbortHandler)
	}
	if plan.drop {
		panic(http.ErrAbortHandler)
	}
	body, err := encodeResponse(response, params.bytes)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	status = params.status
	incomplete = !writeResponse(w, r, status, body, plan.half)
	if incomplete {
		panic(http.ErrAbortHandler)
	}
}

// simulateWork waits for the duration of the work and reports whether it was
// completed rather than cancelled.
func (b *Backend) simulateWork(ctx context.Context, plan faultPlan, work time.Duration) bool {
	f := b.Faults()
	if f.SlowFactor > 0 {
		work = time.Duration(float64(work) * f.SlowFactor)
	}
	work += seconds(f.DelaySeconds)
	if work <= 0 {
		return true
	}
	cancelled := ctx.Done()
	if plan.ignoreCancel {
		cancelled = nil
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-cancelled:
	case <-plan.bootCtx.Done():
	}
	return false
}

// encodeResponse encodes the response, padded to size bytes. It is longer if the
// fields need more.
func encodeResponse(response workResponse, size int) ([]byte, error) {
	body, err := json.Marshal(response)
	const overhead = len(`,"padding":""`)
	if err != nil || size <= len(body) {
		return body, err
	}
	if fill := size - len(body) - overhead; fill > 0 {
		response.Padding = string(bytes.Repeat([]byte{'x'}, fill))
		return json.Marshal(response)
	}
	return append(body, bytes.Repeat([]byte{' '}, size-len(body))...), nil
}

// writeResponse writes the response, or half of it, and reports whether all of it
// was written to the connection.
func writeResponse(w http.ResponseWriter, r *http.Request, status int, body []byte, half bool) bool {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return true
	}
	if half {
		body = body[:len(body)/2]
	}
	_, err := w.Write(body)
	// Flush returns an error if the connection no longer accepts the response.
	flushErr := http.NewResponseController(w).Flush()
	return err == nil && flushErr == nil && !half
}

// Reboot closes the listener and every connection, stays down for the reboot
// duration and listens again with the boot count op.ExpectedBoot+1. It returns
// immediately and reports whether a reboot was started. A repeated operation, or one
// whose expected boot count is lower than the current one, has no effect. An expected
// boot count above the current one is accepted, so the boot count may skip values.
func (b *Backend) Reboot(op infrastructure.Operation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, repeated := b.seenOperations[op.ID]
	if repeated || b.rebooting || op.ExpectedBoot < b.bootCount || b.ctx.Err() != nil {
		return false
	}
	b.seenOperations[op.ID] = struct{}{}
	b.rebooting = true
	next := op.ExpectedBoot + 1
	b.background.Go(func() { b.runReboot(next) })
	return true
}

func (b *Backend) runReboot(next int64) {
	b.endBootPeriod()
	b.log.Info().Str("event", "rebooting").Str("worker", b.options.ID).Int64("boot_count", next).Msg("")
	timer := time.NewTimer(b.options.RebootDuration)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-b.ctx.Done():
			return
		}
		b.mu.Lock()
		b.bootCount = next
		addr := b.addr
		b.mu.Unlock()
		if err := b.listen(addr); err == nil {
			break
		}
		timer.Reset(listenRetryInterval)
	}
	b.mu.Lock()
	b.rebooting = false
	b.mu.Unlock()
	b.log.Info().Str("event", "booted").Str("worker", b.options.ID).Int64("boot_count", next).Msg("")
	if b.options.Platform != "" {
		b.registerUntilDone(next)
	}
}
