package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// OperatorToken reads the operators' bearer token. It is empty when the
// settings name no file; a file without a token is an error.
func (s *Settings) OperatorToken() (string, error) {
	if s.OperatorTokenFile == "" {
		return "", nil
	}
	content, err := os.ReadFile(s.OperatorTokenFile)
	if err != nil {
		return "", errors.Wrap(err, "operator_token_file")
	}
	token := strings.TrimSpace(string(content))
	if token == "" {
		return "", errors.Errorf("operator_token_file %s holds no token", s.OperatorTokenFile)
	}
	return token, nil
}

// ServerConfig returns the TLS configuration of a listener, or nil without
// TLS. With a CA file clients have to present a certificate that the CA signed.
func (f TLSFiles) ServerConfig() (*tls.Config, error) {
	config, err := f.load()
	if config == nil || f.CAFile == "" {
		return config, err
	}
	config.ClientCAs, config.RootCAs = config.RootCAs, nil
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ClientConfig returns the TLS configuration for calls to a listener with the
// same files, or nil without TLS.
func (f TLSFiles) ClientConfig() (*tls.Config, error) { return f.load() }

// load reads the files, the CA into RootCAs.
func (f TLSFiles) load() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.CertificateFile, f.KeyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate_file %s with key_file %s", f.CertificateFile, f.KeyFile)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if f.CAFile == "" {
		return config, nil
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "ca_file")
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("ca_file %s holds no PEM certificate", f.CAFile)
	}
	return config, nil
}
