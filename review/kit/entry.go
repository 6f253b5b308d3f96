package kit

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// Entry is an entry VM, run as a process with the command of the deploy file.
type Entry struct {
	Node, Callers string
	config        string
	log           *os.File

	mu      sync.Mutex
	ended   bool
	process *exec.Cmd
	exited  chan struct{}
}

// settings has the fields of deploy/entry.toml.template with the bounds of a small site.
const settings = `node = %q
availability_zone = "zone-a"
caller_listen = %q
ready_listen = %q
metrics_listen = %q
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
`

// StartEntry starts an entry VM; its log goes to a file in dir.
func StartEntry(program, dir, node, store, machines, advice string) (*Entry, error) {
	e := &Entry{Node: node, config: filepath.Join(dir, node+".toml")}
	var addresses []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	e.Callers = addresses[0]
	text := fmt.Sprintf(settings, node, addresses[0], addresses[1], addresses[2], store, machines, advice)
	if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, node+".log"))
	if err != nil {
		return nil, err
	}
	e.log = log
	return e, e.Start(program)
}

// Start starts the process, unless End was called.
func (e *Entry) Start(program string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return nil
	}
	e.process = exec.Command(program, "jobs", "--config", e.config)
	e.process.Stdout, e.process.Stderr = e.log, e.log
	// The process ends with this one, however that ends.
	e.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.exited = exited
	go func(p *exec.Cmd) {
		_ = p.Wait()
		close(exited)
	}(e.process)
	return nil
}

// End ends the process with SIGKILL, waits for its end, and keeps it from being started
// again.
func (e *Entry) End() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	_ = e.process.Process.Signal(syscall.SIGKILL)
	<-e.exited
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.process.Process.Signal(s)
}
