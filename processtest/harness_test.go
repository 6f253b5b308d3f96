// Package processtest runs entry VMs as separate processes against simulated
// platforms and backend servers, injects faults, and checks the guarantees given
// to callers and operators.
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

// binDir is the directory that holds the binaries built by TestMain.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		var err error
		if binDir, err = os.MkdirTemp("", "dotterelhead"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(binDir)
		if err := reservePorts(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer portBlockListener.Close()
		build := exec.Command("go", "build", "-o", binDir, "../cmd/dotterelheadd", "../cmd/dotterelhead")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
			return 1
		}
		return m.Run()
	}())
}

// cluster is a simulated platform with backend servers, and the entry VM
// processes of one test.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	platform *standin.Platform
	backends map[string]*standin.Backend
	entries  []*entryVM
}

// entryVM is an entry VM process. Its peers reach it through a relay that can drop
// their traffic.
type entryVM struct {
	id              string
	callerAddress   string
	operatorAddress string
	peerIP          string
	relay           *relay
	config          string
	log             *os.File
	process         *exec.Cmd
	exited          chan struct{}
}

// poolSpec describes a pool in the first note of a test. Notes are the files by
// which operators change the configuration; each accepted one makes a new revision.
// A spare pool lends its VMs to others; any other has a service of the same name.
type poolSpec struct {
	name  string
	vms   int
	spare bool
}

type clusterOptions struct {
	// entries is the number of entry VMs.
	entries int
	pools   []poolSpec
	// rebootDuration is how long a backend server takes to reboot.
	rebootDuration time.Duration
	// deadlineSeconds is the request deadline of the services; 0 means 10.
	deadlineSeconds float64
}

// startCluster starts a platform, backend servers and entry VMs, publishes the first
// note, and waits until every entry VM serves every service. The test runs in
// parallel with others.
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
	c.publishNote(note.String())
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

func (c *cluster) printLog(e *entryVM) {
	text, err := os.ReadFile(e.log.Name())
	if err != nil {
		c.t.Log(err)
		return
	}
	// Messages on single requests and shards are left out, as they would fill most
	// of the last lines.
	lines := slices.DeleteFunc(bytes.Split(text, []byte("\n")), func(line []byte) bool {
		return bytes.Contains(line, []byte("event=request_not_answered")) || bytes.Contains(line, []byte("event=claims_"))
	})
	c.t.Logf("log of %s, last lines:\n%s", e.id, bytes.Join(lines[max(0, len(lines)-40):], []byte("\n")))
}

