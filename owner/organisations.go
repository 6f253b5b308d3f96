package owner

import (
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

const (
	// maxOrganisationLabels bounds the values of the metrics' label: a manifest may have
	// thousands of organisations. The others are counted together as otherOrganisations.
	maxOrganisationLabels = 50
	otherOrganisations    = "other"
)

// organisationGauges are the values of the metrics of one label.
type organisationGauges struct{ cores, capUsed, waiting, beyondRate float64 }

// gaugesByOrganisation returns the values of the metrics by their label: the sums of the
// cores and of the waiting steps, and the largest used part of a cap.
func gaugesByOrganisation(usage []execution.OrganisationUsage) map[string]organisationGauges {
	gauges := map[string]organisationGauges{}
	for n, u := range usage {
		label := u.Name
		if n >= maxOrganisationLabels {
			label = otherOrganisations
		}
		g := gauges[label]
		g.cores += float64(u.Running.MilliCPU) / 1000
		g.capUsed = max(g.capUsed, capUsed(u.Running, u.Cap))
		g.waiting += float64(u.Waiting)
		g.beyondRate += float64(u.BeyondRate)
		gauges[label] = g
	}
	return gauges
}

// capUsed returns the part of a cap that is used, of the resource of which it is largest.
func capUsed(running, cap job.Resources) float64 {
	used := func(running, cap int64) float64 {
		if cap == 0 {
			return 0
		}
		return float64(running) / float64(cap)
	}
	return max(used(running.MilliCPU, cap.MilliCPU), used(running.MemoryMB, cap.MemoryMB), used(running.GPU, cap.GPU))
}

func (t *term) updateOrganisationGaugesLocked() {
	for label, g := range gaugesByOrganisation(t.core.OrganisationUsage()) {
		tags := t.metrics.scope.Tagged(map[string]string{"organisation": label})
		tags.Gauge("organisation_used_cores").Update(g.cores)
		tags.Gauge("organisation_cap_used").Update(g.capUsed)
		tags.Gauge("organisation_cap_waiting_steps").Update(g.waiting)
		tags.Gauge("organisation_jobs_beyond_weight").Update(g.beyondRate)
	}
}
