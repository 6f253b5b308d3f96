package main

import (
	"time"

	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/standin"
)

const backendLong = `Runs a stand-in backend server. It responds with JSON that holds execution
(unique), worker and request (the caller's X-Request-Id), and records every
request with its pool, generation and idempotency key.

Request parameters: work=50ms (duration of the work), bytes=N (size of the
response), status=N (status of the response).

Faults (flags here, fields of the JSON body of PUT or PATCH /standin/faults):
  fail, fail_next, fail_probability     responds with 500 immediately
  half_next, half_probability           closes the connection after half of the
                                        response
  drop_next, drop_probability           closes the connection after the work, before
                                        the response
  slow_factor, delay_seconds            multiplies and adds to the duration of the
                                        work
  ignore_cancel                         continues the work after the client has
                                        closed the connection
  health_fail                           GET /healthz responds with 503
  seed                                  seed of the random faults
Further faults through the admin API:
  POST /standin/silence                 open connections stop responding permanently,
                                        new ones work (flag --silence-after)
  POST /standin/reboot                  {"operation":ID,"expected_boot":N}: closes
                                        the listener and all connections, and
                                        restarts with boot count N+1

Admin API:
  GET|PUT|PATCH /standin/faults         read, replace or change the faults
  GET|DELETE /standin/requests[?after=N]  records and counters; clear them
  GET /standin/stats                    counters, including max_running
  GET /healthz                          health check`

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
	flags.StringVar(&o.ID, "id", "", "id of the VM, sent as worker in the responses (default worker-ADDR)")
	flags.StringVar(&o.AvailabilityZone, "zone", "", "availability zone of the VM")
	flags.StringVar(&o.Rack, "rack", "", "rack of the VM")
	flags.StringVar(&o.Platform, "platform", "", "address of the stand-in platform to register with")
	flags.DurationVar(&o.RebootDuration, "reboot-duration", 200*time.Millisecond, "how long a reboot takes")
	flags.IntVar(&o.MaxRecords, "max-records", 0, "maximum number of recorded requests (default 200000)")
	flags.BoolVar(&f.Fail, "fail", false, "fault: respond to every request with 500 immediately")
	flags.IntVar(&f.FailNext, "fail-next", 0, "fault: respond to the next N requests with 500")
	flags.Float64Var(&f.FailProbability, "fail-probability", 0, "fault: probability of responding with 500")
	flags.IntVar(&f.HalfNext, "half-next", 0, "fault: close the connections of the next N requests after half of the response")
	flags.Float64Var(&f.HalfProbability, "half-probability", 0, "fault: probability of closing the connection after half of the response")
	flags.IntVar(&f.DropNext, "drop-next", 0, "fault: close the connections of the next N requests before the response")
	flags.Float64Var(&f.DropProbability, "drop-probability", 0, "fault: probability of closing the connection before the response")
	flags.Float64Var(&f.SlowFactor, "slow-factor", 0, "fault: multiply the duration of the work")
	flags.Float64Var(&f.DelaySeconds, "delay-seconds", 0, "fault: add to the duration of the work")
	flags.BoolVar(&f.IgnoreCancel, "ignore-cancel", false, "fault: continue the work after the client has closed the connection")
	flags.BoolVar(&f.HealthFail, "health-fail", false, "fault: respond to health requests with 503")
	flags.Uint64Var(&f.Seed, "seed", 0, "seed of the random faults")
	flags.DurationVar(&silenceAfter, "silence-after", 0, "fault: open connections stop responding after this time")
	return cmd
}
