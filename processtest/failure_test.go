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

// everyEntry spreads callers over all entry VMs. A caller stays with its entry
// VM, so that one that does not answer keeps only its own callers waiting.
func (c *cluster) everyEntry(work time.Duration) func(caller, n int) (*entry, call) {
	return func(caller, n int) (*entry, call) {
		return c.entries[caller%len(c.entries)], call{service: twoPools[n%2].name, work: work}
	}
}

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

// Guards against a VM that gets requests of two pools: an entry VM that is
// frozen or cut off across the move must not send for the old pool afterwards.
func TestOnePoolAcrossMove(t *testing.T) {
	for name, fault := range map[string]struct{ begin, end func(*cluster, *entry) }{
		"healthy": {func(*cluster, *entry) {}, func(*cluster, *entry) {}},
		"frozen": {
			func(_ *cluster, e *entry) { e.signal(syscall.SIGSTOP) },
			func(_ *cluster, e *entry) { e.signal(syscall.SIGCONT) },
		},
		"cut from the store": {(*cluster).cutStore, func(c *cluster, _ *entry) { c.healStore() }},
		"cut from its peers": {(*cluster).cutPeers, func(c *cluster, _ *entry) { c.healPeers() }},
		"cannot be called by its peers": {
			func(_ *cluster, e *entry) { e.relay.setCut(everything) },
			func(c *cluster, _ *entry) { c.healPeers() },
		},
		"cut from both": {
			func(c *cluster, e *entry) { c.cutStore(e); c.cutPeers(e) },
			func(c *cluster, _ *entry) { c.healStore(); c.healPeers() },
		},
		"killed": {func(_ *cluster, e *entry) { e.kill() }, func(_ *cluster, e *entry) { e.start() }},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, clusterOptions{entries: 4, pools: twoPools})
			time.Sleep(6 * time.Second) // The control holder starts no transitions before T of contact.
			l := c.startLoad(12, c.everyEntry(20*time.Millisecond))
			victim := c.entries[3]
			// Enough requests of the old pool that every one of its workers
			// gets some from the victim, one that is suspected after the reboot too.
			old := c.startLoad(24, func(int, int) (*entry, call) {
				return victim, call{service: "a", work: 20 * time.Millisecond}
			})
			fault.begin(c, victim)
			// A watch that was waiting at the store lasts for up to 2 s and
			// would still tell the victim of the move.
			time.Sleep(2500 * time.Millisecond)
			c.publish(moveNote)
			c.awaitMoved(40 * time.Second)
			// An entry VM that still sends for the old pool does so now.
			time.Sleep(3 * time.Second)
			fault.end(c, victim)
			time.Sleep(3 * time.Second)
			replies := append(l.stop(), old.stop()...)
			c.checkOnePool()
			c.checkHonesty(replies)
			t.Logf("%+v", summarise(replies))
		})
	}
}

// Guards against callers that are stopped by a store outage, against keyed
// requests that hang or run unclaimed, and against moves that are set off by
// leases which lapsed during the outage.
func TestStoreOutage(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
	time.Sleep(6 * time.Second)
	before, err := c.fleet()
	c.must(err)
	c.platform.SetFaults(standin.PlatformFaults{Down: true})
	plain := c.startLoad(6, c.everyEntry(10*time.Millisecond))
	time.Sleep(time.Second)
	keyed := c.startLoad(3, func(caller, n int) (*entry, call) {
		return c.entries[caller], call{service: "a", key: fmt.Sprintf("outage-%d-%d", caller, n)}
	})
	time.Sleep(30 * time.Second)
	keyedReplies := keyed.stop()
	time.Sleep(29 * time.Second)
	c.platform.ExpireLeases()
	c.healStore()
	time.Sleep(8 * time.Second)
	plainReplies := plain.stop()
	c.checkHonesty(append(plainReplies, keyedReplies...))
	if s := summarise(plainReplies); s.answered != s.total {
		t.Errorf("repeatable requests during the outage: %+v", s)
	}
	for _, r := range keyedReplies {
		if r.took > time.Second || r.err != nil {
			t.Fatalf("keyed request took %v, error %v", r.took, r.err)
		}
	}
	if s := summarise(keyedReplies); s.total == 0 || s.notRun != s.total {
		t.Errorf("keyed requests during the outage: %+v", s)
	}
	after, err := c.fleet()
	c.must(err)
	for i, vm := range after.VMs {
		if vm.Generation != before.VMs[i].Generation || vm.Pool != before.VMs[i].Pool {
			t.Errorf("VM moved: %+v, before %+v", vm, before.VMs[i])
		}
	}
	if got := send(c.ctx, c.entries[0], call{service: "a", key: "after"}); got.outcome != "answered" {
		t.Errorf("keyed request after the outage: %+v", got)
	}
}

