package command

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dotterelhead.example/dotterelhead/joblog"
)

// Size of the plotted image.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// explain returns the command that explains from logs what happened to a job.
func (t *tool) explain() *cobra.Command {
	var files []string
	var plotFile string
	c := &cobra.Command{
		Use:   "explain [ID] --log FILE...",
		Short: "Explain from the logs of entry VMs what happened to a job, or plot the cores and VMs of the pools",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readLogs(files)
			if err != nil {
				return err
			}
			if plotFile != "" {
				if err := plotPools(lines, plotFile); err != nil {
					return err
				}
			}
			if len(args) == 0 {
				return nil
			}
			timeline := joblog.BuildTimeline(lines, args[0])
			if len(timeline.Lines) == 0 {
				return exitError{ExitFindings, errors.Errorf("no line of the logs mentions job %s", args[0])}
			}
			t.printTimeline(timeline)
			return nil
		},
	}
	c.Flags().StringSliceVar(&files, "log", nil, "log of an entry VM, repeatable")
	c.Flags().StringVar(&plotFile, "plot", "", "write a plot of cores in use, cores waited for, and VMs of each pool to this PNG file")
	return c
}

func readLogs(files []string) ([]joblog.Line, error) {
	if len(files) == 0 {
		return nil, errors.New("no log files given; name them with --log")
	}
	var readers []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return joblog.Read(readers...)
}

func (t *tool) printTimeline(timeline joblog.Timeline) {
	for _, l := range mergeByTime(timeline.Lines, timeline.RelatedLines) {
		fmt.Fprintln(t.Stdout, l)
	}
	fmt.Fprintf(t.Stdout, "\njob %s: ", timeline.Job)
	switch {
	case timeline.Outcome != "":
		fmt.Fprintln(t.Stdout, timeline.Outcome)
	case timeline.Accepted.IsZero():
		fmt.Fprintln(t.Stdout, "not accepted, as far as these logs tell")
	default:
		fmt.Fprintln(t.Stdout, "not finished, as far as these logs tell")
	}
	printDuration := func(name string, from, to time.Time) {
		if !from.IsZero() && !to.IsZero() {
			fmt.Fprintf(t.Stdout, "  %-42s %v\n", name, to.Sub(from).Round(time.Millisecond))
		}
	}
	printDuration("accepted to first start", timeline.Accepted, timeline.FirstPlaced)
	printDuration("first start to last end of a run", timeline.FirstPlaced, timeline.LastEnded)
	printDuration("accepted to finished", timeline.Accepted, timeline.Finished)
	fmt.Fprintf(t.Stdout, "  %-42s %v\n", "items waited for room, all together", timeline.WaitTime)
	fmt.Fprintf(t.Stdout, "  %-42s %v\n", "runs that were done, all together", timeline.RunTime)
	fmt.Fprintf(t.Stdout, "  %-42s %v\n", "runs that were lost or failed, all together", timeline.LostTime)
}

func mergeByTime(a, b []joblog.Line) []joblog.Line {
	all := append(slices.Clone(a), b...)
	slices.SortStableFunc(all, func(x, y joblog.Line) int { return x.Time.Compare(y.Time) })
	return all
}

// plotPools plots for each pool the cores in use, the cores that work items wait
// for, and the number of VMs.
func plotPools(lines []joblog.Line, file string) error {
	pools := joblog.Pools(lines)
	if len(pools) == 0 {
		return errors.New("the logs contain no event=pool_state; pass the log of the entry VM that owns the jobs")
	}
	var start time.Time
	for _, samples := range pools {
		if start.IsZero() || samples[0].Time.Before(start) {
			start = samples[0].Time
		}
	}
	p := plot.New()
	p.Title.Text = "Pools"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "cores, VMs"
	var names []string
	for name := range pools {
		names = append(names, name)
	}
	slices.Sort(names)
	var series []any
	for _, name := range names {
		var used, waiting, vms plotter.XYs
		for _, s := range pools[name] {
			x := s.Time.Sub(start).Seconds()
			used = append(used, plotter.XY{X: x, Y: s.Used})
			waiting = append(waiting, plotter.XY{X: x, Y: s.Waiting})
			vms = append(vms, plotter.XY{X: x, Y: s.VMs})
		}
		series = append(series, name+" used", used, name+" waiting", waiting, name+" VMs", vms)
	}
	if err := plotutil.AddLines(p, series...); err != nil {
		return errors.WithStack(err)
	}
	p.Legend.Top = true
	return errors.WithStack(p.Save(plotWidth, plotHeight, file))
}
