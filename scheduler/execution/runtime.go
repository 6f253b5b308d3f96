package execution

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/runtimes"
)

const (
	// unknownRunTime is the expected run time of an item about which nothing is
	// known.
	unknownRunTime = time.Second
	// shortestRunTime and longestRunTime bound the run times that requesters
	// declare.
	shortestRunTime = 50 * time.Millisecond
	longestRunTime  = 20 * time.Second
	// overrunFactor is for items that have outlasted all that is known of their run
	// times: they are expected to take overrunFactor times the time that they have run.
	overrunFactor = 1.3
	// The items of a step resemble each other, so that one step of many items is not as many
	// independent samples. The learner gets those whose index is a multiple of
	// learnedIndexes.
	learnedIndexes = 8
	// minProjectedPercent is the progress from which a run's end is projected from its own
	// progress, which is reported in whole percents.
	minProjectedPercent = 10
	// minFinished is the number of items that are done from which a step tells how long its
	// other items take. maxFinished bounds those that are kept.
	minFinished = 3
	maxFinished = 16
	// typicalRatio stands for an item that takes as long as the typical one of its step.
	typicalRatio = time.Second
	// longItem is the expected run time from which an item is better not placed on a worker
	// that planned maintenance will stop: the owner of the waves ends runs 2.5 s after it
	// has selected a VM.
	longItem = 2 * time.Second
)

func newRunTimeLearner() *runtimes.Learner {
	l := runtimes.NewLearner()
	l.ForgetOnChange = true
	l.ClassesPerDoubling = 2
	return l
}

// operation returns the key under which run times of the step are learned. The
// queue takes the place of the service: run times are learned for each queue.
func (s *step) operation() runtimes.Operation {
	return runtimes.Operation{Service: s.job.Queue, Name: s.spec.Image}
}

// operations returns operation, and then that of all images of the queue, which is for
// images that are not known yet.
func (s *step) operations() []runtimes.Operation {
	if s.spec.Image == "" {
		return []runtimes.Operation{s.operation()}
	}
	return []runtimes.Operation{s.operation(), {Service: s.job.Queue}}
}

// learned returns what was learned of the run times of the step's image, or else of its
// queue.
func (c *Core) learned(s *step) (runtimes.Estimate, bool) {
	for _, o := range s.operations() {
		if e, ok := c.learner.Estimate(o, s.spec.Estimate); ok {
			return e, true
		}
	}
	return runtimes.Estimate{}, false
}

// beyond returns the expected run time of an item that has run for elapsed already.
func (c *Core) beyond(s *step, elapsed time.Duration) time.Duration {
	for _, o := range s.operations() {
		if median, _, ok := c.learner.Beyond(o, s.spec.Estimate, elapsed); ok {
			return median
		}
	}
	return time.Duration(overrunFactor * float64(elapsed))
}

// runTime returns how long an item of the step is expected to run: the mean of
// the step's items that are done, else what was learned from items with a
// similar declared run time, else the declared run time, else unknownRunTime. All
// but the first are raised if the step has been running for longer. With TrustDeclared it
// is always the declared run time or unknownRunTime.
func (c *Core) runTime(s *step, now Time) time.Duration {
	if s.meanRunTime > 0 {
		return s.meanRunTime
	}
	expected := unknownRunTime
	if s.spec.Estimate > 0 {
		expected = min(max(s.spec.Estimate, shortestRunTime), longestRunTime)
	}
	if c.options.TrustDeclared {
		return expected
	}
	if e, ok := c.learned(s); ok {
		expected = e.Median
	}
	if elapsed := now - s.firstStart; s.firstStart > 0 && elapsed > expected {
		expected = c.beyond(s, elapsed)
	}
	return expected
}

// projected returns how long a run takes in all if it goes on at its speed so far. It
// returns false if that is not known: the run has hardly begun, it is long-running or a
// filler, it began from a checkpoint, or a former owner started it.
func (cp *itemCopy) projected() (time.Duration, bool) {
	spec := cp.item.step.spec
	if cp.percent < minProjectedPercent || spec.LongRunning || spec.Filler || cp.resumed || cp.adopted {
		return 0, false
	}
	return (cp.progressedAt - cp.startedAt) * 100 / time.Duration(cp.percent), true
}