// Guards against requests that are cut when an entry VM is stopped by SIGTERM
// or a VM is drained and rebooted under load.
func TestGracefulStops(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
	time.Sleep(6 * time.Second)
	leaving := c.entries[2]
	ready := func(e *entry) bool {
		answer, err := http.Get("http://" + e.operator + "/readyz")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}
	// The load stands for a load balancer that checks readiness before each
	// request.
	l := c.startLoad(9, func(caller, n int) (*entry, call) {
		e := c.entries[(caller+n)%3]
		if e == leaving && !ready(e) {
			return nil, call{}
		}
		return e, call{service: twoPools[n%2].name, work: 200 * time.Millisecond}
	})
	c.publish(waveNote)
	time.Sleep(2 * time.Second)
	// These outlast the wait for the load balancer.
	var long sync.WaitGroup
	for i := range 6 {
		long.Go(func() {
			request := call{service: twoPools[i%2].name, work: 3 * time.Second}
			if i < 2 {
				request.key = fmt.Sprintf("long-%d", i)
			}
			if got := send(c.ctx, leaving, request); got.outcome != "answered" || got.err != nil {
				t.Errorf("long request across SIGTERM: %+v", got)
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
	c.checkHonesty(replies)
	c.checkOnePool()
	if s := summarise(replies); s.answered != s.total {
		t.Errorf("requests across the planned stops: %+v", s)
	}
	for id, b := range c.backends {
		if stats := b.Stats(); stats.Incomplete != 0 || b.BootCount() != 2 {
			t.Errorf("%s: %d requests cut, boot count %d, want 0 and 2", id, stats.Incomplete, b.BootCount())
		}
	}
}

// Guards against new work for a backend server that is leaving, also when it
// begins to leave while the store is down and the fleet document cannot say it.
func TestLeavingBackendServer(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"store up":   {},
		"store down": {Down: true, DownCalls: []string{"store"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
			l := c.startLoad(9, c.everyEntry(5*time.Millisecond))
			c.platform.SetFaults(faults)
			time.Sleep(4 * time.Second)
			vm := c.backends["a-2"].VM()
			vm.State = infrastructure.VMLeaving
			c.platform.Register(vm)
			listed := time.Now()
			time.Sleep(8 * time.Second)
			replies := l.stop()
			c.checkHonesty(replies)
			last := time.Time{}
			for _, r := range c.backends["a-2"].Records(0) {
				last = r.Start
			}
			if late := last.Sub(listed); late > 3*time.Second {
				t.Errorf("new work %v after the VM was listed as leaving", late)
			}
			if s := summarise(replies); s.answered != s.total {
				t.Errorf("%+v", s)
			}
		})
	}
}

// Guards against a killed entry VM that takes requests of other entry VMs with
// it, and against doubled executions when callers retry through another one.
func TestEntryVMKilledUnderKeyedLoad(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 4, pools: twoPools})
	l := c.startLoad(8, func(caller, n int) (*entry, call) {
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
	c.checkHonesty(replies)
	for _, r := range replies {
		if r.entry != victim.id && r.err != nil {
			t.Errorf("request through %s: %v", r.entry, r.err)
		}
	}
	t.Logf("%+v", summarise(replies))
}

// Guards against a burst that the pool cannot hold although spare VMs stand
// idle, and against spare VMs that are not given back.
func TestBurstBorrowsSpareVMs(t *testing.T) {
	pools := []poolSpec{{name: "a", vms: 2}, {name: "b", vms: 2}, {name: "spare", vms: 3, spare: true}}
	c := startCluster(t, clusterOptions{entries: 3, pools: pools})
	time.Sleep(6 * time.Second)
	quiet := c.startLoad(3, func(caller, n int) (*entry, call) {
		return c.entries[caller], call{service: "b", work: 20 * time.Millisecond}
	})
	burst := c.startLoad(45, func(caller, n int) (*entry, call) {
		return c.entries[caller%3], call{service: "a", work: 300 * time.Millisecond}
	})
	servingA := func() int {
		document, err := c.fleet()
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
	took = c.eventually(120*time.Second, "spare VMs are given back", func() bool { return servingA() <= 2 })
	t.Logf("given back after %v", took)
	replies = append(replies, quiet.stop()...)
	c.checkOnePool()
	c.checkHonesty(replies)
	if s := summarise(replies); s.answered != s.total {
		t.Errorf("%+v", s)
	}
}

// Guards against a worker that fails all it starts and attracts work by being
// the fastest to answer.
func TestFailingWorkerLosesItsShare(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: []poolSpec{{name: "a", vms: 5}}})
	l := c.startLoad(12, func(caller, n int) (*entry, call) {
		return c.entries[caller%3], call{service: "a", work: 20 * time.Millisecond}
	})
	time.Sleep(2 * time.Second)
	c.backends["a-0"].SetFaults(standin.BackendFaults{Fail: true})
	failing := time.Now()
	// Probes follow at growing intervals, so that their share is counted over
	// a time that is long against the first ones.
	time.Sleep(35 * time.Second)
	replies := l.stop()
	c.checkHonesty(replies)
	late, total := 0, 0
	for id, b := range c.backends {
		for _, r := range b.Records(0) {
			if r.Start.Before(failing.Add(5 * time.Second)) {
				continue
			}
			total++
			if id == "a-0" {
				late++
			}
		}
	}
	// The target is 1% of the fair share, which is a fifth of the work.
	if limit := max(1, total/5/100); late > limit {
		t.Errorf("the failing worker got %d of %d requests after 5 s, limit %d", late, total, limit)
	}
	t.Logf("%+v, failing worker %d of %d", summarise(replies), late, total)
}
