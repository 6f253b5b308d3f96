package processtest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/standin"
)

// keyCount is the number of keys of which each must run at most once. The test in
// claims/load_test.go uses the same number.
const keyCount = 10_000

// Guards against a keyed request that runs twice when it is sent through several
// entry VMs at once while answers of the store are lost.
func TestKeysRunAtMostOnce(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 3, pools: twoPools, deadlineSeconds: 30})
	c.platform.SetFaults(standin.PlatformFaults{LoseProbability: 0.05, Seed: 1})
	var mu sync.Mutex
	var replies []reply
	var senders sync.WaitGroup
	keys := make(chan int)
	for range 64 {
		senders.Go(func() {
			for k := range keys {
				var attempts sync.WaitGroup
				for i := range 2 + k%2 {
					attempts.Go(func() {
						got := send(c.ctx, c.entries[(k+i)%3], call{service: twoPools[k%2].name, key: fmt.Sprintf("key-%d", k)})
						mu.Lock()
						defer mu.Unlock()
						replies = append(replies, got)
					})
				}
				attempts.Wait()
			}
		})
	}
	started := time.Now()
	for k := range keyCount {
		keys <- k
	}
	close(keys)
	senders.Wait()
	c.checkReplies(replies)
	byKey, _ := c.executions()
	answers := map[string]string{}
	for _, r := range replies {
		if r.execution == "" {
			continue
		}
		if first, ok := answers[r.key]; ok && first != r.execution {
			t.Errorf("key %s got answers of two executions", r.key)
		}
		answers[r.key] = r.execution
	}
	s := summarise(replies)
	// A key may not run at all, as lost answers make requests end as not run.
	if len(byKey) < keyCount*95/100 {
		t.Errorf("only %d of %d keys ran: %+v", len(byKey), keyCount, s)
	}
	for _, e := range c.entries {
		if peak := c.peakMemory(e); peak > 256<<20 {
			t.Errorf("%s had a peak memory of %d MiB, limit 256", e.id, peak>>20)
		} else {
			t.Logf("%s had a peak memory of %d MiB", e.id, peak>>20)
		}
	}
	t.Logf("%d keys in %v: %+v, store calls %v", len(byKey), time.Since(started), s, c.platform.Counts())
}
