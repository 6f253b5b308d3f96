package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in SYSTEM.md.
const (
	maxHold       = 6 * time.Second
	stopTime      = 400 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	endsPerAnswer = 500
	workerCPU     = 16000
	workerMemory  = 65536
)

// runID names one start of a work item.
type runID struct {
	item string
	run  int64
}

type run struct {
	id      runID
	started time.Time
	work    time.Duration
	timer   *time.Timer
}

type ended struct {
	number int64
	id     runID
	how    string
}

// worker is one life of the worker process of a machine. The spec of a work item is the time
// that it takes in milliseconds.
type worker struct {
	world            *world
	id, machine      string
	service, rack    string
	address          string
	born             int64
	bornAt           time.Time
	listener         net.Listener
	server           *http.Server
	stopHeartbeat    chan struct{}
	mu               sync.Mutex
	down             bool
	fence            int64
	runs             map[runID]*run
	highest          map[string]int64
	ends             []ended
	lastEnd          int64
	leaseUntil       time.Time
	leaseTimer       *time.Timer
	endSignal        chan struct{}
	connections      map[net.Conn]bool
	connectionsGuard sync.Mutex
	cutUntil         time.Time
	cutGuard         sync.Mutex
}

// startWorker starts a life of a worker, which writes its entry at once. An address of "" picks a
// free port.
func (w *world) startWorker(id, machine, service, rack, address string) (*worker, error) {
	k, err := w.startUnregistered(id, machine, service, rack, address)
	if err == nil {
		k.register()
	}
	return k, err
}

// startUnregistered starts a life of a worker that writes its entry for the first time after
// heartbeat.
func (w *world) startUnregistered(id, machine, service, rack, address string) (*worker, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	k := &worker{
		world: w, id: id, machine: machine, service: service, rack: rack, address: l.Addr().String(), born: now.UnixMilli(), bornAt: now,
		listener: l, stopHeartbeat: make(chan struct{}), runs: map[runID]*run{}, highest: map[string]int64{}, endSignal: make(chan struct{}),
		connections: map[net.Conn]bool{},
	}
	k.server = &http.Server{Handler: k, ConnState: k.noteConnection}
	go k.server.Serve(l)
	go k.heartbeats()
	return k, nil
}

func (k *worker) noteConnection(c net.Conn, state http.ConnState) {
	k.connectionsGuard.Lock()
	defer k.connectionsGuard.Unlock()
	if state == http.StateNew {
		k.connections[c] = true
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(k.connections, c)
	}
}

// register writes the worker's entry in the store.
func (k *worker) register() {
	if k.isCut() {
		return
	}
	k.world.store.write(names.Registry+k.id, map[string]any{
		"service": k.service, "addr": k.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"seq": time.Since(k.bornAt).Milliseconds()/heartbeat.Milliseconds() + 1, "born": k.born, "machine": k.machine, "clockMs": k.clock(),
		"labels": []string{"a", k.rack}, "capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0},
	})
}

func (k *worker) heartbeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.register()
		case <-k.stopHeartbeat:
			return
		}
	}
}

// cut cuts the worker off from everybody for a time. It runs on.
func (k *worker) cut(d time.Duration) {
	k.cutGuard.Lock()
	defer k.cutGuard.Unlock()
	k.cutUntil = time.Now().Add(d)
}

func (k *worker) isCut() bool {
	k.cutGuard.Lock()
	defer k.cutGuard.Unlock()
	return time.Now().Before(k.cutUntil)
}

