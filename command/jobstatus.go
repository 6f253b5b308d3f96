package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/platform"
)

// jobStatus shows the jobs in the platform's store. It reads the store directly, so
// it works without a running entry VM.
func (t *tool) jobStatus(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	status, err := jobstore.ReadStatus(ctx, platform.NewStore(address))
	if err != nil {
		return exitError{ExitUnreachable, errors.Wrapf(err, "store %s", address)}
	}
	return writeOutput(t.Stdout, t.output, status, writeJobStatus)
}

func writeJobStatus(w io.Writer, s jobstore.Status) {
	if s.Owner == nil {
		fmt.Fprintln(w, "no owner")
	} else {
		fmt.Fprintf(w, "owner %s, term %d\n", s.Owner.Node, s.Owner.Term)
	}
	fmt.Fprintf(w, "\nphase\tjobs\n")
	for _, phase := range []job.Phase{job.Queued, job.Running, job.Completed, job.Failed, job.Cancelled} {
		fmt.Fprintf(w, "%s\t%d\n", phase, s.Phases[phase])
	}
	if len(s.Waiting) > 0 {
		fmt.Fprintf(w, "\nqueue\twaiting\n")
	}
	for _, queue := range slices.Sorted(maps.Keys(s.Waiting)) {
		fmt.Fprintf(w, "%s\t%d\n", queue, s.Waiting[queue])
	}
	if len(s.WaveVMs) > 0 {
		fmt.Fprintf(w, "\nwave\tvms_done\n")
	}
	for _, wave := range slices.Sorted(maps.Keys(s.WaveVMs)) {
		fmt.Fprintf(w, "%d\t%d\n", wave, s.WaveVMs[wave])
	}
}
