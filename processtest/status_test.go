package processtest

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// The command-line tool has to show the state of the jobs even while no entry VM
// runs.
func TestStatusShowsJobs(t *testing.T) {
	c := startJobCluster(t, 1, map[string]int{"artwork": 2, "spare": 1}, "spare")
	j := c.newJob("work=20ms")
	if err := submitUntilAccepted(context.Background(), c.requester(), j); err != nil {
		t.Fatal(err)
	}
	c.checkCompleted([]*job.Job{j}, 20*time.Second)
	c.entries[0].kill()
	out, err := exec.Command(filepath.Join(binDir, "dotterelhead"), "status", "--store", c.platform.Addr()).CombinedOutput()
	if err != nil {
		t.Fatalf("dotterelhead status: %v: %s", err, out)
	}
	if !strings.Contains(string(out), "completed  1\n") {
		t.Errorf("the job is not shown as completed:\n%s", out)
	}
}
