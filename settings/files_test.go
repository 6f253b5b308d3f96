package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writePair writes a self-signed certificate for 127.0.0.1 and its key; the
// certificate is its own CA.
func writePair(t *testing.T, name string) TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return TLSFiles{
		CertificateFile: writeFile(t, name+".pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})),
		KeyFile:         writeFile(t, name+".key", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})),
	}
}

func writeFile(t *testing.T, name string, content []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against a peer listener that lets in clients without a certificate
// of the CA.
func TestPeersNeedCertificates(t *testing.T) {
	peer, stranger := writePair(t, "peer"), writePair(t, "stranger")
	peer.CAFile, stranger.CAFile = peer.CertificateFile, peer.CertificateFile
	for _, test := range []struct {
		client TLSFiles
		ok     bool
	}{{peer, true}, {stranger, false}} {
		if err := handshake(t, peer, test.client); (err == nil) != test.ok {
			t.Errorf("handshake of %s: %v", test.client.CertificateFile, err)
		}
	}
	peer.CAFile = writeFile(t, "ca.pem", []byte("x"))
	if _, err := peer.ServerConfig(); err == nil {
		t.Error("a CA file without a certificate is accepted")
	}
	if config, err := (TLSFiles{}).ServerConfig(); config != nil || err != nil {
		t.Errorf("without files: %v, %v", config, err)
	}
}

// handshake returns the server's verdict.
func handshake(t *testing.T, server, client TLSFiles) error {
	t.Helper()
	serverConfig, err := server.ServerConfig()
	if err != nil {
		t.Fatal(err)
	}
	clientConfig, err := client.ClientConfig()
	if err != nil {
		t.Fatal(err)
	}
	clientConfig.ServerName = "127.0.0.1"
	a, b := net.Pipe()
	go func() {
		defer b.Close()
		c := tls.Client(b, clientConfig)
		if c.Handshake() == nil {
			c.Read(make([]byte, 1))
		}
	}()
	defer a.Close()
	return tls.Server(a, serverConfig).Handshake()
}

// Guards against an empty token file that opens the operator listener.
func TestOperatorToken(t *testing.T) {
	s := Settings{}
	if token, err := s.OperatorToken(); token != "" || err != nil {
		t.Errorf("without a file: %q, %v", token, err)
	}
	s.OperatorTokenFile = writeFile(t, "token", []byte("secret\n"))
	if token, err := s.OperatorToken(); token != "secret" || err != nil {
		t.Errorf("with a token: %q, %v", token, err)
	}
	s.OperatorTokenFile = writeFile(t, "empty", []byte("\n"))
	if _, err := s.OperatorToken(); err == nil {
		t.Error("an empty token file is accepted")
	}
}
