package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/manifestcheck"
	"dotterelhead.example/dotterelhead/platform"
	"dotterelhead.example/dotterelhead/store"
)

func (t *tool) checkManifest() *cobra.Command {
	var against, storeAddress string
	var jobFiles []string
	c := &cobra.Command{
		Use:   "check-manifest FILE",
		Short: "Check a manifest before it is written to the store",
		Long: "Check a manifest before it is written to the store.\n\n" +
			"Exit codes: 0 no errors, 1 errors, 2 usage, 3 the store could not be read.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var jobs []*job.Job
			for _, file := range jobFiles {
				j, err := loadJob(file)
				if err != nil {
					return err
				}
				// The ID of a job that is not submitted is arbitrary.
				j.ID = file
				jobs = append(jobs, j)
			}
			file, err := readManifest(args[0])
			if err != nil {
				return err
			}
			var inForce *platform.ManifestFile
			switch {
			case against != "":
				inForce, err = readManifest(against)
			case storeAddress != "":
				inForce, err = t.readStoredManifest(c.Context(), storeAddress)
			}
			if err != nil {
				return err
			}
			return t.writeManifestFindings(args[0], manifestcheck.Check(file, jobs, inForce))
		},
	}
	t.addOutputFlag(c, "text", "json")
	c.Flags().StringVar(&against, "against", "", "file with the manifest in force, to compare with")
	c.Flags().StringVar(&storeAddress, "store", "", "compare with the manifest in the platform's store at this IP:port")
	c.Flags().StringSliceVar(&jobFiles, "job", nil, "job file, repeatable; warn of organisations whose cap never fits the job")
	c.MarkFlagsMutuallyExclusive("against", "store")
	return c
}

func readManifest(file string) (*platform.ManifestFile, error) {
	text, err := os.ReadFile(file)
	return platform.ReadManifestFile(file, text), errors.WithStack(err)
}

// readStoredManifest returns the manifest in a store, or nil if the store has none.
func (t *tool) readStoredManifest(ctx context.Context, address string) (*platform.ManifestFile, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	m, err := platform.ReadStoredManifest(ctx, platform.NewStore(address))
	if errors.Is(err, store.ErrNotFound) {
		fmt.Fprintf(t.Stderr, "store %s has no manifest to compare with\n", address)
		return nil, nil
	}
	if err != nil {
		return nil, exitError{ExitUnreachable, errors.Wrapf(err, "store %s", address)}
	}
	return m, nil
}

// writeManifestFindings prints the findings and returns an error if one of them is an error.
func (t *tool) writeManifestFindings(file string, list []manifestcheck.Finding) error {
	err := writeOutput(t.Stdout, t.output, list, func(w io.Writer, list []manifestcheck.Finding) {
		for _, f := range list {
			fmt.Fprintf(w, "%s:%d:%d: %s: %s\n", f.File, f.Line, f.Column, f.Severity, f.Message)
		}
		if len(list) == 0 {
			fmt.Fprintf(w, "%s: no findings\n", file)
		}
	})
	if err == nil && slices.ContainsFunc(list, func(f manifestcheck.Finding) bool { return f.Severity == manifestcheck.Error }) {
		return exitError{ExitFindings, errors.Errorf("%s has errors", file)}
	}
	return err
}
