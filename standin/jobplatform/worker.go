package jobplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxLease is the longest lease of a worker. Longer ones are cut to it.
const maxLease = 6 * time.Second

// worker is the worker process on a machine. A process that RestartWorker starts is
// a new worker with the same ID and address.
type worker struct {
	platform *Platform
	id       string
	machine  string
	service  string
	rack     string
	address  string
	// registeredAddress is the address in the registry, which may differ from
	// address.
	registeredAddress string
	startedUnixMillis int64
	started           time.Time

	mu         sync.Mutex
	draining   bool
	dead       bool
	fenceToken int64
	runs       map[runKey]*run
	// highestEndedRun is the highest run of each item that was stopped or has
	// ended here. No run up to it is started again.
	highestEndedRun    map[string]int64
	unacknowledgedEnds []runEnd
	lastEndNumber      int64
	leaseExpiry        time.Time
	leaseTimer         *time.Timer
	runEnded           chan struct{}
	// capacities are the changes of the worker's capacity, the last one in force.
	capacities []capacityChange
}

type runKey struct {
	item string
	run  int64
}

type run struct {
	// saved is the state that the caller passed at the start. The simulated run
	// returns it unchanged.
	saved    string
	started  time.Time
	work     time.Duration
	willFail bool
	// lasting is set if the run does not end on its own.
	lasting bool
	// milliCPU is what the run takes from the worker's capacity.
	milliCPU int64
	timer    *time.Timer
}

type runEnd struct {
	number  int64
	key     runKey
	outcome string
	saved   string
}

// jobSpec is the simulated behaviour of the items of a job. A spec is a list of
// words: work=50ms (duration), fail=0.1 (probability of failure), lasting (runs
// until it is stopped), cpu=2000 (thousandths of a core that an item requests, for
// the check of the worker's capacity), deadly (each item crashes the worker that
// starts it), speculative (copies of an item may run at the same time).
type jobSpec struct {
	work            time.Duration
	failProbability float64
	lasting, deadly bool
	speculative     bool
	milliCPU        int64
}

func parseSpec(spec string) jobSpec {
	parsed := jobSpec{work: 20 * time.Millisecond}
	for _, word := range strings.Fields(spec) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "work":
			if d, err := time.ParseDuration(value); err == nil {
				parsed.work = d
			}
		case "fail":
			if f, err := strconv.ParseFloat(value, 64); err == nil {
				parsed.failProbability = f
			}
		case "lasting":
			parsed.lasting = true
		case "deadly":
			parsed.deadly = true
		case "speculative":
			parsed.speculative = true
		case "cpu":
			parsed.milliCPU = parseIntOrZero(value)
		}
	}
	return parsed
}

func (w *worker) clockMillis() int64 { return time.Since(w.started).Milliseconds() }

type orderBody struct {
	Item string `json:"task"`
	Run  int64  `json:"run"`
	Spec string `json:"spec"`
	// DeadlineMs is the requested expiry of the lease, on the worker's clock: the
	// milliseconds since the worker started.
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken int64  `json:"fenceToken"`
	Saved      string `json:"saved"`
	// LastSeen is the number of the last end of a run that the caller has seen.
	LastSeen int64 `json:"lastSeen"`
	WaitMs   int64 `json:"waitMs"`
	// receivedAt is when the order arrived; it may be executed later.
	receivedAt time.Time
}

// ServeHTTP implements the worker's side of the protocol.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body := orderBody{receivedAt: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.platform.delayOrder(rw, w, r.URL.Path, body) {
		return
	}
	status, response := w.executeOrder(r.URL.Path, body)
	if r.URL.Path == "/dotterelhead/hold" && status == http.StatusOK {
		response = w.holdResponse(body)
	}
	writeJSON(rw, status, response)
}

// executeOrder executes an order, which may have been delayed. An order whose fence
// token is lower than that of an earlier order is rejected.
func (w *worker) executeOrder(path string, body orderBody) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return http.StatusServiceUnavailable, w.refusalBody("dead")
	}
	if body.FenceToken < w.fenceToken {
		return http.StatusConflict, w.refusalBody("fence")
	}
	w.fenceToken = body.FenceToken
	switch path {
	case "/dotterelhead/run-start":
		return w.startRun(body)
	case "/dotterelhead/run-stop":
		w.stopRun(runKey{body.Item, body.Run})
	case "/dotterelhead/hold":
		w.extendLease(body.DeadlineMs)
		w.unacknowledgedEnds = dropAcknowledgedEnds(w.unacknowledgedEnds, body.LastSeen)
		if body.LastSeen > 0 {
			w.platform.history.acknowledge(w.id, body.LastSeen)
		}
	case "/dotterelhead/pace":
		// Accepted without effect.
	default:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, map[string]any{"clockMs": w.clockMillis(), "born": w.startedUnixMillis}
}

// refusalBody returns the response to a refused order. The reasons are: dead (the
// worker has been killed), fence (the fence token is lower than that of an earlier
// order), late (the deadline has passed) and old (this run, or a later one of the
// item, has been stopped or has ended).
func (w *worker) refusalBody(reason string) any {
	return map[string]any{"clockMs": w.clockMillis(), "born": w.startedUnixMillis, "reason": reason}
}

