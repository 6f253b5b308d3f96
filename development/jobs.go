package development

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"dotterelhead.example/dotterelhead/jobserver"
	"dotterelhead.example/dotterelhead/standin/jobplatform"
	"dotterelhead.example/dotterelhead/telemetry"
)

// JobQueue is the queue that RunJobs serves, in the format HOST/PREFIX of the flag
// --queue.
const JobQueue = "dev.example/previews/"

// RunJobs runs the job service in one process until ctx ends. It consists of a
// stand-in for the users' platform, with two pools and a spare pool, and several
// entry VMs.
func RunJobs(ctx context.Context, options Options) error {
	if options.Entries < 1 {
		return errors.New("--entries must be at least 1")
	}
	p, err := jobplatform.Start(jobplatform.Options{Pools: map[string]int{"artwork": 4, "nesting": 4, "spare": 4}, SparePool: "spare"})
	if err != nil {
		return err
	}
	defer p.Close()
	if err := p.Publish("op/config", jobplatform.Manifest(1, []jobplatform.Route{
		{Name: "previews", Host: "dev.example", Prefix: "/previews/", Service: "artwork"},
		{Name: "nesting", Host: "dev.example", Prefix: "/nesting/", Service: "nesting"},
	}, []string{"artwork", "nesting"}, "spare")); err != nil {
		return err
	}
	host, text, err := net.SplitHostPort(options.CallerListen)
	if err != nil {
		return errors.Wrap(err, "--caller-listen")
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return errors.Wrap(err, "--caller-listen")
	}
	group, ctx := errgroup.WithContext(ctx)
	for i := range options.Entries {
		if err := runJobEntry(ctx, group, options, p.Addr(), host, port+i, i); err != nil {
			return err
		}
	}
	log, err := telemetry.NewLogger(telemetry.LoggerOptions{Level: options.LogLevel})
	if err != nil {
		return err
	}
	group.Go(func() error {
		if !awaitOwner(ctx, p) {
			return nil
		}
		log.Info().Str("event", "ready").Str("callers", options.CallerListen).Str("queue", JobQueue).Str("store", p.Addr()).Msg("")
		return nil
	})
	return group.Wait()
}

func runJobEntry(ctx context.Context, group *errgroup.Group, options Options, platform, host string, port, i int) error {
	id := "entry-" + strconv.Itoa(i)
	tel, err := telemetry.New(telemetry.Options{InstanceID: id, LogLevel: options.LogLevel})
	if err != nil {
		return err
	}
	s := jobserver.DefaultSettings()
	s.Node, s.AvailabilityZone = id, "zone-a"
	s.CallerListen, s.ReadyListen = net.JoinHostPort(host, strconv.Itoa(port)), net.JoinHostPort(host, "0")
	s.StoreAddress, s.MachinesAddress, s.AdviceAddress = platform, platform, platform
	server := jobserver.New(jobserver.Options{Settings: s, Log: tel.Log, Scope: tel.Scope, Metrics: tel.MetricsHandler})
	group.Go(func() error { return server.Run(ctx) })
	return nil
}

// awaitOwner waits until an entry VM owns the jobs. It returns false if ctx ends
// first.
func awaitOwner(ctx context.Context, p *jobplatform.Platform) bool {
	for p.Value("owner/holders") == nil {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}
