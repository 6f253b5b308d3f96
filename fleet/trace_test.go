package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
)

// trace is the state while one trace file runs: the document in the store, the
// inputs of the steps, and the holders with the documents that they have read.
type trace struct {
	document Document
	version  int
	in       Inputs
	holders  map[string]*traceHolder
}

type traceHolder struct {
	document Document
	version  int
	fences   map[string]Fence
}

// Guards against unintended changes of the state machine: each trace file lists
// the document and the actions after every step.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := &trace{holders: map[string]*traceHolder{}}
		w.in.FenceWait = 6 * time.Second
		w.in.Steady = true
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "region":
				return w.region(t, d)
			case "list":
				return w.list(t, d)
			case "entry":
				return w.entry(t, d)
			case "read":
				h := w.holder(t, d)
				h.document, h.version = w.document, w.version
				return ""
			case "step":
				return w.step(t, d)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func (w *trace) holder(t *testing.T, d *datadriven.TestData) *traceHolder {
	name := "h1"
	d.MaybeScanArgs(t, "holder", &name)
	if w.holders[name] == nil {
		w.holders[name] = &traceHolder{}
	}
	return w.holders[name]
}

// region takes pool=(name,budget,vm...), wave=(name) and entries=(id...).
func (w *trace) region(t *testing.T, d *datadriven.TestData) string {
	w.in.Config = note.Config{Revision: w.in.Config.Revision + 1}
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "pool":
			name, budget := arg.Vals[0], 0
			arg.Scan(t, 1, &budget)
			w.in.Config.Pools = append(w.in.Config.Pools, note.Pool{Name: name, VMs: arg.Vals[2:]})
			w.in.Config.Services = append(w.in.Config.Services, note.Service{Name: name, Pool: name, MaxUnavailable: budget})
		case "wave":
			w.in.Config.Waves = append(w.in.Config.Waves, note.Wave{Name: arg.Vals[0], MaxConcurrent: 1, LastChangedRevision: 1})
		case "entries":
			for _, id := range arg.Vals {
				w.in.Entries = append(w.in.Entries, Entry{ID: id, HeardRecently: true, QuorumFloor: len(arg.Vals), Released: map[string]int64{}})
			}
		}
	}
	return ""
}

func (w *trace) list(t *testing.T, d *datadriven.TestData) string {
	w.in.VMList = nil
	for _, arg := range d.CmdArgs {
		vm := infrastructure.VM{ID: arg.Key, State: infrastructure.VMState(arg.Vals[0])}
		arg.Scan(t, 1, &vm.BootCount)
		w.in.VMList = append(w.in.VMList, vm)
	}
	return ""
}

func (w *trace) entry(t *testing.T, d *datadriven.TestData) string {
	var id, vm string
	d.ScanArgs(t, "id", &id)
	for i := range w.in.Entries {
		if e := &w.in.Entries[i]; e.ID == id {
			e.HeardRecently = !d.HasArg("unreachable")
			d.MaybeScanArgs(t, "floor", &e.QuorumFloor)
			if d.MaybeScanArgs(t, "released", &vm) {
				var generation int64
				d.ScanArgs(t, "generation", &generation)
				e.Released[vm] = generation
			}
		}
	}
	return ""
}

// step takes t, holder, stale, move=(vm,from,to) and start=(vm,wave). With stale
// the holder steps from the document that it read before. Boot counts come from
// the list.
func (w *trace) step(t *testing.T, d *datadriven.TestData) string {
	var seconds int
	d.ScanArgs(t, "t", &seconds)
	h := w.holder(t, d)
	if !d.HasArg("stale") {
		h.document, h.version = w.document, w.version
	}
	in := w.in
	in.Now, in.Term = time.Unix(int64(seconds), 0), 1
	in.Boots = map[string]BootReport{}
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "move":
			in.Moves = append(in.Moves, Move{VM: arg.Vals[0], From: arg.Vals[1], To: arg.Vals[2]})
		case "start":
			in.Starts = append(in.Starts, MaintenanceStart{VM: arg.Vals[0], Wave: arg.Vals[1]})
		}
	}
	h.fences = UpdateFences(h.fences, h.document, in.Entries, in.Now)
	in.Fences = h.fences
	for _, vm := range in.VMList {
		in.Boots[vm.ID] = BootReport{Count: vm.BootCount}
	}
	next, actions := Step(h.document, in)
	var out strings.Builder
	if string(next.Encode()) != string(h.document.Encode()) {
		if h.version != w.version {
			return "conflict\n"
		}
		w.version++
		w.document = next
	}
	for _, vm := range w.document.VMs {
		fmt.Fprintf(&out, "%s %s generation=%d %s", vm.ID, vm.Pool, vm.Generation, vm.Phase)
		if vm.Purpose != PurposeNone {
			out.WriteString(strings.TrimRight(fmt.Sprintf(" %s %s%s", vm.Purpose, vm.TargetPool, vm.Wave), " "))
		}
		out.WriteString("\n")
	}
	for _, p := range w.document.Waves {
		fmt.Fprintf(&out, "wave %s done=%v\n", p.Name, p.Done)
	}
	for _, a := range actions {
		fmt.Fprintf(&out, "-> %s %s %s boot=%d\n", a.Kind, a.VM, a.Operation.ID, a.Operation.ExpectedBoot)
	}
	return out.String()
}
