// Package sizing measures how the cost of entry VMs grows with the size of a
// region, for docs/CAPACITY.md.
package sizing

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// Row is one line of the table. The fields of the first block are the same in
// all subcommands of measure and are null where they do not apply.
type Row struct {
	Measure  string   `json:"measure"`
	Unit     string   `json:"unit"`
	Value    float64  `json:"value"`
	Baseline *float64 `json:"baseline"`
	Bound    *float64 `json:"bound"`
	Target   *float64 `json:"target"`
	Met      *bool    `json:"met"`

	// Fit is set when Value is a slope.
	Fit *Fit `json:"fit,omitempty"`
}

// Fit is the least-squares line behind a slope.
type Fit struct {
	Per       string    `json:"per"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Intercept float64   `json:"intercept"`
	R2        float64   `json:"r2"`
	// Exponent is the slope in a log-log plot; set for processor times only.
	Exponent float64 `json:"exponent,omitempty"`
	// Repeat is the slope of a second measurement and Spread its relative
	// difference.
	Repeat float64 `json:"repeat"`
	Spread float64 `json:"spread"`
}

// Command returns the subcommand capacity, which runs regions of several sizes
// on loopback and fits their cost in bytes, calls, memory and processor time.
func Command() *cobra.Command {
	var quick bool
	var output string
	command := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how the cost of entry VMs grows with the fleet",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if output != "text" && output != "json" {
				return errors.Errorf("unknown output %q: use text or json", output)
			}
			m := &measurement{quick: quick}
			if err := m.run(command.Context()); err != nil {
				return err
			}
			if output == "json" {
				encoder := json.NewEncoder(command.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(m.rows)
			}
			return writeText(command.OutOrStdout(), m.rows)
		},
	}
	command.Flags().BoolVar(&quick, "quick", false, "shorter and fewer runs, ends within 30 s")
	command.Flags().StringVar(&output, "output", "text", "text or json")
	return command
}

func writeText(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "measure\tunit\tvalue\tat zero\tR2\texponent\tspread\ttarget\tmet")
	for _, r := range rows {
		zero, r2, power, spread, target, met := "-", "-", "-", "-", "-", "-"
		if r.Fit != nil {
			zero = fmt.Sprintf("%.4g", r.Fit.Intercept)
			r2 = fmt.Sprintf("%.4f", r.Fit.R2)
			if r.Fit.Exponent != 0 {
				power = fmt.Sprintf("%.2f", r.Fit.Exponent)
			}
			spread = fmt.Sprintf("%.1f%%", 100*r.Fit.Spread)
		}
		if r.Target != nil {
			target, met = fmt.Sprintf("%.4g", *r.Target), fmt.Sprint(*r.Met)
		}
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Measure, r.Unit, r.Value, zero, r2, power, spread, target, met)
	}
	return table.Flush()
}

// measurement collects the rows of one run.
type measurement struct {
	quick bool
	rows  []Row
}

// flatThreshold is the relative change over all sizes below which a series
// counts as constant.
const flatThreshold = 0.01

// series is a value measured twice at each of several sizes.
type series struct{ first, second []point }

func (s *series) add(x, first, second float64) {
	s.first = append(s.first, point{x, first})
	s.second = append(s.second, point{x, second})
}

// addFit fits a line to a series, adds a row with its slope, and returns the
// line.
func (m *measurement) addFit(measure, unit, per string, s series) line {
	l, again := fit(s.first), fit(s.second)
	f := &Fit{Per: per, Intercept: l.intercept, R2: l.r2, Repeat: again.slope, Spread: spread(l.slope, again.slope)}
	if flat := max(l.relativeChange(s.first), again.relativeChange(s.second)); flat < flatThreshold {
		// The relative difference of two slopes near zero has no meaning.
		f.Spread = flat
	}
	for _, p := range s.first {
		f.Sizes, f.Values = append(f.Sizes, p.x), append(f.Values, p.y)
	}
	if unit == "us" {
		f.Exponent = exponent(s.first)
	}
	m.rows = append(m.rows, Row{Measure: measure, Unit: unit + " per " + per, Value: l.slope, Fit: f})
	return l
}

func (m *measurement) run(ctx context.Context) error {
	all := lines{documents: m.fitDocumentSizes(), memory: m.fitMemory(), processor: m.fitProcessorTimes()}
	if m.quick {
		if err := m.measureConcurrently(ctx, &all); err != nil {
			return err
		}
		m.checkBudgets(all)
		return nil
	}
	var err error
	if all.callers, err = m.fitCallers(ctx); err != nil {
		return err
	}
	if all.keyMemory, err = m.keyMemory(ctx); err != nil {
		return err
	}
	if all.region, err = m.fitRegions(ctx); err != nil {
		return err
	}
	m.checkBudgets(all)
	return nil
}

// measureConcurrently runs the sweeps over callers and regions at the same time.
// Their processor times and memory are not reported then, because those are the
// figures of the whole process.
func (m *measurement) measureConcurrently(ctx context.Context, all *lines) error {
	callers, regions := &measurement{quick: true}, &measurement{quick: true}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		all.callers, err = callers.fitCallers(ctx)
		return err
	})
	group.Go(func() (err error) {
		all.region, err = regions.fitRegions(ctx)
		return err
	})
	err := group.Wait()
	m.rows = append(append(m.rows, callers.rows...), regions.rows...)
	return err
}
