package settings

import (
	"os"

	"dotterelhead.example/dotterelhead/tlsconfig"
)

// Source returns a source of TLS configurations that reloads the files when they
// change, or nil without TLS. onError is called when changed files cannot be used.
func (f TLSFiles) Source(onError func(error)) (*tlsconfig.Source, error) {
	if !f.Enabled() {
		return nil, nil
	}
	return tlsconfig.New(tlsconfig.Options{
		CertFile: f.CertificateFile, KeyFile: f.KeyFile, CAFile: f.CAFile, OnError: onError,
	})
}

// checkFiles loads the files that the settings name, in the same way as the entry VM
// does at startup.
func (c *checker) checkFiles(s *Settings) {
	c.checkTLSFiles("tls.caller", s.TLS.Caller)
	c.checkTLSFiles("tls.operator", s.TLS.Operator)
	c.checkTLSFiles("tls.peer", s.TLS.Peer)
	const token = "operator_token_file"
	if s.OperatorTokenFile != "" && c.checkReadable(token, s.OperatorTokenFile) {
		if _, err := tlsconfig.NewTokens(tlsconfig.TokenOptions{File: s.OperatorTokenFile}); err != nil {
			c.add(token, "%s cannot be used: %v", token, err)
		}
	}
}

func (c *checker) checkTLSFiles(path string, f TLSFiles) {
	certificate, key, ca := path+".certificate_file", path+".key_file", path+".ca_file"
	readable := c.checkReadable(certificate, f.CertificateFile)
	readable = c.checkReadable(key, f.KeyFile) && readable
	if readable && f.CertificateFile != "" && f.KeyFile != "" {
		pair := TLSFiles{CertificateFile: f.CertificateFile, KeyFile: f.KeyFile}
		if _, err := pair.Source(nil); err != nil {
			c.add(certificate, "%s and key_file cannot be used: %v", certificate, err)
		}
	}
	if f.CAFile != "" && c.checkReadable(ca, f.CAFile) {
		if _, err := tlsconfig.New(tlsconfig.Options{CAFile: f.CAFile}); err != nil {
			c.add(ca, "%s cannot be used: %v", ca, err)
		}
	}
}

// checkReadable adds a finding and returns false if the file cannot be read. An empty
// name counts as readable; checkTLS reports missing names.
func (c *checker) checkReadable(path, file string) bool {
	if file == "" {
		return true
	}
	if _, err := os.ReadFile(file); err != nil {
		c.add(path, "%s cannot be read: %v", path, err)
		return false
	}
	return true
}
