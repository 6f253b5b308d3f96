package command

import (
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/intake"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/platform"
	"dotterelhead.example/dotterelhead/tomlfile"
)

// waitEvery is the pause between questions of job submit --wait.
const waitEvery = 100 * time.Millisecond

// jobFile is a job as users write it.
type jobFile struct {
	Spec  string     `toml:"spec"`
	Steps []stepFile `toml:"step"`
}

// stepFile is a step of a job. Times are in milliseconds.
type stepFile struct {
	Count          int    `toml:"count"`
	MilliCPU       int64  `toml:"milli_cpu"`
	MemoryMB       int64  `toml:"memory_mb"`
	GPU            int64  `toml:"gpu"`
	EstimateMs     int64  `toml:"estimate_ms"`
	After          []int  `toml:"after"`
	Gang           bool   `toml:"gang"`
	Label          string `toml:"label"`
	MaxPerWorker   int    `toml:"max_per_worker"`
	SavesProgress  bool   `toml:"saves_progress"`
	Speculative    bool   `toml:"speculative"`
	LongRunning    bool   `toml:"long_running"`
	MaxUnavailable int    `toml:"max_unavailable"`
}

func loadJob(file string) (*job.Job, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var f jobFile
	_, found, ok := tomlfile.Decode(file, text, &f)
	if err := found.Err(); err != nil || !ok {
		return nil, err
	}
	id := uuid.New()
	j := &job.Job{ID: hex.EncodeToString(id[:8]), Spec: f.Spec}
	for _, s := range f.Steps {
		j.Steps = append(j.Steps, job.Step{
			Count: s.Count, Needs: job.Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB, GPU: s.GPU},
			Estimate: time.Duration(s.EstimateMs) * time.Millisecond, After: s.After, Gang: s.Gang, Label: s.Label,
			MaxPerWorker: s.MaxPerWorker, SavesProgress: s.SavesProgress, Speculative: s.Speculative,
			LongRunning: s.LongRunning, MaxUnavailable: s.MaxUnavailable,
		})
	}
	var list findings.List
	for _, finding := range j.Check() {
		list.Add(findings.Position{File: file, Line: 1, Column: 1}, "%s", finding.Message)
	}
	return j, list.Err()
}

// jobs returns the commands about jobs.
func (t *tool) jobs() *cobra.Command {
	var entries []string
	var queue string
	c := &cobra.Command{Use: "job", Short: "Submit, show and cancel jobs"}
	c.PersistentFlags().StringSliceVar(&entries, "entry", []string{"127.0.0.1:8080"}, "address of an entry VM's caller listener, repeatable; tried in turn")
	c.PersistentFlags().StringVar(&queue, "queue", "", "the queue as HOST/PREFIX")
	run := func(f func(ctx context.Context, r *platform.Requester, argument string) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) error {
			r, err := platform.NewRequester(entries, queue)
			if err != nil {
				return err
			}
			argument := ""
			if len(args) > 0 {
				argument = args[0]
			}
			return jobError(f(c.Context(), r, argument))
		}
	}
	var id string
	var await bool
	submit := &cobra.Command{
		Use:   "submit JOB.toml",
		Short: "Submit a job and print its ID",
		Long:  "Submit a job and print its ID. Submitting it again with --id is safe: it remains one job.",
		Args:  cobra.ExactArgs(1),
		RunE: run(func(ctx context.Context, r *platform.Requester, file string) error {
			j, err := loadJob(file)
			if err != nil {
				return err
			}
			if id != "" {
				j.ID = id
			}
			if err := r.Submit(ctx, j); err != nil {
				return errors.Wrapf(err, "job %s", j.ID)
			}
			fmt.Fprintln(t.Stdout, j.ID)
			if await {
				return t.await(ctx, r, j.ID)
			}
			return nil
		}),
	}
	submit.Flags().StringVar(&id, "id", "", "the job's ID, 16 hexadecimal digits; drawn by default")
	submit.Flags().BoolVar(&await, "wait", false, "wait for the job's end")
	show := &cobra.Command{
		Use: "show ID", Short: "Show the state of a job", Args: cobra.ExactArgs(1),
		RunE: run(func(ctx context.Context, r *platform.Requester, id string) error {
			phase, err := r.Phase(ctx, id)
			if err != nil {
				return err
			}
			fmt.Fprintln(t.Stdout, phase)
			return nil
		}),
	}
	cancel := &cobra.Command{
		Use: "cancel ID", Short: "Cancel a job", Args: cobra.ExactArgs(1),
		RunE: run(func(ctx context.Context, r *platform.Requester, id string) error { return r.Cancel(ctx, id) }),
	}
	waiting := &cobra.Command{
		Use: "waiting", Short: "Print how many jobs of the queue wait for their first start", Args: cobra.NoArgs,
		RunE: run(func(ctx context.Context, r *platform.Requester, _ string) error {
			n, err := r.Waiting(ctx)
			if err != nil {
				return err
			}
			fmt.Fprintln(t.Stdout, n)
			return nil
		}),
	}
	c.AddCommand(submit, show, cancel, waiting)
	return c
}

func (t *tool) await(ctx context.Context, r *platform.Requester, id string) error {
	for {
		phase, err := r.Phase(ctx, id)
		if err != nil {
			return err
		}
		if phase.Final() {
			fmt.Fprintln(t.Stdout, phase)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitEvery):
		}
	}
}

// jobError gives an error its exit code.
func jobError(err error) error {
	switch {
	case errors.Is(err, intake.ErrUnknown), errors.Is(err, intake.ErrNotAccepted):
		return exitError{ExitUnreachable, err}
	case errors.Is(err, intake.ErrNoJob):
		return exitError{ExitFindings, err}
	}
	return err
}
