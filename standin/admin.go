package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

// adminRoutes adds the admin API, which the injected faults do not affect.
func (p *Platform) adminRoutes(router *mux.Router) {
	handle := func(method, path string, h apiHandler) {
		router.Methods(method).Path(path).Handler(adminHandler(h))
	}
	handle("GET", "/standin/faults", func(*http.Request) (any, error) { return p.Faults(), nil })
	handle("PUT", "/standin/faults", func(r *http.Request) (any, error) {
		var f PlatformFaults
		if err := decodeStrict(r, &f); err != nil {
			return nil, err
		}
		p.SetFaults(f)
		return p.Faults(), nil
	})
	handle("PATCH", "/standin/faults", func(r *http.Request) (any, error) {
		err := p.updateFaults(func(f *PlatformFaults) error { return decodeStrict(r, f) })
		return p.Faults(), err
	})
	handle("GET", "/standin/counts", func(*http.Request) (any, error) { return p.Counts(), nil })
	handle("DELETE", "/standin/counts", func(*http.Request) (any, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		clear(p.counts)
		return nil, nil
	})
	handle("GET", "/standin/vms", func(*http.Request) (any, error) {
		return httpclient.VMsResponse{VMs: p.machines.list(time.Now())}, nil
	})
	handle("POST", "/standin/vms", func(r *http.Request) (any, error) {
		var vm infrastructure.VM
		if err := decodeStrict(r, &vm); err != nil {
			return nil, err
		}
		if vm.ID == "" {
			return nil, badRequest{"id is missing"}
		}
		return p.Register(vm), nil
	})
	handle("DELETE", "/standin/vms/{id}", func(r *http.Request) (any, error) {
		id, err := pathVar(r, "id")
		if err != nil {
			return nil, err
		}
		if !p.Remove(id) {
			return nil, infrastructure.ErrNotFound
		}
		return nil, nil
	})
	handle("POST", "/standin/silence", func(r *http.Request) (any, error) {
		return map[string]int{"connections": p.conns.silence(requestConn(r))}, nil
	})
	handle("POST", "/standin/leases/expire", func(*http.Request) (any, error) {
		p.ExpireLeases()
		return nil, nil
	})
}

func adminHandler(h apiHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := h(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

// decodeStrict rejects unknown fields, so that a misspelt fault is not ignored.
func decodeStrict(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return badRequest{"body: " + err.Error()}
	}
	return nil
}
