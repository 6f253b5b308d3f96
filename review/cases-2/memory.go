package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// memoryLimitMB is the memory of an entry VM, restartTime the short delay after which
	// the platform starts a process again.
	memoryLimitMB = 284
	restartTime   = 500 * time.Millisecond
	// burstJobs is the number of jobs in the largest burst of the site's class sheet-nest:
	// 1.15 a second, 2.6 times as many for 4 s.
	burstJobs = 12
	// manySteps and manyItems are the largest numbers that the system accepts.
	manySteps, manyItems = 64, 2000
)

// burstOfLargeJobs hands in as many jobs as come in a burst, each as large as the system
// accepts.
func burstOfLargeJobs(w *world) ([]string, error) {
	if err := w.publish(1, []route{
		{name: "r-1", prefix: "/nest/", service: "nestmeister", attempts: 3}, {name: "r-2", prefix: "/shop/", service: "shopfront", attempts: 2},
	}); err != nil {
		return nil, err
	}
	for n := range 4 {
		for _, service := range []string{"nestmeister", "shopfront"} {
			if _, err := w.addWorker(service, n, 16000); err != nil {
				return nil, err
			}
		}
	}
	if err := w.startEntries(4); err != nil {
		return nil, err
	}
	kills := w.limitMemory()
	time.Sleep(stableWindow)
	const small = "00000000000000c3"
	e := w.other(0)
	for n := range burstJobs {
		steps, items := 2, 8
		if w.trouble {
			steps, items = manySteps, manyItems
		}
		job := jobRequest{Spec: "work=1400ms"}
		for range steps {
			job.Steps = append(job.Steps, step{Count: items, CPU: 1900, MemMB: 3900, EstimateMs: 1400})
		}
		if status, _ := w.call(e, "POST", fmt.Sprintf("/nest/5c0e7a21d94b36%02x", n), job); status != 200 {
			return nil, errors.Errorf("status %d", status)
		}
		time.Sleep(4 * time.Second / burstJobs)
	}
	time.Sleep(10 * time.Second)
	if status, _ := w.call(e, "POST", "/shop/"+small, jobRequest{Spec: "work=500ms", Steps: []step{{Count: 6, CPU: 880, MemMB: 1800, EstimateMs: 500}}}); status != 200 {
		return nil, errors.Errorf("status %d", status)
	}
	handed := time.Now()
	w.rec.add("the traffic ends")
	time.Sleep(finishTime)
	_, state := w.call(e, "GET", "/shop/"+small, nil)
	if strings.Contains(state, "completed") {
		return nil, nil
	}
	idle := w.idleTime(small)
	if len(w.startsAfter(small, time.Time{})) == 0 {
		idle = time.Since(handed)
	}
	if idle < 3*time.Second {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %v after the end of the traffic, job %s has had nothing running for %.1f s, on an empty pool of its own; its state is %s; processes of the system were killed %d times for more than %d MB of memory",
		finishTime, small, idle.Seconds(), state, kills(), memoryLimitMB)}, nil
}

// limitMemory kills processes of entry VMs that use more memory than these have, and starts
// them again, as the platform does. It returns a function that returns the number of kills.
func (w *world) limitMemory() func() int {
	var kills atomic.Int64
	for _, e := range w.entries {
		w.guards.Go(func() {
			for {
				select {
				case <-w.stopped:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if mb := residentMB(e.process.Process.Pid); mb > memoryLimitMB {
					kills.Add(1)
					w.rec.add("%s uses %d MB; the platform kills it", e.name, mb)
					_ = e.process.Process.Signal(syscall.SIGKILL)
					_ = e.process.Wait()
					select {
					case <-w.stopped:
						return
					case <-time.After(restartTime):
					}
					again := exec.Command(e.process.Path, e.process.Args[1:]...)
					again.Stdout, again.Stderr = e.log, e.log
					if err := again.Start(); err != nil {
						w.rec.add("%s does not start: %v", e.name, err)
						return
					}
					e.process = again
					w.rec.add("%s is started again", e.name)
				}
			}
		})
	}
	return func() int { return int(kills.Load()) }
}

// residentMB returns the memory that a process uses, or 0 if it has ended.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, ok := bytes.Cut(data, []byte("VmRSS:"))
	if !ok {
		return 0
	}
	kb, err := strconv.ParseInt(strings.Fields(string(rest))[0], 10, 64)
	if err != nil {
		return 0
	}
	return kb >> 10
}
