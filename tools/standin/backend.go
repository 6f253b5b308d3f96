package main

import (
	"time"

	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/standin"
)

const backendLong = `Runs a stand-in backend server. It answers JSON with execution (unique), worker
and request (the caller's X-Request-Id), and records every request with its
pool, generation and idempotency key.

Request parameters: work=50ms (run time), bytes=N (size of the answer),
status=N (status of the answer).

Faults (flags here, fields of the JSON body of PUT or PATCH /standin/faults):
  fail, fail_next, fail_probability     answers 500 at once
  half_next, half_probability           drops the connection after half of the answer
  drop_next, drop_probability           drops the connection after the work, before
                                        the answer
  slow_factor, delay_seconds            multiplies and adds to the run time
  ignore_cancel                         goes on with the work of a closed connection
  health_fail                           GET /healthz answers 503
  seed                                  seed of the probabilities
Further faults by the admin API:
  POST /standin/silence                 open connections go silent for good, new
                                        ones work (flag --silence-after)
  POST /standin/reboot                  {"operation":ID,"expected_boot":N}: closes
                                        everything and comes back with the next boot
                                        count

Admin API:
  GET|PUT|PATCH /standin/faults         read, replace or change the faults
  GET|DELETE /standin/requests[?after=N]  records and counters; reset
  GET /standin/stats                    counters, max_running among them
  GET /healthz                          cheap health request`

func backendCommand() *cobra.Command {
	var o standin.BackendOptions
	var silenceAfter time.Duration
	f := &o.Faults
	cmd := &cobra.Command{
		Use:   "backend --listen ADDR",
		Short: "Run a stand-in backend server",
		Long:  backendLong,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Log = newLogger()
			if o.ID == "" {
				o.ID = "worker-" + o.Listen
			}
			b := standin.NewBackend(o)
			if err := b.Start(cmd.Context()); err != nil {
				return err
			}
			o.Log.Info().Str("event", "ready").Str("worker", o.ID).Str("address", b.Addr()).Msg("")
			if silenceAfter > 0 {
				timer := time.AfterFunc(silenceAfter, func() {
					o.Log.Info().Str("event", "silenced").Int("connections", b.Silence()).Msg("")
				})
				defer timer.Stop()
			}
			<-cmd.Context().Done()
			err := b.Close()
			o.Log.Info().Str("event", "stopped").Msg("")
			return err
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&o.ID, "id", "", "id of the VM, the worker in the answers (default worker-ADDR)")
	flags.StringVar(&o.AvailabilityZone, "zone", "", "availability zone of the VM")
	flags.StringVar(&o.Rack, "rack", "", "rack of the VM")
	flags.StringVar(&o.Platform, "platform", "", "address of the stand-in platform to register at")
	flags.DurationVar(&o.RebootDuration, "reboot-duration", 200*time.Millisecond, "how long a reboot takes")
	flags.IntVar(&o.MaxRecords, "max-records", 0, "requests kept in the record (default 200000)")
	flags.BoolVar(&f.Fail, "fail", false, "fault: answer every request with 500 at once")
	flags.IntVar(&f.FailNext, "fail-next", 0, "fault: answer the next N requests with 500")
	flags.Float64Var(&f.FailProbability, "fail-probability", 0, "fault: answer a request with 500")
	flags.IntVar(&f.HalfNext, "half-next", 0, "fault: drop the connection after half of the answer, N times")
	flags.Float64Var(&f.HalfProbability, "half-probability", 0, "fault: drop the connection after half of the answer")
	flags.IntVar(&f.DropNext, "drop-next", 0, "fault: drop the connection before the answer, N times")
	flags.Float64Var(&f.DropProbability, "drop-probability", 0, "fault: drop the connection before the answer")
	flags.Float64Var(&f.SlowFactor, "slow-factor", 0, "fault: multiply the run time")
	flags.Float64Var(&f.DelaySeconds, "delay-seconds", 0, "fault: add to the run time")
	flags.BoolVar(&f.IgnoreCancel, "ignore-cancel", false, "fault: go on with the work of a closed connection")
	flags.BoolVar(&f.HealthFail, "health-fail", false, "fault: the health request answers 503")
	flags.Uint64Var(&f.Seed, "seed", 0, "seed of the probabilities")
	flags.DurationVar(&silenceAfter, "silence-after", 0, "fault: open connections go silent after this time")
	return cmd
}
