package jobstore

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/store"
)

// Status is the state of the jobs as the store has it.
type Status struct {
	// Owner is the current owner, or nil while there is none.
	Owner *Claim `json:"owner"`
	// Phases counts the stored jobs by phase. Finished jobs are dropped some
	// time after their end.
	Phases map[job.Phase]int `json:"phases"`
	// Waiting counts, for each queue, the jobs of which nothing has started, as
	// the owner last wrote it.
	Waiting map[string]int `json:"waiting"`
	// WaveVMs counts, for each wave of planned maintenance, the VMs that have had
	// their upkeep.
	WaveVMs map[int64]int `json:"wave_vms_done"`
}

// ReadStatus reads the state of the jobs. A record that changes during the read
// is counted in its old or its new state.
func ReadStatus(ctx context.Context, s store.Store) (Status, error) {
	status := Status{Phases: map[job.Phase]int{}, WaveVMs: map[int64]int{}}
	progress, _, err := store.ReadAll(ctx, s, ProgressPrefix)
	if err != nil {
		return Status{}, err
	}
	inbox, _, err := store.ReadAll(ctx, s, jobPrefix)
	if err != nil {
		return Status{}, err
	}
	ownerRecords, _, err := store.ReadAll(ctx, s, OwnerPrefix)
	if err != nil {
		return Status{}, err
	}
	phases := map[string]job.Phase{}
	for _, i := range progress {
		var p job.Progress
		if err := json.Unmarshal(i.Value, &p); err != nil {
			return Status{}, errors.Wrapf(err, "decode %s", i.Key)
		}
		phases[strings.TrimPrefix(i.Key, ProgressPrefix)] = p.Phase
	}
	for _, i := range inbox {
		if IsEarlyCancellation(i.Value) {
			continue
		}
		phase, begun := phases[strings.TrimPrefix(i.Key, jobPrefix)]
		if !begun {
			phase = job.Queued
		}
		status.Phases[phase]++
	}
	for _, i := range ownerRecords {
		if err := status.addOwnerRecord(i); err != nil {
			return Status{}, err
		}
	}
	return status, nil
}

// addOwnerRecord adds the content of a record under OwnerPrefix to the status.
func (s *Status) addOwnerRecord(i store.Item) error {
	wave, isWave := strings.CutPrefix(i.Key, WavePrefix)
	switch {
	case i.Key == OwnerKey:
		s.Owner = &Claim{}
		return errors.Wrapf(json.Unmarshal(i.Value, s.Owner), "decode %s", i.Key)
	case i.Key == WaitingKey:
		return errors.Wrapf(json.Unmarshal(i.Value, &s.Waiting), "decode %s", i.Key)
	case isWave:
		var vms []string
		if err := json.Unmarshal(i.Value, &vms); err != nil {
			return errors.Wrapf(err, "decode %s", i.Key)
		}
		n, err := strconv.ParseInt(wave, 10, 64)
		if err != nil {
			return errors.Wrapf(err, "parse number of wave in key %s", i.Key)
		}
		s.WaveVMs[n] = len(vms)
	}
	return nil
}
