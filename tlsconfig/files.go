package tlsconfig

import (
	"bytes"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// defaultCheckInterval is the minimum time between two reads of the files.
const defaultCheckInterval = time.Second

// reloader holds a value parsed from the contents of some files and parses it again
// when the files change. It compares contents rather than modification times, which
// are too coarse to distinguish two writes in quick succession. If the files cannot
// be read or do not match each other, for example because a certificate is replaced
// before its key, the last valid value stays in use.
type reloader[T any] struct {
	paths    []string
	parse    func(contents [][]byte) (T, error)
	interval time.Duration
	onError  func(error)

	mu        sync.Mutex
	lastCheck time.Time
	contents  [][]byte
	lastError string
	value     T
}

func newReloader[T any](paths []string, interval time.Duration, onError func(error), parse func([][]byte) (T, error)) (*reloader[T], error) {
	if interval <= 0 {
		interval = defaultCheckInterval
	}
	if onError == nil {
		onError = func(error) {}
	}
	r := &reloader[T]{paths: paths, parse: parse, interval: interval, onError: onError, lastCheck: time.Now()}
	return r, r.load()
}

// current returns the value. It first checks the files for changes if the last check
// is at least one interval ago.
func (r *reloader[T]) current() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.lastCheck) >= r.interval {
		r.lastCheck = now
		r.report(r.load())
	}
	return r.value
}

// report passes err to onError unless the previous check failed with the same error.
func (r *reloader[T]) report(err error) {
	if err == nil {
		r.lastError = ""
		return
	}
	if text := err.Error(); text != r.lastError {
		r.lastError = text
		r.onError(err)
	}
}

func (r *reloader[T]) load() error {
	contents := make([][]byte, len(r.paths))
	for i, path := range r.paths {
		if path == "" {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.WithStack(err)
		}
		contents[i] = data
	}
	if r.contents != nil && slices.EqualFunc(contents, r.contents, bytes.Equal) {
		return nil
	}
	value, err := r.parse(contents)
	if err != nil {
		return err
	}
	r.contents, r.value = contents, value
	return nil
}
