package jobplatform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// pageItems is how many items the store returns at once.
const pageItems = 500

// lateWrite is when a write whose answer was lost takes effect, if late.
const lateWrite = time.Second

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dotterelhead/kv-key", p.storeCall(p.key))
	mux.HandleFunc("GET /dotterelhead/kv-range", p.storeCall(p.keys))
	mux.HandleFunc("GET /dotterelhead/kv-watch", p.storeCall(p.watch))
	mux.HandleFunc("POST /dotterelhead/kv-txn", p.storeCall(p.transact))
	mux.HandleFunc("POST /dotterelhead/kv-lease", p.storeCall(p.grantLease))
	mux.HandleFunc("POST /dotterelhead/kv-keep/{id}", p.storeCall(p.keepLease))
	mux.HandleFunc("DELETE /dotterelhead/kv-lease-end/{id}", p.storeCall(p.dropLease))
	mux.HandleFunc("GET /dotterelhead/machines", p.listMachines)
	mux.HandleFunc("POST /dotterelhead/machine-move", p.moveMachine)
	mux.HandleFunc("POST /dotterelhead/machine-upkeep", p.upkeepMachine)
	mux.HandleFunc("POST /dotterelhead/advise", advise)
	return mux
}

func (p *Platform) storeCall(h http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if p.currentFaults().StoreDown {
			writeJSON(rw, http.StatusServiceUnavailable, nil)
			return
		}
		h(rw, r)
	}
}

func (p *Platform) key(rw http.ResponseWriter, r *http.Request) {
	i, revision, ok := p.kv.get(r.URL.Query().Get("key"))
	if !ok {
		writeJSON(rw, http.StatusNotFound, map[string]int64{"storeRevision": revision})
		return
	}
	writeJSON(rw, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"storeRevision"`
	}{i, revision})
}

func (p *Platform) keys(rw http.ResponseWriter, r *http.Request) {
	items, truncated, revision := p.kv.page(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"), pageItems)
	writeJSON(rw, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "storeRevision": revision})
}

func (p *Platform) watch(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	timer := time.NewTimer(time.Duration(number(q.Get("waitMs"))) * time.Millisecond)
	defer timer.Stop()
	silenced := p.silenced.Load()
	for {
		if p.silenced.Load() != silenced {
			<-r.Context().Done()
			return
		}
		events, revision, changed, ok := p.kv.since(q.Get("prefix"), number(q.Get("after")))
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
			writeJSON(rw, http.StatusOK, map[string]any{"events": []item{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

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
	lost := rand.Float64() < f.LoseAnswers
	if lost && rand.Float64() < f.DelayWrites {
		time.AfterFunc(lateWrite, func() { p.kv.commit(t) })
		cut(rw)
		return
	}
	revision, conflict, noLease := p.kv.commit(t)
	switch {
	case lost:
		cut(rw)
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
	ttl, ok := p.kv.keep(number(lastPart(r.URL.Path)))
	if !ok {
		writeJSON(rw, http.StatusNotFound, nil)
		return
	}
	writeJSON(rw, http.StatusOK, map[string]int64{"ttlMs": ttl.Milliseconds()})
}

func (p *Platform) dropLease(rw http.ResponseWriter, r *http.Request) {
	if !p.kv.endLease(number(lastPart(r.URL.Path))) {
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

// order checks an order for a machine; with nil it has answered.
func (p *Platform) order(rw http.ResponseWriter, r *http.Request) (*machine, machineOrder) {
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
	fence := number(r.Header.Get("Fence-Token"))
	if fence < m.fence {
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "fence"})
		return nil, body
	}
	m.fence = fence
	return m, body
}

func (p *Platform) moveMachine(rw http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, body := p.order(rw, r)
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
	p.shut(m)
	m.pool = body.Pool
	p.away(m, "moving", p.options.MoveTime)
	writeJSON(rw, http.StatusOK, nil)
}

func (p *Platform) upkeepMachine(rw http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, body := p.order(rw, r)
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
	p.upkeeps[m.id]++
	p.shut(m)
	p.away(m, "upkeep", p.options.UpkeepTime)
	writeJSON(rw, http.StatusOK, nil)
}

// away takes a machine out of service for some time.
func (p *Platform) away(m *machine, state string, d time.Duration) {
	m.state = state
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if err := p.boot(m); err != nil {
			m.state = "down"
		}
	})
}

// advise lets every worker run every step.
func advise(rw http.ResponseWriter, r *http.Request) {
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
