package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/platform"
	"dotterelhead.example/dotterelhead/review/kit"
	"dotterelhead.example/dotterelhead/standin/jobplatform"
)

const (
	host        = "orders.example"
	heartbeat   = 1500 * time.Millisecond
	valueBytes  = 1048576
	stopTimeout = 400 * time.Millisecond
	timeLimit   = 3 * time.Second
	// stableWindow is stableWindowMs, and finishTime finish_s.
	stableWindow = 3 * time.Second
	finishTime   = 14 * time.Second
)

// world is the platform with its workers, and the entry VMs of one case.
type world struct {
	rec *recorder
	// trouble is set unless the case is to run without its disruption.
	trouble  bool
	dir      string
	platform *jobplatform.Platform
	store    *httptest
	cloud    *httptest
	advisor  *httptest

	mu       sync.Mutex
	workers  []*worker
	entries  []*entry
	machines []map[string]any
	stopped  chan struct{}
	// refused counts the transactions that the store refused because of a value that is
	// too long.
	refused atomic.Int64
	// guards are the goroutines that kill processes and start them again.
	guards sync.WaitGroup
}

// httptest is an HTTP server on loopback.
type httptest struct {
	address string
	server  *http.Server
}

func serve(h http.Handler) (*httptest, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &httptest{address: l.Addr().String(), server: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func newWorld(rec *recorder, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-case-2")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	w := &world{rec: rec, trouble: trouble, dir: dir, stopped: make(chan struct{})}
	if w.platform, err = jobplatform.Start(jobplatform.Options{}); err != nil {
		return nil, err
	}
	target, err := url.Parse("http://" + w.platform.Addr())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(rw http.ResponseWriter, _ *http.Request, _ error) { closeConnection(rw) }
	if w.store, err = serve(w.limitValues(proxy)); err != nil {
		return nil, err
	}
	if w.cloud, err = serve(http.HandlerFunc(w.listMachines)); err != nil {
		return nil, err
	}
	go w.beat()
	return w, nil
}

// limitValues refuses transactions with values of more than valueBytes, the limit in the
// settings of the platform.
func (w *world) limitValues(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "-txn") {
			next.ServeHTTP(rw, r)
			return
		}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var txn struct {
			Writes []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"writes"`
		}
		if err := json.Unmarshal(data, &txn); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, write := range txn.Writes {
			if len(write.Value) > valueBytes {
				w.refused.Add(1)
				w.rec.add("the store refuses a value of %d bytes for %s", len(write.Value), write.Key)
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		next.ServeHTTP(rw, r)
	})
}

func closeConnection(rw http.ResponseWriter) {
	if h, ok := rw.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// listMachines answers readings of the list of machines, and refuses orders: no case
// needs moves or upkeep.
func (w *world) listMachines(rw http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"machines": w.machines, "nextToken": nil})
}

// beat lets every worker write its entry to the registry.
func (w *world) beat() {
	for {
		w.mu.Lock()
		workers := append([]*worker(nil), w.workers...)
		w.mu.Unlock()
		for _, k := range workers {
			k.register()
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// close ends all processes and servers.
func (w *world) close() {
	close(w.stopped)
	w.guards.Wait()
	for _, e := range w.entries {
		_ = e.process.Process.Signal(syscall.SIGCONT)
		_ = e.process.Process.Kill()
		_ = e.process.Wait()
		_ = e.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	w.platform.Close()
}

// route is a route of the manifest.
type route struct {
	name, prefix, service string
	attempts              int
	advice                map[string]int64
}

// publish writes the manifest.
func (w *world) publish(version int64, routes []route) error {
	rows, services, seen := []map[string]any{}, []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		row := map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "service": r.service, "kind": "unsafe", "timeoutMs": 3000,
			kit.Names.Target: 600, "priority": 0, "attempts": r.attempts, "stretch": 1.6,
		}
		if r.advice != nil {
			row["advice"] = r.advice
		}
		rows = append(rows, row)
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, kit.Names.Admission: false, "spare": false})
		}
	}
	return w.platform.Publish(kit.Names.Manifest, map[string]any{
		"version": version, "routes": rows, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	})
}

// entry is an entry VM.
type entry struct {
	name, address, ready string
	process              *exec.Cmd
	log                  *os.File
}

// startEntries starts entry VMs as deploy/system.toml does, with the settings of
// deploy/entry.toml.template, and waits until all are ready and one owns the jobs.
func (w *world) startEntries(n int) error {
	advice := ""
	if w.advisor != nil {
		advice = w.advisor.address
	}
	for i := range n {
		e := &entry{name: "edge-" + strconv.Itoa(i+1)}
		var err error
		if e.address, err = freeAddress(); err != nil {
			return err
		}
		if e.ready, err = freeAddress(); err != nil {
			return err
		}
		text := fmt.Sprintf(`node = %q
availability_zone = "zone-a"
caller_listen = %q
ready_listen = %q
metrics_listen = ""
store_address = %q
machines_address = %q
advice_address = %q
memory_limit_mb = 284
cpu_share = 0.4

[bounds]
grace_seconds = 6
stop_timeout_ms = 400
max_lease_ms = 6000
hand_over_ms = 3000
status_seconds = 120
upkeep_seconds = 2
move_seconds = 1.5
machine_orders_per_second = 64
`, e.name, e.address, e.ready, w.store.address, w.cloud.address, advice)
		config := filepath.Join(w.dir, e.name+".toml")
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			return errors.WithStack(err)
		}
		if e.log, err = os.Create(filepath.Join(w.dir, e.name+".log")); err != nil {
			return errors.WithStack(err)
		}
		e.process = exec.Command("target/dotterelheadd", "jobs", "--config", config)
		e.process.Stdout, e.process.Stderr = e.log, e.log
		if err := e.process.Start(); err != nil {
			return errors.WithStack(err)
		}
		w.entries = append(w.entries, e)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range w.entries {
		for !isReady(e.ready) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for w.owner() == nil {
		if time.Now().After(deadline) {
			return errors.New("no entry VM owns the jobs")
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.rec.add("%d entry VMs are ready, %s owns the jobs", n, w.owner().name)
	return nil
}

// freeAddress returns a free address below the range from which the system picks the ports
// of connections.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return address, errors.WithStack(l.Close())
		}
	}
	return "", errors.WithStack(err)
}

func isReady(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// owner returns the entry VM that owns the jobs, or nil.
func (w *world) owner() *entry {
	var claim struct {
		Node string `json:"node"`
	}
	if json.Unmarshal(w.platform.Value("owner/lease"), &claim) != nil {
		return nil
	}
	for _, e := range w.entries {
		if e.name == claim.Node {
			return e
		}
	}
	return nil
}

// other returns the n-th entry VM that does not own the jobs.
func (w *world) other(n int) *entry {
	owner := w.owner()
	for _, e := range w.entries {
		if e == owner {
			continue
		}
		if n == 0 {
			return e
		}
		n--
	}
	return nil
}

// signal sends a signal to an entry VM.
func (w *world) signal(e *entry, s syscall.Signal) error {
	w.rec.add("signal %v to %s", s, e.name)
	return errors.WithStack(e.process.Process.Signal(s))
}

type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMB        int64  `json:"memMb,omitempty"`
	EstimateMs   int64  `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	Image        string `json:"image,omitempty"`
}

type jobRequest struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	StartAtMs  int64  `json:"startAtMs,omitempty"`
	IntervalMs int64  `json:"intervalMs,omitempty"`
}

// call sends a requester's call on a connection of its own. It returns 0 if no answer came
// within the time limit.
func (w *world) call(e *entry, method, path string, body any) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	shown := string(data)
	if len(shown) > 300 {
		shown = fmt.Sprintf("(%d bytes)", len(shown))
	}
	w.rec.add("to %s: %s %s %s", e.name, method, path, shown)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(timeLimit.Milliseconds(), 10))
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		w.rec.add("from %s: no answer to %s %s within the time limit: %v", e.name, method, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	answer = strings.TrimSpace(string(text))
	w.rec.add("from %s: %d %s to %s %s", e.name, resp.StatusCode, answer, method, path)
	return resp.StatusCode, answer
}
