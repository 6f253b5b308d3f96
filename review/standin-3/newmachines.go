package main

import (
	"fmt"
	"time"
)

const (
	// The wave is asked for soon after the machines were added, or with TROUBLE=0 later.
	soonAfter  = 300 * time.Millisecond
	longAfter  = 10 * time.Second
	newCount   = 2
	waveLength = 26 * time.Second
	// afterCompletion is how long a wave that is shown as completed is watched further.
	afterCompletion = 10 * time.Second
)

// newMachinesCase adds two machines and asks for their upkeep. Rule MIXED: a wave is not said to
// be completed before its machines have begun their upkeep.
func newMachinesCase(w *world, trouble bool) (bool, error) {
	if _, err := w.deploy(poolWorkers); err != nil {
		return false, err
	}
	asked := wave{Wave: 1, DurationS: waveLength.Seconds(), Cap: 1}
	for n := range newCount {
		k, err := w.startWorker(fmt.Sprintf("i-new-%d", n), fmt.Sprintf("m-new-%d", n), service, "r-9", "")
		if err != nil {
			return false, err
		}
		w.addMachine(k)
		asked.Machines = append(asked.Machines, k.machine)
		w.note("%s is added, with worker %s", k.machine, k.id)
	}
	pause := longAfter
	if trouble {
		pause = soonAfter
	}
	time.Sleep(pause)
	w.store.write(names.Wave+"1", asked)
	w.note("%s1: %+v", names.Wave, asked)
	state := ""
	for until := time.Now().Add(waveLength); time.Now().Before(until) && state != "completed"; time.Sleep(20 * time.Millisecond) {
		if next := w.waveState(1); next != state {
			state = next
			w.note("status/wave/1: %q", state)
		}
	}
	missing := w.missing(asked)
	if state != "completed" {
		w.note("the wave is shown as %q; without upkeep: %v", state, missing)
		return false, nil
	}
	if len(missing) == 0 {
		return false, nil
	}
	w.note("MIXED: the wave is said to be completed, and these machines have not begun their upkeep: %v", missing)
	time.Sleep(afterCompletion)
	w.note("%s later the wave is shown as %q; still without upkeep: %v", afterCompletion, w.waveState(1), w.missing(asked))
	return true, nil
}

// missing returns the machines of a wave that have not begun their upkeep.
func (w *world) missing(asked wave) []string {
	var ids []string
	for _, id := range asked.Machines {
		if !w.begun(id, asked.Wave) {
			ids = append(ids, id)
		}
	}
	return ids
}
