package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// idleTimeout closes connections before middleboxes commonly forget them.
	idleTimeout = 15 * time.Second
	// verifyAfter is the idle time after which a connection is verified by a
	// health request before it carries a request.
	verifyAfter   = time.Second
	verifyTimeout = 500 * time.Millisecond
	dialTimeout   = time.Second
	keepAliveIdle = 5 * time.Second
	keepAliveTick = 5 * time.Second
	keepAliveMiss = 2
)

// ErrConnectionLimit reports that all connections to a worker are in use.
var ErrConnectionLimit = errors.New("connection limit of the worker reached")

// connection is one connection to a backend server. It carries one request at
// a time and is closed when a request on it was given up, so that a late
// answer cannot be read as the answer to a later request.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// written tells whether a byte of the present request was written.
	written bool
	vm      string
	idleAt  time.Time
	// blocked is when the call of Read or Write that is under way began, as
	// the time since epoch; 0 when there is none.
	blocked atomic.Int64
}

// epoch makes the times of blocked monotonic.
var epoch = time.Now()

// Read reads from the connection.
func (c *connection) Read(p []byte) (int, error) {
	c.blocked.Store(int64(time.Since(epoch)))
	defer c.blocked.Store(0)
	return c.Conn.Read(p)
}

// Write writes to the connection.
func (c *connection) Write(p []byte) (int, error) {
	c.blocked.Store(int64(time.Since(epoch)))
	defer c.blocked.Store(0)
	n, err := c.Conn.Write(p)
	c.written = c.written || n > 0
	return n, err
}

// silence returns for how long the other end has kept a call waiting. A
// caller that takes its answer slowly is no silence of the worker.
func (c *connection) silence() time.Duration {
	began := c.blocked.Load()
	if began == 0 {
		return 0
	}
	return time.Since(epoch) - time.Duration(began)
}

// connections keeps the idle connections to all workers and bounds the open
// ones.
type connections struct {
	dialer net.Dialer
	limit  func() int
	now    func() time.Time

	mu   sync.Mutex
	idle map[string][]*connection
	open map[string]int
}

func newConnections(limit func() int, now func() time.Time) *connections {
	return &connections{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveTick, Count: keepAliveMiss,
			},
		},
		limit: limit,
		now:   now,
		idle:  map[string][]*connection{},
		open:  map[string]int{},
	}
}

// get returns a verified connection to the worker.
func (c *connections) get(ctx context.Context, vm, address string) (*connection, error) {
	for {
		conn := c.takeIdle(vm)
		if conn == nil {
			return c.dial(ctx, vm, address)
		}
		if c.usable(conn) {
			return conn, nil
		}
		c.discard(conn)
	}
}

func (c *connections) takeIdle(vm string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[vm]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	c.idle[vm] = idle[:len(idle)-1]
	return conn
}

// usable reports whether an idle connection still works. A connection that
// was closed by the worker is readable; one that went silent does not answer
// the health request.
func (c *connections) usable(conn *connection) bool {
	idle := c.now().Sub(conn.idleAt)
	if idle > idleTimeout || conn.reader.Buffered() > 0 || isReadable(conn.Conn) {
		return false
	}
	return idle < verifyAfter || isHealthy(conn, verifyTimeout)
}

func (c *connections) dial(ctx context.Context, vm, address string) (*connection, error) {
	c.mu.Lock()
	if c.open[vm] >= c.limit() {
		c.mu.Unlock()
		return nil, ErrConnectionLimit
	}
	c.open[vm]++
	c.mu.Unlock()
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.forget(vm)
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	made := newConnection(conn)
	made.vm = vm
	return made, nil
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.reader, c.writer = bufio.NewReader(c), bufio.NewWriter(c)
	return c
}

func (c *connections) forget(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[vm]--; c.open[vm] == 0 {
		delete(c.open, vm)
	}
}

// put keeps a connection for later requests.
func (c *connections) put(conn *connection) {
	conn.idleAt = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.vm] = append(c.idle[conn.vm], conn)
}

func (c *connections) discard(conn *connection) {
	conn.Close()
	c.forget(conn.vm)
}

// closeIdle closes the idle connections to a worker.
func (c *connections) closeIdle(vm string) {
	c.mu.Lock()
	idle := c.idle[vm]
	delete(c.idle, vm)
	c.mu.Unlock()
	for _, conn := range idle {
		c.discard(conn)
	}
}

// closeExpired closes connections that have been idle for too long.
func (c *connections) closeExpired() {
	limit := c.now().Add(-idleTimeout)
	var expired []*connection
	c.mu.Lock()
	for vm, idle := range c.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if conn.idleAt.Before(limit) {
				expired = append(expired, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		c.idle[vm] = kept
	}
	c.mu.Unlock()
	for _, conn := range expired {
		c.discard(conn)
	}
}

func (c *connections) closeAll() {
	c.mu.Lock()
	idle := c.idle
	c.idle = map[string][]*connection{}
	c.mu.Unlock()
	for _, conns := range idle {
		for _, conn := range conns {
			c.discard(conn)
		}
	}
}

// isHealthy sends a health request on the connection and reads its answer.
func isHealthy(conn *connection, timeout time.Duration) bool {
	if conn.SetDeadline(time.Now().Add(timeout)) != nil {
		return false
	}
	defer conn.SetDeadline(time.Time{})
	r, err := http.NewRequest(http.MethodGet, "http://"+conn.RemoteAddr().String()+"/healthz", nil)
	if err != nil || r.Write(conn) != nil {
		return false
	}
	answer, err := http.ReadResponse(conn.reader, r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return drain(answer) && !answer.Close
}
