package job

import (
	"strings"
	"testing"
)

// A job with a thousand million occurrences passed the check. Each owner allocated
// its list of occurrences when it read the job, and was ended for its memory, one
// owner after the other.
func TestOccurrencesAreBounded(t *testing.T) {
	j := &Job{ID: "00000000000000aa", Occurrences: 1_000_000_000, Steps: []Step{{Count: 1}}}
	if err := j.Check().Err(); err == nil || !strings.Contains(err.Error(), "occurrences") {
		t.Errorf("finding %v for %d occurrences, want one", err, j.Occurrences)
	}
	j.Occurrences = MaxOccurrences
	if err := j.Check().Err(); err != nil {
		t.Errorf("finding %v for the largest number of occurrences, want none", err)
	}
}
