package processtest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// relay passes the connections to one listener on, with faults.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   func(client net.Addr) bool
	fault relayFault
	conns map[net.Conn]bool
}

// relayFault is what a relay does to all connections. Open connections stay
// open, as in a network that loses packets.
type relayFault struct {
	// Delay is added to everything that is passed on.
	Delay time.Duration
	// LoseRequests drops what clients send, LoseAnswers what they are sent. A
	// connection that has lost something stays silent in that direction.
	LoseRequests, LoseAnswers bool
}

func nothing(net.Addr) bool    { return false }
func everything(net.Addr) bool { return true }

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	r, err := startRelay(t, freeAddresses(t, 1)[0], target)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// startRelay may be called outside the test's goroutine.
func startRelay(t *testing.T, listen, target string) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, cut: nothing, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		listener.Close()
		r.reset()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(conn)
		}
	}()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setCut cuts the connections for which the function returns true.
func (r *relay) setCut(cut func(client net.Addr) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *relay) setFault(f relayFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// reset ends all open connections at once, without what is under way.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	clear(r.conns)
}

func (r *relay) pass(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	r.mu.Lock()
	r.conns[client], r.conns[server] = true, true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, client)
		delete(r.conns, server)
	}()
	go r.copy(server, client, client.RemoteAddr(), true)
	r.copy(client, server, client.RemoteAddr(), false)
}

func (r *relay) copy(to, from net.Conn, client net.Addr, requests bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			delay, lost, cut := r.fate(client, requests)
			time.Sleep(delay)
			// What follows lost bytes would not be understood.
			silent = silent || lost
			if !silent && !cut {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// fate returns how long bytes are held up, and whether they are lost by a
// fault or a cut.
func (r *relay) fate(client net.Addr, requests bool) (delay time.Duration, lost, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost = r.fault.LoseAnswers
	if requests {
		lost = r.fault.LoseRequests
	}
	return r.fault.Delay, lost, r.cut(client)
}
