package execution

import (
	"cmp"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	// A job loses its value lateFactor times its objective after it was accepted
	// or became due.
	lateFactor = 3
	// finishFactor and finishMargin increase the expected time to the end of a
	// job: starts, the commit of ends and the requester's status query take
	// some time, and a job that just misses its objective has used capacity with
	// which another one would have met its own.
	finishFactor = 1.1
	finishMargin = 60 * time.Millisecond
	// fixedValueShare is the part of a job's value that does not depend on its
	// work. The rest is in proportion to the work, so that a job with the mean
	// work of its queue has the value 1.
	fixedValueShare = 0.3
	// meanWorkWeight is the weight of a new job in the moving average of the
	// work of its queue's jobs.
	meanWorkWeight = 0.05
)

// workEstimate is the estimated time and work of one occurrence of a job.
type workEstimate struct {
	// criticalPath is the longest total run time along a chain of dependent
	// steps; criticalPathLeft is the same without the steps that are done.
	criticalPath, criticalPathLeft time.Duration
	// work and workLeft are the work of all items and of those that are not
	// done, in core-seconds.
	work, workLeft float64
}

// estimateWork estimates one occurrence of a job from its steps.
func (c *Core) estimateWork(steps []*step, now Time) workEstimate {
	var estimate workEstimate
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
		estimate.criticalPath, estimate.criticalPathLeft = max(estimate.criticalPath, ends[n]), max(estimate.criticalPathLeft, endsLeft[n])
		cores := float64(s.spec.Needs.MilliCPU) / 1000
		estimate.work += float64(s.spec.Count) * cores * run.Seconds()
		estimate.workLeft += float64(s.itemsLeft) * cores * run.Seconds()
	}
	return estimate
}

// estimateOccurrence estimates an occurrence once a round, whatever the number of its steps
// that are ranked.
func (c *Core) estimateOccurrence(o *occurrence, now Time) workEstimate {
	estimate, known := c.estimates[o]
	if !known {
		estimate = c.estimateWork(o.steps, now)
		c.estimates[o] = estimate
	}
	return estimate
}

// Classes of jobs by the value that they can still have, in the order in which
// their items are placed: jobs that meet their objective, jobs that end late but
// still have some value, and jobs that have none. The objective is the time within
// which a job should end; rankOf computes it from the queue's settings.
const (
	valueInTime = iota
	valueLate
	valueNone
)

// rank is the sort key of a step for placement; smaller comes first.
type rank struct {
	kind     int
	priority int
	// beyondRate is 1 for jobs that an organisation sent beyond its rate, else 0.
	beyondRate int
	valueClass int
	// order decides between steps that are otherwise equal. It is core-seconds
	// per value or a time in seconds; rankOf says which.
	order float64
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(r.kind, o.kind), cmp.Compare(r.priority, o.priority), cmp.Compare(r.beyondRate, o.beyondRate),
		cmp.Compare(r.valueClass, o.valueClass), cmp.Compare(r.order, o.order),
	)
}

// Kinds of steps in the order in which their items are placed. Long-running
// items come first because they serve users all the time.
const (
	kindLongRunning = iota
	kindNormal
	kindFiller
)

// rankOf ranks a step by the value that its job can still have: jobs that can
// meet their objective by value per core-second of remaining work, jobs that
// will be late by the latest time at which the rest can start and still end
// before their value is lost, and the others by age. When a queue asks for more
// than its service's workers can run, first come first served would make every
// job late.
func (c *Core) rankOf(s *step, q job.Queue, now Time) rank {
	r := rank{kind: kindNormal, priority: q.Priority}
	if s.job.beyondRate {
		r.beyondRate = 1
	}
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
	if due := s.occurrence.dueAt; due > 0 {
		since = due
	}
	estimate := c.estimateOccurrence(s.occurrence, now)
	objective := objectiveOf(q, estimate.criticalPath)
	finish := now - since + time.Duration(finishFactor*float64(estimate.criticalPathLeft)) + finishMargin
	switch {
	case finish <= objective:
		r.valueClass = valueInTime
		r.order = estimate.workLeft / (fixedValueShare + (1-fixedValueShare)*estimate.work/c.meanWork(q.Name, estimate.work))
	case finish <= lateFactor*objective:
		r.valueClass = valueLate
		r.order = (since + lateFactor*objective - estimate.criticalPathLeft).Seconds()
	default:
		r.valueClass = valueNone
		r.order = since.Seconds()
	}
	return r
}

// objectiveOf returns the time within which a job with the given critical path should end.
func objectiveOf(q job.Queue, criticalPath time.Duration) time.Duration {
	return time.Duration(max(q.LatencyFactor, 1)*float64(criticalPath)) + q.TargetLatency
}

// meanWork returns the mean work of the jobs of a queue in core-seconds, or
// fallback if no mean is known.
func (c *Core) meanWork(queue string, fallback float64) float64 {
	if mean := c.meanQueueWork[queue]; mean > 0 {
		return mean
	}
	// rankOf divides by the result, so it must not be 0.
	return max(fallback, 1e-3)
}

// learnQueueWork adds the work and the critical path of a new job to the means of its queue.
// The critical path is learned only from jobs whose admission may be refused.
func (c *Core) learnQueueWork(j *jobState, now Time) {
	estimate := c.estimateWork(j.occurrence(0).steps, now)
	if mean, ok := c.meanQueueWork[j.Queue]; ok {
		c.meanQueueWork[j.Queue] = mean + meanWorkWeight*(estimate.work-mean)
	} else {
		c.meanQueueWork[j.Queue] = estimate.work
	}
	if !j.RefusableForLoad() {
		return
	}
	if mean, ok := c.meanCriticalPath[j.Queue]; ok {
		c.meanCriticalPath[j.Queue] = mean + time.Duration(meanWorkWeight*float64(estimate.criticalPath-mean))
	} else {
		c.meanCriticalPath[j.Queue] = estimate.criticalPath
	}
}
