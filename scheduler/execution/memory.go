package execution

// Upper bounds of the memory that the parts of a job take in the state of the owner, in
// bytes, with the maps that hold them. TestHeldBytesCoverTheMemoryOfJobs compares them with
// the heap.
const (
	jobBytes  = 900
	stepBytes = 260
	// openStepBytes is what the state of a step takes while its occurrence is open.
	openStepBytes = 420
)

// memoryEstimate returns how much memory a job takes at most while nothing of it runs. A job
// that has ended has no open occurrences.
func (j *jobState) memoryEstimate() int64 {
	occurrence := int64(0)
	n := int64(jobBytes + len(j.Spec) + j.OccurrenceCount()/8)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += int64(stepBytes + 8*len(s.After) + len(s.Label) + len(s.DataRack) + len(s.Image))
		occurrence += int64(openStepBytes + s.Count/8)
	}
	if j.final() {
		return n
	}
	open := min(j.OccurrenceCount(), 1+maxWaitingSteps/max(len(j.Steps), 1))
	return n + int64(open)*occurrence
}

// reckon updates held after a job was added or has ended, or, with removed set, before it is
// dropped.
func (c *Core) reckon(j *jobState, removed bool) {
	before := j.heldBytes
	j.heldBytes = 0
	if !removed {
		j.heldBytes = j.memoryEstimate()
	}
	if c.held[j.Queue] += j.heldBytes - before; c.held[j.Queue] == 0 {
		delete(c.held, j.Queue)
	}
}

// HeldBytes returns how much memory the jobs of each queue take at most, apart from what
// runs. The caller must not change it.
func (c *Core) HeldBytes() map[string]int64 { return c.held }
