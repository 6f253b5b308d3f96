package job

import (
	"fmt"
	"testing"
)

func manifestWith(before *Manifest, version int64, queues ...Queue) *Manifest {
	m := &Manifest{Version: version, Queues: queues}
	m.KeepFormerQueues(before)
	return m
}

// Guards against removed queues whose settings are lost with the next manifest, or that take
// the place of a queue that was added again.
func TestFormerQueues(t *testing.T) {
	queue := func(attempts int) Queue { return Queue{Name: "q", Attempts: attempts} }
	first := manifestWith(nil, 1, queue(3))
	removed := manifestWith(first, 4)
	removedLonger := manifestWith(removed, 7, Queue{Name: "other"})
	added := manifestWith(removedLonger, 9, queue(5))
	for _, c := range []struct {
		m        *Manifest
		version  int64
		attempts int
	}{{first, 1, 3}, {removed, 1, 3}, {removedLonger, 1, 3}, {added, 9, 5}, {manifestWith(added, 11), 9, 5}} {
		q, ok := c.m.LastKnown("q")
		if !ok || q.ManifestVersion != c.version || q.Attempts != c.attempts {
			t.Errorf("manifest %d: queue %+v, %t; want that of manifest %d with %d attempts", c.m.Version, q, ok, c.version, c.attempts)
		}
	}
	if q, ok := added.LastKnown("never"); ok {
		t.Errorf("queue %+v, which no manifest has had", q)
	}
	if n := len(added.Former); n != 1 {
		t.Errorf("%d former queues beside q, want other alone", n)
	}
}

// Guards against a process that runs out of memory because each manifest has queues of other
// names.
func TestFormerQueuesAreBounded(t *testing.T) {
	var m *Manifest
	for version := range 2 * maxFormerQueues {
		m = manifestWith(m, int64(version), Queue{Name: fmt.Sprint(version)})
	}
	if n := len(m.Former); n != maxFormerQueues {
		t.Errorf("%d former queues, want %d", n, maxFormerQueues)
	}
	if _, ok := m.LastKnown(fmt.Sprint(2*maxFormerQueues - 2)); !ok {
		t.Error("the queue that was removed last is not known")
	}
}
