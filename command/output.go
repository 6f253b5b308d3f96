package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/operator"
)

// writeOutput prints value in the given format. The function text prints it as a
// table in all formats other than json and toml.
func writeOutput[T any](w io.Writer, format string, value T, text func(io.Writer, T)) error {
	switch format {
	case "json":
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "writing")
	case "toml":
		return errors.Wrap(toml.NewEncoder(w).Encode(value), "writing")
	default:
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		text(table, value)
		return errors.Wrap(table.Flush(), "writing")
	}
}

func writeConfig(w io.Writer, c operator.ConfigResponse) {
	fmt.Fprintf(w, "revision %d\n", c.Revision)
	fmt.Fprintf(w, "\npool\tvms\tspare\tminimum_vms\tslots_per_worker\tconnections_per_worker\trevision\n")
	for _, p := range c.Pools {
		fmt.Fprintf(w, "%s\t%d\t%t\t%d\t%d\t%d\t%d\n", p.Name, len(p.VMs), p.Spare, p.MinimumVMs,
			p.SlotsPerWorker, p.ConnectionsPerWorker, p.LastChangedRevision)
	}
	fmt.Fprintf(w, "\nservice\tpool\tmax_unavailable\tdeadline_seconds\tmax_queue\tmax_body_bytes\trevision\n")
	for _, s := range c.Services {
		fmt.Fprintf(w, "%s\t%s\t%d\t%g\t%d\t%d\t%d\n", s.Name, s.Pool, s.MaxUnavailable, s.DeadlineSeconds,
			s.MaxQueue, s.MaxBodyBytes, s.LastChangedRevision)
	}
	if len(c.Waves) > 0 {
		fmt.Fprintf(w, "\nwave\tpools\tmax_concurrent\trevision\n")
	}
	for _, v := range c.Waves {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", v.Name, strings.Join(v.Pools, ","), v.MaxConcurrent, v.LastChangedRevision)
	}
	if len(c.Teams) > 0 {
		fmt.Fprintf(w, "\nteam\tslot_quota\trevision\n")
	}
	for _, t := range c.Teams {
		fmt.Fprintf(w, "%s\t%d\t%d\n", t.Name, t.SlotQuota, t.LastChangedRevision)
	}
}

func writeHistory(w io.Writer, h operator.HistoryResponse) {
	fmt.Fprintf(w, "revision\tpublished\tname\n")
	for _, n := range h.Notes {
		fmt.Fprintf(w, "%d\t%s\t%s\n", n.Revision, time.UnixMilli(n.PublishedAtUnixMillis).UTC().Format(time.RFC3339), n.Name)
	}
}

func writeStatus(w io.Writer, s operator.StatusResponse) {
	fmt.Fprintf(w, "region %s, revision %d, fleet version %d\n", s.Region, s.Revision, s.FleetVersion)
	fmt.Fprintf(w, "\npool\tconfigured\tvms\tserving\treleasing\trebooting\tdown\tborrowed\tminimum_vms\n")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Name, p.ConfiguredVMs, p.VMs, p.Serving,
			p.Releasing, p.Rebooting, p.Down, p.Borrowed, p.MinimumVMs)
	}
	fmt.Fprintf(w, "\nservice\tpool\tunavailable\tmax_unavailable\n")
	for _, b := range s.Budgets {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", b.Service, b.Pool, b.Unavailable, b.MaxUnavailable)
	}
	if len(s.Waves) > 0 {
		fmt.Fprintf(w, "\nwave\tdone\tvms\tstate\n")
	}
	for _, v := range s.Waves {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", v.Name, v.Done, v.VMs, waveState(v))
	}
	header := false
	for _, vm := range s.VMs {
		if vm.Phase == fleet.Serving {
			continue
		}
		if !header {
			fmt.Fprintf(w, "\nvm\tpool\tphase\tpurpose\ttarget_pool\tavailability_zone\track\n")
			header = true
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", vm.ID, vm.Pool, vm.Phase, vm.Purpose, vm.TargetPool, vm.AvailabilityZone, vm.Rack)
	}
}

func waveState(v operator.WaveStatus) string {
	switch {
	case v.Finished:
		return "finished"
	case v.Paused:
		return "paused: " + v.Reason
	case v.Started:
		return "running"
	default:
		return "not started"
	}
}
