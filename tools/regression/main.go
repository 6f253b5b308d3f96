// Command regression plays the quick days of the listed deployments on the users'
// bench and compares their scores with the recorded ones. It ends with exit code
// 1 if a deployment fails the bench's gate, or scores less than its recorded
// figure by more than the bench's noise.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// noise is the change of a score below which the bench speaks of noise, because
// it measures processor time.
const noise = 0.03

// deployment is one entry of the list.
type deployment struct {
	// File is the deployment's file, relative to the directory of the bench's
	// pages.
	File string `toml:"file"`
	// Score is the recorded quick score.
	Score float64 `toml:"score"`
}

type options struct {
	list, bench, files, why string
	jobs                    int
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "regression:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "regression --bench FILE --files DIR", Short: "Compares the quick scores of the listed deployments with the recorded ones",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error { return run(c.Context(), o, c.OutOrStdout(), o.play) },
	}
	c.Flags().StringVar(&o.list, "list", "deploy/regression.toml", "list of deployments with their recorded scores")
	c.Flags().StringVar(&o.bench, "bench", "", "the bench's program")
	c.Flags().StringVar(&o.files, "files", "", "directory to which the files in the list are relative")
	c.Flags().StringVar(&o.why, "why", "regression run", "line for the bench's journal")
	c.Flags().IntVar(&o.jobs, "jobs", 3, "number of cores to use")
	for _, name := range []string{"bench", "files"} {
		_ = c.MarkFlagRequired(name)
	}
	return c
}

// play scores a deployment on the bench and returns what the bench printed.
func (o options) play(ctx context.Context, file string) ([]byte, error) {
	//nolint:gosec // The caller names the program.
	c := exec.CommandContext(ctx, o.bench, "score", filepath.Join(o.files, file), "--quick", "--jobs", strconv.Itoa(o.jobs), "--why", o.why)
	output, err := c.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		// The bench's exit code does not matter: the output tells of a failed gate.
		err = nil
	}
	return output, errors.Wrapf(err, "run %s", o.bench)
}

// run plays all listed deployments, writes a row for each, and returns an error
// that names those that are worse than recorded.
func run(ctx context.Context, o options, out io.Writer, play func(ctx context.Context, file string) ([]byte, error)) error {
	deployments, err := readList(o.list)
	if err != nil {
		return err
	}
	var worse []string
	for _, d := range deployments {
		output, err := play(ctx, d.File)
		if err != nil {
			return err
		}
		r, err := parse(output)
		if err != nil {
			return errors.Wrapf(err, "%s, which printed:\n%s", d.File, output)
		}
		verdict := r.verdict(d.Score)
		fmt.Fprintf(out, "%-48s recorded %.3f  measured %.3f  %s\n", d.File, d.Score, r.score, verdict)
		if verdict != verdictHeld {
			worse = append(worse, d.File+": "+verdict)
		}
	}
	if len(worse) > 0 {
		return errors.Errorf("%d of %d deployments do not hold what they had reached: %v", len(worse), len(deployments), worse)
	}
	return nil
}

func readList(file string) ([]deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var list struct {
		Deployments []deployment `toml:"deployment"`
	}
	if err := toml.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrapf(err, "decode %s", file)
	}
	if len(list.Deployments) == 0 {
		return nil, errors.Errorf("%s lists no deployment", file)
	}
	return list.Deployments, nil
}
