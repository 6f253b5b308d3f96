package sizing

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

// sample holds the results of one region. Arrays hold two repeats.
type sample struct {
	size size
	// bytes and exchanges are the idle traffic of one entry VM with the others
	// per second, sent and received.
	bytes, exchanges [2]float64
	// calls are the platform calls of the region per second. callsWithoutGets
	// leaves out reads of single keys, whose number depends on the phase of the
	// watches.
	callsWithoutGets, calls [2]float64
	// documentReads are the reads of the configuration and the registry in the
	// region per second, by the control holder and by entry VMs whose copies are
	// too old.
	documentReads [2]float64
	// holderBytes are the bytes that the control holder reads in a round, which
	// takes place once a second.
	holderBytes [2]float64
	// listReads and listBytes are the reads of the platform's list and the bytes
	// of the responses, per second and entry VM that does not hold the control
	// role. Such an entry VM has no need of the list while the store answers.
	listReads, listBytes [2]float64
	cpu, memory          [2]float64
	// noteBytes and noteWrites are the cost of one note, fleetBytes and
	// fleetWrites that of one change of the fleet. The bytes are those of one
	// entry VM, above the idle exchange.
	noteBytes, noteWrites   [2]float64
	fleetBytes, fleetWrites [2]float64
	// configSize and fleetSize are the sizes of the documents at the end.
	configSize, fleetSize float64
}

// measureRegion starts a region and measures it idle, during notes and during
// changes of the fleet.
func (m *measurement) measureRegion(ctx context.Context, s size) (sample, error) {
	out := sample{size: s}
	r, err := startRegion(ctx, s)
	if err != nil {
		return out, err
	}
	defer r.close()
	r.settle(m.quiet())
	entries := float64(s.entries)
	var idle [2]float64
	changes := m.changes()
	for i := range 2 {
		w := r.measure(m.window())
		idle[i] = w.peerBytes() / w.seconds
		// Each byte leaves one entry VM and reaches another.
		out.bytes[i] = 2 * idle[i] / entries
		out.exchanges[i] = 2 * w.peerCalls() / w.seconds / entries
		out.calls[i] = w.platformCalls() / w.seconds
		out.callsWithoutGets[i] = (w.platformCalls() - float64(w.counts["get"])) / w.seconds
		out.cpu[i] = w.cpu.Seconds() / w.seconds / entries
		for _, t := range w.platform {
			out.documentReads[i] += float64(t.calls["GET notes"]+t.calls["GET members"]) / w.seconds
		}
		if h := w.holder(); h >= 0 {
			t := w.platform[h]
			// A round reads the list; it reads the fleet document only after
			// the role was taken or a round has failed.
			out.holderBytes[i] = t.meanResponseBytes("GET fleet") + t.meanResponseBytes("GET /v1/vms")
		}
		for j, t := range w.platform {
			if j != w.holder() {
				out.listReads[i] += float64(t.calls["GET /v1/vms"]) / w.seconds / (entries - 1)
				out.listBytes[i] += float64(t.responseBytes["GET /v1/vms"]) / w.seconds / (entries - 1)
			}
		}
		out.memory[i] = liveBytes()
	}
	for i := range 2 {
		w, err := r.duringChanges(changes, m.changeWindow(), func(n int) error { return r.publish(ctx, r.change(i*changes+n)) })
		if err != nil {
			return out, err
		}
		out.noteBytes[i] = 2 * (w.peerBytes() - idle[i]*w.seconds) / float64(changes) / entries
		out.noteWrites[i] = float64(w.counts["put"]) / float64(changes)
	}
	for i := range 2 {
		w, err := r.duringChanges(changes, m.changeWindow(), func(n int) error {
			// Removing the last workers leaves no pool empty.
			r.platform.Remove(workerID(s.workers - 1 - i*changes - n))
			return nil
		})
		if err != nil {
			return out, err
		}
		out.fleetBytes[i] = 2 * (w.peerBytes() - idle[i]*w.seconds) / float64(changes) / entries
		out.fleetWrites[i] = float64(w.counts["put"]) / float64(changes)
	}
	out.configSize, out.fleetSize, err = r.documentSizes(ctx)
	return out, err
}

func (r *region) documentSizes(ctx context.Context) (config, document float64, err error) {
	client := httpclient.NewClient(httpclient.ClientOptions{BaseURL: r.platform.Addr()})
	defer client.CloseIdleConnections()
	configValue, err := client.Get(ctx, note.ConfigKey)
	if err != nil {
		return 0, 0, err
	}
	fleetValue, err := client.Get(ctx, fleet.DocumentKey(regionName))
	return float64(len(configValue.Value)), float64(len(fleetValue.Value)), err
}

