package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// largeTimes and largeCount are the occurrences of the large job and the work items of
	// each. usualTimes are those of a usual one.
	largeTimes, usualTimes = 10_000, 100
	largeCount             = 20
	// largeTime bounds the time until the record of the large job is at its limit.
	largeTime = 85 * time.Second
)

// largeJob hands in a timed job whose record outgrows the largest value of the store, and
// then small jobs.
func largeJob(w *world) ([]string, error) {
	if err := w.publish(1, []route{{name: "r-1", prefix: "/nest/", service: "nestmeister", attempts: 3}}); err != nil {
		return nil, err
	}
	for n := range 8 {
		k, err := w.addWorker("nestmeister", n, 16000)
		if err != nil {
			return nil, err
		}
		// The record would have 340,000 lines.
		k.quiet = true
	}
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	const large, before, after = "00000000000000a1", "00000000000000b2", "00000000000000c3"
	small := jobRequest{Spec: "work=500ms", Steps: []step{{Count: 4, CPU: 1900, MemMB: 3900, EstimateMs: 500}}}
	e := w.other(0)
	if status, _ := w.call(e, "POST", "/nest/"+before, small); status != 200 {
		return nil, errors.Errorf("status %d", status)
	}
	times := usualTimes
	if w.trouble {
		times = largeTimes
	}
	job := jobRequest{
		Spec: "work=1ms", Times: times, StartAtMs: time.Now().UnixMilli(), IntervalMs: 2,
		Steps: []step{{Count: largeCount, CPU: 20, MemMB: 1, EstimateMs: 10}},
	}
	if status, _ := w.call(e, "POST", "/nest/"+large, job); status != 200 {
		return nil, errors.Errorf("status %d", status)
	}
	for since := time.Now(); w.refused.Load() == 0; time.Sleep(time.Second) {
		n := 0
		for _, k := range w.workers {
			k.mu.Lock()
			n += len(k.started)
			k.mu.Unlock()
		}
		record := w.platform.Value("progress/" + large)
		w.rec.add("%d runs were started, the record of the large job has %d bytes", n, len(record))
		if strings.Contains(string(record), "completed") {
			break
		}
		if time.Since(since) > largeTime {
			return nil, errors.New("this machine is too slow: the record of the large job is not at its limit yet")
		}
	}
	if status, _ := w.call(e, "POST", "/nest/"+after, small); status != 200 {
		return nil, errors.Errorf("status %d", status)
	}
	handed := time.Now()
	w.rec.add("the traffic ends")
	for end := time.Now().Add(finishTime); time.Now().Before(end); time.Sleep(time.Second) {
		w.rec.add("work items of the large job run: %d, started since the traffic ended: %d", w.running(large), len(w.startsAfter(large, handed)))
	}
	owners := w.platform.Value("owner/term")
	var broken []string
	for _, id := range []string{large, before, after} {
		_, state := w.call(e, "GET", "/nest/"+id, nil)
		if strings.Contains(state, "completed") {
			continue
		}
		idle := w.idleTime(id)
		if len(w.startsAfter(id, time.Time{})) == 0 {
			idle = time.Since(handed)
		}
		if idle >= 3*time.Second {
			broken = append(broken, fmt.Sprintf("LOST: %v after the end of the traffic, job %s has had nothing running for %.1f s, on an empty pool; its state is %s; the store refused %d writes, and there were %s owners",
				finishTime, id, idle.Seconds(), state, w.refused.Load(), owners))
		}
	}
	return broken, nil
}
