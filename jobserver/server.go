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
	// ownerLease is the time after which another entry VM takes over. Workers
	// keep their work for workLease without an owner, so a takeover after a
	// crash ends nothing.
	ownerLease = 1500 * time.Millisecond
	workLease  = 3200 * time.Millisecond
	// memoryShare of the limit is left to the Go heap; the rest holds stacks
	// and buffers in the kernel.
	memoryShare = 0.4
	// staleAfter is how old the knowledge of the manifest may be while the
	// entry VM reports itself ready.
	staleAfter = 3 * time.Second
	// balancerNotice is how long the load balancer takes to see that an entry
	// VM is not ready: two checks, one a second.
	balancerNotice = 2200 * time.Millisecond
	// exitMargin is kept of the grace for the end of the process.
	exitMargin = 800 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
)

// Options configure a Server.
type Options struct {
	Settings Settings
	// File is where the settings were read from; it is read again on each
	// signal of Reload.
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
	operator *platform.Operator
	intake   *intake.Intake
	owner    *owner.Owner
	front    *platform.Front
	stopping atomic.Bool
}

// New returns a server; Run makes it work.
func New(o Options) *Server {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := o.Settings
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitMB<<20) * memoryShare))
	}
	st := platform.NewStore(s.StoreAddress)
	health := store.NewHealth()
	st.Observe = func(call string, took time.Duration, err error) {
		health.Observe(err)
		scope := o.Scope.Tagged(map[string]string{"call": call})
		scope.Tagged(map[string]string{"ok": strconv.FormatBool(err == nil)}).Counter("store_calls_total").Inc(1)
		scope.Timer("store_call_seconds").Record(took)
	}
	operator := &platform.Operator{Store: st, Log: o.Log}
	in := intake.New(st, health)
	options := owner.Options{
		Node: s.Node, Store: st, Workers: platform.NewWorkers(), Registry: &platform.Registry{Store: st, Log: o.Log},
		Manifest: operator.Manifest, Waves: operator.Waves, Log: o.Log, Scope: o.Scope, Lease: ownerLease,
		HandOver: milliseconds(s.Bounds.HandOverMs), KeepFinished: seconds(s.Bounds.StatusSeconds),
		CPUShare: s.CPUShare, ContendDelay: contendDelay(s.CPUShare), UpkeepTime: seconds(s.Bounds.UpkeepSeconds), MoveTime: seconds(s.Bounds.MoveSeconds),
		OrdersPerSecond: s.Bounds.MachineOrdersPerSecond,
		Execution: execution.Options{
			Hold: min(workLease, milliseconds(s.Bounds.MaxLeaseMs)), StopTimeout: milliseconds(s.Bounds.StopTimeoutMs),
		},
	}
	if s.MachinesAddress != "" {
		options.Machines, options.StatusPrefix = platform.NewMachines(s.MachinesAddress, s.Node), platform.StatusPrefix
	}
	if s.AdviceAddress != "" {
		options.Advisor = platform.NewAdvisor(s.AdviceAddress)
	}
	front := &platform.Front{Intake: in, Manifest: operator.Manifest, Log: o.Log}
	front.Answered = func(call string, status int, took time.Duration) {
		tags := map[string]string{"call": call, "status": strconv.Itoa(status)}
		o.Scope.Tagged(tags).Counter("requests_total").Inc(1)
		o.Scope.Tagged(map[string]string{"call": call}).Timer("request_seconds").Record(took)
	}
	return &Server{options: o, health: health, operator: operator, intake: in, owner: owner.New(options), front: front}
}

const (
	// ownerCPUShare is the part of a core that carries the ownership of some
	// 350 workers. Entry VMs with less wait up to contendWait before they
	// contend, a little longer than an acquiring takes.
	ownerCPUShare = 0.8
	contendWait   = 80 * time.Millisecond
)

// contendDelay is how long an entry VM lets larger ones come first.
func contendDelay(cpuShare float64) time.Duration {
	if cpuShare <= 0 || cpuShare >= ownerCPUShare {
		return 0
	}
	return time.Duration(float64(contendWait) * (1 - cpuShare/ownerCPUShare))
}

// Run serves until ctx ends, and then stops without cutting a request.
func (s *Server) Run(ctx context.Context) error {
	set := s.options.Settings
	s.options.Log.Info().Str("event", "started").Str("node", set.Node).Str("zone", set.AvailabilityZone).Str("callers", set.CallerListen).Msg("")
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	front := &http.Server{Handler: s.front, ReadHeaderTimeout: headerTimeout}
	if err := listen(group, front, set.CallerListen); err != nil {
		return err
	}
	ready := &http.Server{Handler: s.readyRoutes(), ReadHeaderTimeout: headerTimeout}
	if err := listen(group, ready, set.ReadyListen); err != nil {
		return err
	}
	if set.MetricsListen != "" && s.options.Metrics != nil {
		metrics := mux.NewRouter()
		metrics.Handle("/metrics", s.options.Metrics)
		if err := listen(group, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}, set.MetricsListen); err != nil {
			return err
		}
	}
	group.Go(func() error { s.operator.Run(background); return nil })
	group.Go(func() error { s.intake.Run(background); return nil })
	group.Go(func() error { s.owner.Run(ctx); return nil })
	group.Go(func() error { s.reload(background); return nil })
	group.Go(func() error { s.gauge(background); return nil })
	select {
	case <-ctx.Done():
	case <-background.Done():
		return group.Wait()
	}
	s.drain(front)
	s.options.Log.Info().Str("event", "stopped").Str("node", set.Node).Msg("")
	return nil
}

// gaugeEvery is how often the gauges of the process are updated.
const gaugeEvery = time.Second

// gauge updates the gauges of the process.
func (s *Server) gauge(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(gaugeEvery):
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

// reload checks the settings file whenever it is asked to. Only the log level
// can change in a running process; all else takes effect at the next start.
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

// drain reports unready, waits until the load balancer has noticed, and ends
// the open requests within the grace.
func (s *Server) drain(front *http.Server) {
	grace := seconds(s.options.Settings.Bounds.GraceSeconds)
	s.options.Log.Info().Str("event", "stopping").Dur("grace", grace).Msg("")
	s.stopping.Store(true)
	front.SetKeepAlivesEnabled(false)
	deadline := time.Now().Add(grace - exitMargin)
	time.Sleep(min(balancerNotice, (grace-exitMargin)/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		s.options.Log.Warn().Str("event", "requests_open_at_stop").Err(err).Msg("")
	}
}

func (s *Server) readyRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// ready reports whether the entry VM can take requests: it knows the manifest
// and has reached the store lately.
func (s *Server) ready() bool {
	return !s.stopping.Load() && s.operator.Manifest() != nil && s.operator.Age() < staleAfter && !s.health.Down()
}

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
