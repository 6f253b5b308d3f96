package owner

import (
	"fmt"
	"testing"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

// Guards against a series of metrics for each of thousands of organisations.
func TestOrganisationMetricsHaveFewLabels(t *testing.T) {
	var usage []execution.OrganisationUsage
	for n := range 2000 {
		usage = append(usage, execution.OrganisationUsage{
			Name: fmt.Sprintf("organisation-%04d", n), Running: job.Resources{MilliCPU: 1000, MemoryMB: 30}, Cap: job.Resources{MilliCPU: 4000, MemoryMB: 40}, Waiting: 1,
		})
	}
	gauges := gaugesByOrganisation(usage)
	if len(gauges) != maxOrganisationLabels+1 {
		t.Errorf("%d labels, want %d", len(gauges), maxOrganisationLabels+1)
	}
	if g := gauges[otherOrganisations]; g.cores != 1950 || g.waiting != 1950 || g.capUsed != 0.75 {
		t.Errorf("the others have %+v", g)
	}
}
