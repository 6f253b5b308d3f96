package main

import (
	"fmt"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// isolation: 64 jobs of one work item run on the workers of a rack, which crash together
// and come back. The work items start again on two other racks, one of which crashes, too.
func isolation(s *site) (int, error) {
	const (
		jobs     = 64
		work     = 5 * time.Second
		crashAge = 2 * time.Second
		downTime = 5 * time.Second
		finish   = 14 * time.Second
		patience = 3 * time.Second
	)
	item := func(n int) string { return fmt.Sprintf("%016x.0.0.0", 0x1000+n) }
	if err := s.addWorkers(kinds("a", 12), func(string, string, int64) (time.Duration, string) { return work, "done" }); err != nil {
		return notRun, err
	}
	if err := s.publish(1, route{name: "nest", prefix: "/nest/", attempts: 2}); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	var group sync.WaitGroup
	for n := range jobs {
		job := submission{Spec: "nest", Steps: []step{{Count: 1, CPU: 1000, MemMB: 1000, EstimateMs: 5000}}}
		if !s.caller.Submit(fmt.Sprintf("/nest/%016x", 0x1000+n), job, 10*time.Second) {
			return notRun, fmt.Errorf("a job was not accepted")
		}
	}
	ended := time.Now()
	s.record.Printf("end of the traffic")
	runs := func(n int) bool {
		for _, w := range s.workers {
			if w.Running(item(n)) {
				return true
			}
		}
		return false
	}
	// fullest returns the rack whose workers run the most work items.
	fullest := func() string {
		counts, best := map[string]int{}, ""
		for _, w := range s.workers {
			for n := range jobs {
				if w.Running(item(n)) {
					counts[w.Rack]++
				}
			}
			if best == "" || counts[w.Rack] > counts[best] {
				best = w.Rack
			}
		}
		return best
	}
	running := func() int {
		count := 0
		for n := range jobs {
			if runs(n) {
				count++
			}
		}
		return count
	}
	crashRack := func(rack string) {
		s.record.Printf("the workers of rack %s crash", rack)
		for _, w := range s.workers {
			if w.Rack != rack {
				continue
			}
			w.Crash()
			group.Add(1)
			go func(w *kit.Worker) {
				defer group.Done()
				time.Sleep(downTime)
				if err := w.Start("a", 0); err != nil {
					s.record.Printf("worker %s: %v", w.ID, err)
				}
			}(w)
		}
	}
	time.Sleep(crashAge)
	if s.trouble {
		crashRack(fullest())
		// The work items on the other workers have ended by the time that those of the rack
		// start again.
		time.Sleep(work - crashAge)
		if !until(10*time.Second, func() bool { return running() >= jobs/2 }) {
			return notRun, fmt.Errorf("the work items do not start again")
		}
		time.Sleep(crashAge)
		crashRack(fullest())
	}
	group.Wait()
	since, done, longest := map[int]time.Time{}, map[int]bool{}, time.Duration(0)
	for n := range jobs {
		since[n] = time.Now()
	}
	for deadline := time.Now().Add(60 * time.Second); len(done) < jobs && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		now := time.Now()
		for n := range jobs {
			for _, w := range s.workers {
				if w.Ended(item(n)) == "done" {
					done[n] = true
				}
			}
			if done[n] || runs(n) || now.Sub(ended) < finish {
				since[n] = now
			}
			longest = max(longest, now.Sub(since[n]))
		}
	}
	s.record.Printf("%d of %d work items have ended done; from %v after the end of the traffic one had nothing running for %.1f s at the longest", len(done), jobs, finish, longest.Seconds())
	if longest > patience {
		return broken, nil
	}
	if len(done) < jobs {
		return notRun, fmt.Errorf("%d work items have ended done", len(done))
	}
	return held, nil
}
