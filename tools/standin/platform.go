package main

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/standin"
)

const platformLong = `Runs the stand-in platform: key-value store, leases, watches, the list of
VMs (which can be made to lag), drain and reboot.

Faults (flags here, fields of the JSON body of PUT or PATCH /standin/faults):
  down                   every call fails without effect
  down_entries           outage only for callers with these entry VM ids (header
                         X-Entry) or IP addresses
  down_calls             outage only for these kinds of calls: store, machines, or
                         get list put delete watch lease_grant lease_keepalive
                         lease_revoke vms vm drain reboot
  down_mode              refuse (503), close (connection closed), silent (no response)
  delay_seconds          delay before a call takes effect
  answer_delay_seconds   delay between the effect and the response
  lose_next              loses the responses of the next N writes that took
                         effect
  lose_probability       probability of losing the response of a write that took
                         effect
  drop_next              closes the connection of the next N writes before they
                         take effect
  drop_probability       probability of closing the connection of a write before
                         it takes effect
  lose_calls             kinds of writes that the lose and drop faults apply to
                         (default: every write except lease_keepalive)
  seed                   seed of the random faults
  list_lag_seconds       lag of the list of VMs
Further faults through the admin API:
  POST /standin/silence            open connections stop responding permanently,
                                   new ones work
  POST /standin/leases/expire      every lease expires

Admin API:
  GET|PUT|PATCH /standin/faults    read, replace or change the faults
  GET|DELETE /standin/counts       calls by kind; clear them
  GET|POST /standin/vms            VMs without lag; add or replace a VM
  DELETE /standin/vms/{id}         remove a VM`

func platformCommand() *cobra.Command {
	var o standin.PlatformOptions
	var vms []string
	f := &o.Faults
	cmd := &cobra.Command{
		Use:   "platform --listen ADDR",
		Short: "Run the stand-in platform",
		Long:  platformLong,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, text := range vms {
				parsed, err := parseVMs(text)
				if err != nil {
					return err
				}
				o.VMs = append(o.VMs, parsed...)
			}
			o.Log = newLogger()
			p := standin.NewPlatform(o)
			if err := p.Start(cmd.Context()); err != nil {
				return err
			}
			o.Log.Info().Str("event", "ready").Str("address", p.Addr()).Int("vms", len(o.VMs)).Msg("")
			<-cmd.Context().Done()
			err := p.Close()
			o.Log.Info().Str("event", "stopped").Msg("")
			return err
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringArrayVar(&vms, "vms", nil, "file with a JSON array of VMs, or a VM as id=..,address=..,zone=..,rack=..[,entry=true]; repeatable")
	flags.DurationVar(&o.RebootDuration, "reboot-duration", 200*time.Millisecond, "how long a reboot takes for an entry VM and for a VM without a reachable stand-in backend server")
	flags.BoolVar(&f.Down, "down", false, "fault: every call fails without effect")
	flags.StringSliceVar(&f.DownEntries, "down-entries", nil, "fault: outage only for these callers")
	flags.StringSliceVar(&f.DownCalls, "down-calls", nil, "fault: outage only for these kinds of calls")
	flags.StringVar((*string)(&f.DownMode), "down-mode", "refuse", "fault: refuse, close or silent")
	flags.Float64Var(&f.DelaySeconds, "delay-seconds", 0, "fault: delay before a call takes effect")
	flags.Float64Var(&f.ResponseDelaySeconds, "answer-delay-seconds", 0, "fault: delay between the effect and the response")
	flags.IntVar(&f.LoseNext, "lose-next", 0, "fault: lose the responses of the next N writes")
	flags.Float64Var(&f.LoseProbability, "lose-probability", 0, "fault: probability of losing the response of a write")
	flags.IntVar(&f.DropNext, "drop-next", 0, "fault: drop the next N writes before they take effect")
	flags.Float64Var(&f.DropProbability, "drop-probability", 0, "fault: probability of dropping a write before it takes effect")
	flags.StringSliceVar(&f.LoseCalls, "lose-calls", nil, "fault: kinds of writes that the lose and drop faults apply to")
	flags.Uint64Var(&f.Seed, "seed", 0, "seed of the random faults")
	flags.Float64Var(&f.ListLagSeconds, "list-lag-seconds", 0, "fault: lag of the list of VMs")
	return cmd
}

// parseVMs reads a file of VMs, or one VM in the form key=value,...
func parseVMs(text string) ([]infrastructure.VM, error) {
	if !strings.Contains(text, "=") {
		data, err := os.ReadFile(text)
		if err != nil {
			return nil, errors.Wrap(err, "--vms")
		}
		var vms []infrastructure.VM
		return vms, errors.Wrapf(json.Unmarshal(data, &vms), "--vms %s", text)
	}
	vm := infrastructure.VM{State: infrastructure.VMLive}
	for field := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(field, "=")
		var err error
		switch key {
		case "id":
			vm.ID = value
		case "address":
			vm.Address = value
		case "zone":
			vm.AvailabilityZone = value
		case "rack":
			vm.Rack = value
		case "entry":
			vm.EntryVM, err = strconv.ParseBool(value)
		default:
			err = errors.Errorf("unknown key %q", key)
		}
		if err != nil {
			return nil, errors.Wrapf(err, "--vms %s", text)
		}
	}
	if vm.ID == "" {
		return nil, errors.Errorf("--vms %s: id is missing", text)
	}
	return []infrastructure.VM{vm}, nil
}
