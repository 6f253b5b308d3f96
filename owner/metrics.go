package owner

import "github.com/uber-go/tally/v4"

type metrics struct {
	scope      tally.Scope
	round      tally.Timer
	takeover   tally.Timer
	commit     tally.Timer
	startCall  tally.Timer
	placement  tally.Timer
	job        tally.Timer
	ownerGauge tally.Gauge
	heldBytes  tally.Gauge
	lag        tally.Timer
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return metrics{
		scope:      s,
		round:      s.Timer("round_seconds"),
		takeover:   s.Timer("takeover_seconds"),
		commit:     s.Timer("progress_write_seconds"),
		startCall:  s.Timer("start_call_seconds"),
		placement:  s.Timer("placement_seconds"),
		job:        s.Timer("job_seconds"),
		ownerGauge: s.Gauge("owner"),
		heldBytes:  s.Gauge("held_job_bytes"),
		lag:        s.Timer("scheduling_lag_seconds"),
	}
}
