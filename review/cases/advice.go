package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// advice: 16 jobs come at once whose steps may run on two workers only, and wait there for
// each other. After them comes a job that may run on any worker; eight of ten are idle.
func advice(s *site) (int, error) {
	const (
		burst    = 16
		narrowID = "00000000000001%02x"
		wideID   = "00000000000002ff"
		decide   = 40 * time.Millisecond
		perItem  = 5 * time.Millisecond
		finish   = 14 * time.Second
		patience = 3 * time.Second
	)
	behave := func(spec, _ string, _ int64) (time.Duration, string) {
		if spec == "narrow" {
			return 6 * time.Second, "done"
		}
		return time.Second, "done"
	}
	if err := s.addWorkers(kinds("a", 10), behave); err != nil {
		return notRun, err
	}
	var started atomic.Bool
	for _, w := range s.workers {
		w.OnStart = func(_ *kit.Worker, item string, _ int64) {
			if strings.HasPrefix(item, wideID) {
				started.Store(true)
			}
		}
	}
	may := func(step, worker string) bool {
		return strings.HasPrefix(step, wideID) || worker == s.workers[0].ID || worker == s.workers[1].ID
	}
	service, err := kit.NewAdvisor(may, decide, perItem, s.record)
	if err != nil {
		return notRun, err
	}
	s.advisor = service
	if err := s.publish(1, route{name: "nest", prefix: "/nest/", attempts: 2, decide: decide, perItem: perItem}); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	if s.trouble {
		for n := range burst {
			id := fmt.Sprintf(narrowID, n)
			job := submission{Spec: "narrow", Steps: []step{{Count: 8, CPU: 1900, MemMB: 1000, EstimateMs: 6000}}}
			if !s.caller.Submit("/nest/"+id, job, 10*time.Second) {
				return notRun, fmt.Errorf("job %s was not accepted", id)
			}
		}
	}
	time.Sleep(time.Second)
	if !s.caller.Submit("/nest/"+wideID, submission{Spec: "wide", Steps: []step{{Count: 1, CPU: 1000, MemMB: 1000, EstimateMs: 1000}}}, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	accepted := time.Now()
	s.record.Printf("end of the traffic")
	until(finish+patience, started.Load)
	about, all := service.Calls(wideID + ".0.0")
	waited := time.Since(accepted)
	s.record.Printf("the job %s has begun: %t, %.1f s after its acceptance; %d of %d calls for advice were about it", wideID, started.Load(), waited.Seconds(), about, all)
	if waited > finish {
		return broken, nil
	}
	if state := s.finalState("/nest/"+wideID, 20*time.Second); state != "completed" {
		return notRun, fmt.Errorf("the job is shown as %q", state)
	}
	return held, nil
}
