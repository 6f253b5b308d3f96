package jobstore

import (
	"encoding/json"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/scheduler/runtimes"
)

// RunTimes is the value of RunTimesKey: what an owner has learned from finished runs.
type RunTimes struct {
	Operations []runtimes.Summary `json:"o"`
}

// maxRunTimesBytes bounds the record of learned run times. The store writes it with other
// records of the owner, and each new owner reads it.
const maxRunTimesBytes = 16 << 10

// EncodeRunTimes encodes as many of the first summaries as fit into the record.
func EncodeRunTimes(summaries []runtimes.Summary) ([]byte, error) {
	for {
		value, err := json.Marshal(RunTimes{summaries})
		if err != nil {
			return nil, errors.Wrap(err, "encode run times")
		}
		if len(value) <= maxRunTimesBytes || len(summaries) == 0 {
			return value, nil
		}
		summaries = summaries[:len(summaries)/2]
	}
}

// DecodeRunTimes decodes the value of RunTimesKey.
func DecodeRunTimes(value []byte) (RunTimes, error) {
	var r RunTimes
	if len(value) > maxRunTimesBytes {
		return r, errors.Errorf("decode run times: %d bytes, more than %d", len(value), maxRunTimesBytes)
	}
	return r, errors.Wrap(json.Unmarshal(value, &r), "decode run times")
}
