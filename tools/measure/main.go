// Command measure prints measurements with their baselines, bounds and targets.
// The subcommands decisions and jobs run the scheduling code of the daemons in
// virtual time, except that they measure the duration of scheduling rounds in
// real time; overhead and capacity run entry VMs on loopback. The subcommand
// capacity measures the cost of entry VMs, the part capacity of decisions the
// moves of VMs between pools.
package main

import (
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/tools/measure/sizing"
)

func main() {
	root := &cobra.Command{Use: "measure", Short: "Measure the decisions of dotterelhead", SilenceUsage: true}
	root.AddCommand(decisionsCommand(), jobsCommand(), overheadCommand(), sizing.Command())
	if root.Execute() != nil {
		os.Exit(1)
	}
}

func decisionsCommand() *cobra.Command {
	var s scenario
	var output string
	command := &cobra.Command{
		Use:   "decisions",
		Short: "Run the decision packages in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := s.validate(); err != nil {
				return err
			}
			rows, err := measureDecisions(s)
			if err != nil {
				return err
			}
			switch output {
			case "text":
				return writeText(command.OutOrStdout(), rows)
			case "json":
				return writeJSON(command.OutOrStdout(), rows)
			}
			return errors.Errorf("unknown output %q: use text or json", output)
		},
	}
	flags := command.Flags()
	flags.StringVar(&s.Deployment, "deployment", "etikettwerk", "deployment: etikettwerk or mas-trunk")
	flags.Uint64Var(&s.Seed, "seed", 1, "seed of the workload")
	flags.BoolVar(&s.Quick, "quick", false, "shorter workload, ends within 30 s")
	flags.StringVar(&output, "output", "text", "text or json")
	flags.StringVar(&s.Plots, "plots", "", "directory for plots")
	flags.StringSliceVar(&s.Only, "only", nil, "measure only these parts: "+strings.Join(partNames(), ", "))
	return command
}
