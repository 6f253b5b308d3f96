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
	// overheadTargetMillis limits the median latency that an entry VM may add
	// to a request, in milliseconds.
	overheadTargetMillis = 1.0
	overheadReadyTimeout = 60 * time.Second
)

func overheadCommand() *cobra.Command {
	var requests int
	var service, output string
	command := &cobra.Command{
		Use:   "overhead",
		Short: "Measure the latency that entry VMs add to requests on loopback",
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
	if err := awaitReady(ctx, urls, ended); err != nil {
		return nil, err
	}
	rows, err := compareLatency(ctx, "http://"+backend.Addr()+"/overhead", urls, requests)
	stop()
	<-ended
	return rows, err
}

// freePorts returns the first of n successive free ports below the range from
// which Linux assigns ports to outgoing connections.
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
	return 0, errors.Errorf("no %d successive ports are free between 21000 and 32000", n)
}

// awaitReady waits until each entry VM has answered ten requests, without a
// failed request in between.
func awaitReady(ctx context.Context, urls []string, ended <-chan error) error {
	ctx, cancel := context.WithTimeout(ctx, overheadReadyTimeout)
	defer cancel()
	for answered := 0; answered < 10*len(urls); {
		if _, err := timedGet(ctx, urls[answered%len(urls)]); err == nil {
			answered++
			continue
		}
		answered = 0
		select {
		case err := <-ended:
			return errors.Wrap(err, "entry VMs stopped before they were ready")
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the entry VMs to answer")
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
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("GET %s: %s", url, response.Status)
	}
	return time.Since(started), nil
}

// compareLatency alternates direct requests with requests through the entry
// VMs, so that the load of the machine affects both equally.
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
		row("overhead: added at the median", "ms", at(path, 0.5)-at(base, 0.5)).atMost(overheadTargetMillis),
		row("overhead: latency, median", "ms", at(path, 0.5)).baseline(at(base, 0.5)),
		row("overhead: latency, p99", "ms", at(path, 0.99)).baseline(at(base, 0.99)),
	}, nil
}
