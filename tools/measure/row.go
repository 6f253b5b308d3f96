package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Row is one line of the table. Baseline, Bound, Target and Met are null where
// they do not apply.
type Row struct {
	Measure  string   `json:"measure"`
	Unit     string   `json:"unit"`
	Value    float64  `json:"value"`
	Baseline *float64 `json:"baseline"`
	Bound    *float64 `json:"bound"`
	Target   *float64 `json:"target"`
	Met      *bool    `json:"met"`
}

func row(measure, unit string, value float64) Row {
	return Row{Measure: measure, Unit: unit, Value: value}
}

func (r Row) baseline(v float64) Row { r.Baseline = &v; return r }
func (r Row) bound(v float64) Row    { r.Bound = &v; return r }

// atMost sets the target, which is met when the value does not exceed it.
func (r Row) atMost(target float64) Row {
	met := r.Value <= target
	r.Target, r.Met = &target, &met
	return r
}

func writeJSON(w io.Writer, rows []Row) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(rows)
}

func writeText(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "measure\tunit\tvalue\tbaseline\tbound\ttarget\tmet")
	for _, r := range rows {
		met := "-"
		if r.Met != nil {
			met = fmt.Sprint(*r.Met)
		}
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%s\t%s\t%s\t%s\n",
			r.Measure, r.Unit, r.Value, formatOptional(r.Baseline), formatOptional(r.Bound), formatOptional(r.Target), met)
	}
	return table.Flush()
}

func formatOptional(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *v)
}
