// Package httpclient is a client of the stand-in platform's HTTP API.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"dotterelhead.example/dotterelhead/infrastructure"
)

// EntryHeader is the header that carries the id of the calling entry VM, which is a VM
// that runs dotterelheadd.
const EntryHeader = "X-Entry"

const (
	defaultTimeout = 2 * time.Second
	// maxResponseBytes bounds the body of a response; a longer one fails the call. It
	// fits a list of several dozen values of 1 MiB in base64.
	maxResponseBytes = 64 << 20
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// BaseURL is the address of the platform; "http://" is assumed when it has
	// no scheme.
	BaseURL string
	// Timeout bounds one call. For a watch, the time that it waits for changes is
	// added. The default is 2 s.
	Timeout time.Duration
	// HTTPClient supplies the transport and the settings of the client except
	// CheckRedirect: redirects are never followed. By default the client creates
	// its own transport.
	HTTPClient *http.Client
	// Entry is the id of the calling entry VM, sent as X-Entry.
	Entry string
	// TracerProvider receives one span for each call. The default is the
	// global provider.
	TracerProvider trace.TracerProvider
	// Scope receives platform_calls_total and platform_call_seconds.
	Scope tally.Scope
}

// Client implements infrastructure.Platform over HTTP and JSON.
//
// It reports ErrUnavailable only when the call had no effect. A write that was
// passed to a connection and got no complete response is reported as ErrUnknown.
// The client does not retry calls.
type Client struct {
	base    string
	timeout time.Duration
	entry   string
	scope   tally.Scope
	http    *http.Client
	// transport is the transport inside the tracing transport, which does not
	// forward CloseIdleConnections.
	transport http.RoundTripper
}

var _ infrastructure.Platform = (*Client)(nil)

// NewClient returns a client of the platform at BaseURL.
func NewClient(o ClientOptions) *Client {
	base := strings.TrimRight(o.BaseURL, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	hc := http.Client{}
	if o.HTTPClient != nil {
		hc = *o.HTTPClient
	}
	rt := hc.Transport
	if rt == nil {
		t := http.DefaultTransport.(*http.Transport).Clone()
		t.Proxy = nil
		t.MaxIdleConnsPerHost = 16
		rt = t
	}
	opts := []otelhttp.Option{
		otelhttp.WithSpanNameFormatter(spanName),
		otelhttp.WithPropagators(propagation.TraceContext{}),
	}
	if o.TracerProvider != nil {
		opts = append(opts, otelhttp.WithTracerProvider(o.TracerProvider))
	}
	hc.Transport = otelhttp.NewTransport(rt, opts...)
	// The platform's API has no redirects; one is reported as an unexpected status.
	hc.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: base, timeout: o.Timeout, entry: o.Entry, scope: o.Scope, http: &hc, transport: rt}
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() {
	if t, ok := c.transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

type callNameKey struct{}

func spanName(_ string, r *http.Request) string {
	if name, ok := r.Context().Value(callNameKey{}).(string); ok {
		return "platform." + name
	}
	return "platform " + r.Method
}

// call is one request to the platform.
type call struct {
	name     string
	method   string
	path     string
	query    url.Values
	body     any
	response any
	// write is set for calls that change the state of the platform.
	write bool
	wait  time.Duration
}

// callError combines the kind of a failure with its cause, so that errors.Is
// matches both.
type callError struct {
	call   string
	kind   error
	reason string
	cause  error
}

func (e *callError) Error() string {
	s := "platform " + e.call + ": " + e.kind.Error()
	if e.reason != "" {
		s += ": " + e.reason
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

func (e *callError) Unwrap() []error {
	if e.cause == nil {
		return []error{e.kind}
	}
	return []error{e.kind, e.cause}
}

func (k *call) fail(kind error, reason string, cause error) error {
	return errors.WithStack(&callError{call: k.name, kind: kind, reason: reason, cause: cause})
}

// incomplete returns the error of a call without a complete response.
func (k *call) incomplete(sent bool, cause error) error {
	if k.write && sent {
		return k.fail(infrastructure.ErrOutcomeUnknown, "", cause)
	}
	return k.fail(infrastructure.ErrUnavailable, "", cause)
}

// do runs a call with send and records its metrics.
func (c *Client) do(ctx context.Context, k *call) error {
	started := time.Now()
	err := c.send(ctx, k)
	scope := c.scope.Tagged(map[string]string{"call": k.name})
	scope.Tagged(map[string]string{"result": resultOf(ctx, err)}).Counter("platform_calls_total").Inc(1)
	if k.wait == 0 {
		scope.Timer("platform_call_seconds").Record(time.Since(started))
	}
	return err
}

// resultOf returns the result label of a call in the metrics. Calls cancelled by
// the caller have a label of their own, because they say nothing about the
// platform.
func resultOf(ctx context.Context, err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(ctx.Err(), context.Canceled):
		return "cancelled"
	case errors.Is(err, infrastructure.ErrConflict):
		return "conflict"
	case errors.Is(err, infrastructure.ErrNotFound):
		return "not_found"
	case errors.Is(err, infrastructure.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, infrastructure.ErrOutcomeUnknown):
		return "unknown"
	}
	return "refused"
}

// send sends the request of a call, decodes the response and maps failures to the
// errors of package infrastructure.
func (c *Client) send(ctx context.Context, k *call) error {
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, callNameKey{}, k.name), c.timeout+k.wait)
	defer cancel()
	// A request counts as sent once it has a connection: from then on bytes may
	// have been sent even if the write reports an error.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := c.newRequest(ctx, k)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// A network failure usually affects all connections to the platform. If
			// the idle ones stayed open, each of them could cost another call its
			// timeout.
			c.CloseIdleConnections()
		}
		return k.incomplete(sent.Load(), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			c.CloseIdleConnections()
		}
		return k.incomplete(true, err)
	}
	if len(data) > maxResponseBytes {
		return k.incomplete(true, errors.Errorf("response exceeds %d bytes", maxResponseBytes))
	}
	if err := k.checkStatus(resp.StatusCode, data); err != nil {
		return err
	}
	if k.response == nil {
		return nil
	}
	if err := json.Unmarshal(data, k.response); err != nil {
		return k.incomplete(true, errors.Wrap(err, "decode response"))
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, k *call) (*http.Request, error) {
	var body io.Reader
	if k.body != nil {
		data, err := json.Marshal(k.body)
		if err != nil {
			return nil, errors.Wrapf(err, "platform %s: encode request", k.name)
		}
		body = bytes.NewReader(data)
	}
	u := c.base + k.path
	if len(k.query) > 0 {
		u += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, u, body)
	if err != nil {
		return nil, errors.Wrapf(err, "platform %s: create request", k.name)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.entry != "" {
		req.Header.Set(EntryHeader, c.entry)
	}
	return req, nil
}

// checkStatus maps the status code of a response to the errors of package
// infrastructure.
func (k *call) checkStatus(code int, data []byte) error {
	if code >= 200 && code < 300 {
		return nil
	}
	var response ErrorResponse
	reason := "status " + strconv.Itoa(code)
	if json.Unmarshal(data, &response) == nil && response.Error != "" {
		reason += ": " + response.Error
	}
	switch {
	case code == http.StatusNotFound:
		return k.fail(infrastructure.ErrNotFound, reason, nil)
	case code == http.StatusConflict:
		return k.fail(infrastructure.ErrConflict, reason, nil)
	case code == http.StatusServiceUnavailable, code == http.StatusTooManyRequests:
		return k.fail(infrastructure.ErrUnavailable, reason, nil)
	case code >= 500:
		return k.incomplete(true, errors.New(reason))
	}
	return errors.Errorf("platform %s: request refused: %s", k.name, reason)
}

func versionQuery(version int64) url.Values {
	return url.Values{"version": {strconv.FormatInt(version, 10)}}
}

func keyPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (infrastructure.KeyValue, error) {
	if key == "" {
		return infrastructure.KeyValue{}, errors.New("platform get: empty key")
	}
	var kv infrastructure.KeyValue
	err := c.do(ctx, &call{name: "get", method: http.MethodGet, path: keyPath(key), response: &kv})
	return kv, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]infrastructure.KeyValue, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var response ListResponse
	err := c.do(ctx, &call{name: "list", method: http.MethodGet, path: "/v1/kv", query: q, response: &response})
	return response.Items, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected int64, lease string) (int64, error) {
	if key == "" {
		return 0, errors.New("platform put: empty key")
	}
	q := versionQuery(expected)
	if lease != "" {
		q.Set("lease", lease)
	}
	var response PutResponse
	err := c.do(ctx, &call{
		name: "put", method: http.MethodPut, path: keyPath(key), query: q,
		body: PutRequest{Value: value}, response: &response, write: true,
	})
	return response.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	if key == "" {
		return errors.New("platform delete: empty key")
	}
	return c.do(ctx, &call{
		name: "delete", method: http.MethodDelete, path: keyPath(key), query: versionQuery(expected), write: true,
	})
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (infrastructure.WatchResult, error) {
	q := url.Values{
		"prefix":       {prefix},
		"after":        {strconv.FormatInt(after, 10)},
		"wait_seconds": {strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)},
	}
	var result infrastructure.WatchResult
	err := c.do(ctx, &call{
		name: "watch", method: http.MethodGet, path: "/v1/watch", query: q, response: &result, wait: wait,
	})
	return result, err
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (string, error) {
	var response LeaseResponse
	err := c.do(ctx, &call{
		name: "lease_grant", method: http.MethodPost, path: "/v1/leases",
		body: LeaseRequest{TTLSeconds: ttl.Seconds()}, response: &response, write: true,
	})
	return response.Lease, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease string) error {
	return c.do(ctx, &call{
		name: "lease_keepalive", method: http.MethodPost,
		path: "/v1/leases/" + url.PathEscape(lease) + "/keepalive", write: true,
	})
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, lease string) error {
	return c.do(ctx, &call{
		name: "lease_revoke", method: http.MethodDelete,
		path: "/v1/leases/" + url.PathEscape(lease), write: true,
	})
}

// VMs implements Inventory.
func (c *Client) VMs(ctx context.Context) ([]infrastructure.VM, error) {
	var response VMsResponse
	err := c.do(ctx, &call{name: "vms", method: http.MethodGet, path: "/v1/vms", response: &response})
	return response.VMs, err
}

// VM implements VMOperations.
func (c *Client) VM(ctx context.Context, vm string) (infrastructure.VM, error) {
	var response infrastructure.VM
	err := c.do(ctx, &call{name: "vm", method: http.MethodGet, path: "/v1/vms/" + url.PathEscape(vm), response: &response})
	return response, err
}

// Drain implements VMOperations.
func (c *Client) Drain(ctx context.Context, vm string, op infrastructure.Operation) error {
	return c.vmOperation(ctx, "drain", vm, op)
}

// Reboot implements VMOperations.
func (c *Client) Reboot(ctx context.Context, vm string, op infrastructure.Operation) error {
	return c.vmOperation(ctx, "reboot", vm, op)
}

func (c *Client) vmOperation(ctx context.Context, name, vm string, op infrastructure.Operation) error {
	return c.do(ctx, &call{
		name: name, method: http.MethodPost, path: "/v1/vms/" + url.PathEscape(vm) + "/" + name,
		body: op, write: true,
	})
}
