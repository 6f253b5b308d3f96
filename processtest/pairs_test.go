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

// awaitWave waits until the wave has ended.
func (c *cluster) awaitWave(timeout time.Duration) {
	c.t.Helper()
	c.eventually(timeout, "the wave ends", func() bool {
		document, err := c.fleet()
		return err == nil && len(document.Waves) == 1 && document.Waves[0].Finished
	})
}

// holder returns the entry VM that holds the control role.
func (c *cluster) holder() *entry {
	c.t.Helper()
	var found *entry
	c.eventually(20*time.Second, "an entry VM holds the control role", func() bool {
		for _, e := range c.entries {
			out, code := c.run(e, "status", "--output", "json")
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

// watchBudget fails the test when more VMs of a pool than its budget of one
// are out of service by plan at the same time.
func (c *cluster) watchBudget(ctx context.Context) *sync.WaitGroup {
	var done sync.WaitGroup
	done.Go(func() {
		for ctx.Err() == nil {
			document, err := c.fleet()
			if err != nil {
				continue
			}
			away := map[string]int{}
			for _, vm := range document.VMs {
				if vm.Phase == fleet.Releasing || vm.Phase == fleet.Rebooting {
					away[vm.Pool]++
				}
			}
			for pool, n := range away {
				if n > 1 {
					c.t.Errorf("%d VMs of pool %s are out of service by plan, budget 1", n, pool)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return &done
}

// Guards against a control holder that was paused past its lease and against
// lost answers of reboots: no VM is rebooted twice and no budget is exceeded.
func TestPausedHolderAndLostAnswersInWave(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithCancel(c.ctx)
	watching := c.watchBudget(ctx)
	l := c.startLoad(6, c.everyEntry(20*time.Millisecond))
	c.publish(waveNote)
	c.platform.SetFaults(standin.PlatformFaults{LoseProbability: 0.3, Seed: 2})
	time.Sleep(500 * time.Millisecond)
	paused := c.holder()
	paused.signal(syscall.SIGSTOP)
	time.Sleep(8 * time.Second)
	paused.signal(syscall.SIGCONT)
	c.awaitWave(120 * time.Second)
	time.Sleep(2 * time.Second)
	replies := l.stop()
	cancel()
	watching.Wait()
	c.checkHonesty(replies)
	c.checkOnePool()
	for id, b := range c.backends {
		if b.BootCount() != 2 || b.Stats().Incomplete != 0 {
			t.Errorf("%s: boot count %d, %d requests cut, want 2 and 0", id, b.BootCount(), b.Stats().Incomplete)
		}
	}
	t.Logf("%+v", summarise(replies))
}

// Guards against a replaced entry VM that cannot serve while the store is
// down, and against others that stop with it.
func TestEntryVMReplacedDuringStoreOutage(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 4, pools: twoPools})
	c.platform.SetFaults(standin.PlatformFaults{Down: true})
	victim := c.entries[3]
	l := c.startLoad(9, func(caller, n int) (*entry, call) {
		return c.entries[caller%3], call{service: twoPools[n%2].name, work: 5 * time.Millisecond}
	})
	time.Sleep(2 * time.Second)
	victim.kill()
	time.Sleep(8 * time.Second)
	c.must(victim.start())
	c.awaitServing(victim, twoPools)
	time.Sleep(2 * time.Second)
	replies := l.stop()
	c.checkHonesty(replies)
	if s := summarise(replies); s.answered != s.total {
		t.Errorf("through the other entry VMs: %+v", s)
	}
}

// Guards against silent connections that hold slots or lose requests that may
// be repeated, and against keyed requests that run twice because of them.
func TestSilentConnectionsAndLostAnswers(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools, deadlineSeconds: 20})
	plain := c.startLoad(9, c.everyEntry(10*time.Millisecond))
	keyed := c.startLoad(3, func(caller, n int) (*entry, call) {
		return c.entries[caller], call{service: "a", key: fmt.Sprintf("silent-%d-%d", caller, n), work: 10 * time.Millisecond}
	})
	time.Sleep(4 * time.Second)
	c.platform.SetFaults(standin.PlatformFaults{LoseProbability: 0.1, Seed: 3})
	silenced := 0
	for _, b := range c.backends {
		silenced += b.Silence()
	}
	time.Sleep(8 * time.Second)
	plainReplies, keyedReplies := plain.stop(), keyed.stop()
	c.checkHonesty(append(plainReplies, keyedReplies...))
	slow := 0
	for _, r := range plainReplies {
		if r.took > 8*time.Second {
			slow++
		}
	}
	if s := summarise(plainReplies); silenced == 0 || s.answered != s.total || slow > 0 {
		t.Errorf("%d connections silenced, %d requests over 8 s: %+v", silenced, slow, s)
	}
	t.Logf("keyed %+v", summarise(keyedReplies))
}

// Guards against slots and queue places that are lost when callers cancel in a
// wave, with a slow store on top.
func TestCancellationWaveWithSlowStore(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: []poolSpec{{name: "a", vms: 2}}})
	c.platform.SetFaults(standin.PlatformFaults{DelaySeconds: 0.3})
	for wave := range 3 {
		ctx, cancel := context.WithCancel(c.ctx)
		var callers sync.WaitGroup
		for i := range 120 {
			callers.Go(func() {
				request := call{service: "a", work: 5 * time.Second}
				if i%4 == 0 {
					request.key = fmt.Sprintf("cancel-%d-%d", wave, i)
				}
				send(ctx, c.entries[i%3], request)
			})
		}
		time.Sleep(time.Second)
		cancel()
		callers.Wait()
	}
	// Keyed requests that had started run to their end.
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
	c.checkHonesty(replies)
	// 16 requests on 16 slots run side by side when no slot is lost.
	if took := time.Since(started); took > 900*time.Millisecond {
		t.Errorf("16 requests on 16 slots took %v", took)
	}
	for id, b := range c.backends {
		if stats := b.Stats(); stats.MaxRunning > 8 {
			t.Errorf("%s ran %d requests at once on 8 slots", id, stats.MaxRunning)
		}
	}
}

// Guards against healthy workers that are condemned when many fail at once.
func TestCorrelatedFailure(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: []poolSpec{{name: "a", vms: 6}}})
	l := c.startLoad(12, func(caller, n int) (*entry, call) {
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
	c.checkHonesty(replies)
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
	for id := range c.backends {
		if share[id] < total/6/4 {
			t.Errorf("%s got %d of %d requests after the failure had ended", id, share[id], total)
		}
	}
	t.Logf("%+v, shares %v", summarise(replies), share)
}

// Guards against operators that race each other through different entry VMs
// while answers of the store are lost: each note is accepted once or refused.
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
				outputs[i], codes[i] = c.run(c.entries[i%3], "publish", file)
				if codes[i] != 3 {
					return
				}
			}
		})
	}
	done.Wait()
	c.healStore()
	accepted := 0
	for i, code := range codes {
		switch code {
		case 0:
			accepted++
		case 1:
			if !strings.Contains(outputs[i], "a") {
				t.Errorf("note %d was refused without a place: %s", i, outputs[i])
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
