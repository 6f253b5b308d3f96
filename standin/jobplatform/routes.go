package jobplatform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// pageLimit is the maximum number of records in a page, and pageBytes the length of their
// values after which no further record is added.
const (
	pageLimit = 500
	pageBytes = 1 << 20
)

// writeDelay is how long after its request a delayed write takes effect.
const writeDelay = time.Second

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dotterelhead/kv-key", p.withStoreFaults(p.getKey))
	mux.HandleFunc("GET /dotterelhead/kv-range", p.withStoreFaults(p.listKeys))
	mux.HandleFunc("GET /dotterelhead/kv-watch", p.withStoreFaults(p.watch))
	mux.HandleFunc("POST /dotterelhead/kv-txn", p.withStoreFaults(p.transact))
	mux.HandleFunc("POST /dotterelhead/kv-lease", p.withStoreFaults(p.grantLease))
	mux.HandleFunc("POST /dotterelhead/kv-keep/{id}", p.withStoreFaults(p.keepLease))
	mux.HandleFunc("DELETE /dotterelhead/kv-lease-end/{id}", p.withStoreFaults(p.revokeLease))
	mux.HandleFunc("GET /dotterelhead/machines", p.listMachines)
	mux.HandleFunc("POST /dotterelhead/machine-move", p.moveMachine)
	mux.HandleFunc("POST /dotterelhead/machine-upkeep", p.maintainMachine)
	mux.HandleFunc("POST /dotterelhead/advise", adviseWorkers)
	return mux
}

func (p *Platform) withStoreFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if p.currentFaults().StoreDown {
			writeJSON(rw, http.StatusServiceUnavailable, nil)
			return
		}
		h(rw, r)
	}
}

func (p *Platform) getKey(rw http.ResponseWriter, r *http.Request) {
	current, revision, ok := p.kv.get(r.URL.Query().Get("key"))
	if !ok {
		writeJSON(rw, http.StatusNotFound, map[string]int64{"storeRevision": revision})
		return
	}
	writeJSON(rw, http.StatusOK, struct {
		record
		StoreRevision int64 `json:"storeRevision"`
	}{current, revision})
}

