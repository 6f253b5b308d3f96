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

// TokenOptions configure NewTokens.
type TokenOptions struct {
	// File holds one token per line. Empty lines and lines that start with '#'
	// are skipped. All tokens in the file are valid, so that an old and a new
	// token can be used at the same time during a replacement.
	File          string
	CheckInterval time.Duration
	OnError       func(error)
}

// Tokens checks bearer tokens against a file. If the file becomes empty, every token
// is rejected. If it becomes unreadable, the previous tokens stay valid.
type Tokens struct {
	reloader *reloader[[][sha256.Size]byte]
}

// NewTokens loads the file, which must contain at least one token.
func NewTokens(o TokenOptions) (*Tokens, error) {
	files, err := newReloader([]string{o.File}, o.CheckInterval, o.OnError, parseTokens)
	if err != nil {
		return nil, err
	}
	if len(files.value) == 0 {
		return nil, errors.Errorf("%s holds no token", o.File)
	}
	return &Tokens{reloader: files}, nil
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

// Valid reports whether the file contains the token. It compares in constant time,
// so that its duration does not reveal how much of a token is correct.
func (t *Tokens) Valid(token string) bool {
	sum := sha256.Sum256([]byte(token))
	found := 0
	for _, want := range t.reloader.current() {
		found |= subtle.ConstantTimeCompare(sum[:], want[:])
	}
	return found == 1
}

// Allowed reports whether a request carries a valid bearer token.
func (t *Tokens) Allowed(r *http.Request) bool {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	return ok && strings.EqualFold(scheme, "Bearer") && t.Valid(strings.TrimSpace(token))
}

// Require returns a handler that rejects requests without a valid bearer token with
// status 401 and passes the others to next.
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

// ReadToken returns the first token in a file, for clients that present it.
func ReadToken(file string) (string, error) {
	f, err := newReloader([]string{file}, 0, nil, func(contents [][]byte) (string, error) {
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
