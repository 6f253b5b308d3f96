// Package kit holds the stand-ins of the review's scripts: workers that follow the users'
// protocol, requesters, and the entry VMs as processes. The store is that of package
// jobplatform.
package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, started: time.Now()}, nil
}

// Printf writes a line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
