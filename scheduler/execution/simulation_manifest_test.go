package execution

import (
	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/job"
)

// simOrganisations are the organisations of the jobs and their caps.
type simOrganisations struct {
	// enabled is set if the manifests have organisations.
	enabled bool
	// caps are the caps of all manifests, with the time at which each came into force.
	caps []simCaps
	// orderedAt is when the start of each run was decided.
	orderedAt map[Run]Time
}

type simCaps struct {
	at Time
	// milliCPU is the cap of each organisation; 0 stands for no limit.
	milliCPU map[string]int64
}

// drawOrganisations returns the organisations of a new manifest. There are no limits once
// the faults have ended, so that all jobs can run.
func (s *simulation) drawOrganisations() *job.Organisations {
	if !s.enabled {
		return nil
	}
	organisations, caps := job.NewOrganisations(), simCaps{s.now, map[string]int64{}}
	for _, name := range []string{"a", "b"} {
		if !s.healthy {
			caps.milliCPU[name] = rapid.SampledFrom([]int64{0, 1500, 3000, 4500, 9000}).Draw(s.t, "cap")
		}
		organisations.Add(job.Organisation{Name: name, Weight: 1, Cap: job.Resources{MilliCPU: caps.milliCPU[name]}}, nil)
	}
	s.caps = append(s.caps, caps)
	return organisations
}

// checkCap fails if an organisation has more running after a start than the highest cap
// that was in force since the start was decided.
func (s *simulation) checkCap(started Run) {
	name := s.jobs[started.Item.Job].Organisation
	if name == "" {
		return
	}
	limit := int64(0)
	for n, c := range s.caps {
		if n+1 < len(s.caps) && s.caps[n+1].at < s.orderedAt[started] {
			continue
		}
		if c.milliCPU[name] == 0 {
			return
		}
		limit = max(limit, c.milliCPU[name])
	}
	running := int64(0)
	for _, w := range s.workers {
		for r := range w.running {
			if j := s.jobs[r.Item.Job]; j.Organisation == name {
				running += j.Steps[r.Item.Step].Needs.MilliCPU
			}
		}
	}
	if running > limit {
		s.t.Fatalf("%v: organisation %s has %d thousandths of a core running, its cap is %d", started, name, running, limit)
	}
}

// queue is the only queue of the jobs.
func (s *simulation) queue() job.Queue {
	return job.Queue{Name: testQueue, Service: testService, Attempts: s.attempts}
}

// changeManifest puts a new manifest in force, which has the queue if the one before does
// not, and other caps.
func (s *simulation) changeManifest() {
	m := &job.Manifest{Version: 1}
	if s.manifest != nil {
		m.Version = s.manifest.Version + 1
	}
	if s.manifest == nil || len(s.manifest.Queues) == 0 {
		m.Queues = []job.Queue{s.queue()}
	}
	m.Organisations = s.drawOrganisations()
	m.KeepFormerQueues(s.manifest)
	s.manifest = m
	if s.core != nil {
		s.core.SetManifest(m)
	}
}

// acceptJob returns a job as an entry VM records it that still has the queue.
func (s *simulation) acceptJob(id string, steps ...job.Step) *job.Job {
	s.revision++
	j := &job.Job{ID: id, Steps: steps, Revision: s.revision}
	if s.enabled {
		j.Organisation = rapid.SampledFrom([]string{"", "a", "b"}).Draw(s.t, "organisation")
	}
	q := s.queue()
	j.SetQueue(&q, s.manifest.Version)
	return j
}

// raiseCaps lifts all caps.
func (s *simulation) raiseCaps() {
	if organisations := s.drawOrganisations(); organisations != nil {
		m := *s.manifest
		m.Organisations = organisations
		m.Version++
		s.manifest = &m
		s.core.SetManifest(&m)
	}
}
