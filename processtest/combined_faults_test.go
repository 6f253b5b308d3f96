package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/standin"
)

const waveNote = `
[note]
name = "maintenance"
base = 1
[[wave.add]]
name = "first-wave"
pools = ["a", "b"]
max_concurrent = 1
`

// awaitWave waits until the maintenance wave has finished.
func (c *cluster) awaitWave(timeout time.Duration) {
	c.t.Helper()
	c.eventually(timeout, "the wave ends", func() bool {
		document, err := c.fleetDocument()
		return err == nil && len(document.Waves) == 1 && document.Waves[0].Finished
	})
}

// controlHolder waits until an entry VM holds the control role and returns it. Only
// the holder starts transitions of VMs, such as moves to another pool and reboots.
func (c *cluster) controlHolder() *entryVM {
	c.t.Helper()
	var found *entryVM
	c.eventually(20*time.Second, "an entry VM holds the control role", func() bool {
		for _, e := range c.entries {
			out, code := c.runTool(e, "status", "--output", "json")
			var status struct {
				Entry struct {
					Control struct{ Holding bool }
				}
			}
			if code == 0 && json.Unmarshal([]byte(out), &status) == nil && status.Entry.Control.Holding {
				found = e
				return true
			}
		}
		return false
	})
	return found
}

// watchAvailabilityBudget checks in the background, until the context ends, that no
// pool has more VMs in a planned outage at the same time than the availability
// budget of its service allows, which is max_unavailable = 1 in startCluster.
func (c *cluster) watchAvailabilityBudget(ctx context.Context) *sync.WaitGroup {
	var done sync.WaitGroup
	done.Go(func() {
		for ctx.Err() == nil {
			document, err := c.fleetDocument()
			if err != nil {
				continue
			}
			unavailable := map[string]int{}
			for _, vm := range document.VMs {
				if vm.Phase == fleet.Releasing || vm.Phase == fleet.Rebooting {
					unavailable[vm.Pool]++
				}
			}
			for pool, n := range unavailable {
				if n > 1 {
					c.t.Errorf("%d VMs of pool %s are in a planned outage, availability budget 1", n, pool)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return &done
}

// Guards against VMs that are rebooted twice, and against more VMs in a planned
// outage than the availability budget allows, when the control holder is paused
// until its lease has expired and answers to reboot calls are lost.
func TestPausedControlHolderAndLostAnswersInWave(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
	// The control holder starts no transitions earlier; see TestOnePoolAcrossMove.
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithCancel(c.ctx)
	watching := c.watchAvailabilityBudget(ctx)
	l := c.startLoad(6, c.spreadOverEntries(20*time.Millisecond))
	c.publishNote(waveNote)
	c.platform.SetFaults(standin.PlatformFaults{LoseProbability: 0.3, Seed: 2})
	time.Sleep(500 * time.Millisecond)
	paused := c.controlHolder()
	paused.signal(syscall.SIGSTOP)
	time.Sleep(8 * time.Second)
	paused.signal(syscall.SIGCONT)
	c.awaitWave(120 * time.Second)
	time.Sleep(2 * time.Second)
	replies := l.stop()
	cancel()
	watching.Wait()
	c.checkReplies(replies)
	c.checkOnePool()
	// The boot count is 1 before the reboot.
	for id, b := range c.backends {
		if b.BootCount() != 2 || b.Stats().Incomplete != 0 {
			t.Errorf("%s: boot count %d, %d requests interrupted, want 2 and 0", id, b.BootCount(), b.Stats().Incomplete)
		}
	}
	t.Logf("%+v", summarise(replies))
}

// Guards against a restarted entry VM that cannot serve while the platform is down,
// and against other entry VMs that stop serving because of the outage or the restart.
func TestEntryVMRestartedDuringPlatformOutage(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 4, pools: twoPools})
	c.platform.SetFaults(standin.PlatformFaults{Down: true})
	victim := c.entries[3]
	l := c.startLoad(9, func(caller, n int) (*entryVM, call) {
		return c.entries[caller%3], call{service: twoPools[n%2].name, work: 5 * time.Millisecond}
	})
	time.Sleep(2 * time.Second)
	victim.kill()
	time.Sleep(8 * time.Second)
	c.must(victim.start())
	c.awaitServing(victim, twoPools)
	time.Sleep(2 * time.Second)
	replies := l.stop()
	c.checkReplies(replies)
	if s := summarise(replies); s.answered != s.total {
		t.Errorf("not all requests through the other entry VMs were answered: %+v", s)
	}
}

// Guards against connections that stay open but no longer deliver anything: they
// must not keep slots occupied, make requests without a key fail, or make keyed
// requests run twice.
func TestSilentConnectionsAndLostAnswers(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools, deadlineSeconds: 20})
	unkeyed := c.startLoad(9, c.spreadOverEntries(10*time.Millisecond))
	keyed := c.startLoad(3, func(caller, n int) (*entryVM, call) {
		return c.entries[caller], call{service: "a", key: fmt.Sprintf("silent-%d-%d", caller, n), work: 10 * time.Millisecond}
	})
	time.Sleep(4 * time.Second)
	c.platform.SetFaults(standin.PlatformFaults{LoseProbability: 0.1, Seed: 3})
	silenced := 0
	for _, b := range c.backends {
		silenced += b.Silence()
	}
	time.Sleep(8 * time.Second)
	unkeyedReplies, keyedReplies := unkeyed.stop(), keyed.stop()
	c.checkReplies(append(unkeyedReplies, keyedReplies...))
	slow := 0
	for _, r := range unkeyedReplies {
		if r.took > 8*time.Second {
			slow++
		}
	}
	if s := summarise(unkeyedReplies); silenced == 0 || s.answered != s.total || slow > 0 {
		t.Errorf("%d connections silenced (want some), %d requests over 8 s (want none), or not all answered: %+v", silenced, slow, s)
	}
	t.Logf("keyed %+v", summarise(keyedReplies))
}

// Guards against slots and queue positions that are not freed when many callers
// cancel at once while the store is slow.
func TestMassCancellationWithSlowStore(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: []poolSpec{{name: "a", vms: 2}}})
	c.platform.SetFaults(standin.PlatformFaults{DelaySeconds: 0.3})
	for round := range 3 {
		ctx, cancel := context.WithCancel(c.ctx)
		var callers sync.WaitGroup
		for i := range 120 {
			callers.Go(func() {
				request := call{service: "a", work: 5 * time.Second}
				if i%4 == 0 {
					request.key = fmt.Sprintf("cancel-%d-%d", round, i)
				}
				send(ctx, c.entries[i%3], request)
			})
		}
		time.Sleep(time.Second)
		cancel()
		callers.Wait()
	}
	// Keyed requests that had started run to completion.
	time.Sleep(6 * time.Second)
	c.platform.SetFaults(standin.PlatformFaults{})
	var replies []reply
	var mu sync.Mutex
	var callers sync.WaitGroup
	started := time.Now()
	for i := range 16 {
		callers.Go(func() {
			got := send(c.ctx, c.entries[i%3], call{service: "a", work: 500 * time.Millisecond})
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, got)
		})
	}
	callers.Wait()
	c.checkReplies(replies)
	// If all 16 slots were freed, the requests of 500 ms run at once; if one is
	// missing, the last request ends after 1 s.
	if took := time.Since(started); took > 900*time.Millisecond {
		t.Errorf("16 requests of 500 ms on 16 slots took %v, limit 900 ms", took)
	}
	for id, b := range c.backends {
		if stats := b.Stats(); stats.MaxRunning > 8 {
			t.Errorf("%s ran %d requests at once on 8 slots", id, stats.MaxRunning)
		}
	}
}

