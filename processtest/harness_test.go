// Package processtest runs entry VMs as separate processes against stand-ins
// and checks the promises to callers and operators under failure.
package processtest

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/standin"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		var err error
		if programs, err = os.MkdirTemp("", "dotterelhead"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(programs)
		if err := reservePorts(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer portGuard.Close()
		build := exec.Command("go", "build", "-o", programs, "../cmd/dotterelheadd", "../cmd/dotterelhead")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
			return 1
		}
		return m.Run()
	}())
}

// cluster is a platform, backend servers and entry VMs for one test.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	platform *standin.Platform
	backends map[string]*standin.Backend
	entries  []*entry
}

// entry is one entry VM as a process, behind a relay that can cut its peers off.
type entry struct {
	id       string
	caller   string
	operator string
	peerIP   string
	relay    *relay
	config   string
	log      *os.File
	process  *exec.Cmd
	exited   chan struct{}
}

// pools of the test note: the pool and its service have the same name.
type poolSpec struct {
	name  string
	vms   int
	spare bool
}

type clusterOptions struct {
	entries int
	pools   []poolSpec
	// rebootDuration of the backend servers.
	rebootDuration time.Duration
	// deadlineSeconds of the services; 10 by default.
	deadlineSeconds float64
}

func startCluster(t *testing.T, o clusterOptions) *cluster {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, backends: map[string]*standin.Backend{}}
	t.Cleanup(func() {
		for _, e := range c.entries {
			e.kill()
			if t.Failed() {
				c.printLog(e)
			}
		}
		cancel()
	})
	c.platform = standin.NewPlatform(standin.PlatformOptions{})
	c.must(c.platform.Start(ctx))
	if o.deadlineSeconds == 0 {
		o.deadlineSeconds = 10
	}
	var note strings.Builder
	note.WriteString("[note]\nname = \"first\"\nbase = 0\n")
	for _, pool := range o.pools {
		var vms []string
		for i := range pool.vms {
			id := fmt.Sprintf("%s-%d", pool.name, i)
			vms = append(vms, fmt.Sprintf("%q", id))
			backend := standin.NewBackend(standin.BackendOptions{
				ID: id, AvailabilityZone: string(rune('a' + i%3)), Rack: fmt.Sprintf("%s-r%d", pool.name, i),
				Platform: c.platform.Addr(), RebootDuration: o.rebootDuration,
			})
			c.must(backend.Start(ctx))
			c.backends[id] = backend
		}
		fmt.Fprintf(&note, "[[pool.add]]\nname = %q\nvms = [%s]\nspare = %v\nslots_per_worker = 8\nconnections_per_worker = 64\nminimum_vms = 1\n",
			pool.name, strings.Join(vms, ", "), pool.spare)
		if !pool.spare {
			fmt.Fprintf(&note, "[[service.add]]\nname = %q\npool = %q\nmax_unavailable = 1\ndeadline_seconds = %.1f\nmax_queue = 1000\n",
				pool.name, pool.name, o.deadlineSeconds)
		}
	}
	for i := range o.entries {
		c.startEntry(fmt.Sprintf("entry-%d", i))
	}
	c.publish(note.String())
	for _, e := range c.entries {
		c.awaitServing(e, o.pools)
	}
	return c
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) printLog(e *entry) {
	text, err := os.ReadFile(e.log.Name())
	if err != nil {
		c.t.Log(err)
		return
	}
	// Lines of single requests and shards would push the others out.
	lines := slices.DeleteFunc(bytes.Split(text, []byte("\n")), func(line []byte) bool {
		return bytes.Contains(line, []byte("event=request_not_answered")) || bytes.Contains(line, []byte("event=claims_"))
	})
	c.t.Logf("log of %s, last lines:\n%s", e.id, bytes.Join(lines[max(0, len(lines)-40):], []byte("\n")))
}

// startEntry starts a new entry VM that the platform lists.
func (c *cluster) startEntry(id string) *entry {
	c.t.Helper()
	addresses := freeAddresses(c.t, 3)
	e := &entry{id: id, caller: addresses[0], operator: addresses[1], peerIP: fmt.Sprintf("127.0.1.%d", len(c.entries)+1)}
	peerListen := strings.Replace(addresses[2], "127.0.0.1", e.peerIP, 1)
	e.relay = newRelay(c.t, peerListen)
	var seeds []string
	for _, other := range c.entries {
		seeds = append(seeds, fmt.Sprintf("%q", other.relay.address()))
	}
	// The folder must outlive the clean-up of the test, which prints the log.
	dir, err := os.MkdirTemp(programs, id)
	c.must(err)
	e.config = filepath.Join(dir, "entry.toml")
	c.must(os.WriteFile(e.config, []byte(fmt.Sprintf(`
id = %q
region = "test"
availability_zone = "a"
caller_listen = %q
operator_listen = %q
peer_listen = %q
peer_address = %q
platform_url = "http://%s"
seed_peers = [%s]
shutdown_load_balancer_wait_seconds = 0.5
`, id, e.caller, e.operator, peerListen, e.relay.address(), c.platform.Addr(), strings.Join(seeds, ", "))), 0o600))
	e.log, err = os.Create(filepath.Join(dir, "log"))
	c.must(err)
	c.platform.Register(infrastructure.VM{ID: id, Address: e.caller, AvailabilityZone: "a", State: infrastructure.VMLive, EntryVM: true})
	c.must(e.start())
	c.entries = append(c.entries, e)
	return e
}

