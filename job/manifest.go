package job

import (
	"strings"
	"time"
)

// Queue is a route of the manifest. Jobs whose requests match its host and path
// prefix run on the workers of its service. The settings that an accepted job needs
// are kept in its record; see Job.Settings.
type Queue struct {
	Name   string `json:"-"`
	Host   string `json:"-"`
	Prefix string `json:"-"`
	// Service is the name of a pool of VMs.
	Service string `json:"-"`
	// Priority 0 is the highest.
	Priority int `json:"p,omitempty"`
	// Attempts is how many runs of a work item may fail; at that number its job
	// fails. It is at least 1, or 0 if it is not known.
	Attempts int `json:"a"`
	// A job should finish within LatencyFactor times the time of its longest chain
	// of steps, plus TargetLatency.
	LatencyFactor float64       `json:"f,omitempty"`
	TargetLatency time.Duration `json:"t,omitempty"`
	// Timeout is how long a requester's call may take.
	Timeout time.Duration `json:"-"`
	Advice  *Advice       `json:"advice,omitempty"`
	// Public queues take requests without a key, and their jobs belong to no organisation.
	Public bool `json:"-"`
}

// VersionedQueue is a queue as a manifest had it.
type VersionedQueue struct {
	// ManifestVersion is the version of that manifest.
	ManifestVersion int64 `json:"v"`
	Queue
}

// Advice describes the advisor, which decides which workers may run a step, and
// how long its answers are valid.
type Advice struct {
	Decide   time.Duration `json:"d,omitempty"`
	PerItem  time.Duration `json:"i,omitempty"`
	Validity time.Duration `json:"v,omitempty"`
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
	// Former holds the queues that the manifest does not have and earlier ones had, as
	// the last of them had them, the last removed queues first.
	Former []VersionedQueue
	// Organisations are nil if the deployment knows none; then requests need no keys.
	Organisations *Organisations
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

// LastKnown returns the queue with the given name from this manifest, or else from the
// last one before it that is known to have it.
func (m *Manifest) LastKnown(name string) (q VersionedQueue, ok bool) {
	if q := m.Queue(name); q != nil {
		return VersionedQueue{m.Version, *q}, true
	}
	for _, q := range m.Former {
		if q.Name == name {
			return q, true
		}
	}
	return VersionedQueue{}, false
}

// maxFormerQueues bounds the queues that are remembered after their removal. With 700
// changes of the manifest a day, they are remembered for more than a day.
const maxFormerQueues = 1000

// KeepFormerQueues sets Former after the manifest that was in force until now, which may
// be nil. Accepted jobs of a queue outlive its removal.
func (m *Manifest) KeepFormerQueues(before *Manifest) {
	if before == nil {
		return
	}
	keep := func(q VersionedQueue) {
		if m.Queue(q.Name) == nil && len(m.Former) < maxFormerQueues {
			m.Former = append(m.Former, q)
		}
	}
	for _, q := range before.Queues {
		keep(VersionedQueue{before.Version, q})
	}
	for _, q := range before.Former {
		keep(q)
	}
}