// silence keeps a call without a response until its caller gives it up, if the worker is cut off.
func (k *worker) silence(r *http.Request) {
	if k.isCut() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// crash ends the life of the worker: all that it runs and knows is gone, and its connections
// are reset.
func (k *worker) crash() {
	close(k.stopHeartbeat)
	k.mu.Lock()
	k.down = true
	for id, r := range k.runs {
		r.timer.Stop()
		k.world.history.end(k, id, "crashed", 0)
	}
	k.runs = map[runID]*run{}
	if k.leaseTimer != nil {
		k.leaseTimer.Stop()
	}
	k.mu.Unlock()
	k.listener.Close()
	k.connectionsGuard.Lock()
	for c := range k.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	k.connectionsGuard.Unlock()
	k.server.Close()
}

func (k *worker) clock() int64 { return time.Since(k.bornAt).Milliseconds() }

// order is a call to a worker.
type order struct {
	Task, Spec                  string
	Run, WaitMs                 int64
	deadlineMs, fence, lastSeen int64
}

// decodeOrder reads the body of a call.
func decodeOrder(r *http.Request) (order, error) {
	var o order
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return o, err
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return o, err
	}
	field := func(name string) int64 {
		n, _ := fields[name].(float64)
		return int64(n)
	}
	o.deadlineMs, o.fence, o.lastSeen = field(names.Deadline), field(names.Token), field(names.Seen)
	return o, nil
}

// ServeHTTP implements the worker's side of the protocol.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(names.Instance); want != "" && want != k.id {
		respond(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	o, err := decodeOrder(r)
	if err != nil {
		respond(rw, http.StatusBadRequest, struct{}{})
		return
	}
	k.silence(r)
	status, reason := k.obey(r.URL.Path, o)
	if status == http.StatusOK && r.URL.Path == names.Hold {
		k.waitForEnd(time.Duration(o.WaitMs)*time.Millisecond, r.Context().Done())
		k.silence(r)
		respond(rw, status, k.lists())
		return
	}
	k.silence(r)
	body := map[string]any{"clockMs": k.clock(), "born": k.born}
	if reason != "" {
		body["reason"] = reason
	}
	respond(rw, status, body)
}

// obey carries out an order, and returns the status and the reason of a refusal.
func (k *worker) obey(path string, o order) (int, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.down:
		return http.StatusServiceUnavailable, ""
	case o.fence < k.fence:
		return http.StatusConflict, "fence"
	}
	k.fence = o.fence
	switch path {
	case names.Start:
		return k.start(o)
	case names.Stop:
		k.stop(runID{o.Task, o.Run})
	case names.Hold:
		k.extend(o.deadlineMs)
		for len(k.ends) > 0 && k.ends[0].number <= o.lastSeen {
			k.world.history.taken(k, k.ends[0])
			k.ends = k.ends[1:]
		}
	case names.Pace:
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

func (k *worker) start(o order) (int, string) {
	id := runID{o.Task, o.Run}
	if o.deadlineMs <= k.clock() {
		return http.StatusConflict, "late"
	}
	k.extend(o.deadlineMs)
	if k.runs[id] != nil {
		return http.StatusOK, ""
	}
	if o.Run <= k.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	work := time.Duration(number(o.Spec)) * time.Millisecond
	r := &run{id: id, started: time.Now(), work: work}
	r.timer = time.AfterFunc(work, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.end(id, "done")
	})
	k.runs[id] = r
	k.world.history.begin(k, id, o.Spec)
	return http.StatusOK, ""
}

// stop ends a run within stopTime. A run that is not there yet will be rejected.
func (k *worker) stop(id runID) {
	k.highest[id.item] = max(k.highest[id.item], id.run)
	if k.runs[id] == nil {
		return
	}
	time.AfterFunc(stopTime/4, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.end(id, "stopped")
	})
}

// extend extends the lease, at most to maxHold from now.
func (k *worker) extend(deadlineMs int64) {
	until := k.bornAt.Add(time.Duration(deadlineMs) * time.Millisecond)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
	}
	if !until.After(k.leaseUntil) {
		return
	}
	k.leaseUntil = until
	if k.leaseTimer != nil {
		k.leaseTimer.Stop()
	}
	k.leaseTimer = time.AfterFunc(time.Until(until), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if time.Now().Before(k.leaseUntil) {
			return
		}
		for id := range k.runs {
			k.end(id, "lapsed")
		}
	})
}

func (k *worker) end(id runID, how string) {
	r := k.runs[id]
	if r == nil || k.down {
		return
	}
	r.timer.Stop()
	delete(k.runs, id)
	k.highest[id.item] = max(k.highest[id.item], id.run)
	k.lastEnd++
	k.ends = append(k.ends, ended{k.lastEnd, id, how})
	k.world.history.end(k, id, how, k.lastEnd)
	close(k.endSignal)
	k.endSignal = make(chan struct{})
}