func (w *worker) startRun(body orderBody) (int, any) {
	key := runKey{body.Item, body.Run}
	if body.DeadlineMs <= w.clockMillis() {
		return http.StatusConflict, w.refusalBody("late")
	}
	w.extendLease(body.DeadlineMs)
	if w.runs[key] != nil {
		return http.StatusOK, map[string]any{"clockMs": w.clockMillis(), "born": w.startedUnixMillis}
	}
	if body.Run <= w.highestEndedRun[body.Item] {
		return http.StatusConflict, w.refusalBody("old")
	}
	spec := parseSpec(body.Spec)
	r := &run{
		saved: body.Saved, started: time.Now(), work: spec.work, willFail: rand.Float64() < spec.failProbability, lasting: spec.lasting,
		milliCPU: spec.milliCPU,
	}
	w.runs[key] = r
	w.platform.history.started(w, key, spec.speculative, body.receivedAt)
	w.checkCapacity(key)
	if spec.deadly {
		w.platform.history.deadlyStart(key)
		time.AfterFunc(crashAfter, func() { w.platform.crash(w) })
	} else if !r.lasting {
		outcome := "done"
		if r.willFail {
			outcome = "failed"
		}
		r.timer = time.AfterFunc(spec.work, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endRun(key, outcome)
		})
	}
	return http.StatusOK, map[string]any{"clockMs": w.clockMillis(), "born": w.startedUnixMillis}
}

// stopRun ends a run as stopped 10 ms later; until then it is listed as running. The run
// is not started again, even if the stop arrives before its start.
func (w *worker) stopRun(key runKey) {
	w.highestEndedRun[key.item] = max(w.highestEndedRun[key.item], key.run)
	if w.runs[key] == nil {
		return
	}
	time.AfterFunc(10*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endRun(key, "stopped")
	})
}

// extendLease extends the lease to a time on the worker's clock, at most maxLease
// from now. It never shortens the lease. A deadline of 0 leaves the lease unchanged.
func (w *worker) extendLease(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := w.started.Add(time.Duration(deadlineMs) * time.Millisecond)
	if most := time.Now().Add(maxLease); until.After(most) {
		until = most
	}
	if !until.After(w.leaseExpiry) {
		return
	}
	w.leaseExpiry = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Until(until), w.expireLease)
}

// expireLease ends all runs with the outcome lapsed, which is the protocol's term for
// an expired lease.
func (w *worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.leaseExpiry) {
		return
	}
	for key := range w.runs {
		w.endRun(key, "lapsed")
	}
	w.platform.history.discardUnacknowledgedEnds(w.id)
}

func (w *worker) endRun(key runKey, outcome string) {
	r := w.runs[key]
	if r == nil || w.dead {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, key)
	w.highestEndedRun[key.item] = max(w.highestEndedRun[key.item], key.run)
	w.lastEndNumber++
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, runEnd{number: w.lastEndNumber, key: key, outcome: outcome, saved: r.saved})
	w.platform.history.ended(w, key, outcome, w.lastEndNumber)
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

func dropAcknowledgedEnds(ends []runEnd, seen int64) []runEnd {
	for len(ends) > 0 && ends[0].number <= seen {
		ends = ends[1:]
	}
	return ends
}

// holdResponse returns the response to a hold. If no unacknowledged end exists, it
// waits for one, but not longer than WaitMs.
func (w *worker) holdResponse(body orderBody) any {
	timer := time.NewTimer(time.Duration(body.WaitMs) * time.Millisecond)
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.unacknowledgedEnds) == 0 && body.WaitMs > 0 {
		ended := w.runEnded
		w.mu.Unlock()
		select {
		case <-ended:
		case <-timer.C:
		}
		w.mu.Lock()
	}
	// The fields are item, run, saved state, percentage of the work done, and load.
	running := [][]any{}
	for key, r := range w.runs {
		percent := 100
		if !r.lasting {
			percent = int(100 * time.Since(r.started) / max(r.work, 1))
		}
		running = append(running, []any{key.item, key.run, r.saved, min(percent, 100), 0})
	}
	// The fields are number, item, run, outcome and saved state.
	ended := [][]any{}
	for _, e := range w.unacknowledgedEnds {
		ended = append(ended, []any{e.number, e.key.item, e.key.run, e.outcome, e.saved})
	}
	return map[string]any{"clockMs": w.clockMillis(), "born": w.startedUnixMillis, "running": running, "ended": ended}
}

// kill stops the worker at once, as in a crash: all runs are dropped and later orders
// are rejected.
func (w *worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for key, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.platform.history.killed(w, key)
	}
	w.capacities = nil
	w.runs = map[runKey]*run{}
	w.platform.history.discardUnacknowledgedEnds(w.id)
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
}

// registryEntry returns the value that the worker writes to the registry.
func (w *worker) registryEntry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": w.service, "addr": w.registeredAddress, "zone": "zone-a", "version": "v1", "slots": 8, "state": state, "machine": w.machine,
		"coldLeftMs": 0, "born": w.startedUnixMillis, "labels": []string{"a", w.rack}, "clockMs": w.clockMillis(), "seq": 1,
		"capacity": map[string]int64{"cpu": w.milliCPU(), "memMb": workerMemoryMB, "gpu": 0},
	})
	if err != nil {
		panic(fmt.Sprintf("encode registry entry: %v", err))
	}
	return value
}

// Resources of a worker, unless SetCapacity has changed them.
const (
	workerMilliCPU = 16000
	workerMemoryMB = 65536
)