// expectedLong reports whether the items of a step are expected to run for longItem or
// longer.
func (c *Core) expectedLong(s *step) bool {
	if c.options.TrustDeclared || s.spec.LongRunning {
		return false
	}
	if s.meanRunTime > 0 {
		return s.meanRunTime >= longItem
	}
	e, ok := c.learned(s)
	return ok && e.Median >= longItem
}

// finishedRun is how long an item of a step took, and where.
type finishedRun struct {
	took  time.Duration
	place string
}

// typicalElsewhere returns the median run time of the items of a step on other workers than
// that at a place: those that are done, and those that run, as their progress so far tells.
// It returns false if they are too few.
func (s *step) typicalElsewhere(place string) (time.Duration, bool) {
	var took []time.Duration
	for _, f := range s.finished {
		if f.place != place {
			took = append(took, f.took)
		}
	}
	for _, i := range s.tracked {
		for _, cp := range i.copies {
			if cp.worker.place() == place || cp.phase != running {
				continue
			}
			if total, ok := cp.projected(); ok {
				took = append(took, total)
			}
		}
	}
	if len(took) < minFinished {
		return 0, false
	}
	slices.Sort(took)
	return took[len(took)/2], true
}

// whole reports whether this owner has seen the whole run of an item that ends: it was not
// started by a former owner or from a checkpoint.
func (cp *itemCopy) whole() bool {
	return !cp.item.step.spec.LongRunning && !cp.adopted && !cp.resumed
}

// representative reports whether the time that a run took tells how long others of its image
// will take. Fillers, which may be paced, and runs on a rack far from their data or from the
// other members of their gang take a different time.
func (cp *itemCopy) representative() bool {
	spec := cp.item.step.spec
	far := spec.DataRack != "" && cp.worker.Rack != spec.DataRack
	if spec.SameRack {
		for w := range cp.item.step.copies {
			far = far || w.Rack != cp.worker.Rack
		}
	}
	return cp.whole() && !spec.Filler && !far
}

// learnRunTime records how long a run took whose item is done.
func (c *Core) learnRunTime(cp *itemCopy, took time.Duration, now Time) {
	if c.options.TrustDeclared || !cp.whole() {
		return
	}
	s := cp.item.step
	s.observedRuns++
	s.meanRunTime += (took - s.meanRunTime) / time.Duration(s.observedRuns)
	if !cp.representative() {
		return
	}
	slow := c.learnSpeed(cp, took, now)
	if len(s.finished) == maxFinished {
		s.finished = slices.Delete(s.finished, 0, 1)
	}
	s.finished = append(s.finished, finishedRun{took, cp.worker.place()})
	if slow {
		return
	}
	if cp.item.index%learnedIndexes == 0 {
		for _, o := range s.operations() {
			c.learner.Observe(o, s.spec.Estimate, took)
		}
	}
	if typical, ok := s.typicalElsewhere(cp.worker.place()); ok {
		ratio := time.Duration(float64(took) / float64(typical) * float64(typicalRatio))
		for _, o := range s.operations() {
			c.unevenness.Observe(o, 0, ratio)
		}
	}
}

// expectRunTime notes how long a run is expected to take.
func (c *Core) expectRunTime(cp *itemCopy, now Time) {
	if !cp.item.step.spec.LongRunning {
		cp.expected = c.runTime(cp.item.step, now)
	}
}

// maxSummaries bounds the record of learned run times.
const maxSummaries = 64

// LearnedRunTimes returns what was learned from finished runs, for the next owner.
func (c *Core) LearnedRunTimes() []runtimes.Summary { return c.learner.Summaries(maxSummaries) }

// RestoreRunTimes adds what a former owner has learned from finished runs. It returns how
// many summaries are not valid.
func (c *Core) RestoreRunTimes(summaries []runtimes.Summary) (invalid int) {
	if c.options.TrustDeclared {
		return 0
	}
	return c.learner.Restore(summaries[:min(len(summaries), maxSummaries)])
}

// KnownImages returns the number of images whose run times were learned.
func (c *Core) KnownImages() int { return c.learner.Operations() }
