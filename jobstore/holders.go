package jobstore

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/job"
)

// LeaseHolders is the value of HoldersKey: the workers that may hold leases of runs.
type LeaseHolders struct {
	// LeaseMillis is, by the ID of the worker, the longest time in milliseconds that its
	// leases can last once the owner that wrote the record gives no more orders.
	LeaseMillis map[string]int64 `json:"lease_ms"`
	// MayRun names, for workers that did not answer that owner, the items that they may
	// run. They run no others, and got none before a record without them was stored.
	MayRun map[string][]string `json:"may_run,omitempty"`
}

// EncodeLeaseHolders encodes the record of the given workers. left is how long the leases of
// each can last, and mayRun holds the items of those of which they are known. With 3,003
// workers encoding/json took several milliseconds for each VM that moved.
func EncodeLeaseHolders(ids []string, left func(id string) time.Duration, mayRun map[string][]job.ItemID) []byte {
	value := make([]byte, 0, 64+24*len(ids))
	value = append(value, `{"lease_ms":{`...)
	for n, id := range ids {
		if n > 0 {
			value = append(value, ',')
		}
		value = append(appendJSONString(value, id), ':')
		// Rounded up, so that the record does not name less than is left.
		value = strconv.AppendInt(value, left(id).Milliseconds()+1, 10)
	}
	value = append(value, '}')
	if len(mayRun) > 0 {
		names := map[string][]string{}
		for id, items := range mayRun {
			names[id] = []string{}
			for _, i := range items {
				names[id] = append(names[id], i.String())
			}
		}
		// A map of strings can always be encoded.
		encoded, _ := json.Marshal(names)
		value = append(append(value, `,"may_run":`...), encoded...)
	}
	return append(value, '}')
}

func appendJSONString(to []byte, s string) []byte {
	if !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' || r == '"' || r == '\\' }) {
		return append(append(append(to, '"'), s...), '"')
	}
	// A string can always be encoded.
	quoted, _ := json.Marshal(s)
	return append(to, quoted...)
}

// DecodeLeaseHolders decodes the value of HoldersKey. Earlier versions of the program wrote
// LeaseMillis alone.
func DecodeLeaseHolders(value []byte) (LeaseHolders, error) {
	var h LeaseHolders
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		return h, errors.Wrap(err, "decode lease holders")
	}
	if _, present := fields["lease_ms"]; present {
		return h, errors.Wrap(json.Unmarshal(value, &h), "decode lease holders")
	}
	return h, errors.Wrap(json.Unmarshal(value, &h.LeaseMillis), "decode lease holders")
}

// IDs returns the workers that the record names, and those of them whose items it names.
func (h LeaseHolders) IDs() (all, withItems []string) {
	for id := range h.LeaseMillis {
		all = append(all, id)
		if _, listed := h.MayRun[id]; listed {
			withItems = append(withItems, id)
		}
	}
	slices.Sort(all)
	return all, withItems
}
