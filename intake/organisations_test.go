package intake

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
)

// Guards against a cancellation that keeps another organisation from submitting a job under the
// ID, and against one that is forgotten when a further organisation cancels or submits: a late
// submission of an organisation that was told that there is no such job must not be accepted.
func TestEarlyCancellationConcernsItsOrganisationsOnly(t *testing.T) {
	for _, outcome := range []storetest.Outcome{storetest.Applied, storetest.Lost, storetest.Delayed} {
		s := storetest.New()
		in := startIntake(t, s)
		ctx := context.Background()
		// Each first write has the outcome, and is repeated.
		faulty := true
		s.OutcomeOf = func(store.Transaction) storetest.Outcome {
			faulty = !faulty
			if faulty {
				return storetest.Applied
			}
			return outcome
		}
		for _, organisation := range []string{"a", "", "b", "a"} {
			if err := in.Cancel(ctx, testJob(1).ID, organisation); !errors.Is(err, ErrJobNotFound) {
				t.Fatalf("outcome %v: cancellation by %q: %v", outcome, organisation, err)
			}
		}
		for _, organisation := range []string{"a", "", "b"} {
			if err := in.Submit(jobOf(1, organisation)); !errors.Is(err, ErrCancelled) {
				t.Errorf("outcome %v: submission of %q after its cancellation: %v", outcome, organisation, err)
			}
		}
		if err := in.Submit(jobOf(1, "c")); err != nil {
			t.Errorf("outcome %v: submission of an organisation that cancelled nothing: %v", outcome, err)
		}
		s.ApplyDelayed()
		for _, organisation := range []string{"a", "", "b"} {
			if err := in.Submit(jobOf(1, organisation)); !errors.Is(err, ErrIDTaken) || !errors.Is(err, ErrNotAccepted) {
				t.Errorf("outcome %v: submission of %q after that of another organisation: %v", outcome, organisation, err)
			}
		}
		if phase, err := in.Phase(ctx, testJob(1).ID, "c"); err != nil || phase != job.Queued {
			t.Errorf("outcome %v: phase %q, error %v", outcome, phase, err)
		}
		if err := in.Submit(jobOf(1, "c")); err != nil {
			t.Errorf("outcome %v: repeated submission: %v", outcome, err)
		}
	}
}

// Guards against jobs that were accepted before organisations were known and that are lost to
// those that have keys now.
func TestJobsWithoutOrganisationStayVisible(t *testing.T) {
	in := startIntake(t, storetest.New())
	ctx := context.Background()
	if err := in.Submit(jobOf(1, "")); err != nil {
		t.Fatal(err)
	}
	if err := in.Submit(jobOf(1, "a")); err != nil {
		t.Errorf("repeated submission with a key: %v", err)
	}
	if phase, err := in.Phase(ctx, testJob(1).ID, "a"); err != nil || phase != job.Queued {
		t.Errorf("phase %q, error %v", phase, err)
	}
	if err := in.Cancel(ctx, testJob(1).ID, "a"); err != nil {
		t.Errorf("cancellation: %v", err)
	}
}
