// Package development runs a complete local deployment in one process: stand-ins
// for the platform and the backend servers, and several entry VMs with an example
// note.
package development

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"dotterelhead.example/dotterelhead/daemon"
	"dotterelhead.example/dotterelhead/examples"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/settings"
	"dotterelhead.example/dotterelhead/standin"
	"dotterelhead.example/dotterelhead/telemetry"
)

const (
	region       = "dev"
	readyTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Options configure Run.
type Options struct {
	Entries        int
	CallerListen   string
	OperatorListen string
	LogLevel       string
}

// Run serves until ctx ends. It logs event=ready when every entry VM accepts
// requests.
func Run(ctx context.Context, options Options) error {
	if options.Entries < 1 {
		return errors.New("--entries must be at least 1")
	}
	tel, err := telemetry.New(telemetry.Options{LogLevel: options.LogLevel, Global: true})
	if err != nil {
		return err
	}
	defer tel.Shutdown(context.Background())
	fleetPlatform, err := startStandIns(ctx)
	if err != nil {
		return err
	}
	defer fleetPlatform.Close()

	group, ctx := errgroup.WithContext(ctx)
	var entries []*daemon.EntryVM
	for i := range options.Entries {
		entry, tel, err := newEntry(options, i, fleetPlatform.Addr())
		if err != nil {
			return err
		}
		defer tel.Shutdown(context.Background())
		entries = append(entries, entry)
		group.Go(func() error { return entry.Run(ctx) })
	}
	group.Go(func() error {
		if err := publishAndAwaitReady(ctx, entries); err != nil {
			return err
		}
		tel.Log.Info().Str("event", "ready").Int("entries", options.Entries).
			Str("caller", options.CallerListen).Str("operator", options.OperatorListen).Msg("")
		return nil
	})
	return group.Wait()
}

// startStandIns starts a stand-in platform, and a stand-in backend server for each
// VM of the example note.
func startStandIns(ctx context.Context) (*standin.Platform, error) {
	fleetPlatform := standin.NewPlatform(standin.PlatformOptions{})
	if err := fleetPlatform.Start(ctx); err != nil {
		return nil, err
	}
	exampleNote, found := note.Parse("etikettwerk.toml", examples.Etikettwerk)
	if err := found.Err(); err != nil {
		return nil, err
	}
	config, found := note.Apply(note.Config{}, exampleNote)
	if err := found.Err(); err != nil {
		return nil, err
	}
	for _, pool := range config.Pools {
		for _, vm := range pool.VMs {
			zone, rack := locationOf(vm)
			backend := standin.NewBackend(standin.BackendOptions{
				ID: vm, AvailabilityZone: zone, Rack: rack, Platform: fleetPlatform.Addr(),
			})
			if err := backend.Start(ctx); err != nil {
				return nil, err
			}
		}
	}
	return fleetPlatform, nil
}

// locationOf parses the availability zone and the rack from a VM id such as
// ew-a-r01-3.
func locationOf(vm string) (zone, rack string) {
	parts := strings.Split(vm, "-")
	if len(parts) < 3 {
		return "", ""
	}
	return parts[1], parts[1] + "-" + parts[2]
}

func newEntry(options Options, i int, platformAddress string) (*daemon.EntryVM, *telemetry.Telemetry, error) {
	caller, err := addPort(options.CallerListen, i)
	if err != nil {
		return nil, nil, errors.Wrap(err, "--caller-listen")
	}
	operator, err := addPort(options.OperatorListen, i)
	if err != nil {
		return nil, nil, errors.Wrap(err, "--operator-listen")
	}
	peerAddress, err := freeAddress()
	if err != nil {
		return nil, nil, err
	}
	s := settings.Defaults()
	s.ID = fmt.Sprintf("entry-%d", i)
	s.Region, s.AvailabilityZone = region, string(rune('a'+i%3))
	s.CallerListen, s.OperatorListen = caller, operator
	s.PeerListen, s.PeerAddress = peerAddress, peerAddress
	s.PlatformURL = "http://" + platformAddress
	s.ShutdownLoadBalancerWaitSeconds = 0
	tel, err := telemetry.New(telemetry.Options{InstanceID: s.ID, LogLevel: options.LogLevel})
	if err != nil {
		return nil, nil, err
	}
	entry, err := daemon.New(daemon.Options{
		Settings: s, Log: tel.Log, Scope: tel.Scope, Metrics: tel.MetricsHandler, TracerProvider: tel.TracerProvider,
	})
	return entry, tel, err
}

func addPort(address string, i int) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(number+i)), nil
}

// freeAddress returns a loopback address that is free at the moment.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// publishAndAwaitReady publishes the example note and waits until all entry VMs can
// serve requests.
func publishAndAwaitReady(ctx context.Context, entries []*daemon.EntryVM) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		outcome, err := entries[0].Publish(ctx, examples.Etikettwerk)
		if err == nil {
			err = outcome.Findings.Err()
		}
		if err == nil {
			break
		}
		if !errors.Is(err, infrastructure.ErrUnavailable) && !errors.Is(err, infrastructure.ErrOutcomeUnknown) {
			return errors.Wrap(err, "publish the example note")
		}
		if sleep(ctx) != nil {
			return errors.Wrap(err, "publish the example note")
		}
	}
	for _, entry := range entries {
		for !entry.Ready() || !entry.HasWorkers() {
			if err := sleep(ctx); err != nil {
				return errors.Wrap(err, "wait until requests can be served")
			}
		}
	}
	return nil
}

func sleep(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollInterval):
		return nil
	}
}
