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
	// maxAnswerBytes bounds ?bytes=N, which is built in memory.
	maxAnswerBytes = 64 << 20
	// registerRetry is the interval between attempts to register at a platform
	// that does not answer.
	registerRetry = 200 * time.Millisecond
	// listenRetry is the interval between attempts to listen again after a
	// reboot.
	listenRetry = 10 * time.Millisecond
)

// BackendOptions configure a Backend.
type BackendOptions struct {
	// ID is the VM's id and the worker in the answers.
	ID string
	// Listen is the address of the server; the default is a free port on
	// loopback.
	Listen           string
	AvailabilityZone string
	Rack             string
	// Platform is the address of a stand-in platform to register at. Without
	// it the backend server registers nowhere.
	Platform string
	// RebootDuration is how long a reboot takes.
	RebootDuration time.Duration
	Faults         BackendFaults
	// MaxRecords bounds the record of requests; the oldest are dropped.
	MaxRecords int
	Log        *log.Logger
}

// BackendFaults are the faults of the stand-in backend server.
type BackendFaults struct {
	// Fail answers every request with 500 at once.
	Fail            bool    `json:"fail"`
	FailNext        int     `json:"fail_next"`
	FailProbability float64 `json:"fail_probability"`
	// HalfNext drops the connections of the next requests after half of the
	// answer.
	HalfNext        int     `json:"half_next"`
	HalfProbability float64 `json:"half_probability"`
	// DropNext drops the connections of the next requests after the work, with
	// no byte of the answer.
	DropNext        int     `json:"drop_next"`
	DropProbability float64 `json:"drop_probability"`
	// SlowFactor multiplies the time of the work; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor"`
	// DelaySeconds is added to the time of the work.
	DelaySeconds float64 `json:"delay_seconds"`
	// IgnoreCancel goes on with the work when the connection is closed.
	IgnoreCancel bool `json:"ignore_cancel"`
	// HealthFail answers the health request with 503.
	HealthFail bool `json:"health_fail"`
	// Seed starts the random numbers of the probabilities anew.
	Seed uint64 `json:"seed"`
}

// Record is what the backend server notes of one request.
type Record struct {
	Sequence       int64     `json:"sequence"`
	Execution      string    `json:"execution"`
	Request        string    `json:"request"`
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
	// End is zero while the request runs.
	End    time.Time `json:"end,omitzero"`
	Status int       `json:"status,omitempty"`
	// Cut tells that the request ended without its complete answer.
	Cut bool `json:"cut,omitempty"`
}

// BackendStats are the counters of a backend server.
type BackendStats struct {
	Worker         string `json:"worker"`
	BootCount      int64  `json:"boot_count"`
	Requests       int64  `json:"requests_total"`
	HealthRequests int64  `json:"health_requests"`
	Cut            int64  `json:"cut"`
	Running        int    `json:"running"`
	// MaxRunning is the most requests that ran at once.
	MaxRunning  int `json:"max_running"`
	Connections int `json:"connections"`
}

// RequestsAnswer is the answer of GET /standin/requests.
type RequestsAnswer struct {
	BackendStats
	Records []Record `json:"requests"`
}

// Backend is the stand-in backend server.
//
// A request counts as run from the moment its header has been read. After a
// reboot the boot count is one higher and every connection of the earlier boot
// is closed.
type Backend struct {
	options BackendOptions
	log     *log.Logger
	handler http.Handler
	client  *http.Client
	conns   connections

	mu        sync.Mutex
	addr      string
	boot      int64
	period    *bootPeriod
	rebooting bool
	done      map[string]struct{}
	faults    BackendFaults
	random    *rand.Rand
	sequence  int64
	records   []*Record
	stats     BackendStats

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	close  sync.Once
}

// bootPeriod is what lives from one boot to the next. No request starts after
// ended is set.
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
		options: o,
		log:     loggerOr(o.Log),
		client:  &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		boot:    1,
		done:    map[string]struct{}{},
		faults:  o.Faults,
		random:  seeded(o.Faults.Seed),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.handler = b.routes()
	return b
}

