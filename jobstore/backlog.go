package jobstore

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Backlog is the value of BacklogKey: the names of the queues whose jobs take as much of the
// owner's memory as they may. Without the key there is none.
type Backlog struct {
	FullQueues []string `json:"full"`
}

// DecodeBacklog decodes the value of BacklogKey.
func DecodeBacklog(value []byte) (Backlog, error) {
	var b Backlog
	return b, errors.Wrap(json.Unmarshal(value, &b), "decode backlog")
}
