package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
)

// connections tracks the connections of a listener, so that they can be
// silenced or reset.
type connections struct {
	mu   sync.Mutex
	last int64
	open map[*conn]struct{}
}

// conn is a connection that can go silent: from then on it takes no more bytes
// in, sends none, and its peer sees no close until it is reset.
type conn struct {
	net.Conn
	id     int64
	owner  *connections
	silent atomic.Bool
}

type trackedListener struct {
	net.Listener
	owner *connections
}

func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.add(raw), nil
}

func (s *connections) add(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	c := &conn{Conn: raw, id: s.last, owner: s}
	if s.open == nil {
		s.open = map[*conn]struct{}{}
	}
	s.open[c] = struct{}{}
	return c
}

// count returns the number of open connections.
func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// silence makes the open connections silent, but for one, and returns their
// number.
func (s *connections) silence(except *conn) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.open {
		if c != except && c.silent.CompareAndSwap(false, true) {
			n++
		}
	}
	return n
}

// reset closes every connection, silent ones included, with a TCP reset.
func (s *connections) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			// Without this, unsent bytes would still reach the peer.
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
	clear(s.open)
}

// Read discards what arrives on a silent connection. It still returns at the
// read deadline, which net/http sets to interrupt a read.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				// The peer has closed, so nobody is left to notice the close.
				_ = c.release()
			}
			return 0, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.release()
}

func (c *conn) release() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// withConn is a ConnContext of http.Server for connOf.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, or nil outside a server.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
