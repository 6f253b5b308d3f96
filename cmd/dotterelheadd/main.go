// Command dotterelheadd runs one entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/daemon"
	"dotterelhead.example/dotterelhead/development"
	"dotterelhead.example/dotterelhead/jobserver"
	"dotterelhead.example/dotterelhead/settings"
	"dotterelhead.example/dotterelhead/telemetry"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// telemetryTimeout bounds the export of the remaining spans at shutdown.
const telemetryTimeout = 3 * time.Second

// failure is an error other than wrong usage of the command line, for example
// findings in the settings file. The process then exits with exitFailed.
type failure struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.As(err, new(failure)) {
		os.Exit(exitFailed)
	}
	os.Exit(exitUsage)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "dotterelheadd",
		Short:         "Entry VM of dotterelhead, the fleet capacity and maintenance manager",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), jobsCommand(), checkConfigCommand(), devCommand())
	return root
}

func configFlag(c *cobra.Command, file *string) *cobra.Command {
	c.Flags().StringVar(file, "config", "", "settings file of the entry VM (TOML)")
	if err := c.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return c
}

func serveCommand() *cobra.Command {
	var file string
	return configFlag(&cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run one entry VM until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, found := settings.LoadWithFiles(file)
			if err := found.Err(); err != nil {
				return failure{err}
			}
			if err := serve(c.Context(), *s); err != nil {
				return failure{err}
			}
			return nil
		},
	}, &file)
}

func serve(ctx context.Context, s settings.Settings) error {
	tel, err := telemetry.New(telemetry.Options{
		InstanceID: s.ID, LogLevel: s.LogLevel, Global: true,
		TraceExporter: s.Tracing.Exporter, OTLPEndpoint: s.Tracing.Endpoint,
	})
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), telemetryTimeout)
		defer cancel()
		if err := tel.Shutdown(ctx); err != nil {
			tel.Log.Warn().Str("event", "telemetry_shutdown").Err(err).Msg("")
		}
	}()
	entry, err := daemon.New(daemon.Options{
		Settings: s, Log: tel.Log, Scope: tel.Scope, Metrics: tel.MetricsHandler, TracerProvider: tel.TracerProvider,
	})
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}

func jobsCommand() *cobra.Command {
	var file string
	return configFlag(&cobra.Command{
		Use:   "jobs --config FILE",
		Short: "Run one entry VM of the job service until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, found := jobserver.LoadSettings(file)
			if err := found.Err(); err != nil {
				return failure{err}
			}
			out := telemetry.NewBufferedWriter(os.Stdout)
			defer out.Close(time.Second)
			tel, err := telemetry.New(telemetry.Options{InstanceID: s.Node, LogLevel: s.LogLevel, LogWriter: out})
			if err != nil {
				return failure{err}
			}
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			server := jobserver.New(jobserver.Options{
				Settings: *s, File: file, Reload: reload, Log: tel.Log, Scope: tel.Scope, Metrics: tel.MetricsHandler,
				DroppedLines: out.Dropped,
			})
			if err := server.Run(c.Context()); err != nil {
				return failure{err}
			}
			return nil
		},
	}, &file)
}

func checkConfigCommand() *cobra.Command {
	var file string
	return configFlag(&cobra.Command{
		Use:   "check-config --config FILE",
		Short: "Report every finding in a settings file",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if _, found := settings.Load(file); found.Err() != nil {
				return failure{found.Err()}
			}
			return nil
		},
	}, &file)
}

func devCommand() *cobra.Command {
	var options development.Options
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run entry VMs, stand-ins and an example note in one process",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := development.Run(c.Context(), options); err != nil {
				return failure{err}
			}
			return nil
		},
	}
	c.AddCommand(&cobra.Command{
		Use:   "jobs",
		Short: "Run the job service with a stand-in of the users' platform in one process",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := development.RunJobs(c.Context(), options); err != nil {
				return failure{err}
			}
			return nil
		},
	})
	c.PersistentFlags().IntVar(&options.Entries, "entries", 3, "number of entry VMs")
	c.PersistentFlags().StringVar(&options.CallerListen, "caller-listen", "127.0.0.1:8080", "caller listener of the first entry VM; entry i listens on port + i")
	c.Flags().StringVar(&options.OperatorListen, "operator-listen", "127.0.0.1:8090", "operator listener of the first entry VM; entry i listens on port + i")
	c.PersistentFlags().StringVar(&options.LogLevel, "log-level", "info", "trace, debug, info, warn or error")
	return c
}
