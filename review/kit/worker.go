package kit

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/standin/jobplatform"
)

// Times of the protocol: the longest lease, how long a stop takes, and how often a worker
// writes its entry.
const (
	maxHold     = 6 * time.Second
	stopTime    = 50 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	maxHoldWait = 2 * time.Second
	// startup is how long a work item that lasts takes until it is at work.
	startup = 900 * time.Millisecond
)

// Behaviour says how a run ends by itself and after which time. A zero duration stands for
// a run that lasts; it is at work after startup.
type Behaviour func(spec, item string, run int64) (time.Duration, string)

// Worker is a worker of the users' platform. It may crash and start again under its ID
// and at its address.
type Worker struct {
	ID, Machine, Service, Rack string
	Behave                     Behaviour
	// ClockAhead is by how much the time of day on the worker's machine is ahead when a
	// lifetime starts.
	ClockAhead time.Duration
	// OnStart, if set, is called after each run that begins.
	OnStart func(w *Worker, item string, run int64)
	// OnStop, if set, is called for each order to stop a work item that lasts and is at work.
	OnStop func(w *Worker, item string)

	record *Record
	store  *jobplatform.Platform

	mu       sync.Mutex
	kind     string
	address  string
	alive    bool
	lifetime int
	started  time.Time
	born     int64
	holds    int
	server   *http.Server
	fence    int64
	runs     map[runID]*run
	highest  map[string]int64
	ended    []end
	outcomes map[string]string
	lastEnd  int64
	leaseEnd time.Time
	changed  chan struct{}
	seq      int64
	// cutUntil is until when nothing gets through to the worker or from it.
	cutUntil time.Time
	// held is set once the present lifetime has answered a hold, and so has told its start.
	held bool
}

type runID struct {
	item string
	run  int64
}

type run struct {
	started time.Time
	lasts   time.Duration
	saved   string
}

func (r *run) percent() int64 {
	if r.lasts == 0 {
		return min(100, 100*int64(time.Since(r.started))/int64(startup))
	}
	return min(99, 100*int64(time.Since(r.started))/int64(r.lasts))
}

type end struct {
	number int64
	runID
	how, saved string
}

// NewWorker returns a worker that is down.
func NewWorker(id, machine, service, rack string, store *jobplatform.Platform, record *Record) *Worker {
	return &Worker{ID: id, Machine: machine, Service: service, Rack: rack, store: store, record: record, address: "127.0.0.1:0", outcomes: map[string]string{}}
}

// Start begins a lifetime of the given kind, which writes its entry after checkIn.
func (w *Worker) Start(kind string, checkIn time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.kind, w.alive, w.started = kind, true, time.Now()
	w.born = w.started.Add(w.ClockAhead).UnixMilli()
	w.lifetime++
	w.fence, w.runs, w.highest, w.ended, w.lastEnd, w.leaseEnd = 0, map[runID]*run{}, map[string]int64{}, nil, 0, time.Time{}
	w.held = false
	w.changed = make(chan struct{})
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	w.record.Printf("worker %s (machine %s) starts: kind %s, born %d", w.ID, w.Machine, kind, w.born)
	go w.live(w.lifetime, checkIn)
	return nil
}

// Crash ends the process: connections are closed, and nothing is kept.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.alive {
		return
	}
	w.alive = false
	for id := range w.runs {
		w.record.Printf("worker %s: run %d of %s is lost with its worker", w.ID, id.run, id.item)
	}
	w.record.Printf("worker %s crashes", w.ID)
	_ = w.server.Close()
}

// Cut keeps everything from getting through to the worker or from it for d. It runs on.
func (w *Worker) Cut(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutUntil = time.Now().Add(d)
	w.record.Printf("worker %s is cut off for %v and runs on", w.ID, d)
}

func (w *Worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.cutUntil)
}

// Running returns whether a run is in progress.
func (w *Worker) Running(item string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.runs {
		if w.alive && id.item == item {
			return true
		}
	}
	return false
}

// Ended returns how the last run of a work item that the worker has listed as ended did, or
// an empty string.
func (w *Worker) Ended(item string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outcomes[item]
}

// Kind returns the kind of the present lifetime.
func (w *Worker) Kind() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kind
}

// Holds returns the number of holds that the worker has answered.
func (w *Worker) Holds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds
}

// Held reports whether the present lifetime has answered a hold.
func (w *Worker) Held() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held
}

