package processtest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// relay is a TCP proxy in front of one listener that can inject faults.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   func(client net.Addr) bool
	fault relayFault
	conns map[net.Conn]bool
}

// relayFault is a fault that a relay applies to all its connections. The
// connections stay open, as in a network that loses packets.
type relayFault struct {
	// delay is added to everything that is forwarded.
	delay time.Duration
	// loseRequests drops the data that clients send, loseAnswers the data sent to
	// clients. Once a connection has lost data in one direction, nothing more is
	// forwarded in that direction.
	loseRequests, loseAnswers bool
}

func cutNone(net.Addr) bool { return false }
func cutAll(net.Addr) bool  { return true }

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	r, err := startRelay(t, freeAddresses(t, 1)[0], target)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// startRelay may be called from any goroutine, because it does not end the test
// on an error.
func startRelay(t *testing.T, listen, target string) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, cut: cutNone, conns: map[net.Conn]bool{}}
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
			go r.forward(conn)
		}
	}()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setCut drops the data in both directions of all connections for which the
// function returns true. The connections stay open. Once a cut is lifted, later data
// is forwarded again, even after a gap.
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

// reset closes all open connections with a TCP reset, which discards data that
// was not sent yet.
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

func (r *relay) forward(client net.Conn) {
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
			delay, lost, cut := r.currentFault(client, requests)
			time.Sleep(delay)
			// After a fault, the receiver could not parse what follows the lost
			// bytes.
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

// currentFault returns by how much data is delayed, and whether it is dropped by a
// fault or a cut.
func (r *relay) currentFault(client net.Addr, requests bool) (delay time.Duration, lost, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost = r.fault.loseAnswers
	if requests {
		lost = r.fault.loseRequests
	}
	return r.fault.delay, lost, r.cut(client)
}
