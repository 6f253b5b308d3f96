// Package command implements dotterelhead, the command-line tool of operators.
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/operator"
)

// Exit codes.
const (
	ExitDone = 0
	// ExitFindings reports findings in a note or a job file, a conflict with
	// notes published after the base revision of the note, or an unknown job.
	ExitFindings = 1
	ExitUsage    = 2
	// ExitUnreachable reports that neither an entry VM nor the store gave a
	// conclusive response, or that a job was not accepted. The error message
	// states whether the request may have taken effect.
	ExitUnreachable = 3
)

// operatorVariable is the environment variable that holds the operator addresses,
// separated by commas.
const operatorVariable = "DOTTERELHEAD_OPERATOR"

// defaultOperator is the default address of an entry VM's operator listener.
const defaultOperator = "127.0.0.1:8090"

// Options configures a run of the tool.
type Options struct {
	Arguments      []string
	Stdout, Stderr io.Writer
	Getenv         func(string) string
}

// exitError is an error with the exit code for it.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

func (e exitError) Unwrap() error { return e.err }

// Run runs the tool and returns its exit code.
func Run(ctx context.Context, opts Options) int {
	t := &tool{Options: opts}
	root := t.root()
	root.SetArgs(opts.Arguments)
	root.SetOut(opts.Stdout)
	root.SetErr(opts.Stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitDone
	}
	var list findings.List
	if errors.As(err, &list) {
		fmt.Fprintln(opts.Stdout, list.Error())
		return ExitFindings
	}
	fmt.Fprintln(opts.Stderr, "dotterelhead:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}

// tool holds the options and the values of the flags.
type tool struct {
	Options
	operators []string
	tokenFile string
	caFile    string
	timeout   time.Duration
	output    string
	limit     int
}

func (t *tool) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "dotterelhead",
		Short: "Check and publish release notes, show the configuration and status, and manage jobs",
		Long: "Check and publish release notes, show the configuration and status, and manage jobs.\n\n" +
			"Exit codes: 0 done, 1 findings or a conflict, 2 usage, 3 could not be reached or outcome not known.",
		SilenceErrors:     true,
		SilenceUsage:      true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		Args:              cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return errors.New("a command is missing, see --help")
		},
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&t.operators, "operator", nil,
		"address of an entry VM's operator listener, repeatable; tried in turn (default $"+operatorVariable+" or "+defaultOperator+")")
	flags.StringVar(&t.tokenFile, "token-file", "", "file with the operator token")
	flags.StringVar(&t.caFile, "ca", "", "PEM file with the CA of the operator listeners; implies https")
	flags.DurationVar(&t.timeout, "timeout", 8*time.Second, "time to wait for each entry VM")
	root.AddCommand(t.check(), t.publish(), t.show(), t.history(), t.status(), t.job(), t.explain())
	return root
}

func (t *tool) addOutputFlag(c *cobra.Command, formats ...string) {
	c.Flags().StringVar(&t.output, "output", formats[0], strings.Join(formats, "|"))
	c.PreRunE = func(*cobra.Command, []string) error {
		for _, format := range formats {
			if t.output == format {
				return nil
			}
		}
		return errors.Errorf("--output %s is not one of %s", t.output, strings.Join(formats, ", "))
	}
}

func (t *tool) check() *cobra.Command {
	return &cobra.Command{
		Use:   "check NOTE.toml",
		Short: "Check a note without contacting an entry VM",
		Long: "Check a note without contacting an entry VM. A note with base 0 is also\n" +
			"applied to the empty configuration.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := readNote(args[0])
			if err != nil {
				return err
			}
			n, found := note.Parse(args[0], text)
			if n != nil && n.Base == 0 {
				var config note.Config
				if config, found = note.Apply(config, n); len(found) == 0 {
					found = config.CheckSize(n)
				}
			}
			if err := found.Err(); err != nil {
				return err
			}
			fmt.Fprintf(t.Stdout, "%s: no findings\n", args[0])
			return nil
		},
	}
}

// readNote reads at most one byte more than the maximum size of a note, which is
// enough to detect a note that is too large.
func readNote(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, note.MaxNoteBytes+1))
}

func (t *tool) publish() *cobra.Command {
	return &cobra.Command{
		Use:   "publish NOTE.toml",
		Short: "Publish a note",
		Long:  "Publish a note. Publishing the same file again is safe: it returns the revision it got.",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readNote(args[0])
			if err != nil {
				return err
			}
			var response operator.PublishResponse
			if err := t.call(c.Context(), http.MethodPost, "/v1/notes", text, &response); err != nil {
				return withFilePositions(args[0], err)
			}
			if response.Repeated {
				fmt.Fprintf(t.Stdout, "accepted before as revision %d\n", response.Revision)
			} else {
				fmt.Fprintf(t.Stdout, "accepted as revision %d\n", response.Revision)
			}
			return nil
		},
	}
}

