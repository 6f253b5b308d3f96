// Command dotterelhead is the command-line tool of operators. It checks and
// publishes release notes, shows the configuration in force, submits jobs, and
// explains from logs what happened to a job.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dotterelhead.example/dotterelhead/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, command.Options{
		Arguments: os.Args[1:],
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		Getenv:    os.Getenv,
	})
	stop()
	os.Exit(code)
}
