package joblog

import (
	"strings"
	"testing"
	"time"
)

const testLog = `
   3.1 edge-1 time=2026-05-21T14:31:12.100Z level=info entry=edge-1 event=request_answered method=POST job=00000000000000aa status=200 took_ms=11 error=null
time=2026-05-21T14:31:12.120Z level=info entry=edge-2 event=run_placed item=00000000000000aa.0.0.1 run=1 worker=i-1 service=a took_ms=20
time=2026-05-21T14:31:12.130Z level=info entry=edge-2 event=run_placed item=00000000000000bb.0.0.1 run=1 worker=i-1 service=a took_ms=20
time=2026-05-21T14:31:13.000Z level=info entry=edge-2 event=ownership_ended term=1 reason="lease lost"
time=2026-05-21T14:31:14.120Z level=info entry=edge-3 event=run_lost item=00000000000000aa.0.0.1 run=1 worker=i-1 reason=lease_lapsed took_ms=2000
not a line of the log
time=2026-05-21T14:31:14.220Z level=info entry=edge-3 event=run_ended item=00000000000000aa.0.0.1 run=2 worker=i-2 reason=done took_ms=90
time=2026-05-21T14:31:14.220Z level=info entry=edge-3 event=job_completed job=00000000000000aa took_ms=2110
time=2026-05-21T14:31:14.230Z level=info entry=edge-3 event=pool_state service=a vms=3 used_cores=4.5 waiting_cores=1
`

func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog))
	if err != nil {
		t.Fatal(err)
	}
	s := BuildTimeline(lines, "00000000000000aa")
	if len(s.Lines) != 5 || s.Outcome != "completed" {
		t.Fatalf("%d lines and outcome %q, want 5 and completed", len(s.Lines), s.Outcome)
	}
	if s.LostTime != 2*time.Second || s.RunTime != 90*time.Millisecond || s.WaitTime != 20*time.Millisecond {
		t.Errorf("lost %v, ran %v, waited %v", s.LostTime, s.RunTime, s.WaitTime)
	}
	if len(s.RelatedLines) != 1 || s.RelatedLines[0].Fields["reason"] != "lease lost" {
		t.Errorf("around the job: %v, want the end of the ownership", s.RelatedLines)
	}
	if pool := Pools(lines)["a"]; len(pool) != 1 || pool[0].VMs != 3 || pool[0].Used != 4.5 {
		t.Errorf("pool states %v", pool)
	}
}
