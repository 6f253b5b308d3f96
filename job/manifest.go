package job

import (
	"strings"
	"time"
)

// Queue is a route of the manifest. Jobs whose requests match its host and path
// prefix run on the workers of its service.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service is the name of a pool of VMs.
	Service string
	// Priority 0 is the highest.
	Priority int
	// Attempts is how many runs of a work item may fail; at that number its job
	// fails.
	Attempts int
	// A job should finish within LatencyFactor times the time of its longest chain
	// of steps, plus TargetLatency.
	LatencyFactor float64
	TargetLatency time.Duration
	// Timeout is how long a requester's call may take.
	Timeout time.Duration
	Advice  *Advice
}

// Advice describes the advisor, which decides which workers may run a step, and
// how long its answers are valid.
type Advice struct {
	Decide   time.Duration
	PerItem  time.Duration
	Validity time.Duration
}

// Service is a pool of VMs; other packages call it a pool.
type Service struct {
	Name string
	// Spare VMs are off and cost nothing.
	Spare bool
	// ChecksAdmission is set if the workers reject work that does not fit.
	ChecksAdmission bool
}

// Manifest is the configuration in force.
type Manifest struct {
	Version  int64
	Queues   []Queue
	Services []Service
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
}

// Route returns the queue for a host and path and the rest of the path after
// the longest prefix that matches.
func (m *Manifest) Route(host, path string) (queue *Queue, rest string, ok bool) {
	for i := range m.Queues {
		q := &m.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (queue == nil || len(q.Prefix) > len(queue.Prefix)) {
			queue = q
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.Prefix):], true
}

// Queue returns the queue with the given name, or nil.
func (m *Manifest) Queue(name string) *Queue {
	for i := range m.Queues {
		if m.Queues[i].Name == name {
			return &m.Queues[i]
		}
	}
	return nil
}
