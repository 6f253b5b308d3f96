package main

import (
	"time"

	"github.com/pkg/errors"
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
		k.quiet = true
	}
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	const large = "00000000000000a1"
	job := jobRequest{Spec: "work=1ms", Times: 10000, StartAtMs: time.Now().UnixMilli(), IntervalMs: 7}
	job.Steps = append(job.Steps, step{Count: 17, CPU: 20, MemMB: 1, EstimateMs: 10})
	if status, _ := w.call(w.other(0), "POST", "/nest/"+large, job); status != 200 {
		return nil, errors.Errorf("status %d", status)
	}
	for range 95 {
		time.Sleep(time.Second)
		n := 0
		for _, k := range w.workers {
			k.mu.Lock()
			n += len(k.started)
			k.mu.Unlock()
		}
		v := w.platform.Value("progress/" + large)
		w.rec.add("starts=%d record=%d", n, len(v))
	}
	return nil, nil
}
