// Package job defines jobs: their steps and work items, the durable records of
// their progress, and the manifest that assigns queues to services.
package job

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/findings"
)

// Limits of an accepted job.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	// MaxItemsPerStep and MaxOccurrences bound the record of a job's progress, which names
	// the items that are done.
	MaxItemsPerStep = 2000
	MaxOccurrences  = 10_000
	// idDigits is the length of a job's ID in hexadecimal digits.
	idDigits = 16
)

// Resources are what a work item requests and what a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"c,omitempty"`
	MemoryMB int64 `json:"m,omitempty"`
	GPU      int64 `json:"g,omitempty"`
}

// String returns the resources for the log, without those that are 0.
func (r Resources) String() string {
	s := fmt.Sprintf("cpu=%dm memory=%dMB", r.MilliCPU, r.MemoryMB)
	if r.GPU != 0 {
		s += fmt.Sprintf(" gpu=%d", r.GPU)
	}
	return s
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Add returns the sum of r and n times o.
func (r Resources) Add(o Resources, n int64) Resources {
	return Resources{r.MilliCPU + n*o.MilliCPU, r.MemoryMB + n*o.MemoryMB, r.GPU + n*o.GPU}
}

// Step is a set of work items with the same requirements.
type Step struct {
	Count int       `json:"n"`
	Needs Resources `json:"r"`
	// Estimate is the requester's rough estimate of a work item's run time.
	Estimate time.Duration `json:"e,omitempty"`
	// After lists the earlier steps that must be done first.
	After []int `json:"a,omitempty"`
	// Gang items make progress only while all of them run, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack items are slower when they run on more than one rack.
	SameRack bool `json:"rack,omitempty"`
	// Label, if set, is a label that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that is close to the step's data.
	DataRack string `json:"near,omitempty"`
	// MaxPerWorker bounds the items of one occurrence on one worker; 0 means
	// no bound.
	MaxPerWorker int `json:"max,omitempty"`
	// SavesProgress items can resume from a checkpoint.
	SavesProgress bool `json:"saves,omitempty"`
	// Speculative items may run as several copies; the first to finish counts.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning items are restarted however they end, until the job is
	// cancelled.
	LongRunning bool `json:"long,omitempty"`
	// Image names the program that the items run; items with the same image are
	// expected to behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the tail response time that a long-running item's users
	// accept. It is compared with the one that the worker reports.
	TailTarget time.Duration `json:"target,omitempty"`
	// Filler items use the CPU that other items leave unused; their CPU does
	// not count against a worker's capacity.
	Filler bool `json:"fill,omitempty"`
	// MaxUnavailable is how many long-running items may be unavailable at once
	// because of planned maintenance; 0 means that the step has no such limit.
	MaxUnavailable int `json:"down,omitempty"`
}

// Charge returns what an item of the step takes from a worker's capacity.
func (s *Step) Charge() Resources {
	r := s.Needs
	if s.Filler {
		r.MilliCPU = 0
	}
	return r
}

// Job is an accepted job. It never changes.
type Job struct {
	ID string `json:"-"`
	// Revision is that of the job's record in the store, or 0 before it is read from there.
	Revision int64 `json:"-"`
	// Queue is the name of the queue that the request's host and path selected.
	Queue string `json:"q"`
	// Service is the queue's service when the job was accepted.
	Service string `json:"s"`
	// Settings are those of the queue when the job was accepted, without its name and
	// service. They are nil in records that were written by versions of the program
	// that did not keep them. AcceptedQueue returns them together with Service.
	Settings *VersionedQueue `json:"qs,omitempty"`
	// Organisation is the name of the organisation whose key the request had. It is empty
	// for jobs of public queues, and where the manifest has no organisations.
	Organisation string `json:"o,omitempty"`
	// Accepted is the wall-clock time at the entry VM that accepted the job.
	Accepted time.Time `json:"at,omitzero"`
	// Spec is the requester's description of the work, which is passed to the
	// workers unchanged.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Occurrences is how often the steps run; 0 stands for a single run
	// without a due time.
	Occurrences int           `json:"times,omitempty"`
	FirstDue    time.Time     `json:"first,omitzero"`
	Interval    time.Duration `json:"every,omitempty"`
}

// SetQueue sets the queue of a job that is accepted under a manifest of the given version.
func (j *Job) SetQueue(q *Queue, manifestVersion int64) {
	j.Queue, j.Service = q.Name, q.Service
	j.Settings = &VersionedQueue{manifestVersion, *q}
}

// AcceptedQueue returns the queue as it was when the job was accepted; ok is false if the
// record of the job does not have it.
func (j *Job) AcceptedQueue() (q VersionedQueue, ok bool) {
	if j.Settings == nil {
		return VersionedQueue{}, false
	}
	q = *j.Settings
	q.Name, q.Service = j.Queue, j.Service
	return q, true
}

// RefusableForLoad reports whether the job may be refused because it would end too late: it
// runs once, as soon as it can, and ends by itself. Fillers have no time in which to end.
func (j *Job) RefusableForLoad() bool {
	return j.Occurrences == 0 && !slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning || s.Filler })
}

