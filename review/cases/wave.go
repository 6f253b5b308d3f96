package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// lateUpkeep: during a wave of upkeep the platform leaves the owner's first order without
// an answer and carries it out 6 s later. The owner is killed right after it gave the
// order.
func lateUpkeep(s *site) (int, error) {
	const (
		wave      = 3
		limit     = 1
		machines  = 6
		lateAfter = 6 * time.Second
	)
	if err := s.addWorkers(kinds("a", machines), func(string, string, int64) (time.Duration, string) { return time.Second, "done" }); err != nil {
		return notRun, err
	}
	api, err := kit.NewMachines(s.workers, limit, s.store, s.record)
	if err != nil {
		return notRun, err
	}
	s.machines = api
	if err := s.publish(1, route{name: "nest", prefix: "/nest/", attempts: 2}); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	var once sync.Once
	api.LateAfter = lateAfter
	api.Late = func(_, holder string) bool {
		late := false
		once.Do(func() {
			late = s.trouble
			if !late {
				return
			}
			for _, e := range s.entries {
				if e.Node == holder {
					s.record.Printf("entry VM %s is killed", e.Node)
					e.Signal(syscall.SIGKILL)
					time.AfterFunc(3*time.Second, func() {
						if err := e.Start(program); err != nil {
							s.record.Printf("entry VM %s: %v", e.Node, err)
						}
					})
				}
			}
		})
		return late
	}
	var ids []string
	for _, w := range s.workers {
		ids = append(ids, w.Machine)
	}
	s.record.Printf("operator: wave %d of %v, cap %d", wave, ids, limit)
	if err := s.store.Publish(fmt.Sprintf("%s%d", kit.Names.Wave, wave), map[string]any{"wave": wave, "machines": ids, "durationS": 60, "cap": limit}); err != nil {
		return notRun, err
	}
	done, overCap := 0, 0
	until(60*time.Second, func() bool {
		done, overCap = api.Result(wave)
		return overCap > 0 || done == machines
	})
	s.record.Printf("%d of %d machines had their upkeep; %d upkeeps began over the cap", done, machines, overCap)
	if overCap > 0 {
		return broken, nil
	}
	if done < machines {
		return notRun, fmt.Errorf("the wave does not end")
	}
	return held, nil
}
