package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// freezeTime is how long an entry VM stands still: the users' page of kinds of
	// disruptions names 5 s.
	freezeTime = 5 * time.Second
	cancelTime = 3 * time.Second
)

// cancelInDoubt hands a job in at an entry VM that stands still. The requester gets no
// answer within its time limit and cancels the job at another one.
func cancelInDoubt(w *world) ([]string, error) {
	if err := w.publish(1, []route{{name: "r-1", prefix: "/plot/", service: "plotwerk", attempts: 3}}); err != nil {
		return nil, err
	}
	for n := range 4 {
		if _, err := w.addWorker("plotwerk", n, 16000); err != nil {
			return nil, err
		}
	}
	if err := w.startEntries(10); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	const id = "5c0e7a21d94b36f8"
	job := jobRequest{Spec: "work=1400ms", Steps: []step{
		{Count: 8, CPU: 1900, MemMB: 3900, EstimateMs: 1400},
		{Count: 8, CPU: 1900, MemMB: 3900, EstimateMs: 1400, After: []int{0}},
		{Count: 8, CPU: 1900, MemMB: 3900, EstimateMs: 1400, After: []int{1}},
	}}
	frozen, second := w.other(0), w.other(1)
	var wait sync.WaitGroup
	if w.trouble {
		if err := w.signal(frozen, syscall.SIGSTOP); err != nil {
			return nil, err
		}
		wait.Go(func() {
			time.Sleep(freezeTime)
			_ = w.signal(frozen, syscall.SIGCONT)
		})
	}
	defer wait.Wait()
	handed, _ := w.call(frozen, "POST", "/plot/"+id, job)
	if !w.trouble && handed != 200 {
		return nil, errors.Errorf("status %d", handed)
	}
	status, _ := w.call(second, "DELETE", "/plot/"+id, nil)
	acknowledged := time.Now()
	if status != 200 && status != 410 {
		return nil, errors.Errorf("cancelling: status %d", status)
	}
	time.Sleep(4 * time.Second)
	w.call(second, "GET", "/plot/"+id, nil)
	time.Sleep(8 * time.Second)
	_, state := w.call(second, "GET", "/plot/"+id, nil)
	late := w.startsAfter(id, acknowledged.Add(cancelTime))
	if len(late) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("UNASKED: %d work items started later than %v after the cancelling was acknowledged with %d, the last %.1f s after it: %s; the job's state is %s",
		len(late), cancelTime, status, late[len(late)-1].at.Sub(acknowledged).Seconds(), strings.Join(names(late), " "), state)}, nil
}
