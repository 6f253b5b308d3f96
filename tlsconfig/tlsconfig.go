// Package tlsconfig loads TLS certificates and bearer tokens from files and reloads
// them when the files change, so that they can be replaced without a restart.
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

// handshakeTimeout bounds the TLS handshake of a new connection. The timeout of
// net/http does not apply to transports with a dial function of their own.
const handshakeTimeout = 10 * time.Second

// Options name the files of a Source.
type Options struct {
	// CertFile and KeyFile are PEM files with the certificate chain and the key
	// of this process. They are empty for a client without mutual TLS.
	CertFile string
	KeyFile  string
	// CAFile is a PEM file with the CAs that sign the certificates of the other
	// side. A server with it requires client certificates. A client without it
	// trusts the CAs of the system.
	CAFile string
	// CheckInterval is the minimum time between two reads of the files; the
	// default is 1 s.
	CheckInterval time.Duration
	// OnError is called when changed files cannot be used. It is not called
	// again for the same error in a row. The previous contents stay in use.
	OnError func(error)
}

// Source creates TLS configurations from files that are reloaded when they change.
type Source struct{ reloader *reloader[*credentials] }

// credentials holds the parsed contents of the files.
type credentials struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// New loads the files and returns a Source.
func New(o Options) (*Source, error) {
	if (o.CertFile == "") != (o.KeyFile == "") {
		return nil, errors.New("CertFile and KeyFile must be set together, only one of them is set")
	}
	if o.CertFile == "" && o.CAFile == "" {
		return nil, errors.New("neither a certificate nor a CA is set")
	}
	files, err := newReloader([]string{o.CertFile, o.KeyFile, o.CAFile}, o.CheckInterval, o.OnError, func(c [][]byte) (*credentials, error) {
		return parseCredentials(o, c)
	})
	if err != nil {
		return nil, err
	}
	return &Source{reloader: files}, nil
}

func parseCredentials(o Options, contents [][]byte) (*credentials, error) {
	creds := &credentials{}
	if o.CertFile != "" {
		pair, err := tls.X509KeyPair(contents[0], contents[1])
		if err != nil {
			return nil, errors.Wrapf(err, "certificate %s with key %s", o.CertFile, o.KeyFile)
		}
		creds.certificate = &pair
	}
	if o.CAFile != "" {
		creds.pool = x509.NewCertPool()
		if !creds.pool.AppendCertsFromPEM(contents[2]) {
			return nil, errors.Errorf("%s holds no certificate", o.CAFile)
		}
	}
	return creds, nil
}

// Expires returns the time at which the current certificate expires, or the zero
// time without a certificate.
func (s *Source) Expires() time.Time {
	creds := s.reloader.current()
	if creds.certificate == nil || creds.certificate.Leaf == nil {
		return time.Time{}
	}
	return creds.certificate.Leaf.NotAfter
}

// Server returns a configuration for a listener. Each handshake uses the current
// contents of the files. With a CA, the client must present a certificate signed by
// it. The listener serves HTTP/1.1 only unless NextProtos of the returned
// configuration is set.
func (s *Source) Server() (*tls.Config, error) {
	if s.reloader.current().certificate == nil {
		return nil, errors.New("a TLS listener needs a certificate")
	}
	base := &tls.Config{MinVersion: tls.VersionTLS12}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.reloader.current().serverConfig(base.NextProtos), nil
	}
	// Each handshake uses GetConfigForClient. GetCertificate is for servers that
	// accept a configuration only with a certificate or GetCertificate.
	base.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return s.reloader.current().certificate, nil
	}
	return base, nil
}

func (creds *credentials) serverConfig(protocols []string) *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{*creds.certificate},
		NextProtos:   protocols,
	}
	if creds.pool != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = creds.pool
		// A resumed session would skip the verification against a changed CA.
		c.SessionTicketsDisabled = true
	}
	return c
}

// Client returns a configuration for one connection, with the current contents of
// the files. The certificate of the server must be valid for serverName, which may
// be an IP address. Long-lived clients should use DialTLSContext or Transport
// instead, which also use a changed CA.
func (s *Source) Client(serverName string) *tls.Config {
	creds := s.reloader.current()
	c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName, RootCAs: creds.pool}
	if creds.certificate != nil {
		c.Certificates = []tls.Certificate{*creds.certificate}
	}
	return c
}

// DialTLSContext connects to addr and completes the TLS handshake with the current
// contents of the files. The certificate of the server must be valid for the host in
// addr.
func (s *Source) DialTLSContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return s.dial(ctx, (&net.Dialer{}).DialContext, network, addr)
}

// Transport makes t open its TLS connections with the current contents of the files
// and returns t. The TCP connections are opened by the DialContext of t, if set.
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
