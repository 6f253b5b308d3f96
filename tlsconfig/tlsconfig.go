// Package tlsconfig makes TLS configurations and bearer tokens from files and
// follows the files when they change, so that certificates and tokens are
// replaced without a restart.
package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// handshakeTimeout bounds the handshake of a new connection, as net/http does
// for transports without a dial function of their own.
const handshakeTimeout = 10 * time.Second

// Options name the files of a Source.
type Options struct {
	// CertFile and KeyFile hold this process's certificate chain and key in
	// PEM. A client without mutual TLS leaves them empty.
	CertFile string
	KeyFile  string
	// CAFile holds the authorities that sign the other side's certificates.
	// With it a server demands client certificates. A client without it trusts
	// the authorities of the system.
	CAFile string
	// CheckInterval bounds how often the files are read again; the default is
	// 1 s.
	CheckInterval time.Duration
	// OnError is called, at most once in a row for the same error, when changed
	// files cannot be used. The former ones stay in force.
	OnError func(error)
}

// Source makes TLS configurations that follow the files.
type Source struct{ files *files[*material] }

// material is the parsed content of the files.
type material struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// New reads the files and returns a source.
func New(o Options) (*Source, error) {
	if (o.CertFile == "") != (o.KeyFile == "") {
		return nil, errors.New("a certificate needs a key and a key needs a certificate")
	}
	if o.CertFile == "" && o.CAFile == "" {
		return nil, errors.New("neither a certificate nor a CA is set")
	}
	f, err := newFiles([]string{o.CertFile, o.KeyFile, o.CAFile}, o.CheckInterval, o.OnError, func(c [][]byte) (*material, error) {
		return parse(o, c)
	})
	if err != nil {
		return nil, err
	}
	return &Source{files: f}, nil
}

func parse(o Options, contents [][]byte) (*material, error) {
	m := &material{}
	if o.CertFile != "" {
		pair, err := tls.X509KeyPair(contents[0], contents[1])
		if err != nil {
			return nil, errors.Wrapf(err, "certificate %s with key %s", o.CertFile, o.KeyFile)
		}
		m.certificate = &pair
	}
	if o.CAFile != "" {
		m.pool = x509.NewCertPool()
		if !m.pool.AppendCertsFromPEM(contents[2]) {
			return nil, errors.Errorf("%s holds no certificate", o.CAFile)
		}
	}
	return m, nil
}

// Expires returns the end of the validity of the certificate in force; zero
// without a certificate.
func (s *Source) Expires() time.Time {
	m := s.files.current()
	if m.certificate == nil || m.certificate.Leaf == nil {
		return time.Time{}
	}
	return m.certificate.Leaf.NotAfter
}

// Server returns a configuration for a listener. Each handshake uses the files
// of that moment; with a CA the client must present a certificate signed by it.
// Without NextProtos the listener speaks HTTP/1.1 only.
func (s *Source) Server() (*tls.Config, error) {
	if s.files.current().certificate == nil {
		return nil, errors.New("a TLS listener needs a certificate")
	}
	base := &tls.Config{MinVersion: tls.VersionTLS12}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.files.current().server(base.NextProtos), nil
	}
	// net/http asks for a certificate here before it serves TLS.
	base.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return s.files.current().certificate, nil
	}
	return base, nil
}

func (m *material) server(protocols []string) *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{*m.certificate},
		NextProtos:   protocols,
	}
	if m.pool != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = m.pool
		// A resumed session would skip the check against a changed CA.
		c.SessionTicketsDisabled = true
	}
	return c
}

// Client returns a configuration for one connection, made from the files of
// this moment. The server is verified against serverName, which may be an IP
// address. Long-lived clients use DialTLSContext or Transport, which follow a
// change of the CA too.
func (s *Source) Client(serverName string) *tls.Config {
	m := s.files.current()
	c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName, RootCAs: m.pool}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}
	return c
}

// DialTLSContext connects and completes the handshake with the files of this
// moment. The server is verified against the host of addr.
func (s *Source) DialTLSContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return s.dial(ctx, (&net.Dialer{}).DialContext, network, addr)
}

// Transport sets t to make its TLS connections with the files of the moment and
// returns it. The DialContext that t has makes the connections below TLS.
func (s *Source) Transport(t *http.Transport) *http.Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return s.dial(ctx, dial, network, addr)
	}
	return t
}

func (s *Source) dial(ctx context.Context, dial func(context.Context, string, string) (net.Conn, error), network, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	plain, err := dial(ctx, network, addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	conn := tls.Client(plain, s.Client(host))
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		plain.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return conn, nil
}
