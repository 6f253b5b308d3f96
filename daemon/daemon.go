// Package daemon assembles the components of one entry VM and runs them.
package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"dotterelhead.example/dotterelhead/claims"
	"dotterelhead.example/dotterelhead/control"
	"dotterelhead.example/dotterelhead/dispatch"
	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/forward"
	"dotterelhead.example/dotterelhead/ingress"
	"dotterelhead.example/dotterelhead/membership"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/operator"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/replica"
	"dotterelhead.example/dotterelhead/routing"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
	"dotterelhead.example/dotterelhead/scheduler/retry"
	"dotterelhead.example/dotterelhead/settings"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

const (
	// handoverTimeout bounds the handover of the claims and the removal from
	// the registry during shutdown, after the last request has ended. Another
	// entry VM takes over even if they do not complete.
	handoverTimeout = 5 * time.Second
	// maxPeerCallDuration is long, because calls such as Acquire and Await wait in
	// queues and have bounds of their own.
	maxPeerCallDuration = time.Hour
)

// Options configure an entry VM.
type Options struct {
	Settings settings.Settings
	Log      *log.Logger
	Scope    tally.Scope
	// Metrics serves /metrics.
	Metrics http.Handler
	// TracerProvider records the spans; the default is the global provider.
	TracerProvider trace.TracerProvider
}

// EntryVM is one running entry VM.
type EntryVM struct {
	options  Options
	settings settings.Settings
	log      *log.Logger

	platform        *httpclient.Client
	replica         *replica.Replica
	clients         *peer.Clients
	node            *membership.Node
	table           *routing.Table
	forwarder       *forward.Forwarder
	server          *dispatch.Server
	client          *dispatch.Client
	attempts        *ingress.AttemptStage
	claimOwner      *claims.Owner
	idempotencyKeys *ingress.IdempotencyStage
	publisher       *operator.Publisher
	control         *control.Controller
	budget          *lockedBudget
	durations       *durationTracker
	ingress         *ingress.Handler

	security security
	metrics  *metrics
	config   atomic.Pointer[note.Config]
	// leavingVMs holds the VMs that the platform lists as leaving. It is filled
	// only while the store is down, because the fleet document cannot be
	// updated then.
	leavingVMs      atomic.Pointer[map[string]bool]
	hasFleet        atomic.Bool
	shuttingDown    atomic.Bool
	documentChanged chan struct{}
	listeners       listeners
}

// New assembles an entry VM. Nothing runs before Run is called.
func New(options Options) (*EntryVM, error) {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.TracerProvider == nil {
		options.TracerProvider = otel.GetTracerProvider()
	}
	s := options.Settings
	if err := s.CheckListeners(); err != nil {
		return nil, err
	}
	secured, err := newSecurity(s, options.Log)
	if err != nil {
		return nil, err
	}
	e := &EntryVM{
		options:  options,
		settings: s,
		log:      options.Log,
		platform: httpclient.NewClient(httpclient.ClientOptions{
			BaseURL: s.PlatformURL, Entry: s.ID, TracerProvider: options.TracerProvider, Scope: options.Scope,
		}),
		replica:  replica.New(),
		security: secured,
		clients: peer.NewClients(peer.ClientsOptions{
			ListenAddress: s.PeerListen, Timeout: maxPeerCallDuration, TLS: secured.peer, TracerProvider: options.TracerProvider,
		}),
		budget:          &lockedBudget{budget: retry.NewBudget(retry.Options{Ratio: s.RetryBudgetRatio})},
		durations:       newDurationTracker(),
		documentChanged: make(chan struct{}, 1),
	}
	e.config.Store(&note.Config{})
	e.leavingVMs.Store(&map[string]bool{})
	e.wireMembership()
	e.wireRequests()
	e.wireIdempotencyKeys()
	e.wireControl()
	e.metrics = newMetrics(e)
	e.replica.Subscribe(e.onDocument)
	e.replica.Subscribe(e.metrics.onDocument)
	return e, nil
}

func (e *EntryVM) tracer(name string) trace.Tracer { return e.options.TracerProvider.Tracer(name) }

