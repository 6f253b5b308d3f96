package daemon

import (
	"net/http"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/settings"
	"dotterelhead.example/dotterelhead/tlsconfig"
)

// security holds what protects the listeners. A source is nil where the
// settings name no certificate, tokens where they name no token file.
type security struct {
	caller, operator, peer *tlsconfig.Source
	tokens                 *tlsconfig.Tokens
}

// newSecurity reads the files that the settings name. Changes of the files are
// followed later; files that cannot be used then leave the former ones in
// force.
func newSecurity(s settings.Settings, l *log.Logger) (security, error) {
	var made security
	for _, listener := range []struct {
		name   string
		files  settings.TLSFiles
		source **tlsconfig.Source
	}{{"caller", s.TLS.Caller, &made.caller}, {"operator", s.TLS.Operator, &made.operator}, {"peer", s.TLS.Peer, &made.peer}} {
		source, err := listener.files.Source(func(err error) {
			l.Error().Str("event", "tls_files_not_usable").Str("listener", listener.name).Err(err).Msg("")
		})
		if err != nil {
			return security{}, errors.Wrapf(err, "tls.%s", listener.name)
		}
		*listener.source = source
	}
	if s.OperatorTokenFile == "" {
		return made, nil
	}
	var err error
	made.tokens, err = tlsconfig.NewTokens(tlsconfig.TokenOptions{File: s.OperatorTokenFile, OnError: func(err error) {
		l.Error().Str("event", "operator_token_file_not_usable").Err(err).Msg("")
	}})
	return made, errors.Wrap(err, "operator_token_file")
}

// authorize decides about requests to the operator API; nil admits all.
func (s security) authorize() func(*http.Request) bool {
	if s.tokens == nil {
		return nil
	}
	return s.tokens.Allowed
}
