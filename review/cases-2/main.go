// Command review-case-2 plays the cases of the second review. Each case starts entry VMs
// as separate processes with the command of the deploy file, against stand-ins of the
// platform on loopback, and writes to a file what was sent, answered and run.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cases are the cases by name. Each returns the ways in which the rule was broken.
var cases = map[string]func(*world) ([]string, error){
	"cancel": cancelInDoubt,
	"advice": slowAdvice,
	"large":  largeJob,
	"apart":  apartFromOrphan,
	"poison": hopelessJob,
	"memory": burstOfLargeJobs,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case-2 CASE RECORD-FILE, in the root of the repository")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	w, err := newWorld(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	broken, err := cases[os.Args[1]](w)
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range broken {
		rec.add("BROKEN %s", b)
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("held")
	return exitHeld
}
