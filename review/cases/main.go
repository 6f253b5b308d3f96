// Command review-case plays one case of the review: it starts stand-ins and the entry VMs,
// and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
	"dotterelhead.example/dotterelhead/standin/jobplatform"
)

const (
	held, broken, notRun = 0, 1, 2

	host    = "review.example"
	program = "target/dotterelheadd"
	// caseTime limits a case; the scripts may run for 120 s.
	caseTime = 100 * time.Second
)

// site is a small installation: a store, three entry VMs and workers.
type site struct {
	store   *jobplatform.Platform
	entries []*kit.Entry
	caller  *kit.Caller
	record  *kit.Record
	workers []*kit.Worker
	// machines is the API for machines, or nil if the store serves it.
	machines *kit.Machines
	// advisor is the advice service, or nil if the store serves it.
	advisor *kit.Advisor
	// dir holds the settings and logs of the entry VMs.
	dir string
	// trouble is false if the case is played without its disruption.
	trouble bool
}

// cases are the plays by their names.
var cases = map[string]func(s *site) (int, error){
	"advice":        advice,
	"clock":         clock,
	"crashes":       crashes,
	"dropped-route": droppedRoute,
	"foreign-entry": foreignEntry,
	"isolation":     isolation,
	"lasting":       lasting,
	"late-upkeep":   lateUpkeep,
	"other-kind":    otherKind,
	"restart-cut":   restartCut,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case NAME RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	time.AfterFunc(caseTime, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(notRun)
	})
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer s.close()
	result, err := cases[name](s)
	if err != nil {
		s.record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	s.record.Printf("result: %s", [...]string{"the rule held", "the rule was broken"}[result])
	return result
}

func newSite(record string) (*site, error) {
	s := &site{trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if s.record, err = kit.NewRecord(record); err != nil {
		return nil, err
	}
	s.store, err = jobplatform.Start(jobplatform.Options{})
	return s, err
}

func (s *site) close() {
	for _, e := range s.entries {
		e.End()
	}
	for _, w := range s.workers {
		w.Crash()
	}
	if s.machines != nil {
		s.machines.Close()
	}
	if s.advisor != nil {
		s.advisor.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
	if s.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// addWorkers starts a worker of the service artwork for each kind, four to a rack.
func (s *site) addWorkers(kinds []string, behave kit.Behaviour) error {
	for n, kind := range kinds {
		w := kit.NewWorker(fmt.Sprintf("i-%d", n+1), fmt.Sprintf("m-%d", n+1), "artwork", fmt.Sprintf("r-%d", n/4), s.store, s.record)
		w.Behave = behave
		s.workers = append(s.workers, w)
		if err := w.Start(kind, 0); err != nil {
			return err
		}
	}
	return nil
}

// route is a route of the manifest.
type route struct {
	name, prefix string
	attempts     int
	// decide and perItem are the times of the queue's advice, or zero if it has none.
	decide, perItem time.Duration
}

// publish puts a manifest into the store, as the operator does.
func (s *site) publish(version int64, routes ...route) error {
	rows := []map[string]any{}
	var names []string
	for _, r := range routes {
		row := map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "service": "artwork", "kind": "unsafe", "timeoutMs": 3000,
			kit.Names.Target: 600, "priority": 0, "attempts": r.attempts, "stretch": 1.6,
		}
		if r.decide > 0 {
			row["advice"] = map[string]int64{"decideMs": r.decide.Milliseconds(), "perItemMs": r.perItem.Milliseconds(), "validityMs": 3000}
		}
		rows = append(rows, row)
		names = append(names, fmt.Sprintf("%s (attempts %d)", r.prefix, r.attempts))
	}
	s.record.Printf("operator: manifest %d with the routes %s", version, strings.Join(names, ", "))
	return s.store.Publish(kit.Names.Manifest, map[string]any{
		"version": version, "routes": rows, "services": []map[string]any{{"name": "artwork", kit.Names.Admission: false}},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	})
}

// startEntries starts three entry VMs and waits until they have an owner of the jobs.
func (s *site) startEntries() error {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	s.dir = dir
	machines, adviceAddr := s.store.Addr(), s.store.Addr()
	if s.advisor != nil {
		adviceAddr = s.advisor.Addr()
	}
	if s.machines != nil {
		machines = s.machines.Addr()
	}
	for n := range 3 {
		e, err := kit.StartEntry(program, dir, fmt.Sprintf("edge-%d", n+1), s.store.Addr(), machines, adviceAddr)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	s.caller = kit.NewCaller(host, s.entries, s.record)
	if !until(15*time.Second, func() bool { return s.store.Value("owner/holders") != nil }) {
		return fmt.Errorf("no owner within 15 s")
	}
	time.Sleep(time.Second)
	return nil
}

// until waits until the condition holds; it returns false if that takes too long.
func until(atMost time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(atMost); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func kinds(kind string, n int) []string {
	var out []string
	for range n {
		out = append(out, kind)
	}
	return out
}

// finalState asks for a job's state until it is final.
func (s *site) finalState(path string, atMost time.Duration) string {
	state := ""
	for deadline := time.Now().Add(atMost); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if now := s.caller.State(path); now != "" {
			state = now
		}
		if state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	return state
}

type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"memMb"`
	EstimateMs int    `json:"estimateMs"`
	Requires   string `json:"requires,omitempty"`
	After      []int  `json:"after,omitempty"`

	LongRunning    bool `json:"longRunning,omitempty"`
	MaxUnavailable int  `json:"maxUnavailable,omitempty"`
}

type submission struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}