// waitForEnd waits until the worker has an end to list, but not longer than limit.
func (k *worker) waitForEnd(limit time.Duration, gone <-chan struct{}) {
	k.mu.Lock()
	listed, signal := len(k.ends) > 0, k.endSignal
	k.mu.Unlock()
	if listed || limit <= 0 {
		return
	}
	timer := time.NewTimer(min(limit, 2*time.Second))
	defer timer.Stop()
	select {
	case <-signal:
	case <-timer.C:
	case <-gone:
	}
}

func (k *worker) lists() map[string]any {
	k.mu.Lock()
	defer k.mu.Unlock()
	running, listed := [][]any{}, [][]any{}
	for id, r := range k.runs {
		percent := 100
		if r.work > 0 {
			percent = min(int(100*time.Since(r.started)/r.work), 100)
		}
		running = append(running, []any{id.item, id.run, "", percent, 0})
	}
	for _, e := range k.ends[:min(len(k.ends), endsPerAnswer)] {
		listed = append(listed, []any{e.number, e.id.item, e.id.run, e.how, ""})
	}
	return map[string]any{"clockMs": k.clock(), "born": k.born, "running": running, "ended": listed}
}

// history is what the workers have run.
type history struct {
	mu   sync.Mutex
	jobs map[string]*jobHistory
	// runs holds the worker and the run of each work item that runs, and twice says which have
	// run twice at the same time.
	runs  map[string]map[*worker]int64
	twice []string
	world *world
}

// jobHistory is what has run of one job.
type jobHistory struct {
	starts, running int
	// endsByKind counts the ends by how they ended.
	endsByKind map[string]int
	done       map[string]bool
	// idleSince is since when nothing of the job has run.
	idleSince time.Time
}

func jobOf(item string) string {
	id, _, _ := strings.Cut(item, ".")
	return id
}

func (h *history) job(id string) *jobHistory {
	j := h.jobs[id]
	if j == nil {
		j = &jobHistory{endsByKind: map[string]int{}, done: map[string]bool{}, idleSince: time.Now()}
		h.jobs[id] = j
	}
	return j
}

func (h *history) begin(k *worker, id runID, spec string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.job(jobOf(id.item))
	j.starts++
	j.running++
	h.world.note("%s starts %s run %d, spec %q", k.id, id.item, id.run, spec)
	for other, run := range h.runs[id.item] {
		h.twice = append(h.twice, id.item)
		h.world.note("TWICE: run %d of %s goes on at %s", run, id.item, other.id)
	}
	if h.runs[id.item] == nil {
		h.runs[id.item] = map[*worker]int64{}
	}
	h.runs[id.item][k] = id.run
}

func (h *history) end(k *worker, id runID, how string, number int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.job(jobOf(id.item))
	j.running--
	j.endsByKind[how]++
	if how == "done" {
		j.done[id.item] = true
	}
	if j.running == 0 {
		j.idleSince = time.Now()
	}
	delete(h.runs[id.item], k)
	h.world.note("%s ends %s run %d: %s (end %d)", k.id, id.item, id.run, how, number)
}

func (h *history) taken(k *worker, e ended) {
	h.world.note("%s: end %d (%s run %d) is taken note of", k.id, e.number, e.id.item, e.id.run)
}

// seen returns a copy of what has run of a job.
func (h *history) seen(id string) jobHistory {
	h.mu.Lock()
	defer h.mu.Unlock()
	return *h.job(id)
}

// doneItems returns the work items of a job that have ended as done.
func (h *history) doneItems(id string) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.job(id).done)
}

// summary says, for the record, what has run of a job.
func (h *history) summary(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.job(id)
	text := strconv.Itoa(j.starts) + " starts, " + strconv.Itoa(len(j.done)) + " work items done, " + strconv.Itoa(j.running) + " running"
	var kinds []string
	for kind, n := range j.endsByKind {
		kinds = append(kinds, kind+" "+strconv.Itoa(n))
	}
	slices.Sort(kinds)
	return text + "; ends: " + strings.Join(kinds, ", ")
}