func (p *Platform) listKeys(rw http.ResponseWriter, r *http.Request) {
	records, truncated, revision := p.kv.listPage(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"), pageLimit)
	writeJSON(rw, http.StatusOK, map[string]any{"items": records, "truncated": truncated, "storeRevision": revision})
}

func (p *Platform) watch(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	timer := time.NewTimer(time.Duration(parseIntOrZero(q.Get("waitMs"))) * time.Millisecond)
	defer timer.Stop()
	silenced := p.silenced.Load()
	for {
		if p.silenced.Load() != silenced {
			<-r.Context().Done()
			return
		}
		events, revision, changed, ok := p.kv.changesSince(q.Get("prefix"), parseIntOrZero(q.Get("after")))
		if !ok {
			writeJSON(rw, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			writeJSON(rw, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(rw, http.StatusOK, map[string]any{"events": []record{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transact applies a transaction of at most 32 conditions, writes and deletes. Writes
// under op/ and servers/ are refused, because these keys belong to the operator and
// the registry of workers.
func (p *Platform) transact(rw http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Deletes) > 32 {
		writeJSON(rw, http.StatusBadRequest, nil)
		return
	}
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			writeJSON(rw, http.StatusForbidden, nil)
			return
		}
	}
	f := p.currentFaults()
	lost := rand.Float64() < f.LostResponseShare
	if lost && rand.Float64() < f.DelayedWriteShare {
		time.AfterFunc(writeDelay, func() { p.kv.commit(t) })
		closeWithoutResponse(rw)
		return
	}
	revision, conflict, noLease := p.kv.commit(t)
	switch {
	case lost:
		closeWithoutResponse(rw)
	case noLease:
		writeJSON(rw, http.StatusNotFound, nil)
	case conflict != nil && revision == 0:
		writeJSON(rw, http.StatusPreconditionFailed, map[string]any{"items": conflict})
	default:
		writeJSON(rw, http.StatusOK, map[string]int64{"rev": revision})
	}
}

func (p *Platform) grantLease(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(rw, http.StatusBadRequest, nil)
		return
	}
	id := p.kv.grant(time.Duration(body.TTLMs) * time.Millisecond)
	writeJSON(rw, http.StatusOK, map[string]int64{"lease": id, "ttlMs": body.TTLMs})
}

func (p *Platform) keepLease(rw http.ResponseWriter, r *http.Request) {
	ttl, ok := p.kv.keepAlive(parseIntOrZero(lastPathSegment(r.URL.Path)))
	if !ok {
		writeJSON(rw, http.StatusNotFound, nil)
		return
	}
	writeJSON(rw, http.StatusOK, map[string]int64{"ttlMs": ttl.Milliseconds()})
}

func (p *Platform) revokeLease(rw http.ResponseWriter, r *http.Request) {
	if !p.kv.endLease(parseIntOrZero(lastPathSegment(r.URL.Path))) {
		writeJSON(rw, http.StatusNotFound, nil)
		return
	}
	writeJSON(rw, http.StatusOK, nil)
}

func (p *Platform) listMachines(rw http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []map[string]any{}
	for _, m := range p.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		list = append(list, map[string]any{"machine": m.id, "pool": m.pool, "state": m.state, "id": id})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// decodeMachineOrder decodes an order for a machine and checks its fence token. If
// it rejects the order, it writes the response and returns a nil machine.
func (p *Platform) decodeMachineOrder(rw http.ResponseWriter, r *http.Request) (*machine, machineOrder) {
	var body machineOrder
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(rw, http.StatusBadRequest, nil)
		return nil, body
	}
	m := p.machines[body.Machine]
	if m == nil {
		writeJSON(rw, http.StatusBadRequest, nil)
		return nil, body
	}
	fenceToken := parseIntOrZero(r.Header.Get("Fence-Token"))
	if fenceToken < m.fenceToken {
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "fence"})
		return nil, body
	}
	m.fenceToken = fenceToken
	return m, body
}

func (p *Platform) moveMachine(rw http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, body := p.decodeMachineOrder(rw, r)
	if m == nil {
		return
	}
	if m.pool == body.Pool {
		writeJSON(rw, http.StatusOK, nil)
		return
	}
	if m.state != "up" {
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	p.stopWorker(m)
	m.pool = body.Pool
	p.takeOutOfService(m, "moving", p.options.MoveTime)
	writeJSON(rw, http.StatusOK, nil)
}

func (p *Platform) maintainMachine(rw http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, body := p.decodeMachineOrder(rw, r)
	if m == nil {
		return
	}
	if m.waves[body.Wave] {
		writeJSON(rw, http.StatusOK, nil)
		return
	}
	if m.state != "up" {
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	m.waves[body.Wave] = true
	p.maintenanceCounts[m.id]++
	p.stopWorker(m)
	p.takeOutOfService(m, "upkeep", p.options.UpkeepTime)
	writeJSON(rw, http.StatusOK, nil)
}

// takeOutOfService sets the state that is listed while a machine is out of service,
// and boots the machine after d.
func (p *Platform) takeOutOfService(m *machine, state string, d time.Duration) {
	m.state = state
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if err := p.boot(m); err != nil {
			m.state = "down"
		}
	})
}

// adviseWorkers handles a request to the advice service, which is asked which of the
// given workers may run a step of a job. It approves all of them for every step, each
// with a ticket that is valid for 3000 ms.
func adviseWorkers(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(rw, http.StatusBadRequest, nil)
		return
	}
	good := [][2]string{}
	for _, id := range body.Workers {
		good = append(good, [2]string{id, "ticket-" + id})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"good": good, "validityMs": 3000})
}
