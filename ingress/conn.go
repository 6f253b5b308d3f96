package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"dotterelhead.example/dotterelhead/request"
)

// Attach makes the server serve the handler and returns the listener to serve
// on. Requests that net/http refuses by itself, for example with headers that
// are too large, get a problem with an outcome like all others.
func (h *Handler) Attach(server *http.Server, listener net.Listener) net.Listener {
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.serving.Store(true)
		}
		h.ServeHTTP(w, r)
	})
	// net/http would answer OPTIONS * by itself, without an outcome.
	server.DisableGeneralOptionsHandler = true
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.serving.Store(false)
		}
	}
	return &connListener{Listener: listener, handler: h}
}

type connKey struct{}

type connListener struct {
	net.Listener
	handler *Handler
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, handler: l.handler}, nil
}

// conn is a connection of a caller. Data that is written while the handler is
// not serving a request is an error response of net/http itself, which conn
// replaces by a problem. net/http closes the connection afterwards.
type conn struct {
	net.Conn
	handler *Handler
	// serving is true from the start of the handler until the answer has been
	// written completely.
	serving atomic.Bool
	// refused is true once the problem has replaced the error response.
	refused atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if c.serving.Load() {
		return c.Conn.Write(data)
	}
	if c.refused.Swap(true) {
		return len(data), nil
	}
	result := refusalOfServer(data)
	c.handler.count(nil, result, 0)
	header := http.Header{}
	body := encodeProblem(header, result)
	answer := http.Response{
		StatusCode: result.Problem.Status, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Close: true,
	}
	var text bytes.Buffer
	if err := answer.Write(&text); err != nil {
		return 0, err
	}
	if _, err := c.Conn.Write(text.Bytes()); err != nil {
		return 0, err
	}
	return len(data), nil
}

// CloseWrite lets net/http close its side for writing first, so that the caller
// can read the refusal before its unread data causes a reset of the connection.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// refusalOfServer translates the status line of an error response of net/http.
func refusalOfServer(data []byte) request.Result {
	line, _, _ := strings.Cut(string(data), "\r\n")
	_, line, _ = strings.Cut(line, " ")
	code, text, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < http.StatusBadRequest {
		status = http.StatusBadRequest
	}
	title := strings.ToLower(http.StatusText(status))
	switch status {
	case http.StatusBadRequest:
		title = titleMalformed
	case http.StatusRequestHeaderFieldsTooLarge:
		title = "headers too large"
	case http.StatusNotImplemented:
		title = "transfer encoding not supported"
	}
	return request.Refused(status, title, "the request could not be read: "+text, defaultRetryAfter)
}
