// Command dotterelhead is the operators' tool: it checks and publishes release
// notes and shows the configuration in force.
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
