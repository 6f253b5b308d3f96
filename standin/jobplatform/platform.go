// Package jobplatform is a stand-in of the users' platform: a metadata store,
// workers, a list of machines, and an advice service, over real sockets and by
// the published protocol. It checks what the workers see.
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
	// Pools gives the number of VMs of each pool; the pool Spare is switched
	// off.
	Pools map[string]int
	Spare string
	// Advertise, if set, returns the address that a worker registers in place
	// of its own.
	Advertise func(address string) string
	// MoveTime and UpkeepTime are how long a VM is away.
	MoveTime, UpkeepTime time.Duration
}

// Faults are what the platform does wrong.
type Faults struct {
	// StoreDown refuses every call of the store; StoreSilent accepts none.
	StoreDown bool
	// LoseAnswers is the share of writes to the store that are done and not
	// answered, DelayWrites the share of those that are done a second later.
	LoseAnswers, DelayWrites float64
	// LateOrders is the share of orders to workers that get no answer and are
	// carried out after LateBy.
	LateOrders float64
	LateBy     time.Duration
}

// Platform is the stand-in.
type Platform struct {
	options Options
	kv      *kv
	history *history
	store   *http.Server
	address string

	// silenced counts the calls of SilenceWatches.
	silenced atomic.Int64

	mu       sync.Mutex
	faults   Faults
	machines map[string]*machine
	counter  int
	upkeeps  map[string]int
}

type machine struct {
	id, pool, rack, state string
	worker                *worker
	server                *http.Server
	fence                 int64
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
	p := &Platform{options: o, kv: newKV(), history: newHistory(), machines: map[string]*machine{}, upkeeps: map[string]int{}}
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

// Addr is the address of the store, the list of machines and the advice.
func (p *Platform) Addr() string { return p.address }

// Close ends everything.
func (p *Platform) Close() {
	p.store.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		p.shut(m)
	}
}

// SetFaults replaces the faults in force.
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

// Compact drops the history of the store.
func (p *Platform) Compact() { p.kv.compact() }

// SilenceWatches leaves every watch that waits at the moment without an answer
// for good.
func (p *Platform) SilenceWatches() { p.silenced.Add(1) }

// Running returns how many items of a job run.
func (p *Platform) Running(job string) int {
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	n := 0
	for task, i := range p.history.items {
		if strings.HasPrefix(task, job+".") {
			n += len(i.running)
		}
	}
	return n
}

// Publish writes a key of the operator.
func (p *Platform) Publish(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.WithStack(err)
	}
	p.kv.commit(txn{Writes: []item{{Key: key, Value: data}}})
	return nil
}

// Value returns a key of the store, or nil.
func (p *Platform) Value(key string) []byte {
	i, _, ok := p.kv.get(key)
	if !ok {
		return nil
	}
	return i.Value
}

// Findings returns what must not have happened on the workers.
func (p *Platform) Findings() []string {
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	return append([]string(nil), p.history.findings...)
}

// Starts returns how many runs were started.
func (p *Platform) Starts() int {
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	return p.history.starts
}

// Done returns an error unless all items of a job have ended as done.
func (p *Platform) Done(job string, items int) error { return p.history.undone(job, items) }

// Upkeeps returns how often each machine had its upkeep.
func (p *Platform) Upkeeps() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for id, n := range p.upkeeps {
		counts[id] = n
	}
	return counts
}

// Machines returns the machines of a pool.
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

// RestartWorker crashes the worker of a machine and starts it again under its
// ID at its address.
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
	m.server.Close()
	return p.listen(m, w)
}

func (p *Platform) newWorker(m *machine, id, address string) *worker {
	now := time.Now()
	return &worker{
		platform: p, id: id, machine: m.id, service: m.pool, rack: m.rack, address: address, born: now.UnixMilli(), started: now,
		runs: map[runKey]*run{}, highest: map[string]int64{}, endedCh: make(chan struct{}),
	}
}

// boot starts the worker of a machine, unless its pool is switched off.
func (p *Platform) boot(m *machine) error {
	m.state = "up"
	if m.pool == p.options.Spare {
		return nil
	}
	p.counter++
	return p.listen(m, p.newWorker(m, "i-"+strconv.Itoa(p.counter), "127.0.0.1:0"))
}

func (p *Platform) listen(m *machine, w *worker) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return errors.WithStack(err)
	}
	w.address = l.Addr().String()
	w.registered = w.address
	if p.options.Advertise != nil {
		w.registered = p.options.Advertise(w.address)
	}
	m.worker = w
	m.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go m.server.Serve(l)
	p.kv.commit(txn{Writes: []item{{Key: "servers/" + w.id, Value: w.entry()}}})
	return nil
}

// shut ends the worker of a machine.
func (p *Platform) shut(m *machine) {
	if m.worker == nil {
		return
	}
	m.worker.kill()
	m.server.Close()
	p.kv.commit(txn{Deletes: []string{"servers/" + m.worker.id}})
	m.worker = nil
}

// delayOrder cuts the connection of an order that is to be carried out late.
func (p *Platform) delayOrder(rw http.ResponseWriter, order func() (int, any)) bool {
	f := p.currentFaults()
	if rand.Float64() >= f.LateOrders {
		return false
	}
	time.AfterFunc(f.LateBy, func() { order() })
	cut(rw)
	return true
}

// cut closes a connection without an answer.
func cut(rw http.ResponseWriter) {
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
		// The reader may be gone; nothing depends on the answer then.
		_ = json.NewEncoder(rw).Encode(body)
	}
}

func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func lastPart(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }
