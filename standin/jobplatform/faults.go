package jobplatform

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// crashAfter is how long after its start an item crashes its worker.
	crashAfter = 10 * time.Millisecond
	// capacityKnown is how long after a change of a worker's capacity starts may
	// still go by the former one: the rule allows 3 s and a heartbeat of 1.5 s.
	capacityKnown = 4500 * time.Millisecond
)

// capacityChange is a capacity that is in force from a time on.
type capacityChange struct {
	from     time.Time
	milliCPU int64
}

// milliCPU returns the worker's present capacity. It is called with w.mu held.
func (w *worker) milliCPU() int64 {
	if n := len(w.capacities); n > 0 {
		return w.capacities[n-1].milliCPU
	}
	return workerMilliCPU
}

// checkCapacity records a violation if a run that was just started takes the worker
// over the largest capacity that the caller may know of. It is called with w.mu held.
func (w *worker) checkCapacity(key runKey) {
	limit := w.milliCPU()
	former := int64(workerMilliCPU)
	for _, c := range w.capacities {
		if time.Since(c.from) < capacityKnown {
			limit = max(limit, former)
		}
		former = c.milliCPU
	}
	used := int64(0)
	for _, r := range w.runs {
		used += r.milliCPU
	}
	if used > limit {
		w.platform.history.overCapacity(w, key, used, limit)
	}
}

// SetCapacity changes the capacity of the worker on a machine, which the worker
// writes to the registry at once. A new worker on the machine has the default.
func (p *Platform) SetCapacity(id string, milliCPU int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[id]
	if m == nil || m.worker == nil {
		return errors.Errorf("machine %s has no worker", id)
	}
	m.worker.mu.Lock()
	m.worker.capacities = append(m.worker.capacities, capacityChange{time.Now(), milliCPU})
	m.worker.mu.Unlock()
	p.kv.commit(txn{Writes: []record{{Key: "servers/" + m.worker.id, Value: m.worker.registryEntry()}}})
	return nil
}

// crash ends a worker. Its entry stays in the registry until its machine has started
// a new worker.
func (p *Platform) crash(w *worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[w.machine]
	if m == nil || m.worker != w {
		return
	}
	w.kill()
	m.server.Close()
	m.worker, m.state = nil, "down"
	time.AfterFunc(p.options.RestartTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.closed || m.state != "down" || m.worker != nil {
			return
		}
		if err := p.boot(m); err == nil {
			p.kv.commit(txn{Deletes: []string{"servers/" + w.id}})
		}
	})
}
