package manifestcheck

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/platform"
)

// Guards against findings that are missing, misplaced or of the wrong severity. Commands:
// in-force sets the manifest to compare with, check checks a manifest, compare also compares
// it. The argument cpu gives a job that every organisation should be able to run.
func TestCheck(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var inForce *platform.ManifestFile
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			file := platform.ReadManifestFile(d.Cmd, []byte(d.Input))
			var jobs []*job.Job
			for _, arg := range d.CmdArgs {
				cpu, err := strconv.ParseInt(arg.Vals[0], 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				jobs = append(jobs, &job.Job{ID: "j", Steps: []job.Step{{Count: 1, Needs: job.Resources{MilliCPU: cpu}}}})
			}
			var list []Finding
			switch d.Cmd {
			case "in-force":
				inForce = file
				return "ok"
			case "check":
				list = Check(file, jobs, nil)
			case "compare":
				list = Check(file, jobs, inForce)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			if len(list) == 0 {
				return "no findings"
			}
			var b strings.Builder
			for _, f := range list {
				fmt.Fprintf(&b, "%s:%d:%d: %s: %s\n", f.File, f.Line, f.Column, f.Severity, f.Message)
			}
			if strings.Contains(b.String(), "secret") {
				t.Errorf("the findings contain a key: %s", b.String())
			}
			return b.String()
		})
	})
}
