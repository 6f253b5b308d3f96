package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

const (
	// maxValueBytes is the size limit of a value in the store.
	maxValueBytes = 1 << 20
	// maxBodyBytes leaves room for a value of maxValueBytes in base64.
	maxBodyBytes = 2 << 20
	// maxWatchWait bounds the long poll of a watch.
	maxWatchWait = 5 * time.Minute
	// bootPollInterval is the interval at which the boot count of a rebooting VM
	// is polled.
	bootPollInterval = 10 * time.Millisecond
	// rebootCallTimeout bounds one call to a rebooting VM, which may not respond.
	rebootCallTimeout     = time.Second
	defaultRebootDuration = 200 * time.Millisecond
)

// PlatformOptions configure a Platform.
type PlatformOptions struct {
	// Listen is the address to listen on; the default is a free port on loopback.
	Listen string
	// VMs are the VMs that are listed from the start, without lag.
	VMs []infrastructure.VM
	// Faults are the faults that apply from the start.
	Faults PlatformFaults
	// RebootDuration is how long a reboot takes for an entry VM and for a VM
	// without a stand-in backend server or whose server refuses connections.
	RebootDuration time.Duration
	Log            *log.Logger
}

// Platform is the stand-in of the platform that package infrastructure describes.
type Platform struct {
	options  PlatformOptions
	log      *log.Logger
	store    *store
	machines *machines
	faults   *faults
	handler  http.Handler
	client   *http.Client
	conns    connections

	mu     sync.Mutex
	counts map[string]int64
	server *http.Server
	addr   string

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// NewPlatform returns a platform that serves through Handler or after Start.
func NewPlatform(o PlatformOptions) *Platform {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.RebootDuration <= 0 {
		o.RebootDuration = defaultRebootDuration
	}
	p := &Platform{
		options:  o,
		log:      loggerOrDiscard(o.Log),
		store:    newStore(),
		machines: newMachines(o.VMs),
		faults:   newFaults(o.Faults),
		client:   &http.Client{Timeout: rebootCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		counts:   map[string]int64{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.handler = p.routes()
	return p
}

func loggerOrDiscard(l *log.Logger) *log.Logger {
	if l != nil {
		return l
	}
	return &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
}

// Start listens and serves until ctx ends or Close is called.
func (p *Platform) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", p.options.Listen)
	if err != nil {
		return errors.Wrap(err, "stand-in platform")
	}
	server := &http.Server{Handler: p.handler, ReadHeaderTimeout: 10 * time.Second, ConnContext: withConn}
	p.mu.Lock()
	p.server, p.addr = server, l.Addr().String()
	p.mu.Unlock()
	p.background.Go(func() { _ = server.Serve(&trackedListener{Listener: l, owner: &p.conns}) })
	context.AfterFunc(ctx, func() { _ = p.Close() })
	p.log.Info().Str("event", "platform_listening").Str("address", p.Addr()).Msg("")
	return nil
}

// Addr returns the address that the platform listens on after Start.
func (p *Platform) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// Handler serves the platform's API and the admin API under /standin/.
func (p *Platform) Handler() http.Handler { return p.handler }

// Close closes the listener and every connection, and cancels reboots in
// progress.
func (p *Platform) Close() error {
	p.mu.Lock()
	p.cancel()
	server := p.server
	p.mu.Unlock()
	var err error
	if server != nil {
		err = server.Close()
	}
	p.background.Wait()
	p.conns.reset()
	p.store.close()
	return err
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	_ = p.updateFaults(func(current *PlatformFaults) error { *current = f; return nil })
}

func (p *Platform) updateFaults(change func(*PlatformFaults) error) error {
	if err := p.faults.update(change); err != nil {
		return err
	}
	p.log.Info().Str("event", "faults_set").Interface("faults", p.Faults()).Msg("")
	return nil
}

// Faults returns the current faults. The Next fields hold the remaining counts.
func (p *Platform) Faults() PlatformFaults {
	f, _ := p.faults.get()
	return f
}

// Register adds or replaces a VM and returns it with its state and boot count.
func (p *Platform) Register(vm infrastructure.VM) infrastructure.VM {
	return p.machines.register(vm, time.Now())
}

// Remove removes a VM from the list and reports whether it was registered.
func (p *Platform) Remove(id string) bool { return p.machines.remove(id, time.Now()) }

// ExpireLeases ends every lease as if its TTL had elapsed.
func (p *Platform) ExpireLeases() { p.store.expireAll() }

// Silence makes every open connection stop responding permanently and returns
// their number. New connections work normally.
func (p *Platform) Silence() int { return p.conns.silence(nil) }

// Counts returns the number of calls by kind, including calls that failed.
func (p *Platform) Counts() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counts)
}

// callKind identifies a kind of call in the counts and in the fault settings.
type callKind struct {
	name  string
	group string
	write bool
}

func (k callKind) matchesAny(names []string) bool {
	return slices.Contains(names, k.name) || slices.Contains(names, k.group)
}

type apiHandler func(r *http.Request) (any, error)

func (p *Platform) routes() http.Handler {
	// Keys contain slashes, which arrive escaped and must not be normalized.
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	read := func(group, name string) callKind { return callKind{name: name, group: group} }
	write := func(group, name string) callKind { return callKind{name: name, group: group, write: true} }
	handle := func(method, path string, k callKind, h apiHandler) {
		router.Methods(method).Path(path).Handler(p.withFaults(k, h))
	}
	handle("GET", "/v1/kv", read("store", "list"), p.listKeys)
	handle("GET", "/v1/kv/{key:.+}", read("store", "get"), p.getKey)
	handle("PUT", "/v1/kv/{key:.+}", write("store", "put"), p.putKey)
	handle("DELETE", "/v1/kv/{key:.+}", write("store", "delete"), p.deleteKey)
	handle("GET", "/v1/watch", read("store", "watch"), p.watch)
	handle("POST", "/v1/leases", write("store", "lease_grant"), p.grantLease)
	handle("POST", "/v1/leases/{id}/keepalive", write("store", "lease_keepalive"), p.keepAlive)
	handle("DELETE", "/v1/leases/{id}", write("store", "lease_revoke"), p.revokeLease)
	handle("GET", "/v1/vms", read("machines", "vms"), p.listVMs)
	handle("GET", "/v1/vms/{id}", read("machines", "vm"), p.getVM)
	handle("POST", "/v1/vms/{id}/drain", write("machines", "drain"), p.drain)
	handle("POST", "/v1/vms/{id}/reboot", write("machines", "reboot"), p.reboot)
	p.adminRoutes(router)
	return router
}

// withFaults wraps the handler of one kind of call with the injected faults.
func (p *Platform) withFaults(k callKind, h apiHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.countCall(k.name)
		// The body is read before any fault applies, so that a delayed or lost
		// call has been received completely.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, badRequest{err.Error()})
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f, _ := p.faults.get()
		if !p.admit(w, r, k) {
			return
		}
		if f.DelaySeconds > 0 {
			p.delay(r.Context(), k, seconds(f.DelaySeconds))
			if !p.admit(w, r, k) {
				return
			}
		}
		if p.faults.drop(k) {
			panic(http.ErrAbortHandler)
		}
		response, err := h(r)
		if err == nil && p.faults.loseResponse(k) {
			p.log.Info().Str("event", "answer_lost").Str("call", k.name).Msg("")
			panic(http.ErrAbortHandler)
		}
		if f.ResponseDelaySeconds > 0 {
			p.delay(r.Context(), k, seconds(f.ResponseDelaySeconds))
		}
		if !k.write && !p.admit(w, r, k) {
			return
		}
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

// admit reports whether a call may proceed. During an outage that applies to it,
// the call is refused, closed or left without a response, according to DownMode.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, k callKind) bool {
	for {
		f, changed := p.faults.get()
		if !f.outageApplies(k, r) {
			return true
		}
		switch f.DownMode {
		case DownClose:
			panic(http.ErrAbortHandler)
		case DownSilent:
			select {
			case <-changed:
			case <-r.Context().Done():
			case <-p.ctx.Done():
			}
			panic(http.ErrAbortHandler)
		default:
			writeError(w, infrastructure.ErrUnavailable)
			return false
		}
	}
}

// delay waits for d. The delay of a write continues if the caller disconnects, because
// a real store does not notice the disconnection.
func (p *Platform) delay(ctx context.Context, k callKind, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	done := ctx.Done()
	if k.write {
		done = nil
	}
	select {
	case <-timer.C:
	case <-done:
	case <-p.ctx.Done():
	}
}

func (p *Platform) countCall(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[name]++
}

// badRequest is an error that is reported as 400 Bad Request.
type badRequest struct{ reason string }

func (e badRequest) Error() string { return e.reason }

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	var callerErr badRequest
	switch {
	case errors.Is(err, infrastructure.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, infrastructure.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, infrastructure.ErrUnavailable):
		status = http.StatusServiceUnavailable
	case errors.As(err, &callerErr):
		status = http.StatusBadRequest
	}
	writeJSON(w, status, httpclient.ErrorResponse{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v == nil {
		v = struct{}{}
	}
	_ = json.NewEncoder(w).Encode(v)
}

func decode(r *http.Request, v any) error {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(v); err != nil {
		return badRequest{"body: " + err.Error()}
	}
	return nil
}

// pathVar returns a path variable, unescaped.
func pathVar(r *http.Request, name string) (string, error) {
	v, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil || v == "" {
		return "", badRequest{"empty or malformed path variable " + name}
	}
	return v, nil
}

// intParam returns an integer query parameter, or 0 if it is absent.
func intParam(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, badRequest{"not an integer: query parameter " + name}
	}
	return v, nil
}

func (p *Platform) getKey(r *http.Request) (any, error) {
	key, err := pathVar(r, "key")
	if err != nil {
		return nil, err
	}
	return p.store.get(key)
}

func (p *Platform) listKeys(r *http.Request) (any, error) {
	limit, err := intParam(r, "limit")
	if err != nil {
		return nil, err
	}
	q := r.URL.Query()
	return httpclient.ListResponse{Items: p.store.list(q.Get("prefix"), q.Get("after"), int(limit))}, nil
}

func (p *Platform) putKey(r *http.Request) (any, error) {
	key, version, err := keyAndVersion(r)
	if err != nil {
		return nil, err
	}
	var body httpclient.PutRequest
	if err := decode(r, &body); err != nil {
		return nil, err
	}
	if len(body.Value) > maxValueBytes {
		return nil, badRequest{"value exceeds " + strconv.Itoa(maxValueBytes) + " bytes"}
	}
	written, err := p.store.put(key, body.Value, version, r.URL.Query().Get("lease"))
	return httpclient.PutResponse{Version: written}, err
}

func (p *Platform) deleteKey(r *http.Request) (any, error) {
	key, version, err := keyAndVersion(r)
	if err != nil {
		return nil, err
	}
	return nil, p.store.delete(key, version)
}

func keyAndVersion(r *http.Request) (string, int64, error) {
	key, err := pathVar(r, "key")
	if err != nil {
		return "", 0, err
	}
	if !r.URL.Query().Has("version") {
		return "", 0, badRequest{"version is missing"}
	}
	version, err := intParam(r, "version")
	return key, version, err
}

func (p *Platform) watch(r *http.Request) (any, error) {
	after, err := intParam(r, "after")
	if err != nil {
		return nil, err
	}
	wait, err := strconv.ParseFloat(r.URL.Query().Get("wait_seconds"), 64)
	if err != nil || wait < 0 {
		return nil, badRequest{"query parameter wait_seconds is not a number of at least 0"}
	}
	// An outage ends the wait, so that it also affects watches that are already
	// waiting.
	stop := make(chan struct{})
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	k := callKind{name: "watch", group: "store"}
	go func() {
		defer close(stop)
		for {
			f, changed := p.faults.get()
			if f.outageApplies(k, r) {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			case <-p.ctx.Done():
				return
			}
		}
	}()
	result := p.store.watch(ctx, r.URL.Query().Get("prefix"), after, min(seconds(wait), maxWatchWait), stop)
	return result, nil
}

func (p *Platform) grantLease(r *http.Request) (any, error) {
	var body httpclient.LeaseRequest
	if err := decode(r, &body); err != nil {
		return nil, err
	}
	if body.TTLSeconds <= 0 {
		return nil, badRequest{"ttl_seconds must be positive"}
	}
	return httpclient.LeaseResponse{Lease: p.store.grant(seconds(body.TTLSeconds))}, nil
}

func (p *Platform) keepAlive(r *http.Request) (any, error) {
	id, err := pathVar(r, "id")
	if err != nil {
		return nil, err
	}
	return nil, p.store.keepAlive(id)
}

func (p *Platform) revokeLease(r *http.Request) (any, error) {
	id, err := pathVar(r, "id")
	if err != nil {
		return nil, err
	}
	return nil, p.store.revoke(id)
}

func (p *Platform) listVMs(*http.Request) (any, error) {
	f, _ := p.faults.get()
	return httpclient.VMsResponse{VMs: p.machines.list(time.Now().Add(-seconds(f.ListLagSeconds)))}, nil
}

func (p *Platform) getVM(r *http.Request) (any, error) {
	id, err := pathVar(r, "id")
	if err != nil {
		return nil, err
	}
	return p.machines.get(id)
}

func parseOperation(r *http.Request) (string, infrastructure.Operation, error) {
	var op infrastructure.Operation
	id, err := pathVar(r, "id")
	if err != nil {
		return "", op, err
	}
	if err := decode(r, &op); err != nil {
		return "", op, err
	}
	if op.ID == "" {
		return "", op, badRequest{"operation is missing"}
	}
	return id, op, nil
}

func (p *Platform) drain(r *http.Request) (any, error) {
	id, op, err := parseOperation(r)
	if err != nil {
		return nil, err
	}
	p.log.Info().Str("event", "drain").Str("vm", id).Str("operation", op.ID).Msg("")
	return nil, p.machines.drain(id, op, time.Now())
}

func (p *Platform) reboot(r *http.Request) (any, error) {
	id, op, err := parseOperation(r)
	if err != nil {
		return nil, err
	}
	vm, start, err := p.machines.reboot(id, op, time.Now())
	p.log.Info().Str("event", "reboot").Str("vm", id).Str("operation", op.ID).Bool("effective", start).Msg("")
	if start {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.ctx.Err() == nil {
			p.background.Go(func() { p.runReboot(vm, op) })
		}
	}
	return nil, err
}

// runReboot reboots a VM and records its new boot count once the VM is up again.
// By then the connections of the previous boot are closed.
func (p *Platform) runReboot(vm infrastructure.VM, op infrastructure.Operation) {
	next := op.ExpectedBoot + 1
	if vm.Address == "" || vm.EntryVM {
		p.sleep(p.options.RebootDuration)
	} else {
		next = p.rebootBackend(vm, op)
	}
	if p.ctx.Err() != nil {
		return
	}
	p.machines.rebootFinished(vm.ID, next, time.Now())
	p.log.Info().Str("event", "booted").Str("vm", vm.ID).Int64("boot_count", next).Msg("")
}

// rebootBackend reboots a stand-in backend server and returns its new boot count.
// The request is repeated until the server responds, because its old connections
// may still be open.
func (p *Platform) rebootBackend(vm infrastructure.VM, op infrastructure.Operation) int64 {
	for rebootAccepted := false; p.ctx.Err() == nil; {
		if !rebootAccepted {
			err := p.requestReboot(vm, op)
			if errors.Is(err, syscall.ECONNREFUSED) {
				// Nothing listens there, so the server and its connections are gone.
				p.sleep(p.options.RebootDuration)
				return op.ExpectedBoot + 1
			}
			rebootAccepted = err == nil
		}
		if bootCount, err := p.fetchBootCount(vm); err == nil && bootCount > op.ExpectedBoot {
			return bootCount
		}
		p.sleep(bootPollInterval)
	}
	return op.ExpectedBoot
}

func (p *Platform) requestReboot(vm infrastructure.VM, op infrastructure.Operation) error {
	body, err := json.Marshal(op)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+vm.Address+"/standin/reboot", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("reboot: status %d", resp.StatusCode)
	}
	return nil
}

// healthResponse is the response body of the backend server's health endpoint.
type healthResponse struct {
	Worker    string `json:"worker"`
	BootCount int64  `json:"boot_count"`
}

func (p *Platform) fetchBootCount(vm infrastructure.VM) (int64, error) {
	req, err := http.NewRequestWithContext(p.ctx, http.MethodGet, "http://"+vm.Address+"/healthz", nil)
	if err != nil {
		return 0, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var h healthResponse
	if err := json.NewDecoder(resp.Body).Decode(&h); err != nil {
		return 0, err
	}
	return h.BootCount, nil
}

func (p *Platform) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}
