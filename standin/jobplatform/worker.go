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

// maxLease is the longest lease that a worker grants.
const maxLease = 6 * time.Second

// worker is one lifetime of a worker.
type worker struct {
	platform *Platform
	id       string
	machine  string
	service  string
	rack     string
	address  string
	// registered is the address in the registry.
	registered string
	born       int64
	started    time.Time

	mu       sync.Mutex
	draining bool
	dead     bool
	fence    int64
	runs     map[runKey]*run
	// highest is the highest run of each item that was stopped or ended here.
	highest  map[string]int64
	ended    []ending
	lastEnd  int64
	deadline time.Time
	lapse    *time.Timer
	endedCh  chan struct{}
}

type runKey struct {
	task string
	run  int64
}

type run struct {
	saved   string
	started time.Time
	work    time.Duration
	fails   bool
	lasting bool
	timer   *time.Timer
}

type ending struct {
	number int64
	key    runKey
	how    string
	saved  string
}

// behaviour is what a job's spec asks of its items: words like work=50ms,
// fail=0.1, lasting.
type behaviour struct {
	work    time.Duration
	fail    float64
	lasting bool
}

func parseSpec(spec string) behaviour {
	b := behaviour{work: 20 * time.Millisecond}
	for _, word := range strings.Fields(spec) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "work":
			if d, err := time.ParseDuration(value); err == nil {
				b.work = d
			}
		case "fail":
			if f, err := strconv.ParseFloat(value, 64); err == nil {
				b.fail = f
			}
		case "lasting":
			b.lasting = true
		}
	}
	return b
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken int64  `json:"fenceToken"`
	Saved      string `json:"saved"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// ServeHTTP implements the worker's side of the protocol.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	order := func() (int, any) { return w.obey(r.URL.Path, body) }
	if w.platform.delayOrder(rw, order) {
		return
	}
	status, answer := order()
	if r.URL.Path == "/dotterelhead/hold" && status == http.StatusOK {
		answer = w.waitForEnd(body)
	}
	writeJSON(rw, status, answer)
}

// obey carries out an order, possibly late.
func (w *worker) obey(path string, body orderBody) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return http.StatusServiceUnavailable, w.refusal("dead")
	}
	if body.FenceToken < w.fence {
		return http.StatusConflict, w.refusal("fence")
	}
	w.fence = body.FenceToken
	switch path {
	case "/dotterelhead/run-start":
		return w.start(body)
	case "/dotterelhead/run-stop":
		w.stop(runKey{body.Task, body.Run})
	case "/dotterelhead/hold":
		w.extend(body.DeadlineMs)
		w.ended = trimEnds(w.ended, body.LastSeen)
		if body.LastSeen > 0 {
			w.platform.history.noted(w.id, body.LastSeen)
		}
	case "/dotterelhead/pace":
	default:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born}
}

func (w *worker) refusal(reason string) any {
	return map[string]any{"clockMs": w.clock(), "born": w.born, "reason": reason}
}

func (w *worker) start(body orderBody) (int, any) {
	key := runKey{body.Task, body.Run}
	if body.DeadlineMs <= w.clock() {
		return http.StatusConflict, w.refusal("late")
	}
	w.extend(body.DeadlineMs)
	if w.runs[key] != nil {
		return http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born}
	}
	if body.Run <= w.highest[body.Task] {
		return http.StatusConflict, w.refusal("old")
	}
	b := parseSpec(body.Spec)
	r := &run{saved: body.Saved, started: time.Now(), work: b.work, fails: rand.Float64() < b.fail, lasting: b.lasting}
	w.runs[key] = r
	w.platform.history.started(w, key)
	if !r.lasting {
		how := "done"
		if r.fails {
			how = "failed"
		}
		r.timer = time.AfterFunc(b.work, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(key, how)
		})
	}
	return http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born}
}

func (w *worker) stop(key runKey) {
	w.highest[key.task] = max(w.highest[key.task], key.run)
	if w.runs[key] == nil {
		return
	}
	time.AfterFunc(10*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(key, "stopped")
	})
}

// extend lengthens the lease to a time on the worker's clock.
func (w *worker) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := w.started.Add(time.Duration(deadlineMs) * time.Millisecond)
	if most := time.Now().Add(maxLease); until.After(most) {
		until = most
	}
	if !until.After(w.deadline) {
		return
	}
	w.deadline = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(until), w.lapsed)
}

func (w *worker) lapsed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.deadline) {
		return
	}
	for key := range w.runs {
		w.end(key, "lapsed")
	}
	w.platform.history.lapsed(w.id)
}

func (w *worker) end(key runKey, how string) {
	r := w.runs[key]
	if r == nil || w.dead {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, key)
	w.highest[key.task] = max(w.highest[key.task], key.run)
	w.lastEnd++
	w.ended = append(w.ended, ending{number: w.lastEnd, key: key, how: how, saved: r.saved})
	w.platform.history.ended(w, key, how, w.lastEnd)
	close(w.endedCh)
	w.endedCh = make(chan struct{})
}

func trimEnds(ends []ending, seen int64) []ending {
	for len(ends) > 0 && ends[0].number <= seen {
		ends = ends[1:]
	}
	return ends
}

// waitForEnd answers a hold, after an end or after the time that it may wait.
func (w *worker) waitForEnd(body orderBody) any {
	timer := time.NewTimer(time.Duration(body.WaitMs) * time.Millisecond)
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ended) == 0 && body.WaitMs > 0 {
		ended := w.endedCh
		w.mu.Unlock()
		select {
		case <-ended:
		case <-timer.C:
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for key, r := range w.runs {
		percent := 100
		if !r.lasting {
			percent = int(100 * time.Since(r.started) / max(r.work, 1))
		}
		running = append(running, []any{key.task, key.run, r.saved, min(percent, 100), 0})
	}
	ended := [][]any{}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, e.saved})
	}
	return map[string]any{"clockMs": w.clock(), "born": w.born, "running": running, "ended": ended}
}

// kill ends the lifetime with all that runs.
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
	w.runs = map[runKey]*run{}
	w.platform.history.lapsed(w.id)
	if w.lapse != nil {
		w.lapse.Stop()
	}
}

// entry is what the worker writes into the registry.
func (w *worker) entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": w.service, "addr": w.registered, "zone": "zone-a", "version": "v1", "slots": 8, "state": state, "machine": w.machine,
		"coldLeftMs": 0, "born": w.born, "labels": []string{"a", w.rack}, "clockMs": w.clock(), "seq": 1,
		"capacity": map[string]int64{"cpu": workerMilliCPU, "memMb": workerMemoryMB, "gpu": 0},
	})
	if err != nil {
		panic(fmt.Sprintf("encode registry entry: %v", err))
	}
	return value
}

// Size of a worker.
const (
	workerMilliCPU = 16000
	workerMemoryMB = 65536
)