func (e *entry) start() error {
	e.process = exec.Command(filepath.Join(programs, "dotterelheadd"), "serve", "--config", e.config)
	e.process.Stdout, e.process.Stderr = e.log, e.log
	if err := e.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.exited = exited
	process := e.process
	go func() {
		process.Wait()
		close(exited)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) { e.process.Process.Signal(s) }

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited
}

// terminate sends SIGTERM and reports whether the process ended in time.
func (e *entry) terminate(timeout time.Duration) bool {
	e.signal(syscall.SIGTERM)
	select {
	case <-e.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// run executes the command-line tool against an entry VM.
func (c *cluster) run(e *entry, arguments ...string) (string, int) {
	c.t.Helper()
	tool := exec.Command(filepath.Join(programs, "dotterelhead"), append([]string{"--operator", e.operator}, arguments...)...)
	out, err := tool.CombinedOutput()
	if err != nil && tool.ProcessState == nil {
		c.t.Fatal(err)
	}
	return string(out), tool.ProcessState.ExitCode()
}

func (c *cluster) writeNote(text string) string {
	c.t.Helper()
	file := filepath.Join(c.t.TempDir(), "note.toml")
	c.must(os.WriteFile(file, []byte(text), 0o600))
	return file
}

// publish publishes a note through the first entry VM that takes it.
func (c *cluster) publish(text string) {
	c.t.Helper()
	file := c.writeNote(text)
	var out string
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var code int
		if out, code = c.run(c.entries[0], "publish", file); code == 0 {
			return
		}
	}
	c.t.Fatalf("the note was not accepted: %s", out)
}

// eventually waits until the condition holds.
func (c *cluster) eventually(timeout time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > timeout {
			c.t.Fatalf("not within %v: %s", timeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// awaitServing waits until the entry VM answers for every service.
func (c *cluster) awaitServing(e *entry, pools []poolSpec) {
	c.t.Helper()
	for _, pool := range pools {
		if pool.spare {
			continue
		}
		c.eventually(20*time.Second, e.id+" serves "+pool.name, func() bool {
			return send(c.ctx, e, call{service: pool.name}).outcome == "answered"
		})
	}
}

// vm returns the record of a VM in the fleet document.
func (c *cluster) vm(id string) fleet.VM {
	c.t.Helper()
	document, err := c.fleet()
	c.must(err)
	for _, vm := range document.VMs {
		if vm.ID == id {
			return vm
		}
	}
	c.t.Fatalf("VM %s is not in the fleet document", id)
	return fleet.VM{}
}

func (c *cluster) fleet() (fleet.Document, error) {
	client := httpclient.NewClient(httpclient.ClientOptions{BaseURL: c.platform.Addr(), Entry: "test"})
	defer client.CloseIdleConnections()
	kv, err := client.Get(c.ctx, fleet.DocumentKey("test"))
	if err != nil {
		return fleet.Document{}, err
	}
	return fleet.Decode(kv.Value)
}

const (
	// firstPort and lastPort are below the ports that the kernel gives to
	// outgoing connections, which could otherwise take a port between its
	// choice and its use.
	firstPort, lastPort = 10000, 32000
	// portsPerProcess are reserved for one process by listening on the first,
	// because several runs of these tests may go on at the same time.
	portsPerProcess = 1000
)

var (
	nextPort  atomic.Int32
	portGuard net.Listener
)

// reservePorts takes a block of ports for this process.
func reservePorts() error {
	for port := firstPort; port < lastPort; port += portsPerProcess {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			portGuard = listener
			nextPort.Store(int32(port))
			return nil
		}
	}
	return fmt.Errorf("no free block of ports between %d and %d", firstPort, lastPort)
}

func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < n {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		// A process that is started meanwhile would hold the socket until its
		// exec and keep the address in use.
		syscall.ForkLock.RLock()
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			addresses = append(addresses, address)
		}
		syscall.ForkLock.RUnlock()
	}
	return addresses
}

// cutPeers cuts an entry VM off from its peers in both directions. Entry VMs
// call their peers from the IP address of their own peer listener.
func (c *cluster) cutPeers(e *entry) {
	e.relay.setCut(everything)
	for _, other := range c.entries {
		if other != e {
			other.relay.setCut(func(client net.Addr) bool { return client.(*net.TCPAddr).IP.String() == e.peerIP })
		}
	}
}

func (c *cluster) healPeers() {
	for _, e := range c.entries {
		e.relay.setCut(nothing)
	}
}

// peakMemory returns the largest resident set of the process in bytes.
func (c *cluster) peakMemory(e *entry) int64 {
	c.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.Process.Pid))
	c.must(err)
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			var kilobytes int64
			_, err := fmt.Sscan(rest, &kilobytes)
			c.must(err)
			return kilobytes << 10
		}
	}
	c.t.Fatal("the process status has no VmHWM")
	return 0
}

func (c *cluster) cutStore(e *entry) {
	c.platform.SetFaults(standin.PlatformFaults{DownEntries: []string{e.id}})
}

func (c *cluster) healStore() { c.platform.SetFaults(standin.PlatformFaults{}) }
