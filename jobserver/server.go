package jobserver

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"dotterelhead.example/dotterelhead/intake"
	"dotterelhead.example/dotterelhead/owner"
	"dotterelhead.example/dotterelhead/platform"
	"dotterelhead.example/dotterelhead/scheduler/execution"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/telemetry"
)

const (
	// ownerLease is the duration of the owner's lease; another entry VM takes over
	// once it has expired. Workers continue their work for workLease without
	// hearing from an owner, so a takeover after a crash ends no work.
	ownerLease = 1500 * time.Millisecond
	workLease  = 3200 * time.Millisecond
	// heapShare is the fraction of the VM's memory that the Go runtime may use, stacks
	// included; the rest is for buffers in the kernel. An owner of 3,003 workers reaches
	// 170 MB of 284. With a share of 0.4, less than it needs, it missed the workers' leases.
	heapShare = 0.7
	// workerConnectionShare is the fraction of the descriptors above which connections to
	// idle workers are closed; the rest is for files, requesters and the store. An owner of
	// 3,003 workers has up to 3,400 connections, of 4,100 descriptors.
	workerConnectionShare = 0.85
	// maxManifestAge is how long an entry VM still reports itself ready after the
	// manifest was last known to be current.
	maxManifestAge = 3 * time.Second
	// manifestAgeShare is the share of the bound for a new manifest up to which the manifest
	// counts as the one in force where requests need keys. A request that was sent after the
	// bound finds a manifest that was read after the new one was written; the rest allows for
	// clocks that differ in rate.
	manifestAgeShare = 0.95
	// balancerDetectTime is how long the load balancer takes to detect that an
	// entry VM is not ready: two checks, one per second.
	balancerDetectTime = 2200 * time.Millisecond
	// exitMargin is the part of the grace time that is reserved for the exit of
	// the process.
	exitMargin = 800 * time.Millisecond
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
)

// Options configure a Server.
type Options struct {
	Settings Settings
	// File is the settings file; it is read again on each signal from Reload.
	File    string
	Reload  <-chan os.Signal
	Log     *telemetry.Logger
	Scope   tally.Scope
	Metrics http.Handler
	// DroppedLines, if set, returns how many log lines were dropped so far.
	DroppedLines func() int64
}

// Server is one entry VM of the job service.
type Server struct {
	options  Options
	health   *store.Health
	operator *platform.OperatorWatcher
	intake   *intake.Intake
	owner    *owner.Owner
	// jobHandler serves the requesters.
	jobHandler *platform.JobHandler
	stopping   atomic.Bool
}

// New returns a server that starts to work when Run is called.
func New(o Options) *Server {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := o.Settings
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitMB<<20) * heapShare))
	}
	st := platform.NewStore(s.StoreAddress)
	health := store.NewHealth()
	st.Observe = func(call string, took time.Duration, err error) {
		health.Observe(err)
		scope := o.Scope.Tagged(map[string]string{"call": call})
		scope.Tagged(map[string]string{"ok": strconv.FormatBool(err == nil)}).Counter("store_calls_total").Inc(1)
		scope.Timer("store_call_seconds").Record(took)
	}
	operator := &platform.OperatorWatcher{
		Store: st, Log: o.Log, StoreDown: health.Down, MaxAge: time.Duration(manifestAgeShare * float64(milliseconds(s.Bounds.ConfigApplyMs))),
		OnRejected: func() { o.Scope.Counter("manifests_rejected_total").Inc(1) },
	}
	in := intake.New(st, health)
	options := owner.Options{
		Node: s.Node, Store: st, Workers: platform.NewWorkers(int(float64(s.DescriptorLimit) * workerConnectionShare)), Registry: &platform.Registry{Store: st, Log: o.Log},
		Manifest: operator.Manifest, Waves: operator.Waves, Log: o.Log, Scope: o.Scope, Lease: ownerLease,
		MinOrderInterval: milliseconds(s.Bounds.MinOrderIntervalMs), KeepFinished: seconds(s.Bounds.StatusSeconds),
		MaxJobBytes: s.JobMemoryMB << 20,
		CPUShare:    s.CPUShare, ContendDelay: contendDelay(s.CPUShare), UpkeepTime: seconds(s.Bounds.UpkeepSeconds), MoveTime: seconds(s.Bounds.MoveSeconds),
		OrdersPerSecond: s.Bounds.MachineOrdersPerSecond,
		Execution: execution.Options{
			LeaseDuration: min(workLease, milliseconds(s.Bounds.MaxLeaseMs)), MaxLease: milliseconds(s.Bounds.MaxLeaseMs), StopTimeout: milliseconds(s.Bounds.StopTimeoutMs),
			TrustDeclared: s.RunTimes == RunTimesDeclared,
		},
	}
	if s.MachinesAddress != "" {
		options.VMs, options.StatusPrefix = platform.NewVMOperations(s.MachinesAddress, s.Node), platform.StatusPrefix
	}
	if s.AdviceAddress != "" {
		options.Advisor = platform.NewAdvisor(s.AdviceAddress)
	}
	jobHandler := &platform.JobHandler{Intake: in, Manifest: operator.Manifest, ConfirmManifest: operator.Confirm, Log: o.Log}
	labels := &organisationLabels{}
	jobHandler.OnResponse = func(call, organisation string, status int, took time.Duration) {
		tags := map[string]string{"call": call, "status": strconv.Itoa(status)}
		o.Scope.Tagged(tags).Counter("requests_total").Inc(1)
		o.Scope.Tagged(map[string]string{"call": call}).Timer("request_seconds").Record(took)
		if organisation != "" {
			tags := map[string]string{"organisation": labels.of(organisation), "status": strconv.Itoa(status)}
			o.Scope.Tagged(tags).Counter("organisation_requests_total").Inc(1)
		}
	}
	return &Server{options: o, health: health, operator: operator, intake: in, owner: owner.New(options), jobHandler: jobHandler}
}

