package job

import "github.com/pkg/errors"

// FitsCap reports whether n work items that need r each may run beside used without going
// over a cap. A resource with a cap of 0 has no limit. One that the items don't need may be
// over its cap, as after the cap was lowered.
func (r Resources) FitsCap(cap, used Resources, n int) bool {
	// Requesters may ask for any amount, so that n times r could overflow.
	fits := func(needs, cap, used int64) bool {
		return cap == 0 || needs <= 0 || n <= 0 || used <= cap && needs <= (cap-used)/int64(n)
	}
	return fits(r.MilliCPU, cap.MilliCPU, used.MilliCPU) && fits(r.MemoryMB, cap.MemoryMB, used.MemoryMB) && fits(r.GPU, cap.GPU, used.GPU)
}

// StartCount returns how many items of the step have to start together.
func (s *Step) StartCount() int {
	if s.Gang {
		return s.Count
	}
	return 1
}

// CheckCap returns an error that names the first step of which not even one work item, or
// one gang, can ever run under the cap of the job's organisation.
func (j *Job) CheckCap(cap Resources) error {
	for n := range j.Steps {
		s := &j.Steps[n]
		if s.Needs.FitsCap(cap, Resources{}, s.StartCount()) {
			continue
		}
		if s.Gang {
			return errors.Errorf("step %d is a gang of %d work items with %s each, more than the cap of organisation %q: %s", n, s.Count, s.Needs, j.Organisation, cap)
		}
		return errors.Errorf("step %d has work items with %s, more than the cap of organisation %q: %s", n, s.Needs, j.Organisation, cap)
	}
	return nil
}
