// Package jobserver assembles the process of one entry VM of the job service:
// the server for requesters, the owner of the jobs, and the connections to the
// platform.
package jobserver

import (
	"net"
	"os"
	"time"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/telemetry"
	"dotterelhead.example/dotterelhead/tomlfile"
)

// Settings are the settings of one entry VM of the job service.
type Settings struct {
	// Node is the name of the entry VM. It is sent with its orders for VMs.
	Node             string `toml:"node"`
	AvailabilityZone string `toml:"availability_zone"`
	// CallerListen is the address that serves requesters (callers), ReadyListen
	// that for the load balancer's checks, and MetricsListen that for metrics;
	// each is IP:port. MetricsListen may be empty.
	CallerListen  string `toml:"caller_listen"`
	ReadyListen   string `toml:"ready_listen"`
	MetricsListen string `toml:"metrics_listen"`
	// StoreAddress, MachinesAddress and AdviceAddress are IP:port of the
	// platform's services. The last two may be empty.
	StoreAddress    string `toml:"store_address"`
	MachinesAddress string `toml:"machines_address"`
	AdviceAddress   string `toml:"advice_address"`
	MemoryLimitMB   int64  `toml:"memory_limit_mb"`
	// DescriptorLimit is how many file descriptors a process on the entry VM may have; 0
	// means that it is not known.
	DescriptorLimit int `toml:"descriptor_limit"`
	// JobMemoryMB is how much memory the accepted jobs may take, apart from what runs. It is
	// the same on all entry VMs, because each may become the owner, which holds the jobs.
	JobMemoryMB int64 `toml:"job_memory_mb"`
	// CPUShare is the fraction of a core that the entry VM has; 0 means that it
	// is not limited. Entry VMs with a larger share are preferred as the owner of
	// the jobs.
	CPUShare float64 `toml:"cpu_share"`
	LogLevel string  `toml:"log_level"`
	// RunTimes says which run times of work items the owner expects: RunTimesLearned from
	// finished runs, or RunTimesDeclared by the requesters.
	RunTimes string `toml:"run_times"`
	Bounds   Bounds `toml:"bounds"`
}

// Values of Settings.RunTimes.
const (
	RunTimesLearned  = "learned"
	RunTimesDeclared = "declared"
)

// Bounds are the times and rates that the platform guarantees or requires.
type Bounds struct {
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `toml:"grace_seconds"`
	// StopTimeoutMs is how long a worker takes to stop a run.
	StopTimeoutMs int64 `toml:"stop_timeout_ms"`
	// MaxLeaseMs is the longest time that a worker may continue its work without
	// hearing from the owner.
	MaxLeaseMs int64 `toml:"max_lease_ms"`
	// MinOrderIntervalMs is the minimum time between the orders of successive
	// owners for the same VM. It does not concern the handover of the ownership.
	MinOrderIntervalMs int64 `toml:"hand_over_ms"`
	// ConfigApplyMs is the time within which a new manifest has to take effect on all entry
	// VMs. Where requests need keys, an entry VM answers none for which its manifest may be
	// older.
	ConfigApplyMs int64 `toml:"config_apply_ms"`
	// StatusSeconds is how long the status of a finished job is kept.
	StatusSeconds float64 `toml:"status_seconds"`
	// UpkeepSeconds and MoveSeconds are how long a VM is down for its upkeep
	// (planned maintenance) or for a move to another pool.
	UpkeepSeconds float64 `toml:"upkeep_seconds"`
	MoveSeconds   float64 `toml:"move_seconds"`
	// MachineOrdersPerSecond is how many orders for VMs the platform accepts per
	// second from all entry VMs together.
	MachineOrdersPerSecond float64 `toml:"machine_orders_per_second"`
}

// defaultJobMemoryMB is less than half of the heap of an entry VM with 184 MB of memory,
// the smallest of the sites: the heap may take heapShare of that, and the other half is for
// what runs, the records that a new owner reads, and garbage.
const defaultJobMemoryMB = 32

// DefaultSettings returns the settings that apply where the file sets none.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info", JobMemoryMB: defaultJobMemoryMB, RunTimes: RunTimesLearned,
		Bounds: Bounds{
			GraceSeconds: 6, StopTimeoutMs: 1000, MaxLeaseMs: 6000, MinOrderIntervalMs: 3000, ConfigApplyMs: 2000, StatusSeconds: 120,
			UpkeepSeconds: 2, MoveSeconds: 1.5, MachineOrdersPerSecond: 64,
		},
	}
}

// LoadSettings reads a settings file. It returns the settings and all errors in
// them.
func LoadSettings(file string) (*Settings, findings.List) {
	s := DefaultSettings()
	text, err := os.ReadFile(file)
	if err != nil {
		var found findings.List
		found.Add(findings.Position{File: file}, "%v", err)
		return nil, found
	}
	index, found, ok := tomlfile.Decode(file, text, &s)
	if !ok {
		return nil, found
	}
	s.check(index, &found)
	found.Sort()
	return &s, found
}

func (s *Settings) check(index *tomlfile.Index, found *findings.List) {
	if s.Node == "" {
		found.Add(index.At("node"), "node is empty")
	}
	for _, a := range []struct {
		path, value string
		optional    bool
	}{
		{"caller_listen", s.CallerListen, false}, {"ready_listen", s.ReadyListen, false}, {"metrics_listen", s.MetricsListen, true},
		{"store_address", s.StoreAddress, false}, {"machines_address", s.MachinesAddress, true}, {"advice_address", s.AdviceAddress, true},
	} {
		if a.value == "" && a.optional {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			found.Add(index.At(a.path), "%s is not IP:port: %v", a.path, err)
		}
	}
	for path, value := range map[string]float64{
		"bounds.grace_seconds": s.Bounds.GraceSeconds, "bounds.max_lease_ms": float64(s.Bounds.MaxLeaseMs),
		"bounds.stop_timeout_ms": float64(s.Bounds.StopTimeoutMs), "bounds.status_seconds": s.Bounds.StatusSeconds,
		"bounds.machine_orders_per_second": s.Bounds.MachineOrdersPerSecond, "bounds.config_apply_ms": float64(s.Bounds.ConfigApplyMs),
	} {
		if value <= 0 {
			found.Add(index.At(path), "%s is not above 0", path)
		}
	}
	if !telemetry.ValidLevel(s.LogLevel) {
		found.Add(index.At("log_level"), "log_level %q is not known", s.LogLevel)
	}
	if s.RunTimes != RunTimesLearned && s.RunTimes != RunTimesDeclared {
		found.Add(index.At("run_times"), "run_times %q is neither %q nor %q", s.RunTimes, RunTimesLearned, RunTimesDeclared)
	}
	if s.CPUShare < 0 {
		found.Add(index.At("cpu_share"), "cpu_share is negative")
	}
	if s.JobMemoryMB <= 0 {
		found.Add(index.At("job_memory_mb"), "job_memory_mb is not above 0")
	}
	if s.DescriptorLimit < 0 {
		found.Add(index.At("descriptor_limit"), "descriptor_limit is negative")
	}
	if s.MemoryLimitMB < 0 {
		found.Add(index.At("memory_limit_mb"), "memory_limit_mb is negative")
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
