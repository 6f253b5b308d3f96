// Command standin runs the stand-in platform or a stand-in backend server.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/telemetry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		os.Exit(2)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins of the systems that dotterelhead depends on",
		Long: `Stand-ins of the platform and of a backend server. Flags set the initial faults;
the admin API under /standin/ changes them at run time.`,
		SilenceUsage: true,
	}
	root.AddCommand(platformCommand(), backendCommand())
	return root
}

func newLogger() *telemetry.Logger {
	l, err := telemetry.NewLogger(telemetry.LoggerOptions{Writer: os.Stdout})
	if err != nil {
		panic(err)
	}
	return l
}