// startEntry registers a new entry VM with the platform and starts it.
func (c *cluster) startEntry(id string) *entryVM {
	c.t.Helper()
	addresses := freeAddresses(c.t, 3)
	e := &entryVM{id: id, callerAddress: addresses[0], operatorAddress: addresses[1], peerIP: fmt.Sprintf("127.0.1.%d", len(c.entries)+1)}
	peerListen := strings.Replace(addresses[2], "127.0.0.1", e.peerIP, 1)
	e.relay = newRelay(c.t, peerListen)
	var seeds []string
	for _, other := range c.entries {
		seeds = append(seeds, fmt.Sprintf("%q", other.relay.address()))
	}
	// t.TempDir would be removed before the cleanup function of startCluster
	// prints the log, as that function was registered earlier.
	dir, err := os.MkdirTemp(binDir, id)
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
`, id, e.callerAddress, e.operatorAddress, peerListen, e.relay.address(), c.platform.Addr(), strings.Join(seeds, ", "))), 0o600))
	e.log, err = os.Create(filepath.Join(dir, "log"))
	c.must(err)
	c.platform.Register(infrastructure.VM{ID: id, Address: e.callerAddress, AvailabilityZone: "a", State: infrastructure.VMLive, EntryVM: true})
	c.must(e.start())
	c.entries = append(c.entries, e)
	return e
}

func (e *entryVM) start() error {
	e.process = exec.Command(filepath.Join(binDir, "dotterelheadd"), "serve", "--config", e.config)
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

func (e *entryVM) signal(s syscall.Signal) { e.process.Process.Signal(s) }

func (e *entryVM) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited
}

// terminate sends SIGTERM and reports whether the process exited within the
// timeout.
func (e *entryVM) terminate(timeout time.Duration) bool {
	e.signal(syscall.SIGTERM)
	select {
	case <-e.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// runTool executes the command-line tool against an entry VM and returns its
// output and exit code.
func (c *cluster) runTool(e *entryVM, arguments ...string) (string, int) {
	c.t.Helper()
	tool := exec.Command(filepath.Join(binDir, "dotterelhead"), append([]string{"--operator", e.operatorAddress}, arguments...)...)
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

// publishNote publishes a note through the first entry VM, and retries until the note
// is accepted.
func (c *cluster) publishNote(text string) {
	c.t.Helper()
	file := c.writeNote(text)
	var out string
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var code int
		if out, code = c.runTool(c.entries[0], "publish", file); code == 0 {
			return
		}
	}
	c.t.Fatalf("the note was not accepted: %s", out)
}

// eventually waits until the condition holds and returns how long that took. It
// fails the test with the message "not within TIMEOUT: WHAT" otherwise.
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

// awaitServing waits until the entry VM returns an answer of a backend server, even
// an error, for every service.
func (c *cluster) awaitServing(e *entryVM, pools []poolSpec) {
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
	document, err := c.fleetDocument()
	c.must(err)
	for _, vm := range document.VMs {
		if vm.ID == id {
			return vm
		}
	}
	c.t.Fatalf("VM %s is not in the fleet document", id)
	return fleet.VM{}
}

func (c *cluster) fleetDocument() (fleet.Document, error) {
	client := httpclient.NewClient(httpclient.ClientOptions{BaseURL: c.platform.Addr(), Entry: "test"})
	defer client.CloseIdleConnections()
	kv, err := client.Get(c.ctx, fleet.DocumentKey("test"))
	if err != nil {
		return fleet.Document{}, err
	}
	return fleet.Decode(kv.Value)
}

const (
	// firstPort and lastPort delimit a range below the kernel's ephemeral ports.
	// Otherwise an outgoing connection could take a port between the moment it
	// is chosen and the moment it is listened on.
	firstPort, lastPort = 10000, 32000
	// portsPerProcess is the size of the block of ports that a test process
	// reserves by listening on the first port of the block, because several runs
	// of these tests may use the machine at the same time.
	portsPerProcess = 1000
)

var (
	nextPort          atomic.Int32
	portBlockListener net.Listener
)

// reservePorts reserves a block of ports for this process.
func reservePorts() error {
	for port := firstPort; port < lastPort; port += portsPerProcess {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			portBlockListener = listener
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
		// A process forked while the socket is open would inherit it and keep the
		// address in use until its exec.
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

// isolateFromPeers drops the traffic between an entry VM and its peers in both
// directions. An entry VM calls its peers from the IP address of its own peer
// listener, by which their relays recognise it.
func (c *cluster) isolateFromPeers(e *entryVM) {
	e.relay.setCut(cutAll)
	for _, other := range c.entries {
		if other != e {
			other.relay.setCut(func(client net.Addr) bool { return client.(*net.TCPAddr).IP.String() == e.peerIP })
		}
	}
}

func (c *cluster) reconnectPeers() {
	for _, e := range c.entries {
		e.relay.setCut(cutNone)
	}
}

// peakMemory returns the peak resident set size of the process in bytes.
func (c *cluster) peakMemory(e *entryVM) int64 {
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
	c.t.Fatal("the status file of the process has no VmHWM")
	return 0
}

// isolateFromPlatform makes all calls of an entry VM to the platform fail, those to
// the store included.
func (c *cluster) isolateFromPlatform(e *entryVM) {
	c.platform.SetFaults(standin.PlatformFaults{DownEntries: []string{e.id}})
}

func (c *cluster) clearPlatformFaults() { c.platform.SetFaults(standin.PlatformFaults{}) }
