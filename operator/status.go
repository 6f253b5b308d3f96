package operator

import (
	"net/http"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/note"
)

// StatusResponse is the state of the fleet as this entry VM knows it.
type StatusResponse struct {
	Region   string `json:"region"`
	Revision int64  `json:"revision"`
	// FleetVersion is the store version of the fleet document; 0 when this
	// entry VM has none, and then VMs and counts are empty.
	FleetVersion int64          `json:"fleet_version"`
	Pools        []PoolStatus   `json:"pools"`
	VMs          []fleet.VM     `json:"vms"`
	Waves        []WaveStatus   `json:"waves"`
	Budgets      []BudgetStatus `json:"budgets"`
	// Entry is the state of the entry VM itself.
	Entry any `json:"entry,omitempty"`
}

// PoolStatus counts the VMs of a pool by phase.
type PoolStatus struct {
	Name          string `json:"name"`
	Spare         bool   `json:"spare"`
	ConfiguredVMs int    `json:"configured_vms"`
	MinimumVMs    int    `json:"minimum_vms"`
	VMs           int    `json:"vms"`
	Serving       int    `json:"serving"`
	Releasing     int    `json:"releasing"`
	Rebooting     int    `json:"rebooting"`
	Down          int    `json:"down"`
	// Borrowed VMs have another home pool.
	Borrowed int `json:"borrowed"`
}

// WaveStatus is the progress of a maintenance wave.
type WaveStatus struct {
	Name          string   `json:"name"`
	Pools         []string `json:"pools"`
	MaxConcurrent int      `json:"max_concurrent"`
	VMs           int      `json:"vms"`
	Done          int      `json:"done"`
	Started       bool     `json:"started"`
	Paused        bool     `json:"paused"`
	Reason        string   `json:"reason,omitempty"`
	Finished      bool     `json:"finished"`
}

// BudgetStatus compares the number of unavailable VMs of a service with its
// availability budget. VMs that are moving to another pool are not counted.
type BudgetStatus struct {
	Service        string `json:"service"`
	Pool           string `json:"pool"`
	MaxUnavailable int    `json:"max_unavailable"`
	Unavailable    int    `json:"unavailable"`
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	config, err := h.currentConfig(r)
	if err != nil {
		writeProblem(w, storeProblem(err))
		return
	}
	var document fleet.Document
	stored, ok := h.Replica.Get(fleet.DocumentKey(h.Region))
	if ok {
		if document, err = fleet.Decode(stored.Value); err != nil {
			err = errors.Wrapf(err, "decoding version %d of the fleet document", stored.Version)
			writeProblem(w, storeProblem(err))
			return
		}
	}
	answer := newStatus(config, document)
	answer.Region, answer.FleetVersion = h.Region, stored.Version
	if h.Status != nil {
		answer.Entry = h.Status()
	}
	writeJSON(w, answer)
}

// newStatus combines the configuration with the fleet document.
func newStatus(config note.Config, document fleet.Document) StatusResponse {
	answer := StatusResponse{
		Revision: config.Revision,
		Pools:    []PoolStatus{},
		VMs:      append([]fleet.VM{}, document.VMs...),
		Waves:    []WaveStatus{},
		Budgets:  []BudgetStatus{},
	}
	index := map[string]int{}
	for i, p := range config.Pools {
		index[p.Name] = i
		answer.Pools = append(answer.Pools, PoolStatus{Name: p.Name, Spare: p.Spare, ConfiguredVMs: len(p.VMs), MinimumVMs: p.MinimumVMs})
	}
	unavailable := map[string]int{}
	for _, vm := range document.VMs {
		i, ok := index[vm.Pool]
		if !ok {
			// The pool was withdrawn and the VM has not left it yet.
			i = len(answer.Pools)
			index[vm.Pool] = i
			answer.Pools = append(answer.Pools, PoolStatus{Name: vm.Pool})
		}
		answer.Pools[i].count(vm)
		if vm.Phase != fleet.Serving && vm.Purpose != fleet.PurposeMove {
			unavailable[vm.Pool]++
		}
	}
	for _, s := range config.Services {
		answer.Budgets = append(answer.Budgets, BudgetStatus{Service: s.Name, Pool: s.Pool,
			MaxUnavailable: s.MaxUnavailable, Unavailable: unavailable[s.Pool]})
	}
	for _, wave := range config.Waves {
		answer.Waves = append(answer.Waves, newWaveStatus(config, document, wave))
	}
	return answer
}

func (p *PoolStatus) count(vm fleet.VM) {
	p.VMs++
	if vm.HomePool != vm.Pool {
		p.Borrowed++
	}
	switch vm.Phase {
	case fleet.Serving:
		p.Serving++
	case fleet.Releasing:
		p.Releasing++
	case fleet.Rebooting:
		p.Rebooting++
	case fleet.Down:
		p.Down++
	}
}

func newWaveStatus(config note.Config, document fleet.Document, wave note.Wave) WaveStatus {
	status := WaveStatus{Name: wave.Name, Pools: append([]string{}, wave.Pools...), MaxConcurrent: wave.MaxConcurrent}
	for _, name := range wave.Pools {
		if p, ok := config.Pool(name); ok {
			status.VMs += len(p.VMs)
		}
	}
	for _, progress := range document.Waves {
		if progress.Name == wave.Name {
			status.Started = true
			status.Done = len(progress.Done)
			status.Paused, status.Reason, status.Finished = progress.Paused, progress.Reason, progress.Finished
		}
	}
	return status
}
