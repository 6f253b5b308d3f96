package peer

import (
	"net"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"dotterelhead.example/dotterelhead/tlsconfig"
)

// ClientsOptions configure Clients.
type ClientsOptions struct {
	// TLS is nil for plain connections.
	TLS *tlsconfig.Source
	// Timeout bounds one call. Acquire and Await wait in queues and have
	// bounds of their own.
	Timeout time.Duration
}

// Clients makes and keeps one client for each address of an entry VM.
type Clients struct {
	scheme string
	client *http.Client
	// transport is what the tracing transport wraps, which does not pass
	// CloseIdleConnections on.
	transport *http.Transport

	mu      sync.Mutex
	clients map[string]Peer
}

// NewClients returns an empty set of clients.
func NewClients(options ClientsOptions) *Clients {
	transport := &http.Transport{
		DialContext: (&net.Dialer{
			Timeout:         time.Second,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 2},
		}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     15 * time.Second,
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
			Transport: otelhttp.NewTransport(transport, otelhttp.WithSpanNameFormatter(
				func(_ string, r *http.Request) string { return "entry VM " + r.URL.Path })),
			Timeout: options.Timeout,
		},
		clients: map[string]Peer{},
	}
}

// Dial returns the client of an address (host:port).
func (c *Clients) Dial(address string) Peer {
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