// Start listens, registers at the platform and serves until ctx ends or Close
// is called. If the platform does not answer, registration goes on in the
// background.
func (b *Backend) Start(ctx context.Context) error {
	if err := b.listen(b.options.Listen); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = b.Close() })
	b.log.Info().Str("event", "backend_listening").Str("worker", b.options.ID).Str("address", b.Addr()).Msg("")
	if b.options.Platform != "" && b.register(0) != nil {
		b.work.Go(func() { b.registerUntilDone(0) })
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
		return errors.Wrap(err, "stand-in backend server")
	}
	b.addr = l.Addr().String()
	b.period = &bootPeriod{server: &http.Server{
		Handler:           http.HandlerFunc(b.serve),
		ReadHeaderTimeout: time.Minute,
		ConnContext:       withConn,
	}}
	b.period.ctx, b.period.cancel = context.WithCancel(b.ctx)
	server := b.period.server
	b.work.Go(func() { _ = server.Serve(&trackedListener{Listener: l, owner: &b.conns}) })
	return nil
}

// serve counts a request of the present boot, so that a reboot waits for its
// end.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
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

// shut ends the listener, the requests and the connections of this boot.
func (b *Backend) shut() {
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
	// The reset comes first, so that no answer is completed by the close. It
	// is repeated for connections that were accepted meanwhile.
	b.conns.reset()
	_ = period.server.Close()
	b.conns.reset()
	period.requests.Wait()
}

// Close ends the server. The VM leaves the platform's list. A call while
// another one is under way returns when that has ended.
func (b *Backend) Close() error {
	b.close.Do(func() {
		b.mu.Lock()
		b.cancel()
		b.mu.Unlock()
		b.shut()
		b.work.Wait()
		if b.options.Platform != "" {
			b.deregister()
		}
	})
	return nil
}

// Addr is the address of the server after Start.
func (b *Backend) Addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addr
}

// BootCount returns the present boot count.
func (b *Backend) BootCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.boot
}

// VM returns the record of the backend server in the platform's list.
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
		b.random = seeded(next.Seed)
	}
	b.faults = next
	b.log.Info().Str("event", "faults_set").Str("worker", b.options.ID).Interface("faults", next).Msg("")
	return nil
}

// Faults returns the faults in force, with the remaining counts.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Silence makes the open connections silent for good and returns their number.
// New connections work.
func (b *Backend) Silence() int { return b.conns.silence(nil) }

// Stats returns the counters.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.statsLocked()
}

func (b *Backend) statsLocked() BackendStats {
	s := b.stats
	s.Worker, s.BootCount, s.Connections = b.options.ID, b.boot, b.conns.count()
	return s
}

// Records returns the requests with a sequence above after, in the order of
// their start.
func (b *Backend) Records(after int64) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []Record{}
	for _, r := range b.records {
		if r.Sequence > after {
			out = append(out, *r)
		}
	}
	return out
}

// Reset forgets the records and counters; running requests stay counted.
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
	answer := health{Worker: b.options.ID, BootCount: b.boot}
	b.mu.Unlock()
	writeJSON(w, status, answer)
}

// plan is what the faults decide for one request.
type plan struct {
	fail, half, drop bool
	ignoreCancel     bool
	bootCtx          context.Context
}

// begin notes the start of a request and decides its faults.
func (b *Backend) begin(r *http.Request) (*Record, plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	b.stats.Requests++
	b.stats.Running++
	b.stats.MaxRunning = max(b.stats.MaxRunning, b.stats.Running)
	record := &Record{
		Sequence:       b.sequence,
		Execution:      uuid.NewString(),
		Request:        r.Header.Get("X-Request-Id"),
		Pool:           r.Header.Get("Dotterelhead-Pool"),
		Generation:     r.Header.Get("Dotterelhead-Generation"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Traceparent:    r.Header.Get("Traceparent"),
		Method:         r.Method,
		Path:           r.URL.Path,
		BootCount:      b.boot,
		Start:          time.Now(),
	}
	if c := connOf(r); c != nil {
		record.Connection = c.id
	}
	if len(b.records) >= b.options.MaxRecords {
		b.records = append(b.records[:0:0], b.records[len(b.records)/2:]...)
	}
	b.records = append(b.records, record)
	return record, b.planLocked()
}

func (b *Backend) planLocked() plan {
	f := &b.faults
	hit := func(next *int, probability float64) bool {
		if *next > 0 {
			*next--
			return true
		}
		return probability > 0 && b.random.Float64() < probability
	}
	return plan{
		fail:         f.Fail || hit(&f.FailNext, f.FailProbability),
		half:         hit(&f.HalfNext, f.HalfProbability),
		drop:         hit(&f.DropNext, f.DropProbability),
		ignoreCancel: f.IgnoreCancel,
		bootCtx:      b.period.ctx,
	}
}

// end notes the end of a request.
func (b *Backend) end(record *Record, status int, cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	record.End, record.Status, record.Cut = time.Now(), status, cut
	b.stats.Running--
	if cut {
		b.stats.Cut++
	}
}

// workAnswer is the answer of a request.
type workAnswer struct {
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

func parseWork(q url.Values) (workParams, error) {
	p := workParams{status: http.StatusOK}
	var err error
	if s := q.Get("work"); s != "" {
		if p.work, err = time.ParseDuration(s); err != nil || p.work < 0 {
			return p, badRequest{"malformed work"}
		}
	}
	if s := q.Get("bytes"); s != "" {
		if p.bytes, err = strconv.Atoi(s); err != nil || p.bytes < 0 || p.bytes > maxAnswerBytes {
			return p, badRequest{"malformed bytes"}
		}
	}
	if s := q.Get("status"); s != "" {
		if p.status, err = strconv.Atoi(s); err != nil || p.status < 200 || p.status > 599 {
			return p, badRequest{"malformed status"}
		}
	}
	return p, nil
}

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	params, err := parseWork(r.URL.Query())
	if err != nil {
		writeError(w, err)
		return
	}
	record, plan := b.begin(r)
	status, cut := 0, true
	defer func() { b.end(record, status, cut) }()
	n, err := io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	record.BodyBytes = n
	b.mu.Unlock()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer := workAnswer{Execution: record.Execution, Worker: b.options.ID, Request: record.Request, Pool: record.Pool, BootCount: record.BootCount}
	if plan.fail {
		answer.Error = "injected failure"
		params.status = http.StatusInternalServerError
	} else if !b.run(r.Context(), plan, params.work) {
		panic(http.ErrAbortHandler)
	}
	if plan.drop {
		panic(http.ErrAbortHandler)
	}
	body, err := render(answer, params.bytes)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	status = params.status
	cut = !send(w, r, status, body, plan.half)
	if cut {
		panic(http.ErrAbortHandler)
	}
}

// run works for a time and reports whether it came to the end.
func (b *Backend) run(ctx context.Context, plan plan, work time.Duration) bool {
	f := b.Faults()
	if f.SlowFactor > 0 {
		work = time.Duration(float64(work) * f.SlowFactor)
	}
	work += seconds(f.DelaySeconds)
	if work <= 0 {
		return true
	}
	gone := ctx.Done()
	if plan.ignoreCancel {
		gone = nil
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
	case <-plan.bootCtx.Done():
	}
	return false
}

// render encodes the answer with exactly size bytes, or more if the fields
// need more.
func render(a workAnswer, size int) ([]byte, error) {
	body, err := json.Marshal(a)
	const overhead = len(`,"padding":""`)
	if err != nil || size <= len(body) {
		return body, err
	}
	if fill := size - len(body) - overhead; fill > 0 {
		a.Padding = string(bytes.Repeat([]byte{'x'}, fill))
		return json.Marshal(a)
	}
	return append(body, bytes.Repeat([]byte{' '}, size-len(body))...), nil
}

// send writes the answer, or half of it, and reports whether all of it was
// handed to the connection.
func send(w http.ResponseWriter, r *http.Request, status int, body []byte, half bool) bool {
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
	// The flush tells whether the connection still takes the answer.
	flushErr := http.NewResponseController(w).Flush()
	return err == nil && flushErr == nil && !half
}

// Reboot closes the listener and every connection, stays away for the reboot
// duration and listens again with a new boot count. It returns at once and
// reports whether a reboot began: a repeat of the operation, or an expected
// boot count that has passed, does nothing.
func (b *Backend) Reboot(op infrastructure.Operation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, repeated := b.done[op.ID]
	if repeated || b.rebooting || op.ExpectedBoot < b.boot || b.ctx.Err() != nil {
		return false
	}
	b.done[op.ID] = struct{}{}
	b.rebooting = true
	next := op.ExpectedBoot + 1
	b.work.Go(func() { b.runReboot(next) })
	return true
}

func (b *Backend) runReboot(next int64) {
	b.shut()
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
		b.boot = next
		addr := b.addr
		b.mu.Unlock()
		if err := b.listen(addr); err == nil {
			break
		}
		timer.Reset(listenRetry)
	}
	b.mu.Lock()
	b.rebooting = false
	b.mu.Unlock()
	b.log.Info().Str("event", "booted").Str("worker", b.options.ID).Int64("boot_count", next).Msg("")
	if b.options.Platform != "" {
		b.registerUntilDone(next)
	}
}
