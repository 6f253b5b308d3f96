// Package jobplatform simulates the platform that runs the users' jobs: a metadata
// store, workers, a list of machines and an advice service. It serves the published
// protocol over real sockets and checks what the workers are asked to run. The parent
// package simulates another platform, the one that package infrastructure describes.
package jobplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Options configure a Platform.
type Options struct {
	// Pools holds the number of machines of each pool. They run workers of the
	// service with the same name as the pool. The machines of the pool SparePool are
	// listed as up but run no worker.
	Pools     map[string]int
	SparePool string
	// Advertise, if set, returns the address that a worker registers instead of
	// its listen address.
	Advertise func(address string) string
	// MoveTime and UpkeepTime are how long a machine is out of service while it moves
	// to another pool or is under maintenance. The default is 200 ms.
	MoveTime, UpkeepTime time.Duration
	// RestartTime is how long a machine takes to start a new worker after a crash
	// by a work item. The default is 300 ms.
	RestartTime time.Duration
}

// Faults are the faults that the platform injects.
type Faults struct {
	// StoreDown refuses every call to the store with 503.
	StoreDown bool
	// LostResponseShare is the share of transactions whose connection is closed
	// without a response. DelayedWriteShare is the share of these that take effect
	// only a second later; the others take effect at once.
	LostResponseShare, DelayedWriteShare float64
	// DelayedOrderShare is the share of orders to workers whose connection is closed
	// without a response, and which are executed after OrderDelay. With
	// OrdersOutliveRestarts, the process that then has the worker's ID executes them.
	DelayedOrderShare     float64
	OrderDelay            time.Duration
	OrdersOutliveRestarts bool
}

// Platform is the stand-in of the platform that runs the users' jobs.
type Platform struct {
	options Options
	kv      *kv
	history *history
	store   *http.Server
	address string

	// silenced counts the calls of SilenceWatches.
	silenced atomic.Int64

	mu                sync.Mutex
	faults            Faults
	machines          map[string]*machine
	lastWorkerNumber  int
	closed            bool
	maintenanceCounts map[string]int
}

type machine struct {
	id, pool, rack, state string
	worker                *worker
	server                *http.Server
	fenceToken            int64
	waves                 map[int64]bool
}