func (e *EntryVM) wireMembership() {
	incarnation := uuid.NewString()
	e.forwarder = forward.New(forward.Options{
		ConnectionLimit: e.connectionLimit,
		SilenceTimeout:  e.durations.suspectAfter,
		Tracer:          e.tracer("forward"),
	})
	e.node = membership.NewNode(membership.Options{
		Store:            e.platform,
		Inventory:        e.platform,
		Replica:          e.replica,
		Region:           e.settings.Region,
		ID:               e.settings.ID,
		Incarnation:      incarnation,
		PeerAddress:      e.settings.PeerAddress,
		AvailabilityZone: e.settings.AvailabilityZone,
		Seeds:            e.settings.SeedPeers,
		Dial:             e.clients.Client,
		Released:         e.releasedVMs,
		OnConfirmed:      func() { e.control.Trigger() },
		Demand:           func() []*peer.PoolDemand { return e.server.Demand() },
		Log:              e.log,
	})
	e.table = routing.New(routing.Options{
		Permit:    e.node,
		CloseIdle: e.forwarder.CloseIdle,
		OnDrained: e.node.Trigger,
	})
}

func (e *EntryVM) wireRequests() {
	e.server = dispatch.NewServer(dispatch.ServerOptions{
		EntryID:    e.settings.ID,
		Members:    e.node.Live,
		Peer:       e.peerByID,
		Workers:    e.servingWorkers,
		NewPool:    e.newPool,
		Limits:     e.limits,
		HeldGrants: func(pool string) []*peer.GrantInUse { return e.client.HeldGrants(pool) },
	})
	e.client = dispatch.NewClient(dispatch.ClientOptions{
		EntryID: e.settings.ID, Local: e.server, Members: e.node.Live, Peer: e.peerByID,
	})
	e.attempts = ingress.NewAttemptStage(ingress.AttemptStageOptions{
		Config:    e.configInForce,
		Client:    e.client,
		Table:     e.table,
		Forwarder: e.forwarder,
		Budget:    e.budget,
		Observe:   e.durations.observe,
		Scope:     e.options.Scope,
		Tracer:    e.tracer("ingress"),
	})
}

func (e *EntryVM) wireIdempotencyKeys() {
	e.claimOwner = claims.NewOwner(claims.OwnerOptions{
		Store: e.platform, Region: e.settings.Region, EntryID: e.settings.ID, Log: e.log,
		Tracer: e.tracer("claims"),
		Owned: func(shard int) bool {
			return claims.ShardOwner(shard, e.node.Live()) == e.settings.ID
		},
	})
	client := claims.NewClient(claims.ClientOptions{
		Local: e.claimOwner, EntryID: e.settings.ID, Peer: e.peerByID, Members: e.node.Live,
	})
	e.idempotencyKeys = ingress.NewIdempotencyStage(client, e.attempts)
	e.ingress = e.newIngress()
}

func (e *EntryVM) wireControl() {
	e.publisher = operator.NewPublisher(operator.PublisherOptions{Store: e.platform, Replica: e.replica})
	e.control = control.New(control.Options{
		Store: e.platform, Inventory: e.platform, VMs: e.platform,
		Replica: e.replica, Members: e.node,
		Region: e.settings.Region, ID: e.settings.ID, Incarnation: uuid.NewString(),
		RepairHistory: e.publisher.RepairHistory,
		Unhealthy:     e.ejectedWorkers,
		Capacity: capacity.NewPlanner(capacity.Options{
			WaitingWeight: e.settings.Policy.WaitingWeight, BufferWeight: e.settings.Policy.BufferWeight,
		}),
		Log: e.log,
	})
}

// Run serves until ctx ends and then shuts down gracefully.
func (e *EntryVM) Run(ctx context.Context) error {
	if err := e.listeners.open(e.settings, e.security); err != nil {
		return err
	}
	// The components keep running after ctx ends, so that requests in flight
	// can finish during the shutdown. stop ends them.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	controlling, stopControl := context.WithCancel(running)
	var components sync.WaitGroup
	start := func(run func(context.Context), ctx context.Context) {
		components.Go(func() { run(ctx) })
	}
	start(e.forwarder.Run, running)
	start(e.server.Run, running)
	start(e.client.Run, running)
	start(func(ctx context.Context) { e.claimOwner.Run(ctx) }, running)
	start(func(ctx context.Context) { e.node.Run(ctx) }, running)
	start(func(ctx context.Context) { e.control.Run(ctx) }, controlling)
	start(e.notifyDocumentChanges, running)
	start(e.pollLeavingVMs, running)
	start(e.metrics.run, running)
	failed := e.listeners.serve(e.ingress, e.operatorHandler(), e.peerHandler(), e.settings.Limits.MaxHeaderBytes, e.log)
	e.log.Info().Str("event", "listening").
		Str("caller", e.listeners.caller.Addr().String()).Str("operator", e.listeners.operator.Addr().String()).
		Str("peer", e.listeners.peer.Addr().String()).Msg("")

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	e.shutDown(stopControl)
	stop()
	components.Wait()
	e.listeners.close()
	e.clients.Close()
	e.platform.CloseIdleConnections()
	e.log.Info().Str("event", "stopped").Msg("")
	return err
}