func (m *measurement) window() time.Duration {
	if m.quick {
		return 2 * time.Second
	}
	// Two periods of a watch.
	return 4 * time.Second
}

// quiet returns the time without writes after which a region has settled.
func (m *measurement) quiet() time.Duration {
	if m.quick {
		return time.Second
	}
	return 2 * time.Second
}

func (m *measurement) changeWindow() time.Duration {
	// The control holder makes a round each second.
	if m.quick {
		return 1300 * time.Millisecond
	}
	return 1500 * time.Millisecond
}

// changes returns the number of notes, and of removed VMs, in each repeat.
func (m *measurement) changes() int {
	if m.quick {
		return 1
	}
	return 2
}

// duringChanges makes changes and measures the window over all of them. After
// each change it waits for the interval, so that it reaches every entry VM.
func (r *region) duringChanges(changes int, interval time.Duration, change func(n int) error) (window, error) {
	before := r.read()
	for n := range changes {
		if err := change(n); err != nil {
			return window{}, err
		}
		time.Sleep(interval)
	}
	return r.read().since(before), nil
}

// change returns a small note based on the configuration in force.
func (r *region) change(n int) []byte {
	return fmt.Appendf(nil, "[note]\nname = \"change %d\"\nbase = %d\n\n[[team.change]]\nname = \"team-000\"\nslot_quota = %d\n",
		n, r.revision, 33+n)
}

// sweep measures regions of several sizes. Unless together is set it measures
// one after the other, because processor time and memory are those of the
// process.
func (m *measurement) sweep(ctx context.Context, together bool, sizes []size) ([]sample, error) {
	samples := make([]sample, len(sizes))
	group, ctx := errgroup.WithContext(ctx)
	if !together {
		group.SetLimit(1)
	}
	for i, s := range sizes {
		group.Go(func() (err error) {
			samples[i], err = m.measureRegion(ctx, s)
			return err
		})
	}
	return samples, group.Wait()
}

// collect returns a series of one field of the samples.
func collect(samples []sample, x func(size) int, field func(sample) [2]float64) series {
	var s series
	for _, p := range samples {
		y := field(p)
		s.add(float64(x(p.size)), y[0], y[1])
	}
	return s
}

func entriesOf(s size) int { return s.entries }
func workersOf(s size) int { return s.workers }
func poolsOf(s size) int   { return s.pools }

// regionLines are the fitted lines of regions that checkBudgets needs.
type regionLines struct {
	exchange, callsWithoutGets line
	holderBytes, listBytes     line
	entryCPU                   line
	// mostCalls is the largest number of platform calls per second of a region
	// in any window.
	mostCalls float64
	memory    line
	// noteCopies and fleetCopies relate the bytes that an entry VM sent and
	// received for a change to the bytes it would send and receive on average if
	// each other entry VM got exactly one copy. With N entry VMs N - 1 copies are
	// sent and received, so the mean is 2 (N - 1) / N copies.
	noteCopies, fleetCopies line
}

