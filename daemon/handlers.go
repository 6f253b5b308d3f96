package daemon

import (
	"context"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/propagation"

	"dotterelhead.example/dotterelhead/control"
	"dotterelhead.example/dotterelhead/ingress"
	"dotterelhead.example/dotterelhead/operator"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/request"
)

func (e *EntryVM) newIngress() *ingress.Handler {
	return ingress.NewHandler(ingress.Options{
		Config:    e.configInForce,
		Accepting: e.accepting,
		Plain:     e.attempts,
		Keyed:     e.idempotencyKeys,

		MaxBodyBytes:    e.settings.Limits.MaxBodyBytes,
		DefaultDeadline: e.settings.Limits.DefaultDeadline(),

		Scope:  e.options.Scope,
		Tracer: e.tracer("ingress"),
		Log:    e.logUnansweredRequest,
	})
}

// logUnansweredRequest logs a request for which no backend server gave a response.
func (e *EntryVM) logUnansweredRequest(r *request.Request, result request.Result, took time.Duration) {
	line := e.log.Info().Str("event", "request_not_answered").Str("outcome", string(result.Outcome)).
		Int("status", result.Problem.Status).Str("reason", result.Problem.Title).Dur("took", took)
	if r != nil {
		line = line.Str("service", r.Service).Str("request", r.ID)
	}
	line.Msg("")
}

// isAPIRequest reports whether a request is traced. Health probes and metrics
// scrapes are not.
func isAPIRequest(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/v1/") }

func (e *EntryVM) operatorHandler() http.Handler {
	handler := operator.NewHandler(operator.Options{
		Store: e.platform, Replica: e.replica, Region: e.settings.Region,
		Publisher: e.publisher, Ready: e.Ready, Status: e.status,
		Metrics: e.options.Metrics, Authorize: e.security.authorizer(), Log: e.log,
	})
	// Clients choose the path, so only the method is part of the span name.
	return otelhttp.NewHandler(handler, "operator",
		otelhttp.WithTracerProvider(e.options.TracerProvider),
		otelhttp.WithPropagators(propagation.TraceContext{}),
		otelhttp.WithFilter(isAPIRequest),
		otelhttp.WithSpanNameFormatter(func(_ string, r *http.Request) string { return "operator " + r.Method }))
}

// entryStatus is the state of this entry VM in the response of /v1/status.
type entryStatus struct {
	ID           string         `json:"id"`
	Ready        bool           `json:"ready"`
	Registered   bool           `json:"registered"`
	LiveMembers  []string       `json:"live_members"`
	InFlight     int            `json:"in_flight"`
	ControlState control.Status `json:"control"`
}

func (e *EntryVM) status() any {
	return entryStatus{
		ID: e.settings.ID, Ready: e.Ready(), Registered: e.node.Registered(),
		LiveMembers: e.node.Live(), InFlight: e.table.InFlight(), ControlState: e.control.Status(),
	}
}

func (e *EntryVM) peerHandler() http.Handler {
	return peer.NewHandler(&peerService{e}, e.options.TracerProvider)
}

// peerService implements the peer protocol for the other entry VMs.
type peerService struct {
	entry *EntryVM
}

func (p *peerService) Exchange(ctx context.Context, r *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	return p.entry.node.Exchange(ctx, r)
}

func (p *peerService) Acquire(ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	return p.entry.server.Acquire(ctx, r)
}

func (p *peerService) Release(ctx context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	return p.entry.server.Release(ctx, r)
}

func (p *peerService) GrantsInUse(_ context.Context, r *peer.GrantsInUseRequest) (*peer.GrantsInUseResponse, error) {
	return &peer.GrantsInUseResponse{Grants: p.entry.client.HeldGrants(r.Pool)}, nil
}

func (p *peerService) Reserve(ctx context.Context, r *peer.ReserveRequest) (*peer.ReserveResponse, error) {
	return p.entry.claimOwner.Reserve(ctx, r)
}

func (p *peerService) Claim(ctx context.Context, r *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	return p.entry.claimOwner.Claim(ctx, r)
}

func (p *peerService) Finish(ctx context.Context, r *peer.FinishRequest) (*peer.FinishResponse, error) {
	return p.entry.claimOwner.Finish(ctx, r)
}

func (p *peerService) Await(ctx context.Context, r *peer.AwaitRequest) (*peer.AwaitResponse, error) {
	return p.entry.claimOwner.Await(ctx, r)
}
