package owner

import (
	"maps"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

const (
	// admissionEvery is the shortest pause between decisions on which jobs are refused for
	// the load, and so between writings of them.
	admissionEvery = 200 * time.Millisecond
	// refusalRenewEvery is how often an unchanged refusal is written again. Entry VMs that
	// have missed one writing still know of it.
	refusalRenewEvery = time.Second
	// maxRefusedOrganisations bounds the length of the record. The rest is accepted.
	maxRefusedOrganisations = 200
)

// admission is the state of the refusals for the load in one term. It is protected by the
// term's mutex.
type admission struct {
	// free is nil until the VMs were listed. Until then nothing is refused.
	free *execution.FreeVMs
	// refused holds, by queue, the organisations whose jobs are refused.
	refused map[string]map[string]bool
	// refusals are those that the record has, written at writtenAt.
	refusals  []jobstore.LoadRefusal
	renewal   int64
	due       time.Duration
	writtenAt time.Duration
}

// checkAdmissionLocked decides which jobs are refused for the load, and queues the record for
// the entry VMs if that has changed or has to be renewed.
func (t *term) checkAdmissionLocked(now time.Duration) {
	a := &t.admission
	if now < a.due || a.free == nil && t.options.VMs != nil {
		return
	}
	free := execution.FreeVMs{}
	if a.free != nil {
		free = *a.free
	}
	a.due = now + admissionEvery
	refused := map[string]map[string]bool{}
	var refusals []jobstore.LoadRefusal
	for _, load := range t.core.QueueLoads(free, t.options.MoveTime, now) {
		before := a.refused[load.Queue]
		r, refuse := execution.Admit(load, before)
		t.metrics.scope.Tagged(map[string]string{"queue": load.Queue}).Gauge("refused_organisations").Update(float64(len(r.Organisations)))
		if !refuse {
			continue
		}
		refused[load.Queue] = map[string]bool{}
		for _, o := range r.Organisations {
			refused[load.Queue][o] = true
		}
		if !maps.Equal(before, refused[load.Queue]) {
			t.logAdmission(r, "refused")
		}
		record := jobstore.LoadRefusal{Queue: r.Queue, After: r.Drain, Spread: r.Spread}
		if !r.All {
			record.Organisations = r.Organisations[:min(len(r.Organisations), maxRefusedOrganisations)]
		}
		refusals = append(refusals, record)
	}
	for queue := range a.refused {
		if refused[queue] == nil {
			t.logAdmission(execution.Refusal{Queue: queue}, "accepted")
		}
	}
	changed := !maps.EqualFunc(a.refused, refused, maps.Equal)
	a.refused = refused
	if changed || len(refusals) > 0 && now-a.writtenAt >= refusalRenewEvery {
		a.refusals, a.writtenAt = refusals, now
		t.recordBacklogLocked()
	}
}

func (t *term) logAdmission(r execution.Refusal, outcome string) {
	t.options.Log.Warn().Str("event", "admission").Str("queue", r.Queue).Int("organisations", len(r.Organisations)).Bool("all", r.All).
		Float64("waiting_core_seconds", r.Work).Int64("drain_ms", r.Drain.Milliseconds()).Str("outcome", outcome).Msg("")
}

// recordBacklogLocked queues the record of the full queues and of the refusals for the load.
func (t *term) recordBacklogLocked() {
	t.admission.renewal++
	b := jobstore.Backlog{FullQueues: slices.Sorted(maps.Keys(t.fullQueues)), Refusals: t.admission.refusals}
	if len(b.Refusals) > 0 {
		b.Renewal = t.admission.renewal
	}
	t.recordJSONLocked(jobstore.BacklogKey, b)
	t.wakeWriter()
}