func (m *measurement) fitRegions(ctx context.Context) (regionLines, error) {
	var byEntry, byWorker, byPool []size
	entryCounts, workerCounts, poolCounts, poolWorkers := []int{3, 6, 12, 24}, []int{50, 200, 500, 1000}, []int{6, 30, 60, 117}, 500
	if m.quick {
		entryCounts, workerCounts, poolCounts, poolWorkers = []int{2, 4, 6, 8}, []int{50, 100, 200, 400}, []int{6, 12, 24, 48}, 100
	}
	for _, n := range entryCounts {
		byEntry = append(byEntry, size{entries: n, workers: 48, pools: 6, teams: 10})
	}
	for _, n := range workerCounts {
		byWorker = append(byWorker, size{entries: 4, workers: n, pools: 6, teams: 10})
	}
	for _, n := range poolCounts {
		byPool = append(byPool, size{entries: 4, workers: poolWorkers, pools: n, teams: 10})
	}
	var entries, workers, pools []sample
	var err error
	if m.quick {
		var all []sample
		all, err = m.sweep(ctx, true, append(append(byEntry, byWorker...), byPool...))
		entries, workers, pools = all[:4], all[4:8], all[8:]
	} else {
		var others []sample
		if entries, err = m.sweep(ctx, false, byEntry); err == nil {
			others, err = m.sweep(ctx, true, append(byWorker, byPool...))
			workers, pools = others[:4], others[4:]
		}
	}
	if err != nil {
		return regionLines{}, err
	}
	var lines regionLines
	byEntries := func(field func(sample) [2]float64) series { return collect(entries, entriesOf, field) }
	lines.exchange = m.addFit("idle exchange: bytes sent and received by an entry VM", "B/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.bytes }))
	m.addFit("idle exchange: calls made and served by an entry VM", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.exchanges }))
	lines.callsWithoutGets = m.addFit("platform calls of a region without reads of single keys", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.callsWithoutGets }))
	for _, p := range entries {
		lines.mostCalls = max(lines.mostCalls, p.calls[0], p.calls[1])
	}
	m.addFit("platform calls of a region", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.calls }))
	m.addFit("reads of configuration and registry in a region (holder: 1/s)", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.documentReads }))
	m.addFit("reads of the platform's list by an entry VM without the control role", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.listReads }))
	if !m.quick {
		lines.entryCPU = m.addFit("processor time of an idle entry VM, with its part of stand-in and relays", "cores", "entry VM",
			byEntries(func(s sample) [2]float64 { return s.cpu }))
		lines.memory = m.addFit("live memory of a process with idle entry VMs, stand-in and relays", "B", "entry VM",
			byEntries(func(s sample) [2]float64 { return s.memory }))
	}
	m.addFit("store writes for a note", "writes", "entry VM", byEntries(func(s sample) [2]float64 { return s.noteWrites }))
	m.addFit("bytes of a note between entry VMs, sent and received by each", "B", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.noteBytes }))
	m.addFit("bytes of a change of the fleet between entry VMs, sent and received by each", "B", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.fleetBytes }))

	byWorkers := func(field func(sample) [2]float64) series { return collect(workers, workersOf, field) }
	lines.holderBytes = m.addFit("reads of the control holder, one round a second", "B/s", "worker",
		byWorkers(func(s sample) [2]float64 { return s.holderBytes }))
	lines.listBytes = m.addFit("reads of the platform's list by an entry VM without the control role", "B/s", "worker",
		byWorkers(func(s sample) [2]float64 { return s.listBytes }))
	m.addFit("platform calls of a region of 4 entry VMs without reads of single keys", "1/s", "worker",
		byWorkers(func(s sample) [2]float64 { return s.callsWithoutGets }))
	m.addFit("store writes for a change of the fleet", "writes", "worker",
		byWorkers(func(s sample) [2]float64 { return s.fleetWrites }))
	m.addFit("platform calls of a region of 4 entry VMs without reads of single keys", "1/s", "pool",
		collect(pools, poolsOf, func(s sample) [2]float64 { return s.callsWithoutGets }))
	var notes, removals series
	for _, p := range slices.Concat(entries, workers, pools) {
		// Each of the other entry VMs needs one copy, which another sends.
		others := 2 * float64(p.size.entries-1) / float64(p.size.entries)
		notes.add(others*(p.configSize+p.fleetSize), p.noteBytes[0], p.noteBytes[1])
		removals.add(others*p.fleetSize, p.fleetBytes[0], p.fleetBytes[1])
	}
	lines.noteCopies = m.addFit("bytes of a note at an entry VM, by 2 (N - 1) / N x (configuration + fleet document)", "B", "B", notes)
	lines.fleetCopies = m.addFit("bytes of a change of the fleet at an entry VM, by 2 (N - 1) / N x fleet document", "B", "B", removals)
	return lines, nil
}

var configs = map[size]note.Config{}

// configOf returns the configuration of a region of the given size after many
// small notes. It is cached, because every note has to be parsed and applied.
func configOf(s size) note.Config {
	if _, ok := configs[s]; !ok {
		configs[s] = makeConfig(s)
	}
	c := configs[s]
	c.Waves = nil
	return c
}

func makeConfig(s size) note.Config {
	apply := func(c note.Config, text []byte) note.Config {
		n, found := note.Parse("note.toml", text)
		if err := found.Err(); err != nil {
			panic(err)
		}
		next, found := note.Apply(c, n)
		if err := found.Err(); err != nil {
			panic(err)
		}
		return next
	}
	c := apply(note.Config{}, noteOf(s))
	r := region{}
	for i := range note.MaxRecentNotes {
		r.revision = c.Revision
		c = apply(c, r.change(i))
	}
	return c
}

// fleetOf returns the fleet document after the first step of a new fleet.
func fleetOf(config note.Config, list []infrastructure.VM) fleet.Document {
	document, _ := fleet.Step(fleet.Document{}, fleet.Inputs{Now: time.Now(), Term: 1, Config: config, VMList: list})
	return document
}
