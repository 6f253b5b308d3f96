package processtest

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/standin"
)

// revision returns the configuration revision in force at an entry VM, or -1 if
// it cannot be read.
func (c *cluster) revision(e *entryVM) int64 {
	out, code := c.runTool(e, "show", "--output", "json")
	if code != 0 {
		return -1
	}
	var shown struct{ Revision int64 }
	if json.Unmarshal([]byte(out), &shown) != nil {
		return -1
	}
	return shown.Revision
}

func teamNote(base int, name string) string {
	return fmt.Sprintf("[note]\nname = %q\nbase = %d\n[[team.add]]\nname = %q\nslot_quota = 2\n", name, base, name)
}

// Guards against a note that takes effect only on some entry VMs.
func TestRolloutToEightEntryVMs(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 8, pools: twoPools})
	everywhere := func(revision int64) func() bool {
		return func() bool {
			for _, e := range c.entries {
				if c.revision(e) < revision {
					return false
				}
			}
			return true
		}
	}
	started := time.Now()
	c.publishNote(teamNote(1, "healthy"))
	c.eventually(2*time.Second, "revision 2 on 8 entry VMs", everywhere(2))
	t.Logf("in force on 8 entry VMs after %v", time.Since(started))

	started = time.Now()
	c.platform.SetFaults(standin.PlatformFaults{LoseNext: 1, LoseCalls: []string{"put"}})
	c.entries[7].kill()
	c.publishNote(teamNote(2, "lost-answer"))
	c.must(c.entries[7].start())
	c.eventually(12*time.Second, "revision 3 on 8 entry VMs", everywhere(3))
	t.Logf("in force with a lost answer and a restarted entry VM after %v", time.Since(started))
}

// Guards against two conflicting notes that are both accepted, and against a note
// that takes effect twice when it is published again.
func TestConflictingNotes(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 2, pools: twoPools})
	change := func(name string, slots int) string {
		return c.writeNote(fmt.Sprintf("[note]\nname = %q\nbase = 1\n[[pool.change]]\nname = \"a\"\nslots_per_worker = %d\n", name, slots))
	}
	first, second := change("first", 4), change("second", 6)
	if out, code := c.runTool(c.entries[0], "publish", first); code != 0 {
		t.Fatalf("publishing the first note: exit code %d, want 0: %s", code, out)
	}
	if out, code := c.runTool(c.entries[1], "publish", second); code != 1 || !strings.Contains(out, "a") {
		t.Fatalf("publishing the conflicting note: exit code %d, want 1 and an output that contains \"a\", the pool: %s", code, out)
	}
	if out, code := c.runTool(c.entries[1], "publish", first); code != 0 || !strings.Contains(out, "2") {
		t.Fatalf("publishing the first note again: exit code %d, want 0 and an output that contains \"2\", the revision: %s", code, out)
	}
	if got := c.revision(c.entries[0]); got != 2 {
		t.Fatalf("revision %d, want 2", got)
	}
	c.platform.SetFaults(standin.PlatformFaults{Down: true})
	if out, code := c.runTool(c.entries[0], "publish", c.writeNote(teamNote(2, "down"))); code != 3 {
		t.Fatalf("publishing while the platform is down: exit code %d, want 3: %s", code, out)
	}
}

// Guards against an entry VM that cannot start while the platform is down, or that
// starts with an older revision than the one in force.
func TestEntryVMStartsDuringOutage(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools})
	c.publishNote(teamNote(1, "before"))
	c.platform.SetFaults(standin.PlatformFaults{Down: true})
	e := c.startEntry("late")
	c.eventually(10*time.Second, "the new entry VM has the revision in force", func() bool { return c.revision(e) == 2 })
	c.awaitServing(e, twoPools)
}
