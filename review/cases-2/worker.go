package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// maxHold is the longest lease of a worker.
const maxHold = 6 * time.Second

// worker is a sound worker as the users' pages describe it. Its clock counts from its
// start.
type worker struct {
	world       *world
	id, machine string
	service     string
	cpu         int64
	server      *httptest
	born        time.Time

	mu     sync.Mutex
	fence  int64
	lease  time.Time
	runs   map[string]*run
	last   map[string]int64
	ends   []end
	number int64
	// endListed is closed when an end is added.
	endListed chan struct{}
	// unheard is set while calls to the worker get no answer and are not carried out.
	unheard bool
	// quiet leaves starts and ends out of the record.
	quiet   bool
	started []started
	ended   []ended
}

// ended is an end of a run on the worker.
type ended struct {
	at   time.Time
	task string
}

// started is a start that the worker carried out.
type started struct {
	at     time.Time
	task   string
	run    int64
	worker string
	// beside says which other work items of the step ran on the worker.
	beside string
}

type run struct {
	task    string
	number  int64
	started time.Time
	work    time.Duration
	stop    *time.Timer
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// addWorker starts a worker and registers it.
func (w *world) addWorker(service string, n int, cpu int64) (*worker, error) {
	k := &worker{
		world: w, id: fmt.Sprintf("i-%s-%d", service, n), machine: fmt.Sprintf("m-%s-%d", service, n), service: service, cpu: cpu,
		born: time.Now(), runs: map[string]*run{}, last: map[string]int64{}, endListed: make(chan struct{}),
	}
	var err error
	if k.server, err = serve(k); err != nil {
		return nil, err
	}
	k.register()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers = append(w.workers, k)
	w.machines = append(w.machines, map[string]any{
		"machine": k.machine, "pool": service, "state": "up", "zone": "zone-a", "labels": []string{"a", "r-1"},
		"capacity": map[string]int64{"cpu": cpu, "memMb": 65536, "gpu": 0}, "id": k.id,
	})
	return k, nil
}

func (k *worker) register() {
	_ = k.world.platform.Publish(kit.Names.Registry+k.id, map[string]any{
		"service": k.service, "addr": k.server.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"machine": k.machine, "born": k.born.UnixMilli(), "capacity": map[string]int64{"cpu": k.cpu, "memMb": 65536, "gpu": 0},
		"labels": []string{"a", "r-1"}, "clockMs": k.clock(), "seq": time.Now().UnixMilli(),
	})
}

func (k *worker) clock() int64 { return time.Since(k.born).Milliseconds() }

type order struct {
	Task   string `json:"task"`
	Run    int64  `json:"run"`
	Spec   string `json:"spec"`
	WaitMs int64  `json:"waitMs"`
	// deadline is a time on the worker's clock in milliseconds, seen the number of the last
	// end that the caller has noted.
	deadline, fence, seen int64
}

// readOrder reads an order. The names of three of its fields stand in a file of kit.
func readOrder(body io.Reader) (order, error) {
	var o order
	data, err := io.ReadAll(body)
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return o, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return o, err
	}
	for name, into := range map[string]*int64{kit.Names.Deadline: &o.deadline, kit.Names.Token: &o.fence, kit.Names.Seen: &o.seen} {
		if text, ok := fields[name]; ok {
			if err := json.Unmarshal(text, into); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}

// ServeHTTP serves the calls of the system.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(kit.Names.Instance); want != "" && want != k.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o, err := readOrder(r.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	unheard := k.unheard
	k.mu.Unlock()
	if unheard {
		<-r.Context().Done()
		return
	}
	status, body := k.carryOut(r.URL.Path, o)
	if status == http.StatusOK && r.URL.Path == kit.Names.Hold {
		body = k.lists(o, r)
	}
	writeJSON(rw, status, body)
}

func (k *worker) answer(reason string) map[string]any {
	a := map[string]any{"clockMs": k.clock(), "born": k.born.UnixMilli()}
	if reason != "" {
		a["reason"] = reason
	}
	return a
}

func (k *worker) carryOut(path string, o order) (int, map[string]any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lapseIfDue()
	if o.fence < k.fence {
		return http.StatusConflict, k.answer("fence")
	}
	k.fence = o.fence
	switch path {
	case kit.Names.Start:
		return k.start(o)
	case kit.Names.Stop:
		k.stop(o)
	case kit.Names.Hold:
		k.extend(o.deadline)
		k.ends = slices.DeleteFunc(k.ends, func(e end) bool { return e.number <= o.seen })
	case kit.Names.Pace:
	default:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, k.answer("")
}

func key(task string, number int64) string { return fmt.Sprintf("%s#%d", task, number) }

// start starts a run. The spec holds the time that an item works, like
// work=200ms, and the word fails if it then fails.
func (k *worker) start(o order) (int, map[string]any) {
	if o.deadline <= k.clock() {
		return http.StatusConflict, k.answer("late")
	}
	k.extend(o.deadline)
	if k.runs[key(o.Task, o.Run)] != nil {
		return http.StatusOK, k.answer("")
	}
	if o.Run <= k.last[o.Task] {
		return http.StatusConflict, k.answer("old")
	}
	r := &run{task: o.Task, number: o.Run, started: time.Now(), work: time.Second}
	if _, text, ok := strings.Cut(o.Spec, "work="); ok {
		if d, err := time.ParseDuration(strings.Fields(text)[0]); err == nil {
			r.work = d
		}
	}
	if d, ok := shortWork(o.Task, strings.Fields(o.Spec)); ok {
		r.work = d
	}
	k.runs[key(o.Task, o.Run)] = r
	s := started{r.started, o.Task, o.Run, k.id, ""}
	if !k.quiet {
		s.beside = k.beside(o.Task)
		k.world.rec.add("%s starts %s run %d%s", k.id, o.Task, o.Run, s.beside)
	}
	k.started = append(k.started, s)
	how := "done"
	if strings.Contains(o.Spec, "fails") {
		how = "failed"
	}
	time.AfterFunc(r.work, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.lapseIfDue()
		k.end(r, how)
	})
	return http.StatusOK, k.answer("")
}

// stepOf returns the part of a task's name that names its step.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// beside lists the other work items of the step that run on the worker.
func (k *worker) beside(task string) string {
	var others []string
	for _, r := range k.runs {
		if r.task != task && stepOf(r.task) == stepOf(task) {
			others = append(others, r.task)
		}
	}
	if len(others) == 0 {
		return ""
	}
	slices.Sort(others)
	return fmt.Sprintf(" beside %v", others)
}

// stop ends a run within stopTimeout.
func (k *worker) stop(o order) {
	k.last[o.Task] = max(k.last[o.Task], o.Run)
	r := k.runs[key(o.Task, o.Run)]
	if r == nil || r.stop != nil {
		return
	}
	if !k.quiet {
		k.world.rec.add("%s is told to stop %s run %d", k.id, o.Task, o.Run)
	}
	r.stop = time.AfterFunc(stopTimeout*9/10, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.end(r, "stopped")
	})
}

