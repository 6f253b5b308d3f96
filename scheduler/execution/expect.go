package execution

import (
	"cmp"
	"time"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/scheduler/runtimes"
)

const (
	// unknownRunTime stands for run times of which nothing is known.
	unknownRunTime = time.Second
	// shortestRunTime and longestRunTime bound what requesters declare.
	shortestRunTime = 50 * time.Millisecond
	longestRunTime  = 20 * time.Second
	// outlived is how much longer than it has run already an item is expected
	// to run once it has outlived its expectation.
	outlived = 1.3
	// lateFactor times its objective a job is still worth something.
	lateFactor = 3
	// finishFactor and finishMargin are added to what is expected: starts, the
	// commit of ends, and the requester's question take some time, and a job
	// that just misses its objective has taken the room of one that would not.
	finishFactor = 1.1
	finishMargin = 60 * time.Millisecond
	// fixedWorth is the part of a job's worth that does not depend on its work.
	fixedWorth = 0.3
	// meanWeight is the weight of a new job in the mean work of its queue.
	meanWeight = 0.05
)

// operation is what run times are learned for.
func (s *step) operation() runtimes.Operation {
	return runtimes.Operation{Service: s.job.Queue, Name: s.spec.Image}
}

// runTime is how long an item of the step is expected to run: as its siblings
// did, else as items that declared about as much, else as declared.
func (c *Core) runTime(s *step, now Time) time.Duration {
	if s.observed > 0 && !c.options.TrustDeclared {
		return s.observed
	}
	expected := unknownRunTime
	if s.spec.Estimate > 0 {
		expected = min(max(s.spec.Estimate, shortestRunTime), longestRunTime)
	}
	if c.options.TrustDeclared {
		return expected
	}
	if e, ok := c.learner.Estimate(s.operation(), s.spec.Estimate); ok {
		expected = e.Median
	}
	if s.firstStart > 0 {
		expected = max(expected, time.Duration(outlived*float64(now-s.firstStart)))
	}
	return expected
}

// outlook is what is expected of a job.
type outlook struct {
	// chain is the longest chain of work, chainLeft what is left of it.
	chain, chainLeft time.Duration
	// work and workLeft are in core-seconds.
	work, workLeft float64
}

// outlookOf looks at one occurrence of a job.
func (c *Core) outlookOf(steps []*step, now Time) outlook {
	var o outlook
	ends := make([]time.Duration, len(steps))
	endsLeft := make([]time.Duration, len(steps))
	for n, s := range steps {
		run := c.runTime(s, now)
		for _, before := range s.spec.After {
			ends[n] = max(ends[n], ends[before])
			endsLeft[n] = max(endsLeft[n], endsLeft[before])
		}
		ends[n] += run
		if !s.done() {
			endsLeft[n] += run
		}
		o.chain, o.chainLeft = max(o.chain, ends[n]), max(o.chainLeft, endsLeft[n])
		cores := float64(s.spec.Needs.MilliCPU) / 1000
		o.work += float64(len(s.items)) * cores * run.Seconds()
		o.workLeft += float64(s.left) * cores * run.Seconds()
	}
	return o
}

// Classes of jobs by what they can still reach, in the order in which they get
// room.
const (
	reachesObjective = iota
	reachesLate
	reachesNothing
)

// rank orders steps; smaller comes first.
type rank struct {
	kind     int
	priority int
	reach    int
	order    float64
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(r.kind, o.kind), cmp.Compare(r.priority, o.priority),
		cmp.Compare(r.reach, o.reach), cmp.Compare(r.order, o.order),
	)
}

// Kinds of steps in the order in which they get room. Long-running work comes
// first because it serves users all the time.
const (
	kindLongRunning = iota
	kindNormal
	kindFiller
)

// rankOf ranks a step by what its job can still reach: jobs within their
// objective by worth for each core-second, jobs that will be late by when they
// become worthless, and the others by age. Answers the load of a queue that
// asks for more than its pool holds: first come first served makes every job
// late.
func (c *Core) rankOf(s *step, q job.Queue, now Time) rank {
	r := rank{kind: kindNormal, priority: q.Priority}
	switch {
	case s.spec.Filler:
		r.kind = kindFiller
	case s.spec.LongRunning:
		r.kind = kindLongRunning
		r.order = s.job.acceptedAt.Seconds()
		return r
	}
	since := s.job.acceptedAt
	if c.options.FirstComeFirstServed {
		r.order = since.Seconds()
		return r
	}
	if due := s.job.dueAt[s.occurrence]; due > 0 {
		since = due
	}
	o := c.outlookOf(s.job.occurrences[s.occurrence], now)
	objective := time.Duration(max(q.Stretch, 1)*float64(o.chain)) + q.TargetLatency
	finish := now - since + time.Duration(finishFactor*float64(o.chainLeft)) + finishMargin
	switch {
	case finish <= objective:
		r.reach = reachesObjective
		r.order = o.workLeft / (fixedWorth + (1-fixedWorth)*o.work/c.meanWork(q.Name, o.work))
	case finish <= lateFactor*objective:
		r.reach = reachesLate
		r.order = (since + lateFactor*objective - o.chainLeft).Seconds()
	default:
		r.reach = reachesNothing
		r.order = since.Seconds()
	}
	return r
}

// meanWork is the mean work of the jobs of a queue, in core-seconds.
func (c *Core) meanWork(queue string, otherwise float64) float64 {
	if mean := c.queueWork[queue]; mean > 0 {
		return mean
	}
	return max(otherwise, 1e-3)
}

func (c *Core) learnWork(j *jobState, now Time) {
	o := c.outlookOf(j.occurrences[0], now)
	if mean, ok := c.queueWork[j.Queue]; ok {
		c.queueWork[j.Queue] = mean + meanWeight*(o.work-mean)
	} else {
		c.queueWork[j.Queue] = o.work
	}
}

// learnRun learns from an item that ended as done after took.
func (c *Core) learnRun(s *step, took time.Duration) {
	c.learner.Observe(s.operation(), s.spec.Estimate, took)
	s.ran++
	s.observed += (took - s.observed) / time.Duration(s.ran)
}
