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

// connections tracks the open connections of a listener, so that they can be
// silenced or reset.
type connections struct {
	mu     sync.Mutex
	lastID int64
	open   map[*conn]struct{}
}

// conn is a connection that can be silenced. A silent connection discards what it
// receives and sends nothing, and its peer sees no close until it is reset.
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
	s.lastID++
	c := &conn{Conn: raw, id: s.lastID, owner: s}
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

// silence silences the open connections except one and returns their number.
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
			// Discards unsent bytes, which would otherwise still reach the peer.
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
				// The peer has closed the connection, so it cannot observe this close.
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

// withConn is the ConnContext hook of http.Server that requestConn relies on.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// requestConn returns the connection of a request, or nil if the request did not
// arrive over a trackedListener.
func requestConn(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
