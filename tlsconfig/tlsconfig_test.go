package tlsconfig

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority signs test certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := template("ca")
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue returns a certificate for name and an IP address, and its key.
func (a *authority) issue(t *testing.T, name, ip string) (cert, key []byte) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := template(name)
	c.IPAddresses = []net.IP{net.ParseIP(ip)}
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
}

// credentialFiles holds the certificate, key and CA files of a server or a client.
type credentialFiles struct{ options Options }

func newCredentialFiles(t *testing.T, a *authority, name, ip string) *credentialFiles {
	t.Helper()
	dir := t.TempDir()
	files := &credentialFiles{Options{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem"),
		CheckInterval: time.Nanosecond,
	}}
	files.install(t, a, name, ip)
	write(t, files.options.CAFile, a.pem)
	return files
}

func (f *credentialFiles) install(t *testing.T, a *authority, name, ip string) {
	t.Helper()
	cert, key := a.issue(t, name, ip)
	write(t, f.options.CertFile, cert)
	write(t, f.options.KeyFile, key)
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func source(t *testing.T, o Options) *Source {
	t.Helper()
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serve starts a TLS server that responds with the common name of the client's
// certificate.
func serve(t *testing.T, s *Source) string {
	t.Helper()
	config, err := s.Server()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TLS.PeerCertificates) > 0 {
			_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
		}
	}))
	server.Listener = tls.NewListener(server.Listener, config)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// get sends a request on a new connection and returns the common name of the
// server's certificate and the response body, which is that of the client's.
func get(s *Source, addr string) (server, client string, err error) {
	tr := s.Transport(&http.Transport{DisableKeepAlives: true})
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "https://"+addr, nil)
	if err != nil {
		return "", "", err
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return "", "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.TLS != nil {
		server = resp.TLS.PeerCertificates[0].Subject.CommonName
	}
	return server, string(body), err
}

func expectCommonNames(t *testing.T, s *Source, addr, server, client string) {
	t.Helper()
	gotServer, gotClient, err := get(s, addr)
	if err != nil || gotServer != server || gotClient != client {
		t.Fatalf("server %q client %q error %v, want %q and %q", gotServer, gotClient, err, server, client)
	}
}

// Guards against a source that uses replaced certificates only after a restart, and
// against a listener that fails while a certificate is replaced but its key is not yet.
func TestCertificatesAreReloaded(t *testing.T) {
	ca := newAuthority(t)
	serverFiles := newCredentialFiles(t, ca, "server-1", "127.0.0.1")
	clientFiles := newCredentialFiles(t, ca, "client-1", "127.0.0.1")
	var failures int
	serverFiles.options.OnError = func(error) { failures++ }
	addr := serve(t, source(t, serverFiles.options))
	client := source(t, clientFiles.options)
	expectCommonNames(t, client, addr, "server-1", "client-1")

	cert, key := ca.issue(t, "server-2", "127.0.0.1")
	write(t, serverFiles.options.CertFile, cert)
	clientFiles.install(t, ca, "client-2", "127.0.0.1")
	expectCommonNames(t, client, addr, "server-1", "client-2")
	expectCommonNames(t, client, addr, "server-1", "client-2")
	if failures != 1 {
		t.Fatalf("a certificate without its key was reported %d times, want once", failures)
	}
	write(t, serverFiles.options.KeyFile, key)
	expectCommonNames(t, client, addr, "server-2", "client-2")
}

// Guards against a peer that is accepted without a certificate of the current CA,
// before and after the CA changes.
func TestMutualTLS(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	serverFiles := newCredentialFiles(t, ca, "server", "127.0.0.1")
	addr := serve(t, source(t, serverFiles.options))
	good := newCredentialFiles(t, ca, "client", "127.0.0.1")
	expectCommonNames(t, source(t, good.options), addr, "server", "client")

	anonymous := good.options
	anonymous.CertFile, anonymous.KeyFile = "", ""
	foreign := newCredentialFiles(t, other, "foreign", "127.0.0.1")
	foreign.options.CAFile = good.options.CAFile
	for name, o := range map[string]Options{"no certificate": anonymous, "foreign certificate": foreign.options} {
		if _, _, err := get(source(t, o), addr); err == nil {
			t.Errorf("client with %s was accepted", name)
		}
	}
	distrusting := good.options
	distrusting.CAFile = newCredentialFiles(t, other, "x", "127.0.0.1").options.CAFile
	if _, _, err := get(source(t, distrusting), addr); err == nil {
		t.Error("client accepted a server of another CA")
	}
	serverFiles.install(t, ca, "server", "127.0.0.2")
	if _, _, err := get(source(t, good.options), addr); err == nil {
		t.Error("client accepted a certificate for another address")
	}
	serverFiles.install(t, ca, "server", "127.0.0.1")

	client := source(t, good.options)
	write(t, serverFiles.options.CAFile, other.pem)
	if _, _, err := get(client, addr); err == nil {
		t.Error("client of the previous CA was accepted after the change")
	}
	good.install(t, other, "client-2", "127.0.0.1")
	expectCommonNames(t, client, addr, "server", "client-2")
}

// Guards against a source that accepts missing or mismatched files.
func TestUnusableFilesAreRefused(t *testing.T) {
	ca := newAuthority(t)
	files := newCredentialFiles(t, ca, "server", "127.0.0.1")
	_, otherKey := ca.issue(t, "server", "127.0.0.1")
	missing, mismatch, noCert := files.options, files.options, files.options
	missing.CAFile = filepath.Join(t.TempDir(), "absent")
	mismatch.KeyFile = filepath.Join(t.TempDir(), "key.pem")
	write(t, mismatch.KeyFile, otherKey)
	noCert.CertFile = ""
	for name, o := range map[string]Options{"missing CA": missing, "wrong key": mismatch, "key alone": noCert, "nothing": {}} {
		if _, err := New(o); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

// Guards against a reload that reads the files on every handshake.
func TestChecksAreRateLimited(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	write(t, path, []byte("first\n"))
	tokens, err := NewTokens(TokenOptions{File: path, CheckInterval: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	write(t, path, []byte("second\n"))
	if !tokens.Valid("first") || tokens.Valid("second") {
		t.Fatal("the file was read again before its interval passed")
	}
}

// Guards against requests that are allowed although their token is not in the token
// file, or is no longer in it.
func TestBearerTokens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	write(t, path, []byte("# operators\nfirst\n\nsecond\n"))
	tokens, err := NewTokens(TokenOptions{File: path, CheckInterval: time.Nanosecond})
	if err != nil {
		t.Fatal(err)
	}
	handler := tokens.Require(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	status := func(authorization string) int {
		r := httptest.NewRequest(http.MethodPost, "/v1/notes", nil)
		r.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Code
	}
	for header, want := range map[string]int{
		"Bearer first": 200, "bearer second": 200,
		"": 401, "Bearer": 401, "Bearer ": 401, "Bearer firs": 401, "Bearer # operators": 401, "Basic first": 401,
	} {
		if got := status(header); got != want {
			t.Errorf("%q got %d, want %d", header, got, want)
		}
	}
	write(t, path, []byte("third\n"))
	if status("Bearer first") != 401 || status("Bearer third") != 200 {
		t.Error("the new token file is not in use")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if status("Bearer third") != 200 {
		t.Error("a missing file locked the operators out")
	}
	write(t, path, nil)
	if status("Bearer third") != 401 {
		t.Error("an emptied file still lets a token in")
	}
	if _, err := NewTokens(TokenOptions{File: path}); err == nil {
		t.Error("a file without a token was accepted at the start")
	}
}
