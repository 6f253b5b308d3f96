package tlsconfig

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// TokenOptions name the file of a Tokens.
type TokenOptions struct {
	// File holds one token a line; empty lines and lines that start with '#'
	// are skipped. Two tokens are valid side by side while one replaces the
	// other.
	File          string
	CheckInterval time.Duration
	OnError       func(error)
}

// Tokens checks bearer tokens against a file. A file that is emptied while in
// use refuses every token; one that cannot be read leaves the former tokens in
// force.
type Tokens struct{ files *files[[][sha256.Size]byte] }

// NewTokens reads the file, which must hold at least one token.
func NewTokens(o TokenOptions) (*Tokens, error) {
	f, err := newFiles([]string{o.File}, o.CheckInterval, o.OnError, parseTokens)
	if err != nil {
		return nil, err
	}
	if len(f.value) == 0 {
		return nil, errors.Errorf("%s holds no token", o.File)
	}
	return &Tokens{files: f}, nil
}

func parseTokens(contents [][]byte) ([][sha256.Size]byte, error) {
	var sums [][sha256.Size]byte
	lines := bufio.NewScanner(bytes.NewReader(contents[0]))
	for lines.Scan() {
		token := strings.TrimSpace(lines.Text())
		if token != "" && !strings.HasPrefix(token, "#") {
			sums = append(sums, sha256.Sum256([]byte(token)))
		}
	}
	return sums, errors.Wrap(lines.Err(), "read tokens")
}

// Valid reports whether the token is one of the file's. The time it takes does
// not depend on how much of a token is right.
func (t *Tokens) Valid(token string) bool {
	sum := sha256.Sum256([]byte(token))
	found := 0
	for _, want := range t.files.current() {
		found |= subtle.ConstantTimeCompare(sum[:], want[:])
	}
	return found == 1
}

// Allowed reports whether a request carries a valid bearer token.
func (t *Tokens) Allowed(r *http.Request) bool {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	return ok && strings.EqualFold(scheme, "Bearer") && t.Valid(strings.TrimSpace(token))
}

// Require answers 401 to requests without a valid bearer token.
func (t *Tokens) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.Allowed(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "a valid bearer token is required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ReadToken returns the first token of a file, for clients that send it.
func ReadToken(file string) (string, error) {
	f, err := newFiles([]string{file}, 0, nil, func(contents [][]byte) (string, error) {
		for line := range strings.Lines(string(contents[0])) {
			if token := strings.TrimSpace(line); token != "" && !strings.HasPrefix(token, "#") {
				return token, nil
			}
		}
		return "", errors.Errorf("%s holds no token", file)
	})
	if err != nil {
		return "", err
	}
	return f.value, nil
}