func (k *worker) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := k.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
	}
	if until.After(k.lease) {
		k.lease = until
	}
}

// lapseIfDue ends all runs if the lease has expired.
func (k *worker) lapseIfDue() {
	if k.lease.IsZero() || time.Now().Before(k.lease) {
		return
	}
	for _, r := range k.runs {
		k.end(r, "lapsed")
	}
}

func (k *worker) end(r *run, how string) {
	if k.runs[key(r.task, r.number)] != r {
		return
	}
	delete(k.runs, key(r.task, r.number))
	k.last[r.task] = max(k.last[r.task], r.number)
	k.number++
	k.ends = append(k.ends, end{k.number, r.task, r.number, how})
	k.ended = append(k.ended, ended{time.Now(), r.task})
	if !k.quiet {
		k.world.rec.add("%s: %s run %d has ended %s", k.id, r.task, r.number, how)
	}
	close(k.endListed)
	k.endListed = make(chan struct{})
}

// lists returns the lists of runs and ends. It waits for an end if there is none.
func (k *worker) lists(o order, r *http.Request) map[string]any {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.ends) == 0 && o.WaitMs > 0 {
		listed := k.endListed
		k.mu.Unlock()
		select {
		case <-listed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		k.mu.Lock()
	}
	k.lapseIfDue()
	running, ended := [][]any{}, [][]any{}
	for _, r := range k.runs {
		percent := min(int(100*time.Since(r.started)/max(r.work, 1)), 99)
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range k.ends[:min(len(k.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	a := k.answer("")
	a["running"], a["ended"] = running, ended
	return a
}

// startsAfter returns the starts of a job's work items after a time, in their order.
func (w *world) startsAfter(job string, after time.Time) []started {
	var all []started
	for _, k := range w.workers {
		k.mu.Lock()
		for _, s := range k.started {
			if strings.HasPrefix(s.task, job+".") && s.at.After(after) {
				all = append(all, s)
			}
		}
		k.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b started) int { return a.at.Compare(b.at) })
	return all
}

func names(starts []started) []string {
	var out []string
	for _, s := range starts {
		out = append(out, s.task)
	}
	return out
}

// running returns how many runs of a job go on.
func (w *world) running(job string) int {
	n := 0
	for _, k := range w.workers {
		k.mu.Lock()
		for _, r := range k.runs {
			if strings.HasPrefix(r.task, job+".") {
				n++
			}
		}
		k.mu.Unlock()
	}
	return n
}
