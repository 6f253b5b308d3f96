package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/standin/jobplatform"
)

// Machines is the platform's API for machines, with one worker on each.
type Machines struct {
	// Late, if set, returns true for an order for upkeep that is to get no answer and to be
	// carried out after LateAfter.
	Late      func(machine, holder string) bool
	LateAfter time.Duration
	// Cap is the number of machines of the wave that may be down for it at a time.
	Cap int

	record *Record
	store  *jobplatform.Platform
	server *http.Server
	addr   string

	mu       sync.Mutex
	machines []*machine
	next     int
	overCap  int
}

type machine struct {
	id     string
	worker *Worker
	up     bool
	fence  int64
	waves  map[int64]bool
}

// upkeepTime is maintenanceS of the small site.
const upkeepTime = 2 * time.Second

// NewMachines serves the API for the machines of the workers.
func NewMachines(workers []*Worker, limit int, store *jobplatform.Platform, record *Record) (*Machines, error) {
	m := &Machines{Cap: limit, record: record, store: store, next: len(workers)}
	for _, w := range workers {
		m.machines = append(m.machines, &machine{id: w.Machine, worker: w, up: true, waves: map[int64]bool{}})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Names.Machines, m.list)
	mux.HandleFunc("POST "+Names.Upkeep, m.upkeep)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = m.server.Serve(l) }()
	return m, nil
}

// Addr returns the address of the API.
func (m *Machines) Addr() string { return m.addr }

// Close ends the API and the workers.
func (m *Machines) Close() {
	_ = m.server.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.machines {
		x.worker.Crash()
	}
}

// Result returns how many machines had their upkeep in a wave, and how many upkeeps began
// over the wave's cap.
func (m *Machines) Result(wave int64) (done, overCap int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.machines {
		if x.waves[wave] && x.up {
			done++
		}
	}
	return done, m.overCap
}

func (m *Machines) list(rw http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for _, x := range m.machines {
		id, state := x.worker.ID, "up"
		if !x.up {
			id, state = "", "upkeep"
		}
		rows = append(rows, map[string]any{
			"machine": x.id, "pool": x.worker.Service, "state": state, "zone": "zone-a", "labels": []string{"a", x.worker.Rack},
			"capacity": map[string]int64{"cpu": 16000, "memMb": 65536, "gpu": 0}, "id": id,
		})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": rows, "nextToken": nil})
}

type upkeepOrder struct {
	Machine string `json:"machine"`
	Wave    int64  `json:"wave"`
}

func (m *Machines) upkeep(rw http.ResponseWriter, r *http.Request) {
	var o upkeepOrder
	fence, err := strconv.ParseInt(r.Header.Get(Names.Fence), 10, 64)
	if json.NewDecoder(r.Body).Decode(&o) != nil || err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get(Names.Holder)
	if m.Late != nil && m.Late(o.Machine, holder) {
		m.record.Printf("platform: upkeep of %s ordered by %s (fence %d) gets no answer", o.Machine, holder, fence)
		time.AfterFunc(m.LateAfter, func() {
			status, reason := m.execute(o, fence)
			m.record.Printf("platform: the late order of %s for %s is carried out: %d %s", holder, o.Machine, status, reason)
		})
		if h, ok := rw.(http.Hijacker); ok {
			if conn, _, err := h.Hijack(); err == nil {
				_ = conn.Close()
			}
		}
		return
	}
	status, reason := m.execute(o, fence)
	m.record.Printf("platform: upkeep of %s ordered by %s (fence %d): %d %s", o.Machine, holder, fence, status, reason)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]string{"reason": reason})
}

func (m *Machines) execute(o upkeepOrder, fence int64) (status int, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var x *machine
	down := 0
	for _, other := range m.machines {
		if other.id == o.Machine {
			x = other
		}
		if !other.up {
			down++
		}
	}
	switch {
	case x == nil:
		return http.StatusBadRequest, ""
	case fence < x.fence:
		return http.StatusConflict, "fence"
	}
	x.fence = fence
	if x.waves[o.Wave] {
		return http.StatusOK, ""
	}
	if !x.up {
		return http.StatusConflict, "busy"
	}
	if down >= m.Cap {
		m.overCap++
		m.record.Printf("platform: the upkeep of %s begins while %d machines of the wave are down for theirs, cap %d", x.id, down, m.Cap)
	}
	x.up, x.waves[o.Wave] = false, true
	x.worker.Crash()
	time.AfterFunc(upkeepTime, func() { m.boot(x) })
	return http.StatusOK, ""
}

// boot starts a new worker on a machine after its upkeep.
func (m *Machines) boot(x *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	old := x.worker
	w := NewWorker("i-"+strconv.Itoa(m.next), x.id, old.Service, old.Rack, m.store, m.record)
	w.Behave = old.Behave
	if err := w.Start(old.Kind(), 0); err != nil {
		m.record.Printf("machine %s: %v", x.id, err)
		return
	}
	x.worker, x.up = w, true
	m.record.Printf("platform: machine %s is up again", x.id)
}
