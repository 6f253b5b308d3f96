package daemon

import (
	"net/http"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/settings"
	"dotterelhead.example/dotterelhead/tlsconfig"
)

// security holds the TLS sources of the listeners and the operator tokens. A
// source is nil if the settings name no certificate for the listener; tokens is
// nil if they name no token file.
type security struct {
	caller, operator, peer *tlsconfig.Source
	tokens                 *tlsconfig.Tokens
}

// newSecurity loads the files that the settings name. The files are reloaded when
// they change; if the changed files are unusable, the last usable contents stay
// in use.
func newSecurity(s settings.Settings, l *log.Logger) (security, error) {
	var result security
	for _, listener := range []struct {
		name   string
		files  settings.TLSFiles
		source **tlsconfig.Source
	}{{"caller", s.TLS.Caller, &result.caller}, {"operator", s.TLS.Operator, &result.operator}, {"peer", s.TLS.Peer, &result.peer}} {
		source, err := listener.files.Source(func(err error) {
			l.Error().Str("event", "tls_files_not_usable").Str("listener", listener.name).Err(err).Msg("")
		})
		if err != nil {
			return security{}, errors.Wrapf(err, "tls.%s", listener.name)
		}
		*listener.source = source
	}
	if s.OperatorTokenFile == "" {
		return result, nil
	}
	var err error
	result.tokens, err = tlsconfig.NewTokens(tlsconfig.TokenOptions{File: s.OperatorTokenFile, OnError: func(err error) {
		l.Error().Str("event", "operator_token_file_not_usable").Err(err).Msg("")
	}})
	return result, errors.Wrap(err, "operator_token_file")
}

// authorizer returns the function that checks the token of requests to the operator
// API, or nil if all requests are allowed.
func (s security) authorizer() func(*http.Request) bool {
	if s.tokens == nil {
		return nil
	}
	return s.tokens.Allowed
}
