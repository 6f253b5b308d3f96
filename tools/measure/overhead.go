package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/development"
	"dotterelhead.example/dotterelhead/standin"
)

const (
	overheadEntries = 3
	// overheadWarmUp is the number of requests before the measurement, which
	// opens the connections.
	overheadWarmUp = 300
	// overheadTarget is the most that the path may add at the median.
	overheadTarget = 1.0
	overheadReady  = 60 * time.Second
)

func overheadCommand() *cobra.Command {
	var requests int
	var service, output string
	command := &cobra.Command{
		Use:   "overhead",
		Short: "Measure the latency that the path adds on loopback",
		Long: `Starts three entry VMs with stand-ins in this process and sends requests in
turn directly to a backend server and through the entry VMs, one at a time.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			rows, err := measureOverhead(command.Context(), service, requests)
			if err != nil {
				return err
			}
			if output == "json" {
				return writeJSON(command.OutOrStdout(), rows)
			}
			return writeText(command.OutOrStdout(), rows)
		},
	}
	flags := command.Flags()
	flags.IntVar(&requests, "requests", 6000, "requests of each kind")
	flags.StringVar(&service, "service", "previews", "service of the example note")
	flags.StringVar(&output, "output", "text", "text or json")
	return command
}

func measureOverhead(ctx context.Context, service string, requests int) ([]Row, error) {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	backend := standin.NewBackend(standin.BackendOptions{ID: "direct"})
	if err := backend.Start(ctx); err != nil {
		return nil, err
	}
	defer backend.Close()
	port, err := freePorts(2 * overheadEntries)
	if err != nil {
		return nil, err
	}
	ended := make(chan error, 1)
	go func() {
		ended <- development.Run(ctx, development.Options{
			Entries: overheadEntries, LogLevel: "error",
			CallerListen:   net.JoinHostPort("127.0.0.1", strconv.Itoa(port)),
			OperatorListen: net.JoinHostPort("127.0.0.1", strconv.Itoa(port+overheadEntries)),
		})
	}()
	urls := make([]string, overheadEntries)
	for i := range urls {
		urls[i] = fmt.Sprintf("http://127.0.0.1:%d/v1/services/%s/overhead", port+i, service)
	}
	if err := awaitAnswers(ctx, urls, ended); err != nil {
		return nil, err
	}
	rows, err := compareLatency(ctx, "http://"+backend.Addr()+"/overhead", urls, requests)
	stop()
	<-ended
	return rows, err
}

// freePorts returns the first of n successive ports that are free. They lie
// below the range from which Linux takes the ports of outgoing connections.
func freePorts(n int) (int, error) {
	for port := 21000; port < 32000; port += n {
		free := true
		for i := range n {
			listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+i)))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.Errorf("no %d successive ports are free", n)
}

// awaitAnswers waits until each entry VM answers several times in a row.
func awaitAnswers(ctx context.Context, urls []string, ended <-chan error) error {
	ctx, cancel := context.WithTimeout(ctx, overheadReady)
	defer cancel()
	for answered := 0; answered < 10*len(urls); {
		if _, err := timedGet(ctx, urls[answered%len(urls)]); err == nil {
			answered++
			continue
		}
		answered = 0
		select {
		case err := <-ended:
			return errors.Wrap(err, "entry VMs ended")
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for answers")
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

func timedGet(ctx context.Context, url string) (time.Duration, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, err
	}
	if answer.StatusCode != http.StatusOK {
		return 0, errors.Errorf("GET %s: %s", url, answer.Status)
	}
	return time.Since(started), nil
}

// compareLatency alternates direct requests with requests through the entry
// VMs, so that both meet the same load of the machine.
func compareLatency(ctx context.Context, direct string, urls []string, requests int) ([]Row, error) {
	var base, path []float64
	for i := range overheadWarmUp + requests {
		d, err := timedGet(ctx, direct)
		if err != nil {
			return nil, err
		}
		p, err := timedGet(ctx, urls[i%len(urls)])
		if err != nil {
			return nil, err
		}
		if i >= overheadWarmUp {
			base, path = append(base, d.Seconds()*1000), append(path, p.Seconds()*1000)
		}
	}
	slices.Sort(base)
	slices.Sort(path)
	at := func(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }
	return []Row{
		row("overhead: added at the median", "ms", at(path, 0.5)-at(base, 0.5)).atMost(overheadTarget),
		row("overhead: latency, median", "ms", at(path, 0.5)).baseline(at(base, 0.5)),
		row("overhead: latency, p99", "ms", at(path, 0.99)).baseline(at(base, 0.99)),
	}, nil
}