// Start starts a platform on loopback.
func Start(o Options) (*Platform, error) {
	if o.MoveTime == 0 {
		o.MoveTime = 200 * time.Millisecond
	}
	if o.UpkeepTime == 0 {
		o.UpkeepTime = 200 * time.Millisecond
	}
	if o.RestartTime == 0 {
		o.RestartTime = 300 * time.Millisecond
	}
	p := &Platform{options: o, kv: newKV(), history: newHistory(), machines: map[string]*machine{}, maintenanceCounts: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p.address = l.Addr().String()
	p.store = &http.Server{Handler: p.routes(), ReadHeaderTimeout: time.Second}
	go p.store.Serve(l)
	for pool, n := range o.Pools {
		for i := range n {
			m := &machine{id: fmt.Sprintf("m-%s-%d", pool, i), pool: pool, rack: fmt.Sprintf("r-%d", i/4), state: "up", waves: map[int64]bool{}}
			p.machines[m.id] = m
			if err := p.boot(m); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

// Addr returns the address of the store, the list of machines and the advice
// service.
func (p *Platform) Addr() string { return p.address }

// Close stops the store and all workers.
func (p *Platform) Close() {
	p.store.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, m := range p.machines {
		p.stopWorker(m)
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// CompactStore drops the history of the store.
func (p *Platform) CompactStore() { p.kv.compact() }

// SilenceWatches makes every watch that is waiting now stop responding at the next
// change of the store, until its caller disconnects. A watch whose wait elapses before
// that change still responds, with no events.
func (p *Platform) SilenceWatches() { p.silenced.Add(1) }

// RunningCount returns how many runs of items of a job are in progress.
func (p *Platform) RunningCount(job string) int {
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	n := 0
	for itemID, i := range p.history.items {
		if strings.HasPrefix(itemID, job+".") {
			n += len(i.running)
		}
	}
	return n
}

// Publish writes a key for a test that acts as the platform's operator. It may write
// the keys under op/ and servers/, which transactions over HTTP may not.
func (p *Platform) Publish(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.WithStack(err)
	}
	p.kv.commit(txn{Writes: []record{{Key: key, Value: data}}})
	return nil
}

// Value returns the value of a key in the store, or nil if there is none.
func (p *Platform) Value(key string) []byte {
	r, _, ok := p.kv.get(key)
	if !ok {
		return nil
	}
	return r.Value
}

// Violations returns the violations of the protocol that were detected in the
// runs on the workers.
func (p *Platform) Violations() []string {
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	return append([]string(nil), p.history.violations...)
}

// StartCount returns how many runs were started.
func (p *Platform) StartCount() int {
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	return p.history.starts
}

// CheckDone returns an error unless all items of a job have ended as done.
func (p *Platform) CheckDone(job string, items int) error { return p.history.checkDone(job, items) }

// UpkeepCounts returns the number of times that each machine went into
// maintenance.
func (p *Platform) UpkeepCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for id, n := range p.maintenanceCounts {
		counts[id] = n
	}
	return counts
}

// Machines returns the IDs of the machines of a pool.
func (p *Platform) Machines(pool string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, m := range p.machines {
		if m.pool == pool {
			ids = append(ids, id)
		}
	}
	return ids
}

// RestartWorker crashes the worker of a machine and starts a new one with the same
// ID and address.
func (p *Platform) RestartWorker(id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[id]
	if m == nil || m.worker == nil {
		return errors.Errorf("machine %s has no worker", id)
	}
	old := m.worker
	old.kill()
	w := p.newWorker(m, old.id, old.address)
	// Two lifetimes of an ID differ in their start, which is in milliseconds.
	w.startedUnixMillis = max(w.startedUnixMillis, old.startedUnixMillis+1)
	m.server.Close()
	return p.serveWorker(m, w)
}

func (p *Platform) newWorker(m *machine, id, address string) *worker {
	now := time.Now()
	return &worker{
		platform: p, id: id, machine: m.id, service: m.pool, rack: m.rack, address: address, startedUnixMillis: now.UnixMilli(), started: now,
		runs: map[runKey]*run{}, highestEndedRun: map[string]int64{}, runEnded: make(chan struct{}),
	}
}

// boot marks a machine as up. Unless the machine belongs to the spare pool, boot
// also starts its worker.
func (p *Platform) boot(m *machine) error {
	m.state = "up"
	if m.pool == p.options.SparePool {
		return nil
	}
	p.lastWorkerNumber++
	return p.serveWorker(m, p.newWorker(m, "i-"+strconv.Itoa(p.lastWorkerNumber), "127.0.0.1:0"))
}

func (p *Platform) serveWorker(m *machine, w *worker) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return errors.WithStack(err)
	}
	w.address = l.Addr().String()
	w.registeredAddress = w.address
	if p.options.Advertise != nil {
		w.registeredAddress = p.options.Advertise(w.address)
	}
	m.worker = w
	m.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go m.server.Serve(l)
	p.kv.commit(txn{Writes: []record{{Key: "servers/" + w.id, Value: w.registryEntry()}}})
	return nil
}

// stopWorker stops the worker of a machine in the same way as a crash, and removes it
// from the registry.
func (p *Platform) stopWorker(m *machine) {
	if m.worker == nil {
		return
	}
	m.worker.kill()
	m.server.Close()
	p.kv.commit(txn{Deletes: []string{"servers/" + m.worker.id}})
	m.worker = nil
}

// delayOrder decides whether an order is delayed. If so, it schedules the order and
// closes the connection.
func (p *Platform) delayOrder(rw http.ResponseWriter, w *worker, path string, body orderBody) bool {
	f := p.currentFaults()
	if rand.Float64() >= f.DelayedOrderShare {
		return false
	}
	time.AfterFunc(f.OrderDelay, func() {
		executor := w
		if f.OrdersOutliveRestarts {
			executor = p.process(w)
		}
		executor.executeOrder(path, body)
	})
	closeWithoutResponse(rw)
	return true
}

// process returns the process that has the ID of w at present, or w if there is none.
func (p *Platform) process(w *worker) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machines[w.machine]; m != nil && m.worker != nil && m.worker.id == w.id {
		return m.worker
	}
	return w
}

// closeWithoutResponse closes the connection of a request.
func closeWithoutResponse(rw http.ResponseWriter) {
	if h, ok := rw.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			conn.Close()
		}
	}
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if body != nil {
		// The error is ignored: if the client has disconnected, it does not need the
		// response.
		_ = json.NewEncoder(rw).Encode(body)
	}
}

func parseIntOrZero(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func lastPathSegment(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }
