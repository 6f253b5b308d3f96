package execution

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// rateWindow is the time over which the jobs of an organisation are compared with its weight.
// In a second, the jobs of one that sends one a second on average come too irregularly.
const rateWindow = 5 * time.Second

// sentJobs are the jobs of an organisation within its rate, to find those beyond it: jobs at
// whose acceptance as many were accepted within rateWindow, and within the rate, as the weight
// allows. The times are those of the records, so that each owner finds the same jobs.
type sentJobs struct {
	// undecided are the jobs of which it is not known yet whether they are within the rate.
	undecided []*jobState
	// accepted are the times of day of the last jobs within the rate, in order.
	accepted []time.Time
	// beyond counts the jobs beyond the rate, tracedBeyond those of them that the log has told,
	// the last at tracedAt.
	beyond, tracedBeyond int
	tracedAt             Time
}

// add adds a job that has become known. Records without a time are of versions that knew no
// organisations.
func (s *sentJobs) add(j *jobState) {
	if !j.Accepted.IsZero() {
		s.undecided = append(s.undecided, j)
	}
}

// decide sets beyondRate of the jobs that were added. weight is in jobs a second; one that is
// not above 0 has no rate.
func (s *sentJobs) decide(weight float64) {
	if len(s.undecided) == 0 {
		return
	}
	// A new owner adds all jobs at once, in the order of their IDs.
	slices.SortFunc(s.undecided, func(a, b *jobState) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), strings.Compare(a.ID, b.ID))
	})
	limit := max(weight*rateWindow.Seconds(), 1)
	for _, j := range s.undecided {
		s.accepted = slices.DeleteFunc(s.accepted, func(at time.Time) bool { return !at.After(j.Accepted.Add(-rateWindow)) })
		if weight > 0 && float64(len(s.accepted)+1) > limit {
			j.beyondRate = true
			s.beyond++
			continue
		}
		s.accepted = append(s.accepted, j.Accepted)
	}
	clear(s.undecided)
	s.undecided = s.undecided[:0]
}

// decideRates finds the new jobs that organisations sent beyond their rates, and logs how many.
func (c *Core) decideRates(now Time) {
	var due []*organisation
	for _, o := range c.organisations {
		o.sent.decide(o.weight)
		if o.sent.beyond > o.sent.tracedBeyond && now-o.sent.tracedAt >= waitLogInterval {
			due = append(due, o)
		}
	}
	for _, o := range firstToLog(due, func(o *organisation) Time { return o.sent.tracedAt }) {
		c.trace(Event{
			Name: "organisation_beyond_weight", Organisation: o.name,
			Detail: fmt.Sprintf("jobs=%d total=%d weight=%g", o.sent.beyond-o.sent.tracedBeyond, o.sent.beyond, o.weight),
		})
		o.sent.tracedBeyond, o.sent.tracedAt = o.sent.beyond, now
	}
}
