package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Advisor is the service that knows which workers may run a step. It handles one call at a
// time, in turn, and refuses calls while 32 are waiting.
type Advisor struct {
	// May tells whether a step (ID.K.STEP) may run on a worker. That never changes.
	May func(step, worker string) bool
	// Decide and PerItem are decideMs and perItemMs of the queue.
	Decide, PerItem time.Duration

	record  *Record
	server  *http.Server
	addr    string
	turn    sync.Mutex
	waiting atomic.Int64
	mu      sync.Mutex
	calls   map[string]int
}

const (
	maxAdviceWaiting = 32
	ticketValidityMs = 3000
)

// NewAdvisor serves the advice.
func NewAdvisor(may func(step, worker string) bool, decide, perItem time.Duration, record *Record) (*Advisor, error) {
	a := &Advisor{May: may, Decide: decide, PerItem: perItem, record: record, calls: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Names.Advise, a.advise)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Addr returns the address of the service.
func (a *Advisor) Addr() string { return a.addr }

// Close ends the service.
func (a *Advisor) Close() { _ = a.server.Close() }

// Calls returns the number of calls about a step, and about all steps.
func (a *Advisor) Calls(step string) (about, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.calls {
		all += n
	}
	return a.calls[step], all
}

func (a *Advisor) advise(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if a.waiting.Add(1) > maxAdviceWaiting {
		a.waiting.Add(-1)
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn.Lock()
	a.waiting.Add(-1)
	time.Sleep(a.Decide + time.Duration(len(body.Workers))*a.PerItem)
	a.turn.Unlock()
	good := [][2]string{}
	for _, id := range body.Workers {
		if a.May(body.Step, id) {
			good = append(good, [2]string{id, "ticket-" + body.Step + "-" + id})
		}
	}
	a.mu.Lock()
	a.calls[body.Step]++
	a.mu.Unlock()
	a.record.Printf("advice on step %s for %d workers: %d may run it", body.Step, len(body.Workers), len(good))
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "validityMs": ticketValidityMs})
}
