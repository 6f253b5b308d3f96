package jobstore

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Horizon is the value of HorizonKey. Without the key any job may have been started.
type Horizon struct {
	// Revision is that of the store up to which the records of jobs may be of jobs that the
	// owner has started.
	Revision int64 `json:"revision"`
}

// DecodeHorizon decodes the value of HorizonKey.
func DecodeHorizon(value []byte) (Horizon, error) {
	var h Horizon
	return h, errors.Wrap(json.Unmarshal(value, &h), "decode start horizon")
}