// live writes the entry at each heartbeat and ends runs whose lease has lapsed.
func (w *Worker) live(lifetime int, checkIn time.Duration) {
	next, checkedIn := time.Now().Add(checkIn), false
	for {
		w.mu.Lock()
		if !w.alive || w.lifetime != lifetime {
			w.mu.Unlock()
			return
		}
		if len(w.runs) > 0 && time.Now().After(w.leaseEnd) {
			for id := range w.runs {
				w.endLocked(id, "lapsed", "")
			}
		}
		due := !time.Now().Before(next) && !time.Now().Before(w.cutUntil)
		var entry map[string]any
		if due {
			next = time.Now().Add(heartbeat)
			w.seq++
			entry = map[string]any{
				"service": w.Service, "addr": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": w.seq,
				"machine": w.Machine, "born": w.born, "labels": []string{w.kind, w.Rack},
				"capacity": map[string]int64{"cpu": 16000, "memMb": 65536, "gpu": 0},
			}
			if !checkedIn {
				checkedIn = true
				w.record.Printf("worker %s checks in: kind %s, born %d", w.ID, w.kind, w.born)
			}
		}
		w.mu.Unlock()
		if due {
			if err := w.store.Publish(Names.Registry+w.ID, entry); err != nil {
				w.record.Printf("worker %s: %v", w.ID, err)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// order is the body of a call.
type order struct {
	Task, Spec, Saved                string
	Run, Deadline, Token, Seen, Wait int64
}

func decodeOrder(r io.Reader) (order, error) {
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(r).Decode(&fields); err != nil {
		return order{}, err
	}
	var o order
	for name, into := range map[string]any{
		"task": &o.Task, "spec": &o.Spec, "saved": &o.Saved, "run": &o.Run, "waitMs": &o.Wait,
		Names.Deadline: &o.Deadline, Names.Token: &o.Token, Names.Seen: &o.Seen,
	} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, into); err != nil {
				return order{}, err
			}
		}
	}
	return o, nil
}

// ServeHTTP implements the worker's side of the protocol.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(Names.Instance); want != "" && want != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.isCut() {
		<-r.Context().Done()
		return
	}
	o, err := decodeOrder(r.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	status, reason := w.executeLocked(r.URL.Path, o)
	body := map[string]any{"clockMs": time.Since(w.started).Milliseconds(), "born": w.born}
	if reason != "" {
		body["reason"] = reason
	}
	if status == http.StatusOK && r.URL.Path == Names.Hold {
		w.waitLocked(min(time.Duration(o.Wait)*time.Millisecond, maxHoldWait))
		body = w.listsLocked()
		if !w.held && w.alive {
			w.held = true
			w.record.Printf("worker %s answers the first hold of this lifetime: born %d", w.ID, w.born)
		}
	}
	w.mu.Unlock()
	if r.URL.Path == Names.Hold && w.isCut() {
		<-r.Context().Done()
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *Worker) executeLocked(path string, o order) (status int, reason string) {
	if o.Token < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.Token
	id := runID{o.Task, o.Run}
	switch path {
	case Names.Start:
		status, reason = w.startLocked(id, o)
		w.record.Printf("worker %s: start of run %d of %s, answer %d %s", w.ID, o.Run, o.Task, status, reason)
		return status, reason
	case Names.Stop:
		atWork := w.runs[id] != nil && w.runs[id].lasts == 0 && w.runs[id].percent() == 100
		w.record.Printf("worker %s: stop of run %d of %s, at work: %t", w.ID, o.Run, o.Task, atWork)
		if atWork && w.OnStop != nil {
			go w.OnStop(w, o.Task)
		}
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if w.runs[id] != nil {
			lifetime := w.lifetime
			time.AfterFunc(stopTime, func() { w.endLater(lifetime, id, "stopped") })
		}
	case Names.Hold:
		w.holds++
		w.extendLocked(o.Deadline)
		for len(w.ended) > 0 && w.ended[0].number <= o.Seen {
			w.ended = w.ended[1:]
		}
	case Names.Pace:
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

func (w *Worker) startLocked(id runID, o order) (status int, reason string) {
	if o.Deadline <= time.Since(w.started).Milliseconds() {
		return http.StatusConflict, "late"
	}
	w.extendLocked(o.Deadline)
	if w.runs[id] != nil {
		return http.StatusOK, ""
	}
	if id.run <= w.highest[id.item] {
		return http.StatusConflict, "old"
	}
	lasts, how := w.Behave(o.Spec, id.item, id.run)
	w.runs[id] = &run{started: time.Now(), lasts: lasts, saved: o.Saved}
	w.record.Printf("worker %s (kind %s): run %d of %s begins", w.ID, w.kind, id.run, id.item)
	if lasts > 0 {
		lifetime := w.lifetime
		time.AfterFunc(lasts, func() { w.endLater(lifetime, id, how) })
	}
	if w.OnStart != nil {
		go w.OnStart(w, id.item, id.run)
	}
	return http.StatusOK, ""
}

// extendLocked extends the lease to a time on the worker's clock. It never shortens it.
func (w *Worker) extendLocked(deadlineMs int64) {
	until := w.started.Add(time.Duration(deadlineMs) * time.Millisecond)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
	}
	if deadlineMs > 0 && until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

func (w *Worker) endLater(lifetime int, id runID, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.alive && w.lifetime == lifetime && w.runs[id] != nil {
		w.endLocked(id, how, w.runs[id].saved)
	}
}

func (w *Worker) endLocked(id runID, how, saved string) {
	delete(w.runs, id)
	w.outcomes[id.item] = how
	w.highest[id.item] = max(w.highest[id.item], id.run)
	w.lastEnd++
	w.ended = append(w.ended, end{w.lastEnd, id, how, saved})
	w.record.Printf("worker %s: run %d of %s ends %s", w.ID, id.run, id.item, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// waitLocked waits until an end is there to list, or for d.
func (w *Worker) waitLocked(d time.Duration) {
	if len(w.ended) > 0 || d <= 0 {
		return
	}
	changed := w.changed
	w.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(d):
	}
	w.mu.Lock()
}

func (w *Worker) listsLocked() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for id, r := range w.runs {
		running = append(running, []any{id.item, id.run, r.saved, r.percent(), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.item, e.run, e.how, e.saved})
	}
	return map[string]any{"clockMs": time.Since(w.started).Milliseconds(), "born": w.born, "running": running, "ended": ended}
}
