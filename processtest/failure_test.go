package processtest

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/standin"
)

var twoPools = []poolSpec{{name: "a", vms: 3}, {name: "b", vms: 2}}

// spreadOverEntries returns a function for startLoad that distributes the callers
// over all entry VMs and alternates between the two pools. Each caller always uses
// the same entry VM, so that an entry VM that does not answer blocks only its own
// callers.
func (c *cluster) spreadOverEntries(work time.Duration) func(caller, n int) (*entryVM, call) {
	return func(caller, n int) (*entryVM, call) {
		return c.entries[caller%len(c.entries)], call{service: twoPools[n%2].name, work: work}
	}
}

// moveNote moves VM a-1 from pool a to pool b.
const moveNote = `
[note]
name = "move"
base = 1
[[pool.change]]
name = "a"
remove_vms = ["a-1"]
[[pool.change]]
name = "b"
add_vms = ["a-1"]
`

// awaitMoved waits until VM a-1 serves pool b and has received a request of it.
func (c *cluster) awaitMoved(timeout time.Duration) {
	c.t.Helper()
	c.eventually(timeout, "a-1 serves b", func() bool {
		vm := c.vm("a-1")
		return vm.Pool == "b" && vm.Phase == fleet.Serving
	})
	c.eventually(10*time.Second, "a-1 gets a request of b", func() bool {
		for _, r := range c.backends["a-1"].Records(0) {
			if r.Pool == "b" {
				return true
			}
		}
		return false
	})
}

// Guards against a VM that receives requests of two pools: an entry VM that is
// frozen or isolated while the VM moves to another pool must not send it
// requests of the old pool afterwards.
func TestOnePoolAcrossMove(t *testing.T) {
	for name, fault := range map[string]struct{ begin, end func(*cluster, *entryVM) }{
		"healthy": {func(*cluster, *entryVM) {}, func(*cluster, *entryVM) {}},
		"frozen": {
			func(_ *cluster, e *entryVM) { e.signal(syscall.SIGSTOP) },
			func(_ *cluster, e *entryVM) { e.signal(syscall.SIGCONT) },
		},
		"isolated from the platform": {(*cluster).isolateFromPlatform, func(c *cluster, _ *entryVM) { c.clearPlatformFaults() }},
		"isolated from its peers":    {(*cluster).isolateFromPeers, func(c *cluster, _ *entryVM) { c.reconnectPeers() }},
		"cannot be called by its peers": {
			func(_ *cluster, e *entryVM) { e.relay.setCut(cutAll) },
			func(c *cluster, _ *entryVM) { c.reconnectPeers() },
		},
		"isolated from both": {
			func(c *cluster, e *entryVM) { c.isolateFromPlatform(e); c.isolateFromPeers(e) },
			func(c *cluster, _ *entryVM) { c.clearPlatformFaults(); c.reconnectPeers() },
		},
		"killed": {func(_ *cluster, e *entryVM) { e.kill() }, func(_ *cluster, e *entryVM) { e.start() }},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, clusterOptions{entries: 4, pools: twoPools})
			// The control holder starts no transitions until it has been in contact
			// with the store and a majority of the entry VMs for membership.T, 5 s.
			time.Sleep(6 * time.Second)
			l := c.startLoad(12, c.spreadOverEntries(20*time.Millisecond))
			victim := c.entries[3]
			// Enough requests of the old pool for each of its backend servers to get
			// some from the victim, even one that is suspected to be faulty after its
			// reboot: it is chosen only when no other has a free slot.
			oldPoolLoad := c.startLoad(24, func(int, int) (*entryVM, call) {
				return victim, call{service: "a", work: 20 * time.Millisecond}
			})
			fault.begin(c, victim)
			// A watch that is pending at the store lasts for up to 2 s and would
			// still inform the victim of the move.
			time.Sleep(2500 * time.Millisecond)
			c.publishNote(moveNote)
			c.awaitMoved(40 * time.Second)
			// Time in which an entry VM could wrongly send for the old pool.
			time.Sleep(3 * time.Second)
			fault.end(c, victim)
			time.Sleep(3 * time.Second)
			replies := append(l.stop(), oldPoolLoad.stop()...)
			c.checkOnePool()
			c.checkReplies(replies)
			t.Logf("%+v", summarise(replies))
		})
	}
}

