package sizing

import (
	"bytes"
	"maps"
	"net"
	"sync"
)

// traffic counts the bytes and calls that passed a relay.
type traffic struct {
	// sent and received are bytes as the client sees them.
	sent, received int64
	calls          map[string]int64
	// responseBytes are the received bytes for each call.
	responseBytes map[string]int64
}

func (t traffic) total() float64 { return float64(t.sent + t.received) }

func (t traffic) minus(before traffic) traffic {
	out := traffic{sent: t.sent - before.sent, received: t.received - before.received, calls: map[string]int64{}, responseBytes: map[string]int64{}}
	for name, n := range t.calls {
		out.calls[name] = n - before.calls[name]
		out.responseBytes[name] = t.responseBytes[name] - before.responseBytes[name]
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

// meanResponseBytes returns the mean size of the responses to a call, including
// headers.
func (t traffic) meanResponseBytes(call string) float64 {
	if t.calls[call] == 0 {
		return 0
	}
	return float64(t.responseBytes[call]) / float64(t.calls[call])
}

// relay forwards TCP connections to a target and counts bytes and HTTP/1.1
// requests. The two directions of a connection share currentCall, the call to
// which response bytes are attributed. Encryption and the headers of TCP and IP
// are not counted.
type relay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	counted    traffic
	open       map[net.Conn]struct{}
	goroutines sync.WaitGroup
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{
		listener: listener, target: target,
		counted: traffic{calls: map[string]int64{}, responseBytes: map[string]int64{}}, open: map[net.Conn]struct{}{},
	}
	r.goroutines.Go(r.accept)
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) read() traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.counted
	out.calls, out.responseBytes = maps.Clone(r.counted.calls), maps.Clone(r.counted.responseBytes)
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
		var currentCall string
		r.goroutines.Go(func() { r.copyStream(server, client, &currentCall, true) })
		r.goroutines.Go(func() { r.copyStream(client, server, &currentCall, false) })
	}
}

func (r *relay) copyStream(to, from net.Conn, currentCall *string, request bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.count(buffer[:n], currentCall, request)
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

// count recognises a request by its first line. Without pipelining each request
// starts at the beginning of a read.
func (r *relay) count(data []byte, currentCall *string, request bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !request {
		r.counted.received += int64(len(data))
		r.counted.responseBytes[*currentCall] += int64(len(data))
		return
	}
	r.counted.sent += int64(len(data))
	if name, ok := callName(data); ok {
		r.counted.calls[name]++
		*currentCall = name
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
		// Keys are escaped; the part before the first slash names the document.
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

// close closes the listener and all connections and waits for the goroutines.
func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	for conn := range r.open {
		conn.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}
