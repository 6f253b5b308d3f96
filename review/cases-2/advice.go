package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Settings of the queue with advice. A call about the 12 workers of the pool takes 2 s.
const (
	decideTime   = 800 * time.Millisecond
	perItemTime  = 100 * time.Millisecond
	validityTime = 3 * time.Second
	maxWaiting   = 32
)

// advisor is the service that advises on the choice of workers. It approves of all.
type advisor struct {
	rec *recorder
	// turn holds one token; the entry VMs of a case have one owner, so that all calls
	// come from the same machine.
	turn chan struct{}

	mu      sync.Mutex
	waiting int
}

func (a *advisor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxWaiting {
		a.mu.Unlock()
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.waiting--
	}()
	a.rec.add("advice is asked for step %s on %d workers", body.Step, len(body.Workers))
	select {
	case a.turn <- struct{}{}:
	case <-r.Context().Done():
		a.rec.add("the caller has given up its call about step %s", body.Step)
		return
	}
	defer func() { <-a.turn }()
	select {
	case <-time.After(decideTime + time.Duration(len(body.Workers))*perItemTime):
	case <-r.Context().Done():
		a.rec.add("the caller has given up its call about step %s", body.Step)
		return
	}
	good := [][2]string{}
	for _, id := range body.Workers {
		good = append(good, [2]string{id, "ticket-" + id})
	}
	a.rec.add("advice is given for step %s", body.Step)
	writeJSON(rw, http.StatusOK, map[string]any{"good": good, "validityMs": validityTime.Milliseconds()})
}

const (
	// usualGap is the usual time between two jobs, and burstFactor the largest burst that
	// the site file names. It lasts for burstTime.
	usualGap    = 2500 * time.Millisecond
	burstFactor = 2.6
	burstTime   = 4 * time.Second
)

// slowAdvice hands jobs in to a queue with advice, which comes more often for some seconds.
func slowAdvice(w *world) ([]string, error) {
	var err error
	if w.advisor, err = serve(&advisor{rec: w.rec, turn: make(chan struct{}, 1)}); err != nil {
		return nil, err
	}
	if err := w.publish(1, []route{{name: "r-1", prefix: "/plot/", service: "plotwerk", attempts: 3, advice: map[string]int64{
		"decideMs": decideTime.Milliseconds(), "perItemMs": perItemTime.Milliseconds(), "validityMs": validityTime.Milliseconds(),
	}}}); err != nil {
		return nil, err
	}
	for n := range 12 {
		if _, err := w.addWorker("plotwerk", n, 16000); err != nil {
			return nil, err
		}
	}
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	var gaps []time.Duration
	for range 3 {
		gaps = append(gaps, usualGap)
	}
	if w.trouble {
		usual := usualGap.Seconds() / burstFactor
		for t := 0.0; t < burstTime.Seconds(); t += usual {
			gaps = append(gaps, time.Duration(usual*float64(time.Second)))
		}
	}
	gaps = append(gaps, usualGap, usualGap)
	var ids []string
	for n, gap := range gaps {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", n)
		if status, _ := w.call(w.other(0), "POST", "/plot/"+id, jobRequest{Spec: "work=500ms", Steps: []step{{Count: 4, CPU: 1900, MemMB: 3900, EstimateMs: 500}}}); status != 200 {
			return nil, errors.Errorf("status %d", status)
		}
		ids = append(ids, id)
		time.Sleep(gap)
	}
	w.rec.add("the traffic ends")
	time.Sleep(finishTime)
	// From here on, no job may have nothing running for 3 s.
	idle := map[string]time.Time{}
	var broken []string
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, id := range ids {
			if w.running(id) > 0 || len(w.startsAfter(id, time.Time{})) >= 4 {
				delete(idle, id)
			} else if _, known := idle[id]; !known {
				idle[id] = time.Now()
			}
		}
	}
	for _, id := range ids {
		since, waits := idle[id]
		_, state := w.call(w.other(0), "GET", "/plot/"+id, nil)
		if waits && time.Since(since) >= 3*time.Second && !strings.Contains(state, "completed") {
			broken = append(broken, fmt.Sprintf("LOST: %v after the end of the traffic, job %s has had nothing running for %.1f s, on an empty pool; its state is %s", finishTime, id, time.Since(since).Seconds(), state))
		}
	}
	return broken, nil
}
