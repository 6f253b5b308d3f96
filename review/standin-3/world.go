package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: entry VMs, each a process of the project, and stand-ins of the
// platform, the workers and the requesters.
type world struct {
	started time.Time
	folder  string
	store   *store
	history *history
	server  *http.Server
	address string
	entries []*entry

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	listings []listing
}

// entry is one entry VM.
type entry struct {
	name, front, ready string
	settings           string
	command            *exec.Cmd
}

// newWorld starts the platform's store. The record is written to the file.
func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{started: time.Now(), folder: folder, store: newStore(), record: file}
	w.history = &history{jobs: map[string]*jobHistory{}, runs: map[string]map[*worker]int64{}, world: w}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	w.store.routes(mux)
	mux.HandleFunc("GET "+names.Machines, w.serveMachines)
	mux.HandleFunc("POST "+names.Upkeep, w.serveUpkeep)
	mux.HandleFunc("POST "+names.Move, w.serveMove)
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(l)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// settingsText is deploy/entry.toml.template, filled in for an entry VM of the site
// niederalm-cut on loopback.
const settingsText = `node = %q
availability_zone = "zone-a"
caller_listen = %q
ready_listen = %q
metrics_listen = ""
store_address = %q
machines_address = %q
advice_address = ""
memory_limit_mb = 284
descriptor_limit = 4100
cpu_share = 0.4

[bounds]
grace_seconds = 6
stop_timeout_ms = 400
max_lease_ms = 6000
hand_over_ms = 3000
config_apply_ms = 2000
status_seconds = 120
upkeep_seconds = 2
move_seconds = 1.5
machine_orders_per_second = 64
`

// startEntry starts the process of an entry VM, with the command of deploy/system.toml.
func (w *world) startEntry(name string) error {
	front, err := freeAddress()
	if err != nil {
		return err
	}
	ready, err := freeAddress()
	if err != nil {
		return err
	}
	e := &entry{name: name, front: front, ready: ready, settings: filepath.Join(w.folder, name+".toml")}
	text := fmt.Sprintf(settingsText, name, front, ready, w.address, w.address)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	e.command = exec.Command(filepath.Join("target", "dotterelheadd"), "jobs", "--config", e.settings)
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return err
	}
	w.entries = append(w.entries, e)
	return nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitReady waits until all entry VMs report that they are ready.
func (w *world) waitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range w.entries {
		for {
			response, err := http.Get("http://" + e.ready + names.Ready)
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %v", e.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("%d entry VMs are ready", len(w.entries))
	return nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, e := range w.entries {
		_ = e.command.Process.Signal(syscall.SIGTERM)
	}
	for _, e := range w.entries {
		timer := time.AfterFunc(6*time.Second, func() { _ = e.command.Process.Kill() })
		_ = e.command.Wait()
		timer.Stop()
	}
	w.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.folder)
	} else {
		w.note("the logs are kept in the temporary folder")
		fmt.Println(w.folder)
	}
	w.record.Close()
}

// step is a step of a job in the encoding of the protocol.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"memMb"`
	EstimateMs int   `json:"estimateMs"`
	After      []int `json:"after,omitempty"`
}

// jobBody is the body of a submission.
type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

const host = "queue.example"

// errNoAnswer reports a call without a complete answer.
var errNoAnswer = errors.New("no answer")

// call sends a request to an entry VM and returns the status and the body.
func (w *world) call(e *entry, method, path string, body any) (int, string, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, "", err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, "", err
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", errNoAnswer
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", errNoAnswer
	}
	return response.StatusCode, strings.TrimSpace(string(text)), nil
}

// submit hands a job in, at one entry VM after the other, until it is accepted.
func (w *world) submit(path, id string, body jobBody) bool {
	for n := range 5 {
		e := w.entries[n%len(w.entries)]
		status, text, err := w.call(e, http.MethodPost, path+id, body)
		w.note("POST %s%s at %s: %d %s %v", path, id, e.name, status, text, err)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job at each entry VM in turn until one answers.
func (w *world) state(path, id string) string {
	for _, e := range w.entries {
		status, text, err := w.call(e, http.MethodGet, path+id, nil)
		if err != nil {
			continue
		}
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return body.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}

// publishManifest writes a manifest with one route and one service.
func (w *world) publishManifest(services ...string) {
	var routes, pools []map[string]any
	for _, s := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + s, "host": host, "prefix": "/" + s + "/", "service": s, "priority": 0, "attempts": 2, "stretch": 1.6,
			names.Target: 600, "timeoutMs": 3000,
		})
		pools = append(pools, map[string]any{"name": s, names.Admission: false})
	}
	w.store.write(names.Manifest, map[string]any{"version": 3, "routes": routes, "services": pools, "limits": map[string]int{"maxBodyBytes": 262144}})
}
