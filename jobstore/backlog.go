package jobstore

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// RefusalValidity is how long entry VMs refuse jobs for the load after the owner last renewed
// the record. An owner that is lost is replaced within about this time.
const RefusalValidity = 3 * time.Second

// Backlog is the value of BacklogKey. Without the key there is none.
type Backlog struct {
	// FullQueues are the names of the queues whose jobs take as much of the owner's memory
	// as they may.
	FullQueues []string `json:"full"`
	// Refusals are the queues whose jobs are refused for the load. Renewal changes with each
	// writing, so that entry VMs see that the owner still says so.
	Refusals []LoadRefusal `json:"refused,omitempty"`
	Renewal  int64         `json:"renewal,omitempty"`
}

// LoadRefusal says that jobs of a queue would end after they have lost their value.
type LoadRefusal struct {
	Queue string `json:"q"`
	// Organisations are those that are beyond their share, whose jobs are refused. If there
	// are none, the jobs of all are.
	Organisations []string `json:"o,omitempty"`
	// Requesters return between After and After plus Spread.
	After  time.Duration `json:"after"`
	Spread time.Duration `json:"spread"`
}

// DecodeBacklog decodes the value of BacklogKey.
func DecodeBacklog(value []byte) (Backlog, error) {
	var b Backlog
	return b, errors.Wrap(json.Unmarshal(value, &b), "decode backlog")
}

// Refusal returns the refusal that holds for the jobs of an organisation in a queue, or nil.
func (b *Backlog) Refusal(queue, organisation string) *LoadRefusal {
	for n := range b.Refusals {
		r := &b.Refusals[n]
		if r.Queue == queue && (len(r.Organisations) == 0 || slices.Contains(r.Organisations, organisation)) {
			return r
		}
	}
	return nil
}

// ReturnAfter returns when the requester of a job may come back. Those of different jobs
// come back at times that are spread evenly.
func (r *LoadRefusal) ReturnAfter(job string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return r.After + time.Duration(float64(r.Spread)*float64(h.Sum32())/float64(1<<32))
}
