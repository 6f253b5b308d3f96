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
	// idleTimeout closes idle connections before middleboxes commonly drop them
	// from their tables.
	idleTimeout = 15 * time.Second
	// verifyAfter is the idle time after which a connection is verified by a
	// health request before it carries a request.
	verifyAfter       = time.Second
	verifyTimeout     = 500 * time.Millisecond
	dialTimeout       = time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 2
)

// ErrConnectionLimit reports that all connections to a worker are in use.
var ErrConnectionLimit = errors.New("connection limit of the worker reached")

// connection is one connection to a worker. It carries one request at
// a time and is closed when that request is abandoned, so that a late answer
// cannot be read as the answer to a later request.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// written reports whether a byte of the current request has been written.
	written bool
	// vm is the ID of the worker.
	vm        string
	idleSince time.Time
	// blockedSince is when the current call of Read or Write began, as the time
	// since epoch; 0 when there is none.
	blockedSince atomic.Int64
}

// epoch is the start of the monotonic times in blockedSince.
var epoch = time.Now()

// Read reads from the connection.
func (c *connection) Read(p []byte) (int, error) {
	c.blockedSince.Store(int64(time.Since(epoch)))
	defer c.blockedSince.Store(0)
	return c.Conn.Read(p)
}

// Write writes to the connection.
func (c *connection) Write(p []byte) (int, error) {
	c.blockedSince.Store(int64(time.Since(epoch)))
	defer c.blockedSince.Store(0)
	n, err := c.Conn.Write(p)
	c.written = c.written || n > 0
	return n, err
}

// silence returns for how long the current call of Read or Write has been
// waiting for the worker. While a slow caller takes its answer, no call is in
// progress and the silence is 0.
func (c *connection) silence() time.Duration {
	began := c.blockedSince.Load()
	if began == 0 {
		return 0
	}
	return time.Since(epoch) - time.Duration(began)
}

// connectionPool holds the idle connections to all workers and limits the number
// of open ones.
type connectionPool struct {
	dialer net.Dialer
	limit  func() int
	now    func() time.Time

	mu   sync.Mutex
	idle map[string][]*connection
	open map[string]int
}

func newConnectionPool(limit func() int, now func() time.Time) *connectionPool {
	return &connectionPool{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
		limit: limit,
		now:   now,
		idle:  map[string][]*connection{},
		open:  map[string]int{},
	}
}

// get returns a connection to the worker with the ID vm. It verifies a connection
// that has been idle for verifyAfter or longer.
func (c *connectionPool) get(ctx context.Context, vm, address string) (*connection, error) {
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

func (c *connectionPool) takeIdle(vm string) *connection {
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
func (c *connectionPool) usable(conn *connection) bool {
	idle := c.now().Sub(conn.idleSince)
	if idle > idleTimeout || conn.reader.Buffered() > 0 || isReadable(conn.Conn) {
		return false
	}
	return idle < verifyAfter || isHealthy(conn, verifyTimeout)
}

func (c *connectionPool) dial(ctx context.Context, vm, address string) (*connection, error) {
	c.mu.Lock()
	if c.open[vm] >= c.limit() {
		c.mu.Unlock()
		return nil, ErrConnectionLimit
	}
	c.open[vm]++
	c.mu.Unlock()
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.decrementOpen(vm)
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

func (c *connectionPool) decrementOpen(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[vm]--; c.open[vm] == 0 {
		delete(c.open, vm)
	}
}

// put returns a connection to the pool.
func (c *connectionPool) put(conn *connection) {
	conn.idleSince = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.vm] = append(c.idle[conn.vm], conn)
}

func (c *connectionPool) discard(conn *connection) {
	conn.Close()
	c.decrementOpen(conn.vm)
}

// closeIdle closes the idle connections to the worker with the ID vm.
func (c *connectionPool) closeIdle(vm string) {
	c.mu.Lock()
	idle := c.idle[vm]
	delete(c.idle, vm)
	c.mu.Unlock()
	for _, conn := range idle {
		c.discard(conn)
	}
}

// closeExpired closes connections that have been idle for too long.
func (c *connectionPool) closeExpired() {
	cutoff := c.now().Add(-idleTimeout)
	var expired []*connection
	c.mu.Lock()
	for vm, idle := range c.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if conn.idleSince.Before(cutoff) {
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

func (c *connectionPool) closeAll() {
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
