package execution

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// organisation is what the owner knows of an organisation that has, or had, jobs.
type organisation struct {
	name string
	// cap and weight are those of the newest manifest that had the organisation.
	cap    job.Resources
	weight float64
	// running is what the copies of its items and its orphans request. It includes the CPU
	// of fillers, which takes no capacity of a worker.
	running job.Resources
	// unseen is what runs of a former owner that no worker has listed yet may request.
	unseen job.Resources
	// gang, if set, is a gang for which the rest of the cap is kept since gangSince, and
	// nextGang when the next one may be. gangFits is set once the gang fitted the cap.
	gang                *step
	gangFits            bool
	gangPriority        int
	gangSince, nextGang Time
	// sent tells which of its jobs it sent beyond its rate.
	sent sentJobs
	// capWaiting is the number of steps that waited for the cap in the last round, and
	// capWaitingSince the time of the first round in a row in which any did. capWaitTracedAt
	// is when the log last said so.
	capWaiting                       int
	capWaitingSince, capWaitTracedAt Time
}

// OrganisationUsage is what an organisation has running on all workers.
type OrganisationUsage struct {
	Name         string
	Running, Cap job.Resources
	// Waiting is the number of steps that waited for the cap in the last round.
	Waiting int
	// BeyondRate counts the jobs that it sent beyond its rate.
	BeyondRate int
}

// OrganisationUsage returns the usage of all organisations that have, or had, jobs,
// sorted by name.
func (c *Core) OrganisationUsage() []OrganisationUsage {
	usage := make([]OrganisationUsage, 0, len(c.organisations))
	for _, name := range slices.Sorted(maps.Keys(c.organisations)) {
		o := c.organisations[name]
		usage = append(usage, OrganisationUsage{Name: name, Running: o.running, Cap: o.cap, Waiting: o.capWaiting, BeyondRate: o.sent.beyond})
	}
	return usage
}

// organisationOf returns the state of the organisation of a job, or nil if the job has none.
func (c *Core) organisationOf(j *job.Job) *organisation {
	if j.Organisation == "" {
		return nil
	}
	o := c.organisations[j.Organisation]
	if o == nil {
		o = &organisation{name: j.Organisation}
		o.update(c.manifest)
		c.organisations[o.name] = o
	}
	return o
}

// updateOrganisations takes over the caps and weights of the manifest.
func (c *Core) updateOrganisations() {
	for _, o := range c.organisations {
		o.update(c.manifest)
	}
}

// update takes over the cap and the weight of a manifest. An organisation that the manifest
// lacks keeps those that it had last: its accepted jobs still run.
func (o *organisation) update(m *job.Manifest) {
	if in := m.Organisations.ByName(o.name); in != nil {
		o.cap, o.weight = in.Cap, in.Weight
	}
}

// charge counts n items with the given needs as running. o may be nil.
func (o *organisation) charge(needs job.Resources, n int64) {
	if o != nil {
		o.running = o.running.Add(needs, n)
	}
}

// allows reports whether n further items of a step may run without that the organisation
// has more running than its cap. o may be nil.
func (o *organisation) allows(s *job.Step, n int) bool {
	return o == nil || s.Needs.FitsCap(o.cap, o.running.Add(o.unseen, 1), n)
}

// beginCapRound prepares the check of caps for a round.
func (c *Core) beginCapRound() {
	c.roundNumber++
	for _, o := range c.organisations {
		o.capWaiting = 0
	}
	c.countUnseen()
}

// capAllows is allows for the organisation of a step. It notes a step that has to wait.
func (c *Core) capAllows(s *step, n int) bool {
	o := s.job.organisation
	if o == nil || o.allows(s.spec, n) && !o.keepsCapFor(s, func() int { return c.queueOf(s.job).Priority }) {
		return true
	}
	if s.capWaitRound != c.roundNumber {
		s.capWaitRound = c.roundNumber
		o.capWaiting++
	}
	return false
}

// maxSum bounds sums of what waiting or unseen items request. Requesters may ask for any
// amount, and the sums must not overflow.
const maxSum = 1 << 40

// addBounded adds n items with the given needs to a sum.
func addBounded(sum, needs job.Resources, n int) job.Resources {
	add := func(sum, needs int64) int64 { return min(sum+min(needs, maxSum)*int64(n), maxSum) }
	return job.Resources{MilliCPU: add(sum.MilliCPU, needs.MilliCPU), MemoryMB: add(sum.MemoryMB, needs.MemoryMB), GPU: add(sum.GPU, needs.GPU)}
}