// Guards against an outage of the platform, including its store, that makes
// requests of callers fail; against keyed requests (those with an idempotency key)
// that hang during it, or run although the store could not record a claim on their
// key; and against moves of VMs caused by leases that expired during it.
func TestPlatformOutage(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
	// The control holder starts no transitions earlier; see TestOnePoolAcrossMove.
	time.Sleep(6 * time.Second)
	before, err := c.fleetDocument()
	c.must(err)
	// The outage lasts a minute. Requests without a key are sent throughout, keyed
	// requests in the first half.
	c.platform.SetFaults(standin.PlatformFaults{Down: true})
	unkeyed := c.startLoad(6, c.spreadOverEntries(10*time.Millisecond))
	time.Sleep(time.Second)
	keyed := c.startLoad(3, func(caller, n int) (*entryVM, call) {
		return c.entries[caller], call{service: "a", key: fmt.Sprintf("outage-%d-%d", caller, n)}
	})
	time.Sleep(30 * time.Second)
	keyedReplies := keyed.stop()
	time.Sleep(29 * time.Second)
	// All leases have expired when the store is back.
	c.platform.ExpireLeases()
	c.clearPlatformFaults()
	// Time in which VMs could wrongly be moved.
	time.Sleep(8 * time.Second)
	unkeyedReplies := unkeyed.stop()
	c.checkReplies(append(unkeyedReplies, keyedReplies...))
	if s := summarise(unkeyedReplies); s.answered != s.total {
		t.Errorf("not all requests without a key were answered during the outage: %+v", s)
	}
	for _, r := range keyedReplies {
		if r.took > time.Second || r.err != nil {
			t.Fatalf("keyed request during the outage took %v, limit 1 s, error %v", r.took, r.err)
		}
	}
	if s := summarise(keyedReplies); s.total == 0 || s.notRun != s.total {
		t.Errorf("keyed requests during the outage, want all reported as not run: %+v", s)
	}
	after, err := c.fleetDocument()
	c.must(err)
	for i, vm := range after.VMs {
		if vm.Generation != before.VMs[i].Generation || vm.Pool != before.VMs[i].Pool {
			t.Errorf("VM moved: %+v, before %+v", vm, before.VMs[i])
		}
	}
	if got := send(c.ctx, c.entries[0], call{service: "a", key: "after"}); got.outcome != "answered" {
		t.Errorf("keyed request after the outage was not answered: %+v", got)
	}
}

