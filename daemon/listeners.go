package daemon

import (
	"bytes"
	"context"
	"crypto/tls"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/ingress"
	"dotterelhead.example/dotterelhead/settings"
	"dotterelhead.example/dotterelhead/tlsconfig"
)

const (
	// headerTimeout bounds the TLS handshake and the reading of the request
	// headers.
	headerTimeout = 10 * time.Second
	// operatorReadTimeout bounds the reading of a whole operator request, such
	// as a note. The other listeners have no read timeout, because their
	// handlers may run for longer than that. The caller listener bounds the
	// reading of a body by the deadline of the request.
	operatorReadTimeout = 30 * time.Second
	// idleTimeout is the time after which an idle keep-alive connection
	// is closed.
	idleTimeout = 60 * time.Second
)

// listeners are the three listeners of an entry VM.
type listeners struct {
	caller, operator, peer                   net.Listener
	callerServer, operatorServer, peerServer *http.Server
}

func (l *listeners) open(s settings.Settings, secured security) error {
	for _, listener := range []struct {
		address string
		source  *tlsconfig.Source
		target  *net.Listener
	}{
		{s.CallerListen, secured.caller, &l.caller},
		{s.OperatorListen, secured.operator, &l.operator},
		{s.PeerListen, secured.peer, &l.peer},
	} {
		opened, err := listen(listener.address, listener.source)
		if err != nil {
			l.closeListeners()
			return err
		}
		*listener.target = opened
	}
	return nil
}

// listen opens a listener, with TLS if source is not nil. TLS listeners serve
// HTTP/1.1 only, as the plain ones do.
func listen(address string, source *tlsconfig.Source) (net.Listener, error) {
	var config *tls.Config
	if source != nil {
		var err error
		if config, err = source.Server(); err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
	}
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if config == nil {
		return opened, nil
	}
	return tls.NewListener(opened, config), nil
}

func (l *listeners) closeListeners() {
	for _, listener := range []net.Listener{l.caller, l.operator, l.peer} {
		if listener != nil {
			listener.Close()
		}
	}
}

// serve starts the servers. The returned channel receives the error of every
// server that fails.
func (l *listeners) serve(caller *ingress.Handler, operator, peer http.Handler, maxHeaderBytes int, logger *log.Logger) <-chan error {
	server := func(name string, handler http.Handler) *http.Server {
		return &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: stdlog.New(serverLog{listener: name, log: logger}, "", 0),
		}
	}
	l.callerServer, l.operatorServer, l.peerServer = server("caller", caller), server("operator", operator), server("peer", peer)
	l.operatorServer.ReadTimeout = operatorReadTimeout
	failed := make(chan error, 3)
	start := func(server *http.Server, listener net.Listener) {
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrap(err, "serve")
			}
		}()
	}
	start(l.callerServer, caller.Attach(l.callerServer, l.caller))
	start(l.operatorServer, l.operator)
	start(l.peerServer, l.peer)
	return failed
}

func (l *listeners) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, server := range []*http.Server{l.peerServer, l.operatorServer, l.callerServer} {
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
	}
}

// serverLog turns the errors that net/http logs, such as failed TLS handshakes,
// into log events.
type serverLog struct {
	listener string
	log      *log.Logger
}

// Write implements io.Writer. Each call logs one event.
func (s serverLog) Write(text []byte) (int, error) {
	s.log.Warn().Str("event", "listener_error").Str("listener", s.listener).Bytes("error", bytes.TrimSpace(text)).Msg("")
	return len(text), nil
}