// withFilePositions converts the findings in the response of an entry VM into findings
// with positions in file. Other errors are returned unchanged.
func withFilePositions(file string, err error) error {
	var problem problemError
	if !errors.As(err, &problem) {
		return err
	}
	var list findings.List
	for _, f := range problem.Findings {
		list = append(list, findings.Finding{
			Position: findings.Position{File: file, Line: f.Line, Column: f.Column},
			Message:  f.Message,
			Conflict: f.Conflict,
		})
	}
	if problem.Status == http.StatusRequestEntityTooLarge {
		list.Add(findings.Position{File: file}, "%s: %s", problem.Title, problem.Detail)
	}
	if len(list) > 0 {
		return list
	}
	return err
}

func (t *tool) show() *cobra.Command {
	c := &cobra.Command{
		Use:   "show",
		Short: "Show the configuration in force",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var response operator.ConfigResponse
			if err := t.call(c.Context(), http.MethodGet, "/v1/config", nil, &response); err != nil {
				return err
			}
			return writeOutput(t.Stdout, t.output, response, writeConfig)
		},
	}
	t.addOutputFlag(c, "text", "json", "toml")
	return c
}

func (t *tool) history() *cobra.Command {
	c := &cobra.Command{
		Use:   "history",
		Short: "List accepted notes, the newest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var response operator.HistoryResponse
			path := fmt.Sprintf("/v1/history?limit=%d", t.limit)
			if t.output == "json" {
				path += "&text=true"
			}
			if err := t.call(c.Context(), http.MethodGet, path, nil, &response); err != nil {
				return err
			}
			return writeOutput(t.Stdout, t.output, response, writeHistory)
		},
	}
	t.addOutputFlag(c, "text", "json")
	c.Flags().IntVar(&t.limit, "limit", 20, "number of notes, at most 100")
	return c
}

func (t *tool) status() *cobra.Command {
	var storeAddress string
	c := &cobra.Command{
		Use:   "status",
		Short: "Show pools, VMs that do not serve, waves and availability budgets, or the jobs in a store",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if storeAddress != "" {
				return t.jobStatus(c.Context(), storeAddress)
			}
			var response operator.StatusResponse
			if err := t.call(c.Context(), http.MethodGet, "/v1/status", nil, &response); err != nil {
				return err
			}
			return writeOutput(t.Stdout, t.output, response, writeStatus)
		},
	}
	t.addOutputFlag(c, "text", "json")
	c.Flags().StringVar(&storeAddress, "store", "", "show the jobs in the platform's store at this IP:port instead")
	return c
}

// call sends a request to the entry VMs named by the flags or the environment and
// adds the exit code to an error.
func (t *tool) call(ctx context.Context, method, path string, body []byte, response any) error {
	client, err := newClient(t.addresses(), t.tokenFile, t.caFile, t.timeout)
	if err != nil {
		return err
	}
	defer client.http.CloseIdleConnections()
	err = client.call(ctx, method, path, body, response)
	var (
		inconclusive *inconclusiveError
		problem      problemError
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &inconclusive):
		message := "no entry VM could be reached"
		if inconclusive.mayHaveTakenEffect && method == http.MethodPost {
			message = "the outcome is not known; publishing the same note again is safe"
		}
		return exitError{ExitUnreachable, errors.WithMessage(err, message)}
	case !errors.As(err, &problem):
		return exitError{ExitUnreachable, err}
	case problem.Status == http.StatusUnauthorized, problem.Status == http.StatusForbidden:
		return exitError{ExitUsage, problem}
	case problem.Status == http.StatusBadRequest && method == http.MethodGet:
		return exitError{ExitUsage, problem}
	case problem.Status == http.StatusConflict, problem.Status == http.StatusUnprocessableEntity,
		problem.Status == http.StatusRequestEntityTooLarge:
		return exitError{ExitFindings, problem}
	default:
		return exitError{ExitUnreachable, problem}
	}
}

func (t *tool) addresses() []string {
	if len(t.operators) > 0 {
		return t.operators
	}
	var addresses []string
	for _, address := range strings.Split(t.Getenv(operatorVariable), ",") {
		if address = strings.TrimSpace(address); address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		addresses = []string{defaultOperator}
	}
	return addresses
}
