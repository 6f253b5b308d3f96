package tlsconfig

import (
	"bytes"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// defaultCheckInterval bounds how often files are read again.
const defaultCheckInterval = time.Second

// files holds a value made from the contents of some files and makes it anew
// when they change. Contents are compared rather than modification times, which
// are too coarse for two writes in a row. The last good value stays when the
// files cannot be read or do not fit together, for example while a certificate
// is replaced before its key.
type files[T any] struct {
	paths    []string
	parse    func(contents [][]byte) (T, error)
	interval time.Duration
	onError  func(error)

	mu       sync.Mutex
	checked  time.Time
	contents [][]byte
	failed   string
	value    T
}

func newFiles[T any](paths []string, interval time.Duration, onError func(error), parse func([][]byte) (T, error)) (*files[T], error) {
	if interval <= 0 {
		interval = defaultCheckInterval
	}
	if onError == nil {
		onError = func(error) {}
	}
	f := &files[T]{paths: paths, parse: parse, interval: interval, onError: onError, checked: time.Now()}
	return f, f.load()
}

// current returns the value, after a check of the files if one is due.
func (f *files[T]) current() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checked) >= f.interval {
		f.checked = now
		f.report(f.load())
	}
	return f.value
}

// report passes an error on once, until it changes or the files are good again.
func (f *files[T]) report(err error) {
	if err == nil {
		f.failed = ""
		return
	}
	if text := err.Error(); text != f.failed {
		f.failed = text
		f.onError(err)
	}
}

func (f *files[T]) load() error {
	contents := make([][]byte, len(f.paths))
	for i, path := range f.paths {
		if path == "" {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.WithStack(err)
		}
		contents[i] = data
	}
	if f.contents != nil && slices.EqualFunc(contents, f.contents, bytes.Equal) {
		return nil
	}
	value, err := f.parse(contents)
	if err != nil {
		return err
	}
	f.contents, f.value = contents, value
	return nil
}
