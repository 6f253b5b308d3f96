package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/infrastructure"
)

// adminRoutes adds the admin API. The injected faults do not affect it, but silenced
// connections and reboots do.
func (b *Backend) adminRoutes(router *mux.Router) {
	handle := func(method, path string, h apiHandler) {
		router.Methods(method).Path(path).Handler(adminHandler(h))
	}
	handle("GET", "/standin/faults", func(*http.Request) (any, error) { return b.Faults(), nil })
	handle("PUT", "/standin/faults", func(r *http.Request) (any, error) {
		var f BackendFaults
		if err := decodeStrict(r, &f); err != nil {
			return nil, err
		}
		b.SetFaults(f)
		return b.Faults(), nil
	})
	handle("PATCH", "/standin/faults", func(r *http.Request) (any, error) {
		err := b.updateFaults(func(f *BackendFaults) error { return decodeStrict(r, f) })
		return b.Faults(), err
	})
	handle("GET", "/standin/requests", func(r *http.Request) (any, error) {
		after, err := intParam(r, "after")
		if err != nil {
			return nil, err
		}
		return RequestsResponse{BackendStats: b.Stats(), Records: b.Records(after)}, nil
	})
	handle("DELETE", "/standin/requests", func(*http.Request) (any, error) { b.Reset(); return nil, nil })
	handle("GET", "/standin/stats", func(*http.Request) (any, error) { return b.Stats(), nil })
	handle("POST", "/standin/silence", func(r *http.Request) (any, error) {
		return map[string]int{"connections": b.conns.silence(requestConn(r))}, nil
	})
	router.Methods("POST").Path("/standin/reboot").HandlerFunc(b.serveReboot)
}

func (b *Backend) serveReboot(w http.ResponseWriter, r *http.Request) {
	var op infrastructure.Operation
	if err := decodeStrict(r, &op); err != nil {
		writeError(w, err)
		return
	}
	if op.ID == "" {
		writeError(w, badRequest{"operation is missing"})
		return
	}
	// The response is flushed before the reboot closes its connection. If it is
	// lost nevertheless, the platform repeats the request.
	writeJSON(w, http.StatusOK, healthResponse{Worker: b.options.ID, BootCount: b.BootCount()})
	_ = http.NewResponseController(w).Flush()
	b.Reboot(op)
}

func (b *Backend) platformURL(path string) string {
	base := strings.TrimRight(b.options.Platform, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return base + path
}

// register registers the VM with the platform. If bootCount is 0, the platform
// assigns the boot count, incrementing that of a VM it already knows.
func (b *Backend) register(bootCount int64) error {
	vm := b.VM()
	vm.BootCount, vm.State = bootCount, ""
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, b.platformURL("/standin/vms"), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("register VM with the platform: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&vm); err != nil {
		return err
	}
	b.mu.Lock()
	b.bootCount = max(b.bootCount, vm.BootCount)
	b.mu.Unlock()
	b.log.Info().Str("event", "registered").Str("worker", vm.ID).Int64("boot_count", vm.BootCount).Msg("")
	return nil
}

func (b *Backend) registerUntilDone(bootCount int64) {
	ticker := time.NewTicker(registerRetryInterval)
	defer ticker.Stop()
	for b.register(bootCount) != nil {
		select {
		case <-ticker.C:
		case <-b.ctx.Done():
			return
		}
	}
}

// deregister removes the VM from the list. Errors are ignored: a VM that stays
// in the list looks the same as one in a lagging list.
func (b *Backend) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, b.platformURL("/standin/vms/"+url.PathEscape(b.options.ID)), nil)
	if err != nil {
		return
	}
	if resp, err := b.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
