package execution

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/job"
)

// simMaxWaitingSteps makes occurrences wait behind others of jobs with few steps.
const simMaxWaitingSteps = 2

// TestNoItemOfATimedJobRunsTwice is TestNoItemRunsTwice with jobs of several occurrences,
// some of which wait behind others or are done. It also guards against a start before an
// occurrence is due. It is a test of its own because the histories that other tests keep
// would change with each draw that is added to them.
func TestNoItemOfATimedJobRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.timedJobs, s.core.maxWaitingSteps = true, simMaxWaitingSteps
		s.playFaults()
	})
}

// prepare gives a new owner what it has before it knows workers and jobs.
func (s *simulation) prepare() {
	if s.timedJobs {
		s.core.maxWaitingSteps = simMaxWaitingSteps
	}
	s.core.SetManifest(s.manifest)
	s.core.SetFormerHolders(s.holders, s.now)
	s.core.SetFormerRuns(s.holderRuns)
	s.core.SetStartHorizon(s.horizon)
}

// schedule lets some jobs have several occurrences.
func (s *simulation) schedule(j *job.Job) {
	if !s.timedJobs || rapid.IntRange(0, 3).Draw(s.t, "timed") > 0 {
		return
	}
	j.Occurrences = rapid.IntRange(1, 4).Draw(s.t, "occurrences")
	j.FirstDue = wall.Add(s.now + time.Duration(rapid.IntRange(-500, 500).Draw(s.t, "due"))*time.Millisecond)
	j.Interval = time.Duration(rapid.IntRange(0, 500).Draw(s.t, "interval")) * time.Millisecond
}

// checkDue fails if an item starts before its occurrence is due.
func (s *simulation) checkDue(id job.ItemID) {
	if due := s.jobs[id.Job].Due(id.Occurrence); wall.Add(s.now).Before(due) {
		s.t.Fatalf("%v starts %v before it is due", id, due.Sub(wall.Add(s.now)))
	}
}

// itemOf returns the item that has a number in the durable record of a job.
func itemOf(j *job.Job, number int) job.ItemID {
	id := job.ItemID{Job: j.ID, Occurrence: number / j.ItemsPerOccurrence(), Index: number % j.ItemsPerOccurrence()}
	for id.Index >= j.Steps[id.Step].Count {
		id.Index -= j.Steps[id.Step].Count
		id.Step++
	}
	return id
}
