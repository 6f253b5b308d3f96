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
	// knownImages is the number of images whose run times were learned, runTimeRatio the
	// time that runs took compared with the time that was expected at their start.
	knownImages  tally.Gauge
	runTimeRatio tally.Histogram
	lag          tally.Timer
}

// runTimeRatios are the bounds of the buckets of runTimeRatio.
var runTimeRatios = tally.ValueBuckets{0.25, 0.5, 0.67, 0.8, 1, 1.25, 1.5, 2, 4, 8}

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

		knownImages:  s.Gauge("run_time_images"),
		runTimeRatio: s.Histogram("run_time_ratio", runTimeRatios),
		lag:          s.Timer("scheduling_lag_seconds"),
	}
}
