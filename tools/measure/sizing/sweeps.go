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

// sample is what was measured of one region; each field holds two repeats.
type sample struct {
	size size
	// bytes and exchanges are those of one entry VM, sent and received.
	bytes, exchanges [2]float64
	// steady are the calls of a region without reads of single keys, whose
	// number depends on the phase of the watches.
	steady, calls [2]float64
	// readBacks are the reads of the configuration and the registry by entry
	// VMs that find their knowledge too old.
	readBacks   [2]float64
	holderBytes [2]float64
	// listReads and listBytes are the reads of the platform's list by an entry
	// VM that does not hold the control role, which has no need of it while the
	// store answers.
	listReads, listBytes [2]float64
	cpu, memory          [2]float64
	// noteBytes, noteCalls, fleetBytes and fleetCalls are those of one change.
	noteBytes, noteWrites   [2]float64
	fleetBytes, fleetWrites [2]float64
	// configSize and fleetSize are the documents at the end.
	configSize, fleetSize float64
}

// measureRegion runs one region. Bytes of changes are those above the idle
// exchange.
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
		out.calls[i] = w.storeCalls() / w.seconds
		out.steady[i] = (w.storeCalls() - float64(w.counts["get"])) / w.seconds
		out.cpu[i] = w.cpu.Seconds() / w.seconds / entries
		for _, t := range w.store {
			out.readBacks[i] += float64(t.calls["GET notes"]+t.calls["GET members"]) / w.seconds
		}
		if h := w.holder(); h >= 0 {
			t := w.store[h]
			// A round reads the list; it reads the fleet document only after
			// the role was taken or a round has failed.
			out.holderBytes[i] = t.answerBytes("GET fleet") + t.answerBytes("GET /v1/vms")
		}
		for j, t := range w.store {
			if j != w.holder() {
				out.listReads[i] += float64(t.calls["GET /v1/vms"]) / w.seconds / (entries - 1)
				out.listBytes[i] += float64(t.answered["GET /v1/vms"]) / w.seconds / (entries - 1)
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
			// The last workers go, so that no pool becomes empty.
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
	fleetValue, err := client.Get(ctx, fleet.Key(regionName))
	return float64(len(configValue.Value)), float64(len(fleetValue.Value)), err
}

func (m *measurement) window() time.Duration {
	if m.quick {
		return 2 * time.Second
	}
	// Two periods of a watch.
	return 4 * time.Second
}

// quiet is the time without writes after which a start counts as over.
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

// changes is the number of notes, and of VMs that go, in each repeat.
func (m *measurement) changes() int {
	if m.quick {
		return 1
	}
	return 2
}

// duringChanges makes changes, each with time to reach every entry VM.
func (r *region) duringChanges(changes int, each time.Duration, change func(n int) error) (window, error) {
	before := r.read()
	for n := range changes {
		if err := change(n); err != nil {
			return window{}, err
		}
		time.Sleep(each)
	}
	return r.read().since(before), nil
}

// change returns a small note against the configuration in force.
func (r *region) change(n int) []byte {
	return fmt.Appendf(nil, "[note]\nname = \"change %d\"\nbase = %d\n\n[[team.change]]\nname = \"team-000\"\nslot_quota = %d\n",
		n, r.revision, 33+n)
}

// sweep measures regions of several sizes: one after the other, because
// processor time is that of the process, or together for a quick run.
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

// collect makes a series of one field of the samples.
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

// regionLines are the lines that the check against the budgets needs.
type regionLines struct {
	exchange, steady line
	holder, list     line
	entryCPU         line
	// mostCalls are the most platform calls a second of a region in a window.
	mostCalls float64
	memory    line
	// noteCopies and fleetCopies are by the bytes that an entry VM sends and
	// receives on average when each other entry VM gets one copy.
	noteCopies, fleetCopies line
}

func (m *measurement) regionSlopes(ctx context.Context) (regionLines, error) {
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
	lines.exchange = m.slope("idle exchange: bytes sent and received by an entry VM", "B/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.bytes }))
	m.slope("idle exchange: calls made and served by an entry VM", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.exchanges }))
	lines.steady = m.slope("platform calls of a region without reads of single keys", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.steady }))
	for _, p := range entries {
		lines.mostCalls = max(lines.mostCalls, p.calls[0], p.calls[1])
	}
	m.slope("platform calls of a region", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.calls }))
	m.slope("reads of configuration and registry in a region (holder: 1/s)", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.readBacks }))
	m.slope("reads of the platform's list by an entry VM without the control role", "1/s", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.listReads }))
	if !m.quick {
		lines.entryCPU = m.slope("processor time of an idle entry VM, with its part of stand-in and relays", "cores", "entry VM",
			byEntries(func(s sample) [2]float64 { return s.cpu }))
		lines.memory = m.slope("live memory of a process with idle entry VMs, stand-in and relays", "B", "entry VM",
			byEntries(func(s sample) [2]float64 { return s.memory }))
	}
	m.slope("store writes for a note", "writes", "entry VM", byEntries(func(s sample) [2]float64 { return s.noteWrites }))
	m.slope("bytes of a note between entry VMs, sent and received by each", "B", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.noteBytes }))
	m.slope("bytes of a change of the fleet between entry VMs, sent and received by each", "B", "entry VM",
		byEntries(func(s sample) [2]float64 { return s.fleetBytes }))

	byWorkers := func(field func(sample) [2]float64) series { return collect(workers, workersOf, field) }
	lines.holder = m.slope("reads of the control holder, one round a second", "B/s", "worker",
		byWorkers(func(s sample) [2]float64 { return s.holderBytes }))
	lines.list = m.slope("reads of the platform's list by an entry VM without the control role", "B/s", "worker",
		byWorkers(func(s sample) [2]float64 { return s.listBytes }))
	m.slope("platform calls of a region of 4 entry VMs without reads of single keys", "1/s", "worker",
		byWorkers(func(s sample) [2]float64 { return s.steady }))
	m.slope("store writes for a change of the fleet", "writes", "worker",
		byWorkers(func(s sample) [2]float64 { return s.fleetWrites }))
	m.slope("platform calls of a region of 4 entry VMs without reads of single keys", "1/s", "pool",
		collect(pools, poolsOf, func(s sample) [2]float64 { return s.steady }))
	var notes, removals series
	for _, p := range slices.Concat(entries, workers, pools) {
		// Each of the other entry VMs needs one copy, which another sends.
		others := 2 * float64(p.size.entries-1) / float64(p.size.entries)
		notes.add(others*(p.configSize+p.fleetSize), p.noteBytes[0], p.noteBytes[1])
		removals.add(others*p.fleetSize, p.fleetBytes[0], p.fleetBytes[1])
	}
	lines.noteCopies = m.slope("bytes of a note at an entry VM, by 2 (N - 1) / N x (configuration + fleet document)", "B", "B", notes)
	lines.fleetCopies = m.slope("bytes of a change of the fleet at an entry VM, by 2 (N - 1) / N x fleet document", "B", "B", removals)
	return lines, nil
}

var configs = map[size]note.Config{}

// configOf returns the configuration that a region of a size has in force
// after many small notes. It is kept, because each note is parsed and applied.
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
	for i := range note.MaxRecent {
		r.revision = c.Revision
		c = apply(c, r.change(i))
	}
	return c
}

// fleetOf returns the fleet document that the step makes of a new fleet.
func fleetOf(config note.Config, list []infrastructure.VM) fleet.Document {
	document, _ := fleet.Step(fleet.Document{}, fleet.Inputs{Now: time.Now(), Term: 1, Config: config, List: list})
	return document
}