// countUnseen counts, for each organisation, the runs of a former owner that no worker may
// have listed yet: those of each inherited job's items that are not done and have no copy,
// and of the items of inherited jobs that have ended. Once the takeover is settled there are
// none. Steps that are not ready count as well: the former owner may have started them after
// ends whose records it could not write any more.
func (c *Core) countUnseen() {
	if c.unseenCleared || len(c.organisations) == 0 {
		return
	}
	for _, o := range c.organisations {
		o.unseen = job.Resources{}
	}
	switch {
	case c.settled:
		c.unseenCleared = true
		return
	case !c.formerRunsUnknown:
		c.countFormerRuns()
		return
	}
	ended := map[*organisation]job.Resources{}
	for _, j := range c.jobs {
		switch {
		case j.organisation == nil || !j.inherited:
		case j.final():
			sum := ended[j.organisation]
			for n := range j.Steps {
				if s := &j.Steps[n]; j.phase != job.Completed || s.Speculative {
					sum = addBounded(sum, s.Needs, s.Count)
				}
			}
			ended[j.organisation] = sum
		default:
			for _, o := range j.open {
				for _, s := range o.steps {
					if !s.done() {
						j.organisation.unseen = addBounded(j.organisation.unseen, s.spec.Needs, s.itemsWithoutCopy())
					}
				}
			}
		}
	}
	// The jobs that have ended are many, and most of their runs are long over.
	unlisted := c.unlistedCapacity()
	for o, sum := range ended {
		o.unseen = addBounded(o.unseen, job.Resources{
			MilliCPU: min(sum.MilliCPU, unlisted.MilliCPU), MemoryMB: min(sum.MemoryMB, unlisted.MemoryMB), GPU: min(sum.GPU, unlisted.GPU),
		}, 1)
	}
}

// countFormerRuns is countUnseen once the runs of all workers are known that may hold a lease
// of a former owner and were not contacted.
func (c *Core) countFormerRuns() {
	for _, items := range c.formerRuns {
		for _, id := range items {
			j := c.jobs[id.Job]
			if j != nil && j.organisation != nil && id.Step < len(j.Steps) {
				j.organisation.unseen = addBounded(j.organisation.unseen, j.Steps[id.Step].Needs, 1)
			}
		}
	}
}

// unlistedCapacity returns the capacity of the workers that may run something under a
// lease of a former owner and have not been contacted. One that is not registered counts as
// large as the largest one.
func (c *Core) unlistedCapacity() job.Resources {
	var sum, largest job.Resources
	unknown := 0
	for _, w := range c.sortedWorkers {
		largest = job.Resources{
			MilliCPU: max(largest.MilliCPU, w.Capacity.MilliCPU), MemoryMB: max(largest.MemoryMB, w.Capacity.MemoryMB), GPU: max(largest.GPU, w.Capacity.GPU),
		}
	}
	for id := range c.formerHolders {
		switch w := c.workers[id]; {
		case w == nil || !w.present:
			unknown++
		case !w.contacted:
			sum = addBounded(sum, w.Capacity, 1)
		}
	}
	return addBounded(sum, largest, unknown)
}

// itemsWithoutCopy returns how many items of the step are not done and have no copy.
func (s *step) itemsWithoutCopy() int {
	n := s.fresh
	for _, i := range s.tracked {
		if !i.done && len(i.copies) == 0 {
			n++
		}
	}
	return n
}

const (
	// waitLogInterval is how long steps of an organisation may wait for its cap before the
	// log says so, and how long until it says so again.
	waitLogInterval = 2 * time.Second
	// maxOrganisationLines bounds the lines of one kind in a round: there may be thousands of
	// organisations.
	maxOrganisationLines = 5
)

// firstToLog returns the organisations that get a line in this round: those whose last line
// is longest ago.
func firstToLog(due []*organisation, last func(*organisation) Time) []*organisation {
	slices.SortFunc(due, func(a, b *organisation) int {
		return cmp.Or(cmp.Compare(last(a), last(b)), strings.Compare(a.name, b.name))
	})
	return due[:min(len(due), maxOrganisationLines)]
}

// traceCapWaits logs which organisations wait for their caps.
func (c *Core) traceCapWaits(now Time) {
	var due []*organisation
	for _, o := range c.organisations {
		switch {
		case o.capWaiting == 0:
			o.capWaitingSince = 0
		case o.capWaitingSince == 0:
			o.capWaitingSince = now
		case now-max(o.capWaitingSince, o.capWaitTracedAt) >= waitLogInterval:
			due = append(due, o)
		}
	}
	for _, o := range firstToLog(due, func(o *organisation) Time { return o.capWaitTracedAt }) {
		o.capWaitTracedAt = now
		c.trace(Event{
			Name: "organisation_waits", Organisation: o.name, Reason: "cap", Took: now - o.capWaitingSince,
			Detail: fmt.Sprintf("steps=%d running=%q unseen=%q cap=%q", o.capWaiting, o.running, o.unseen, o.cap),
		})
	}
}