// Guards against requests that are interrupted when an entry VM is stopped by
// SIGTERM, or when a VM is drained and rebooted under load.
func TestGracefulStops(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
	// The control holder starts no transitions earlier; see TestOnePoolAcrossMove.
	time.Sleep(6 * time.Second)
	leaving := c.entries[2]
	ready := func(e *entryVM) bool {
		response, err := http.Get("http://" + e.operatorAddress + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	// The load simulates a load balancer that checks readiness before each
	// request.
	l := c.startLoad(9, func(caller, n int) (*entryVM, call) {
		e := c.entries[(caller+n)%3]
		if e == leaving && !ready(e) {
			return nil, call{}
		}
		return e, call{service: twoPools[n%2].name, work: 200 * time.Millisecond}
	})
	c.publishNote(waveNote)
	time.Sleep(2 * time.Second)
	// These requests run longer than shutdown_load_balancer_wait_seconds.
	var long sync.WaitGroup
	for i := range 6 {
		long.Go(func() {
			request := call{service: twoPools[i%2].name, work: 3 * time.Second}
			if i < 2 {
				request.key = fmt.Sprintf("long-%d", i)
			}
			if got := send(c.ctx, leaving, request); got.outcome != "answered" || got.err != nil {
				t.Errorf("long request during the shutdown by SIGTERM: %+v", got)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	defer long.Wait()
	if !leaving.terminate(20 * time.Second) {
		t.Error("the entry VM did not stop within 20 s of SIGTERM")
	}
	c.awaitWave(90 * time.Second)
	replies := l.stop()
	c.checkReplies(replies)
	c.checkOnePool()
	if s := summarise(replies); s.answered != s.total {
		t.Errorf("not all requests were answered during the planned shutdowns: %+v", s)
	}
	// The boot count is 1 before the reboot.
	for id, b := range c.backends {
		if stats := b.Stats(); stats.Incomplete != 0 || b.BootCount() != 2 {
			t.Errorf("%s: %d requests interrupted, boot count %d, want 0 and 2", id, stats.Incomplete, b.BootCount())
		}
	}
}

// Guards against new requests to a backend server that is leaving, also when it
// begins to leave while the store is down and the fleet document cannot be
// updated.
func TestLeavingBackendServer(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"store up":   {},
		"store down": {Down: true, DownCalls: []string{"store"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
			l := c.startLoad(9, c.spreadOverEntries(5*time.Millisecond))
			c.platform.SetFaults(faults)
			time.Sleep(4 * time.Second)
			vm := c.backends["a-2"].VM()
			vm.State = infrastructure.VMLeaving
			c.platform.Register(vm)
			listed := time.Now()
			time.Sleep(8 * time.Second)
			replies := l.stop()
			c.checkReplies(replies)
			last := time.Time{}
			for _, r := range c.backends["a-2"].Records(0) {
				last = r.Start
			}
			if delay := last.Sub(listed); delay > 3*time.Second {
				t.Errorf("new request %v after the VM was listed as leaving, limit 3 s", delay)
			}
			if s := summarise(replies); s.answered != s.total {
				t.Errorf("%+v", s)
			}
		})
	}
}

// Guards against requests that fail on other entry VMs when one entry VM is killed,
// and against requests that run twice when callers retry through another entry VM.
func TestEntryVMKilledUnderKeyedLoad(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 4, pools: twoPools})
	l := c.startLoad(8, func(caller, n int) (*entryVM, call) {
		// Two callers use each key, through different entry VMs.
		key := fmt.Sprintf("kill-%d-%d", caller/2, n)
		return c.entries[(caller+n)%4], call{service: "a", key: key, work: 5 * time.Millisecond}
	})
	time.Sleep(3 * time.Second)
	victim := c.entries[1]
	victim.kill()
	time.Sleep(5 * time.Second)
	c.must(victim.start())
	time.Sleep(5 * time.Second)
	replies := l.stop()
	c.checkReplies(replies)
	for _, r := range replies {
		if r.entry != victim.id && r.err != nil {
			t.Errorf("request through %s: %v", r.entry, r.err)
		}
	}
	t.Logf("%+v", summarise(replies))
}

// Guards against a burst that overloads a pool although spare VMs are idle, and
// against spare VMs that are not returned afterwards.
func TestBurstBorrowsSpareVMs(t *testing.T) {
	pools := []poolSpec{{name: "a", vms: 2}, {name: "b", vms: 2}, {name: "spare", vms: 3, spare: true}}
	c := startCluster(t, clusterOptions{entries: 3, pools: pools})
	// The control holder starts no transitions earlier; see TestOnePoolAcrossMove.
	time.Sleep(6 * time.Second)
	quiet := c.startLoad(3, func(caller, n int) (*entryVM, call) {
		return c.entries[caller], call{service: "b", work: 20 * time.Millisecond}
	})
	burst := c.startLoad(45, func(caller, n int) (*entryVM, call) {
		return c.entries[caller%3], call{service: "a", work: 300 * time.Millisecond}
	})
	servingA := func() int {
		document, err := c.fleetDocument()
		c.must(err)
		serving := 0
		for _, vm := range document.VMs {
			if vm.Pool == "a" && vm.Phase == fleet.Serving {
				serving++
			}
		}
		return serving
	}
	took := c.eventually(20*time.Second, "spare VMs serve a", func() bool { return servingA() >= 4 })
	t.Logf("two spare VMs serve after %v", took)
	time.Sleep(5 * time.Second)
	replies := burst.stop()
	took = c.eventually(120*time.Second, "spare VMs are returned", func() bool { return servingA() <= 2 })
	t.Logf("spare VMs returned after %v", took)
	replies = append(replies, quiet.stop()...)
	c.checkOnePool()
	c.checkReplies(replies)
	if s := summarise(replies); s.answered != s.total {
		t.Errorf("%+v", s)
	}
}

// Guards against a backend server that fails every request and attracts more of
// them because it answers fastest.
func TestFailingBackendServerLosesItsShare(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: []poolSpec{{name: "a", vms: 5}}})
	l := c.startLoad(12, func(caller, n int) (*entryVM, call) {
		return c.entries[caller%3], call{service: "a", work: 20 * time.Millisecond}
	})
	time.Sleep(2 * time.Second)
	c.backends["a-0"].SetFaults(standin.BackendFaults{Fail: true})
	failing := time.Now()
	// An ejected backend server gets only single requests as probes. The intervals
	// between them grow, so their share is measured over a period that is much
	// longer than the first intervals.
	time.Sleep(35 * time.Second)
	replies := l.stop()
	c.checkReplies(replies)
	toFailing, total := 0, 0
	for id, b := range c.backends {
		for _, r := range b.Records(0) {
			// Time in which the failures are noticed.
			if r.Start.Before(failing.Add(5 * time.Second)) {
				continue
			}
			total++
			if id == "a-0" {
				toFailing++
			}
		}
	}
	// The target is at most 1% of the fair share, which is a fifth of the requests.
	if limit := max(1, total/5/100); toFailing > limit {
		t.Errorf("the failing backend server got %d of %d requests after the first 5 s, limit %d", toFailing, total, limit)
	}
	t.Logf("%+v, failing backend server %d of %d", summarise(replies), toFailing, total)
}
