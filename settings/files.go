package settings

import (
	"os"

	"dotterelhead.example/dotterelhead/tlsconfig"
)

// Source returns the TLS configurations that follow the files, or nil without
// TLS. onError is called when changed files cannot be used.
func (f TLSFiles) Source(onError func(error)) (*tlsconfig.Source, error) {
	if !f.Enabled() {
		return nil, nil
	}
	return tlsconfig.New(tlsconfig.Options{
		CertFile: f.CertificateFile, KeyFile: f.KeyFile, CAFile: f.CAFile, OnError: onError,
	})
}

// files opens the files that the settings name, as the start of the listeners
// does.
func (c *checker) files(s *Settings) {
	c.tlsFiles("tls.caller", s.TLS.Caller)
	c.tlsFiles("tls.operator", s.TLS.Operator)
	c.tlsFiles("tls.peer", s.TLS.Peer)
	const token = "operator_token_file"
	if s.OperatorTokenFile != "" && c.readable(token, s.OperatorTokenFile) {
		if _, err := tlsconfig.NewTokens(tlsconfig.TokenOptions{File: s.OperatorTokenFile}); err != nil {
			c.add(token, "%s cannot be used: %v", token, err)
		}
	}
}

func (c *checker) tlsFiles(path string, f TLSFiles) {
	certificate, key, ca := path+".certificate_file", path+".key_file", path+".ca_file"
	readable := c.readable(certificate, f.CertificateFile)
	readable = c.readable(key, f.KeyFile) && readable
	if readable && f.CertificateFile != "" && f.KeyFile != "" {
		pair := TLSFiles{CertificateFile: f.CertificateFile, KeyFile: f.KeyFile}
		if _, err := pair.Source(nil); err != nil {
			c.add(certificate, "%s and key_file cannot be used: %v", certificate, err)
		}
	}
	if f.CAFile != "" && c.readable(ca, f.CAFile) {
		if _, err := tlsconfig.New(tlsconfig.Options{CAFile: f.CAFile}); err != nil {
			c.add(ca, "%s cannot be used: %v", ca, err)
		}
	}
}

// readable reports a file that cannot be read. An empty name is no finding of
// its own.
func (c *checker) readable(path, file string) bool {
	if file == "" {
		return true
	}
	if _, err := os.ReadFile(file); err != nil {
		c.add(path, "%s cannot be read: %v", path, err)
		return false
	}
	return true
}
