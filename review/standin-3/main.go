// Command standin-3 plays the cases of this review that are scripts. It starts the entry VMs of
// a small deployment as processes, with stand-ins of the platform, the workers and the
// requesters in this process. It runs in the root of the repository.
package main

import (
	"fmt"
	"os"
)

// Exit codes, as the issue asks for.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripts by the name of the case. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"new-machines": newMachinesCase,
	"isolation":    isolationCase,
	"restart-cut":  restartCutCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, record string, trouble bool) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.note("case %s, trouble %t", name, trouble)
	broken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
