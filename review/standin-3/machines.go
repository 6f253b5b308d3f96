package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// listLag is the age of the list of machines, the lag_ms that the site file states for the
	// platform's lists.
	listLag = 800 * time.Millisecond
	// upkeepTime is maintenanceS of the site.
	upkeepTime = 2 * time.Second
)

// machine is a machine of the platform and the life of the worker on it.
type machine struct {
	id, state string
	worker    *worker
	fence     int64
	// upkeeps holds the waves for which the machine has begun its upkeep.
	upkeeps map[int64]bool
}

// listing is the list of machines as it was at a time.
type listing struct {
	at   time.Time
	rows []map[string]string
}

// wave is the operator's request for the upkeep of machines.
type wave struct {
	Wave      int64    `json:"wave"`
	Machines  []string `json:"machines"`
	DurationS float64  `json:"durationS"`
	Cap       int      `json:"cap"`
}

// machineOrder is the body of an order for a machine.
type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// addMachine adds a machine, with the worker that runs on it.
func (w *world) addMachine(k *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = append(w.machines, &machine{id: k.machine, state: "up", worker: k, upkeeps: map[int64]bool{}})
	w.listLocked()
}

// listLocked keeps the list as it is now.
func (w *world) listLocked() {
	l := listing{at: time.Now(), rows: []map[string]string{}}
	for _, m := range w.machines {
		row := map[string]string{"machine": m.id, "pool": service, "state": m.state, "id": ""}
		if m.worker != nil {
			row["id"] = m.worker.id
		}
		l.rows = append(l.rows, row)
	}
	w.listings = append(w.listings, l)
}

// serveMachines lists the machines as they were listLag ago.
func (w *world) serveMachines(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := []map[string]string{}
	for _, l := range w.listings {
		if time.Since(l.at) >= listLag {
			rows = l.rows
		}
	}
	respond(rw, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

// serveMove refuses every move: there is no other pool.
func (w *world) serveMove(rw http.ResponseWriter, _ *http.Request) {
	respond(rw, http.StatusBadRequest, struct{}{})
}

// serveUpkeep begins the upkeep of a machine: its worker ends, and a new one joins the pool
// after upkeepTime.
func (w *world) serveUpkeep(rw http.ResponseWriter, r *http.Request) {
	var o machineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		respond(rw, http.StatusBadRequest, struct{}{})
		return
	}
	status, reason := w.beginUpkeep(o, number(r.Header.Get(names.Fence)))
	w.note("upkeep of %s for wave %d, by %s: %d %s", o.Machine, o.Wave, r.Header.Get(names.Holder), status, reason)
	if reason != "" {
		respond(rw, status, map[string]string{"reason": reason})
		return
	}
	respond(rw, status, struct{}{})
}

func (w *world) beginUpkeep(o machineOrder, fence int64) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var m *machine
	for _, known := range w.machines {
		if known.id == o.Machine {
			m = known
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case fence < m.fence:
		return http.StatusConflict, "fence"
	case m.upkeeps[o.Wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.fence, m.state, m.upkeeps[o.Wave] = fence, "upkeep", true
	former := m.worker
	m.worker = nil
	w.listLocked()
	go func() {
		former.crash()
		w.store.commit(transaction{Deletes: []string{names.Registry + former.id}})
		time.Sleep(upkeepTime)
		next, err := w.startWorker(former.id+"-after", former.machine, former.service, former.rack, "")
		if err != nil {
			w.note("the worker of %s did not start: %v", m.id, err)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		m.worker, m.state = next, "up"
		w.listLocked()
	}()
	return http.StatusOK, ""
}

// begun reports whether a machine has begun its upkeep for a wave.
func (w *world) begun(id string, number int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.id == id && m.upkeeps[number] {
			return true
		}
	}
	return false
}

// waveState returns the state of a wave that the system shows to the operator.
func (w *world) waveState(number int64) string {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var status struct {
		State string `json:"state"`
	}
	if json.Unmarshal(w.store.items[fmt.Sprintf("status/wave/%d", number)].Value, &status) != nil {
		return ""
	}
	return status.State
}