// shutDown shuts the entry VM down gracefully. The order ensures that no request is
// lost: report not ready, finish the requests, hand over the claims and the
// control role, and remove the entry VM from the registry.
func (e *EntryVM) shutDown(stopControl context.CancelFunc) {
	e.log.Info().Str("event", "leaving").Msg("")
	e.shuttingDown.Store(true)
	e.listeners.callerServer.SetKeepAlivesEnabled(false)
	time.Sleep(e.settings.ShutdownLoadBalancerWait())
	// Every request has a deadline, so this wait is bounded.
	if err := e.listeners.callerServer.Shutdown(context.Background()); err != nil {
		e.log.Error().Str("event", "caller_listener_shutdown").Err(err).Msg("")
	}
	e.idempotencyKeys.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	e.claimOwner.Handover(ctx)
	e.node.SetLeaving()
	e.node.Trigger()
	stopControl()
	if err := e.node.Leave(ctx); err != nil {
		e.log.Warn().Str("event", "registry_not_left").Err(err).Msg("")
	}
}

// Ready reports whether the load balancer may send requests to this entry VM.
func (e *EntryVM) Ready() bool {
	return !e.shuttingDown.Load() && e.accepting()
}

// accepting reports whether the entry VM accepts requests: it needs a fleet
// document, a published configuration and a valid routing permit. Unlike Ready, it
// stays true during a shutdown, while the load balancer still sends requests.
func (e *EntryVM) accepting() bool {
	return e.hasFleet.Load() && e.configInForce().Revision > 0 && e.node.Valid(time.Now())
}

// HasWorkers reports whether every configured service has a serving worker.
// Unlike servingWorkers, it does not leave out the VMs in leavingVMs.
func (e *EntryVM) HasWorkers() bool {
	for _, service := range e.configInForce().Services {
		if len(e.table.Serving(service.Pool)) == 0 {
			return false
		}
	}
	return true
}

// Publish publishes a note through this entry VM.
func (e *EntryVM) Publish(ctx context.Context, text []byte) (operator.PublishResult, error) {
	return e.publisher.Publish(ctx, text)
}

func (e *EntryVM) configInForce() note.Config { return *e.config.Load() }

func (e *EntryVM) onDocument(doc replica.Document) {
	switch doc.Key {
	case note.ConfigKey:
		config, err := note.DecodeConfig(doc.Value)
		if err != nil {
			e.log.Error().Str("event", "malformed_document").Str("key", doc.Key).Err(err).Msg("")
			return
		}
		e.config.Store(&config)
		e.log.Info().Str("event", "config_in_force").Int64("revision", config.Revision).Msg("")
	case fleet.DocumentKey(e.settings.Region):
		document, err := fleet.Decode(doc.Value)
		if err != nil {
			e.log.Error().Str("event", "malformed_document").Str("key", doc.Key).Err(err).Msg("")
			return
		}
		e.table.Update(document)
		e.metrics.onFleet(document)
		e.hasFleet.Store(true)
	default:
		return
	}
	select {
	case e.documentChanged <- struct{}{}:
	default:
	}
}

// notifyDocumentChanges notifies the components of changed documents. The replica
// cannot do so itself, because it calls its subscribers with its lock held.
func (e *EntryVM) notifyDocumentChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.documentChanged:
			e.server.WorkersChanged()
			e.node.Trigger()
			e.control.Trigger()
		}
	}
}

func (e *EntryVM) releasedVMs() []*peer.ReleasedVM {
	released := e.table.Released()
	vms := make([]*peer.ReleasedVM, len(released))
	for i, r := range released {
		vms[i] = &peer.ReleasedVM{Vm: r.VM, Generation: r.Generation}
	}
	return vms
}

func (e *EntryVM) peerByID(id string) (peer.Peer, bool) {
	address, ok := e.node.PeerAddress(id)
	if !ok {
		return nil, false
	}
	return e.clients.Client(address), true
}
