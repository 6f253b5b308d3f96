package peer

import (
	"net"
	"net/http"
	"net/netip"
	"path"
	"sync"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"dotterelhead.example/dotterelhead/tlsconfig"
)

// ClientsOptions configure Clients.
type ClientsOptions struct {
	// TLS is nil for plain connections.
	TLS *tlsconfig.Source
	// ListenAddress is the address of this entry VM's peer listener. Calls are
	// made from its IP address, so that peers see a single address of an entry
	// VM; with an unspecified address the operating system chooses one.
	ListenAddress string
	// Timeout limits one call. Acquire and Await wait in queues and have their
	// own limits.
	Timeout time.Duration
	// TracerProvider receives a span for each call made on behalf of a
	// request; the default is the global one.
	TracerProvider trace.TracerProvider
}

// Clients creates and caches one client for each address of an entry VM.
type Clients struct {
	scheme string
	client *http.Client
	// transport is the transport below the tracing transport, which does not
	// forward CloseIdleConnections.
	transport *http.Transport

	mu      sync.Mutex
	clients map[string]Peer
}

// NewClients returns an empty set of clients.
func NewClients(options ClientsOptions) *Clients {
	dialer := &net.Dialer{
		Timeout:         time.Second,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 2},
	}
	if listen, err := netip.ParseAddrPort(options.ListenAddress); err == nil && !listen.Addr().IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: listen.Addr().AsSlice()}
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     15 * time.Second,
	}
	if options.TracerProvider == nil {
		options.TracerProvider = otel.GetTracerProvider()
	}
	scheme := "http"
	if options.TLS != nil {
		scheme = "https"
		options.TLS.Transport(transport)
	}
	return &Clients{
		scheme:    scheme,
		transport: transport,
		client: &http.Client{
			Transport: otelhttp.NewTransport(transport,
				otelhttp.WithTracerProvider(options.TracerProvider),
				otelhttp.WithPropagators(propagation.TraceContext{}),
				otelhttp.WithFilter(isTraced),
				otelhttp.WithSpanNameFormatter(func(_ string, r *http.Request) string { return "entry VM " + path.Base(r.URL.Path) })),
			Timeout: options.Timeout,
		},
		clients: map[string]Peer{},
	}
}

// isTraced reports whether a call belongs to a traced request. Without this
// filter, the heartbeats alone would create a trace per second for every pair of
// entry VMs.
func isTraced(r *http.Request) bool {
	return trace.SpanContextFromContext(r.Context()).IsValid()
}

// NewHandler serves the peer protocol, with a server span for each call that
// carries a trace.
func NewHandler(service Peer, provider trace.TracerProvider) http.Handler {
	return otelhttp.NewHandler(NewPeerServer(service), "peer",
		otelhttp.WithTracerProvider(provider),
		otelhttp.WithPropagators(propagation.TraceContext{}),
		otelhttp.WithFilter(func(r *http.Request) bool { return r.Header.Get("Traceparent") != "" }),
		otelhttp.WithSpanNameFormatter(func(_ string, r *http.Request) string { return "peer " + path.Base(r.URL.Path) }))
}

// Client returns the client of an address (host:port).
func (c *Clients) Client(address string) Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = NewPeerProtobufClient(c.scheme+"://"+address, c.client)
		c.clients[address] = client
	}
	return client
}

// Close closes the idle connections.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }
