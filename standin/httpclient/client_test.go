package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"dotterelhead.example/dotterelhead/infrastructure"
)

// startScriptedServer starts a server that reads one request on each connection,
// sends the given bytes and closes the connection, or keeps it open if hold is set.
func startScriptedServer(t *testing.T, response string, hold bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, response)
			}
			if hold {
				t.Cleanup(func() { _ = conn.Close() })
				continue
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

func rawResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func closedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a write that may have taken effect but is reported as without
// effect, and against one without effect that is reported as unknown.
func TestErrorMapping(t *testing.T) {
	all := []error{infrastructure.ErrConflict, infrastructure.ErrNotFound, infrastructure.ErrUnavailable, infrastructure.ErrOutcomeUnknown}
	for name, c := range map[string]struct {
		addr        string
		write, read error
	}{
		"refused":       {closedAddr(t), infrastructure.ErrUnavailable, infrastructure.ErrUnavailable},
		"closed":        {startScriptedServer(t, "", false), infrastructure.ErrOutcomeUnknown, infrastructure.ErrUnavailable},
		"silent":        {startScriptedServer(t, "", true), infrastructure.ErrOutcomeUnknown, infrastructure.ErrUnavailable},
		"half response": {startScriptedServer(t, rawResponse(200, `{"version":1}`)[:45], false), infrastructure.ErrOutcomeUnknown, infrastructure.ErrUnavailable},
		"not JSON":      {startScriptedServer(t, rawResponse(200, "<html>"), false), infrastructure.ErrOutcomeUnknown, infrastructure.ErrUnavailable},
		"503":           {startScriptedServer(t, rawResponse(503, `{"error":"down"}`), false), infrastructure.ErrUnavailable, infrastructure.ErrUnavailable},
		"500":           {startScriptedServer(t, rawResponse(500, ""), false), infrastructure.ErrOutcomeUnknown, infrastructure.ErrUnavailable},
		"409":           {startScriptedServer(t, rawResponse(409, ""), false), infrastructure.ErrConflict, infrastructure.ErrConflict},
		"404":           {startScriptedServer(t, rawResponse(404, ""), false), infrastructure.ErrNotFound, infrastructure.ErrNotFound},
		"400":           {startScriptedServer(t, rawResponse(400, `{"error":"key"}`), false), nil, nil},
		"redirect":      {startScriptedServer(t, "HTTP/1.1 307 x\r\nLocation: /v1/kv/b\r\nContent-Length: 0\r\n\r\n", false), nil, nil},
	} {
		timeout := 10 * time.Second
		if name == "silent" {
			timeout = 50 * time.Millisecond
		}
		client := NewClient(ClientOptions{BaseURL: c.addr, Timeout: timeout})
		_, writeErr := client.Put(t.Context(), "a", []byte("v"), 0, "")
		_, readErr := client.Get(t.Context(), "a")
		for call, err := range map[string]struct{ got, want error }{"write": {writeErr, c.write}, "read": {readErr, c.read}} {
			if err.got == nil {
				t.Errorf("%s, %s: no error", name, call)
			}
			for _, kind := range all {
				if errors.Is(err.got, kind) != (kind == err.want) {
					t.Errorf("%s, %s: error %v, want %v", name, call, err.got, err.want)
				}
			}
		}
		client.CloseIdleConnections()
	}
}

// Guards against an error that hides the caller's own deadline: it must match
// context.DeadlineExceeded as well as ErrUnknown.
func TestCallerDeadline(t *testing.T) {
	client := NewClient(ClientOptions{BaseURL: startScriptedServer(t, "", true), Timeout: time.Minute})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Put(ctx, "a", nil, 0, "")
	if !errors.Is(err, infrastructure.ErrOutcomeUnknown) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v", err)
	}
}

// Guards against calls without a span, and against a failed call whose span
// reports success.
func TestOneSpanPerCall(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	client := NewClient(ClientOptions{BaseURL: closedAddr(t), TracerProvider: provider})
	_, _ = client.VMs(t.Context())
	_ = client.Reboot(t.Context(), "vm", infrastructure.Operation{ID: "op"})
	ended := spans.Ended()
	if len(ended) != 2 || ended[0].Name() != "platform.vms" || ended[1].Name() != "platform.reboot" {
		t.Fatalf("spans %v", ended)
	}
	if ended[0].Status().Code != codes.Error {
		t.Errorf("span of a failed call has status %v", ended[0].Status())
	}
}
