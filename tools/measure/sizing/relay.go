package sizing

import (
	"bytes"
	"maps"
	"net"
	"sync"
)

// traffic counts what passed a relay.
type traffic struct {
	// sent and received are bytes as the client sees them.
	sent, received int64
	calls          map[string]int64
	// answered are the bytes received by the call that they answer.
	answered map[string]int64
}

func (t traffic) total() float64 { return float64(t.sent + t.received) }

func (t traffic) minus(before traffic) traffic {
	out := traffic{sent: t.sent - before.sent, received: t.received - before.received, calls: map[string]int64{}, answered: map[string]int64{}}
	for name, n := range t.calls {
		out.calls[name] = n - before.calls[name]
		out.answered[name] = t.answered[name] - before.answered[name]
	}
	return out
}

func (t traffic) allCalls() float64 {
	var n int64
	for _, calls := range t.calls {
		n += calls
	}
	return float64(n)
}

// answerBytes is the mean size of the answers to a call, with headers.
func (t traffic) answerBytes(call string) float64 {
	if t.calls[call] == 0 {
		return 0
	}
	return float64(t.answered[call]) / float64(t.calls[call])
}

// relay passes TCP connections on to a target and counts bytes and HTTP/1.1
// requests. last, shared by the two directions of a connection, is the call
// that is being answered. Encryption and the headers of TCP and IP are not counted.
type relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	counted traffic
	open    map[net.Conn]struct{}
	work    sync.WaitGroup
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{
		listener: listener, target: target,
		counted: traffic{calls: map[string]int64{}, answered: map[string]int64{}}, open: map[net.Conn]struct{}{},
	}
	r.work.Go(r.accept)
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) read() traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.counted
	out.calls, out.answered = maps.Clone(r.counted.calls), maps.Clone(r.counted.answered)
	return out
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		r.mu.Lock()
		r.open[client], r.open[server] = struct{}{}, struct{}{}
		r.mu.Unlock()
		var last string
		r.work.Go(func() { r.pass(server, client, &last, true) })
		r.work.Go(func() { r.pass(client, server, &last, false) })
	}
}

func (r *relay) pass(to, from net.Conn, last *string, request bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.count(buffer[:n], last, request)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	delete(r.open, from)
	r.mu.Unlock()
}

// count recognises a request by its first line: without pipelining a request
// begins with a read of its own.
func (r *relay) count(data []byte, last *string, request bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !request {
		r.counted.received += int64(len(data))
		r.counted.answered[*last] += int64(len(data))
		return
	}
	r.counted.sent += int64(len(data))
	if name, ok := callName(data); ok {
		r.counted.calls[name]++
		*last = name
	}
}

// callName returns the method and the fixed part of the path of a request.
func callName(data []byte) (string, bool) {
	first, _, _ := bytes.Cut(data, []byte("\r\n"))
	parts := bytes.Split(first, []byte(" "))
	if len(parts) != 3 || string(parts[2]) != "HTTP/1.1" {
		return "", false
	}
	path, _, _ := bytes.Cut(parts[1], []byte("?"))
	name := string(parts[0]) + " " + string(path)
	switch {
	case bytes.HasPrefix(path, []byte("/v1/kv/")):
		// Keys are escaped: their first part names the document.
		key, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/v1/kv/")), []byte("%2F"))
		name = string(parts[0]) + " " + string(key)
	case bytes.HasPrefix(path, []byte("/v1/vms/")):
		name = string(parts[0]) + " /v1/vms/{id}"
	case bytes.HasSuffix(path, []byte("/keepalive")):
		name = "keepalive"
	case bytes.HasPrefix(path, []byte("/v1/leases")):
		name = string(parts[0]) + " /v1/leases"
	}
	return name, true
}

// close ends the relay and its connections.
func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	for conn := range r.open {
		conn.Close()
	}
	r.mu.Unlock()
	r.work.Wait()
}