// Guards against healthy backend servers that are ejected, and so get no requests
// but probes, when many others fail at once.
func TestCorrelatedFailure(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: []poolSpec{{name: "a", vms: 6}}})
	l := c.startLoad(12, func(caller, n int) (*entryVM, call) {
		return c.entries[caller%3], call{service: "a", work: 10 * time.Millisecond}
	})
	time.Sleep(2 * time.Second)
	failed := []string{"a-0", "a-1", "a-2", "a-3"}
	for _, id := range failed {
		c.backends[id].SetFaults(standin.BackendFaults{Fail: true})
	}
	time.Sleep(6 * time.Second)
	for _, id := range failed {
		c.backends[id].SetFaults(standin.BackendFaults{})
	}
	time.Sleep(8 * time.Second)
	end := time.Now()
	time.Sleep(4 * time.Second)
	replies := l.stop()
	c.checkReplies(replies)
	share := map[string]int{}
	total := 0
	for id, b := range c.backends {
		for _, r := range b.Records(0) {
			if r.Start.After(end) {
				share[id]++
				total++
			}
		}
	}
	// Each is to get at least a quarter of its fair share, which is a sixth.
	for id := range c.backends {
		if share[id] < total/6/4 {
			t.Errorf("%s got %d of %d requests after the failure had ended, want at least 1/24", id, share[id], total)
		}
	}
	t.Logf("%+v, shares %v", summarise(replies), share)
}

// Guards against conflicting notes that are both accepted when operators publish
// them at the same time through different entry VMs while answers of the store are
// lost: one note is accepted and the others are refused.
func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
	c.platform.SetFaults(standin.PlatformFaults{LoseProbability: 0.3, Seed: 4})
	const operators = 8
	codes := make([]int, operators)
	outputs := make([]string, operators)
	var done sync.WaitGroup
	for i := range operators {
		file := c.writeNote(fmt.Sprintf("[note]\nname = \"race-%d\"\nbase = 1\n[[pool.change]]\nname = \"a\"\nslots_per_worker = %d\n", i, i+1))
		done.Go(func() {
			for range 5 {
				outputs[i], codes[i] = c.runTool(c.entries[i%3], "publish", file)
				if codes[i] != 3 {
					return
				}
			}
		})
	}
	done.Wait()
	c.clearPlatformFaults()
	accepted := 0
	for i, code := range codes {
		switch code {
		case 0:
			accepted++
		case 1:
			if !strings.Contains(outputs[i], "a") {
				t.Errorf("note %d was refused, but the output does not contain \"a\", the conflicting pool: %s", i, outputs[i])
			}
		default:
			t.Errorf("note %d: exit code %d: %s", i, code, outputs[i])
		}
	}
	if accepted != 1 {
		t.Errorf("%d of %d conflicting notes were accepted, want 1", accepted, operators)
	}
	if got := c.revision(c.entries[0]); got != 2 {
		t.Errorf("revision %d, want 2", got)
	}
}