const (
	// sufficientCPUShare is the fraction of a core that an owner needs for about
	// 350 workers. Entry VMs with less wait up to maxContendDelay before they
	// contend for the ownership, a little longer than acquiring it takes.
	sufficientCPUShare = 0.8
	maxContendDelay    = 80 * time.Millisecond
)

// contendDelay returns how long an entry VM waits before it contends for the
// ownership, so that larger ones get it first.
func contendDelay(cpuShare float64) time.Duration {
	if cpuShare <= 0 || cpuShare >= sufficientCPUShare {
		return 0
	}
	return time.Duration(float64(maxContendDelay) * (1 - cpuShare/sufficientCPUShare))
}

// Run serves until ctx ends, and then lets the open requests finish within the
// grace time.
func (s *Server) Run(ctx context.Context) error {
	settings := s.options.Settings
	s.options.Log.Info().Str("event", "started").Str("node", settings.Node).Str("zone", settings.AvailabilityZone).Str("callers", settings.CallerListen).Msg("")
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	callerServer := &http.Server{Handler: s.jobHandler, ReadHeaderTimeout: headerTimeout}
	if err := listen(group, callerServer, settings.CallerListen); err != nil {
		return err
	}
	ready := &http.Server{Handler: s.readyRoutes(), ReadHeaderTimeout: headerTimeout}
	if err := listen(group, ready, settings.ReadyListen); err != nil {
		return err
	}
	if settings.MetricsListen != "" && s.options.Metrics != nil {
		metrics := mux.NewRouter()
		metrics.Handle("/metrics", s.options.Metrics)
		if err := listen(group, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}, settings.MetricsListen); err != nil {
			return err
		}
	}
	group.Go(func() error { s.operator.Run(background); return nil })
	group.Go(func() error { s.intake.Run(background); return nil })
	group.Go(func() error { s.owner.Run(ctx); return nil })
	group.Go(func() error { s.reload(background); return nil })
	group.Go(func() error { s.updateGauges(background); return nil })
	select {
	case <-ctx.Done():
	case <-background.Done():
		return group.Wait()
	}
	s.drain(callerServer)
	s.options.Log.Info().Str("event", "stopped").Str("node", settings.Node).Msg("")
	return nil
}

// gaugeInterval is how often the gauges of the process are updated.
const gaugeInterval = time.Second

// updateGauges updates the gauges of the process until ctx ends.
func (s *Server) updateGauges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(gaugeInterval):
		}
		if s.options.DroppedLines != nil {
			s.options.Scope.Gauge("log_lines_dropped").Update(float64(s.options.DroppedLines()))
		}
		if s.operator.Manifest() != nil {
			s.options.Scope.Gauge("manifest_age_seconds").Update(s.operator.Age().Seconds())
			s.options.Scope.Gauge("manifest_version").Update(float64(s.operator.Manifest().Version))
		}
	}
}

// reload reads the settings file again on each signal from Reload, until ctx
// ends. Only the log level changes in the running process; all other settings
// take effect at the next start.
func (s *Server) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.options.Reload:
		}
		next, found := LoadSettings(s.options.File)
		if err := found.Err(); err != nil {
			s.options.Log.Error().Str("event", "settings_not_reloaded").Err(err).Msg("")
			continue
		}
		restart := *next
		restart.LogLevel = s.options.Settings.LogLevel
		s.options.Log.Info().Str("event", "settings_reloaded").Str("log_level", next.LogLevel).
			Bool("restart_needed", restart != s.options.Settings).Msg("")
		s.options.Log.SetLevel(telemetry.ParseLevel(next.LogLevel))
	}
}

// drain reports the entry VM as not ready, waits until the load balancer has
// detected it, and lets the open requests finish within the grace time.
func (s *Server) drain(callerServer *http.Server) {
	grace := seconds(s.options.Settings.Bounds.GraceSeconds)
	s.options.Log.Info().Str("event", "stopping").Dur("grace", grace).Msg("")
	s.stopping.Store(true)
	callerServer.SetKeepAlivesEnabled(false)
	deadline := time.Now().Add(grace - exitMargin)
	time.Sleep(min(balancerDetectTime, (grace-exitMargin)/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		s.options.Log.Warn().Str("event", "requests_open_at_stop").Err(err).Msg("")
	}
}

// readyRoutes serves the load balancer's readiness check.
func (s *Server) readyRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// ready reports whether the entry VM can take requests: it is not stopping, its
// knowledge of the manifest is recent, and the store can be reached.
func (s *Server) ready() bool {
	return !s.stopping.Load() && s.operator.Manifest() != nil && s.operator.Age() < maxManifestAge && !s.health.Down()
}

// listen binds the address and serves in a goroutine of the group.
func listen(group *errgroup.Group, server *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve on %s", address)
		}
		return nil
	})
	return nil
}