// OccurrenceCount returns the number of occurrences, at least one.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// Due returns when an occurrence is due, or the zero time if the job has no due
// time.
func (j *Job) Due(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return time.Time{}
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// ItemsPerOccurrence returns the number of work items of one occurrence.
func (j *Job) ItemsPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// ValidID reports whether id is a job ID.
func ValidID(id string) bool {
	return len(id) == idDigits && !strings.ContainsFunc(id, func(r rune) bool {
		return (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F')
	})
}

// Check returns all errors in a job.
func (j *Job) Check() findings.List {
	var found findings.List
	add := func(format string, args ...any) { found.Add(findings.Position{File: "job " + j.ID}, format, args...) }
	if !ValidID(j.ID) {
		add("ID is not %d hexadecimal digits", idDigits)
	}
	if len(j.Spec) > MaxSpecBytes {
		add("spec has %d bytes, more than %d", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		add("%d steps, not 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Occurrences > MaxOccurrences {
		add("%d occurrences, more than %d", j.Occurrences, MaxOccurrences)
	}
	if j.Occurrences < 0 || j.Interval < 0 {
		add("negative number of occurrences or interval")
	}
	for i := range j.Steps {
		j.Steps[i].check(i, add)
	}
	return found
}

func (s *Step) check(number int, add func(string, ...any)) {
	if s.Count < 1 || s.Count > MaxItemsPerStep {
		add("step %d: %d work items, not 1 to %d", number, s.Count, MaxItemsPerStep)
	}
	if s.Needs.MilliCPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		add("step %d: negative resources, estimate, items per worker or unavailable items", number)
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			add("step %d: comes after step %d, which is not an earlier step", number, before)
		}
	}
}

// ItemID names a work item.
type ItemID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

func (i ItemID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", i.Job, i.Occurrence, i.Step, i.Index)
}

// Compare orders work items by job, occurrence, step and index.
func (i ItemID) Compare(o ItemID) int {
	return cmp.Or(cmp.Compare(i.Job, o.Job), cmp.Compare(i.Occurrence, o.Occurrence), cmp.Compare(i.Step, o.Step), cmp.Compare(i.Index, o.Index))
}

// ParseItemID parses the format of ItemID.String.
func ParseItemID(s string) (ItemID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || !ValidID(parts[0]) {
		return ItemID{}, errors.Errorf("work item name %q is not ID.occurrence.step.index", s)
	}
	id := ItemID{Job: parts[0]}
	for i, into := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return ItemID{}, errors.Errorf("work item name %q has a bad number %q", s, parts[i+1])
		}
		*into = n
	}
	return id, nil
}
